package claim

// Version is the version of a head object in the store; 0 means that it does not exist.
type Version uint64

// State is the state of a claimed request.
type State uint8

const (
	// Running means that the claim is stored and its writer may have sent the request.
	Running State = iota + 1
	// Done means that the request ran and its result is known.
	Done
	// NotRun means that the request has not run under this key and never will.
	NotRun
	// Unknown means that the request may have run; it is not sent again.
	Unknown
)

var stateNames = [...]string{"", "running", "done", "not_run", "unknown"}

// String returns the name used in counters and messages.
func (s State) String() string { return stateNames[s] }

// Record is the stored claim of one key.
type Record struct {
	Key   Key   `json:"k"`
	State State `json:"s"`
	// Result is set in state Done.
	Result string `json:"r,omitempty"`
	// Omitted is true in state Done if the result is larger than MaxResultBytes and was not stored.
	Omitted bool `json:"o,omitempty"`
}

// recordOverhead is the approximate size of a record's JSON syntax in bytes.
const recordOverhead = 30

func (r Record) size() int { return len(r.Key) + len(r.Result) + recordOverhead }

// SegmentRef refers to a segment object from the head. A segment holds claims that were moved out of the head.
type SegmentRef struct {
	Name string `json:"name"`
	// Newest is the latest key time in the segment, in Unix milliseconds.
	Newest int64 `json:"newest"`
}

// Head is the content of a bucket's head object.
type Head struct {
	// Writer is the id of the writer that may add claims. It differs for each start of an instance.
	Writer string `json:"writer"`
	// Batch is the id of the update that wrote this version. A writer that got no answer to a write
	// identifies its own write by it.
	Batch string `json:"batch"`
	// Floor is a key time in Unix milliseconds. Claims at or below it may have been dropped.
	Floor    int64        `json:"floor"`
	Segments []SegmentRef `json:"segments,omitempty"`
	// Claims are in the order in which they were stored.
	Claims []Record `json:"claims"`
}
