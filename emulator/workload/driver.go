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
	record := newRecord(start)
	stop := d.reportProgress(record)
	defer stop()
	var wait sync.WaitGroup
	slots := make(chan struct{}, d.Workload.MaxInFlight)
	arrivals := NewArrivals(d.Workload)
	for range d.Workload.MaxRequests {
		r := arrivals.Next()
		if r.At >= time.Duration(d.Workload.Duration) || !sleepUntil(ctx, start.Add(r.At)) || !take(ctx, slots) {
			break
		}
		record.started()
		wait.Go(func() {
			defer func() { <-slots }()
			// A run that is stopped still waits for its requests, whose outcome counts.
			outcome := d.Sender.Send(context.WithoutCancel(ctx), r)
			record.finished(r, outcome, time.Since(start.Add(r.At)))
		})
	}
	wait.Wait()
	return record.summary()
}

func (d Driver) reportProgress(record *record) (stop func()) {
	if d.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		alarm := kernel.NewAlarm(progressPeriod)
		defer alarm.Stop()
		for {
			select {
			case <-alarm.C:
				alarm.Set(progressPeriod)
				d.Progress(record.summary())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wait.Wait()
	}
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return kernel.Sleep(ctx, time.Until(at)) && ctx.Err() == nil
}

// take returns false if ctx ends before a slot is free.
func take(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
