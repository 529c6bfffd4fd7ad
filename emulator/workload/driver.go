package workload

import (
	"context"
	"sync"
	"time"

	"hyssopcroft.example/kernel"
)

// Outcomes of requests that returned no error code.
const (
	// Answered is a complete answer.
	Answered = "answered"
	// Incomplete is an answer with missing shards.
	Incomplete = "answered_incomplete"
	// NoResponse means that no complete response was received.
	NoResponse = "no_response"
)

// Sender sends one request and returns its outcome: one of the constants above, the code of a problem or
// another name that the sender defines. It must be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, r Request) string
}

// progressPeriod is the time between two progress reports.
const progressPeriod = time.Second

// Driver runs a workload.
type Driver struct {
	Workload Workload
	Sender   Sender
	// Progress, if not nil, is called once per second from a single goroutine.
	Progress func(Summary)
}

// Run sends requests until the duration or the request count of the workload is reached or ctx is done.
// It then waits for the requests in flight and returns the summary.
func (d Driver) Run(ctx context.Context) Summary {
	start := time.Now()
	recorder := newRecorder(start)
	stop := d.reportProgress(recorder)
	defer stop()
	var wg sync.WaitGroup
	slots := make(chan struct{}, d.Workload.MaxInFlight)
	arrivals := NewArrivals(d.Workload)
	for range d.Workload.MaxRequests {
		r := arrivals.Next()
		if r.At >= time.Duration(d.Workload.Duration) || !sleepUntil(ctx, start.Add(r.At)) || !acquireSlot(ctx, slots) {
			break
		}
		recorder.requestStarted()
		wg.Go(func() {
			defer func() { <-slots }()
			// The end of ctx must not cancel requests in flight, because their outcomes count.
			outcome := d.Sender.Send(context.WithoutCancel(ctx), r)
			recorder.requestFinished(r, outcome, time.Since(start.Add(r.At)))
		})
	}
	wg.Wait()
	return recorder.summary()
}

func (d Driver) reportProgress(recorder *recorder) (stop func()) {
	if d.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		alarm := kernel.NewAlarm(progressPeriod)
		defer alarm.Stop()
		for {
			select {
			case <-alarm.C:
				alarm.Set(progressPeriod)
				d.Progress(recorder.summary())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// sleepUntil returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return kernel.Sleep(ctx, time.Until(at)) && ctx.Err() == nil
}

// acquireSlot returns false if ctx is done before a slot is free.
func acquireSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
