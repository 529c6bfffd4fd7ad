package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/kernel/timeline"
)

type statusCmd struct{}

// Run prints the status of one instance.
func (statusCmd) Run(c *cli) error {
	var status admin.Status
	if err := call(http.MethodGet, c.Instance, "/v1/status", nil, nil, &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	fmt.Printf("%s in %s: ready %t, configuration %d\n",
		status.Instance, status.FailureDomain, status.Ready, status.ConfigSequence)
	for _, m := range status.Members {
		fmt.Printf("  %-16s %-22s %-16s %-9s configuration %d\n", m.ID, m.Address, m.FailureDomain, m.State, m.ConfigSequence)
	}
	return nil
}

type timelineCmd struct {
	Instances []string `arg:"" help:"Addresses of the instances to collect from."`
}

// Run merges the events of all given instances in the order of their stamps.
func (t timelineCmd) Run(c *cli) error {
	var all []timeline.Event
	for _, address := range t.Instances {
		var events []timeline.Event
		if err := call(http.MethodGet, address, "/v1/timeline", nil, nil, &events); err != nil {
			return err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b timeline.Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	if c.JSON {
		return printJSON(all)
	}
	for _, ev := range all {
		fmt.Printf("%s  %-16s %-22s %-24s %s\n", ev.At, ev.Process, ev.Kind, ev.Subject, ev.Detail)
	}
	return nil
}
