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
	// watchWait is the maximum time that one watch call waits for a change. It bounds the time until a
	// store that does not respond is detected.
	watchWait = 10 * time.Second
	// retryDelay is the mean delay after a failed watch call.
	retryDelay = 500 * time.Millisecond
	// backgroundWatchWait and backgroundRetryDelay replace Schema.WatchWait and retryDelay for background kinds, which
	// change seldom and may be late: each call of the store has a price.
	backgroundWatchWait  = 10 * time.Second
	backgroundRetryDelay = 4 * time.Second
	// roleInterval is the interval at which the instance checks whether it is selected as a watcher.
	roleInterval = time.Second
)

// run reads all objects once and then watches the store while the instance is selected as a watcher.
func (s *Service) run() {
	s.coldStart()
	var watches sync.WaitGroup
	defer watches.Wait()
	alarm := kernel.NewAlarm(0)
	defer alarm.Stop()
	for {
		select {
		case <-alarm.C:
		case <-s.roleChanged:
		case <-s.ctx.Done():
			return
		}
		s.updateRole(&watches)
		alarm.Set(roleInterval)
	}
}

// SetIsolated states whether all exchanges with other instances fail. An isolated instance watches the store itself: the watchers
// that it depends on may be lost long before it has declared them dead.
func (s *Service) SetIsolated(isolated bool) {
	s.mu.Lock()
	changed := s.isolated != isolated
	s.isolated = isolated
	s.mu.Unlock()
	if !changed {
		return
	}
	select {
	case s.roleChanged <- struct{}{}:
	default: // A signal is pending already.
	}
}

// isSelected reports whether the instance is to watch the store.
func (s *Service) isSelected() bool {
	s.mu.Lock()
	isolated := s.isolated
	s.mu.Unlock()
	self := s.fleet.Self()
	return isolated || slices.Contains(s.watchersOf(self.FailureDomain), self.ID)
}

// updateRole starts or stops the watches when the instance becomes or ceases to be a watcher.
func (s *Service) updateRole(watches *sync.WaitGroup) {
	selected := s.isSelected()
	if selected == s.Watching() || s.ctx.Err() != nil {
		return
	}
	s.ring.Add("store_watch", s.fleet.Self().ID, strconv.FormatBool(selected))
	if !selected {
		s.mu.Lock()
		s.stopWatches()
		s.stopWatches = nil
		s.storeUnreachable = false
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.stopWatches = cancel
	s.mu.Unlock()
	for _, kind := range s.schema.Kinds {
		watches.Go(func() { s.watch(ctx, kind, s.schema.WatchWait, retryDelay) })
	}
	for _, kind := range s.schema.Background {
		watches.Go(func() { s.watch(ctx, kind, backgroundWatchWait, backgroundRetryDelay) })
	}
}

// Watching reports whether the instance watches the store.
func (s *Service) Watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopWatches != nil
}

// watch offers all changes of one kind until ctx is done. watchWait is the time that one call waits for a change, and
// retryDelay the mean delay after a failed one.
func (s *Service) watch(ctx context.Context, kind string, watchWait, retryDelay time.Duration) {
	s.mu.Lock()
	revision := s.startRevisions[kind]
	delete(s.startRevisions, kind) // A later watch starts long after this read and reads all objects again.
	s.mu.Unlock()
	available := true
	for ctx.Err() == nil {
		outage := s.currentOutage()
		wait := watchWait
		if !available {
			wait = 0 // A waiting call would not return as soon as the store has recovered.
		}
		changes, err := s.source.Watch(ctx, platform.Purpose("watch_"+kind), kind, revision, wait)
		if ctx.Err() != nil {
			return
		}
		recovered := !available && err == nil
		if available != (err == nil) {
			available = err == nil
			s.log.Info("platform availability changed", "kind", kind, "available", available)
			s.ring.Add("platform_available", kind, strconv.FormatBool(available))
		}
		if err != nil {
			s.counters.Counter("platform_watch_failures").Add(1)
			s.recordStoreResult(kind, false)
			s.fetchElsewhere(ctx, kind)
			sleepDuring(ctx, outage, retryDelay/2+rand.N(retryDelay))
			continue
		}
		if recovered {
			s.endOutage()
		}
		revision = max(revision, changes.Revision)
		s.offerAll(changes)
		s.recordStoreResult(kind, true)
	}
}

