package measure

import (
	"fmt"
	"time"

	"hyssopcroft.example/query"
)

// IndexSize holds the sizes of one index (design page, section 1.7).
type IndexSize struct {
	Name        string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	// ConnectCost is the time to open a connection in addition to the network delay.
	ConnectCost time.Duration
}

// Deployment holds the sizes and delays of one organisation's deployment (design page, section 1.7).
type Deployment struct {
	Name           string
	FailureDomains []string
	// Region holds the region of each failure domain. The design page names no regions; the third failure
	// domain is assumed to be in another region.
	Region           []int
	IntraDomainDelay time.Duration // one way
	InterDomainDelay time.Duration // one way
	InterRegionDelay time.Duration // one way
	ClientDelay      time.Duration // one way
	Entries          int
	Indexes          []IndexSize
}

// intraDomainDelay is the one-way delay inside a failure domain, which the design page does not state.
const intraDomainDelay = 250 * time.Microsecond

// Deployments returns both deployments. Their first two indexes are sharded; the others have one shard.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "returns", FailureDomains: []string{"austur-a", "reykjanes-a", "nordur-a"}, Region: []int{0, 0, 1},
			IntraDomainDelay: intraDomainDelay, InterDomainDelay: 4 * time.Millisecond, InterRegionDelay: 12 * time.Millisecond,
			ClientDelay: 3 * time.Millisecond, Entries: 6,
			Indexes: []IndexSize{
				{Name: "shop-counter", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
				{Name: "deposit-ledger", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
				{Name: "washing-depot", Shards: 1, Replicas: 10, Slots: 2, Connections: 100, ConnectCost: time.Millisecond},
				{Name: "haulage", Shards: 1, Replicas: 5, Slots: 2, Connections: 100, ConnectCost: time.Millisecond},
			},
		},
		{
			Name: "tegid", FailureDomains: []string{"caernarfon", "llandrindod", "pontypridd"}, Region: []int{0, 0, 1},
			IntraDomainDelay: intraDomainDelay, InterDomainDelay: 4 * time.Millisecond, InterRegionDelay: 8 * time.Millisecond,
			ClientDelay: time.Millisecond, Entries: 8,
			Indexes: []IndexSize{
				{Name: "proof-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
				{Name: "embosser", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
				{Name: "order-records", Shards: 1, Replicas: 5, Slots: 6, Connections: 50, ConnectCost: time.Millisecond},
				{Name: "packing", Shards: 1, Replicas: 3, Slots: 6, Connections: 50, ConnectCost: time.Millisecond},
			},
		},
	}
}

// Sharded returns the sharded indexes.
func (d Deployment) Sharded() []IndexSize { return d.Indexes[:2] }

// Delay returns the one-way delay between two failure domains without jitter.
func (d Deployment) Delay(a, b int) time.Duration {
	switch {
	case a == b:
		return d.IntraDomainDelay
	case d.Region[a] == d.Region[b]:
		return d.InterDomainDelay
	}
	return d.InterRegionDelay
}

// shards returns the ids of the shards of the index.
func (ix IndexSize) shards() []query.Shard {
	shards := make([]query.Shard, ix.Shards)
	for i := range shards {
		shards[i] = query.Shard(i)
	}
	return shards
}

// targetID returns the id of one replica of one shard.
func (ix IndexSize) targetID(shard, replica int) query.TargetID {
	return query.TargetID(fmt.Sprintf("%s-%d-%d", ix.Name, shard, replica))
}

// targets returns the target list of the index. Replica r is in failure domain r modulo the number of
// failure domains.
func (d Deployment) targets(ix IndexSize) []query.Target {
	var targets []query.Target
	for s, shard := range ix.shards() {
		for r := range ix.Replicas {
			targets = append(targets, query.Target{
				ID: ix.targetID(s, r), FailureDomain: d.FailureDomains[r%len(d.FailureDomains)],
				Index: ix.Name, Shards: []query.Shard{shard}, Connections: ix.Connections,
			})
		}
	}
	return targets
}
