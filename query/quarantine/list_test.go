package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

var start = time.Unix(1000, 0)

var (
	crashA              = quarantine.Crash{Shard: 1, Target: "a"}
	crashB              = quarantine.Crash{Shard: 2, Target: "b"}
	crashAWithoutTarget = quarantine.Crash{Shard: 1}
	fingerprint, shape  = quarantine.Identify("ledger", "jar 12")
	_, otherShape       = quarantine.Identify("ledger", "jar: 12")
)

// step is one event of a test case, or the verdict expected at that time.
type step struct {
	after     time.Duration
	crash     *quarantine.Crash
	duplicate bool // the crash is recorded already
	answered  bool
	endCanary bool // the canary ends
	admit     bool
	want      quarantine.Verdict
}

func admit(v quarantine.Verdict) step      { return step{admit: true, want: v} }
func crash(c quarantine.Crash) step        { return step{crash: &c} }
func repeated(c quarantine.Crash) step     { return step{crash: &c, duplicate: true} }
func (s step) at(after time.Duration) step { s.after = after; return s }
func (s step) run(t *testing.T, l *quarantine.List) {
	now := start.Add(s.after)
	switch {
	case s.crash != nil:
		require.Equal(t, !s.duplicate, l.RecordCrash(now, fingerprint, shape, *s.crash))
	case s.answered:
		l.RecordAnswer(fingerprint, shape)
	case s.endCanary:
		l.EndCanary(fingerprint)
	case s.admit:
		require.Equal(t, s.want, l.Admit(now, fingerprint, shape))
	}
}

// Guards against a request that crashes a third target, against a refusal without a second crash or for
// longer than HoldDuration, and against two concurrent canaries of one request.
func TestVerdicts(t *testing.T) {
	const (
		run    = quarantine.Run
		canary = quarantine.Canary
		wait   = quarantine.Wait
		refuse = quarantine.Refuse
	)
	answered, endCanary := step{answered: true}, step{endCanary: true}
	hold := quarantine.HoldDuration
	for name, steps := range map[string][]step{
		"unseen shape runs after its canary":       {admit(canary), admit(wait), answered, endCanary, admit(run)},
		"canary neither answered nor crashed":      {admit(canary), endCanary, admit(canary)},
		"known shape is removed by a crash":        {answered, admit(run), crash(crashA), answered, admit(run), crash(crashA), admit(canary)},
		"suspect is cleared by an answered canary": {crash(crashA), admit(canary), answered, endCanary, admit(run)},
		"suspect stays one without an answer":      {crash(crashA), admit(canary), endCanary, admit(canary)},
		"second crash confirms":                    {admit(canary), crash(crashA), endCanary, admit(canary), crash(crashB), endCanary, admit(refuse)},
		"duplicate report does not confirm":        {crash(crashA), repeated(crashA), admit(canary)},
		"crash known by its shard is the same":     {crash(crashA), repeated(crashAWithoutTarget), admit(canary)},
		"target reported later is the same":        {crash(crashAWithoutTarget), repeated(crashA), admit(canary)},
		"refused until the hold ends":              {crash(crashA), crash(crashB), admit(refuse).at(hold - 1), admit(canary).at(hold), admit(wait).at(hold)},
		"released by an answered canary":           {crash(crashA), crash(crashB), admit(canary).at(hold), answered, endCanary, admit(run).at(hold)},
		"held again by a crash after the release":  {crash(crashA), crash(crashB), admit(canary).at(hold), crash(crashA).at(hold), endCanary, admit(refuse).at(2*hold - 1)},
		"third crash in flight is not new":         {crash(crashA), crash(crashB), repeated(quarantine.Crash{Shard: 3, Target: "c"}), admit(refuse)},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewList()
			for _, s := range steps {
				s.run(t, l)
			}
		})
	}
}

// Guards against a confirmed request that an instance does not refuse after it has read it from the store, or
// that it refuses for longer than HoldDuration because the clocks differ.
func TestConfirmedIsShared(t *testing.T) {
	first := quarantine.NewList()
	first.RecordCrash(start, fingerprint, shape, crashA)
	_, confirmed := first.Confirmed(start, fingerprint, shape)
	require.False(t, confirmed)
	first.RecordCrash(start, fingerprint, shape, crashB)
	c, confirmed := first.Confirmed(start, fingerprint, shape)
	require.True(t, confirmed)
	shared, added := quarantine.MergeConfirmed(start, nil, []quarantine.Confirmed{c})
	require.True(t, added)
	_, added = quarantine.MergeConfirmed(start, shared, []quarantine.Confirmed{c})
	require.False(t, added)
	unexpired, _ := quarantine.MergeConfirmed(start.Add(quarantine.HoldDuration), shared, nil)
	require.Empty(t, unexpired)
	for name, now := range map[string]time.Time{"same clock": start, "clock behind": start.Add(-time.Hour)} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewList()
			l.Import(now, shared[0])
			require.Equal(t, quarantine.Refuse, l.Admit(now.Add(quarantine.HoldDuration-1), fingerprint, shape))
			require.Equal(t, quarantine.Canary, l.Admit(now.Add(quarantine.HoldDuration), fingerprint, shape))
		})
	}
	l := quarantine.NewList()
	l.Import(start.Add(quarantine.HoldDuration), shared[0])
	require.False(t, l.Restricted(fingerprint))
}

