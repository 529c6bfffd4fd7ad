package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// The case "poison": one request crashes each searcher that runs it, after the searcher has sent the begin of its answer. It
// comes again and again, at any gateway.
const (
	poisonGateways  = 3
	poisonSearchers = 6
	poisonBack      = 3 * time.Second // from the crash of a searcher to its next start
	poisonPause     = time.Second     // between two submissions
	poisonSpan      = 60 * time.Second
	poisonWindow    = 5 * time.Second // stable-window-ms
	poisonAllowed   = 3               // retries that may reach searchers later than that after the third crash
	poisonPath      = "/report/poison"
	calmPerSecond   = 30.0 // sound requests at another service
)

// poisonLog records what the searchers saw of the request.
type poisonLog struct {
	mu      sync.Mutex // guards the fields below
	crashes []time.Time
	reached map[string]time.Time // first arrival of a submission at a searcher, by its id
}

func runPoison(d *deployment) error {
	report := service{name: "report", slots: 2, queue: 4, work: 60 * time.Millisecond}
	board := service{name: "board", slots: 6, queue: 4, work: 20 * time.Millisecond}
	seen := &poisonLog{reached: map[string]time.Time{}}
	headFirst := os.Getenv("HEAD") != "0" // HEAD=0: the searchers crash before they have sent anything.
	var mu sync.Mutex
	started := 0
	var start func(s service, zone string) error
	start = func(s service, zone string) error {
		mu.Lock()
		started++
		sr := &searcher{service: s, id: fmt.Sprintf("i-%04x", started), zone: zone, store: d.store, record: d.record}
		mu.Unlock()
		sr.onRun = func(sr *searcher, id string) { d.record.add("searcher %s runs request %s", sr.id, id) }
		if s.name == report.name && d.trouble {
			sr.crashesOn = func(r *http.Request) bool {
				if r.URL.Path != poisonPath {
					return false
				}
				seen.mu.Lock()
				defer seen.mu.Unlock()
				id := r.Header.Get("Request-Id")
				if _, again := seen.reached[id]; !again {
					seen.reached[id] = time.Now()
				}
				seen.crashes = append(seen.crashes, time.Now())
				d.record.add("searcher %s runs request %s, which crashes it (crash %d)", sr.id, id, len(seen.crashes))
				time.AfterFunc(poisonBack, func() {
					if err := start(s, zone); err != nil {
						d.record.print("a searcher does not start again: %v", err)
					}
				})
				return true
			}
			sr.headFirst = headFirst
		}
		return startSearcher(sr)
	}
	for n := range poisonSearchers {
		if err := start(report, zones[n%len(zones)]); err != nil {
			return err
		}
	}
	for _, z := range zones {
		if err := start(board, z); err != nil {
			return err
		}
	}
	d.configure(7, []service{report, board}, route("r-report", "idempotent", "/report/", report.name), route("r-board", "idempotent", "/board/", board.name))
	if err := d.startGateways(poisonGateways); err != nil {
		return err
	}
	var calm tally
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 10 {
		clients.Go(func() { calmClient(d, n, &calm, stop) })
	}
	for end := time.Now().Add(poisonSpan); time.Now().Before(end); {
		g := d.gateways[rand.IntN(len(d.gateways))]
		c := &client{address: g.callers}
		id := newRequestID()
		d.record.add("the request comes as %s at %s", id, g.name)
		out := c.do("GET", "pay.example", poisonPath, id, "", 3*time.Second)
		d.record.add("request %s gets %d, Retry-After %v, %.90q %v", id, out.status, out.retryAfter, out.body, out.err)
		c.close()
		time.Sleep(poisonPause)
	}
	close(stop)
	clients.Wait()
	return seen.check(d, &calm)
}

// calmClient sends sound requests to the other service.
func calmClient(d *deployment, n int, calm *tally, stop <-chan struct{}) {
	c := &client{address: d.gateways[n%len(d.gateways)].callers}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * 10 / calmPerSecond * float64(time.Second))):
		}
		calm.add(c.do("GET", "pay.example", "/board/"+newRequestID(), newRequestID(), "", 3*time.Second).status)
	}
}

func (l *poisonLog) check(d *deployment, calm *tally) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	if len(l.crashes) >= 3 {
		for _, at := range l.reached {
			if at.Sub(l.crashes[2]) > poisonWindow {
				late++
			}
		}
	}
	d.record.print("crashes of searchers: %d; submissions that reached one: %d; of these later than %v after the third crash: %d; requests at the other service: %s",
		len(l.crashes), len(l.reached), poisonWindow, late, calm)
	switch {
	case calm.share() < 0.9:
		return fmt.Errorf("the other service was not served")
	case late > poisonAllowed:
		d.record.print("BUDGET: a request that had crashed three searchers reached searchers in %d more retries", late)
		return errBroken
	}
	return nil
}
