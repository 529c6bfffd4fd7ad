package claim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a key without a valid time being accepted, since its age would be undefined.
func TestParseKey(t *testing.T) {
	for key, valid := range map[string]bool{
		"1800000000000-credit_7.a": true,
		"1800000000000-":           false,
		"180000000000-a":           false,
		"18000000000000-a":         false,
		"-1800000000000-a":         false,
		"1800000000000-a/b":        false,
		"credit":                   false,
	} {
		_, err := ParseKey(key)
		require.Equal(t, valid, err == nil, key)
	}
	require.Equal(t, int64(1800000000000), Key("1800000000000-a-b").Millis())
}

// Guards against reassignment of other members' buckets when a member leaves, and against a member that is
// assigned no bucket.
func TestChooseWriterReassignsOnlyBucketsOfRemovedMember(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	used := map[string]bool{}
	for bucket := range Buckets {
		before := ChooseWriter(bucket, members)
		used[before] = true
		after := ChooseWriter(bucket, members[:3])
		if before != "d" {
			require.Equal(t, before, after)
		}
	}
	require.Len(t, used, len(members))
	require.Empty(t, ChooseWriter(0, nil))
}
