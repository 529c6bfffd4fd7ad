package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/roster"
)

var start = time.Unix(1000, 0)

func entry(id string) roster.Entry { return roster.Entry{ID: id, Service: "ledger"} }

func gone(id string) []roster.Change { return []roster.Change{{ID: id}} }

func ids(r *roster.Roster) []string {
	var out []string
	for _, e := range r.Entries(start.Add(time.Hour)) {
		out = append(out, e.ID)
	}
	return out
}

// Guards against a target that is used after its entry was removed, and against the loss of all targets
// whose entries lapsed because the list was away.
func TestVanishedEntries(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(r *roster.Roster)
		want []string
	}{
		"removed in calm": {func(r *roster.Roster) { r.Apply(start.Add(time.Minute), gone("a")) }, []string{"b"}},
		"missing from a list in calm": {func(r *roster.Roster) {
			r.Replace(start.Add(time.Minute), []roster.Entry{entry("b")})
		}, []string{"b"}},
		"lapsed while away": {func(r *roster.Roster) {
			r.Back(start.Add(time.Minute))
			r.Replace(start.Add(time.Minute), nil)
		}, []string{"a", "b"}},
		"lapsed, and told of after the return": {func(r *roster.Roster) {
			r.Back(start.Add(time.Minute))
			r.Apply(start.Add(time.Minute), nil)
			r.Apply(start.Add(time.Minute+time.Second), gone("a"))
		}, []string{"a", "b"}},
		"lapsed and not back in time": {func(r *roster.Roster) {
			r.Back(start.Add(time.Minute))
			r.Replace(start.Add(time.Minute), []roster.Entry{entry("b")})
			require.Equal(t, start.Add(time.Minute+roster.LapseGrace), r.NextWake())
			require.True(t, r.OnWake(r.NextWake()))
		}, []string{"b"}},
		"lapsed and back in time": {func(r *roster.Roster) {
			r.Back(start.Add(time.Minute))
			r.Replace(start.Add(time.Minute), []roster.Entry{entry("b")})
			r.Apply(start.Add(time.Minute+time.Second), []roster.Change{{ID: "a", Entry: &roster.Entry{ID: "a"}}})
			require.True(t, r.NextWake().IsZero())
			require.False(t, r.OnWake(start.Add(time.Hour)))
		}, []string{"a", "b"}},
		"removed long after the return": {func(r *roster.Roster) {
			r.Back(start.Add(time.Minute))
			r.Apply(start.Add(time.Minute), nil)
			r.Apply(start.Add(2*time.Minute), gone("a"))
		}, []string{"b"}},
		"draining before the list was away": {func(r *roster.Roster) {
			r.Apply(start, []roster.Change{{ID: "a", Entry: &roster.Entry{ID: "a", Draining: true}}})
			r.Back(start.Add(time.Minute))
			r.Replace(start.Add(time.Minute), []roster.Entry{entry("b")})
		}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Replace(start, []roster.Entry{entry("a"), entry("b")})
			c.run(r)
			require.ElementsMatch(t, c.want, ids(r))
		})
	}
}

// Guards against a cold target that counts as cold for good, or not at all.
func TestCold(t *testing.T) {
	r := roster.New()
	r.Replace(start, []roster.Entry{{ID: "a", Cold: 3 * time.Second}})
	require.Equal(t, 2*time.Second, r.Entries(start.Add(time.Second))[0].Cold)
	require.Zero(t, r.Entries(start.Add(4 * time.Second))[0].Cold)
}

// Guards against a target that comes back into use with every list although another one has its address,
// and against one that stays out after it has moved or started again.
func TestMisplaced(t *testing.T) {
	r := roster.New()
	old := roster.Entry{ID: "a", Address: "10.0.0.1:1", Incarnation: 1}
	r.Replace(start, []roster.Entry{old, entry("b")})
	r.Misplaced(old)
	require.Equal(t, []string{"b"}, ids(r))
	r.Replace(start.Add(time.Second), []roster.Entry{old, entry("b")})
	require.Equal(t, []string{"b"}, ids(r))
	moved := old
	moved.Incarnation = 2
	r.Replace(start.Add(2*time.Second), []roster.Entry{moved, entry("b")})
	require.ElementsMatch(t, []string{"a", "b"}, ids(r))
}
