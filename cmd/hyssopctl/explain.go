package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
)

const (
	// targetEventsBefore and targetEventsAfter limit the lines about targets to a time window around the
	// outcome of a request: a target still serves for some seconds after it has left the list, and a lost
	// one leaves the list after three missed heartbeats of 1.2 s.
	targetEventsBefore = 15 * time.Second
	targetEventsAfter  = 6 * time.Second
	// maxLogLineBytes is the maximum length of a line of a log.
	maxLogLineBytes = 1 << 20
)

type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" optional:"" type:"existingfile" help:"Log files of instances; standard input if none is given."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string {
	return `Prints what the logs of any number of instances say of one request: its end with its attempts, what the
instance believed at that time (routes in force, store, shutdown), and what happened to the targets of
its attempts. Text before the first brace of a line is ignored. Lines of one instance are taken in their
order; those of others by their time, which may be off by what clocks differ.

Examples:

    hyssopctl explain 0123456789abcdef /var/log/hyssopcroft/*.log

    hyssopctl --json explain 0123456789abcdef < all.log`
}

// logLine is one line of an instance's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	Target   string    `json:"target"`
	Attempts []struct {
		Service string  `json:"service"`
		Target  string  `json:"target"`
		SentMS  float64 `json:"sent_ms"`
		TookMS  float64 `json:"took_ms"`
		Ended   string  `json:"ended"`
	} `json:"attempts"`
	raw   string // from the first brace on
	index int    // position among all lines read
}

// stateMessages are the log messages that report a change of an instance's state. The latest of each before
// the outcome of a request shows the state in which the instance handled it.
var stateMessages = []string{
	"instance started", "routes in force", "platform availability changed", "shutdown phase changed",
	"share of connections and budgets changed", "object taken",
}

// stallMessage is logged by an instance whose process did not run for some time.
const stallMessage = "process stood still"

// requestReport holds the log lines that are relevant to one request.
type requestReport struct {
	Request       string   `json:"request"`
	Outcomes      []string `json:"ends"`
	Attempts      []string `json:"attempts"`
	InstanceState []string `json:"believed"`
	TargetEvents  []string `json:"targets"`
}

// Run prints the report on the request.
func (cmd explainCmd) Run(c *cli) error {
	lines, err := cmd.readLogs()
	if err != nil {
		return err
	}
	report := explain(cmd.Request, lines)
	if len(report.Outcomes) == 0 {
		return &problem.Problem{Code: problem.NotFound, Message: "no line is about request " + cmd.Request +
			": it was answered whole and in time, or its line was left out (see lines_left_out)"}
	}
	if c.JSON {
		return printJSON(report)
	}
	for _, section := range []struct {
		title string
		lines []string
	}{
		{"request " + report.Request, report.Outcomes},
		{"attempts", report.Attempts},
		{"what the instance believed", report.InstanceState},
		{"what happened to the targets and the instance", report.TargetEvents},
	} {
		fmt.Println(section.title)
		for _, l := range section.lines {
			fmt.Println("  " + l)
		}
	}
	return nil
}

func (cmd explainCmd) readLogs() ([]logLine, error) {
	if len(cmd.Files) == 0 {
		return readLog(os.Stdin, nil)
	}
	var lines []logLine
	for _, name := range cmd.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err = readLog(f, lines)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
	}
	return lines, nil
}

// readLog appends the lines of a log to lines. It ignores the text before the first brace of a line, and
// skips lines that hold no JSON object with a message.
func readLog(r io.Reader, lines []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l := logLine{raw: text[brace:], index: len(lines)}
		if json.Unmarshal([]byte(l.raw), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

func explain(request string, lines []logLine) requestReport {
	report := requestReport{Request: request}
	targets := map[string]bool{}
	for _, outcome := range lines {
		if outcome.Request != request {
			continue
		}
		report.Outcomes = append(report.Outcomes, outcome.raw)
		for _, a := range outcome.Attempts {
			targets[a.Target] = true
			report.Attempts = append(report.Attempts, fmt.Sprintf("%-12s %-16s sent after %8.1f ms, %s after %.1f ms",
				a.Service, a.Target, a.SentMS, a.Ended, a.TookMS))
		}
		report.InstanceState = append(report.InstanceState, instanceState(outcome, lines)...)
		report.TargetEvents = append(report.TargetEvents, targetEvents(outcome, lines, targets)...)
	}
	return report
}

// instanceState returns the latest line of each state message that the instance logged before the outcome of
// the request, with its age.
func instanceState(outcome logLine, lines []logLine) []string {
	latest := map[string]logLine{}
	for _, l := range lines[:outcome.index] {
		if l.Instance == outcome.Instance && slices.Contains(stateMessages, l.Message) {
			latest[l.Message] = l
		}
	}
	var out []string
	for _, message := range stateMessages {
		if l, ok := latest[message]; ok {
			out = append(out, fmt.Sprintf("%8.3f s old: %s", outcome.Time.Sub(l.Time).Seconds(), l.raw))
		}
	}
	return out
}

// targetEvents returns, in the order of their time, the lines of all instances about the targets within the
// window around the outcome of the request, and the stalls of the instance that handled the request.
func targetEvents(outcome logLine, lines []logLine, targets map[string]bool) []string {
	var events []logLine
	for _, l := range lines {
		age := outcome.Time.Sub(l.Time)
		relevant := targets[l.Target] || l.Message == stallMessage && l.Instance == outcome.Instance
		if l.Request == "" && relevant && age <= targetEventsBefore && age >= -targetEventsAfter {
			events = append(events, l)
		}
	}
	slices.SortStableFunc(events, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	var out []string
	for _, l := range events {
		out = append(out, fmt.Sprintf("%+8.3f s: %s", l.Time.Sub(outcome.Time).Seconds(), l.raw))
	}
	return out
}
