// Package directory turns what the platform's store holds for the users, which are routes and the entries
// of targets, into the two objects that all instances hold. Few instances read the store; the others
// learn of the objects from them (package configsync).
package directory

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/routing"
)

// Kinds of the objects. Each kind has one object, named NameCurrent.
const (
	KindRoutes  = "routes"
	KindTargets = "targets"
	NameCurrent = "current"
)

// watchWait is how long one watch waits for a change. A watch that is cut off says nothing, so that this
// bounds the time for which a change stays unknown: with the way through the fleet it is below the 4 s
// after which a fleet counts as calm again. Each call is charged for, so that it is not much below.
const watchWait = 3200 * time.Millisecond

// lapseGrace is the time after the store's return after which targets that live have registered again.
const lapseGrace = 2 * time.Second

// Revision counts the changes of the platform's store.
type Revision uint64

// ErrHistoryGone says that the store no longer knows what changed after a revision, so that the whole
// list has to be read again.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// Store reads what the platform holds. Other errors than ErrHistoryGone mean that it did not answer as
// it should. It is implemented by the adapter to the platform.
type Store interface {
	// Routes returns the newest routes, nil if none are stored yet.
	Routes(ctx context.Context) (*routing.Table, Revision, error)
	// WatchRoutes waits for newer routes than those at the revision. It returns nil if there were none
	// within the time.
	WatchRoutes(ctx context.Context, after Revision, wait time.Duration) (*routing.Table, Revision, error)
	// Targets returns the list of targets.
	Targets(ctx context.Context) ([]roster.Entry, Revision, error)
	// WatchTargets waits for changes of the list after the revision.
	WatchTargets(ctx context.Context, after Revision, wait time.Duration) ([]roster.Change, Revision, error)
	// SaveTargets writes the targets in use, for instances that start after an outage of the store.
	SaveTargets(ctx context.Context, list []roster.Entry) error
	// SavedTargets returns what was written last, nil if nothing was.
	SavedTargets(ctx context.Context) ([]roster.Entry, error)
}

// RoutesChanged is published when newer routes are in force.
type RoutesChanged struct {
	Table routing.Table `json:"table"`
}

// Topic implements kernel.Event.
func (RoutesChanged) Topic() string { return "routes_changed" }

// TargetsChanged is published when the list of targets changed.
type TargetsChanged struct {
	Entries []roster.Entry `json:"entries"`
	// Incomplete is set if the list was read within lapseGrace after its reader regained the store. Another
	// list follows.
	Incomplete bool `json:"lapsed,omitempty"`
	// BeforeOutage are the targets that were in use before the outage, for instances that know none. Their entries may
	// have lapsed; the list that follows decides on them.
	BeforeOutage []roster.Entry `json:"before,omitempty"`
}

// Topic implements kernel.Event.
func (TargetsChanged) Topic() string { return "entries_changed" }

// Schema describes the two objects.
func Schema() configsync.Schema {
	return configsync.Schema{
		Kinds: []string{KindRoutes, KindTargets}, Required: KindRoutes, Decode: decode, WatchWait: watchWait,
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
	}
	return nil, "", errors.Errorf("kind %q is not held by instances", o.Kind)
}
