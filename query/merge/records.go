package merge

import (
	"bytes"
	"slices"

	"hyssopcroft.example/query"
)

// RecordBytes is the size of a record. A shorter remainder of a part's body is ignored.
const RecordBytes = 16

type record [RecordBytes]byte

// Records merges the parts of one query whose bodies consist of records of fixed size. It is not safe for
// concurrent use.
type Records struct {
	request    query.RequestID
	snapshot   query.Version
	shards     []query.Shard
	covered    []bool // in the order of shards
	signatures []string
	records    []record
}

// NewRecords returns an empty Records for the shards of one snapshot.
func NewRecords(request query.RequestID, snapshot query.Version, shards []query.Shard) *Records {
	return &Records{
		request: request, snapshot: snapshot, shards: shards, covered: make([]bool, len(shards)),
		signatures: make([]string, 0, len(shards)),
	}
}

// Offer adds a part if it belongs to the query and its shard is not covered yet. It refuses a part whose
// signature the answer contains already, since that signature does not prove that the shard answered.
func (r *Records) Offer(reply query.Reply) Verdict {
	switch {
	case reply.Request != r.request:
		return WrongRequest
	case reply.Snapshot != r.snapshot:
		return WrongSnapshot
	}
	i := slices.Index(r.shards, reply.Shard)
	switch {
	case i < 0 || reply.Part == nil:
		return UnknownShard
	case r.covered[i] || slices.Contains(r.signatures, reply.Part.Signature):
		return Duplicate
	}
	r.covered[i] = true
	r.signatures = append(r.signatures, reply.Part.Signature)
	for body := reply.Part.Body; len(body) >= RecordBytes; body = body[RecordBytes:] {
		r.records = append(r.records, record(body[:RecordBytes]))
	}
	return Accepted
}

// Signatures returns the signatures of the accepted parts in the order of their arrival.
func (r *Records) Signatures() []string { return r.signatures }

// Missing returns the number of shards that are not covered.
func (r *Records) Missing() int { return len(r.shards) - len(r.signatures) }

// Top returns the greatest records in descending byte order, at most limit of them.
func (r *Records) Top(limit int) []byte {
	slices.SortFunc(r.records, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	top := r.records[:min(max(limit, 0), len(r.records))]
	out := make([]byte, 0, len(top)*RecordBytes)
	for _, rec := range top {
		out = append(out, rec[:]...)
	}
	return out
}
