package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

var start = time.Unix(1000, 0)

var (
	crashA      = quarantine.Crash{Shard: 1, Target: "a"}
	crashB      = quarantine.Crash{Shard: 2, Target: "b"}
	onlyShardA  = quarantine.Crash{Shard: 1}
	text, shape = quarantine.Identify("ledger", "jar 12")
	_, other    = quarantine.Identify("ledger", "jar: 12")
)

// step is one event of a case, or the verdict that is wanted at that time.
type step struct {
	after    time.Duration
	crash    *quarantine.Crash
	known    bool // a peer has told of the crash already
	answered bool
	ended    bool // the canary
	admit    bool
	want     quarantine.Verdict
}

func admit(v quarantine.Verdict) step      { return step{admit: true, want: v} }
func crash(c quarantine.Crash) step        { return step{crash: &c} }
func again(c quarantine.Crash) step        { return step{crash: &c, known: true} }
func (s step) at(after time.Duration) step { s.after = after; return s }
func (s step) run(t *testing.T, l *quarantine.List) {
	now := start.Add(s.after)
	switch {
	case s.crash != nil:
		require.Equal(t, !s.known, l.Crashed(now, text, shape, *s.crash))
	case s.answered:
		l.Answered(text, shape)
	case s.ended:
		l.EndCanary(text)
	case s.admit:
		require.Equal(t, s.want, l.Admit(now, text, shape))
	}
}

// Guards against a request that crashes a third target, against one that is refused without a second
// crash or for longer than the hold, and against two canaries of one request at a time.
func TestFaultCases(t *testing.T) {
	const (
		run    = quarantine.Run
		canary = quarantine.Canary
		wait   = quarantine.Wait
		refuse = quarantine.Refuse
	)
	answered, ended := step{answered: true}, step{ended: true}
	hold := quarantine.HoldDuration
	for name, steps := range map[string][]step{
		"unseen shape runs after its canary":       {admit(canary), admit(wait), answered, ended, admit(run)},
		"canary neither answered nor crashed":      {admit(canary), ended, admit(canary)},
		"known shape loses its standing":           {answered, admit(run), crash(crashA), answered, admit(run), crash(crashA), admit(canary)},
		"suspect is cleared by an answered canary": {crash(crashA), admit(canary), answered, ended, admit(run)},
		"suspect stays one without an answer":      {crash(crashA), admit(canary), ended, admit(canary)},
		"second crash confirms":                    {admit(canary), crash(crashA), ended, admit(canary), crash(crashB), ended, admit(refuse)},
		"same crash told twice confirms nothing":   {crash(crashA), again(crashA), admit(canary)},
		"crash known by its shard is the same":     {crash(crashA), again(onlyShardA), admit(canary)},
		"target learnt later is the same crash":    {crash(onlyShardA), again(crashA), admit(canary)},
		"refused until the hold ends":              {crash(crashA), crash(crashB), admit(refuse).at(hold - 1), admit(canary).at(hold), admit(wait).at(hold)},
		"released by an answered canary":           {crash(crashA), crash(crashB), admit(canary).at(hold), answered, ended, admit(run).at(hold)},
		"held again by a crash after the release":  {crash(crashA), crash(crashB), admit(canary).at(hold), crash(crashA).at(hold), ended, admit(refuse).at(2*hold - 1)},
		"third crash in flight tells nothing new":  {crash(crashA), crash(crashB), again(quarantine.Crash{Shard: 3, Target: "c"}), admit(refuse)},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewList()
			for _, s := range steps {
				s.run(t, l)
			}
		})
	}
}

