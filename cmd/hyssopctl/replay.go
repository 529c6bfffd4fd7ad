package main

import (
	"fmt"
	"io/fs"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/emulator/replay"
)

type replayCmd struct {
	Files []string `arg:"" name:"file" type:"path" help:"Trace that an instance or a measure has recorded."`
}

// Help implements kong.HelpProvider.
func (replayCmd) Help() string {
	return `Feeds the recorded events and times to the present decisions and compares the actions. For each
decision that takes another course it prints the first event that differs with the expected and the
actual action. The outcomes stated in NAME.outcomes.json beside NAME.trace.gz are checked as well.
Exits with 10 if anything differs and with 5 if a file is no trace, cut or of a newer version.

Examples:

    hyssopctl measure run straggler-tail --trace-file /tmp/straggler.trace.gz

    hyssopctl replay /tmp/straggler.trace.gz

    hyssopctl --json replay emulator/replay/testdata/slow-replica.trace.gz`
}

// errReplayDiffers reports that the actions of a replay differ from the trace, or its outcomes from the stated ones.
var errReplayDiffers = errors.New("the replay differs from what was recorded or stated")

// Run replays all files and does not stop at a file that differs.
func (cmd replayCmd) Run(c *cli) error {
	reports := []replay.Report{}
	pass := true
	for _, file := range cmd.Files {
		report, err := replay.File(file)
		if err != nil {
			return replayProblem(err)
		}
		pass = pass && report.Passed()
		reports = append(reports, report)
		if !c.JSON {
			printReplay(report)
		}
	}
	if c.JSON {
		if err := printJSON(reports); err != nil {
			return err
		}
	}
	if !pass {
		return errReplayDiffers
	}
	return nil
}

func replayProblem(err error) error {
	var version *trace.VersionError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return &problem.Problem{Code: problem.NotFound, Message: err.Error()}
	case errors.Is(err, trace.ErrMalformed), errors.Is(err, trace.ErrTruncated), errors.Is(err, replay.ErrMalformedOutcomes),
		errors.As(err, &version):
		return &problem.Problem{Code: problem.Invalid, Message: err.Error()}
	}
	return err
}

func printReplay(r replay.Report) {
	outcomes := "no outcomes are stated"
	if r.HasStatedOutcomes {
		outcomes = "stated outcomes checked"
	}
	fmt.Printf("%s: recorded by %s, %d records, %d queries, %d edits, %d plans, %s, pass %t\n",
		r.File, r.Source, r.Records, len(r.Found.Queries), len(r.Found.Edits), len(r.Found.Plans), outcomes, r.Passed())
	for _, d := range r.Differences {
		fmt.Println("  differs: " + d.String())
	}
	for _, v := range r.Violations {
		fmt.Println("  violated: " + v)
	}
}
