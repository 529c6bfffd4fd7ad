// Package directory converts the routes, the target entries and the quarantined requests in the platform's store into
// the objects that are distributed to all instances. A few instances read the store; the others receive the objects from them
// (package configsync).
package directory

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/routing"
)

// Kinds of the distributed objects. Each kind has one object, named NameCurrent.
const (
	KindRoutes  = "routes"
	KindTargets = "targets"
	// KindQuarantine is the list of quarantined requests. Instances can serve without it.
	KindQuarantine = configsync.KindQuarantine
	NameCurrent    = "current"
)

// watchWait is how long one watch waits for a change. A watch whose connection is lost reports nothing, so
// watchWait limits how long a change goes unnoticed: together with the distribution to the fleet, it has to stay
// below the 4 s after which a fleet counts as stable again. It is not much lower because each call is charged for.
const watchWait = 3200 * time.Millisecond

// WatchAnswerTimeout is how long the answer to a watch may be overdue before the call counts as failed. A slow store
// answers after 60 times 4 ms. With watchWait, it limits how long a store that stopped answering this instance goes
// unnoticed.
const WatchAnswerTimeout = 700 * time.Millisecond

// lapseGrace is the time that live targets need to register again once the store is available after an outage.
const lapseGrace = 2 * time.Second

// Revision is a revision of the platform's store, which counts its changes. A store that comes back from a copy counts on
// from the revision of the copy, in the next era. A revision of a later era is higher than all of earlier ones.
type Revision uint64

// eraShift is the number of bits of the count within an era.
const eraShift = 40

// NewRevision returns the revision with the given count of changes in an era.
func NewRevision(era, count uint64) Revision { return Revision(era<<eraShift | count) }

// Era returns the era of a revision.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Count returns the count of changes of a revision in its era, as the store states it.
func (r Revision) Count() uint64 { return uint64(r) & (1<<eraShift - 1) }

// ErrHistoryGone is returned when the store no longer has the changes after a revision, or has begun another era. The
// whole list has to be read again.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// Store is the platform's store. An error other than ErrHistoryGone means that the store is unavailable or that
// its answer is invalid. It is implemented by the adapter to the platform.
type Store interface {
	// Routes returns the newest routes, nil if none are stored yet.
	Routes(ctx context.Context) (*routing.Table, Revision, error)
	// WatchRoutes waits for routes newer than those at the revision. It returns nil if there are none within the
	// wait time.
	WatchRoutes(ctx context.Context, after Revision, wait time.Duration) (*routing.Table, Revision, error)
	// Targets returns the list of targets.
	Targets(ctx context.Context) ([]roster.Entry, Revision, error)
	// WatchTargets waits for changes to the list after the revision.
	WatchTargets(ctx context.Context, after Revision, wait time.Duration) ([]roster.Change, Revision, error)
	// Quarantined returns the list of quarantined requests and its version, 0 if there is none yet.
	Quarantined(ctx context.Context) ([]quarantine.Confirmed, platform.Version, Revision, error)
	// WatchQuarantined waits for a change of that list. It returns version 0 if there is none within the wait time.
	WatchQuarantined(ctx context.Context, after Revision, wait time.Duration) ([]quarantine.Confirmed, platform.Version, Revision, error)
	configsync.QuarantineStore
	// NoteEra states that another instance has received an answer of an era.
	NoteEra(era uint64)
	// SaveTargets stores the targets in use, for instances that start after an outage of the store.
	SaveTargets(ctx context.Context, list []roster.Entry) error
	// SavedTargets returns the targets that were saved last, nil if none were.
	SavedTargets(ctx context.Context) ([]roster.Entry, error)
}

// RoutesChanged is published when newer routes take effect.
type RoutesChanged struct {
	Table routing.Table `json:"table"`
}

// Topic implements kernel.Event.
func (RoutesChanged) Topic() string { return "routes_changed" }

// TargetsChanged is published when the list of targets changed.
type TargetsChanged struct {
	Entries []roster.Entry `json:"entries"`
	// Era is the era of the store in which the list was read.
	Era uint64 `json:"era,omitempty"`
	// Incomplete is set if the list was read within lapseGrace after an outage of the store: entries may have
	// lapsed during the outage. Another list follows.
	Incomplete bool `json:"lapsed,omitempty"`
	// BeforeOutage are the targets that were in use before the outage, for instances that have no targets. Their
	// entries may have lapsed; the complete list that follows replaces them.
	BeforeOutage []roster.Entry `json:"before,omitempty"`
}

// Topic implements kernel.Event.
func (TargetsChanged) Topic() string { return "entries_changed" }

// Schema returns the configsync schema of the objects.
func Schema() configsync.Schema {
	return configsync.Schema{
		Kinds: []string{KindRoutes, KindTargets}, Background: []string{KindQuarantine}, Required: KindRoutes, Decode: decode,
		WatchWait: watchWait,
	}
}

func decode(o config.Object) (kernel.Event, string, error) {
	switch o.Kind {
	case KindRoutes:
		var ev RoutesChanged
		err := json.Unmarshal(o.Data, &ev.Table)
		return ev, strconv.FormatUint(uint64(ev.Table.Version), 10), err
	case KindTargets:
		var ev TargetsChanged
		err := json.Unmarshal(o.Data, &ev)
		return ev, strconv.Itoa(len(ev.Entries)), err
	case KindQuarantine:
		var ev configsync.QuarantineChanged
		err := json.Unmarshal(o.Data, &ev.Confirmed)
		return ev, strconv.Itoa(len(ev.Confirmed)), err
	}
	return nil, "", errors.Errorf("unknown object kind %q", o.Kind)
}
