package merge_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

func recordsReply(shard query.Shard, signature, body string) query.Reply {
	return query.Reply{Request: 1, Snapshot: 2, Shard: shard, Part: &query.Part{Status: 200, Signature: signature, Body: []byte(body)}}
}

// Guards against an answer that counts a shard or a signature twice, takes a part of another request or
// snapshot, loses equal records, or is not in order.
func TestRecords(t *testing.T) {
	r := merge.NewRecords(1, 2, []query.Shard{3, 4, 5})
	low, high := "aaaaaaaaaaaaaaaa", "zzzzzzzzzzzzzzzz"
	require.Equal(t, merge.Accepted, r.Offer(recordsReply(3, "s3", low+high+"rest")))
	require.Equal(t, merge.Duplicate, r.Offer(recordsReply(3, "other", high)))
	require.Equal(t, merge.Duplicate, r.Offer(recordsReply(4, "s3", high)))
	require.Equal(t, merge.UnknownShard, r.Offer(recordsReply(9, "s9", high)))
	wrong := recordsReply(4, "s4", high)
	wrong.Request = 7
	require.Equal(t, merge.WrongRequest, r.Offer(wrong))
	wrong = recordsReply(4, "s4", high)
	wrong.Snapshot = 1
	require.Equal(t, merge.WrongSnapshot, r.Offer(wrong))
	require.Equal(t, merge.Accepted, r.Offer(recordsReply(4, "s4", high)))
	require.Equal(t, []string{"s3", "s4"}, r.Signatures())
	require.Equal(t, 1, r.Missing())
	require.True(t, bytes.Equal([]byte(high+high+low), r.Greatest(10)))
	require.True(t, bytes.Equal([]byte(high+high), r.Greatest(2)))
}
