package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The case "refused": two of three searchers crash, the one that is left is full at times, and it sends some of its refusals
// twice, the second copy where the next answer is expected.
const (
	refusedRounds     = 12
	refusedOutage     = 3300 * time.Millisecond // of two of three searchers
	refusedPause      = 4 * time.Second
	refusedClients    = 30
	refusedPerSecond  = 60.0 // requests of all clients
	refusedExtraShare = 0.04 // of the answers of one of three searchers
	refusedGateways   = 6
)

type ledger struct {
	mu      sync.Mutex
	runs    map[string][]string // searchers that ran a request, by its id
	answers map[string]int      // status, by id
	tries   map[string][]string // ids, by payment
}

func runRefused(d *deployment) error {
	pay := service{name: "ledger", slots: 2, queue: 4, work: 60 * time.Millisecond}
	led := &ledger{runs: map[string][]string{}, answers: map[string]int{}, tries: map[string][]string{}}
	var garbling atomic.Bool
	var extras, answers atomic.Int64
	started := 0
	start := func(zone string, faulty bool) (*searcher, error) {
		started++
		sr := &searcher{service: pay, id: fmt.Sprintf("i-%04x", started), zone: zone, store: d.store, record: d.record}
		sr.onRun = func(sr *searcher, id string) {
			led.mu.Lock()
			led.runs[id] = append(led.runs[id], sr.id)
			led.mu.Unlock()
			d.record.add("searcher %s runs request %s", sr.id, id)
		}
		if faulty {
			sr.sendsExtra = func(refusal bool) bool {
				if !garbling.Load() {
					return false
				}
				extra := float64(extras.Load()+1) <= refusedExtraShare*float64(answers.Add(1)) && refusal
				if extra {
					extras.Add(1)
				}
				return extra
			}
		}
		return sr, startSearcher(sr)
	}
	list := make([]*searcher, len(zones))
	for i, z := range zones {
		var err error
		if list[i], err = start(z, i == 0); err != nil {
			return err
		}
	}
	d.configure(7, []service{pay}, route("r-pay", "non_idempotent", "/pay/", pay.name))
	if err := d.startGateways(refusedGateways); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range refusedClients {
		clients.Go(func() { refusedClient(d, led, n, stop) })
	}
	time.Sleep(3 * time.Second)
	for range refusedRounds {
		if !d.trouble {
			time.Sleep(refusedOutage + refusedPause)
			continue
		}
		garbling.Store(os.Getenv("GARBLE") != "0") // GARBLE=0 leaves only the crashes.
		for _, sr := range list[1:] {
			sr.crash()
		}
		time.Sleep(refusedOutage)
		for i, z := range zones[1:] {
			var err error
			if list[i+1], err = start(z, false); err != nil {
				return err
			}
		}
		garbling.Store(false)
		time.Sleep(refusedPause)
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	return led.check(d, extras.Load())
}

// refusedClient sends payments. It tries a payment again once, at another instance, if the answer promises that it has not
// run.
func refusedClient(d *deployment, led *ledger, n int, stop <-chan struct{}) {
	conns := make([]*client, len(d.gateways))
	for i, g := range d.gateways {
		conns[i] = &client{address: g.callers}
	}
	for payment := 0; ; payment++ {
		pause := time.Duration(rand.ExpFloat64() * refusedClients / refusedPerSecond * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		start := time.Now()
		for try := range 2 {
			left := 3*time.Second - time.Since(start)
			if left <= 0 {
				break
			}
			at := (n + try) % len(conns)
			if try > 0 {
				conns[at].close() // A client tries again on a new connection.
			}
			id := newRequestID()
			path := fmt.Sprintf("/pay/%d-%d", n, payment)
			d.record.add("client %d sends request %s (%s) to %s", n, id, path, d.gateways[at].name)
			out := conns[at].do("POST", "pay.example", path, id, "amount=5", left)
			d.record.add("client %d gets %d for request %s %v", n, out.status, id, out.err)
			led.mu.Lock()
			led.answers[id] = out.status
			led.tries[path] = append(led.tries[path], id)
			led.mu.Unlock()
			if !isPromise(out.status) || out.retryAfter > left/3 {
				break
			}
			time.Sleep(out.retryAfter)
		}
	}
}

func (l *ledger) check(d *deployment, extras int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, broken, twice := map[int]int{}, 0, 0
	for id, status := range l.answers {
		counts[status]++
		if runs := l.runs[id]; isPromise(status) && len(runs) > 0 {
			broken++
			d.record.print("REFUSED: request %s was answered %d and has run on %v", id, status, runs)
		}
		if runs := l.runs[id]; len(runs) > 1 {
			twice++
			d.record.print("TWICE: request %s has run on %v", id, runs)
		}
	}
	double := 0
	for path, ids := range l.tries {
		ran := 0
		for _, id := range ids {
			ran += len(l.runs[id])
		}
		if ran > 1 {
			double++
			d.record.print("payment %s has run %d times, as requests %v", path, ran, ids)
		}
	}
	d.record.print("answers by status: %v; second copies: %d; refused and run: %d; requests run twice: %d; payments run more than once: %d",
		counts, extras, broken, twice, double)
	if counts[200] == 0 {
		return fmt.Errorf("no request was served")
	}
	if broken > 0 || twice > 0 {
		return errBroken
	}
	return nil
}
