// Package configsync replicates the platform's objects to an instance: the configuration, the partition
// maps, the target lists and the quarantined requests. One or two instances of each failure domain watch the
// store; all other instances receive new objects from the watchers and from their peers.
package configsync

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/memberpb"
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
	// KindQuarantine is the kind of the list of requests confirmed to crash targets. Its name is
	// NameCurrent.
	KindQuarantine = "quarantine"
)

// Source reads objects from the platform's store. It is implemented by platform.Client.
type Source interface {
	// Watch returns the objects of a kind that changed after a revision. It waits up to wait for the
	// first change. Revision 0 returns all objects immediately.
	Watch(ctx context.Context, p platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error)
}

// Schema describes the objects that are replicated to every instance.
type Schema struct {
	// Kinds are the kinds that each instance reads at its start.
	Kinds []string
	// Background are kinds that an instance can start without. Only watchers read them.
	Background []string
	// Required is the kind without which an instance is not ready.
	Required string
	// Decode returns the event that announces an object, and the subject of its timeline entry.
	Decode func(o config.Object) (kernel.Event, string, error)
	// WatchWait is the maximum time that one watch call waits for a change. It bounds the time until a
	// store that does not respond is detected.
	WatchWait time.Duration
}

// defaultSchema is the schema of the configuration, the partition maps, the target lists and the
// quarantined requests.
var defaultSchema = Schema{
	Kinds:    []string{KindConfig, KindSnapshots, KindTargets, KindQuarantine},
	Required: KindConfig, Decode: decode, WatchWait: watchWait,
}

// ConfigInForce is published when a newer configuration comes into force.
type ConfigInForce struct {
	Sequence config.Revision `json:"sequence"`
}

// Topic implements kernel.Event.
func (ConfigInForce) Topic() string { return "config_in_force" }

// SnapshotsPublished is published when the partition maps of an index have changed.
type SnapshotsPublished struct {
	Index string      `json:"index"`
	Maps  []query.Map `json:"maps"`
}

// Topic implements kernel.Event.
func (SnapshotsPublished) Topic() string { return "snapshots_published" }

// TargetsChanged is published when the list of targets of an index has changed.
type TargetsChanged struct {
	Index   string         `json:"index"`
	Targets []query.Target `json:"targets"`
}

// Topic implements kernel.Event.
func (TargetsChanged) Topic() string { return "targets_changed" }

// Fleet provides the members of the fleet and the transport to them. It is implemented by
// members.Service.
type Fleet interface {
	Members() []membership.Member
	Self() membership.Member
	Transport() http.RoundTripper
	// ConfigChanged is called when a newer object of the required kind is in force and when the service
	// becomes ready.
	ConfigChanged()
}

// Service replicates the objects of a schema. It is safe for concurrent use.
type Service struct {
	source Source
	// quarantineStore is nil if the service only reads.
	quarantineStore QuarantineStore
	schema          Schema
	fleet           Fleet
	// firstStart is set if the whole fleet starts for the first time.
	firstStart bool
	bus        *kernel.Bus
	ring       *timeline.Ring
	log        *slog.Logger
	counters   *counters.Set

	ctx    context.Context // done once Stop is called
	cancel context.CancelFunc
	done   sync.WaitGroup

	quarantineQueue quarantineQueue
	peerReads       peerReads
	// readingThroughPeers is set while peers read the store on behalf of this instance.
	readingThroughPeers atomic.Bool

	wireMu      sync.Mutex                      // guards wireObjects
	wireObjects map[config.Key]*memberpb.Object // the latest message of each object

	roleChanged chan struct{} // signals that the instance may have become a watcher

	publishMu sync.Mutex // keeps events in the order of revisions; locked before mu

	mu               sync.Mutex // guards the fields below
	state            trace.State
	objects          config.ObjectSet
	ready            bool
	stopWatches      context.CancelFunc // stops the watches; nil if the instance is not a watcher
	confirmedAt      time.Time          // when the objects were last confirmed as the newest in the store
	outage           context.Context    // ends with the current outage of the store, nil if no watch has asked since the last one
	cancelOutage     context.CancelFunc
	storeUnreachable bool // the last watch call for the required kind failed
	fetching         bool
	isolated         bool // see SetIsolated
	// startRevisions are the revisions, by kind, at which the store was read at the start. The first
	// watch of a kind continues from there.
	startRevisions map[string]platform.Version
}

// New returns a service that replicates the objects of the default schema through client.
func New(client *platform.Client, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	s := NewWithSchema(defaultSchema, client, bus, ring, log, c)
	s.quarantineStore = clientQuarantineStore{client}
	return s
}

