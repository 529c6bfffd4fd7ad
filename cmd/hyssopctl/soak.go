package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/emulator/soak"
)

type soakCmd struct {
	Seed      uint64        `default:"1" help:"Seed of the faults."`
	For       time.Duration `default:"20s" help:"Time during which faults are injected; calm times before and after come on top."`
	Instances int           `default:"4" help:"Number of instances."`
	Program   string        `type:"path" help:"Path of hyssopcroft; beside this program if it is not given."`
	Keep      string        `type:"existingdir" help:"Folder for the output of the instances after a failure."`
}

// Help implements kong.HelpProvider.
func (soakCmd) Help() string {
	return `Runs gateways as processes of their own before stand-ins on the loopback, harms them at random and
checks what callers and targets see. Exits with 1 and prints the violations if there are any.

Examples:

    hyssopctl soak --seed 7 --for 30s --program ./hyssopcroft`
}

// Run runs one soak test and returns its violations as an error.
func (cmd soakCmd) Run(c *cli) error {
	if cmd.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "locate the hyssopcroft executable")
		}
		cmd.Program = filepath.Join(filepath.Dir(executable), "hyssopcroft")
	}
	report, err := soak.Run(soak.Config{Seed: cmd.Seed, Instances: cmd.Instances, Duration: cmd.For, Program: cmd.Program, LogDir: cmd.Keep})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		fmt.Printf("seed %d: %d requests, %d served, faults %v, %d crashes on one request, %d crowds, %d violations\n",
			cmd.Seed, report.Requests, report.Served, report.Faults, report.Crashes, report.Crowds, len(report.Violations))
	}
	if len(report.Violations) > 0 {
		return errors.Errorf("the soak with seed %d found:\n%s", cmd.Seed, strings.Join(report.Violations, "\n"))
	}
	return nil
}
