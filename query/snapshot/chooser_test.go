package snapshot_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/snapshot"
)

// TestMain fixes the seed of the property tests, so that runs are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func target(id string, shards ...query.Shard) query.Target {
	return query.Target{ID: query.TargetID(id), Shards: shards}
}

var now = time.Unix(1000, 0)

func versions(v ...query.Version) []query.Version { return v }

// Guards against a version that is chosen before two replicas of a shard hold it, that is delayed by shards
// without replicas, or that is abandoned while it is still held.
func TestChoose(t *testing.T) {
	old, split := query.Map{Version: 1, Shards: []query.Shard{1, 2}}, query.Map{Version: 2, Shards: []query.Shard{1, 3, 4}}
	targets := []query.Target{target("a1", 1), target("a2", 1), target("b1", 2, 3, 4), target("b2", 2, 3, 4)}
	type report struct {
		target query.TargetID
		held   []query.Version
	}
	cases := []struct {
		name    string
		targets []query.Target
		reports []report
		want    query.Version
	}{
		{"nothing reported", targets, nil, 1},
		{"one replica reported", targets, []report{{"a1", versions(1, 2)}, {"a2", versions(1)}, {"b1", versions(1, 2)}, {"b2", versions(1, 2)}}, 1},
		{"all reported", targets, []report{{"a1", versions(1, 2)}, {"a2", versions(1, 2)}, {"b1", versions(1, 2)}, {"b2", versions(2)}}, 2},
		{"single replica", targets[1:], []report{{"a2", versions(1, 2)}, {"b1", versions(1, 2)}, {"b2", versions(1, 2)}}, 2},
		{"shard without replica", targets[2:], []report{{"b1", versions(1, 2)}, {"b2", versions(1, 2)}}, 2},
		{"old version lost", targets, []report{{"a1", versions(2)}, {"a2", versions(2)}, {"b1", versions(1, 2)}}, 2},
		{"newer one lost again", targets, []report{{"a1", versions(2)}, {"a2", versions(2)}, {"b1", versions(2)}, {"b2", versions(2)},
			{"b1", versions(1)}, {"b2", versions(1)}, {"a1", versions(1)}, {"a2", versions(1)}, {"b1", versions(1, 2)}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var chooser snapshot.Chooser
			_, known := chooser.Choose(now)
			require.False(t, known)
			chooser.Publish([]query.Map{split, old})
			chooser.SetTargets(c.targets)
			for _, r := range c.reports {
				chooser.Observe(now, r.target, r.held)
				chooser.Choose(now)
			}
			m, known := chooser.Choose(now)
			require.True(t, known)
			require.Equal(t, c.want, m.Version)
		})
	}
}

// Guards against a choice that moves to an older version although no shard has lost the chosen one, and
// against a choice that returns to a lost version before all replicas hold it.
func TestChoiceDoesNotOscillate(t *testing.T) {
	maps := []query.Map{{Version: 1, Shards: []query.Shard{1, 2}}, {Version: 2, Shards: []query.Shard{1, 3}}, {Version: 3, Shards: []query.Shard{1, 2}}}
	targets := []query.Target{target("a1", 1), target("a2", 1), target("a3", 1), target("b1", 2, 3), target("b2", 2, 3)}
	rapid.Check(t, func(t *rapid.T) {
		var chooser snapshot.Chooser
		chooser.Publish(maps)
		chooser.SetTargets(targets)
		m, _ := chooser.Choose(now)
		lost := map[query.Version]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			to := rapid.SampledFrom(targets).Draw(t, "target")
			var held []query.Version
			for _, v := range versions(1, 2, 3) {
				if rapid.Bool().Draw(t, "holds") {
					held = append(held, v)
				}
			}
			chooser.Observe(now, to.ID, held)
			before := m
			m, _ = chooser.Choose(now)
			if m.Version == before.Version {
				continue
			}
			isLost := chooser.Lost(now, before.Shards[0], before.Version) || chooser.Lost(now, before.Shards[1], before.Version)
			require.True(t, m.Version > before.Version || isLost, "moved back from %d", before.Version)
			for _, x := range targets {
				require.False(t, lost[m.Version] && !isLost && serves(x, m) && !chooser.MayHold(now, x.ID, m.Version), "returned to a lost version")
			}
			lost[before.Version] = lost[before.Version] || isLost
		}
	})
}

