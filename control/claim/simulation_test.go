package claim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed default seed, so that every run of the tests has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

var startTime = time.UnixMilli(1_800_000_000_000)

// simulation models a store, a target and several writers of one bucket. Calls and results take effect in an
// arbitrary order.
type simulation struct {
	t       *rapid.T
	now     time.Time
	writers []*writer
	starts  int

	history    []headVersion // versions of the head, the current one last
	segments   map[string][]Record
	lateWrites []Action // unanswered writes that may still take effect

	inFlight    []send
	sendCount   map[Key]int
	runCount    map[Key]int
	results     map[Key]string
	submissions map[SubmissionID]*submission
	byKey       map[Key][]*submission
	notRun      map[Key]bool // keys with a definite answer NotRun
}

type headVersion struct {
	head    Head
	version Version
}

type writer struct {
	log   *Log
	id    string
	skew  time.Duration
	calls []Action
}

type send struct {
	writer *writer
	key    Key
}

type submission struct {
	Submission
	writer *writer
	answer *Answer
}

func newSimulation(t *rapid.T, writers int) *simulation {
	sim := &simulation{
		t: t, now: startTime, segments: map[string][]Record{}, sendCount: map[Key]int{}, runCount: map[Key]int{},
		results: map[Key]string{}, submissions: map[SubmissionID]*submission{},
		byKey: map[Key][]*submission{}, notRun: map[Key]bool{}, history: []headVersion{{}},
	}
	for range writers {
		sim.writers = append(sim.writers, &writer{})
	}
	for _, wr := range sim.writers {
		sim.restart(wr)
	}
	return sim
}

func (sim *simulation) restart(wr *writer) {
	sim.starts++
	// The unanswered writes of the old process may still take effect, and its requests may still run.
	for _, c := range wr.calls {
		sim.dropCall(c)
	}
	for _, s := range sim.submissions {
		if s.writer == wr && s.answer == nil {
			s.answer = &Answer{State: Unknown}
		}
	}
	*wr = writer{id: "w" + strconv.Itoa(sim.starts), skew: wr.skew}
	wr.log = New(3, wr.id)
	sim.perform(wr, wr.log.SetChosen(sim.clock(wr), true))
}

func (sim *simulation) clock(wr *writer) time.Time { return sim.now.Add(wr.skew) }

func (sim *simulation) perform(wr *writer, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			sim.sendCount[a.Key]++
			require.LessOrEqual(sim.t, sim.sendCount[a.Key], 1, "%s was sent twice", a.Key)
			require.False(sim.t, sim.notRun[a.Key], "%s was sent after a definite answer not_run", a.Key)
			require.True(sim.t, sim.maySend(a.Key), "%s was sent after all its submissions were refused", a.Key)
			sim.inFlight = append(sim.inFlight, send{wr, a.Key})
		case Reply:
			sim.recordAnswer(a.Answer)
		case DeleteSegment:
			delete(sim.segments, a.Segment)
		default:
			wr.calls = append(wr.calls, a)
			require.Len(sim.t, wr.calls, 1, "a writer has at most one store call outstanding")
		}
	}
}

// maySend reports whether a submission of the key has no answer or an answer other than NotRun.
func (sim *simulation) maySend(k Key) bool {
	return slices.ContainsFunc(sim.byKey[k], func(s *submission) bool {
		return s.answer == nil || s.answer.State != NotRun
	})
}

func (sim *simulation) recordAnswer(a Answer) {
	s := sim.submissions[a.Submission]
	require.Nil(sim.t, s.answer, "submission answered twice")
	s.answer = &a
	switch a.State {
	case Done:
		require.Equal(sim.t, 1, sim.runCount[s.Key])
		if !a.Omitted {
			require.Equal(sim.t, sim.results[s.Key], a.Result)
		}
	case NotRun:
		others := len(sim.byKey[s.Key]) > 1
		if a.Reason == ReasonRecorded || a.Reason == ReasonTarget || !others {
			require.Zero(sim.t, sim.runCount[s.Key], "%s ran but the answer is not_run (%s)", s.Key, a.Reason)
			sim.notRun[s.Key] = sim.notRun[s.Key] || a.Reason == ReasonRecorded || a.Reason == ReasonTarget
		}
		require.True(sim.t, s.First || sim.runCount[s.Key] == 0, "%s ran but the answer is not_run (%s)", s.Key, a.Reason)
	}
}

