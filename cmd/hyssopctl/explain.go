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
	// explainBefore and explainAfter bound the lines about targets around a request: a target serves on for
	// some seconds after it has left the list, and one that is lost leaves it after three silent
	// heartbeats of 1.2 s.
	explainBefore = 15 * time.Second
	explainAfter  = 6 * time.Second
	// maxLogLine bounds a line of a log.
	maxLogLine = 1 << 20
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
	raw    string
	number int // in the order of reading
}

// beliefs are the messages of which the latest one before a request says what its instance believed.
var beliefs = []string{
	"instance started", "routes in force", "platform availability changed", "shutdown phase changed",
	"share of connections and budgets changed", "object taken",
}

// messageStall is logged by an instance that did not run for a while.
const messageStall = "process stood still"

// story is what the logs say of a request.
type story struct {
	Request  string   `json:"request"`
	Ends     []string `json:"ends"`
	Attempts []string `json:"attempts"`
	Believed []string `json:"believed"`
	Targets  []string `json:"targets"`
}

// Run prints the story of the request.
func (x explainCmd) Run(c *cli) error {
	lines, err := x.read()
	if err != nil {
		return err
	}
	s := explain(x.Request, lines)
	if len(s.Ends) == 0 {
		return &problem.Problem{Code: problem.NotFound, Message: "no line is about request " + x.Request +
			": it was answered whole and in time, or its line was left out (see lines_left_out)"}
	}
	if c.JSON {
		return printJSON(s)
	}
	for _, part := range []struct {
		title string
		lines []string
	}{{"request " + s.Request, s.Ends}, {"attempts", s.Attempts}, {"what the instance believed", s.Believed}, {"what happened to the targets and the instance", s.Targets}} {
		fmt.Println(part.title)
		for _, l := range part.lines {
			fmt.Println("  " + l)
		}
	}
	return nil
}

func (x explainCmd) read() ([]logLine, error) {
	if len(x.Files) == 0 {
		return readLog(os.Stdin, nil)
	}
	var lines []logLine
	for _, name := range x.Files {
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

// readLog appends the lines of a log. Lines that are no JSON objects are skipped.
func readLog(r io.Reader, lines []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		l := logLine{raw: text[brace:], number: len(lines)}
		if json.Unmarshal([]byte(l.raw), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

func explain(request string, lines []logLine) story {
	s := story{Request: request}
	targets := map[string]bool{}
	for _, end := range lines {
		if end.Request != request {
			continue
		}
		s.Ends = append(s.Ends, end.raw)
		for _, a := range end.Attempts {
			targets[a.Target] = true
			s.Attempts = append(s.Attempts, fmt.Sprintf("%-12s %-16s sent after %8.1f ms, %s after %.1f ms", a.Service, a.Target, a.SentMS, a.Ended, a.TookMS))
		}
		s.Believed = append(s.Believed, believed(end, lines)...)
		s.Targets = append(s.Targets, around(end, lines, targets)...)
	}
	return s
}

// believed returns the latest line of each belief before the end of the request, with its age.
func believed(end logLine, lines []logLine) []string {
	latest := map[string]logLine{}
	for _, l := range lines[:end.number] {
		if l.Instance == end.Instance && slices.Contains(beliefs, l.Message) {
			latest[l.Message] = l
		}
	}
	var out []string
	for _, message := range beliefs {
		if l, ok := latest[message]; ok {
			out = append(out, fmt.Sprintf("%8.3f s old: %s", end.Time.Sub(l.Time).Seconds(), l.raw))
		}
	}
	return out
}

// around returns the lines of all instances about the targets near the time of the request, and the pauses
// of the request's own instance.
func around(end logLine, lines []logLine, targets map[string]bool) []string {
	var found []logLine
	for _, l := range lines {
		age := end.Time.Sub(l.Time)
		about := targets[l.Target] || l.Message == messageStall && l.Instance == end.Instance
		if l.Request == "" && about && age <= explainBefore && age >= -explainAfter {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	var out []string
	for _, l := range found {
		out = append(out, fmt.Sprintf("%+8.3f s: %s", l.Time.Sub(end.Time).Seconds(), l.raw))
	}
	return out
}
