package claim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keys whose age cannot be judged.
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

// Guards against writers that all move when one member leaves, and against buckets of one member.
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
