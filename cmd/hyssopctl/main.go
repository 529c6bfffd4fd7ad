// Command hyssopctl is the operators' command-line tool. It edits plans and limits, shows the status, the logs
// and the timeline of instances, and runs stand-ins, workloads and measures on one machine.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
)

type cli struct {
	Instance string `default:"127.0.0.1:7101" env:"HYSSOPCTL_INSTANCE" help:"Address of an instance."`
	JSON     bool   `name:"json" help:"Print JSON instead of a table."`

	Demo     demoCmd     `cmd:"" help:"Run the whole path in one process: stand-ins, two instances and one query."`
	Standins standinsCmd `cmd:"" help:"Run the stand-ins for the platform and the targets."`
	Check    checkCmd    `cmd:"" help:"Check a settings file without starting an instance."`
	Explain  explainCmd  `cmd:"" help:"Print what the logs of instances say of one request."`
	Load     loadCmd     `cmd:"" help:"Drive running instances with a workload."`

	SettingsReference settingsReferenceCmd `cmd:"" help:"Print the page docs/settings.md from the schema."`
	Plan              planCmd              `cmd:"" help:"List, show, change or delete plans."`
	Limit             limitCmd             `cmd:"" help:"List, show, change or delete what plans may use."`
	Search            searchCmd            `cmd:"" help:"Run one search."`
	Execute           executeCmd           `cmd:"" help:"Run one request that may not be repeated."`
	Status            statusCmd            `cmd:"" help:"Show the state of instances and the members that they know."`
	PathCost          pathCostCmd          `cmd:"" help:"Measure what a sub-request costs an instance, against a bare net/http scatter."`
	Timeline          timelineCmd          `cmd:"" help:"Merge the events of instances and stand-ins into one timeline."`
	Measure           measureCmd           `cmd:"" help:"Run a measure of the decisions, or list the measures."`
	Soak              soakCmd              `cmd:"" help:"Harm gateways that run as processes and check what callers and targets see."`
	Replay            replayCmd            `cmd:"" help:"Replay recorded traces against the present decisions."`
}

const description = `Operates hyssopcroft.

Exit codes: 0 done; 1 any failure not listed here; 2 wrong command line; 3 the entry changed since it
was read; 4 the entry, plan, index or measure does not exist; 5 a value, the settings or the request
is impossible; 6 an instance or the platform did not answer, the field run of the failure says
whether a request or an edit may have taken effect; 7 the request was refused and not run; 8 the request may have run, its outcome is
unknown; 9 the answer covers fewer shards than the plan demands; 10 a replay differs from what was
recorded or stated.

With --json the result goes to standard output and a failure, as {"error": {...}}, to standard error.`

func main() { os.Exit(run(os.Args[1:])) }

// run executes one command line and returns the exit code.
func run(args []string) int {
	var c cli
	parser := newParser(&c)
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		fmt.Fprintln(os.Stderr, "hyssopctl --help lists the commands; each has examples in its own --help")
		return exitUsage
	}
	if err := ctx.Run(&c); err != nil {
		printFailure(&c, parser, err)
		return exitCode(err)
	}
	return 0
}

func newParser(c *cli) *kong.Kong {
	return kong.Must(c, kong.Name("hyssopctl"), kong.Description(description))
}

func printFailure(c *cli, parser *kong.Kong, err error) {
	if !c.JSON {
		parser.Errorf("%s", err)
		return
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = &problem.Problem{Code: "failure", Message: err.Error()}
	}
	// A failure to write to standard error cannot be reported anywhere.
	_ = json.NewEncoder(os.Stderr).Encode(map[string]*problem.Problem{"error": p})
}
