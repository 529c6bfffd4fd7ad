package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// popularPage is the page that most clients ask for.
const popularPage = "/lookup/jar-17"

const (
	clients       = 90
	pause         = 480 * time.Millisecond // of a client between two requests, in the mean
	popularShare  = 0.9                    // of the requests ask for the same page
	calm          = 8 * time.Second
	crashTime     = 4500 * time.Millisecond
	crashGap      = 900 * time.Millisecond
	untilKill     = 6 * time.Second // from the first crash
	downTime      = 1400 * time.Millisecond
	recoveryBound = 12 * time.Second
	measured      = 15 * time.Second
	minShare      = 0.25
)

// playRecover plays the case "recover": a shard is down, searchers of others crash three times meanwhile, and all machines are
// killed before a trial of the held page. It returns an exit code.
func (d *deployment) playRecover(trouble bool) int {
	lb := &balancer{gateways: d.gateways, ready: map[*gateway]bool{}}
	go lb.run()
	time.Sleep(6 * time.Second)
	var before, between, after tally
	var span atomic.Pointer[tally]
	span.Store(&before)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() { d.runClient(&client{number: n, balancer: lb, record: d.record}, &span, stop) })
	}
	time.Sleep(calm)
	first := time.Now()
	if trouble {
		d.crashAll(shardName(0))
		time.Sleep(crashGap)
		d.crashSome(1, 2, 3, 4)
		time.Sleep(crashGap)
		d.crashSome(5, 6, 7, 8)
		time.Sleep(crashGap)
		d.crashSome(9, 1, 2, 3)
	}
	time.Sleep(time.Until(first.Add(untilKill)))
	span.Store(&between)
	if trouble {
		d.record.add("all machines are killed")
		for _, g := range d.gateways {
			g.kill()
		}
		time.Sleep(downTime)
		for _, g := range d.gateways {
			if err := g.start(false); err != nil {
				d.record.say("could not run: %v", err)
				return couldNotRun
			}
		}
		d.record.add("all machines are back")
	}
	time.Sleep(recoveryBound)
	span.Store(&after)
	time.Sleep(measured)
	close(stop)
	running.Wait()
	d.record.say("before the final fault: %d sent, %.2f served; later than %v after it: %d sent, %.2f served",
		before.sent.Load(), before.share(), recoveryBound, after.sent.Load(), after.share())
	switch {
	case before.share() < minShare || after.sent.Load() < 100:
		d.record.say("could not run: too few requests were served before the final fault")
		return couldNotRun
	case after.share() < minShare:
		d.record.say("RECOVER broken: less than a quarter is served")
		return broken
	}
	d.record.say("RECOVER held")
	return held
}

func (d *deployment) runClient(c *client, span *atomic.Pointer[tally], stop <-chan struct{}) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(2 * pause)))):
		}
		id := fmt.Sprintf("%08x%08x", c.number, n)
		path := popularPage
		if rand.Float64() >= popularShare {
			path = "/lookup/jar-" + id
		}
		t := span.Load()
		t.sent.Add(1)
		d.record.add("client %d sends %s %s", c.number, id, path)
		served, result := c.ask(id, path)
		if served {
			t.served.Add(1)
		}
		d.record.add("client %d gets for %s: %s", c.number, id, result)
	}
}

// crashAll crashes all searchers of a shard.
func (d *deployment) crashAll(service string) {
	d.mu.Lock()
	list := d.searchers[service]
	d.searchers[service] = nil
	d.mu.Unlock()
	d.crash(list)
}

// crashSome crashes one searcher of each shard with the given number.
func (d *deployment) crashSome(numbers ...int) {
	var list []*searcher
	d.mu.Lock()
	for _, n := range numbers {
		of := d.searchers[shardName(n)]
		list = append(list, of[0])
		d.searchers[shardName(n)] = of[1:]
	}
	d.mu.Unlock()
	d.crash(list)
}

// maxCrashDelay is the longest time for which a crash waits until one of the searchers is at work for the popular page.
const maxCrashDelay = 300 * time.Millisecond

// crash crashes searchers at the same moment. They are back after crashTime, with new ids.
func (d *deployment) crash(list []*searcher) {
	for start := time.Now(); time.Since(start) < maxCrashDelay; time.Sleep(time.Millisecond) {
		if slices.ContainsFunc(list, func(s *searcher) bool { return s.popular.Load() > 0 }) {
			break
		}
	}
	for _, s := range list {
		s.crash()
	}
	time.AfterFunc(crashTime, func() {
		for _, s := range list {
			if err := d.addSearcher(s.service, s.zone); err != nil {
				d.record.say("could not run: %v", err)
			}
		}
	})
}
