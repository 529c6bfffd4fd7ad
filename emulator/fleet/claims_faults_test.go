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

// runWithClaims runs f in virtual time with two instances that see each other as live.
func runWithClaims(t *testing.T, f func(t *testing.T, env *claimsEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := newClaimsEnv(1)
		env.start("i1", "i1", "i2")
		env.start("i2", "i1", "i2")
		defer func() {
			env.kill("i1")
			env.kill("i2")
			time.Sleep(time.Second) // until delayed writes have taken effect
		}()
		f(t, env)
	})
}

// keyWrittenBy returns the first key, numbered from n, whose bucket is written by the given instance out of i1 and i2.
func keyWrittenBy(writer string, n int) claim.Key {
	for ; ; n++ {
		k := claim.Key(fmt.Sprintf("%d-k%d", time.Now().UnixMilli(), n))
		if claim.ChooseWriter(k.Bucket(), []string{"i1", "i2"}) == writer {
			return k
		}
	}
}

func (env *claimsEnv) submit(id string, k claim.Key, isFirst bool) claim.Answer {
	return env.service(id).Execute(context.Background(), claims.Request{
		Key: k, Plan: "counter", Index: "ledger", Body: "a", First: isFirst, Deadline: time.Now().Add(executeTimeout),
	})
}

// Guards against an execute that is sent while the store is unavailable, and against the answer "not run" to a caller
// that may have submitted the key before.
func TestNothingIsSentWhileStoreIsUnavailable(t *testing.T) {
	runWithClaims(t, func(t *testing.T, env *claimsEnv) {
		env.storeFaults.update(func(f *faults) { f.unavailable = true })
		firstKey, resentKey := keyWrittenBy("i1", 0), keyWrittenBy("i2", 100)
		begin := time.Now()
		require.Equal(t, claim.NotRun, env.submit("i1", firstKey, true).State)
		require.Equal(t, claim.Unknown, env.submit("i1", resentKey, false).State)
		require.Less(t, time.Since(begin), 2*executeTimeout)
		env.storeFaults.update(func(f *faults) { f.unavailable = false })
		time.Sleep(time.Minute)
		require.Zero(t, env.bank.runCount(firstKey)+env.bank.runCount(resentKey))
		require.Equal(t, claim.Done, env.submit("i2", firstKey, false).State)
		require.Equal(t, 1, env.bank.runCount(firstKey))
	})
}

// Guards against a claim that is sent after its caller got the answer "not run". The claim was stored, but the answer
// to the write was lost.
func TestClaimStoredAfterNotRunAnswerIsNotSent(t *testing.T) {
	runWithClaims(t, func(t *testing.T, env *claimsEnv) {
		doneKey := keyWrittenBy("i1", 0)
		require.Equal(t, claim.Done, env.submit("i1", doneKey, true).State)
		k := keyWrittenBy("i1", 0)
		for n := 1; k.Bucket() != doneKey.Bucket(); n++ {
			k = keyWrittenBy("i1", n)
		}
		env.storeFaults.update(func(f *faults) { f.lostAnswerShare = 1 })
		require.Equal(t, claim.NotRun, env.submit("i1", k, true).State)
		env.storeFaults.update(func(f *faults) { f.lostAnswerShare = 0 })
		time.Sleep(time.Minute)
		require.Zero(t, env.bank.runCount(k))
		a := env.submit("i2", k, false)
		require.Equal(t, claim.NotRun, a.State)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
		require.Zero(t, env.bank.runCount(k))
	})
}

// Guards against a forward that is repeated or reported as "not run" after its answer was lost.
func TestForwardWithLostAnswerIsUnknown(t *testing.T) {
	runWithClaims(t, func(t *testing.T, env *claimsEnv) {
		k := keyWrittenBy("i2", 0)
		env.peerFaults.update(func(f *faults) { f.lostAnswerShare = 1 })
		require.Equal(t, claim.Unknown, env.submit("i1", k, true).State)
		env.peerFaults.update(func(f *faults) { f.lostAnswerShare = 0 })
		a := env.submit("i1", k, false)
		require.Equal(t, claim.Done, a.State)
		require.True(t, a.Repeated)
		require.Equal(t, 1, env.bank.runCount(k))
	})
}

// Guards against results that are lost by a graceful stop or that the new writer of their bucket does not return.
func TestResultsSurviveGracefulStop(t *testing.T) {
	runWithClaims(t, func(t *testing.T, env *claimsEnv) {
		k := keyWrittenBy("i1", 0)
		first := env.submit("i1", k, true)
		require.Equal(t, claim.Done, first.State)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		env.stop(ctx, "i1")
		env.service("i2").members.setLive("i2")
		again := env.submit("i2", k, false)
		require.Equal(t, claim.Done, again.State)
		require.Equal(t, first.Result, again.Result)
		require.True(t, again.Repeated)
		env.start("i1", "i1", "i2")
	})
}

// Guards against a new writer that resends a request that a killed writer may have sent.
func TestClaimOfKilledWriterIsUnknown(t *testing.T) {
	runWithClaims(t, func(t *testing.T, env *claimsEnv) {
		k := keyWrittenBy("i1", 0)
		env.bank.faults.update(func(f *faults) { f.maxDelay = time.Minute })
		answered := make(chan claim.Answer, 1)
		go func() { answered <- env.submit("i1", k, true) }()
		time.Sleep(time.Second) // until the claim is stored and sent
		env.kill("i1")
		require.Equal(t, claim.Unknown, (<-answered).State)
		env.service("i2").members.setLive("i2")
		a := env.submit("i2", k, false)
		require.Equal(t, claim.Unknown, a.State)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
		require.LessOrEqual(t, env.bank.runCount(k), 1)
		env.start("i1", "i1", "i2")
	})
}
