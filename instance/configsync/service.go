// Package configsync keeps an instance's copy of what the platform holds: the two lists, the
// partition maps and the target lists.
package configsync

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
)

// Name is the name of the service.
const Name = "config"

// Kinds and names of the objects that the service reads.
const (
	KindConfig    = "config"
	NameCurrent   = "current"
	KindSnapshots = "snapshots"
	KindTargets   = "targets"
)

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 30 * time.Second
	// retryDelay is the pause after a failed watch call.
	retryDelay = 250 * time.Millisecond
)

// InForce is published when a newer configuration is in force.
type InForce struct {
	Sequence config.Revision `json:"sequence"`
}

// Topic implements kernel.Event.
func (InForce) Topic() string { return "config_in_force" }

// SnapshotsPublished is published when the partition maps of an index changed.
type SnapshotsPublished struct {
	Index string      `json:"index"`
	Maps  []query.Map `json:"maps"`
}

// Topic implements kernel.Event.
func (SnapshotsPublished) Topic() string { return "snapshots_published" }

// TargetsChanged is published when the list of targets of an index changed.
type TargetsChanged struct {
	Index   string         `json:"index"`
	Targets []query.Target `json:"targets"`
}

// Topic implements kernel.Event.
func (TargetsChanged) Topic() string { return "targets_changed" }

// Service watches the platform. It is safe for concurrent use.
type Service struct {
	client   *platform.Client
	bus      *kernel.Bus
	ring     *timeline.Ring
	log      *slog.Logger
	counters *counters.Set

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex // guards state
	state config.State
}

// New returns a service that reads through client.
func New(client *platform.Client, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	return &Service{client: client, bus: bus, ring: ring, log: log, counters: c}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start begins to watch.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, kind := range []string{KindConfig, KindSnapshots, KindTargets} {
		s.done.Go(func() { s.watch(ctx, kind) })
	}
	return nil
}

// Stop ends watching.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// InForce returns the lists in force, or false if none are known yet.
func (s *Service) InForce() (config.Lists, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.InForce()
}

// Offer puts lists in force if they are newer than those known here.
func (s *Service) Offer(lists config.Lists) {
	s.mu.Lock()
	taken := s.state.Offer(lists)
	s.mu.Unlock()
	if !taken {
		s.counters.Counter("config_offers_not_newer").Add(1)
		return
	}
	s.counters.Counter("config_versions_taken").Add(1)
	s.announce("config_in_force", strconv.FormatUint(uint64(lists.Sequence), 10), InForce{Sequence: lists.Sequence})
}

func (s *Service) watch(ctx context.Context, kind string) {
	var revision platform.Version
	available := true
	for ctx.Err() == nil {
		changes, err := s.client.Watch(ctx, platform.Purpose("watch_"+kind), kind, revision, watchWait)
		if err != nil {
			available = s.noteAvailability(ctx, kind, available, false)
			pause(ctx, retryDelay)
			continue
		}
		available = s.noteAvailability(ctx, kind, available, true)
		revision = max(revision, changes.Revision)
		for _, obj := range changes.Objects {
			s.take(obj)
		}
	}
}

// noteAvailability logs a change of the platform's availability and returns the new state.
func (s *Service) noteAvailability(ctx context.Context, kind string, was, is bool) bool {
	if was != is && ctx.Err() == nil {
		s.log.Info("platform availability changed", "kind", kind, "available", is)
		s.ring.Add("platform_available", kind, strconv.FormatBool(is))
	}
	if !is {
		s.counters.Counter("platform_watch_failures").Add(1)
	}
	return is
}

func (s *Service) take(obj platform.Object) {
	if obj.Deleted {
		return
	}
	var err error
	switch obj.Kind {
	case KindConfig:
		var lists config.Lists
		if err = json.Unmarshal(obj.Data, &lists); err == nil {
			s.Offer(lists)
		}
	case KindSnapshots:
		ev := SnapshotsPublished{Index: obj.Name}
		if err = json.Unmarshal(obj.Data, &ev.Maps); err == nil {
			s.announce(ev.Topic(), obj.Name, ev)
		}
	case KindTargets:
		ev := TargetsChanged{Index: obj.Name}
		if err = json.Unmarshal(obj.Data, &ev.Targets); err == nil {
			ev.Targets = slices.Clip(ev.Targets)
			s.announce(ev.Topic(), obj.Name, ev)
		}
	}
	if err != nil {
		s.counters.Counter("platform_objects_malformed").Add(1)
		s.log.Error("platform object does not decode", "kind", obj.Kind, "name", obj.Name, "error", err)
	}
}

func (s *Service) announce(kind, subject string, ev kernel.Event) {
	s.ring.Add(kind, subject, "")
	if err := s.bus.Publish(ev); err != nil {
		s.log.Error("event not published", "topic", ev.Topic(), "error", err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
