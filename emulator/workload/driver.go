package workload

import (
	"context"
	"sync"
	"time"

	"hyssopcroft.example/kernel"
)

// Outcome names of requests that brought no error code back.
const (
	// Answered is a whole answer.
	Answered = "answered"
	// Incomplete is an answer that lacks shards.
	Incomplete = "answered_incomplete"
	// NoResponse means that no response came back.
	NoResponse = "no_response"
)

// Sender sends one request and returns its outcome: one of the names above or the code of a
// problem. It is called from many goroutines.
type Sender interface {
	Send(ctx context.Context, r Request) string
}

// progressPeriod is the time between two reports of progress.
const progressPeriod = time.Second

// Driver runs a workload.
type Driver struct {
	Workload Workload
	Sender   Sender
	// Progress is called once a second from one goroutine; nil reports none.
	Progress func(Summary)
}

// Run sends the requests until the time or the count of the workload is reached or ctx is done,
// waits for those in flight and returns what came of them.
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
			// A run that is stopped still waits for its requests, whose outcome counts.
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

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return kernel.Sleep(ctx, time.Until(at)) && ctx.Err() == nil
}

// acquireSlot returns false if ctx ends before a slot is free.
func acquireSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
