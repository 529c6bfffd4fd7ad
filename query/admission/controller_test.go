package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

const usual = 20 * time.Millisecond

// load runs requests one after another and moves the clock.
type load struct {
	*admission.Controller
	t   *testing.T
	now time.Time
}

func newLoad(t *testing.T) *load {
	l := &load{Controller: admission.New(), t: t, now: time.Unix(1000, 0)}
	l.run(2000, usual, false)
	return l
}

func (l *load) run(n int, took time.Duration, timedOut bool) {
	for range n {
		ticket, v := l.Admit(l.now, query.PriorityHigh, time.Minute)
		require.Equal(l.t, admission.Admitted, v)
		l.now = l.now.Add(took)
		l.Done(l.now, ticket, timedOut)
	}
}

// room returns how many requests of a priority are admitted at once.
func (l *load) room(p query.Priority) int {
	n := 0
	for ; ; n++ {
		if _, v := l.Admit(l.now, p, time.Minute); v != admission.Admitted {
			require.Equal(l.t, admission.Full, v)
			break
		}
	}
	for range n {
		l.Abandon()
	}
	return n
}

// Guards against batch requests that keep the others out.
func TestLowPriorityIsRefusedFirst(t *testing.T) {
	l := newLoad(t)
	l.run(20, 10*usual, false)
	require.Less(t, l.room(query.PriorityBatch), l.room(query.PriorityNormal))
	require.Less(t, l.room(query.PriorityNormal), l.room(query.PriorityHigh))
	for range l.room(query.PriorityBatch) {
		_, _ = l.Admit(l.now, query.PriorityBatch, time.Minute)
	}
	_, v := l.Admit(l.now, query.PriorityHigh, time.Minute)
	require.Equal(t, admission.Admitted, v)
}

// Guards against a limit that follows something other than latency.
func TestLimitFollowsLatency(t *testing.T) {
	cases := []struct {
		name  string
		do    func(l *load)
		falls bool
	}{
		{"usual", func(l *load) { l.run(500, usual, false) }, false},
		{"slow answers", func(l *load) { l.run(200, 4*usual, false) }, true},
		{"one straggler", func(l *load) { l.run(1, 20*usual, false) }, false},
		{"timeouts", func(l *load) { l.run(100, usual, true) }, true},
		{"timeouts shorter than the usual latency", func(l *load) { l.run(500, usual/2, true) }, false},
		{"callers gone", func(l *load) {
			for range 100 {
				_, _ = l.Admit(l.now, query.PriorityHigh, time.Minute)
				l.Abandon()
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLoad(t)
			before := l.room(query.PriorityHigh)
			c.do(l)
			if c.falls {
				require.Less(t, l.room(query.PriorityHigh), before/2)
			} else {
				require.GreaterOrEqual(t, l.room(query.PriorityHigh), before)
			}
		})
	}
}

// Guards against work for an answer that cannot be in time.
func TestTooLate(t *testing.T) {
	l := newLoad(t)
	_, v := l.Admit(l.now, query.PriorityHigh, usual/2)
	require.Equal(t, admission.TooLate, v)
	require.Positive(t, l.RetryAfter())
}

// Guards against a limit that stays at its floor after the index has become slower for good.
func TestSlowerIndexIsLearntAnew(t *testing.T) {
	l := newLoad(t)
	l.run(2000, 4*usual, false) // two minutes
	floor := l.room(query.PriorityHigh)
	tickets := make([]admission.Ticket, 0, floor)
	for range 4000 {
		for len(tickets) < cap(tickets) {
			ticket, v := l.Admit(l.now, query.PriorityHigh, time.Minute)
			if v != admission.Admitted {
				break
			}
			tickets = append(tickets, ticket)
		}
		l.now = l.now.Add(3 * usual)
		for _, ticket := range tickets {
			l.Done(l.now, ticket, false)
		}
		tickets = tickets[:0]
	}
	require.Greater(t, l.room(query.PriorityHigh), floor)
}

// Guards against an index that is refused for good because it was slow at first.
func TestUsualLatencyIsTestedAgain(t *testing.T) {
	l := newLoad(t)
	l.now = l.now.Add(2 * time.Second)
	ticket, v := l.Admit(l.now, query.PriorityBatch, usual/2)
	require.Equal(t, admission.Admitted, v)
	_, v = l.Admit(l.now, query.PriorityBatch, usual/2)
	require.Equal(t, admission.TooLate, v)
	l.Done(l.now.Add(usual/2), ticket, false)
}

// Guards against refusals just after the start, when no latency is known.
func TestUnlearntControllerAdmits(t *testing.T) {
	c := admission.New()
	for range 64 {
		_, v := c.Admit(time.Unix(1000, 0), query.PriorityBatch, time.Millisecond)
		require.Equal(t, admission.Admitted, v)
	}
	require.Positive(t, c.RetryAfter())
}

// Guards against lower priority that makes room at the targets without overload, or not during it.
func TestOverloadIsTold(t *testing.T) {
	cases := []struct {
		name     string
		do       func(l *load)
		overload bool
	}{
		{"usual load", func(*load) {}, false},
		{"slow answers", func(l *load) { l.run(20, 4*usual, false) }, true},
		{"a refusal", func(l *load) { l.room(query.PriorityHigh) }, true},
		{"a refusal long ago", func(l *load) { l.room(query.PriorityHigh); l.now = l.now.Add(time.Minute) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLoad(t)
			c.do(l)
			ticket, v := l.Admit(l.now, query.PriorityNormal, time.Minute)
			require.Equal(t, admission.Admitted, v)
			require.Equal(t, c.overload, ticket.Overload)
		})
	}
}
