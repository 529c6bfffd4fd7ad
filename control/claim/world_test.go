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

// TestMain fixes the seed, so that every run of the tests has the same verdict.
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

var start = time.UnixMilli(1_800_000_000_000)

// world is a store, a target and several writers of one bucket, whose calls and results take
// effect in an arbitrary order.
type world struct {
	t       *rapid.T
	now     time.Time
	writers []*writer
	starts  int

	history  []stored // versions of the head, the last one is present
	segments map[string][]Record
	late     []Action // writes without an answer that have not taken effect yet

	sends       []send
	sent        map[Key]int
	runs        map[Key]int
	results     map[Key]string
	submissions map[SubmissionID]*submission
	byKey       map[Key][]*submission
	notRun      map[Key]bool // told to be never run
}

type stored struct {
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

func newWorld(t *rapid.T, writers int) *world {
	w := &world{
		t: t, now: start, segments: map[string][]Record{}, sent: map[Key]int{}, runs: map[Key]int{},
		results: map[Key]string{}, submissions: map[SubmissionID]*submission{},
		byKey: map[Key][]*submission{}, notRun: map[Key]bool{}, history: []stored{{}},
	}
	for range writers {
		w.writers = append(w.writers, &writer{})
	}
	for _, wr := range w.writers {
		w.restart(wr)
	}
	return w
}

func (w *world) restart(wr *writer) {
	w.starts++
	// The writes of the old process may still take effect, and so may its requests.
	for _, c := range wr.calls {
		w.lose(c)
	}
	for _, s := range w.submissions {
		if s.writer == wr && s.answer == nil {
			s.answer = &Answer{State: Unknown}
		}
	}
	*wr = writer{id: "w" + strconv.Itoa(w.starts), skew: wr.skew}
	wr.log = New(3, wr.id)
	w.do(wr, wr.log.SetChosen(w.at(wr), true))
}

func (w *world) at(wr *writer) time.Time { return w.now.Add(wr.skew) }

func (w *world) do(wr *writer, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			w.sent[a.Key]++
			require.LessOrEqual(w.t, w.sent[a.Key], 1, "%s was sent twice", a.Key)
			require.False(w.t, w.notRun[a.Key], "%s was sent after it was said to be not run", a.Key)
			require.True(w.t, w.wanted(a.Key), "%s was sent after all its submissions were refused", a.Key)
			w.sends = append(w.sends, send{wr, a.Key})
		case Reply:
			w.answered(a.Answer)
		case DeleteSegment:
			delete(w.segments, a.Segment)
		default:
			wr.calls = append(wr.calls, a)
			require.Len(w.t, wr.calls, 1, "a writer has one store call at a time")
		}
	}
}

// wanted reports whether a submission of the key has not been told that it was not run.
func (w *world) wanted(k Key) bool {
	return slices.ContainsFunc(w.byKey[k], func(s *submission) bool {
		return s.answer == nil || s.answer.State != NotRun
	})
}

func (w *world) answered(a Answer) {
	s := w.submissions[a.Submission]
	require.Nil(w.t, s.answer, "submission answered twice")
	s.answer = &a
	switch a.State {
	case Done:
		require.Equal(w.t, 1, w.runs[s.Key])
		if !a.Omitted {
			require.Equal(w.t, w.results[s.Key], a.Result)
		}
	case NotRun:
		others := len(w.byKey[s.Key]) > 1
		if a.Reason == ReasonRecorded || a.Reason == ReasonTarget || !others {
			require.Zero(w.t, w.runs[s.Key], "%s ran and is said to be not run (%s)", s.Key, a.Reason)
			w.notRun[s.Key] = w.notRun[s.Key] || a.Reason == ReasonRecorded || a.Reason == ReasonTarget
		}
		require.True(w.t, s.First || w.runs[s.Key] == 0, "%s ran and is said to be not run (%s)", s.Key, a.Reason)
	}
}

func (w *world) submit(wr *writer, k Key) {
	id := SubmissionID(len(w.submissions) + 1)
	s := &submission{Submission: Submission{ID: id, Key: k, First: len(w.byKey[k]) == 0}, writer: wr}
	w.submissions[id] = s
	w.byKey[k] = append(w.byKey[k], s)
	w.do(wr, wr.log.Submit(w.at(wr), s.Submission))
}

// apply performs a write. It reports the version if it took effect.
func (w *world) apply(a Action) (Version, bool) {
	if a.Kind == WriteSegment {
		if _, exists := w.segments[a.Segment]; !exists {
			w.segments[a.Segment] = a.Records
		}
		return 0, true
	}
	present := w.history[len(w.history)-1]
	if present.version != a.Expected {
		return 0, false
	}
	next := stored{head: a.Head, version: present.version + 3}
	w.history = append(w.history, next)
	return next.version, true
}

// lose drops a call; a write may take effect later.
func (w *world) lose(a Action) {
	if a.Kind == WriteHead || a.Kind == WriteSegment {
		w.late = append(w.late, a)
	}
}

func (wr *writer) take() Action {
	a := wr.calls[0]
	wr.calls = nil
	return a
}

// deliver performs a call and hands its result to the writer. Reads return the version that is
// behind versions old.
func (w *world) deliver(wr *writer, behind int) {
	a := wr.take()
	now := w.at(wr)
	switch a.Kind {
	case ReadHead:
		h := w.history[max(0, len(w.history)-1-behind)]
		w.do(wr, wr.log.OnHead(now, clone(h.head), h.version))
	case ReadSegment:
		records, ok := w.segments[a.Segment]
		if !ok {
			w.do(wr, wr.log.OnReadFailed(now))
			return
		}
		w.do(wr, wr.log.OnSegment(now, slices.Clone(records)))
	case WriteSegment:
		w.apply(a)
		w.do(wr, wr.log.OnSegmentWritten(now))
	case WriteHead:
		v, ok := w.apply(a)
		if !ok {
			w.do(wr, wr.log.OnConflict(now))
			return
		}
		w.do(wr, wr.log.OnWritten(now, v))
	}
}

// loseAnswer lets a call fail, with or without its effect.
func (w *world) loseAnswer(wr *writer, effect bool) {
	a := wr.take()
	now := w.at(wr)
	if a.Kind == ReadHead || a.Kind == ReadSegment {
		w.do(wr, wr.log.OnReadFailed(now))
		return
	}
	if effect {
		w.apply(a)
	}
	w.lose(a) // with effect, this is a duplicate
	w.do(wr, wr.log.OnWriteUncertain(now))
}

func clone(h Head) Head {
	h.Claims = slices.Clone(h.Claims)
	h.Segments = slices.Clone(h.Segments)
	return h
}

// finish ends a request at the target.
func (w *world) finish(i int, state State, ran bool) {
	s := w.sends[i]
	w.sends = slices.Delete(w.sends, i, i+1)
	result := ""
	if ran {
		w.runs[s.key]++
		result = fmt.Sprintf("credited %s", s.key)
		w.results[s.key] = result
	}
	if state != Done {
		result = ""
	}
	w.do(s.writer, s.writer.log.OnResult(w.at(s.writer), s.key, state, result))
}

func (w *world) wake(wr *writer) { w.do(wr, wr.log.OnWake(w.at(wr))) }
