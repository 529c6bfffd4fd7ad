package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "recover": callers ask for the same page again and again. All searchers of its service crash for a short time and
// come back; then all gateways are killed and start again.
const (
	recoverGateways  = 3
	recoverClients   = 60
	recoverPerSecond = 130.0
	recoverCalm      = 15 * time.Second
	recoverOutage    = 3300 * time.Millisecond // of all searchers
	recoverGap       = 3 * time.Second         // from the return of the searchers to the final fault
	recoverBound     = 12 * time.Second        // recovery-s
	recoverMeasured  = 15 * time.Second
	recoverOthers    = 0.1 // share of the requests that ask for pages which nobody else asks for
)

func runRecover(d *deployment) error {
	board := service{name: "board", slots: 6, queue: 4, work: 90 * time.Millisecond}
	started := 0
	start := func(zone string) (*searcher, error) {
		started++
		sr := &searcher{service: board, id: fmt.Sprintf("i-%04x", started), zone: zone, store: d.store, record: d.record}
		sr.onRun = func(*searcher, string) {}
		return sr, startSearcher(sr)
	}
	startAll := func() (list []*searcher, err error) {
		for _, z := range zones {
			sr, err := start(z)
			if err != nil {
				return nil, err
			}
			list = append(list, sr)
		}
		return list, nil
	}
	list, err := startAll()
	if err != nil {
		return err
	}
	d.configure(7, []service{board}, route("r-board", "idempotent", "/board/", board.name))
	if err := d.startGateways(recoverGateways); err != nil {
		return err
	}
	var before, after tally
	var phase atomic.Pointer[tally] // that counts the requests which are sent now
	phase.Store(&before)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range recoverClients {
		clients.Go(func() { recoverClient(d, n, &phase, stop) })
	}
	time.Sleep(recoverCalm)
	if d.trouble {
		for _, sr := range list {
			sr.crash()
		}
	}
	time.Sleep(recoverOutage)
	if d.trouble {
		if _, err := startAll(); err != nil {
			return err
		}
	}
	time.Sleep(recoverGap)
	var none tally // for the time that neither side of the rule counts
	phase.Store(&none)
	if d.trouble {
		for _, g := range d.gateways {
			g.signal(syscall.SIGKILL)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	if !waitUp(d.gateways, 30*time.Second) {
		return fmt.Errorf("the gateways are not ready after the final fault")
	}
	d.record.print("the machines are back")
	time.Sleep(recoverBound)
	phase.Store(&after)
	time.Sleep(recoverMeasured)
	close(stop)
	clients.Wait()
	d.record.print("before the final fault: %s; later than recovery-s after it: %s", &before, &after)
	switch {
	case before.share() < 0.25:
		return fmt.Errorf("less than a quarter was served before the final fault")
	case after.share() < 0.25:
		d.record.print("RECOVER: less than a quarter of the requests is served")
		return errBroken
	}
	return nil
}

// tally counts attempts of clients by status.
type tally struct {
	mu       sync.Mutex // guards byStatus
	byStatus map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStatus == nil {
		t.byStatus = map[int]int{}
	}
	t.byStatus[status]++
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := 0
	for _, n := range t.byStatus {
		sent += n
	}
	if sent == 0 {
		return 0
	}
	return float64(t.byStatus[http.StatusOK]) / float64(sent)
}

// String returns the share of the requests that was served, and the answers by status.
func (t *tally) String() string {
	share := t.share()
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%.2f served, by status %v", share, t.byStatus)
}

// recoverClient asks for the same page again and again. It counts what each request gets in the end: a client tries once more,
// at another gateway.
func recoverClient(d *deployment, n int, phase *atomic.Pointer[tally], stop <-chan struct{}) {
	conns := make([]*client, len(d.gateways))
	for i, g := range d.gateways {
		conns[i] = &client{address: g.callers}
	}
	for {
		pause := time.Duration(rand.ExpFloat64() * recoverClients / recoverPerSecond * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		path := "/board/today"
		if rand.Float64() < recoverOthers {
			path = "/board/" + newRequestID()
		}
		counts, start, status := phase.Load(), time.Now(), 0
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
			out := conns[at].do("GET", "pay.example", path, id, "", left)
			status = out.status
			d.record.add("client %d gets %d for request %s (%s) at %s, Retry-After %v, %.90q %v", n, status, id, path, d.gateways[at].name, out.retryAfter, out.body, out.err)
			if status == http.StatusOK {
				break
			}
			time.Sleep(min(out.retryAfter, left/3))
		}
		counts.add(status)
	}
}