func (sim *simulation) submit(wr *writer, k Key) {
	id := SubmissionID(len(sim.submissions) + 1)
	s := &submission{Submission: Submission{ID: id, Key: k, First: len(sim.byKey[k]) == 0}, writer: wr}
	sim.submissions[id] = s
	sim.byKey[k] = append(sim.byKey[k], s)
	sim.perform(wr, wr.log.Submit(sim.clock(wr), s.Submission))
}

// apply performs a write. It returns the new version of the head, and whether the write took effect.
func (sim *simulation) apply(a Action) (Version, bool) {
	if a.Kind == WriteSegment {
		if _, exists := sim.segments[a.Segment]; !exists {
			sim.segments[a.Segment] = a.Records
		}
		return 0, true
	}
	current := sim.history[len(sim.history)-1]
	if current.version != a.Expected {
		return 0, false
	}
	next := headVersion{head: a.Head, version: current.version + 3}
	sim.history = append(sim.history, next)
	return next.version, true
}

// dropCall drops a call without an answer. A write may still take effect later.
func (sim *simulation) dropCall(a Action) {
	if a.Kind == WriteHead || a.Kind == WriteSegment {
		sim.lateWrites = append(sim.lateWrites, a)
	}
}

func (wr *writer) popCall() Action {
	a := wr.calls[0]
	wr.calls = nil
	return a
}

// deliver performs a writer's outstanding call and reports its result. A read of the head returns the version that
// is behind versions older than the current one.
func (sim *simulation) deliver(wr *writer, behind int) {
	a := wr.popCall()
	now := sim.clock(wr)
	switch a.Kind {
	case ReadHead:
		h := sim.history[max(0, len(sim.history)-1-behind)]
		sim.perform(wr, wr.log.OnHead(now, clone(h.head), h.version))
	case ReadSegment:
		records, ok := sim.segments[a.Segment]
		if !ok {
			sim.perform(wr, wr.log.OnReadFailed(now))
			return
		}
		sim.perform(wr, wr.log.OnSegment(now, slices.Clone(records)))
	case WriteSegment:
		sim.apply(a)
		sim.perform(wr, wr.log.OnSegmentWritten(now))
	case WriteHead:
		v, ok := sim.apply(a)
		if !ok {
			sim.perform(wr, wr.log.OnConflict(now))
			return
		}
		sim.perform(wr, wr.log.OnWritten(now, v))
	}
}

// loseAnswer makes a writer's outstanding call fail. A write takes effect first if effect is true.
func (sim *simulation) loseAnswer(wr *writer, effect bool) {
	a := wr.popCall()
	now := sim.clock(wr)
	if a.Kind == ReadHead || a.Kind == ReadSegment {
		sim.perform(wr, wr.log.OnReadFailed(now))
		return
	}
	if effect {
		sim.apply(a)
	}
	sim.dropCall(a) // a duplicate if the write took effect
	sim.perform(wr, wr.log.OnWriteUncertain(now))
}

func clone(h Head) Head {
	h.Claims = slices.Clone(h.Claims)
	h.Segments = slices.Clone(h.Segments)
	return h
}

// finish ends request i in flight with the given state. ran states whether the target ran it.
func (sim *simulation) finish(i int, state State, ran bool) {
	s := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	result := ""
	if ran {
		sim.runCount[s.key]++
		result = fmt.Sprintf("credited %s", s.key)
		sim.results[s.key] = result
	}
	if state != Done {
		result = ""
	}
	sim.perform(s.writer, s.writer.log.OnResult(sim.clock(s.writer), s.key, state, result))
}

func (sim *simulation) wake(wr *writer) { sim.perform(wr, wr.log.OnWake(sim.clock(wr))) }
