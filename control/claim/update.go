package claim

import (
	"fmt"
	"slices"
	"time"
)

// startUpdate writes queued claims and results to the head. If the head is too large, it first moves claims with
// a final state to a segment.
func (l *Log) startUpdate(now time.Time) []Action {
	if l.headBytes() > l.compactBytes {
		if u := l.finalClaims(); u != nil {
			l.compaction = u
			return l.writeSegment()
		}
	}
	claims, out := l.claimQueued(now)
	if len(claims) == 0 && !l.resultsDue(now) {
		return out
	}
	l.pending = l.newUpdate(now, claims)
	return append(out, l.startNextCall(now)...)
}

func (l *Log) headBytes() int {
	total := 0
	for _, k := range l.headKeys {
		total += l.records[k].size()
	}
	return total
}

// claimQueued adds claims for the queued keys, up to the limits of one update. It returns the new claims, and the
// answers to submissions that need none.
func (l *Log) claimQueued(now time.Time) ([]Key, []Action) {
	l.raiseFloor(now)
	var claims []Key
	var out []Action
	size := l.headBytes()
	processed := 0
	for _, k := range l.queue {
		if len(claims) == maxBatch || size > maxHeadBytes {
			break
		}
		processed++
		if answers, needsClaim := l.answerWaiting(now, k); !needsClaim {
			out = append(out, answers...)
			continue
		}
		l.records[k] = &Record{Key: k, State: Running}
		l.headKeys = append(l.headKeys, k)
		claims = append(claims, k)
		size += l.records[k].size()
	}
	l.queue = slices.Clone(l.queue[processed:])
	if processed == 0 {
		l.nextUpdate = now.Add(UpdateInterval) // Running claims fill the head.
	}
	return claims, out
}

// answerWaiting answers the submissions of a key that needs no claim. It returns true if the key
// must be claimed.
func (l *Log) answerWaiting(now time.Time, k Key) ([]Action, bool) {
	waiting := l.waiting[k]
	if len(waiting) == 0 {
		return nil, false
	}
	if r := l.records[k]; l.inFlight[k] || (r != nil && r.State == Running) {
		return nil, false
	}
	var out []Action
	for _, s := range waiting {
		if a, ok := l.answerNow(now, s); ok {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return nil, true
	}
	delete(l.waiting, k)
	return out, false
}

func (l *Log) raiseFloor(now time.Time) {
	l.floor = max(l.floor, now.Add(-Retention).UnixMilli())
}

// dropExpired raises the floor and drops the claims at or below it. It returns the segments without any later
// claim; they are deleted once the head with the higher floor is stored.
func (l *Log) dropExpired(now time.Time) []string {
	l.raiseFloor(now)
	var dropped []string
	l.segments = slices.DeleteFunc(l.segments, func(r SegmentRef) bool {
		expired := r.Newest <= l.floor
		if expired {
			dropped = append(dropped, r.Name)
		}
		return expired
	})
	l.headKeys = slices.DeleteFunc(l.headKeys, func(k Key) bool {
		expired := k.Millis() <= l.floor
		if expired {
			delete(l.records, k)
		}
		return expired
	})
	if len(dropped) > 0 {
		for k := range l.records {
			if k.Millis() <= l.floor {
				delete(l.records, k)
			}
		}
	}
	return dropped
}

// finalClaims returns the claims of the head whose state is final as the content of a new segment, or nil if there
// are none. The batch id is the segment's name.
func (l *Log) finalClaims() *update {
	u := &update{}
	for _, k := range l.headKeys {
		if r := l.records[k]; r.State != Running {
			u.claims = append(u.claims, k)
			u.head.Claims = append(u.head.Claims, *r)
		}
	}
	if len(u.claims) == 0 {
		return nil
	}
	l.batches++
	u.head.Batch = fmt.Sprintf("%s%d", l.segmentPrefix(), l.batches)
	return u
}

func (l *Log) writeSegment() []Action {
	l.call = segmentWrite
	return []Action{{Kind: WriteSegment, Segment: l.compaction.head.Batch, Records: l.compaction.head.Claims}}
}

// OnSegmentWritten handles a segment that is stored. The next update of the head refers to it and leaves out
// its claims.
func (l *Log) OnSegmentWritten(now time.Time) []Action {
	l.call = noCall
	compaction := l.compaction
	l.compaction = nil
	inSegment := make(map[Key]bool, len(compaction.claims))
	ref := SegmentRef{Name: compaction.head.Batch}
	for _, k := range compaction.claims {
		inSegment[k] = true
		ref.Newest = max(ref.Newest, k.Millis())
	}
	l.segments = append(l.segments, ref)
	l.headKeys = slices.DeleteFunc(l.headKeys, func(k Key) bool { return inSegment[k] })
	l.dirtySince = now.Add(-ResultDelay)
	return l.startNextCall(now)
}
