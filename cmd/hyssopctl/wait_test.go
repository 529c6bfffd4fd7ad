package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
)

// Guards against a wait that ends while a live member is behind, or that never ends because it counts a dead
// or leaving member.
func TestProgressCountsLiveMembersOnly(t *testing.T) {
	status := admin.Status{Members: []admin.MemberStatus{
		{ID: "a", State: "live", ConfigSequence: 7}, {ID: "b", State: "live", ConfigSequence: 8},
		{ID: "c", State: "live", ConfigSequence: 6}, {ID: "d", State: "dead"}, {ID: "e", State: "leaving"},
	}}
	require.Equal(t, progress{inForce: 2, live: 3, behind: []string{"c"}}, progressOf(status, 7))
	require.Equal(t, progress{inForce: 3, live: 3}, progressOf(status, 6))
}
