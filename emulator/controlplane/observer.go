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

// observeInterval is the time between two polls of all instances. It bounds the error of the observed times.
const observeInterval = 2 * time.Millisecond

// observer records when each sequence number was written to the store and when it was in force at all watched
// instances. It also counts reverts to a lower sequence number.
type observer struct {
	fleet *Fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	isWatched    func(*Instance) bool
	storeVersion platform.Version
	lastWritten  config.Revision
	writtenAt    map[config.Revision]time.Time
	inForceAt    map[config.Revision]time.Time
	lastInForce  config.Revision
	lastSeen     map[*Instance]config.Revision
	reverts      int
}

func startObserver(f *Fleet) *observer {
	o := &observer{
		fleet: f, stop: make(chan struct{}), isWatched: func(*Instance) bool { return true },
		writtenAt: map[config.Revision]time.Time{}, inForceAt: map[config.Revision]time.Time{},
		lastSeen: map[*Instance]config.Revision{},
	}
	o.poll()
	o.lastInForce = o.lastWritten
	o.done.Go(func() {
		alarm := kernel.NewAlarm(observeInterval)
		defer alarm.Stop()
		for {
			select {
			case <-alarm.C:
				alarm.Set(observeInterval)
				o.poll()
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

func (o *observer) poll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pollStore()
	minSequence := o.lastWritten
	for _, i := range o.fleet.Instances {
		lists, _ := i.Config.InForce()
		if lists.Sequence < o.lastSeen[i] {
			o.reverts++
		}
		o.lastSeen[i] = lists.Sequence
		if o.isWatched(i) {
			minSequence = min(minSequence, lists.Sequence)
		}
	}
	now := time.Now()
	for ; o.lastInForce < minSequence; o.lastInForce++ {
		o.inForceAt[o.lastInForce+1] = now
	}
}

func (o *observer) pollStore() {
	obj, _ := o.fleet.Store.Get(configsync.KindConfig, configsync.NameCurrent)
	if obj.Version == o.storeVersion {
		return
	}
	o.storeVersion = obj.Version
	var lists config.Lists
	if err := json.Unmarshal(obj.Data, &lists); err != nil {
		panic(err) // Only valid lists are written.
	}
	for s := o.lastWritten + 1; s <= lists.Sequence; s++ {
		o.writtenAt[s] = time.Now()
	}
	o.lastWritten = lists.Sequence
}

// watch sets the watched instances and discards the times at which sequence numbers were in force.
func (o *observer) watch(isWatched func(*Instance) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isWatched = isWatched
	o.lastInForce = 0
	clear(o.inForceAt)
}

// maxPropagation returns the maximum propagation time, in milliseconds, of the sequence numbers above after. The
// propagation time lasts from the write, or from since if that is later, until the sequence number was in force, or
// until now if it is not in force yet.
func (o *observer) maxPropagation(after config.Revision, since time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var maxTime time.Duration
	for s, written := range o.writtenAt {
		if s <= after {
			continue
		}
		end, ok := o.inForceAt[s]
		if !ok {
			end = time.Now()
		}
		if written.Before(since) {
			written = since
		}
		maxTime = max(maxTime, end.Sub(written))
	}
	return float64(maxTime.Microseconds()) / 1000
}

func (o *observer) lastSequence() config.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastWritten
}

func (o *observer) revertCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reverts
}
