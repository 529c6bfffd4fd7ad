package workload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Request is one request of a workload.
type Request struct {
	// At is the intended start, relative to the start of the run.
	At             time.Duration
	Plan           string
	Index          string
	Query          string
	DeadlineMillis int
	// NonRepeatable is set for executes; all other requests are searches.
	NonRepeatable bool
	// KeySuffix makes the key of an execute unique.
	KeySuffix uint64
}

// Arrivals generates the requests of a workload in the order of their intended start. Equal workloads
// generate equal requests. It is not safe for concurrent use.
type Arrivals struct {
	streams streams
}

// NewArrivals returns the arrivals of a workload. Its Duration and MaxRequests do not bound them.
func NewArrivals(w Workload) *Arrivals {
	a := &Arrivals{}
	for i, p := range w.Plans {
		s := &stream{plan: p, rng: rand.New(rand.NewPCG(w.Seed, uint64(i)))}
		for _, q := range p.Mix {
			s.totalWeight += q.Weight
		}
		s.advance()
		a.streams = append(a.streams, s)
	}
	heap.Init(&a.streams)
	return a
}

// Next returns the next request.
func (a *Arrivals) Next() Request {
	s := a.streams[0]
	r := s.request()
	s.advance()
	heap.Fix(&a.streams, 0)
	return r
}

// stream generates the arrivals of one plan as a Poisson process whose rate follows the plan's swing.
type stream struct {
	plan        Plan
	rng         *rand.Rand
	totalWeight float64
	next        time.Duration
}

// advance draws arrivals at the full rate and accepts each with the probability of the rate factor.
// Source: Lewis and Shedler, "Simulation of Nonhomogeneous Poisson Processes by Thinning", 1979.
func (s *stream) advance() {
	for {
		s.next += time.Duration(s.rng.ExpFloat64() / s.plan.RatePerSecond * float64(time.Second))
		if s.rng.Float64() < s.plan.Swing.rateFactor(s.next) {
			return
		}
	}
}

func (s *stream) request() Request {
	q := s.drawQuery()
	return Request{
		At: s.next, Plan: s.plan.Plan, Index: q.Index, Query: q.Query, DeadlineMillis: s.plan.DeadlineMillis,
		NonRepeatable: s.rng.Float64() < s.plan.NonRepeatableShare, KeySuffix: s.rng.Uint64(),
	}
}

func (s *stream) drawQuery() Query {
	remaining := s.rng.Float64() * s.totalWeight
	for _, q := range s.plan.Mix {
		if remaining -= q.Weight; remaining < 0 {
			return q
		}
	}
	return s.plan.Mix[len(s.plan.Mix)-1] // reached only by rounding
}

// streams implements heap.Interface by the time of the next arrival.
type streams []*stream

func (s streams) Len() int           { return len(s) }
func (s streams) Less(i, j int) bool { return s[i].next < s[j].next }
func (s streams) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface. It is never called, because the number of streams is fixed.
func (s *streams) Push(x any) { *s = append(*s, x.(*stream)) }

// Pop implements heap.Interface.
func (s *streams) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}
