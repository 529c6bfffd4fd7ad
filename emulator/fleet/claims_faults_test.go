package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/instance/claims"
)

// inClaimsWorld runs f with two instances that know each other.
func inClaimsWorld(t *testing.T, f func(t *testing.T, w *claimsWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newClaimsWorld(1)
		w.start("i1", "i1", "i2")
		w.start("i2", "i1", "i2")
		defer func() {
			w.kill("i1")
			w.kill("i2")
			time.Sleep(time.Second) // writes without an answer take effect
		}()
		f(t, w)
	})
}

// keyOf returns a key whose bucket the instance writes, of two instances.
func keyOf(writer string, n int) claim.Key {
	for ; ; n++ {
		k := claim.Key(fmt.Sprintf("%d-k%d", time.Now().UnixMilli(), n))
		if claim.ChooseWriter(k.Bucket(), []string{"i1", "i2"}) == writer {
			return k
		}
	}
}

func (w *claimsWorld) submit(through string, k claim.Key, first bool) claim.Answer {
	return w.service(through).Execute(context.Background(), claims.Request{
		Key: k, Plan: "counter", Index: "ledger", Body: "a", First: first, Deadline: time.Now().Add(executeTime),
	})
}

// Guards against an execute that is sent while the store is away, and against a promise of "not
// run" to a caller that may have submitted the key before.
func TestStoreAwaySendsNothing(t *testing.T) {
	inClaimsWorld(t, func(t *testing.T, w *claimsWorld) {
		w.store.set(func(f *faults) { f.away = true })
		first, again := keyOf("i1", 0), keyOf("i2", 100)
		begin := time.Now()
		require.Equal(t, claim.NotRun, w.submit("i1", first, true).State)
		require.Equal(t, claim.Unknown, w.submit("i1", again, false).State)
		require.Less(t, time.Since(begin), 2*executeTime)
		w.store.set(func(f *faults) { f.away = false })
		time.Sleep(time.Minute)
		require.Zero(t, w.bank.runsOf(first)+w.bank.runsOf(again))
		require.Equal(t, claim.Done, w.submit("i2", first, false).State)
		require.Equal(t, 1, w.bank.runsOf(first))
	})
}

// Guards against a claim whose write answer was lost and that is sent after its caller was told
// "not run".
func TestClaimStoredAfterItsCallerWasRefusedIsNotSent(t *testing.T) {
	inClaimsWorld(t, func(t *testing.T, w *claimsWorld) {
		owned := keyOf("i1", 0)
		require.Equal(t, claim.Done, w.submit("i1", owned, true).State)
		k := keyOf("i1", 0)
		for n := 1; k.Bucket() != owned.Bucket(); n++ {
			k = keyOf("i1", n)
		}
		w.store.set(func(f *faults) { f.loseAnswer = 1 })
		require.Equal(t, claim.NotRun, w.submit("i1", k, true).State)
		w.store.set(func(f *faults) { f.loseAnswer = 0 })
		time.Sleep(time.Minute)
		require.Zero(t, w.bank.runsOf(k))
		a := w.submit("i2", k, false)
		require.Equal(t, claim.NotRun, a.State)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
		require.Zero(t, w.bank.runsOf(k))
	})
}

// Guards against a forward that is repeated or called "not run" when its answer was lost.
func TestLostAnswerOfAForwardIsUnknown(t *testing.T) {
	inClaimsWorld(t, func(t *testing.T, w *claimsWorld) {
		k := keyOf("i2", 0)
		w.peers.set(func(f *faults) { f.loseAnswer = 1 })
		require.Equal(t, claim.Unknown, w.submit("i1", k, true).State)
		w.peers.set(func(f *faults) { f.loseAnswer = 0 })
		a := w.submit("i1", k, false)
		require.Equal(t, claim.Done, a.State)
		require.True(t, a.Repeated)
		require.Equal(t, 1, w.bank.runsOf(k))
	})
}

// Guards against a graceful stop that loses results, and against a writer that stays chosen for
// what a stopped one wrote.
func TestResultsOutliveAGracefulStop(t *testing.T) {
	inClaimsWorld(t, func(t *testing.T, w *claimsWorld) {
		k := keyOf("i1", 0)
		first := w.submit("i1", k, true)
		require.Equal(t, claim.Done, first.State)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		w.stop(ctx, "i1")
		w.service("i2").view.set("i2")
		again := w.submit("i2", k, false)
		require.Equal(t, claim.Done, again.State)
		require.Equal(t, first.Result, again.Result)
		require.True(t, again.Repeated)
		w.start("i1", "i1", "i2")
	})
}

// Guards against a new writer that sends again what a killed one may have sent.
func TestClaimOfAKilledWriterIsUnknown(t *testing.T) {
	inClaimsWorld(t, func(t *testing.T, w *claimsWorld) {
		k := keyOf("i1", 0)
		w.bank.faults.set(func(f *faults) { f.maxDelay = time.Minute })
		answered := make(chan claim.Answer, 1)
		go func() { answered <- w.submit("i1", k, true) }()
		time.Sleep(time.Second) // The claim is stored and sent.
		w.kill("i1")
		require.Equal(t, claim.Unknown, (<-answered).State)
		w.service("i2").view.set("i2")
		a := w.submit("i2", k, false)
		require.Equal(t, claim.Unknown, a.State)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
		require.LessOrEqual(t, w.bank.runsOf(k), 1)
		w.start("i1", "i1", "i2")
	})
}
