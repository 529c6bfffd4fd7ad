package claim

import (
	"fmt"
	"slices"
	"time"
)

// step starts the next store call if none is outstanding and one is due.
func (l *Log) step(now time.Time) []Action {
	if l.call != noCall || now.Before(l.retryAt) {
		return nil
	}
	if !l.chosen && l.owned && l.moved == nil && l.Idle() {
		l.forget() // Nothing is left to record, and the records of an hour need memory.
	}
	switch {
	case l.recheck || (!l.owned && l.pending == nil && len(l.queue) > 0):
		l.call = headRead
		return []Action{{Kind: ReadHead}}
	case l.pending != nil:
		l.call = headWrite
		return []Action{{Kind: WriteHead, Head: l.pending.head, Expected: l.pending.expected}}
	case !l.owned || now.Before(l.nextUpdate):
		return nil
	case l.moved != nil:
		return l.writeSegment()
	case len(l.queue) > 0 || l.resultsDue(now):
		return l.update(now)
	}
	return nil
}

func (l *Log) resultsDue(now time.Time) bool {
	return !l.dirtySince.IsZero() && !now.Before(l.dirtySince.Add(ResultDelay))
}

// OnReadFailed takes the failure of a read.
func (l *Log) OnReadFailed(now time.Time) []Action {
	l.call = noCall
	l.unread = nil
	l.retryAt = now.Add(RetryDelay)
	return nil
}

// OnWriteUncertain takes a write without an answer, which may have taken effect or may still do so.
func (l *Log) OnWriteUncertain(now time.Time) []Action {
	l.recheck = l.call == headWrite
	l.call = noCall
	l.retryAt = now.Add(RetryDelay)
	return nil
}

// OnConflict takes a refused write of the head. The head is read to learn who wrote it, since it
// may have been an earlier attempt at the same update.
func (l *Log) OnConflict(now time.Time) []Action {
	l.call = noCall
	l.recheck = true
	l.refused = true
	return l.step(now)
}

// OnWritten takes a write of the head that took effect.
func (l *Log) OnWritten(now time.Time, v Version) []Action {
	l.call = noCall
	return l.confirm(now, v)
}

// OnHead takes the head as read. An object that does not exist has version 0.
func (l *Log) OnHead(now time.Time, h Head, v Version) []Action {
	refused := l.refused
	l.call, l.recheck, l.refused = noCall, false, false
	switch {
	case l.pending == nil:
		return l.load(now, h, v)
	case h.Batch == l.pending.head.Batch && v > l.pending.expected:
		return l.confirm(now, v)
	case v > l.pending.expected:
		return l.replaced(now, h, v)
	}
	// The update has not taken effect yet, or the read is stale. Writing it again is harmless: at
	// most one attempt finds the expected version.
	if refused {
		l.retryAt = now.Add(RetryDelay)
	}
	return l.step(now)
}

// confirm makes the pending update the state of the bucket and sends its claims.
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
		l.sent[k] = true
		out = append(out, Action{Kind: Send, Key: k})
	}
	for _, name := range u.dropped {
		out = append(out, Action{Kind: DeleteSegment, Segment: name})
	}
	return append(out, l.step(now)...)
}

// replaced ends the ownership of the bucket. Claims of the pending update can no longer take
// effect; they are claimed again by a takeover, or refused if this writer is not chosen.
func (l *Log) replaced(now time.Time, h Head, v Version) []Action {
	out := l.orphans(h)
	l.queue = slices.Concat(l.pending.claims, l.queue)
	l.pending = nil
	l.forget()
	if !l.chosen {
		return append(out, l.refuseQueued()...)
	}
	if len(l.queue) == 0 {
		return out
	}
	return append(out, l.load(now, h, v)...)
}

// orphans deletes segments of the pending update that the head of another writer does not retain.
// The other writer's head is newer, so it cannot come to retain them.
func (l *Log) orphans(h Head) []Action {
	var out []Action
	for _, ref := range l.pending.head.Segments {
		if !l.retains(h, ref.Name) && l.wrote(ref.Name) {
			out = append(out, Action{Kind: DeleteSegment, Segment: ref.Name})
		}
	}
	return out
}

func (l *Log) retains(h Head, name string) bool {
	return slices.ContainsFunc(h.Segments, func(r SegmentRef) bool { return r.Name == name })
}

func (l *Log) wrote(name string) bool {
	prefix := l.segmentPrefix()
	return len(name) > len(prefix) && name[:len(prefix)] == prefix
}

func (l *Log) segmentPrefix() string { return l.name + "-" + l.writer + "-" }

// forget drops what was read from the store.
func (l *Log) forget() {
	l.owned = false
	l.version = 0
	l.floor = 0
	l.segments = nil
	l.moved = nil
	l.order = nil
	l.dirtySince = time.Time{}
	clear(l.records)
}

// load begins a takeover with the head as read.
func (l *Log) load(now time.Time, h Head, v Version) []Action {
	l.forget()
	l.version = v
	l.floor = h.Floor
	l.segments = slices.Clone(h.Segments)
	for _, r := range h.Claims {
		l.order = append(l.order, r.Key)
		l.add(r)
	}
	l.unread = nil
	for _, s := range h.Segments {
		l.unread = append(l.unread, s.Name)
	}
	return l.loadNext(now)
}

// add takes a record that another start or writer stored. What it left running stays unknown for
// ever, because nobody else sends it. Its own requests in flight are still running.
func (l *Log) add(r Record) {
	switch {
	case l.sent[r.Key]:
		r.State = Running
	case r.State == Running:
		r.State = Unknown
	}
	l.records[r.Key] = &r
}

func (l *Log) loadNext(now time.Time) []Action {
	if len(l.unread) > 0 {
		l.call = segmentRead
		return []Action{{Kind: ReadSegment, Segment: l.unread[0]}}
	}
	l.pending = l.propose(now, nil)
	return l.step(now)
}

// OnSegment takes the next segment of a takeover.
func (l *Log) OnSegment(now time.Time, records []Record) []Action {
	l.call = noCall
	l.unread = l.unread[1:]
	for _, r := range records {
		l.add(r)
	}
	return l.loadNext(now)
}

// propose builds an update from the records, with a new batch id.
func (l *Log) propose(now time.Time, claims []Key) *update {
	l.batches++
	u := &update{expected: l.version, claims: claims}
	u.dropped = l.raiseFloor(now)
	u.head = Head{
		Writer: l.writer, Batch: fmt.Sprintf("%s/%d", l.writer, l.batches), Floor: l.floor,
		Segments: slices.Clone(l.segments), Claims: make([]Record, 0, len(l.order)),
	}
	for _, k := range l.order {
		u.head.Claims = append(u.head.Claims, *l.records[k])
	}
	l.dirtySince = time.Time{}
	l.nextUpdate = now.Add(UpdateInterval)
	return u
}
