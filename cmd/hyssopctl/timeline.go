package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel/timeline"
)

type timelineCmd struct {
	Addresses []string `arg:"" help:"Addresses of instances and of the stand-in for the platform."`
	Request   string   `help:"Only events about this request."`
	Plan      string   `help:"Only events about this plan."`
	Target    string   `help:"Only events about this target."`
	Kind      []string `help:"Only events of these kinds, for example config_in_force."`
	Since     string   `help:"Only events from this time on: RFC 3339, or a duration such as 5m for that long ago."`
	Until     string   `help:"Only events up to this time, in the same forms."`
	HTML      string   `name:"html" type:"path" help:"Write a page with a lane for each process to this file instead."`
}

// Help implements kong.HelpProvider.
func (timelineCmd) Help() string {
	return `Events are about what their subject names; an event whose detail names it as a word counts as well.
The address of the stand-in for the platform adds the events of all stand-ins. With --json each event
is one line. A process that does not answer is left out and makes the exit code 6.

A query that took longer than slow_query or lacks shards is recorded by its entry instance (query_slow,
query_incomplete), by the relays of its slow parts (relay_slow, relay_incomplete) and by the stand-ins
that ran it late (target_late). --request with the id from the answer shows them together.

Examples:

    hyssopctl timeline 127.0.0.1:7101 127.0.0.1:7102 127.0.0.1:7000

    hyssopctl timeline --request 0123456789abcdef 127.0.0.1:7101 127.0.0.1:7102 127.0.0.1:7000

    hyssopctl timeline --html /tmp/timeline.html 127.0.0.1:7101 127.0.0.1:7000

    hyssopctl timeline --target returns-counter-3-1 --since 5m 127.0.0.1:7101 127.0.0.1:7000

    hyssopctl --json timeline --kind config_in_force --kind member_changed 127.0.0.1:7101`
}

// Run prints the merged events of all given processes, sorted by their stamps.
func (t timelineCmd) Run(c *cli) error {
	filter, err := t.parseFilter(time.Now())
	if err != nil {
		return err
	}
	events, partialErr := t.collect()
	events = slices.DeleteFunc(events, func(ev timeline.Event) bool { return !filter.matches(ev) })
	slices.SortStableFunc(events, func(a, b timeline.Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	if t.HTML != "" {
		if err := writePage(t.HTML, events); err != nil {
			return err
		}
		return partialErr
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, ev := range events {
		if !c.JSON {
			fmt.Printf("%s  %-16s %-22s %-24s %s\n", ev.At, ev.Process, ev.Kind, ev.Subject, ev.Detail)
		} else if err := encoder.Encode(ev); err != nil {
			return errors.Wrap(err, "write event")
		}
	}
	return partialErr
}

// collect returns the events of all processes that answer, and an error if some do not.
func (t timelineCmd) collect() ([]timeline.Event, error) {
	var all []timeline.Event
	var partialErr error
	for _, address := range t.Addresses {
		var events []timeline.Event
		if err := call(http.MethodGet, address, "/v1/timeline", nil, nil, &events); err != nil {
			fmt.Fprintf(os.Stderr, "%s: no events: %s\n", address, err)
			partialErr = &problem.Problem{Code: problem.NotReady, Message: "not every process answered"}
		}
		all = append(all, events...)
	}
	return all, partialErr
}

// eventFilter holds the conditions that an event has to meet.
type eventFilter struct {
	names        []string // the event has to refer to each of them
	kinds        []string // empty allows any kind
	since, until time.Time
}

func (t timelineCmd) parseFilter(now time.Time) (eventFilter, error) {
	f := eventFilter{kinds: t.Kind}
	for _, name := range []string{t.Request, t.Plan, t.Target} {
		if name != "" {
			f.names = append(f.names, name)
		}
	}
	var err error
	if f.since, err = parseTime("--since", t.Since, now); err != nil {
		return f, err
	}
	f.until, err = parseTime("--until", t.Until, now)
	return f, err
}

// parseTime parses an RFC 3339 time, or a duration before now. It returns the zero time for an empty text.
func parseTime(flag, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, &problem.Problem{
			Code:    problem.Invalid,
			Message: fmt.Sprintf("%s: expected a time such as 2026-01-31T08:00:00Z or a duration such as 5m, got %q", flag, text),
		}
	}
	return at, nil
}

func (f eventFilter) matches(ev timeline.Event) bool {
	at := time.Unix(0, ev.At.Wall)
	switch {
	case !f.since.IsZero() && at.Before(f.since), !f.until.IsZero() && at.After(f.until):
		return false
	case len(f.kinds) > 0 && !slices.Contains(f.kinds, ev.Kind):
		return false
	}
	for _, name := range f.names {
		if ev.Subject != name && !containsWord(ev.Detail, name) {
			return false
		}
	}
	return true
}

// containsWord reports whether a text contains a name as a whole word.
func containsWord(text, name string) bool {
	return slices.Contains(strings.FieldsFunc(text, func(r rune) bool {
		return strings.ContainsRune(" ,;:=\"[](){}", r)
	}), name)
}
