// Package directory keeps an instance's copy of the routes and of the list of targets, both of which the
// platform holds.
package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/query/routing"
)

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
}

// Consumer takes what is in force.
type Consumer interface {
	SetTable(t *routing.Table)
	SetTargets(entries []roster.Entry)
}