// Guards against a confirmed request that an instance which reads the store does not refuse, or that is
// held for longer than the hold because of a wrong clock.
func TestConfirmedIsShared(t *testing.T) {
	first := quarantine.NewList()
	first.Crashed(start, text, shape, crashA)
	_, confirmed := first.Confirmed(start, text, shape)
	require.False(t, confirmed)
	first.Crashed(start, text, shape, crashB)
	c, confirmed := first.Confirmed(start, text, shape)
	require.True(t, confirmed)
	shared, added := quarantine.MergeConfirmed(start, nil, []quarantine.Confirmed{c})
	require.True(t, added)
	_, added = quarantine.MergeConfirmed(start, shared, []quarantine.Confirmed{c})
	require.False(t, added)
	rest, _ := quarantine.MergeConfirmed(start.Add(quarantine.HoldDuration), shared, nil)
	require.Empty(t, rest)
	for name, now := range map[string]time.Time{"same clock": start, "clock behind": start.Add(-time.Hour)} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewList()
			l.Import(now, shared[0])
			require.Equal(t, quarantine.Refuse, l.Admit(now.Add(quarantine.HoldDuration-1), text, shape))
			require.Equal(t, quarantine.Canary, l.Admit(now.Add(quarantine.HoldDuration), text, shape))
		})
	}
	l := quarantine.NewList()
	l.Import(start.Add(quarantine.HoldDuration), shared[0])
	require.False(t, l.HeldBack(text))
}

// Guards against texts of different forms that share a standing, and words that do not.
func TestShapes(t *testing.T) {
	_, same := quarantine.Identify("ledger", "lid 34")
	_, index := quarantine.Identify("depot", "jar 12")
	require.Equal(t, shape, same)
	require.NotEqual(t, shape, other)
	require.NotEqual(t, shape, index)
}

// Guards against memory that grows with the number of texts and shapes.
func TestMemoryIsBounded(t *testing.T) {
	l := quarantine.NewList()
	l.Crashed(start, 0, 0, crashA)
	for i := range 1 << 13 {
		l.Crashed(start, quarantine.Fingerprint(i+1), quarantine.Shape(i+1), crashA)
		l.Answered(quarantine.Fingerprint(1<<20+i), quarantine.Shape(1<<20+i))
	}
	require.False(t, l.HeldBack(0))
	require.True(t, l.HeldBack(1<<13))
}

// Guards against instances that send canaries of one request to different targets, and against a second
// canary on a replica of a shard that crashed.
func TestPlaces(t *testing.T) {
	m := query.Map{Shards: []query.Shard{1, 2, 3}}
	var targets []query.Target
	for _, s := range m.Shards {
		for _, r := range []query.TargetID{"x", "y", "z"} {
			targets = append(targets, query.Target{ID: r + query.TargetID(rune('0'+s)), Shards: []query.Shard{s}})
		}
	}
	places := quarantine.CanaryTargets(text, m, targets, nil)
	require.Len(t, places, 3)
	reversed := []query.Target{}
	for i := range targets {
		reversed = append(reversed, targets[len(targets)-1-i])
	}
	require.Equal(t, places, quarantine.CanaryTargets(text, m, reversed, nil))
	require.Equal(t, places[1:], quarantine.CanaryTargets(text, m, targets, []query.Shard{places[0].Shard}))
}

// Guards against an index of one shard whose suspects can never be cleared, and against a canary on a
// target that has crashed already or may have.
func TestPlacesOfOnlyShard(t *testing.T) {
	targets := []query.Target{
		{ID: "a", Shards: []query.Shard{0}}, {ID: "b", Shards: []query.Shard{0}},
		{ID: "c", Shards: []query.Shard{0}, Leaving: true}, {ID: "d", Shards: []query.Shard{1}},
	}
	places := quarantine.SingleShardCanaryTargets(7, 0, targets, nil)
	require.ElementsMatch(t, []quarantine.Crash{{Target: "a"}, {Target: "b"}}, places)
	require.Equal(t, places[1:], quarantine.SingleShardCanaryTargets(7, 0, targets, places[:1]))
	require.Empty(t, quarantine.SingleShardCanaryTargets(7, 0, targets, []quarantine.Crash{{Shard: 0}}))
}
