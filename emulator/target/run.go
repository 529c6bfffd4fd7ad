package target

import (
	"context"
	"strings"
	"time"

	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/kernel"
)

// ran is what became of a request that was admitted.
type ran struct {
	outcome targetpb.Outcome
	cold    bool
}

// run waits for a slot and holds it for the service time. The time left and the end of ctx bound
// both. A request that crashes the searcher does so as soon as it has a slot.
func (s *Searcher) run(ctx context.Context, timeLeft time.Duration, crashes bool) ran {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	if s.faults.Happens(s.currentFaults().ShedShare) || !s.enterQueue() {
		return s.counted(ran{outcome: targetpb.Outcome_OUTCOME_SHED})
	}
	slot := s.takeSlot(ctx)
	s.leaveQueue()
	if !slot {
		return s.counted(ran{outcome: targetpb.Outcome_OUTCOME_ABORTED})
	}
	defer func() { <-s.slots }()
	if crashes {
		s.crashNow()
		return s.counted(ran{outcome: targetpb.Outcome_OUTCOME_ABORTED})
	}
	cold := s.warmUp()
	if !kernel.Sleep(ctx, s.serviceTime(cold)) {
		return s.counted(ran{outcome: targetpb.Outcome_OUTCOME_ABORTED, cold: cold})
	}
	return s.counted(ran{outcome: targetpb.Outcome_OUTCOME_ANSWERED, cold: cold})
}

var outcomeCounters = map[targetpb.Outcome]string{
	targetpb.Outcome_OUTCOME_ANSWERED: "answered",
	targetpb.Outcome_OUTCOME_SHED:     "shed",
	targetpb.Outcome_OUTCOME_ABORTED:  "aborted",
}

func (s *Searcher) counted(r ran) ran {
	s.vars.Counter(outcomeCounters[r.outcome]).Add(1)
	return r
}

// enterQueue returns false if all slots are taken and the queue is full.
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

func (s *Searcher) takeSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// warmUp counts a request that runs and reports whether the searcher is still cold for it.
func (s *Searcher) warmUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldLeft == 0 {
		return false
	}
	s.coldLeft--
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
	on := s.currentFaults().CrashOn
	return on != "" && strings.Contains(text, on)
}

func (s *Searcher) setCrash(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = crash
}

// crashNow has no effect on a searcher that no Host runs.
func (s *Searcher) crashNow() {
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// restarted makes the searcher cold again. A restarted process is not draining.
func (s *Searcher) restarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLeft = s.cfg.ColdRequests
	s.draining = false
	s.record("target_restarted", "")
}
