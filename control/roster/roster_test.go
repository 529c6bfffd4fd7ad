package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/roster"
)

var start = time.Unix(1000, 0)

func entry(id string) roster.Entry { return roster.Entry{ID: id, Service: "ledger"} }

func removal(id string) []roster.Change { return []roster.Change{{ID: id}} }

func ids(r *roster.Roster) []string {
	var out []string
	for _, e := range r.Entries(start.Add(time.Hour)) {
		out = append(out, e.ID)
	}
	return out
}

// Guards against a target that is used after its entry was removed, and against the loss of all targets
// whose entries lapsed while the store was unavailable.
func TestRemovedAndLapsedEntries(t *testing.T) {
	later := start.Add(time.Minute)
	for name, c := range map[string]struct {
		run  func(r *roster.Roster)
		want []string
	}{
		"removed":             {func(r *roster.Roster) { r.Apply(later, removal("a")) }, []string{"b"}},
		"missing from a list": {func(r *roster.Roster) { r.Replace(later, []roster.Entry{entry("b")}, false) }, []string{"b"}},
		"all lapsed":          {func(r *roster.Roster) { r.Replace(later, nil, true) }, []string{"a", "b"}},
		"lapsed and not back": {func(r *roster.Roster) {
			r.Replace(later, nil, true)
			r.Replace(later.Add(2*time.Second), []roster.Entry{entry("b")}, false)
		}, []string{"b"}},
		"lapsed and back": {func(r *roster.Roster) {
			r.Replace(later, nil, true)
			r.Replace(later.Add(2*time.Second), []roster.Entry{entry("a"), entry("b")}, false)
		}, []string{"a", "b"}},
		"lapsed, and no list since": {func(r *roster.Roster) {
			r.Replace(later, nil, true)
			r.Replace(later.Add(time.Second), []roster.Entry{entry("b")}, true)
			r.Apply(later.Add(time.Hour), nil)
		}, []string{"a", "b"}},
		"draining before the store was away": {func(r *roster.Roster) {
			r.Apply(start, []roster.Change{{ID: "a", Entry: &roster.Entry{ID: "a", Draining: true}}})
			r.Replace(later, []roster.Entry{entry("b")}, true)
		}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Replace(start, []roster.Entry{entry("a"), entry("b")}, false)
			c.run(r)
			require.ElementsMatch(t, c.want, ids(r))
		})
	}
}

// Guards against a cold target that never becomes warm, and against one that is not cold at all.
func TestColdForExpires(t *testing.T) {
	r := roster.New()
	r.Replace(start, []roster.Entry{{ID: "a", ColdFor: 3 * time.Second}}, false)
	require.Equal(t, 2*time.Second, r.Entries(start.Add(time.Second))[0].ColdFor)
	require.Zero(t, r.Entries(start.Add(4 * time.Second))[0].ColdFor)
}

// Guards against a target that each list adds again although another target uses its address, and
// against one that stays excluded after it has moved or restarted.
func TestAddressReused(t *testing.T) {
	r := roster.New()
	old := roster.Entry{ID: "a", Address: "10.0.0.1:1", Incarnation: 1}
	r.Replace(start, []roster.Entry{old, entry("b")}, false)
	r.OnAddressReused(old)
	require.Equal(t, []string{"b"}, ids(r))
	r.Replace(start.Add(time.Second), []roster.Entry{old, entry("b")}, false)
	require.Equal(t, []string{"b"}, ids(r))
	moved := old
	moved.Incarnation = 2
	r.Replace(start.Add(2*time.Second), []roster.Entry{moved, entry("b")}, false)
	require.ElementsMatch(t, []string{"a", "b"}, ids(r))
}

