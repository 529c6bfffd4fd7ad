package measure

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/control/claim"
)

const (
	storeDelay = 3 * time.Millisecond // round trip of one call
	// storeTimeout is the time after which a call without an answer ends.
	storeTimeout = 2 * time.Second
	// maxLateEffectDelay bounds the delay until a write without an answer takes effect.
	maxLateEffectDelay = 10 * time.Second
)

// writeResult is the result of a write as the writer sees it.
type writeResult uint8

const (
	written writeResult = iota
	writeConflict
	writeUncertain
)

// claimStore is a model of the object API: conditional writes with lost answers, late effects and
// outages, and a limit of writes per second.
type claimStore struct {
	loop   *Loop
	source *rand.Rand

	heads    [claim.Buckets]claim.Head
	versions [claim.Buckets]claim.Version
	segments map[string][]claim.Record
	keys     map[claim.Key]keyObject // objects of the baseline
	revision claim.Version

	unavailable     bool
	lostAnswerShare float64
	lateEffectShare float64
	// writeInterval is the minimum time between two writes; 0 means no limit.
	writeInterval time.Duration
	nextWriteAt   time.Time
	writeCount    int64
	recordBytes   int64 // written records, without the syntax of the head
}

func newClaimStore(loop *Loop, source *rand.Rand) *claimStore {
	return &claimStore{
		loop: loop, source: source, segments: map[string][]claim.Record{}, keys: map[claim.Key]keyObject{},
	}
}

// write performs apply, which reports whether its condition was met, and reports the result to respond.
func (s *claimStore) write(apply func() bool, respond func(writeResult)) {
	s.writeCount++
	p := s.source.Float64()
	switch {
	case s.unavailable:
		s.loop.After(storeTimeout, func() { respond(writeUncertain) })
		return
	case p < s.lateEffectShare:
		s.loop.After(time.Duration(s.source.Int64N(int64(maxLateEffectDelay))), func() { apply() })
		s.loop.After(storeTimeout, func() { respond(writeUncertain) })
		return
	}
	begin := later(s.loop.Now(), s.nextWriteAt)
	s.nextWriteAt = begin.Add(s.writeInterval)
	s.loop.At(begin.Add(storeDelay), func() {
		ok := apply()
		switch {
		case p < s.lateEffectShare+s.lostAnswerShare:
			s.loop.After(storeTimeout, func() { respond(writeUncertain) })
		case ok:
			respond(written)
		default:
			respond(writeConflict)
		}
	})
}

// read performs get at once and calls the function that get returned after the delay of a call, so that
// the answer may be stale. It passes false if the store is unavailable.
func (s *claimStore) read(get func() func(ok bool)) {
	if s.unavailable {
		s.loop.After(storeTimeout, func() { get()(false) })
		return
	}
	respond := get()
	s.loop.After(storeDelay, func() { respond(true) })
}

func (s *claimStore) writeHead(bucket int, a claim.Action, respond func(writeResult, claim.Version)) {
	var v claim.Version
	s.recordBytes += jsonSize(a.Head.Claims)
	s.write(func() bool {
		if s.versions[bucket] != a.Expected {
			return false
		}
		s.revision++
		v = s.revision
		s.heads[bucket], s.versions[bucket] = a.Head, v
		return true
	}, func(r writeResult) { respond(r, v) })
}

func (s *claimStore) writeSegment(a claim.Action, respond func(writeResult)) {
	s.recordBytes += jsonSize(a.Records)
	s.write(func() bool {
		if _, exists := s.segments[a.Segment]; !exists {
			s.segments[a.Segment] = a.Records
		}
		return true
	}, respond)
}

// jsonSize returns the approximate size of records in JSON, in bytes.
func jsonSize(records []claim.Record) int64 {
	const syntaxBytes = 20
	total := 0
	for _, r := range records {
		total += len(r.Key) + len(r.Result) + syntaxBytes
	}
	return int64(total)
}
