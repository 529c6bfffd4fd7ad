package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const deadline = 800 * time.Millisecond

type budget struct{ left int }

func (b *budget) TryTake(time.Time) bool {
	b.left--
	return b.left >= 0
}

var relays = []Relay{
	{ID: "near", Distance: SameDomain}, {ID: "other", Distance: SameRegion},
	{ID: "far", Distance: OtherRegion}, {ID: "farther", Distance: OtherRegion},
}

func newMachine(start time.Time, extra int, list ...Relay) *Machine {
	c := NewChooser()
	c.SetRelays(list)
	return New(Config{Chooser: c, Budget: &budget{extra}, Random: func() float64 { return 0 }, Deadline: start.Add(deadline)})
}

// event is something that happens at a relay, or a wake-up if relay is empty.
type event struct {
	at      time.Duration
	relay   string
	taken   bool
	outcome Outcome
}

func send(relay string, spent int) Action {
	for _, r := range relays {
		if r.ID == relay {
			return Action{Kind: Send, Relay: r, SpentAttempts: spent}
		}
	}
	panic("unknown relay")
}

func finish(relay string) Action { return Action{Kind: Finish, Relay: send(relay, 0).Relay} }

// Guards against requests that wait for a relay that was lost, that run at two relays at once, that use up more attempts
// at a shard than one relay may make, or that are refused as "not run" although a relay may have run them.
func TestMachine(t *testing.T) {
	for name, c := range map[string]struct {
		relays []Relay
		extra  int
		events []event
		want   [][]Action // of the start and of each event
	}{
		"answered": {relays, 1, []event{{at: 5, relay: "near", taken: true}, {at: 60, relay: "near", outcome: Answered}},
			[][]Action{{send("near", 0)}, nil, {finish("near")}}},
		"a relay that waits for targets is not replaced": {relays, 1, []event{
			{at: 2, relay: "near", taken: true}, {at: 120}, {at: 500}, {at: 700, relay: "near", outcome: Answered},
		}, [][]Action{{send("near", 0)}, nil, nil, nil, {finish("near")}}},
		"relay without power": {relays, 1, []event{{at: 122}, {at: 700, relay: "near", outcome: Lost}},
			[][]Action{{send("near", 0)}, nil, {{Kind: Fail}}}},
		"confirmation lost on the way": {relays, 1, []event{{at: 122}, {at: 330, relay: "near", taken: true}, {at: 340, relay: "near", outcome: Answered}},
			[][]Action{{send("near", 0)}, nil, nil, {finish("near")}}},
		"killed": {relays, 1, []event{{at: 2, relay: "near", taken: true}, {at: 3, relay: "near", outcome: Lost}},
			[][]Action{{send("near", 0)}, nil, {{Kind: Fail}}}},
		"killed, no budget":                 {relays, 0, []event{{at: 3, relay: "near", outcome: Lost}}, [][]Action{{send("near", 0)}, {{Kind: Fail}}}},
		"silent, no budget":                 {relays, 0, []event{{at: 122}, {at: 190, relay: "near", outcome: Answered}}, [][]Action{{send("near", 0)}, nil, {finish("near")}}},
		"leaving: the next costs nothing":   {relays, 0, []event{{at: 3, relay: "near", outcome: Unavailable}}, [][]Action{{send("near", 0)}, {send("other", 0)}}},
		"refused":                           {relays, 1, []event{{at: 3, relay: "near", outcome: Refused}}, [][]Action{{send("near", 0)}, {finish("near")}}},
		"refused after another was leaving": {relays, 1, []event{{at: 3, relay: "near", outcome: Unavailable}, {at: 9, relay: "other", outcome: Refused}}, [][]Action{{send("near", 0)}, {send("other", 0)}, {finish("other")}}},
		"all leaving": {relays, 0, []event{
			{at: 3, relay: "near", outcome: Unavailable}, {at: 6, relay: "other", outcome: Unavailable}, {at: 9, relay: "far", outcome: Unavailable},
		}, [][]Action{{send("near", 0)}, {send("other", 0)}, {send("far", 0)}, {{Kind: RunHere}}}},
		"no relay":    {nil, 0, nil, [][]Action{{{Kind: RunHere}}}},
		"deadline":    {relays[:1], 0, []event{{at: 5, relay: "near", taken: true}, {at: 800}}, [][]Action{{send("near", 0)}, nil, {{Kind: Fail}}}},
		"lost at end": {relays, 1, []event{{at: 770, relay: "near", outcome: Lost}}, [][]Action{{send("near", 0)}, {{Kind: Fail}}}},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			m := newMachine(start, c.extra, c.relays...)
			got := [][]Action{m.Start(start)}
			for _, e := range c.events {
				now := start.Add(e.at * time.Millisecond)
				switch {
				case e.relay == "":
					got = append(got, m.OnWake(now))
				case e.taken:
					m.OnTaken(e.relay)
					got = append(got, nil)
				default:
					got = append(got, m.OnOutcome(now, e.relay, e.outcome))
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a machine that stops without a result, that sends a request to more relays than allowed, or that has it
// at two relays at the same time.
func TestMachineEndsWithAnyRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		m := newMachine(start, rapid.IntRange(0, 3).Draw(rt, "extra"), relays...)
		now := start
		running := map[string]bool{}
		sent, ended, fails := 0, false, false
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a.Kind {
				case Send:
					sent++
					running[a.Relay.ID] = true
				case Finish, RunHere, Fail:
					require.False(rt, ended, "two results")
					ended, fails = true, a.Kind == Fail
				}
			}
			require.LessOrEqual(rt, len(running), 1)
		}
		apply(m.Start(now))
		for !ended {
			next := m.NextWake()
			event := min(now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms"))*time.Millisecond).UnixNano(), next.UnixNano())
			now = time.Unix(0, event)
			if !now.Before(next) {
				apply(m.OnWake(now))
			}
			for id := range running {
				switch rapid.SampledFrom([]string{"taken", "silent", "silent", "ends"}).Draw(rt, "what") {
				case "taken":
					m.OnTaken(id)
				case "ends":
					delete(running, id)
					apply(m.OnOutcome(now, id, Outcome(rapid.IntRange(0, 3).Draw(rt, "outcome"))))
				}
				break
			}
			require.False(rt, now.After(start.Add(deadline)))
		}
		require.LessOrEqual(rt, sent, maxRelays)
		if fails {
			require.True(rt, m.MayHaveRun() || sent == 0)
		}
	})
}

