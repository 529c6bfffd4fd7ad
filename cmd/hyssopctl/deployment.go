package main

import (
	"fmt"
	"time"

	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
)

// demoDeployment returns a small deployment with two indexes modelled on those of the returns division.
func demoDeployment(platformPort int) fleet.Deployment {
	return fleet.Deployment{
		Host:           "127.0.0.1",
		PlatformPort:   platformPort,
		FailureDomains: []string{"austur-a", "reykjanes-a", "nordur-a"},
		Indexes: []fleet.Index{
			{Name: "returns-counter", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond},
			{Name: "washing-depot", Shards: 1, Replicas: 10, Slots: 2, Connections: 100, ConnectionCost: time.Millisecond},
		},
		Lists:           demoLists(),
		MeanServiceTime: 2 * time.Millisecond,
		Seed:            1,
	}
}

const (
	// fanOutSlots exceeds the number of queries that path-cost has in flight, so that no sub-request is queued.
	fanOutSlots       = 64
	fanOutConnections = 25
)

// fanOutDeployment returns a deployment with one index for each fan-out, whose searchers answer without delay.
func fanOutDeployment(platformPort int, fanOuts []int) fleet.Deployment {
	d := demoDeployment(platformPort)
	d.MeanServiceTime = 0
	d.Indexes = nil
	entry := d.Lists.Limits["counter"]
	entry.Value.Indexes = nil
	entry.Value.DeadlineMillis = 5000
	entry.Value.RatePerSecond, entry.Value.Concurrency = 1_000_000, 1_000_000
	for _, n := range fanOuts {
		name := fmt.Sprintf("fan-%d", n)
		d.Indexes = append(d.Indexes, fleet.Index{
			Name: name, Shards: n, Replicas: 1, Slots: fanOutSlots, Connections: fanOutConnections,
		})
		entry.Value.Indexes = append(entry.Value.Indexes, name)
	}
	d.Lists.Limits["counter"] = entry
	return d
}

func demoLists() config.Lists {
	const initial config.Revision = 1
	plan := config.Plan{Name: "counter", Priority: config.PriorityHigh, Prefer: config.PreferTail}
	limit := config.Limit{
		Plan: "counter", Indexes: []string{"returns-counter", "washing-depot"},
		RatePerSecond: 1000, Concurrency: 100, DeadlineMillis: 250, LeastCoverage: 0.5, MayExecute: true,
	}
	return config.Lists{
		Sequence: initial,
		Plans:    map[string]config.Entry[config.Plan]{plan.Name: {Value: plan, Revision: initial, Edit: "initial"}},
		Limits:   map[string]config.Entry[config.Limit]{plan.Name: {Value: limit, Revision: initial, Edit: "initial"}},
	}
}
