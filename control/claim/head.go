package claim

// Version is the version of a head object in the store; 0 means that it does not exist.
type Version uint64

// State is what is known about a claimed request.
type State uint8

const (
	// Running means that the claim is stored and its writer may have sent the request.
	Running State = iota + 1
	// Done means that the request ran and its result is known.
	Done
	// NotRun means that the request was never run under this key and never will be.
	NotRun
	// Unknown means that the request may have run and nobody will send it again.
	Unknown
)

var stateNames = [...]string{"", "running", "done", "not_run", "unknown"}

// String returns the name used in counters and messages.
func (s State) String() string { return stateNames[s] }

// Record is the claim of one key.
type Record struct {
	Key   Key   `json:"k"`
	State State `json:"s"`
	// Result is set in state Done.
	Result string `json:"r,omitempty"`
	// Omitted is set in state Done if the result was too large to keep.
	Omitted bool `json:"o,omitempty"`
}

// recordOverhead is the size in bytes of the JSON syntax of a record.
const recordOverhead = 30

func (r Record) size() int { return len(r.Key) + len(r.Result) + recordOverhead }

// SegmentRef names a segment object that the head retains.
type SegmentRef struct {
	Name string `json:"name"`
	// Newest is the highest key time in the segment, in Unix milliseconds.
	Newest int64 `json:"newest"`
}

// Head is the data of a bucket's head object.
type Head struct {
	// Writer is the id of the writer that may add claims. It differs for each start of an instance.
	Writer string `json:"writer"`
	// Batch is the id of the update that wrote this version. A writer whose write answer was lost
	// recognises its own write by it.
	Batch string `json:"batch"`
	// Floor is the key time in Unix milliseconds at or below which claims may have been dropped.
	Floor    int64        `json:"floor"`
	Segments []SegmentRef `json:"segments,omitempty"`
	// Claims are in the order in which they were stored.
	Claims []Record `json:"claims"`
}
