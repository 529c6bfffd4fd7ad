// Package configsync keeps an instance's copy of what the platform holds: the two lists, the
// partition maps and the target lists. Two instances of each failure domain watch the store; all
// others get new objects from them and from their peers.
package configsync

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
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
	// KindQuarantine holds the confirmed requests that crash targets, under NameCurrent.
	KindQuarantine = "quarantine"
)

// Source reads the objects of the platform. It is implemented by platform.Client.
type Source interface {
	// Watch returns the objects of a kind that changed after a revision, waiting up to wait for the
	// first change. Revision 0 returns all objects at once.
	Watch(ctx context.Context, p platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error)
}

// Schema describes the objects that every instance holds.
type Schema struct {
	Kinds []string
	// Required is the kind without which an instance is not ready.
	Required string
	// Decode returns the event that announces an object, and the subject of its timeline entry.
	Decode func(o config.Object) (kernel.Event, string, error)
	// WatchWait is how long one watch waits for a change. It bounds the time after which a silent store
	// is noticed.
	WatchWait time.Duration
}

// lists is the schema of the two lists, the partition maps and the target lists.
var lists = Schema{
	Kinds:    []string{KindConfig, KindSnapshots, KindTargets, KindQuarantine},
	Required: KindConfig, Decode: decode, WatchWait: watchWait,
}

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

// Fleet is what the service needs to know of the other instances. It is implemented by the members
// service.
type Fleet interface {
	Members() []membership.Member
	Self() membership.Member
	Transport() http.RoundTripper
	// ConfigChanged is called when another configuration is in force or the service became ready.
	ConfigChanged()
}

// Service holds the objects. It is safe for concurrent use.
type Service struct {
	client   *platform.Client // nil if nothing is written
	source   Source
	schema   Schema
	fleet    Fleet
	bus      *kernel.Bus
	ring     *timeline.Ring
	log      *slog.Logger
	counters *counters.Set

	ctx    context.Context // done once Stop is called
	cancel context.CancelFunc
	done   sync.WaitGroup

	confirmations confirmations

	announcing sync.Mutex // keeps events in the order of the revisions; taken before mu

	mu          sync.Mutex // guards the fields below
	state       trace.State
	holdings    config.ObjectSet
	ready       bool
	watching    context.CancelFunc // ends the watches; nil if the instance does not watch
	confirmedAt time.Time          // when the objects were last known to be the store's newest
	unreachable bool               // the last watch call failed
	fetching    bool
	// readAt gives, by kind, the revision at which the store was read at the start; a watch continues there.
	readAt map[string]platform.Version
}

// New returns a service that holds the two lists and what belongs to them, and reads through client.
func New(client *platform.Client, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	s := NewOf(lists, client, bus, ring, log, c)
	s.client = client
	return s
}

// NewOf returns a service that holds the objects of another schema. It writes nothing.
func NewOf(schema Schema, source Source, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{source: source, schema: schema, bus: bus, ring: ring, log: log, counters: c, ctx: ctx, cancel: cancel, readAt: map[string]platform.Version{}}
}

// UseRecorder sets what records the versions offered. subject is the id of this instance. It must be
// called before Start.
func (s *Service) UseRecorder(r *trace.Recorder, subject string) { s.state.RecordTo(r, subject) }

// Bind sets the membership. It must be called before Start.
func (s *Service) Bind(f Fleet) { s.fleet = f }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start begins to read and to watch.
func (s *Service) Start(context.Context) error {
	s.done.Go(s.run)
	return nil
}

// Stop ends all reading.
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

// Ready reports whether the instance has read the store, or peers while the store was away, since
// it started.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.holdsRequired()
}

// holdsRequired reports whether an object of the required kind is held. It must be called with mu held.
func (s *Service) holdsRequired() bool {
	return slices.ContainsFunc(s.holdings.Revisions(), func(h config.ObjectRevision) bool { return h.Kind == s.schema.Required })
}

