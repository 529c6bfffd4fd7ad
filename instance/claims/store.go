package claims

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/claim"
)

const (
	// kindHeads is the kind of the head objects, whose names are the numbers of the buckets.
	kindHeads = "claims"
	// kindSegments is the kind of the segment objects.
	kindSegments = "claim-segments"
)

// store makes the store calls of one bucket.
type store struct {
	client *platform.Client
	bucket int
}

// perform makes one call and reports its result to the log of b.
func (s *store) perform(ctx context.Context, a claim.Action, b *bucket) {
	switch a.Kind {
	case claim.ReadHead:
		s.readHead(ctx, b)
	case claim.ReadSegment:
		s.readSegment(ctx, a, b)
	case claim.WriteHead:
		s.writeHead(ctx, a, b)
	case claim.WriteSegment:
		s.writeSegment(ctx, a, b)
	case claim.DeleteSegment:
		s.deleteSegment(ctx, a.Segment)
	}
}

func (s *store) readHead(ctx context.Context, b *bucket) {
	var head claim.Head
	obj, err := s.client.Get(ctx, "claim_head_read", kindHeads, strconv.Itoa(s.bucket))
	if err == nil {
		err = json.Unmarshal(obj.Data, &head)
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		b.handleEvent(func(now time.Time) []claim.Action { return b.log.OnHead(now, claim.Head{}, 0) })
	case err != nil:
		b.handleEvent(b.log.OnReadFailed)
	default:
		b.handleEvent(func(now time.Time) []claim.Action { return b.log.OnHead(now, head, claim.Version(obj.Version)) })
	}
}

func (s *store) readSegment(ctx context.Context, a claim.Action, b *bucket) {
	var records []claim.Record
	obj, err := s.client.Get(ctx, "claim_segment_read", kindSegments, a.Segment)
	if err == nil {
		err = json.Unmarshal(obj.Data, &records)
	}
	if err != nil {
		b.handleEvent(b.log.OnReadFailed)
		return
	}
	b.handleEvent(func(now time.Time) []claim.Action { return b.log.OnSegment(now, records) })
}

func (s *store) writeHead(ctx context.Context, a claim.Action, b *bucket) {
	obj := platform.Object{Kind: kindHeads, Name: strconv.Itoa(s.bucket), Data: encode(a.Head)}
	version, err := s.client.Put(ctx, "claim_head_write", obj, platform.Version(a.Expected), 0)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		b.handleEvent(b.log.OnConflict)
	case err != nil:
		b.handleEvent(b.log.OnWriteUncertain)
	default:
		b.handleEvent(func(now time.Time) []claim.Action { return b.log.OnWritten(now, claim.Version(version)) })
	}
}

// writeSegment treats a conflict as success: the names of segments are unique, so the object was created
// by an earlier attempt.
func (s *store) writeSegment(ctx context.Context, a claim.Action, b *bucket) {
	obj := platform.Object{Kind: kindSegments, Name: a.Segment, Data: encode(a.Records)}
	_, err := s.client.Put(ctx, "claim_segment_write", obj, 0, 0)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		b.handleEvent(b.log.OnWriteUncertain)
		return
	}
	b.handleEvent(b.log.OnSegmentWritten)
}

// deleteSegment ignores errors: an object that is not deleted only takes up space.
func (s *store) deleteSegment(ctx context.Context, name string) {
	obj, err := s.client.Get(ctx, "claim_segment_delete", kindSegments, name)
	if err == nil {
		_ = s.client.Delete(ctx, "claim_segment_delete", kindSegments, name, obj.Version) // best effort
	}
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode claims"))
	}
	return data
}