// Guards against one shape for texts of different forms or indexes, and against different shapes for texts that
// differ only in their words and numbers.
func TestShapes(t *testing.T) {
	_, sameForm := quarantine.Identify("ledger", "lid 34")
	_, otherIndex := quarantine.Identify("depot", "jar 12")
	require.Equal(t, shape, sameForm)
	require.NotEqual(t, shape, otherShape)
	require.NotEqual(t, shape, otherIndex)
}

// Guards against unbounded memory for fingerprints and shapes.
func TestMemoryIsBounded(t *testing.T) {
	l := quarantine.NewList()
	l.RecordCrash(start, 0, 0, crashA)
	for i := range 1 << 13 {
		l.RecordCrash(start, quarantine.Fingerprint(i+1), quarantine.Shape(i+1), crashA)
		l.RecordAnswer(quarantine.Fingerprint(1<<20+i), quarantine.Shape(1<<20+i))
	}
	require.False(t, l.Restricted(0))
	require.True(t, l.Restricted(1<<13))
}

// Guards against instances that send canaries of one request to different targets, and against a second
// canary on a shard of which a replica crashed.
func TestCanaryTargets(t *testing.T) {
	m := query.Map{Shards: []query.Shard{1, 2, 3}}
	var targets []query.Target
	for _, s := range m.Shards {
		for _, r := range []query.TargetID{"x", "y", "z"} {
			targets = append(targets, query.Target{ID: r + query.TargetID(rune('0'+s)), Shards: []query.Shard{s}})
		}
	}
	candidates := quarantine.CanaryTargets(fingerprint, m, targets, nil)
	require.Len(t, candidates, 3)
	reversed := []query.Target{}
	for i := range targets {
		reversed = append(reversed, targets[len(targets)-1-i])
	}
	require.Equal(t, candidates, quarantine.CanaryTargets(fingerprint, m, reversed, nil))
	require.Equal(t, candidates[1:], quarantine.CanaryTargets(fingerprint, m, targets, []query.Shard{candidates[0].Shard}))
}

// Guards against suspected requests that can never be cleared at an index of one shard, and against a canary
// on a target that has crashed or may have crashed.
func TestSingleShardCanaryTargets(t *testing.T) {
	targets := []query.Target{
		{ID: "a", Shards: []query.Shard{0}}, {ID: "b", Shards: []query.Shard{0}},
		{ID: "c", Shards: []query.Shard{0}, Leaving: true}, {ID: "d", Shards: []query.Shard{1}},
	}
	candidates := quarantine.SingleShardCanaryTargets(7, 0, targets, nil)
	require.ElementsMatch(t, []quarantine.Crash{{Target: "a"}, {Target: "b"}}, candidates)
	require.Equal(t, candidates[1:], quarantine.SingleShardCanaryTargets(7, 0, targets, candidates[:1]))
	require.Empty(t, quarantine.SingleShardCanaryTargets(7, 0, targets, []quarantine.Crash{{Shard: 0}}))
}

// Guards against an answer of which only some instances know, so that a request that it shows to be harmless is refused by those
// that start later; and against one that counts as later than the confirmation.
func TestConfirmedRequestKeepsItsAnswer(t *testing.T) {
	confirm := func(answered bool) quarantine.Confirmed {
		l := quarantine.NewListWithThreshold(3)
		if answered {
			l.RecordCompleteAnswer(start, fingerprint)
		}
		for n := range 3 {
			at := start.Add(time.Duration(n+1) * time.Second)
			l.RecordCrash(at, fingerprint, 0, crashAt(fmt.Sprint(n), time.Duration(n+1)*time.Second, 0))
		}
		c, confirmed := l.Confirmed(start.Add(3*time.Second), fingerprint, 0)
		require.True(t, confirmed)
		return c
	}
	unanswered, answered := confirm(false), confirm(true)
	require.Zero(t, unanswered.AnsweredMillis)
	merged, changed := quarantine.MergeConfirmed(start, []quarantine.Confirmed{unanswered}, []quarantine.Confirmed{answered})
	require.True(t, changed)
	require.Equal(t, []quarantine.Confirmed{answered}, merged)
	merged, changed = quarantine.MergeConfirmed(start, merged, []quarantine.Confirmed{unanswered, answered})
	require.False(t, changed)
	ahead := answered
	ahead.AnsweredMillis = start.Add(time.Hour).UnixMilli()
	for _, c := range append(merged, ahead) {
		l := quarantine.NewListWithThreshold(3)
		now := start.Add(4 * time.Second)
		l.Import(now, c)
		require.True(t, l.Refuses(now, fingerprint))
		require.False(t, l.TrialIsDue(now, fingerprint))
		require.True(t, l.TrialIsDue(now.Add(20*time.Second), fingerprint))
	}
}
