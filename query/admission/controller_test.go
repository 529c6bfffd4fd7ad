package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

const baseline = 20 * time.Millisecond

// harness runs requests sequentially on a simulated clock.
type harness struct {
	*admission.Controller
	t   *testing.T
	now time.Time
}

func newHarness(t *testing.T) *harness {
	h := &harness{Controller: admission.New(), t: t, now: time.Unix(1000, 0)}
	h.run(2000, baseline, false)
	return h
}

func (h *harness) run(n int, took time.Duration, timedOut bool) {
	for range n {
		ticket, v := h.Admit(h.now, query.PriorityHigh, time.Minute)
		require.Equal(h.t, admission.Admitted, v)
		h.now = h.now.Add(took)
		h.Done(h.now, ticket, timedOut)
	}
}

// headroom returns how many more requests of a priority are admitted.
func (h *harness) headroom(p query.Priority) int {
	n := 0
	for ; ; n++ {
		if _, v := h.Admit(h.now, p, time.Minute); v != admission.Admitted {
			require.Equal(h.t, admission.Full, v)
			break
		}
	}
	for range n {
		h.Abandon()
	}
	return n
}

// Guards against batch requests that fill the limit and cause higher priorities to be refused.
func TestLowPriorityRefusedFirst(t *testing.T) {
	h := newHarness(t)
	h.run(20, 10*baseline, false)
	require.Less(t, h.headroom(query.PriorityBatch), h.headroom(query.PriorityNormal))
	require.Less(t, h.headroom(query.PriorityNormal), h.headroom(query.PriorityHigh))
	for range h.headroom(query.PriorityBatch) {
		_, _ = h.Admit(h.now, query.PriorityBatch, time.Minute)
	}
	_, v := h.Admit(h.now, query.PriorityHigh, time.Minute)
	require.Equal(t, admission.Admitted, v)
}

// Guards against a limit that falls for another reason than sustained latency or timeouts, or does not
// fall because of them.
func TestLimitFollowsLatency(t *testing.T) {
	cases := []struct {
		name  string
		do    func(h *harness)
		falls bool
	}{
		{"usual", func(h *harness) { h.run(500, baseline, false) }, false},
		{"slow answers", func(h *harness) { h.run(200, 4*baseline, false) }, true},
		{"one slow answer", func(h *harness) { h.run(1, 20*baseline, false) }, false},
		{"timeouts", func(h *harness) { h.run(100, baseline, true) }, true},
		{"timeouts shorter than the baseline", func(h *harness) { h.run(500, baseline/2, true) }, false},
		{"abandoned requests", func(h *harness) {
			for range 100 {
				_, _ = h.Admit(h.now, query.PriorityHigh, time.Minute)
				h.Abandon()
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			before := h.headroom(query.PriorityHigh)
			c.do(h)
			if c.falls {
				require.Less(t, h.headroom(query.PriorityHigh), before/2)
			} else {
				require.GreaterOrEqual(t, h.headroom(query.PriorityHigh), before)
			}
		})
	}
}

// Guards against admitting requests that cannot finish by their deadline.
func TestTooLate(t *testing.T) {
	h := newHarness(t)
	_, v := h.Admit(h.now, query.PriorityHigh, baseline/2)
	require.Equal(t, admission.TooLate, v)
	require.Positive(t, h.RetryAfter())
}

// Guards against a limit that stays at its minimum after the index has become permanently slower.
func TestBaselineAdaptsToSlowerIndex(t *testing.T) {
	h := newHarness(t)
	h.run(2000, 4*baseline, false) // two minutes
	floor := h.headroom(query.PriorityHigh)
	tickets := make([]admission.Ticket, 0, floor)
	for range 4000 {
		for len(tickets) < cap(tickets) {
			ticket, v := h.Admit(h.now, query.PriorityHigh, time.Minute)
			if v != admission.Admitted {
				break
			}
			tickets = append(tickets, ticket)
		}
		h.now = h.now.Add(3 * baseline)
		for _, ticket := range tickets {
			h.Done(h.now, ticket, false)
		}
		tickets = tickets[:0]
	}
	require.Greater(t, h.headroom(query.PriorityHigh), floor)
}

// Guards against permanent refusals for an index that was slow at first: without answers the baseline
// would never be updated.
func TestBaselineProbedAfterPause(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(2 * time.Second)
	ticket, v := h.Admit(h.now, query.PriorityBatch, baseline/2)
	require.Equal(t, admission.Admitted, v)
	_, v = h.Admit(h.now, query.PriorityBatch, baseline/2)
	require.Equal(t, admission.TooLate, v)
	h.Done(h.now.Add(baseline/2), ticket, false)
}

// Guards against refusals before any latency is known.
func TestNewControllerAdmits(t *testing.T) {
	c := admission.New()
	for range 64 {
		_, v := c.Admit(time.Unix(1000, 0), query.PriorityBatch, time.Millisecond)
		require.Equal(t, admission.Admitted, v)
	}
	require.Positive(t, c.RetryAfter())
}

// Guards against lower priorities that yield at the targets without overload, or do not yield under
// overload.
func TestTicketReportsOverload(t *testing.T) {
	cases := []struct {
		name     string
		do       func(h *harness)
		overload bool
	}{
		{"no overload", func(*harness) {}, false},
		{"slow answers", func(h *harness) { h.run(20, 4*baseline, false) }, true},
		{"recent refusal", func(h *harness) { h.headroom(query.PriorityHigh) }, true},
		{"old refusal", func(h *harness) { h.headroom(query.PriorityHigh); h.now = h.now.Add(time.Minute) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			c.do(h)
			ticket, v := h.Admit(h.now, query.PriorityNormal, time.Minute)
			require.Equal(t, admission.Admitted, v)
			require.Equal(t, c.overload, ticket.Overloaded)
		})
	}
}
