package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// region returns instances of one region: some large ones in each of two failure domains, the rest small.
func region(name string, large, small int) []Candidate {
	var out []Candidate
	for _, domain := range []string{name + "-a", name + "-b"} {
		for i := range large + small {
			capacity := uint32(192)
			if i < large {
				capacity = 800
			}
			out = append(out, Candidate{ID: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Region: name, Capacity: capacity})
		}
	}
	return out
}

func fleetOf(regions int) []Candidate {
	var out []Candidate
	for i := range regions {
		out = append(out, region(fmt.Sprint("r", i), 3, 45)...)
	}
	return out
}

var targetsByDomain = map[string]int{"r0-a": 90, "r1-a": 90, "r2-a": 90}

// Guards against relays that are too many for the targets' connections, that are weak or far from the targets while
// others are not, and against a region without relays.
func TestRelays(t *testing.T) {
	got := Relays(fleetOf(3), 175, targetsByDomain)
	require.Len(t, got, 9)
	for _, c := range got {
		require.EqualValues(t, 800, c.Capacity)
		require.Contains(t, targetsByDomain, c.FailureDomain)
	}
	weak := region("r0", 0, 45)
	require.Len(t, Relays(weak, 175, targetsByDomain), 9, "a tenth of 90 instances of the same capacity")
	require.Len(t, Relays(weak, 8, targetsByDomain), 4, "two connections to each target for each relay")
	require.Len(t, Relays(weak[:2], 175, targetsByDomain), 2)
	unknown := []Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	require.Len(t, Relays(unknown, 175, nil), minRelaysPerRegion)
	require.Empty(t, Relays(nil, 175, nil))
	domain := map[string]int{"r0-a": 46, "r0-b": 44}
	require.Equal(t, Relays(region("r0", 3, 45), 175, domain), Relays(region("r0", 3, 45), 175, map[string]int{"r0-a": 44, "r0-b": 46}),
		"the loss of some targets does not move the relays")
}

// Guards against members whose loss moves more relays than the lost ones, and against two views of the members, one
// change apart, that together use more connections than the targets accept.
func TestRelaysMoveLittle(t *testing.T) {
	const accepted, usable = 195, 175
	rapid.Check(t, func(rt *rapid.T) {
		fleet := fleetOf(3)
		lost := rapid.IntRange(0, len(fleet)-1).Draw(rt, "lost")
		without := append(append([]Candidate{}, fleet[:lost]...), fleet[lost+1:]...)
		before, after := Relays(fleet, usable, targetsByDomain), Relays(without, usable, targetsByDomain)
		union := map[string]bool{}
		for _, c := range append(append([]Candidate{}, before...), after...) {
			union[c.ID] = true
		}
		kept := 0
		for _, c := range after {
			for _, b := range before {
				if b.ID == c.ID {
					kept++
				}
			}
		}
		require.GreaterOrEqual(rt, kept, len(before)-1)
		perRelay := min(usable/len(before), 8)
		require.LessOrEqual(rt, len(union)*perRelay, accepted)
	})
}
