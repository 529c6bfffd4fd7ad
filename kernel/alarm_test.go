package kernel

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against waits that crash the race detector in virtual time, where a timer that is already due runs on the
// goroutine that sets or reads it, with the single race context that the runtime keeps for the timers of a bubble.
// The test detects the fault only with -race.
func TestConcurrentDueTimers(t *testing.T) {
	cases := map[string]func(){
		"sleep":    func() { Sleep(context.Background(), 0) },
		"set":      func() { a := NewAlarm(time.Hour); a.Set(0); <-a.C; a.Stop() },
		"set late": func() { a := NewAlarm(0); <-a.C; a.Set(-time.Second); <-a.C; a.Stop() },
		"after":    func() { done := make(chan struct{}); AfterFunc(-time.Second, func() { close(done) }); <-done },
		// The alarm expires before its reader receives from C.
		"read late": func() { a := NewAlarm(time.Nanosecond); time.Sleep(2 * time.Nanosecond); <-a.C; a.Stop() },
	}
	for name, wait := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var done sync.WaitGroup
				for range 64 {
					done.Go(func() {
						for range 500 {
							wait()
						}
					})
				}
				done.Wait()
			})
		})
	}
}

// Guards against an alarm that fires early, fires twice for one Set, ignores a later Set, or fires after Stop.
func TestAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a := NewAlarm(time.Second)
		a.Set(3 * time.Second)
		<-a.C
		require.Equal(t, 3*time.Second, time.Since(start))
		a.Set(0)
		<-a.C
		require.Equal(t, 3*time.Second, time.Since(start))
		a.Set(time.Second)
		a.Stop()
		time.Sleep(2 * time.Second)
		select {
		case <-a.C:
			t.Fatal("stopped alarm fired")
		default:
		}
	})
}

// Guards against a Sleep that continues after its context has ended, or that does not report the interruption.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.True(t, Sleep(ctx, time.Millisecond))
		require.False(t, Sleep(ctx, time.Hour))
		require.True(t, Sleep(t.Context(), 0))
	})
}
