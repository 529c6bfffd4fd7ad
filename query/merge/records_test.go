package merge_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

func recordsReply(shard query.Shard, signature, body string) query.Reply {
	return query.Reply{Request: 1, Snapshot: 2, Shard: shard, Part: &query.Part{Status: 200, Signature: signature, Body: []byte(body)}}
}

// Guards against an answer that counts a shard or a signature twice, accepts a part of another request or
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
	require.True(t, bytes.Equal([]byte(high+high+low), r.Top(10)))
	require.True(t, bytes.Equal([]byte(high+high), r.Top(2)))
}

// Guards against records that are lost, duplicated, out of order or truncated, and against a limit that is used
// as a length, for any bodies.
func FuzzRecords(f *testing.F) {
	f.Add([]byte("aaaaaaaaaaaaaaaazzzzzzzzzzzzzzzzrest"), []byte(""), 10)
	f.Add([]byte("zzzzzzzzzzzzzzzz"), []byte("zzzzzzzzzzzzzzzz"), 1)
	f.Add([]byte("short"), []byte{}, 0)
	f.Add(bytes.Repeat([]byte{0xff}, 64), bytes.Repeat([]byte{0}, 31), -1)
	f.Fuzz(func(t *testing.T, first, second []byte, limit int) {
		r := merge.NewRecords(1, 2, []query.Shard{3, 4})
		require.Equal(t, merge.Accepted, r.Offer(recordsReply(3, "s3", string(first))))
		require.Equal(t, merge.Accepted, r.Offer(recordsReply(4, "s4", string(second))))
		var all [][]byte
		for _, body := range [][]byte{first, second} {
			for rec := range slices.Chunk(body, merge.RecordBytes) {
				if len(rec) == merge.RecordBytes {
					all = append(all, rec)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(max(limit, 0), len(all))], nil)
		require.True(t, bytes.Equal(want, r.Top(limit)))
	})
}
