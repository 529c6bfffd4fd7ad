package share

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOnLoanRequest measures the time per loan request at the lender of a plan that is in use at every instance,
// for fleet sizes up to the target of 780 instances.
func BenchmarkOnLoanRequest(b *testing.B) {
	for _, holders := range []int{8, 64, 780} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			now := startTime()
			l := NewLender(Amount{Rate: 130_000, Concurrency: 13_000}, 1, now, false)
			names := make([]string, holders)
			using := make([]Loan, holders)
			for i := range names {
				names[i] = fmt.Sprintf("instance-%d", i)
			}
			// Each holder sends one loan request per LoanRequestPeriod.
			step := LoanRequestPeriod / time.Duration(holders)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				h := i % holders
				want := Amount{Rate: float64(100 + i%100), Concurrency: 10 + i%10}
				using[h] = l.OnLoanRequest(now, LoanRequest{Holder: names[h], LoanID: using[h].ID, LoanAmount: using[h].Amount, LoanTimeLeft: time.Second, Demand: want})
			}
		})
	}
}