// NewWithSchema returns a service that replicates the objects of a schema. It does not write to the store unless
// UseQuarantineStore is called.
func NewWithSchema(schema Schema, source Source, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{source: source, schema: schema, bus: bus, ring: ring, log: log, counters: c, ctx: ctx, cancel: cancel, roleChanged: make(chan struct{}, 1), startRevisions: map[string]platform.Version{}, wireObjects: map[config.Key]*memberpb.Object{}}
}

// UseRecorder sets the recorder of the configuration versions that are offered. subject is the ID of
// this instance. It must be called before Start.
func (s *Service) UseRecorder(r *trace.Recorder, subject string) { s.state.RecordTo(r, subject) }

// OnFirstStart states that the whole fleet starts for the first time, so that the objects may not exist yet. It must be
// called before Start.
func (s *Service) OnFirstStart() { s.firstStart = true }

// UseQuarantineStore sets the store to which quarantined requests are written. It must be called before Start.
func (s *Service) UseQuarantineStore(store QuarantineStore) { s.quarantineStore = store }

// UseFleet sets the fleet. It must be called before Start.
func (s *Service) UseFleet(f Fleet) { s.fleet = f }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start reads all objects and watches the store in the background.
func (s *Service) Start(context.Context) error {
	s.done.Go(s.run)
	return nil
}

// Stop cancels all calls and waits for the background work to end.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// InForce returns the configuration in force, or false if there is none yet.
func (s *Service) InForce() (config.Lists, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.InForce()
}

// Ready reports whether the instance has read all objects since its start, from the store or, if that
// was unavailable, from peers.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.hasRequiredLocked()
}

// hasRequiredLocked reports whether there is an object of the required kind. It must be called with mu
// held.
func (s *Service) hasRequiredLocked() bool {
	return slices.ContainsFunc(s.objects.Revisions(), func(r config.ObjectRevision) bool { return r.Kind == s.schema.Required })
}

// Apply puts a configuration in force that this instance has just written to the store, and pushes it to
// all watchers.
func (s *Service) Apply(lists config.Lists) {
	data, err := json.Marshal(lists)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	o := config.Object{Key: config.Key{Kind: KindConfig, Name: NameCurrent}, Revision: uint64(lists.Sequence), Data: data}
	if s.offer(o) {
		s.push(o, s.otherWatchers())
	}
}

// offerStored offers an object that was read from the store. A newer object is also pushed to the other
// watchers of the failure domain: the store may refuse the calls of one of them, which would delay the
// object at that watcher and its receivers.
func (s *Service) offerStored(o config.Object) {
	if s.offer(o) && s.Watching() {
		s.push(o, s.otherDomainWatchers())
	}
}

// offer stores an object and publishes its event if it is newer than the current one, and reports
// whether it was. A watcher then pushes the object to its receivers in the failure domain.
func (s *Service) offer(o config.Object) bool {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	ev, subject, err := s.schema.Decode(o)
	if err != nil {
		s.counters.Counter("platform_objects_malformed").Add(1)
		s.log.Error("malformed object from the platform", "kind", o.Kind, "name", o.Name, "error", err)
		return false
	}
	if !s.update(o, ev) {
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
		s.push(o, s.receivers())
	}
	return true
}

// configEvent is a ConfigInForce event with the decoded configuration.
type configEvent struct {
	ConfigInForce
	lists config.Lists
}

// decode is the Decode function of defaultSchema.
func decode(o config.Object) (kernel.Event, string, error) {
	switch o.Kind {
	case KindConfig:
		var lists config.Lists
		err := json.Unmarshal(o.Data, &lists)
		ev := configEvent{ConfigInForce: ConfigInForce{Sequence: lists.Sequence}, lists: lists}
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
	return nil, "", errors.Errorf("unknown object kind %q", o.Kind)
}

// update stores an object if it is newer than the current one. It reports whether it did.
func (s *Service) update(o config.Object, ev kernel.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.objects.Offer(o) {
		return false
	}
	if c, ok := ev.(configEvent); ok {
		s.state.Offer(c.lists)
	}
	return true
}

// objectOf converts an object of the platform. It returns false for a deleted object: instances keep
// the last version, since a missing list does not mean that its entries were removed on purpose.
func objectOf(obj platform.Object) (config.Object, bool) {
	o := config.Object{Key: config.Key{Kind: obj.Kind, Name: obj.Name}, Revision: uint64(obj.Version), Data: obj.Data}
	if obj.Kind == KindConfig {
		var header struct {
			Sequence uint64 `json:"sequence"`
		}
		if json.Unmarshal(obj.Data, &header) == nil {
			o.Revision = header.Sequence
		}
	}
	return o, !obj.Deleted
}
