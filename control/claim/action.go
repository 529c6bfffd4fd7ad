package claim

// ActionKind says what the owner of a Log has to do.
type ActionKind uint8

const (
	// ReadHead reads the head object; the result goes to OnHead or OnReadFailed.
	ReadHead ActionKind = iota + 1
	// ReadSegment reads the segment object Segment; the result goes to OnSegment or OnReadFailed.
	ReadSegment
	// WriteHead writes Head if the stored version is Expected; the result goes to OnWritten,
	// OnConflict or OnWriteLost.
	WriteHead
	// WriteSegment creates the segment object Segment with Records; the result goes to
	// OnSegmentWritten, also if the object exists already, or to OnWriteLost.
	WriteSegment
	// DeleteSegment removes the segment object Segment, without a report.
	DeleteSegment
	// Send sends the request of Key to a target, once; the result goes to OnResult.
	Send
	// Reply gives Answer to a submission.
	Reply
)

// Action is one thing to do, in the order returned.
type Action struct {
	Kind     ActionKind
	Expected Version
	Head     Head
	Segment  string
	Records  []Record
	Key      Key
	Answer   Answer
}

// SubmissionID identifies one submission at one Log.
type SubmissionID uint64

// Submission is a caller's request under a key, which may have been submitted before.
type Submission struct {
	ID  SubmissionID
	Key Key
	// First is set if the caller states that it has not submitted the key before.
	First bool
}

// Reason says why a submission was not run or has no certain answer.
type Reason uint8

const (
	// ReasonRecorded means that the answer follows from the recorded claim.
	ReasonRecorded Reason = iota
	// ReasonTarget means that the answer follows from what the target did.
	ReasonTarget
	// ReasonStore means that the claim could not be stored in time.
	ReasonStore
	// ReasonReplaced means that another writer has the bucket.
	ReasonReplaced
	// ReasonExpired means that the key is at or below the floor.
	ReasonExpired
	// ReasonAhead means that the key's time is too far ahead of the writer's clock.
	ReasonAhead
)

var reasonNames = [...]string{"recorded", "target", "store", "replaced", "expired", "ahead"}

// String returns the name used in counters and messages.
func (r Reason) String() string { return reasonNames[r] }

// Answer is what a submission is told.
type Answer struct {
	Submission SubmissionID
	State      State
	Result     string
	Omitted    bool
	// Repeated is set if the result comes from an earlier submission.
	Repeated bool
	Reason   Reason
}

// replyNotSent is the answer to a submission whose request this writer did not and will not send for it.
// Only a first submission is certain not to have run, because an earlier one may have run elsewhere.
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