// currentOutage returns a context that ends once a watch has reached the store again. An outage of the store ends for all
// kinds at once: those with long delays then need not wait for them.
func (s *Service) currentOutage() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage == nil {
		s.outage, s.cancelOutage = context.WithCancel(s.ctx)
	}
	return s.outage
}

func (s *Service) endOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != nil {
		s.cancelOutage()
		s.outage = nil
	}
}

// sleepDuring sleeps until the time has passed or one of the contexts is done.
func sleepDuring(ctx, outage context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(outage, cancel)
	defer stop()
	kernel.Sleep(ctx, d)
}

func (s *Service) offerAll(changes platform.Changes) {
	for _, obj := range changes.Objects {
		if o, ok := objectOf(obj); ok {
			s.offerStored(o)
		}
	}
}

// recordStoreResult records whether the store answered a read or watch of the required kind.
func (s *Service) recordStoreResult(kind string, answered bool) {
	if kind != s.schema.Required {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnreachable = !answered
	if answered {
		s.confirmedAt = time.Now()
	}
}

// candidates returns the members that are eligible as watchers, by failure domain. Starting members are
// included, so that not every instance becomes a watcher when the whole fleet starts at the same time.
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

// watchersOf returns the IDs of the watchers of a failure domain.
func (s *Service) watchersOf(domain string) []string {
	candidates := s.candidates()
	return config.Watchers(domain, ids(candidates[domain]), config.WatchersPerDomain(len(candidates)))
}

// nonWatchers returns the addresses of the members that are eligible as watchers and not selected.
func (s *Service) nonWatchers() []string {
	var out []string
	candidates := s.candidates()
	for domain, members := range candidates {
		watchers := config.Watchers(domain, ids(members), config.WatchersPerDomain(len(candidates)))
		for _, m := range members {
			if !slices.Contains(watchers, m.ID) {
				out = append(out, m.Address)
			}
		}
	}
	return out
}

// otherWatchers returns the addresses of all watchers except this instance.
func (s *Service) otherWatchers() []string {
	var out []string
	candidates := s.candidates()
	for domain := range candidates {
		out = append(out, s.watcherAddresses(domain, candidates)...)
	}
	return out
}

// otherDomainWatchers returns the addresses of the other watchers of the instance's failure domain.
func (s *Service) otherDomainWatchers() []string {
	domain := s.fleet.Self().FailureDomain
	return s.watcherAddresses(domain, s.candidates())
}

// watcherAddresses returns the addresses of the watchers of a failure domain, except this instance.
// candidates are the members that are eligible, by failure domain.
func (s *Service) watcherAddresses(domain string, candidates map[string][]membership.Member) []string {
	watchers := config.Watchers(domain, ids(candidates[domain]), config.WatchersPerDomain(len(candidates)))
	var out []string
	for _, m := range candidates[domain] {
		if m.ID != s.fleet.Self().ID && slices.Contains(watchers, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}

// receivers returns the addresses of the members to which this instance pushes new objects if it is a
// watcher.
func (s *Service) receivers() []string {
	self := s.fleet.Self()
	candidates := s.candidates()
	members := candidates[self.FailureDomain]
	watchers := config.Watchers(self.FailureDomain, ids(members), config.WatchersPerDomain(len(candidates)))
	if !slices.Contains(watchers, self.ID) {
		return nil
	}
	receivers := config.PushReceivers(watchers, self.ID, ids(members))
	var out []string
	for _, m := range members {
		if slices.Contains(receivers, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}
