package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/configsync"
)

// editor makes edits through random instances and records the reported outcomes. It is safe for concurrent use.
type editor struct {
	fleet *Fleet

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	editCount int
	accepted  []string
	failed    []string
	unknown   []string
}

func newEditor(f *Fleet, seed uint64) *editor {
	return &editor{fleet: f, random: rand.New(rand.NewPCG(seed, 1))}
}

// edit changes the limit of a plan through a random eligible instance. Concurrent edits of the same plan race.
func (e *editor) edit(plan int, eligible func(*Instance) bool) {
	i, id := e.nextEdit(eligible)
	inForce, _ := i.Config.InForce()
	entry := inForce.Limits[planName(plan)]
	entry.Value.RatePerSecond++
	_, p := i.Operator.PutLimit(context.Background(), entry.Value, admin.Edit{ID: id, Expected: entry.Revision})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case p == nil:
		e.accepted = append(e.accepted, id)
	case p.RunState == problem.MayHaveRun:
		e.unknown = append(e.unknown, id)
	default:
		e.failed = append(e.failed, id)
	}
}

// nextEdit returns a random eligible instance and the id of the next edit.
func (e *editor) nextEdit(eligible func(*Instance) bool) (*Instance, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.editCount++
	for {
		if i := e.fleet.randomInstance(e.random); eligible(i) {
			return i, fmt.Sprintf("edit-%d", e.editCount)
		}
	}
}

// countMisreported returns the number of accepted edits that the store lacks and the number of edits that the store
// has although they were reported as failed.
func (e *editor) countMisreported() (lost, failedButStored int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	obj, _ := e.fleet.Store.Get(configsync.KindConfig, configsync.NameCurrent)
	var lists config.Lists
	if err := json.Unmarshal(obj.Data, &lists); err != nil {
		panic(err) // Only valid lists are written.
	}
	for _, id := range e.accepted {
		if !lists.HasEdit(id) {
			lost++
		}
	}
	for _, id := range e.failed {
		if lists.HasEdit(id) {
			failedButStored++
		}
	}
	return lost, failedButStored
}
