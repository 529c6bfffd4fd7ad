package controlplane

import (
	"encoding/json"
	"sync"
	"time"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
)

// observePeriod is the time between two looks at all instances. It bounds the error of the times.
const observePeriod = 2 * time.Millisecond

// observer notes when each sequence number was written to the store and in force at all instances
// that it watches, and counts reverts.
type observer struct {
	fleet *Fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	watched  func(*Instance) bool
	version  platform.Version
	newest   config.Revision
	written  map[config.Revision]time.Time
	inForce  map[config.Revision]time.Time
	everyone config.Revision
	last     map[*Instance]config.Revision
	reverts  int
}

func observe(f *Fleet) *observer {
	o := &observer{
		fleet: f, stop: make(chan struct{}), watched: func(*Instance) bool { return true },
		written: map[config.Revision]time.Time{}, inForce: map[config.Revision]time.Time{}, last: map[*Instance]config.Revision{},
	}
	o.look()
	o.everyone = o.newest
	o.done.Go(func() {
		alarm := kernel.NewAlarm(observePeriod)
		defer alarm.Stop()
		for {
			select {
			case <-alarm.C:
				alarm.Set(observePeriod)
				o.look()
			case <-o.stop:
				return
			}
		}
	})
	return o
}

func (o *observer) close() {
	close(o.stop)
	o.done.Wait()
}

func (o *observer) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lookAtStore()
	least := o.newest
	for _, i := range o.fleet.Instances {
		lists, _ := i.Config.InForce()
		if lists.Sequence < o.last[i] {
			o.reverts++
		}
		o.last[i] = lists.Sequence
		if o.watched(i) {
			least = min(least, lists.Sequence)
		}
	}
	now := time.Now()
	for ; o.everyone < least; o.everyone++ {
		o.inForce[o.everyone+1] = now
	}
}

func (o *observer) lookAtStore() {
	obj, _ := o.fleet.Store.Get(configsync.KindConfig, configsync.NameCurrent)
	if obj.Version == o.version {
		return
	}
	o.version = obj.Version
	var lists config.Lists
	if err := json.Unmarshal(obj.Data, &lists); err != nil {
		panic(err) // Only valid lists are ever written.
	}
	for s := o.newest + 1; s <= lists.Sequence; s++ {
		o.written[s] = time.Now()
	}
	o.newest = lists.Sequence
}

// restrict watches only some instances from now on.
func (o *observer) restrict(watched func(*Instance) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watched = watched
	o.everyone = 0
	clear(o.inForce)
}

// worst returns the longest time, in milliseconds, from the write of one of the sequence numbers
// after the given one, or from since if that is later, until it was in force. Sequence numbers that
// are not in force yet count until now.
func (o *observer) worst(after config.Revision, since time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var worst time.Duration
	for s, written := range o.written {
		if s <= after {
			continue
		}
		end, ok := o.inForce[s]
		if !ok {
			end = time.Now()
		}
		if written.Before(since) {
			written = since
		}
		worst = max(worst, end.Sub(written))
	}
	return float64(worst.Microseconds()) / 1000
}

func (o *observer) sequence() config.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

func (o *observer) reverted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reverts
}
