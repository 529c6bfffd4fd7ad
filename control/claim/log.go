package claim

import (
	"slices"
	"strconv"
	"time"
)

const (
	// UpdateInterval is the least time between two updates of a head. With 16 buckets it keeps
	// the fleet within 300 store writes a second.
	UpdateInterval = Buckets * time.Second / 300
	// ResultDelay is the longest time that a result waits for claims to share its update.
	ResultDelay = time.Second
	// RetryDelay is the time between two attempts at a store that does not answer.
	RetryDelay = 100 * time.Millisecond
	// MaxResultBytes is the largest result that is kept for resends.
	MaxResultBytes = 4 << 10
	// maxBatch bounds the claims of one update.
	maxBatch = 512
	// compactBytes is the size of the head's claims above which older ones move to a segment.
	compactBytes = 64 << 10
	// maxHeadBytes is the size of the head's claims above which no claim is added. Objects hold
	// 1 MB, and each claim may still get a result.
	maxHeadBytes = 256 << 10
)

// call is a store call whose result a Log waits for. There is at most one at a time.
type call uint8

const (
	noCall call = iota
	headRead
	segmentRead
	headWrite
	segmentWrite
)

// update is a change of the head that is written until its fate is known.
type update struct {
	head     Head
	expected Version
	claims   []Key    // new claims in the head
	dropped  []string // segments that the head no longer retains
}

// Log is the log of claims of one bucket at one writer. It is not safe for concurrent use.
type Log struct {
	// compactBytes is the size of the claims above which older ones move to a segment.
	compactBytes int

	bucketName string // bucket, part of the names of segments
	writer     string
	chosen     bool

	call       call
	pending    *update // nil if no update awaits its fate
	rereadHead bool    // the head must be read before anything else
	conflicted bool    // the pending update met a conflict
	retryAt    time.Time

	owned          bool
	version        Version
	floor          int64
	segments       []SegmentRef
	unreadSegments []string // segments still to be read for a takeover
	headKeys       []Key    // keys of the records in the head, oldest first
	records        map[Key]*Record
	compaction     *update // claims of a segment that is being written, nil if none

	queue    []Key                // keys to claim
	waiting  map[Key][]Submission // submissions without an answer
	inFlight map[Key]bool         // keys sent to a target whose result is not known

	dirtySince time.Time // zero if every result is in the last update
	nextUpdate time.Time
	batches    uint64
}

// New returns the log of a bucket for a writer, whose id must differ for each start of an instance.
func New(bucket int, writer string) *Log {
	return &Log{
		compactBytes: compactBytes, bucketName: strconv.Itoa(bucket), writer: writer,
		records: map[Key]*Record{}, waiting: map[Key][]Submission{}, inFlight: map[Key]bool{},
	}
}

// Owned reports whether the head named this writer at the last contact with the store.
func (l *Log) Owned() bool { return l.owned }

// InFlight reports whether the request of a key is at a target.
func (l *Log) InFlight(key Key) bool { return l.inFlight[key] }

// Idle reports whether no request is in flight and all results are stored or cannot be.
func (l *Log) Idle() bool {
	return len(l.inFlight) == 0 && len(l.waiting) == 0 && (!l.owned || (l.dirtySince.IsZero() && l.pending == nil))
}

// SetChosen says whether this writer is the one that should write the bucket. A writer that is not
// chosen adds no claims, but still records results until another writer has taken over.
func (l *Log) SetChosen(now time.Time, chosen bool) []Action {
	l.chosen = chosen
	out := l.refuseQueuedUnlessChosen()
	return append(out, l.startNextCall(now)...)
}

func (l *Log) refuseQueuedUnlessChosen() []Action {
	if l.chosen {
		return nil
	}
	return l.refuseQueued()
}

// refuseQueued answers the submissions that are not part of a pending update or sent.
func (l *Log) refuseQueued() []Action {
	var out []Action
	for _, k := range l.queue {
		if l.isUnderway(k) {
			continue
		}
		for _, s := range l.waiting[k] {
			out = append(out, replyNotSent(s, ReasonReplaced))
		}
		delete(l.waiting, k)
	}
	l.queue = nil
	return out
}

// isUnderway reports whether a key is in a pending update or sent, so that its submissions will be
// answered from what becomes of it.
func (l *Log) isUnderway(k Key) bool {
	return l.inFlight[k] || (l.pending != nil && slices.Contains(l.pending.claims, k))
}

