package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel"
)

const (
	// watchWait is how long one watch call waits for a change. It bounds the time after which a
	// silent store is noticed.
	watchWait = 10 * time.Second
	// retryDelay is the mean pause after a failed call.
	retryDelay = 500 * time.Millisecond
	// rolePeriod is the time between two looks at whether the instance has to watch.
	rolePeriod = time.Second
)

// run reads everything once and then watches while the instance is one of the watchers.
func (s *Service) run() {
	s.start()
	var watches sync.WaitGroup
	defer watches.Wait()
	s.updateRole(&watches)
	for kernel.Sleep(s.ctx, rolePeriod) {
		s.updateRole(&watches)
	}
}

func (s *Service) updateRole(watches *sync.WaitGroup) {
	self := s.fleet.Self()
	wanted := slices.Contains(s.watchersOf(self.FailureDomain), self.ID)
	if wanted == s.Watching() || s.ctx.Err() != nil {
		return
	}
	s.ring.Add("store_watch", self.ID, strconv.FormatBool(wanted))
	if !wanted {
		s.mu.Lock()
		s.watching()
		s.watching = nil
		s.unreachable = false
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.watching = cancel
	s.mu.Unlock()
	for _, kind := range s.schema.Kinds {
		watches.Go(func() { s.watch(ctx, kind) })
	}
}

// Watching reports whether the instance watches the store.
func (s *Service) Watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching != nil
}

func (s *Service) watch(ctx context.Context, kind string) {
	s.mu.Lock()
	revision := s.readAt[kind]
	delete(s.readAt, kind) // Another watch would start long after it.
	s.mu.Unlock()
	available := true
	for ctx.Err() == nil {
		wait := s.schema.WatchWait
		if !available {
			wait = 0 // A watch that waits would not tell when the store is back.
		}
		changes, err := s.source.Watch(ctx, platform.Purpose("watch_"+kind), kind, revision, wait)
		if ctx.Err() != nil {
			return
		}
		if available != (err == nil) {
			available = err == nil
			s.log.Info("platform availability changed", "kind", kind, "available", available)
			s.ring.Add("platform_available", kind, strconv.FormatBool(available))
		}
		if err != nil {
			s.counters.Counter("platform_watch_failures").Add(1)
			s.noteStore(kind, false)
			s.askElsewhere(ctx, kind)
			kernel.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			continue
		}
		revision = max(revision, changes.Revision)
		s.takeAll(changes)
		s.noteStore(kind, true)
	}
}

// askElsewhere asks another watcher for what is new while the store does not answer this one.
// The exchange would bring it too, but only after a second for each instance on the way.
func (s *Service) askElsewhere(ctx context.Context, kind string) {
	watchers := s.otherWatchers()
	if kind != s.schema.Required || len(watchers) == 0 {
		return
	}
	// An error is counted; the exchange brings what is new a little later.
	_, _ = s.fetchFrom(ctx, watchers[rand.IntN(len(watchers))], repairTimeout)
}

func (s *Service) takeAll(changes platform.Changes) {
	for _, obj := range changes.Objects {
		if o, ok := objectOf(obj); ok {
			s.offerStored(o)
		}
	}
}

// noteStore records whether the store answered the watch of the configuration.
func (s *Service) noteStore(kind string, answered bool) {
	if kind != s.schema.Required {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = !answered
	if answered {
		s.confirmedAt = time.Now()
	}
}

// candidates returns the members that may watch the store, by failure domain. Starting members
// count, so that a fleet that starts at once does not watch with every instance.
func (s *Service) candidates() map[string][]membership.Member {
	out := map[string][]membership.Member{}
	for _, m := range s.fleet.Members() {
		if m.State == membership.Live || m.State == membership.Starting {
			out[m.FailureDomain] = append(out[m.FailureDomain], m)
		}
	}
	return out
}

func ids(members []membership.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

func (s *Service) watchersOf(domain string) []string {
	return config.Watchers(domain, ids(s.candidates()[domain]))
}

// otherWatchers returns the addresses of all watchers but this instance.
func (s *Service) otherWatchers() []string {
	var out []string
	for domain, members := range s.candidates() {
		out = append(out, s.watchersAmong(domain, members)...)
	}
	return out
}

// fellowWatchers returns the addresses of the other watchers of the instance's failure domain.
func (s *Service) fellowWatchers() []string {
	domain := s.fleet.Self().FailureDomain
	return s.watchersAmong(domain, s.candidates()[domain])
}

// watchersAmong returns the addresses of the watchers among the members of a failure domain but this instance.
func (s *Service) watchersAmong(domain string, members []membership.Member) []string {
	watchers := config.Watchers(domain, ids(members))
	var out []string
	for _, m := range members {
		if m.ID != s.fleet.Self().ID && slices.Contains(watchers, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}

// share returns the addresses of the members that this instance hands new objects to as a watcher.
func (s *Service) share() []string {
	self := s.fleet.Self()
	members := s.candidates()[self.FailureDomain]
	watchers := config.Watchers(self.FailureDomain, ids(members))
	if !slices.Contains(watchers, self.ID) {
		return nil
	}
	share := config.PushReceivers(watchers, self.ID, ids(members))
	var out []string
	for _, m := range members {
		if slices.Contains(share, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}
