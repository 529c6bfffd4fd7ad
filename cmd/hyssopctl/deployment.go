package main

import (
	"time"

	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
)

// demoDeployment returns a small deployment with the shapes of the returns division's indexes.
func demoDeployment(platformPort int) fleet.Deployment {
	return fleet.Deployment{
		Host:           "127.0.0.1",
		PlatformPort:   platformPort,
		FailureDomains: []string{"austur-a", "reykjanes-a", "nordur-a"},
		Indexes: []fleet.Index{
			{Name: "returns-counter", Shards: 10, Replicas: 3, Slots: 2, Connections: 25},
			{Name: "washing-depot", Shards: 1, Replicas: 10, Slots: 2, Connections: 100},
		},
		Lists:           demoLists(),
		MeanServiceTime: 2 * time.Millisecond,
		Seed:            1,
	}
}

func demoLists() config.Lists {
	const first config.Revision = 1
	plan := config.Plan{Name: "counter", Priority: config.PriorityHigh, Prefer: config.PreferTail}
	limit := config.Limit{
		Plan: "counter", Indexes: []string{"returns-counter", "washing-depot"},
		RatePerSecond: 1000, Concurrency: 100, DeadlineMillis: 250, LeastCoverage: 0.5, MayExecute: true,
	}
	return config.Lists{
		Sequence: first,
		Plans:    map[string]config.Entry[config.Plan]{plan.Name: {Value: plan, Revision: first, Edit: "initial"}},
		Limits:   map[string]config.Entry[config.Limit]{plan.Name: {Value: limit, Revision: first, Edit: "initial"}},
	}
}
