package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minWatchers is the minimum number of instances of the fleet that watch the store. If the store turns all of them away
// while it answers others, the others read it for them.
const minWatchers = 6

// WatchersPerDomain returns the number of instances of each failure domain that watch the store: two in a fleet of few
// failure domains, to tolerate the loss of one. Where there are many, others learn of a change by exchanges between
// failure domains if their own watcher is lost.
func WatchersPerDomain(domains int) int {
	if domains >= minWatchers {
		return 1
	}
	return 2
}

// Watchers selects n instances of a failure domain that watch the store, by rendezvous hashing: the
// loss of an instance does not change the other watchers.
func Watchers(domain string, members []string, n int) []string {
	ranked := slices.Clone(members)
	rank := func(id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), n)]
}

// PushReceivers returns the members of a failure domain to which one of its watchers pushes new objects.
// The receivers of the domain's watchers are disjoint and together include every member that is not a
// watcher.
func PushReceivers(watchers []string, watcher string, members []string) []string {
	var out []string
	for _, id := range members {
		if slices.Contains(watchers, id) {
			continue
		}
		if watchers[xxhash.Sum64String(id)%uint64(len(watchers))] == watcher {
			out = append(out, id)
		}
	}
	return out
}

// FanOut is the maximum number of instances to which one instance forwards a new object.
const FanOut = 4

// SplitReceivers divides the receivers of an object into at most FanOut groups of about the same size.
// The first receiver of each group gets the object and the rest of the group to forward it to.
func SplitReceivers[T any](receivers []T) [][]T {
	groups := min(FanOut, len(receivers))
	out := make([][]T, 0, groups)
	for i := range groups {
		from, to := i*len(receivers)/groups, (i+1)*len(receivers)/groups
		out = append(out, receivers[from:to])
	}
	return out
}
