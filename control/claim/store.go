package claim

import (
	"fmt"
	"slices"
	"time"
)

// startNextCall starts the next store call if none is outstanding and one is due.
func (l *Log) startNextCall(now time.Time) []Action {
	if l.call != noCall || now.Before(l.retryAt) {
		return nil
	}
	if !l.chosen && l.owned && l.compaction == nil && l.Idle() {
		l.discardState() // Frees the memory of an hour of records; nothing is left to store.
	}
	switch {
	case l.rereadHead || (!l.owned && l.pending == nil && len(l.queue) > 0):
		l.call = headRead
		return []Action{{Kind: ReadHead}}
	case l.pending != nil:
		l.call = headWrite
		return []Action{{Kind: WriteHead, Head: l.pending.head, Expected: l.pending.expected}}
	case !l.owned || now.Before(l.nextUpdate):
		return nil
	case l.compaction != nil:
		return l.writeSegment()
	case len(l.queue) > 0 || l.resultsDue(now):
		return l.startUpdate(now)
	}
	return nil
}

func (l *Log) resultsDue(now time.Time) bool {
	return !l.dirtySince.IsZero() && !now.Before(l.dirtySince.Add(ResultDelay))
}

// OnReadFailed handles a failed read of the head or of a segment.
func (l *Log) OnReadFailed(now time.Time) []Action {
	l.call = noCall
	l.unreadSegments = nil
	l.retryAt = now.Add(RetryDelay)
	return nil
}

// OnWriteUncertain handles a write without an answer. The write may have taken effect or may do so later.
func (l *Log) OnWriteUncertain(now time.Time) []Action {
	l.rereadHead = l.call == headWrite
	l.call = noCall
	l.retryAt = now.Add(RetryDelay)
	return nil
}

// OnConflict handles a write of the head that met a version conflict. The head is read again to determine its
// writer, because an earlier attempt at the same update may have caused the conflict.
func (l *Log) OnConflict(now time.Time) []Action {
	l.call = noCall
	l.rereadHead = true
	l.conflicted = true
	return l.startNextCall(now)
}

// OnWritten handles a successful write of the head, which now has version v.
func (l *Log) OnWritten(now time.Time, v Version) []Action {
	l.call = noCall
	return l.confirm(now, v)
}

// OnHead handles the result of reading the head. An object that does not exist has version 0.
func (l *Log) OnHead(now time.Time, h Head, v Version) []Action {
	conflicted := l.conflicted
	l.call, l.rereadHead, l.conflicted = noCall, false, false
	switch {
	case l.pending == nil:
		return l.startTakeover(now, h, v)
	case h.Batch == l.pending.head.Batch && v > l.pending.expected:
		return l.confirm(now, v)
	case v > l.pending.expected:
		return l.loseOwnership(now, h, v)
	}
	// The update has not taken effect yet, or the read is stale. Writing it again is safe, because at
	// most one attempt finds the expected version.
	if conflicted {
		l.retryAt = now.Add(RetryDelay)
	}
	return l.startNextCall(now)
}

// confirm completes the pending update, which is stored as version v, and sends the requests of its claims. A claim
// that no submission waits for any more becomes NotRun.
func (l *Log) confirm(now time.Time, v Version) []Action {
	u := l.pending
	l.pending = nil
	l.owned = true
	l.version = v
	var out []Action
	for _, k := range u.claims {
		if len(l.waiting[k]) == 0 {
			l.records[k].State = NotRun
			l.markDirty(now)
			continue
		}
		l.inFlight[k] = true
		out = append(out, Action{Kind: Send, Key: k})
	}
	for _, name := range u.dropped {
		out = append(out, Action{Kind: DeleteSegment, Segment: name})
	}
	return append(out, l.startNextCall(now)...)
}

