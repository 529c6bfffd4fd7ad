// Package fault manages the faults that a stand-in injects. Whether a fault affects a call is drawn from a seeded random
// source, so that a run can be repeated.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config is the configuration of a stand-in's faults. Its zero value switches all faults off.
type Config interface {
	// Check returns an error that names the first field with an invalid value.
	Check() error
	// RandomSeed returns the seed of the random source that selects the calls affected by a fault.
	RandomSeed() uint64
}

// Switch contains the active faults and their random source. It is safe for concurrent use.
type Switch[F Config] struct {
	mu      sync.Mutex // guards the fields below
	current F
	source  *rand.Rand
	changed chan struct{} // closed and replaced by each call of Set
}

// NewSwitch returns a switch with all faults off.
func NewSwitch[F Config]() *Switch[F] {
	s := &Switch[F]{changed: make(chan struct{})}
	s.source = newSource(s.current)
	return s
}

func newSource(f Config) *rand.Rand { return rand.New(rand.NewPCG(f.RandomSeed(), 0)) }

// Set replaces the active faults and restarts the random source from the seed of f. If f has an invalid value, Set
// returns an error and changes nothing.
func (s *Switch[F]) Set(f F) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
	s.source = newSource(f)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Current returns the active faults and a channel that is closed when they are replaced.
func (s *Switch[F]) Current() (F, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

// Happens returns true with the given probability, from 0 to 1.
func (s *Switch[F]) Happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Float64() < probability
}

// Jitter returns a uniformly distributed duration from 0 to limit.
func (s *Switch[F]) Jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.source.Int64N(int64(limit) + 1))
}

// CheckShare returns an error if the value of the field is not from 0 to 1.
func CheckShare(field string, value float64) error {
	if value >= 0 && value <= 1 {
		return nil
	}
	return errors.Errorf("%s: must be from 0 to 1", field)
}

// CheckDuration returns an error if the value of the field is negative.
func CheckDuration(field string, value time.Duration) error {
	if value >= 0 {
		return nil
	}
	return errors.Errorf("%s: must not be negative", field)
}

// FirstError returns the first non-nil error, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
