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

// editors makes edits through random instances and remembers what was reported.
type editors struct {
	fleet *Fleet

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	count    int
	accepted []string
	failed   []string
	unknown  []string
}

func newEditors(f *Fleet, seed uint64) *editors {
	return &editors{fleet: f, random: rand.New(rand.NewPCG(seed, 1))}
}

// edit changes the limit of a plan through an instance that fits. Edits of one plan race if they
// are made at the same time.
func (e *editors) edit(plan int, fits func(*Instance) bool) {
	i, id := e.draw(fits)
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

func (e *editors) draw(fits func(*Instance) bool) (*Instance, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	for {
		if i := e.fleet.any(e.random); fits(i) {
			return i, fmt.Sprintf("edit-%d", e.count)
		}
	}
}

// wrong returns how many accepted edits the store lacks and how many edits that were reported as
// failed it has.
func (e *editors) wrong() (lost, failedButTook int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	obj, _ := e.fleet.Store.Get(configsync.KindConfig, configsync.NameCurrent)
	var lists config.Lists
	if err := json.Unmarshal(obj.Data, &lists); err != nil {
		panic(err) // Only valid lists are ever written.
	}
	for _, id := range e.accepted {
		if !lists.HasEdit(id) {
			lost++
		}
	}
	for _, id := range e.failed {
		if lists.HasEdit(id) {
			failedButTook++
		}
	}
	return lost, failedButTook
}
