package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkSlowFactor rejects a SlowFactor that would make requests faster instead of slower.
func checkSlowFactor(f Faults) error {
	if f.SlowShare > 0 && !(f.SlowFactor >= 1) {
		return errors.New("slow_factor: must be at least 1 where slow_share is above 0")
	}
	return nil
}

// ServiceTimes is a distribution of service times: exponential, with a heavy tail of requests whose
// times follow a Pareto distribution instead.
type ServiceTimes struct {
	// Mean is the mean of the exponential part.
	Mean time.Duration
	// TailShare is the share of requests in the tail, from 0 to 1.
	TailShare float64
	// TailFrom is the minimum time in the tail.
	TailFrom time.Duration
	// TailExponent is the exponent of the Pareto distribution; a smaller one makes the tail heavier.
	TailExponent float64
	// Max caps all times; 0 means no cap.
	Max time.Duration
}

// Source returns a source of service times that is safe for concurrent use. Sources with the same
// seed and stream return the same times.
func (d ServiceTimes) Source(seed, stream uint64) func() time.Duration {
	var mu sync.Mutex // guards source
	source := rand.New(rand.NewPCG(seed, stream))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		t := d.draw(source)
		if d.Max > 0 {
			t = min(t, d.Max)
		}
		return t
	}
}

func (d ServiceTimes) draw(source *rand.Rand) time.Duration {
	if d.TailShare <= 0 || source.Float64() >= d.TailShare {
		return time.Duration(source.ExpFloat64() * float64(d.Mean))
	}
	factor := math.Pow(1-source.Float64(), -1/d.TailExponent) // at least 1
	// A value beyond the range of time.Duration would overflow to a negative one.
	return time.Duration(min(factor*float64(d.TailFrom), math.MaxInt64/2))
}
