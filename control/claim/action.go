package claim

// ActionKind is the kind of an Action, which the caller of a Log performs.
type ActionKind uint8

const (
	// ReadHead reads the head object; the result goes to OnHead or OnReadFailed.
	ReadHead ActionKind = iota + 1
	// ReadSegment reads the segment object Segment; the result goes to OnSegment or OnReadFailed.
	ReadSegment
	// WriteHead writes Head if the stored version is Expected; the result goes to OnWritten,
	// OnConflict or OnWriteUncertain.
	WriteHead
	// WriteSegment creates the segment object Segment with Records; the result goes to
	// OnSegmentWritten, also if the object exists already, or to OnWriteUncertain.
	WriteSegment
	// DeleteSegment deletes the segment object Segment; its result is not reported to the Log.
	DeleteSegment
	// Send sends the request of Key to a target, without a retry; the result goes to OnResult.
	Send
	// Reply answers the submission Answer.Submission with Answer.
	Reply
)

// Action is an operation that the caller of a Log performs. Actions are performed in the order returned.
type Action struct {
	Kind     ActionKind
	Expected Version
	Head     Head
	Segment  string
	Records  []Record
	Key      Key
	Answer   Answer
}

// SubmissionID identifies a submission within one Log.
type SubmissionID uint64

// Submission is one call that submits the request of a key. The same key may have been submitted before.
type Submission struct {
	ID  SubmissionID
	Key Key
	// First is true if the caller states that it has not submitted the key before.
	First bool
}

// Reason is the source of an answer, or the cause of a refusal or of an unknown outcome.
type Reason uint8

const (
	// ReasonRecorded means that the answer comes from the stored record of the claim.
	ReasonRecorded Reason = iota
	// ReasonTarget means that the answer comes from the attempt at the target.
	ReasonTarget
	// ReasonStore means that the claim could not be stored in time.
	ReasonStore
	// ReasonReplaced means that another writer owns or should own the bucket.
	ReasonReplaced
	// ReasonExpired means that the key's time is at or below the floor.
	ReasonExpired
	// ReasonAhead means that the key's time is more than MaxAhead ahead of the writer's clock.
	ReasonAhead
)

var reasonNames = [...]string{"recorded", "target", "store", "replaced", "expired", "ahead"}

// String returns the name used in counters and messages.
func (r Reason) String() string { return reasonNames[r] }

// Answer is the response to a submission.
type Answer struct {
	Submission SubmissionID
	State      State
	Result     string
	Omitted    bool
	// Repeated is true if the result comes from an earlier submission.
	Repeated bool
	Reason   Reason
}

// replyNotSent answers a submission for which this writer neither sent the request nor will send it. The state is
// NotRun only for a first submission; for a resend it is Unknown, because an earlier submission may have run elsewhere.
func replyNotSent(s Submission, reason Reason) Action {
	state := Unknown
	if s.First {
		state = NotRun
	}
	return Action{Kind: Reply, Answer: Answer{Submission: s.ID, State: state, Reason: reason}}
}

func replyFromRecord(s Submission, r Record, repeated bool, reason Reason) Action {
	return Action{Kind: Reply, Answer: Answer{
		Submission: s.ID, State: r.State, Result: r.Result, Omitted: r.Omitted, Repeated: repeated, Reason: reason,
	}}
}