// Guards against targets that have left or are draining, and get requests again because a restored list still has them.
func TestEntriesOfACopyAreIgnored(t *testing.T) {
	written := func(sequence int64) roster.Entry { return roster.Entry{ID: "a", Incarnation: 5, Sequence: sequence} }
	draining := written(8)
	draining.Draining = true
	restarted := roster.Entry{ID: "a", Incarnation: 6, Sequence: 1}
	for name, c := range map[string]struct {
		before func(r *roster.Roster)
		after  roster.Entry
		ready  int
	}{
		"left":                       {func(r *roster.Roster) { r.Apply(start, removal("a")) }, written(3), 0},
		"left, registered again":     {func(r *roster.Roster) { r.Apply(start, removal("a")) }, written(9), 1},
		"left, restarted":            {func(r *roster.Roster) { r.Apply(start, removal("a")) }, restarted, 1},
		"left, states no sequence":   {func(r *roster.Roster) { r.Apply(start, removal("a")) }, written(0), 1},
		"draining":                   {func(r *roster.Roster) { r.Apply(start, []roster.Change{{ID: "a", Entry: &draining}}) }, written(3), 0},
		"ready":                      {func(*roster.Roster) {}, written(2), 1},
		"restarted before the store": {func(r *roster.Roster) { r.Apply(start, []roster.Change{{ID: "a", Entry: &restarted}}) }, written(3), 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			require.False(t, r.BeginEra(start, 1))
			r.Replace(start, []roster.Entry{written(3)}, false)
			c.before(r)
			require.True(t, r.BeginEra(start.Add(2*time.Second), 2))
			r.Replace(start.Add(2*time.Second), []roster.Entry{c.after}, true)
			require.Equal(t, c.ready, r.ReadyCount())
			require.False(t, r.BeginEra(start.Add(3*time.Second), 2))
			r.Replace(start.Add(4*time.Second), []roster.Entry{c.after}, false)
			require.Equal(t, c.ready, r.ReadyCount())
			for _, e := range r.Entries(start) {
				if name == "restarted before the store" {
					require.EqualValues(t, 6, e.Incarnation)
				}
			}
		})
	}
}

// Guards against a target that has said that it is leaving and is used again because the list still has it as ready, and
// against the mark of an earlier start of a target.
func TestLeavingTargetStaysOut(t *testing.T) {
	r := roster.New()
	list := []roster.Entry{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}}
	r.Replace(start, list, false)
	require.True(t, r.OnLeaving(start, list[0]))
	require.False(t, r.OnLeaving(start, list[0]))
	require.False(t, r.OnLeaving(start, roster.Entry{ID: "b"}), "another start of the target")
	require.Equal(t, 1, r.ReadyCount())
	r.Replace(start.Add(time.Second), list, false)
	require.Equal(t, 1, r.ReadyCount())
	r.Apply(start.Add(2*time.Second), []roster.Change{{ID: "a"}})
	r.Apply(start.Add(3*time.Second), []roster.Change{{ID: "a", Entry: &list[0]}})
	require.Equal(t, 1, r.ReadyCount())
	r.Replace(start.Add(4*time.Second), []roster.Entry{{ID: "a", Incarnation: 2}, list[1]}, false)
	require.Equal(t, 2, r.ReadyCount())
}

// Guards against a target that counts as listed although the list has its successor, under its id or at its address, and
// against one that counts as removed because the list is incomplete.
func TestStateOfTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	e := roster.Entry{ID: "a", Service: "s", Address: "1", Incarnation: 5}
	changed := func(change func(*roster.Entry)) []roster.Entry {
		c := e
		change(&c)
		return []roster.Entry{c}
	}
	for name, tc := range map[string]struct {
		list       []roster.Entry
		incomplete bool
		want       roster.State
	}{
		"unchanged":                     {[]roster.Entry{e}, false, roster.Listed},
		"draining":                      {changed(func(c *roster.Entry) { c.Draining = true }), false, roster.Listed},
		"started again":                 {changed(func(c *roster.Entry) { c.Incarnation++ }), false, roster.Replaced},
		"started again elsewhere":       {changed(func(c *roster.Entry) { c.Incarnation, c.Address = 6, "2" }), false, roster.Replaced},
		"another target at its address": {changed(func(c *roster.Entry) { c.ID, c.Incarnation = "b", 6 }), false, roster.Replaced},
		"another target elsewhere":      {changed(func(c *roster.Entry) { c.ID, c.Incarnation, c.Address = "b", 6, "2" }), false, roster.Removed},
		"removed":                       {nil, false, roster.Removed},
		"incomplete list":               {nil, true, roster.Listed},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Replace(now, []roster.Entry{e}, false)
			r.Replace(now, tc.list, tc.incomplete)
			require.Equal(t, tc.want, r.StateOf(e))
		})
	}
	r := roster.New()
	r.Replace(now, []roster.Entry{e}, false)
	r.OnAddressReused(e)
	require.Equal(t, roster.Replaced, r.StateOf(e))
}
