package target

import (
	"context"
	"strings"
	"time"

	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/kernel"
)

// runResult is the result of running an admitted request.
type runResult struct {
	outcome targetpb.Outcome
	cold    bool
}

// run waits for a slot and occupies it for the service time. Both end early when timeLeft has passed or
// ctx is done. A request that crashes the searcher does so as soon as it has a slot.
func (s *Searcher) run(ctx context.Context, timeLeft time.Duration, crashes bool) runResult {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	if s.faults.Happens(s.currentFaults().ShedShare) || !s.enterQueue() {
		return s.countOutcome(runResult{outcome: targetpb.Outcome_OUTCOME_SHED})
	}
	acquired := s.acquireSlot(ctx)
	s.leaveQueue()
	if !acquired {
		return s.countOutcome(runResult{outcome: targetpb.Outcome_OUTCOME_ABORTED})
	}
	defer func() { <-s.slots }()
	if crashes {
		s.crashHost()
		return s.countOutcome(runResult{outcome: targetpb.Outcome_OUTCOME_ABORTED})
	}
	cold := s.consumeColdRequest()
	if !kernel.Sleep(ctx, s.serviceTime(cold)) {
		return s.countOutcome(runResult{outcome: targetpb.Outcome_OUTCOME_ABORTED, cold: cold})
	}
	return s.countOutcome(runResult{outcome: targetpb.Outcome_OUTCOME_ANSWERED, cold: cold})
}

var outcomeCounters = map[targetpb.Outcome]string{
	targetpb.Outcome_OUTCOME_ANSWERED: "answered",
	targetpb.Outcome_OUTCOME_SHED:     "shed",
	targetpb.Outcome_OUTCOME_ABORTED:  "aborted",
}

func (s *Searcher) countOutcome(r runResult) runResult {
	s.vars.Counter(outcomeCounters[r.outcome]).Add(1)
	return r
}

// enterQueue returns false if all slots are occupied and the queue is full.
func (s *Searcher) enterQueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.cfg.Slots - len(s.slots)
	if s.cfg.QueueLimit > 0 && s.waiting >= s.cfg.QueueLimit+max(0, free) {
		return false
	}
	s.waiting++
	return true
}

func (s *Searcher) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// acquireSlot occupies a slot, or returns false if ctx ends before one is free.
func (s *Searcher) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// consumeColdRequest reports whether the next request runs cold, and counts it if so.
func (s *Searcher) consumeColdRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldRemaining == 0 {
		return false
	}
	s.coldRemaining--
	return true
}

func (s *Searcher) serviceTime(cold bool) time.Duration {
	t := float64(s.cfg.ServiceTime())
	if cold {
		t *= max(1, s.cfg.ColdFactor)
	}
	if f := s.currentFaults(); s.faults.Happens(f.SlowShare) {
		t *= f.SlowFactor
	}
	return time.Duration(t)
}

func (s *Searcher) currentFaults() Faults {
	f, _ := s.faults.Current()
	return f
}

func (s *Searcher) crashesOn(text string) bool {
	trigger := s.currentFaults().CrashOn
	return trigger != "" && strings.Contains(text, trigger)
}

func (s *Searcher) setCrashFunc(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = crash
}

// crashHost crashes the Host that runs the searcher. It has no effect without a Host.
func (s *Searcher) crashHost() {
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// resetAfterRestart makes the searcher cold and ends draining, as a process restart does.
func (s *Searcher) resetAfterRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldRemaining = s.cfg.ColdRequests
	s.draining = false
	s.record("target_restarted", "")
}
