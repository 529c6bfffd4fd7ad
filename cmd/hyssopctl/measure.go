package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	_ "hyssopcroft.example/emulator/controlplane" // registers its measures
	"hyssopcroft.example/emulator/measure"
)

type measureCmd struct {
	List measureListCmd `cmd:"" help:"List the measures."`
	Run  measureRunCmd  `cmd:"" default:"withargs" help:"Run a measure in virtual time, the baseline first."`
}

type measureListCmd struct{}

// Run prints the names of the measures.
func (measureListCmd) Run(c *cli) error {
	type row struct {
		Name    string `json:"name"`
		Summary string `json:"summary"`
	}
	var rows []row
	for _, m := range measure.All() {
		rows = append(rows, row{Name: m.Name, Summary: m.Summary})
	}
	if c.JSON {
		return printJSON(rows)
	}
	for _, r := range rows {
		fmt.Printf("%-20s %s\n", r.Name, r.Summary)
	}
	return nil
}

type measureRunCmd struct {
	Name      string `arg:"" help:"Name of the measure."`
	Seed      uint64 `default:"1" help:"Seed of all random choices."`
	TraceFile string `type:"path" help:"File to record the decisions to, for replay."`
}

// Run runs one measure and prints its report. A missed goal is reported and is not an error.
func (cmd measureRunCmd) Run(c *cli) error {
	m, ok := measure.Find(cmd.Name)
	if !ok {
		return &problem.Problem{Code: problem.NotFound, Message: "no measure is named " + cmd.Name}
	}
	report, err := cmd.execute(m)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(report)
	}
	printReport(report)
	return nil
}

// execute runs the measure, and records its decisions if a trace file is given.
func (cmd measureRunCmd) execute(m measure.Measure) (measure.Report, error) {
	if cmd.TraceFile == "" {
		return m.Execute(cmd.Seed), nil
	}
	file, err := os.Create(cmd.TraceFile)
	if err != nil {
		return measure.Report{}, errors.Wrap(err, "create trace file")
	}
	stopRecording, err := measure.Record(file, m.Name)
	if err != nil {
		return measure.Report{}, err
	}
	report := m.Execute(cmd.Seed)
	dropped, err := stopRecording()
	if dropped > 0 {
		fmt.Fprintf(os.Stderr, "hyssopctl: the trace is full and lacks %d records\n", dropped)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return report, errors.Wrap(err, "write trace file")
}

func printReport(r measure.Report) {
	fmt.Printf("%s, seed %d, pass %t\n", r.Name, r.Seed, r.Pass)
	for _, figure := range slices.Sorted(maps.Keys(r.Result)) {
		fmt.Printf("  %-48s baseline %12.4f result %12.4f", figure, r.Baseline[figure], r.Result[figure])
		if ratio, ok := r.Ratio[figure]; ok {
			fmt.Printf(" ratio %8.4f", ratio)
		}
		fmt.Println()
	}
	for _, g := range r.Goal {
		bound, sign := g.AtMost, "at most"
		if bound == nil {
			bound, sign = g.AtLeast, "at least"
		}
		fmt.Printf("  goal: %s of %s %s %g: %.4f, pass %t\n", g.Of, g.Figure, sign, *bound, g.Value, g.Pass)
	}
}
