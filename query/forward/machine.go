package forward

import "time"

const (
	// takeMargin is the time, beyond two round trips, within which a relay takes a request: one round trip to open a
	// connection, one for the request, and the scheduling delays of two loaded instances.
	takeMargin = 120 * time.Millisecond
	// maxRelays is the maximum number of relays to which one request is sent.
	maxRelays = 3
	// maxStarted is the maximum number of relays that may have begun to run one request.
	maxStarted = 2
	// minTimeLeft is the time that must be left to send a request once more: a round trip to a relay in another
	// region and the service time of its targets.
	minTimeLeft = 50 * time.Millisecond
)

// Outcome is what is known about a request at a relay.
type Outcome uint8

const (
	// Answered means that the relay returned the final response of the request: an answer or a failure.
	Answered Outcome = iota
	// Refused means that the relay ran nothing, and that other relays are expected to refuse the request too.
	Refused
	// Unavailable means that the relay ran nothing, because it could not be reached or is starting or leaving.
	Unavailable
	// Lost means that the relay may have run the request and will not answer.
	Lost
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send means that the request is to be sent to the relay.
	Send ActionKind = iota
	// RunHere means that the instance is to run the request itself. No relay will answer it.
	RunHere
	// Finish means that the response of the relay is the response to the caller.
	Finish
	// Fail means that no relay answered, and that the request may have run.
	Fail
)

// Action is one step that the machine asks for.
type Action struct {
	Kind  ActionKind
	Relay Relay
	// SpentAttempts is the number of attempts at each shard that other relays may have made, for Send and RunHere.
	SpentAttempts int
}

// Budget grants attempts beyond the first one.
type Budget interface {
	// TryTake reports whether another attempt is within the budget, and counts it.
	TryTake(now time.Time) bool
}

// Machine forwards one request. It is not safe for concurrent use.
//
// It is designed for the loss of a relay under load. A relay confirms at once that it has taken a request; one that does
// not is silent, and later requests avoid it. A request goes to the next relay only once the first one certainly did not
// run it.
//
// A request may reach a limited number of targets of each shard, whichever relays send it. Therefore neither silence nor
// a lost connection moves a request: the relay may have made all its attempts. The caller is told at once that the
// request failed, and may submit it again.
type Machine struct {
	cfg      Config
	attempts []attempt
	tried    map[string]bool
	// mayHaveRun is set once an attempt has ended without proof that it did not run.
	mayHaveRun bool
	finished   bool
}

// Config holds the parameters of a Machine.
type Config struct {
	Chooser *Chooser
	Budget  Budget
	// Random returns numbers from 0 to 1.
	Random func() float64
	// Deadline is when the request ends.
	Deadline time.Time
}

type attempt struct {
	relay Relay
	sent  time.Time
	// taken is set once the relay has confirmed that it has the request.
	taken bool
	// overdue is set once the relay is known to be silent.
	overdue bool
	ended   bool
	// notRun is set if the relay certainly ran nothing.
	notRun bool
}

// New returns a machine that has sent nothing.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, tried: map[string]bool{}} }

// Start sends the request to the first relay.
func (m *Machine) Start(now time.Time) []Action { return m.next(now, false) }

// OnTaken handles the confirmation that a relay has taken the request.
func (m *Machine) OnTaken(id string) {
	m.cfg.Chooser.OnTaken(id)
	if a := m.find(id); a != nil {
		a.taken, a.overdue = true, false
	}
}

// OnOutcome handles the end of an attempt.
func (m *Machine) OnOutcome(now time.Time, id string, o Outcome) []Action {
	a := m.find(id)
	if m.finished || a == nil || a.ended {
		return nil
	}
	a.ended, a.notRun = true, o == Refused || o == Unavailable
	switch o {
	case Answered:
		return m.finish(Action{Kind: Finish, Relay: a.relay})
	case Refused:
		if !m.mayHaveRun && !m.inFlight() {
			return m.finish(Action{Kind: Finish, Relay: a.relay})
		}
	case Lost:
		m.mayHaveRun = true
		m.cfg.Chooser.OnSilent(now, id)
	case Unavailable:
		m.cfg.Chooser.OnSilent(now, id)
	}
	if o == Refused || o == Lost {
		return m.giveUp()
	}
	return m.next(now, o != Unavailable || m.mayHaveRun)
}

// NextWake returns when OnWake is due.
func (m *Machine) NextWake() time.Time {
	next := m.cfg.Deadline
	for _, a := range m.attempts {
		if at := m.overdueAt(a); !a.ended && !a.overdue && at.Before(next) {
			next = at
		}
	}
	return next
}

// OnWake must be called at NextWake or later. It notes which relay is silent, and ends the request at its deadline.
func (m *Machine) OnWake(now time.Time) []Action {
	if m.finished {
		return nil
	}
	if !now.Before(m.cfg.Deadline) {
		m.mayHaveRun = m.mayHaveRun || m.inFlight()
		return m.finish(Action{Kind: Fail})
	}
	for i := range m.attempts {
		if a := &m.attempts[i]; !a.ended && !a.overdue && !now.Before(m.overdueAt(*a)) {
			a.overdue = true
			m.cfg.Chooser.OnSilent(now, a.relay.ID)
		}
	}
	return nil
}

// overdueAt returns the time from which a relay that has not taken the request is silent.
func (m *Machine) overdueAt(a attempt) time.Time {
	if a.taken {
		return m.cfg.Deadline
	}
	return a.sent.Add(2*a.relay.Distance.RoundTrip() + takeMargin)
}

// next sends the request to another relay, or runs it here if there is none. extra is set if targets may have received
// the request already, so that another attempt costs budget.
func (m *Machine) next(now time.Time, extra bool) []Action {
	started := m.started()
	if extra && (m.cfg.Deadline.Sub(now) < minTimeLeft || started >= maxStarted || !m.cfg.Budget.TryTake(now)) {
		return m.giveUp()
	}
	relay, ok := m.cfg.Chooser.Choose(now, m.tried, m.cfg.Random())
	if !ok || len(m.attempts) >= maxRelays {
		if m.inFlight() {
			return nil
		}
		return m.finish(Action{Kind: RunHere, SpentAttempts: started})
	}
	m.tried[relay.ID] = true
	m.attempts = append(m.attempts, attempt{relay: relay, sent: now})
	return []Action{{Kind: Send, Relay: relay, SpentAttempts: started}}
}

// started returns the number of relays that may have begun to run the request. Each is taken to have made one attempt at
// each shard.
func (m *Machine) started() int {
	n := 0
	for _, a := range m.attempts {
		if !a.notRun {
			n++
		}
	}
	return n
}

// giveUp ends the request unless an attempt may still answer.
func (m *Machine) giveUp() []Action {
	if m.inFlight() {
		return nil
	}
	return m.finish(Action{Kind: Fail})
}

func (m *Machine) finish(a Action) []Action {
	m.finished = true
	return []Action{a}
}

func (m *Machine) find(id string) *attempt {
	for i := range m.attempts {
		if m.attempts[i].relay.ID == id {
			return &m.attempts[i]
		}
	}
	return nil
}

// inFlight reports whether an attempt has not ended.
func (m *Machine) inFlight() bool {
	for _, a := range m.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

// Abandon ends the request without an answer. An attempt in flight may have run it.
func (m *Machine) Abandon() {
	m.mayHaveRun = m.mayHaveRun || m.inFlight()
	m.finished = true
}

// MayHaveRun reports whether targets may have run the request. It must be called after Fail or Abandon.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }
