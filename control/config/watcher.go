package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDomain is the number of instances of a failure domain that watch the store: one more
// than needed, so that the loss of one goes unnoticed.
const WatchersPerDomain = 2

// Watchers returns the instances of one failure domain that watch the store, by rendezvous hashing:
// the loss of an instance moves no other watcher.
func Watchers(domain string, members []string) []string {
	ranked := slices.Clone(members)
	rank := func(id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), WatchersPerDomain)]
}

// PushReceivers returns the members of a failure domain that one of its watchers pushes new objects to. The
// shares of all watchers of the domain are disjoint and hold every member that is not a watcher.
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

// FanOut is the number of instances that each instance hands a new object to.
const FanOut = 4

// SplitReceivers divides the receivers of an object into at most FanOut groups of about the same size. The
// first of each group gets the object together with the rest of the group to hand it on to.
func SplitReceivers[T any](receivers []T) [][]T {
	groups := min(FanOut, len(receivers))
	out := make([][]T, 0, groups)
	for i := range groups {
		from, to := i*len(receivers)/groups, (i+1)*len(receivers)/groups
		out = append(out, receivers[from:to])
	}
	return out
}
