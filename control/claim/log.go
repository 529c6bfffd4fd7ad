package claim

import (
	"slices"
	"strconv"
	"time"
)

const (
	// UpdateInterval is the minimum time between two updates of a head. With 16 buckets it limits
	// the fleet to 300 store writes per second.
	UpdateInterval = Buckets * time.Second / 300
	// ResultDelay is the maximum delay of a result that waits to be written in the same update as new claims.
	ResultDelay = time.Second
	// RetryDelay is the delay before a store call is retried.
	RetryDelay = 100 * time.Millisecond
	// MaxResultBytes is the maximum size of a result that is stored for resends.
	MaxResultBytes = 4 << 10
	// maxBatch is the maximum number of new claims in one update.
	maxBatch = 512
	// compactBytes is the size of the head's claims above which final ones are moved to a segment.
	compactBytes = 64 << 10
	// maxHeadBytes is the size of the head's claims above which no claim is added. It reserves space for
	// the results of running claims, since an object is limited to 1 MB.
	maxHeadBytes = 256 << 10
)

// call is the kind of the outstanding store call of a Log. At most one call is outstanding.
type call uint8

const (
	noCall call = iota
	headRead
	segmentRead
	headWrite
	segmentWrite
)

// update is a change of the head. Its write is retried until it is confirmed or another writer has
// replaced this one.
type update struct {
	head     Head
	expected Version
	claims   []Key    // new claims in the head
	dropped  []string // segments that the head no longer retains
}

// Log is the log of claims of one bucket at one writer. It does no I/O: its methods return the actions that
// the caller performs, and the caller reports their results. It is not safe for concurrent use.
type Log struct {
	// compactBytes is the constant of the same name, except in tests.
	compactBytes int

	bucketName string // part of the names of segments
	writer     string
	chosen     bool

	call       call
	pending    *update // update that is neither confirmed nor superseded, or nil
	rereadHead bool    // the head must be read before any other store call
	conflicted bool    // the latest write of the pending update met a conflict
	retryAt    time.Time

	owned          bool
	version        Version
	floor          int64
	segments       []SegmentRef
	unreadSegments []string // segments that the takeover has yet to read
	headKeys       []Key    // keys of the records in the head, oldest first
	records        map[Key]*Record
	compaction     *update // claims that are being moved to a segment, or nil

	queue    []Key                // keys that wait to be claimed
	waiting  map[Key][]Submission // submissions without an answer
	inFlight map[Key]bool         // keys whose request was sent and has no result yet

	dirtySince time.Time // since when results wait for an update, zero if none do
	nextUpdate time.Time
	batches    uint64 // number of batch ids that were assigned
}

// New returns the log of a bucket at the given writer. The writer id must differ for each start of an instance.
func New(bucket int, writer string) *Log {
	return &Log{
		compactBytes: compactBytes, bucketName: strconv.Itoa(bucket), writer: writer,
		records: map[Key]*Record{}, waiting: map[Key][]Submission{}, inFlight: map[Key]bool{},
	}
}

// Owned reports whether the head named this writer when the store last answered.
func (l *Log) Owned() bool { return l.owned }

// InFlight reports whether the request of a key was sent to a target and has no result yet.
func (l *Log) InFlight(key Key) bool { return l.inFlight[key] }

// Idle reports whether no request is in flight, no submission waits, and every result is stored or can no
// longer be stored because another writer owns the bucket.
func (l *Log) Idle() bool {
	return len(l.inFlight) == 0 && len(l.waiting) == 0 && (!l.owned || (l.dirtySince.IsZero() && l.pending == nil))
}

// SetChosen sets whether this writer should write the bucket. A writer that is not chosen adds no claims,
// but records results until another writer has taken over.
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

// refuseQueued refuses the queued submissions whose keys await no outcome.
func (l *Log) refuseQueued() []Action {
	var out []Action
	for _, k := range l.queue {
		if l.awaitsOutcome(k) {
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

// awaitsOutcome reports whether the request of a key is in flight or its claim is part of the pending update. Its
// submissions are answered when the outcome is known.
func (l *Log) awaitsOutcome(k Key) bool {
	return l.inFlight[k] || (l.pending != nil && slices.Contains(l.pending.claims, k))
}

// Submit handles a submission. Its answer is a Reply action of this or a later call.
func (l *Log) Submit(now time.Time, s Submission) []Action {
	if a, ok := l.answerNow(now, s); ok {
		return []Action{a}
	}
	if !l.chosen && !l.awaitsOutcome(s.Key) {
		return []Action{replyNotSent(s, ReasonReplaced)}
	}
	if len(l.waiting[s.Key]) == 0 && !l.inFlight[s.Key] {
		l.queue = append(l.queue, s.Key)
	}
	l.waiting[s.Key] = append(l.waiting[s.Key], s)
	return l.startNextCall(now)
}

// answerNow returns the answer to a submission that can be answered without a claim. It uses the records, which are
// valid only while the bucket is owned. A final state remains valid even if another writer has taken over since
// without this one having noticed.
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

// checkKeyTime refuses a key whose time is at or below the floor or too far ahead of the clock. The second result
// is true if the key is refused.
func (l *Log) checkKeyTime(now time.Time, s Submission) (Action, bool) {
	switch millis := s.Key.Millis(); {
	case millis <= l.floor:
		return Action{Kind: Reply, Answer: Answer{Submission: s.ID, State: Unknown, Reason: ReasonExpired}}, true
	case millis > now.Add(MaxAhead).UnixMilli():
		return replyNotSent(s, ReasonAhead), true
	}
	return Action{}, false
}

// Abandon ends the wait of a submission that has timed out. The request of a claim that no submission waits for
// is not sent, even if the claim is stored.
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

// OnResult handles the outcome of a sent request: Done, NotRun or Unknown.
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

// Flush makes results due at once instead of after ResultDelay.
func (l *Log) Flush(now time.Time) []Action {
	if !l.dirtySince.IsZero() {
		l.dirtySince = now.Add(-ResultDelay)
	}
	return l.startNextCall(now)
}

// OnWake must be called at the time that NextWake returns.
func (l *Log) OnWake(now time.Time) []Action { return l.startNextCall(now) }

// NextWake returns the time at which OnWake is due, or the zero time if no timer is needed.
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