// Guards against requests that go to a relay which did not take the last one while another relay is free, against a
// relay in another region without need, and against a relay that is avoided for good.
func TestChooser(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewChooser()
	c.SetRelays(relays)
	choose := func(tried map[string]bool, random float64) string {
		r, ok := c.Choose(now, tried, random)
		if !ok {
			return ""
		}
		return r.ID
	}
	require.Equal(t, "near", choose(nil, 0))
	require.Equal(t, "other", choose(nil, 0.9), "requests spread over the relays of the region")
	c.OnSilent(now, "near")
	require.Equal(t, "other", choose(nil, 0))
	c.OnSilent(now, "other")
	require.Equal(t, "far", choose(nil, 0), "no relay of the region takes requests")
	require.Equal(t, "near", choose(map[string]bool{"far": true, "farther": true}, 0), "better than none")
	c.OnTaken("other")
	require.Equal(t, "other", choose(nil, 0))
	now = now.Add(minAvoid)
	require.Equal(t, "near", choose(nil, 0))
	for range 10 {
		c.OnSilent(now, "near")
	}
	require.Equal(t, now.Add(maxAvoid), c.avoid["near"].until)
	c.SetRelays(relays[1:])
	require.Empty(t, c.avoid)
	require.Empty(t, choose(map[string]bool{"other": true, "far": true, "farther": true}, 0))
}