// Accept puts lists in force that this instance has just written to the store, and hands them to
// all instances that watch the store.
func (s *Service) Accept(lists config.Lists) {
	data, err := json.Marshal(lists)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	o := config.Object{Key: config.Key{Kind: KindConfig, Name: NameCurrent}, Revision: uint64(lists.Sequence), Data: data}
	if s.offer(o) {
		s.push(o, s.otherWatchers())
	}
}

// offerStored takes an object that was read from the store. It also goes to the other watchers of the
// failure domain, since the store may turn one of them away, and with it those that it hands objects to.
func (s *Service) offerStored(o config.Object) {
	if s.offer(o) && s.Watching() {
		s.push(o, s.fellowWatchers())
	}
}

// offer takes an object if it is newer than the one held. If this instance watches the store, it
// hands the object on to its share of the failure domain.
func (s *Service) offer(o config.Object) bool {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	ev, subject, err := s.schema.Decode(o)
	if err != nil {
		s.counters.Counter("platform_objects_malformed").Add(1)
		s.log.Error("platform object does not decode", "kind", o.Kind, "name", o.Name, "error", err)
		return false
	}
	if !s.store(o, ev) {
		s.counters.Counter("objects_not_newer").Add(1)
		return false
	}
	s.counters.Counter("objects_taken").Add(1)
	s.log.Info("object taken", "kind", o.Kind, "name", o.Name, "revision", o.Revision, "bytes", len(o.Data))
	s.ring.Add(ev.Topic(), subject, "")
	if err := s.bus.Publish(ev); err != nil {
		s.log.Error("event not published", "topic", ev.Topic(), "error", err)
	}
	if o.Kind == s.schema.Required {
		s.counters.Counter("config_versions_taken").Add(1)
		s.fleet.ConfigChanged()
	}
	if s.Watching() {
		s.push(o, s.share())
	}
	return true
}

// decoded is the event of a configuration together with its lists.
type decoded struct {
	InForce
	lists config.Lists
}

// decode is the Decode of the lists.
func decode(o config.Object) (kernel.Event, string, error) {
	switch o.Kind {
	case KindConfig:
		var lists config.Lists
		err := json.Unmarshal(o.Data, &lists)
		ev := decoded{InForce: InForce{Sequence: lists.Sequence}, lists: lists}
		return ev, strconv.FormatUint(uint64(lists.Sequence), 10), err
	case KindSnapshots:
		ev := SnapshotsPublished{Index: o.Name}
		err := json.Unmarshal(o.Data, &ev.Maps)
		return ev, o.Name, err
	case KindTargets:
		ev := TargetsChanged{Index: o.Name}
		err := json.Unmarshal(o.Data, &ev.Targets)
		ev.Targets = slices.Clip(ev.Targets)
		return ev, o.Name, err
	case KindQuarantine:
		var ev QuarantineChanged
		err := json.Unmarshal(o.Data, &ev.Confirmed)
		return ev, o.Name, err
	}
	return nil, "", errors.Errorf("kind %q is not held by instances", o.Kind)
}

func (s *Service) store(o config.Object, ev kernel.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdings.Offer(o) {
		return false
	}
	if c, ok := ev.(decoded); ok {
		s.state.Offer(c.lists)
	}
	return true
}

// objectOf converts an object of the platform. It returns false for a deleted one: instances keep
// the last value, since a list that is gone is no order to forget it.
func objectOf(obj platform.Object) (config.Object, bool) {
	o := config.Object{Key: config.Key{Kind: obj.Kind, Name: obj.Name}, Revision: uint64(obj.Version), Data: obj.Data}
	if obj.Kind == KindConfig {
		var head struct {
			Sequence uint64 `json:"sequence"`
		}
		if json.Unmarshal(obj.Data, &head) == nil {
			o.Revision = head.Sequence
		}
	}
	return o, !obj.Deleted
}
