// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight), so that
// adding or removing a member moves only the keys of that member.
//
// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Choose returns the member with the highest weight for a key, or "" if there are no members.
func Choose(key string, members []string) string {
	chosen, highest := "", uint64(0)
	for _, m := range members {
		weight := xxhash.Sum64String(m + "/" + key)
		if chosen == "" || weight > highest || (weight == highest && m < chosen) {
			chosen, highest = m, weight
		}
	}
	return chosen
}
