package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/emulator/workload"
	"hyssopcroft.example/kernel/settings"
)

type loadCmd struct {
	Workload  string        `required:"" type:"path" help:"JSON file with the workload."`
	Duration  time.Duration `help:"Shortens the duration of the workload."`
	Requests  int           `help:"Lowers the largest number of requests of the workload."`
	Instances []string      `arg:"" optional:"" help:"Loopback addresses of instances, asked in turn; the one of --instance if there are none."`
}

// Help implements kong.HelpProvider.
func (loadCmd) Help() string {
	return `Requests start at times that do not depend on the answers, and latency counts from the intended start.
The run ends at the duration or the number of requests of the workload, whichever comes first; an
interrupt ends it early and prints what came of it so far.

Examples:

    hyssopctl load --workload examples/workload.json 127.0.0.1:7101 127.0.0.1:7102

    hyssopctl --json load --workload examples/workload.json --duration 5s 127.0.0.1:7101`
}

// Run sends the workload and prints a summary.
func (l loadCmd) Run(c *cli) error {
	w, err := l.readWorkload()
	if err != nil {
		return err
	}
	addresses := l.Instances
	if len(addresses) == 0 {
		addresses = []string{c.Instance}
	}
	sender, err := workload.NewHTTPSender(addresses, w.MaxInFlight)
	if err != nil {
		return &problem.Problem{Code: problem.Invalid, Message: err.Error()}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	driver := workload.Driver{Workload: w, Sender: sender}
	if isTerminal(os.Stderr) {
		driver.Progress = printProgress
	}
	summary := driver.Run(ctx)
	if driver.Progress != nil {
		fmt.Fprintln(os.Stderr)
	}
	if c.JSON {
		return printJSON(summary)
	}
	printSummary(summary)
	return nil
}

func (l loadCmd) readWorkload() (workload.Workload, error) {
	w, err := workload.Load(l.Workload)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		return w, &problem.Problem{Code: problem.Invalid, Message: err.Error()}
	}
	if l.Duration > 0 {
		w.Duration = min(w.Duration, settings.Duration(l.Duration))
	}
	if l.Requests > 0 {
		w.MaxRequests = min(w.MaxRequests, l.Requests)
	}
	return w, err
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printProgress(s workload.Summary) {
	fmt.Fprintf(os.Stderr, "\r%6.0f s  %d started  %d in flight ", s.ElapsedSeconds, s.Started, s.Started-s.Finished)
}

func printSummary(s workload.Summary) {
	fmt.Printf("%d requests in %.1f s\n", s.Finished, s.ElapsedSeconds)
	fmt.Printf("%-16s %-8s %9s %9s %9s %9s %9s %9s  %s\n", "plan", "kind", "requests", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "outcomes")
	for _, r := range s.Rows {
		var outcomes []string
		for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", name, r.Outcomes[name]))
		}
		fmt.Printf("%-16s %-8s %9d %9.1f %9.1f %9.1f %9.1f %9.1f  %s\n", r.Plan, r.Kind, r.Requests,
			r.P50Millis, r.P90Millis, r.P99Millis, r.P999Millis, r.MaxMillis, strings.Join(outcomes, ", "))
	}
}
