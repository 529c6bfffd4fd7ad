package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// deadlyPage is the page whose request takes the machine of each searcher that begins to run it.
const deadlyPage = "/board/deadly"

const (
	boardService   = "board"
	boardSearchers = 11
	boardClients   = 20
	backAfter      = 5 * time.Second  // a searcher that went dark
	deadlyPause    = 2 * time.Second  // between two submissions of the deadly request
	deadlySpan     = 70 * time.Second // for which it comes
	stableWindow   = 5 * time.Second
	maxLateRetries = 3
)

// playDeadly plays the case "deadly": the same request comes again and again, and takes the machines of the searchers that begin
// to run it. It returns an exit code.
func (d *deployment) playDeadly(trouble bool) int {
	board := &board{deployment: d, trouble: trouble}
	for n := range boardSearchers {
		if err := board.add(zones[n%len(zones)]); err != nil {
			d.record.say("could not run: %v", err)
			return couldNotRun
		}
	}
	lb := &balancer{gateways: d.gateways, ready: map[*gateway]bool{}}
	go lb.run()
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var others tally
	for n := range boardClients {
		running.Go(func() { board.ask(&client{number: n, balancer: lb, record: d.record}, &others, stop) })
	}
	time.Sleep(4 * time.Second)
	deadly := &client{number: boardClients, balancer: lb, record: d.record}
	for n, start := 0, time.Now(); time.Since(start) < deadlySpan; n++ {
		next := time.Now().Add(deadlyPause)
		id := fmt.Sprintf("dead%012x", n)
		d.record.add("client %d sends %s %s", deadly.number, id, deadlyPage)
		_, result := deadly.ask(id, deadlyPage)
		d.record.add("client %d gets for %s: %s", deadly.number, id, result)
		deadly.close() // Retries are sent on a new connection.
		time.Sleep(time.Until(next))
	}
	close(stop)
	running.Wait()
	return board.judge(others.share())
}

// board is a service of one shard.
type board struct {
	deployment *deployment
	trouble    bool

	mu      sync.Mutex // guards the fields below
	started int
	darkAt  []time.Time
	reached map[string]time.Time // submissions of the deadly request that reached a searcher, with the last time
}

func (b *board) add(zone string) error {
	d := b.deployment
	b.mu.Lock()
	b.started++
	id := fmt.Sprintf("i-b%03x", b.started)
	b.mu.Unlock()
	s, err := newSearcher(d.network+"2", id, boardService, zone, boardWork, d.store, d.record)
	if err != nil {
		return err
	}
	s.deadly = b.trouble
	s.onDeadly = b.onDeadly
	s.onDark = func() {
		b.mu.Lock()
		b.darkAt = append(b.darkAt, time.Now())
		b.mu.Unlock()
		time.AfterFunc(backAfter, func() {
			if err := b.add(zone); err != nil {
				d.record.say("could not run: %v", err)
			}
		})
	}
	s.begin()
	return nil
}

// boardWork is the mean work of a page of the board.
const boardWork = 60 * time.Millisecond

func (b *board) onDeadly(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reached == nil {
		b.reached = map[string]time.Time{}
	}
	b.reached[id] = time.Now()
}

// ask asks for pages that nobody else asks for.
func (b *board) ask(c *client, t *tally, stop <-chan struct{}) {
	defer c.close()
	var n atomic.Int64
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", c.number, n.Add(1))
		path := "/board/page-" + id
		t.sent.Add(1)
		c.record.add("client %d sends %s %s", c.number, id, path)
		served, result := c.ask(id, path)
		if served {
			t.served.Add(1)
		}
		c.record.add("client %d gets for %s: %s", c.number, id, result)
	}
}

// judge applies the rule. No machine, link or the store is disturbed, so that all machines are in touch.
func (b *board) judge(servedShare float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	if len(b.darkAt) >= 3 {
		for _, at := range b.reached {
			if at.Sub(b.darkAt[2]) > stableWindow {
				late++
			}
		}
	}
	d := b.deployment
	d.record.say("%d submissions of the deadly request reached searchers, %d of them later than %v after the third was gone; %d searchers went dark; %.2f of the other requests served",
		len(b.reached), late, stableWindow, len(b.darkAt), servedShare)
	switch {
	case len(b.reached) == 0:
		d.record.say("could not run: the request reached no searcher")
		return couldNotRun
	case late > maxLateRetries:
		d.record.say("BUDGET broken: more than %d retries", maxLateRetries)
		return broken
	}
	d.record.say("BUDGET held")
	return held
}