func serves(t query.Target, m query.Map) bool {
	return slices.ContainsFunc(t.Shards, func(s query.Shard) bool { return slices.Contains(m.Shards, s) })
}

// Guards against a second restart, a restart without enough time left, and a restart while a replica may still
// hold the version.
func TestRestart(t *testing.T) {
	const median = 10 * time.Millisecond
	cases := []struct {
		name     string
		timeLeft time.Duration
		reports  []query.TargetID // targets that report version 2 only
		outcome  query.Outcome
		want     bool
	}{
		{"all replicas lost it", 3 * median, []query.TargetID{"a1", "a2"}, query.OutcomeSnapshotGone, true},
		{"too late", 2 * median, []query.TargetID{"a1", "a2"}, query.OutcomeSnapshotGone, false},
		{"one replica may hold it", 3 * median, []query.TargetID{"a1"}, query.OutcomeSnapshotGone, false},
		{"other outcome", 3 * median, []query.TargetID{"a1", "a2"}, query.OutcomeShed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var chooser snapshot.Chooser
			chooser.Publish([]query.Map{{Version: 1, Shards: []query.Shard{1}}, {Version: 2, Shards: []query.Shard{1}}})
			chooser.SetTargets([]query.Target{target("a1", 1), target("a2", 1)})
			for _, id := range c.reports {
				chooser.Observe(now, id, versions(2))
			}
			restart := snapshot.NewRestart(1, now.Add(c.timeLeft))
			m, restarted := restart.OnReply(now, &chooser, 1, c.outcome, median)
			require.Equal(t, c.want, restarted)
			if !restarted {
				return
			}
			require.Equal(t, query.Version(2), m.Version)
			gone := query.Coverage{Missing: []query.MissingShard{{Shard: 1, Cause: query.CauseSnapshotGone}}}
			_, restarted = restart.OnFinish(now, &chooser, gone, median)
			require.False(t, restarted, "second restart")
		})
	}
}

// Guards against a target that loads a version late and is excluded permanently, because it is not queried at
// that version and therefore cannot report it.
func TestReportOfMissingNewerVersionExpires(t *testing.T) {
	var chooser snapshot.Chooser
	chooser.Publish([]query.Map{{Version: 1, Shards: []query.Shard{1}}, {Version: 2, Shards: []query.Shard{1}}, {Version: 3, Shards: []query.Shard{1}}})
	chooser.SetTargets([]query.Target{target("a1", 1)})
	chooser.Observe(now, "a1", versions(2))
	later := now.Add(time.Second)
	require.False(t, chooser.MayHold(now, "a1", 3))
	require.True(t, chooser.MayHold(later, "a1", 3))
	require.False(t, chooser.MayHold(later, "a1", 1), "a dropped version does not come back")
}

// Guards against using up the restart on a version that not all shards have reported, while replies with
// further reports are outstanding.
func TestEarlyRestartRequiresReportedNewerVersion(t *testing.T) {
	var chooser snapshot.Chooser
	chooser.Publish([]query.Map{{Version: 1, Shards: []query.Shard{1, 2}}, {Version: 2, Shards: []query.Shard{1, 2}}})
	chooser.SetTargets([]query.Target{target("a1", 1), target("b1", 2)})
	chooser.Observe(now, "a1", versions(2))
	restart := snapshot.NewRestart(1, now.Add(time.Second))
	_, restarted := restart.OnReply(now, &chooser, 1, query.OutcomeSnapshotGone, time.Millisecond)
	require.False(t, restarted, "shard 2 has not reported version 2")
	chooser.Observe(now, "b1", versions(1, 2))
	gone := query.Coverage{Missing: []query.MissingShard{{Shard: 1, Cause: query.CauseSnapshotGone}}}
	m, restarted := restart.OnPartial(now, &chooser, gone, time.Millisecond)
	require.True(t, restarted)
	require.Equal(t, query.Version(2), m.Version)
}
