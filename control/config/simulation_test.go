package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run of the tests has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type storeWrite struct {
	lists    Lists
	expected uint64
	id       string
}

type operator struct {
	id   string
	op   *Operation
	step Step
}

type holder struct {
	state    State
	holdings ObjectSet
	paused   bool
}

type delivery struct {
	to  int
	obj Object
}

// world is a store, operators that edit it and instances that hold its value.
type world struct {
	t         *rapid.T
	history   []Lists // values of the store; the version is the index
	late      []storeWrite
	effects   map[string]Revision
	operators []*operator
	ended     []*operator
	instances [3]holder
	network   []delivery
	edits     int
}

func newWorld(t *rapid.T) *world {
	return &world{t: t, history: []Lists{{}}, effects: map[string]Revision{}}
}

func (w *world) index(name string, n int) int {
	if n == 0 {
		w.t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(w.t, name)
}

func (w *world) newest() Lists { return w.history[len(w.history)-1] }

func (w *world) moveEdit(t *rapid.T) {
	w.t = t
	w.edits++
	id := fmt.Sprintf("e%d", w.edits)
	name := fmt.Sprintf("plan%d", w.index("plan", 2))
	expected := w.history[w.index("read at", len(w.history))].Plans[name].Revision
	remove := rapid.Bool().Draw(t, "remove")
	op := NewOperation(id, 0, func(l Lists) (Lists, error) {
		if remove {
			return l.DeletePlan(name, Edit{ID: id, Expected: expected})
		}
		return l.PutPlan(Plan{Name: name, Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: id, Expected: expected})
	})
	w.operators = append(w.operators, &operator{id: id, op: op})
}

func (w *world) moveStep(t *rapid.T) {
	w.t = t
	i := w.index("operator", len(w.operators))
	o := w.operators[i]
	if o.step.Write == nil {
		w.read(o)
	} else {
		w.write(o)
	}
	w.settle(i)
}

func (w *world) read(o *operator) {
	switch w.index("read", 4) {
	case 0:
		o.step = o.op.OnReadFailed(errors.New("no answer"))
	case 1:
		version := w.index("stale version", len(w.history))
		o.step = o.op.OnRead(w.history[version], uint64(version))
	default:
		o.step = o.op.OnRead(w.newest(), uint64(len(w.history)-1))
	}
}

func (w *world) write(o *operator) {
	write := storeWrite{lists: *o.step.Write, expected: o.step.Expected, id: o.id}
	outcome := WriteUnknown
	switch w.index("write", 4) {
	case 0: // lost before it took effect
	case 1:
		w.late = append(w.late, write)
	case 2:
		w.apply(write) // took effect, answer lost
	default:
		outcome = NotWritten
		if w.apply(write) {
			outcome = Written
		}
	}
	o.step = o.op.OnWrite(outcome)
}

func (w *world) apply(write storeWrite) bool {
	if write.expected != uint64(len(w.history)-1) {
		return false
	}
	_, twice := w.effects[write.id]
	require.False(w.t, twice, "edit %s took effect twice", write.id)
	w.effects[write.id] = write.lists.Sequence
	w.history = append(w.history, write.lists)
	return true
}

func (w *world) moveLate(t *rapid.T) {
	w.t = t
	i := w.index("late write", len(w.late))
	w.apply(w.late[i])
	w.late = append(w.late[:i], w.late[i+1:]...)
}

func (w *world) moveAbandon(t *rapid.T) {
	w.t = t
	i := w.index("operator", len(w.operators))
	w.operators[i].step = w.operators[i].op.Abandon(errors.New("time is up"))
	w.settle(i)
}

// settle takes an operator that has ended off the list.
func (w *world) settle(i int) {
	if o := w.operators[i]; o.step.Verdict != 0 {
		w.ended = append(w.ended, o)
		w.operators = append(w.operators[:i], w.operators[i+1:]...)
	}
}

// movePublish sends a value of the store, perhaps a stale one, to an instance.
func (w *world) movePublish(t *rapid.T) {
	w.t = t
	w.network = append(w.network, delivery{
		to: w.index("instance", len(w.instances)), obj: w.object(w.history[w.index("version", len(w.history))]),
	})
}

func (w *world) object(l Lists) Object {
	data, err := json.Marshal(l)
	require.NoError(w.t, err)
	return Object{Key: Key{Kind: "config", Name: "current"}, Revision: uint64(l.Sequence), Data: data}
}

// moveForward sends what one instance holds to another.
func (w *world) moveForward(t *rapid.T) {
	w.t = t
	from := &w.instances[w.index("from", len(w.instances))]
	if o, ok := from.holdings.Get(Key{Kind: "config", Name: "current"}); ok {
		w.network = append(w.network, delivery{to: w.index("to", len(w.instances)), obj: o})
	}
}

// moveDeliver delivers any message, so that messages overtake each other; one in two stays and
// arrives again.
func (w *world) moveDeliver(t *rapid.T) {
	w.t = t
	i := w.index("message", len(w.network))
	d := w.network[i]
	if rapid.Bool().Draw(t, "once") {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	w.deliver(&w.instances[d.to], d.obj)
}

func (w *world) deliver(h *holder, o Object) {
	if h.paused {
		return
	}
	before, known := h.state.InForce()
	var lists Lists
	require.NoError(w.t, json.Unmarshal(o.Data, &lists))
	require.Equal(w.t, h.holdings.Offer(o), h.state.Offer(lists), "both rules take the same versions")
	after, _ := h.state.InForce()
	if known {
		require.GreaterOrEqual(w.t, after.Sequence, before.Sequence, "reverted")
	}
	require.Equal(w.t, w.history[after.Sequence], after, "a value that was never accepted")
}

func (w *world) moveLose(t *rapid.T) {
	w.t = t
	i := w.index("message", len(w.network))
	w.network = append(w.network[:i], w.network[i+1:]...)
}

func (w *world) movePause(t *rapid.T) {
	w.t = t
	h := &w.instances[w.index("instance", len(w.instances))]
	h.paused = !h.paused
}

func (w *world) moveRestart(t *rapid.T) {
	w.t = t
	w.instances[w.index("instance", len(w.instances))] = holder{}
}
