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

// TestMain fixes the seed, so that every run of the tests has the same result.
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

type instance struct {
	state   State
	objects ObjectSet
	paused  bool
}

type delivery struct {
	to  int
	obj Object
}

// simulation consists of a store, operators that edit its value and instances that replicate it.
type simulation struct {
	t             *rapid.T
	history       []Lists // values of the store; the version is the index
	delayedWrites []storeWrite
	appliedAt     map[string]Revision
	operators     []*operator
	ended         []*operator
	instances     [3]instance
	network       []delivery
	edits         int
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{t: t, history: []Lists{{}}, appliedAt: map[string]Revision{}}
}

func (s *simulation) index(name string, n int) int {
	if n == 0 {
		s.t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(s.t, name)
}

func (s *simulation) newest() Lists { return s.history[len(s.history)-1] }

func (s *simulation) startEdit(t *rapid.T) {
	s.t = t
	s.edits++
	id := fmt.Sprintf("e%d", s.edits)
	name := fmt.Sprintf("plan%d", s.index("plan", 2))
	expected := s.history[s.index("read at", len(s.history))].Plans[name].Revision
	remove := rapid.Bool().Draw(t, "remove")
	op := NewOperation(id, 0, func(l Lists) (Lists, error) {
		if remove {
			return l.DeletePlan(name, Edit{ID: id, Expected: expected})
		}
		return l.PutPlan(Plan{Name: name, Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: id, Expected: expected})
	})
	s.operators = append(s.operators, &operator{id: id, op: op})
}

func (s *simulation) stepEdit(t *rapid.T) {
	s.t = t
	i := s.index("operator", len(s.operators))
	o := s.operators[i]
	if o.step.Write == nil {
		s.read(o)
	} else {
		s.write(o)
	}
	s.removeIfEnded(i)
}

func (s *simulation) read(o *operator) {
	switch s.index("read", 4) {
	case 0:
		o.step = o.op.OnReadFailed(errors.New("no answer"))
	case 1:
		version := s.index("stale version", len(s.history))
		o.step = o.op.OnRead(s.history[version], uint64(version))
	default:
		o.step = o.op.OnRead(s.newest(), uint64(len(s.history)-1))
	}
}

func (s *simulation) write(o *operator) {
	write := storeWrite{lists: *o.step.Write, expected: o.step.Expected, id: o.id}
	outcome := WriteUnknown
	switch s.index("write", 4) {
	case 0: // lost before it took effect
	case 1:
		s.delayedWrites = append(s.delayedWrites, write)
	case 2:
		s.apply(write) // took effect, answer lost
	default:
		outcome = NotWritten
		if s.apply(write) {
			outcome = Written
		}
	}
	o.step = o.op.OnWrite(outcome)
}

func (s *simulation) apply(write storeWrite) bool {
	if write.expected != uint64(len(s.history)-1) {
		return false
	}
	_, twice := s.appliedAt[write.id]
	require.False(s.t, twice, "edit %s took effect twice", write.id)
	s.appliedAt[write.id] = write.lists.Sequence
	s.history = append(s.history, write.lists)
	return true
}

func (s *simulation) applyDelayedWrite(t *rapid.T) {
	s.t = t
	i := s.index("late write", len(s.delayedWrites))
	s.apply(s.delayedWrites[i])
	s.delayedWrites = append(s.delayedWrites[:i], s.delayedWrites[i+1:]...)
}

func (s *simulation) abandonEdit(t *rapid.T) {
	s.t = t
	i := s.index("operator", len(s.operators))
	s.operators[i].step = s.operators[i].op.Abandon(errors.New("time is up"))
	s.removeIfEnded(i)
}

// removeIfEnded moves operator i from operators to ended if its operation has ended.
func (s *simulation) removeIfEnded(i int) {
	if o := s.operators[i]; o.step.Verdict != 0 {
		s.ended = append(s.ended, o)
		s.operators = append(s.operators[:i], s.operators[i+1:]...)
	}
}

// publish sends a value of the store, possibly a stale one, to an instance.
func (s *simulation) publish(t *rapid.T) {
	s.t = t
	s.network = append(s.network, delivery{
		to: s.index("instance", len(s.instances)), obj: s.object(s.history[s.index("version", len(s.history))]),
	})
}

func (s *simulation) object(l Lists) Object {
	data, err := json.Marshal(l)
	require.NoError(s.t, err)
	return Object{Key: Key{Kind: "config", Name: "current"}, Revision: uint64(l.Sequence), Data: data}
}

// forward sends the object of one instance to another.
func (s *simulation) forward(t *rapid.T) {
	s.t = t
	from := &s.instances[s.index("from", len(s.instances))]
	if o, ok := from.objects.Get(Key{Kind: "config", Name: "current"}); ok {
		s.network = append(s.network, delivery{to: s.index("to", len(s.instances)), obj: o})
	}
}

// deliverMessage delivers an arbitrary message, so that messages are reordered. Every other message on
// average stays in the network and is delivered again.
func (s *simulation) deliverMessage(t *rapid.T) {
	s.t = t
	i := s.index("message", len(s.network))
	delivered := s.network[i]
	if rapid.Bool().Draw(t, "once") {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	s.deliver(&s.instances[delivered.to], delivered.obj)
}

func (s *simulation) deliver(inst *instance, o Object) {
	if inst.paused {
		return
	}
	before, ok := inst.state.InForce()
	var lists Lists
	require.NoError(s.t, json.Unmarshal(o.Data, &lists))
	require.Equal(s.t, inst.objects.Offer(o), inst.state.Offer(lists), "ObjectSet and State must accept the same versions")
	after, _ := inst.state.InForce()
	if ok {
		require.GreaterOrEqual(s.t, after.Sequence, before.Sequence, "reverted")
	}
	require.Equal(s.t, s.history[after.Sequence], after, "a value that was never accepted")
}

func (s *simulation) loseMessage(t *rapid.T) {
	s.t = t
	i := s.index("message", len(s.network))
	s.network = append(s.network[:i], s.network[i+1:]...)
}

func (s *simulation) togglePause(t *rapid.T) {
	s.t = t
	inst := &s.instances[s.index("instance", len(s.instances))]
	inst.paused = !inst.paused
}

func (s *simulation) restartInstance(t *rapid.T) {
	s.t = t
	s.instances[s.index("instance", len(s.instances))] = instance{}
}