// loseOwnership handles a head that another writer has changed. The claims of the pending update can no longer take
// effect; they are claimed again after a takeover, or refused if this writer is not chosen.
func (l *Log) loseOwnership(now time.Time, h Head, v Version) []Action {
	out := l.deleteOrphans(h)
	l.queue = slices.Concat(l.pending.claims, l.queue)
	l.pending = nil
	l.discardState()
	if !l.chosen {
		return append(out, l.refuseQueued()...)
	}
	if len(l.queue) == 0 {
		return out
	}
	return append(out, l.startTakeover(now, h, v)...)
}

// deleteOrphans deletes this writer's segments of the pending update that the other writer's head does not retain.
// That head is newer than the pending update, so no later head can refer to them.
func (l *Log) deleteOrphans(h Head) []Action {
	var out []Action
	for _, ref := range l.pending.head.Segments {
		if !l.retains(h, ref.Name) && l.isOwnSegment(ref.Name) {
			out = append(out, Action{Kind: DeleteSegment, Segment: ref.Name})
		}
	}
	return out
}

func (l *Log) retains(h Head, name string) bool {
	return slices.ContainsFunc(h.Segments, func(r SegmentRef) bool { return r.Name == name })
}

func (l *Log) isOwnSegment(name string) bool {
	prefix := l.segmentPrefix()
	return len(name) > len(prefix) && name[:len(prefix)] == prefix
}

func (l *Log) segmentPrefix() string { return l.bucketName + "-" + l.writer + "-" }

// discardState drops the copy of the stored state, and with it the ownership.
func (l *Log) discardState() {
	l.owned = false
	l.version = 0
	l.floor = 0
	l.segments = nil
	l.compaction = nil
	l.headKeys = nil
	l.dirtySince = time.Time{}
	clear(l.records)
}

// startTakeover loads the head and starts a takeover: the segments are read, then a head that names this writer
// is written.
func (l *Log) startTakeover(now time.Time, h Head, v Version) []Action {
	l.discardState()
	l.version = v
	l.floor = h.Floor
	l.segments = slices.Clone(h.Segments)
	for _, r := range h.Claims {
		l.headKeys = append(l.headKeys, r.Key)
		l.addRecord(r)
	}
	l.unreadSegments = nil
	for _, s := range h.Segments {
		l.unreadSegments = append(l.unreadSegments, s.Name)
	}
	return l.continueTakeover(now)
}

// addRecord adds a record that is read in a takeover. A Running record of another writer or an earlier start becomes
// Unknown and stays so, because its request is never sent again. A request that this writer has in flight is Running.
func (l *Log) addRecord(r Record) {
	switch {
	case l.inFlight[r.Key]:
		r.State = Running
	case r.State == Running:
		r.State = Unknown
	}
	l.records[r.Key] = &r
}

func (l *Log) continueTakeover(now time.Time) []Action {
	if len(l.unreadSegments) > 0 {
		l.call = segmentRead
		return []Action{{Kind: ReadSegment, Segment: l.unreadSegments[0]}}
	}
	l.pending = l.newUpdate(now, nil)
	return l.startNextCall(now)
}

// OnSegment handles the segment that was read next in a takeover.
func (l *Log) OnSegment(now time.Time, records []Record) []Action {
	l.call = noCall
	l.unreadSegments = l.unreadSegments[1:]
	for _, r := range records {
		l.addRecord(r)
	}
	return l.continueTakeover(now)
}

// newUpdate returns an update that writes the current records under a new batch id.
func (l *Log) newUpdate(now time.Time, claims []Key) *update {
	l.batches++
	u := &update{expected: l.version, claims: claims}
	u.dropped = l.dropExpired(now)
	u.head = Head{
		Writer: l.writer, Batch: fmt.Sprintf("%s/%d", l.writer, l.batches), Floor: l.floor,
		Segments: slices.Clone(l.segments), Claims: make([]Record, 0, len(l.headKeys)),
	}
	for _, k := range l.headKeys {
		u.head.Claims = append(u.head.Claims, *l.records[k])
	}
	l.dirtySince = time.Time{}
	l.nextUpdate = now.Add(UpdateInterval)
	return u
}
