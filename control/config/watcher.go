package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDomain is the number of instances of a failure domain that watch the store: one more
// than needed, to tolerate the loss of one.
const WatchersPerDomain = 2

// Watchers selects the instances of a failure domain that watch the store, by rendezvous hashing: the
// loss of an instance does not change the other watchers.
func Watchers(domain string, members []string) []string {
	ranked := slices.Clone(members)
	rank := func(id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), WatchersPerDomain)]
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
