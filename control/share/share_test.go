package share

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testLimit = Amount{Rate: 1000, Concurrency: 100}

// TestMain sets a fixed seed, so that every run explores the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func startTime() time.Time { return time.Unix(1_700_000_000, 0) }

// message is a loan request or, if loan is set, the response to it in transit.
type message struct {
	holder  *Holder
	request LoanRequest
	sent    time.Time
	loan    *Loan
}

// simulation models holders and a lender under message loss, reordering and duplication, pauses, restarts of holders
// and replacement of the lender.
type simulation struct {
	now       time.Time
	lender    *Lender
	epoch     uint64
	holders   []*Holder
	inTransit []message
	restarts  int
}

func (sim *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, len(sim.holders)-1).Draw(t, "holder")
	h := sim.holders[i]
	switch rapid.SampledFrom([]string{"wait", "wait", "request", "request", "done", "ask", "ask", "ask", "message", "message", "message", "restart", "new lender"}).Draw(t, "move") {
	case "wait":
		sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{5, 60, 500, 1500}).Draw(t, "ms")) * time.Millisecond)
	case "request":
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			h.Admit(sim.now)
		}
	case "done":
		if h.InFlight() > 0 {
			h.Done()
		}
	case "ask":
		if request, due := h.NextLoanRequest(sim.now); due {
			sim.inTransit = append(sim.inTransit, message{holder: h, request: request, sent: sim.now})
		}
	case "restart":
		sim.restarts++
		sim.holders[i] = NewHolder(fmt.Sprintf("restarted-%d", sim.restarts), testLimit, len(sim.holders), sim.now)
	case "new lender":
		sim.epoch++
		sim.lender = NewLender(testLimit, sim.epoch, sim.now, true)
	default:
		sim.deliverMessage(t)
	}
}

func (sim *simulation) deliverMessage(t *rapid.T) {
	if len(sim.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.inTransit)-1).Draw(t, "message")
	m := sim.inTransit[i]
	if rapid.IntRange(0, 4).Draw(t, "copy") > 0 {
		sim.inTransit = append(sim.inTransit[:i], sim.inTransit[i+1:]...)
	}
	switch {
	case rapid.IntRange(0, 4).Draw(t, "lost") == 0:
	case m.loan == nil:
		loan := sim.lender.OnLoanRequest(sim.now, m.request)
		m.loan = &loan
		sim.inTransit = append(sim.inTransit, m)
	default:
		m.holder.OnLoan(m.sent, sim.now, *m.loan)
	}
}

// Guards against holders together being allowed more than the limit, for any order of messages and faults. A
// restarted holder has no loan, and its former loan must not be lent again too early.
func TestTotalAllowanceStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: startTime(), epoch: 1}
		sim.lender = NewLender(testLimit, sim.epoch, sim.now, false)
		for i := range 4 {
			sim.holders = append(sim.holders, NewHolder(fmt.Sprint(i), testLimit, 4, sim.now))
		}
		for range 200 {
			sim.step(t)
			var total Amount
			for _, h := range sim.holders {
				total = total.plus(h.Allowance(sim.now))
			}
			if total.Rate > testLimit.Rate*1.000001 || total.Concurrency > testLimit.Concurrency {
				t.Fatalf("holders may use %+v of %+v", total, testLimit)
			}
		}
	})
}

// Guards against a holder that is paused and then continues to use a loan that expired during the pause.
func TestLoanExpiresDuringPause(t *testing.T) {
	now := startTime()
	h := NewHolder("a", testLimit, 2, now)
	h.OnLoan(now, now, Loan{ID: LoanID{Epoch: 1, Number: 1}, Amount: Amount{Rate: 900, Concurrency: 90}, Duration: LoanDuration})
	require.Greater(t, h.Allowance(now).Rate, 900.0)
	require.Equal(t, Floor(testLimit, 2), h.Allowance(now.Add(LoanDuration)))
}

// Guards against the use of a loan that arrives after its expiry or after a newer loan.
func TestLateLoansAreDropped(t *testing.T) {
	now := startTime()
	h := NewHolder("a", testLimit, 2, now)
	h.OnLoan(now, now.Add(LoanDuration), Loan{ID: LoanID{Epoch: 1, Number: 5}, Amount: Amount{Rate: 500}, Duration: LoanDuration})
	require.Equal(t, Floor(testLimit, 2), h.Allowance(now.Add(LoanDuration)))
	h.OnLoan(now, now, Loan{ID: LoanID{Epoch: 1, Number: 7}, Amount: Amount{Rate: 100}, Duration: LoanDuration})
	h.OnLoan(now, now, Loan{ID: LoanID{Epoch: 1, Number: 6}, Amount: Amount{Rate: 800}, Duration: LoanDuration})
	require.Less(t, h.Allowance(now).Rate, 200.0)
}

// Guards against a small limit being exceeded because each of many idle instances admits one request at once.
func TestSmallLimitHasNoFloor(t *testing.T) {
	require.Zero(t, Floor(Amount{Rate: 10, Concurrency: 10}, 780).Rate)
	require.InDelta(t, 20.0, Floor(Amount{Rate: 1000}, 1).Rate, 1e-9)
}

// Guards against an amount that is lent again while the holder may still use it, because the smaller loan that
// replaces it has not arrived.
func TestUnacknowledgedLoanStaysReserved(t *testing.T) {
	now := startTime()
	l := NewLender(testLimit, 1, now, false)
	first := l.OnLoanRequest(now, LoanRequest{Holder: "a", Demand: Amount{Rate: 900}})
	l.OnLoanRequest(now, LoanRequest{Holder: "a", Demand: Amount{Rate: 100}})
	other := l.OnLoanRequest(now, LoanRequest{Holder: "b", Demand: Amount{Rate: 900}})
	require.LessOrEqual(t, first.Amount.Rate+other.Amount.Rate, Lendable(testLimit).Rate)
	l.OnLoanRequest(now, LoanRequest{Holder: "a", LoanID: LoanID{Epoch: 1, Number: first.ID.Number + 1}, Demand: Amount{Rate: 100}})
	require.Greater(t, l.OnLoanRequest(now, LoanRequest{Holder: "b", Demand: Amount{Rate: 900}}).Amount.Rate, other.Amount.Rate)
}

// Guards against a holder that sends loan requests indefinitely after a single request of its plan.
func TestIdleHolderStopsRequestingLoans(t *testing.T) {
	now := startTime()
	l, h := NewLender(testLimit, 1, now, false), NewHolder("a", testLimit, 1, now)
	h.Admit(now)
	requests := 0
	for end := now.Add(3 * idleTimeout); now.Before(end); now = now.Add(LoanRequestPeriod) {
		if request, due := h.NextLoanRequest(now); due {
			h.OnLoan(now, now, l.OnLoanRequest(now, request))
			requests++
		}
	}
	require.LessOrEqual(t, requests, int(idleTimeout/LoanRequestPeriod)+1)
	require.Equal(t, Floor(testLimit, 1), h.Allowance(now))
}

func BenchmarkAdmit(b *testing.B) {
	now := startTime()
	h := NewHolder("a", Amount{Rate: 1e9, Concurrency: 1 << 30}, 1, now)
	h.OnLoan(now, now, Loan{ID: LoanID{Epoch: 1, Number: 1}, Amount: Amount{Rate: 9e8, Concurrency: 1 << 29}, Duration: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if ok, _ := h.Admit(now); ok {
			h.Done()
		}
	}
}
