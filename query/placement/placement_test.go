package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/placement"
)

const (
	instances   = 780
	domains     = 7
	connections = 25
	// batchSize is the number of instances that a rolling replacement replaces at once.
	batchSize = 39
)

// designSizeTargets returns 5,700 targets: four indexes of 440 shards and one of 140, three replicas each in
// three failure domains.
func designSizeTargets() map[string][]query.Target {
	random := rand.New(rand.NewPCG(1, 1))
	out := map[string][]query.Target{}
	for ix, shards := range []int{440, 440, 440, 440, 140} {
		name := fmt.Sprintf("index-%d", ix)
		for s := range shards {
			for _, d := range random.Perm(domains)[:3] {
				out[name] = append(out[name], query.Target{
					ID: query.TargetID(fmt.Sprintf("%s-%d-%d", name, s, d)), FailureDomain: domain(d), Index: name,
					Shards: []query.Shard{query.Shard(s)}, Connections: connections,
				})
			}
		}
	}
	return out
}

func domain(n int) string { return fmt.Sprintf("domain-%d", n) }

func generation(n, from, to int) []placement.Instance {
	var list []placement.Instance
	for i := from; i < to; i++ {
		list = append(list, placement.Instance{ID: fmt.Sprintf("instance-%d-%d", i, n), FailureDomain: domain(i % domains)})
	}
	return list
}

func markLeaving(list []placement.Instance) []placement.Instance {
	out := make([]placement.Instance, len(list))
	for i, in := range list {
		in.Leaving = true
		out[i] = in
	}
	return out
}

type pair struct {
	group    placement.GroupID
	instance string
}

// view lists the holders and the leaving holders of all groups for one list of instances.
type view struct {
	holders, leavingHolders map[pair]bool
}

func allGroups() []placement.Group {
	var all []placement.Group
	for name, targets := range designSizeTargets() {
		all = append(all, placement.Groups(name, targets)...)
	}
	return all
}

func viewOf(groups []placement.Group, list []placement.Instance) view {
	v := view{holders: map[pair]bool{}, leavingHolders: map[pair]bool{}}
	for _, g := range groups {
		for _, i := range placement.Holders(g, list) {
			v.holders[pair{g.ID, i.ID}] = true
		}
		for _, i := range placement.LeavingHolders(g, list) {
			v.leavingHolders[pair{g.ID, i.ID}] = true
		}
	}
	return v
}

// maxHolders returns the maximum number of instances connected to the targets of one group.
func maxHolders(connected map[pair]bool) int {
	perGroup := map[placement.GroupID]int{}
	largest := 0
	for p := range connected {
		perGroup[p.group]++
		largest = max(largest, perGroup[p.group])
	}
	return largest
}

// Guards against targets that get more connections than their limit while all instances are replaced, at once or
// in batches, and while some instances have not received the newest member list.
func TestReplacementStaysWithinTheConnectionLimit(t *testing.T) {
	groups := allGroups()
	old := viewOf(groups, generation(0, 0, instances))
	require.LessOrEqual(t, maxHolders(old.holders), connections/2, "steady state")

	atOnce := viewOf(groups, append(generation(1, 0, instances), markLeaving(generation(0, 0, instances))...))
	connected := atOnce.holders
	for p := range atOnce.leavingHolders {
		connected[p] = connected[p] || old.holders[p]
	}
	require.LessOrEqual(t, maxHolders(connected), connections, "all at once")

	before := old
	maxConnected := 0
	for from := 0; from < instances; from += batchSize {
		list := append(generation(1, 0, from+batchSize), generation(0, from+batchSize, instances)...)
		list = append(list, markLeaving(generation(0, from, from+batchSize))...)
		after := viewOf(groups, list)
		connected := map[pair]bool{}
		for p := range after.holders {
			connected[p] = true
		}
		for p := range before.holders { // has not seen this batch yet, or is leaving
			connected[p] = true
		}
		maxConnected = max(maxConnected, maxHolders(connected))
		before = after
	}
	t.Logf("largest number of connections in steady state %d, in batches %d", maxHolders(old.holders), maxConnected)
	require.LessOrEqual(t, maxConnected, connections, "in batches")
}

// Guards against a loss of instances that moves connections of the remaining ones.
func TestLossMovesOnlyLostConnections(t *testing.T) {
	groups := allGroups()
	all := generation(0, 0, instances)
	before := viewOf(groups, all).holders
	cases := []struct {
		name string
		lost func(i int, in placement.Instance) bool
	}{
		{"one instance", func(i int, _ placement.Instance) bool { return i == 17 }},
		{"one failure domain", func(_ int, in placement.Instance) bool { return in.FailureDomain == domain(3) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list []placement.Instance
			lost := map[string]bool{}
			for i, in := range all {
				if c.lost(i, in) {
					lost[in.ID] = true
				} else {
					list = append(list, in)
				}
			}
			after := viewOf(groups, list).holders
			gone, moved := 0, 0
			for p := range before {
				if lost[p.instance] {
					gone++
				} else {
					require.True(t, after[p], "%v was dropped", p)
				}
			}
			for p := range after {
				if !before[p] {
					moved++
				}
			}
			t.Logf("%d of %d pairs of group and instance moved", moved, len(before))
			require.Equal(t, gone, moved)
		})
	}
}

// Guards against groups that separate the replicas of a shard or omit a target.
func TestGroupsKeepReplicasTogether(t *testing.T) {
	targets := designSizeTargets()["index-0"]
	targets = append(targets, query.Target{ID: "halves", FailureDomain: domain(0), Shards: []query.Shard{1, 1000, 1001}, Connections: connections})
	p := placement.New("instance-0-0", "index-0", targets, generation(0, 0, instances))
	require.False(t, p.Flat())
	grouped := 0
	held := 0
	for _, g := range p.Groups() {
		grouped += len(g.Targets)
		if p.Holds(g.ID) {
			held++
		}
	}
	require.Equal(t, len(targets), grouped)
	for _, x := range targets {
		for _, s := range x.Shards {
			g, ok := p.GroupOf(s)
			require.True(t, ok)
			require.Contains(t, g.Targets, x.ID)
		}
	}
	t.Logf("%d groups, one instance holds %d", len(p.Groups()), held)
}

// Guards against a fan-out over two levels where one is enough, and over one level above the connection limit.
func TestFlatWithinConnectionLimit(t *testing.T) {
	targets := designSizeTargets()["index-4"]
	for live, want := range map[int]bool{1: true, 12: true, 13: false} {
		list := append(generation(0, 0, live), markLeaving(generation(1, 0, 12))...)
		p := placement.New("instance-0-0", "index-4", targets, list)
		require.Equal(t, want, p.Flat(), "%d live instances", live)
		if !want {
			continue
		}
		for _, x := range targets {
			require.True(t, p.HoldsTarget(x.ID))
		}
	}
}

// Guards against holders outside the failure domains of the targets while there are enough inside.
func TestHoldersAreInTheGroupsFailureDomains(t *testing.T) {
	for _, g := range allGroups() {
		for _, h := range placement.Holders(g, generation(0, 0, instances)) {
			require.Contains(t, g.FailureDomains, h.FailureDomain)
		}
	}
}
