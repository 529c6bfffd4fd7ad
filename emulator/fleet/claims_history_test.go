package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/kernel"
)

const (
	accounts       = 40
	keysPerAccount = 5
	submissions    = 4 // of one key, at most
	executeTime    = 5 * time.Second
)

var fleetIDs = []string{"i1", "i2", "i3", "i4"}

// credit is the input of an operation of the history.
type credit struct {
	account string
	key     int
}

// account is the state of one account: its balance and the balance after each credit, 0 if the
// credit has not run.
type account struct {
	balance int
	after   [keysPerAccount]int
}

// creditModel says what the callers of one account may see if each credit runs at most once.
var creditModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byAccount := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(credit).account
			byAccount[name] = append(byAccount[name], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byAccount {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{account{}} },
	Step: func(state, input, output any) []any {
		s, key, a := state.(account), input.(credit).key, output.(claim.Answer)
		ran := s
		ran.balance++
		ran.after[key] = ran.balance
		fresh := s.after[key] == 0
		switch a.State {
		case claim.Done:
			switch {
			case strconv.Itoa(s.after[key]) == a.Result:
				return []any{s}
			case fresh && strconv.Itoa(ran.balance) == a.Result:
				return []any{ran}
			}
			return nil
		case claim.NotRun:
			if fresh {
				return []any{s}
			}
			return nil
		}
		if fresh {
			return []any{s, ran}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

type history struct {
	start time.Time

	mu         sync.Mutex // guards operations
	operations []porcupine.Operation
}

func (h *history) add(client int, in credit, call time.Duration, a claim.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	back := int64(time.Since(h.start))
	if a.State == claim.Unknown || a.State == claim.Running {
		back = int64(time.Hour) // It may still take effect after the answer.
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: a, Call: int64(call), Return: back,
	})
}

// Guards against credits that run twice, results that are mixed up between keys, and a "not run"
// for a credit that ran, while answers of the store, of peers and of targets are lost, the store is
// away, views of the members differ and instances are replaced.
func TestHistoryOfCreditsIsLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	w := newClaimsWorld(seed)
	for _, id := range fleetIDs {
		w.start(id, fleetIDs...)
	}
	w.store.set(func(f *faults) { f.loseAnswer, f.lateEffect = 0.05, 0.05 })
	w.peers.set(func(f *faults) { f.loseAnswer = 0.05 })
	w.bank.faults.set(func(f *faults) { f.loseAnswer, f.maxDelay = 0.03, 100*time.Millisecond })
	h := &history{start: time.Now()}
	ctx, end := context.WithCancel(context.Background())
	var disturber, clients sync.WaitGroup
	disturber.Go(func() { w.disturb(ctx, rand.New(rand.NewPCG(seed, 4))) })
	for c := range accounts * keysPerAccount {
		in := credit{account: "a" + strconv.Itoa(c%accounts), key: c / accounts}
		clients.Go(func() { w.creditUntilCertain(h, c, in, rand.New(rand.NewPCG(seed, uint64(c+100)))) })
	}
	clients.Wait()
	end()
	disturber.Wait()
	for _, id := range fleetIDs {
		w.kill(id)
	}
	time.Sleep(time.Second) // writes without an answer take effect
	checkHistory(t, w, h)
}

// creditUntilCertain submits one key through random instances until its answer is certain.
func (w *claimsWorld) creditUntilCertain(h *history, client int, in credit, source *rand.Rand) {
	time.Sleep(time.Duration(source.Int64N(int64(20 * time.Second))))
	key := claim.Key(fmt.Sprintf("%d-%s-%d", time.Now().UnixMilli(), in.account, in.key))
	for n := range submissions {
		call := time.Since(h.start)
		s := w.service(fleetIDs[source.IntN(len(fleetIDs))])
		a := s.Execute(context.Background(), claims.Request{
			Key: key, Plan: "counter", Index: "ledger", Body: in.account, First: n == 0, Deadline: time.Now().Add(executeTime),
		})
		h.add(client, in, call, a)
		if a.State == claim.Done || (a.State == claim.NotRun && a.Reason <= claim.ReasonTarget) {
			return
		}
		time.Sleep(time.Duration(source.Int64N(int64(2 * time.Second))))
	}
}

// disturb takes the store away, makes views differ and replaces instances until ctx is done.
func (w *claimsWorld) disturb(ctx context.Context, source *rand.Rand) {
	for ctx.Err() == nil {
		id := fleetIDs[source.IntN(len(fleetIDs))]
		switch source.IntN(4) {
		case 0:
			w.store.set(func(f *faults) { f.away = true })
			kernel.Sleep(ctx, time.Duration(source.Int64N(int64(4*time.Second))))
			w.store.set(func(f *faults) { f.away = false })
		case 1:
			w.service(id).view.set(id) // It believes to be chosen for every bucket.
		case 2:
			w.service(id).view.set(fleetIDs...)
		case 3:
			w.kill(id)
			kernel.Sleep(ctx, time.Duration(source.Int64N(int64(time.Second))))
			w.start(id, fleetIDs...)
		}
		kernel.Sleep(ctx, time.Duration(source.Int64N(int64(time.Second))))
	}
}

func checkHistory(t *testing.T, w *claimsWorld, h *history) {
	certain := 0
	for _, op := range h.operations {
		if op.Output.(claim.Answer).State == claim.Done {
			certain++
		}
	}
	require.Positive(t, certain)
	for key, runs := range w.bank.runs {
		require.Equal(t, 1, runs, key)
	}
	model := creditModel.ToModel()
	result := porcupine.CheckOperationsTimeout(model, h.operations, time.Minute)
	require.Equal(t, porcupine.Ok, result)
	t.Logf("%d submissions, %d with a result, %d credits ran", len(h.operations), certain, len(w.bank.runs))
}
