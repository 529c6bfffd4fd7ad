package quarantine

import "time"

// Evidence is how certain it is that a target has crashed.
type Evidence uint8

const (
	// NoEvidence means that nothing has shown a crash.
	NoEvidence Evidence = iota
	// Likely means that the target has closed a connection and accepts none since. It may also have become unreachable.
	Likely
	// Proven means that the target refuses connections, has started again, or has left the list without being reachable.
	Proven
)

var evidenceNames = [...]string{"none", "likely", "proven"}

// String returns the name used in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// ConnectResult is the result of a connection check.
type ConnectResult uint8

const (
	// ConnectAccepted means that the address accepts connections, or nothing is known about it.
	ConnectAccepted ConnectResult = iota
	// ConnectRefused means that the address has no listener.
	ConnectRefused
	// ConnectSilent means that a connection attempt was not answered in time.
	ConnectSilent
)

var connectNames = [...]string{"accepted", "refused", "silent"}

// String returns the name used in logs.
func (r ConnectResult) String() string { return connectNames[r] }

// CheckStep is one step of a CrashCheck: a pause, a connection check if Connect is set, and a check of the list.
type CheckStep struct {
	Pause   time.Duration
	Connect bool
}

// connectSteps start a check. A target may close its connections before it stops accepting new ones.
var connectSteps = []CheckStep{{0, true}, {100 * time.Millisecond, true}, {400 * time.Millisecond, true}}

const (
	// listPause is the pause between two checks of the list.
	listPause = 500 * time.Millisecond
	// listSpan is the time for which the list is watched for a target that accepts connections. It may have started again,
	// and registers within seconds.
	listSpan = 8500 * time.Millisecond
	// connectAgain is the number of checks of the list between two connection checks of a target that hangs: it accepts connections
	// until it starts anew, perhaps elsewhere.
	connectAgain = 4
	// silentListSpan is the time for which the list is watched for a target that is silent. An entry lapses three heartbeats
	// after the last one, and the list lags by seconds.
	silentListSpan = 15 * time.Second
)

// CrashCheck decides whether a target has crashed that closed a connection in the middle of a request, or left a request
// unanswered. One that did the latter may hang, accept connections and leave the list before it starts anew. CrashCheck is not
// safe for concurrent use.
type CrashCheck struct {
	closed     bool // the target closed a connection
	evidence   Evidence
	results    []ConnectResult
	listChecks int // steps after connectSteps that Next has returned
}

// NewCrashCheck returns a check of a target. closed is set if the target closed a connection in the middle of a request.
func NewCrashCheck(closed bool) *CrashCheck { return &CrashCheck{closed: closed} }

// Next returns the next step, or false if the check has ended.
func (c *CrashCheck) Next() (CheckStep, bool) {
	switch {
	case c.evidence == Proven:
		return CheckStep{}, false
	case c.listChecks == 0 && len(c.results) < len(connectSteps):
		return connectSteps[len(c.results)], true
	}
	c.listChecks++
	span := listSpan
	if c.silent() || !c.closed {
		span = silentListSpan
	}
	connect := !c.closed && c.listChecks%connectAgain == 0
	return CheckStep{Pause: listPause, Connect: connect}, c.listChecks <= int(span/listPause)
}

// silent reports whether the target did not answer the last connection check.
func (c *CrashCheck) silent() bool {
	return len(c.results) > 0 && c.results[len(c.results)-1] == ConnectSilent
}

// OnConnect handles the result of a connection check.
func (c *CrashCheck) OnConnect(r ConnectResult) {
	c.results = append(c.results, r)
	switch {
	case r == ConnectRefused:
		c.evidence = Proven
	case c.closed && c.silent() && len(c.results) == len(connectSteps):
		c.evidence = max(c.evidence, Likely)
	}
}

// OnRestarted handles a list that has a later start of the target, or another target at its address.
func (c *CrashCheck) OnRestarted() { c.evidence = Proven }

// OnRemoved handles a list that lacks the target. A target that is leaving is removed too, and serves for some time after
// that; it accepts connections.
func (c *CrashCheck) OnRemoved() {
	if c.silent() {
		c.evidence = Proven
	}
}

// Evidence returns the evidence so far.
func (c *CrashCheck) Evidence() Evidence { return c.evidence }

// Connects returns the results of the connection checks.
func (c *CrashCheck) Connects() []ConnectResult { return c.results }
