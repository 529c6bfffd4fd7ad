package merge

import (
	"bytes"
	"slices"

	"hyssopcroft.example/query"
)

// RecordBytes is the size of a record. A shorter rest of a part's body is not a record.
const RecordBytes = 16

type record [RecordBytes]byte

// Records collects the parts of one query whose bodies are records of fixed size, and keeps the
// greatest ones, compared byte by byte. It is not safe for concurrent use.
type Records struct {
	request    query.RequestID
	snapshot   query.Version
	shards     []query.Shard
	covered    []bool // in the order of shards
	signatures []string
	records    []record
}

// NewRecords returns an empty collection for the shards of one snapshot.
func NewRecords(request query.RequestID, snapshot query.Version, shards []query.Shard) *Records {
	return &Records{
		request: request, snapshot: snapshot, shards: shards, covered: make([]bool, len(shards)),
		signatures: make([]string, 0, len(shards)),
	}
}

// Offer adds a part if it belongs to the query and its shard is not covered yet. A part whose
// signature is in the answer already proves nothing about its shard.
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

// Signatures returns the signatures of the parts in the order of their arrival.
func (r *Records) Signatures() []string { return r.signatures }

// Missing returns the number of shards that are not covered.
func (r *Records) Missing() int { return len(r.shards) - len(r.signatures) }

// Top returns the greatest records in falling order, at most limit of them.
func (r *Records) Top(limit int) []byte {
	slices.SortFunc(r.records, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	kept := r.records[:min(max(limit, 0), len(r.records))]
	out := make([]byte, 0, len(kept)*RecordBytes)
	for _, rec := range kept {
		out = append(out, rec[:]...)
	}
	return out
}