// Submit asks to run a request. The submission is answered by a Reply of this or a later call.
func (l *Log) Submit(now time.Time, s Submission) []Action {
	if a, ok := l.answerNow(now, s); ok {
		return []Action{a}
	}
	if !l.chosen && !l.isUnderway(s.Key) {
		return []Action{replyNotSent(s, ReasonReplaced)}
	}
	if len(l.waiting[s.Key]) == 0 && !l.inFlight[s.Key] {
		l.queue = append(l.queue, s.Key)
	}
	l.waiting[s.Key] = append(l.waiting[s.Key], s)
	return l.startNextCall(now)
}

// answerNow answers from the records, which are certain only while the bucket is owned: the final
// state of a stored claim stays true even if the writer has been replaced without knowing.
func (l *Log) answerNow(now time.Time, s Submission) (Action, bool) {
	if !l.owned {
		return Action{}, false
	}
	if r := l.records[s.Key]; r != nil {
		return replyFromRecord(s, *r, true, ReasonRecorded), r.State != Running
	}
	if l.inFlight[s.Key] {
		return Action{}, false
	}
	return l.checkKeyTime(now, s)
}

// checkKeyTime refuses keys that are too old or too far ahead.
func (l *Log) checkKeyTime(now time.Time, s Submission) (Action, bool) {
	switch millis := s.Key.Millis(); {
	case millis <= l.floor:
		return Action{Kind: Reply, Answer: Answer{Submission: s.ID, State: Unknown, Reason: ReasonExpired}}, true
	case millis > now.Add(MaxAhead).UnixMilli():
		return replyNotSent(s, ReasonAhead), true
	}
	return Action{}, false
}

// Abandon ends the wait of a submission whose time is up. A claim that nobody waits for any more
// is not sent, even if it turns out to be stored.
func (l *Log) Abandon(_ time.Time, key Key, id SubmissionID) []Action {
	i := slices.IndexFunc(l.waiting[key], func(s Submission) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := l.waiting[key][i]
	l.waiting[key] = slices.Delete(l.waiting[key], i, i+1)
	if len(l.waiting[key]) == 0 {
		delete(l.waiting, key)
	}
	if len(l.waiting[key]) == 0 {
		l.queue = slices.DeleteFunc(l.queue, func(k Key) bool { return k == key })
	}
	if l.inFlight[key] {
		return []Action{{Kind: Reply, Answer: Answer{Submission: id, State: Running, Reason: ReasonTarget}}}
	}
	return []Action{replyNotSent(s, ReasonStore)}
}

// OnResult takes what became of a sent request: Done, NotRun or Unknown.
func (l *Log) OnResult(now time.Time, key Key, state State, result string) []Action {
	if !l.inFlight[key] {
		return nil
	}
	delete(l.inFlight, key)
	r := Record{Key: key, State: state, Result: result}
	var out []Action
	for _, s := range l.waiting[key] {
		out = append(out, replyFromRecord(s, r, false, ReasonTarget))
	}
	delete(l.waiting, key)
	if len(result) > MaxResultBytes {
		r.Result, r.Omitted = "", true
	}
	if stored := l.records[key]; stored != nil {
		*stored = r
		l.markDirty(now)
	}
	return append(out, l.startNextCall(now)...)
}

func (l *Log) markDirty(now time.Time) {
	if l.dirtySince.IsZero() {
		l.dirtySince = now
	}
}

// Flush makes results wait no longer for claims to share their update.
func (l *Log) Flush(now time.Time) []Action {
	if !l.dirtySince.IsZero() {
		l.dirtySince = now.Add(-ResultDelay)
	}
	return l.startNextCall(now)
}

// OnWake takes the passing of the time that NextWake returned.
func (l *Log) OnWake(now time.Time) []Action { return l.startNextCall(now) }

// NextWake returns when OnWake is due, the zero time if nothing waits for a time.
func (l *Log) NextWake() time.Time {
	switch {
	case l.call != noCall:
		return time.Time{}
	case l.pending != nil || l.rereadHead || l.compaction != nil || (!l.owned && len(l.queue) > 0):
		return l.retryAt
	case len(l.queue) > 0:
		return maxTime(l.nextUpdate, l.retryAt)
	case l.owned && !l.dirtySince.IsZero():
		return maxTime(maxTime(l.nextUpdate, l.retryAt), l.dirtySince.Add(ResultDelay))
	}
	return time.Time{}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
