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
	maxSubmissions = 4 // of one key
	executeTimeout = 5 * time.Second
)

var instanceIDs = []string{"i1", "i2", "i3", "i4"}

// credit is the input of one operation in the history.
type credit struct {
	account string
	key     int
}

// account is the state of one account in the model. balanceAfter is the balance after each credit, or 0 if the credit
// has not run.
type account struct {
	balance      int
	balanceAfter [keysPerAccount]int
}

// creditModel specifies the answers that callers of one account may get if each credit runs at most once.
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
		ran.balanceAfter[key] = ran.balance
		notYetRun := s.balanceAfter[key] == 0
		switch a.State {
		case claim.Done:
			switch {
			case strconv.Itoa(s.balanceAfter[key]) == a.Result:
				return []any{s}
			case notYetRun && strconv.Itoa(ran.balance) == a.Result:
				return []any{ran}
			}
			return nil
		case claim.NotRun:
			if notYetRun {
				return []any{s}
			}
			return nil
		}
		if notYetRun {
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

func (h *history) record(client int, in credit, call time.Duration, a claim.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := int64(time.Since(h.start))
	if a.State == claim.Unknown || a.State == claim.Running {
		returned = int64(time.Hour) // The credit may take effect after the answer.
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: a, Call: int64(call), Return: returned,
	})
}

// Guards against credits that run twice, results that are returned for another key, and the answer "not run" for a
// credit that ran. Meanwhile answers of the store, of peers and of targets are lost, the store becomes unavailable, the
// instances disagree about the live members, and instances are replaced.
func TestHistoryOfCreditsIsLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	env := newClaimsEnv(seed)
	for _, id := range instanceIDs {
		env.start(id, instanceIDs...)
	}
	env.storeFaults.update(func(f *faults) { f.lostAnswerShare, f.lateEffectShare = 0.05, 0.05 })
	env.peerFaults.update(func(f *faults) { f.lostAnswerShare = 0.05 })
	env.bank.faults.update(func(f *faults) { f.lostAnswerShare, f.maxDelay = 0.03, 100*time.Millisecond })
	h := &history{start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var injector, clients sync.WaitGroup
	injector.Go(func() { env.injectFaults(ctx, rand.New(rand.NewPCG(seed, 4))) })
	for c := range accounts * keysPerAccount {
		in := credit{account: "a" + strconv.Itoa(c%accounts), key: c / accounts}
		clients.Go(func() { env.submitUntilCertain(h, c, in, rand.New(rand.NewPCG(seed, uint64(c+100)))) })
	}
	clients.Wait()
	cancel()
	injector.Wait()
	for _, id := range instanceIDs {
		env.kill(id)
	}
	time.Sleep(time.Second) // until delayed writes have taken effect
	checkHistory(t, env, h)
}

// submitUntilCertain submits one credit through random instances until an answer says for certain whether it ran.
func (env *claimsEnv) submitUntilCertain(h *history, client int, in credit, random *rand.Rand) {
	time.Sleep(time.Duration(random.Int64N(int64(20 * time.Second))))
	key := claim.Key(fmt.Sprintf("%d-%s-%d", time.Now().UnixMilli(), in.account, in.key))
	for n := range maxSubmissions {
		call := time.Since(h.start)
		s := env.service(instanceIDs[random.IntN(len(instanceIDs))])
		a := s.Execute(context.Background(), claims.Request{
			Key: key, Plan: "counter", Index: "ledger", Body: in.account, First: n == 0, Deadline: time.Now().Add(executeTimeout),
		})
		h.record(client, in, call, a)
		if a.State == claim.Done || (a.State == claim.NotRun && a.Reason <= claim.ReasonTarget) {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	}
}

// injectFaults makes the store unavailable, changes the members that instances see and replaces instances until ctx is
// done.
func (env *claimsEnv) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		id := instanceIDs[random.IntN(len(instanceIDs))]
		switch random.IntN(4) {
		case 0:
			env.storeFaults.update(func(f *faults) { f.unavailable = true })
			kernel.Sleep(ctx, time.Duration(random.Int64N(int64(4*time.Second))))
			env.storeFaults.update(func(f *faults) { f.unavailable = false })
		case 1:
			env.service(id).members.setLive(id) // The instance considers itself the writer of every bucket.
		case 2:
			env.service(id).members.setLive(instanceIDs...)
		case 3:
			env.kill(id)
			kernel.Sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
			env.start(id, instanceIDs...)
		}
		kernel.Sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
	}
}

func checkHistory(t *testing.T, env *claimsEnv, h *history) {
	done := 0
	for _, op := range h.operations {
		if op.Output.(claim.Answer).State == claim.Done {
			done++
		}
	}
	require.Positive(t, done)
	for key, runs := range env.bank.runs {
		require.Equal(t, 1, runs, key)
	}
	model := creditModel.ToModel()
	result := porcupine.CheckOperationsTimeout(model, h.operations, time.Minute)
	require.Equal(t, porcupine.Ok, result)
	t.Logf("%d submissions, %d with a result, %d credits ran", len(h.operations), done, len(env.bank.runs))
}
