package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	deadlyPath = "/goka902/deadly"
	// backAfter is the time after which another searcher takes the place of one whose machine has lost power, and entryLapse
	// the time of three heartbeats after which its entry is gone.
	backAfter, entryLapse = 5 * time.Second, 3600 * time.Millisecond
)

// darkListener is a listener whose machine can lose power: it accepts nothing then, and new connections hang.
type darkListener struct {
	net.Listener
	dark atomic.Bool
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.dark.Load() {
		select {} // The connection stays open and silent, as all others do.
	}
	return c, err
}

// goDark makes new connections hang: the queue of those that wait to be accepted is made as short as possible, and filled.
func (l *darkListener) goDark() {
	l.dark.Store(true)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // The dials below show whether it worked.
	for {
		if _, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err != nil {
			return // The connections before this one stay open until the process ends.
		}
	}
}

// deadlyPairs submits a request that takes the machine of each searcher that begins to run it, twice at a time.
func deadlyPairs(w *world, trouble bool) (bool, error) {
	const moments, pause, allowed = 10, 6500 * time.Millisecond, 3
	const service = "kafi81c"
	w.setConfig(7, []map[string]any{single("fetch", "/goka902/", service, "non_idempotent")}, map[string]int{service: 96})
	var started atomic.Int64
	reached := make(chan arrival, 1000)
	var add func(zone string) error
	add = func(zone string) error {
		n := started.Add(1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		dl := &darkListener{Listener: l}
		s := w.newSearcher(fmt.Sprintf("i-%08x", 0x7f3a9100+n), service, zone, l.Addr().String(), 20*time.Millisecond)
		s.deadly = func(id string) {
			if !trouble {
				return
			}
			reached <- arrival{at: time.Now(), id: id, service: s.id}
			if dl.dark.Load() {
				select {} // It answers nothing any more.
			}
			s.silence()
			go dl.goDark()
			w.logf("request %s reaches %s, whose machine loses power", id, s.id)
			time.AfterFunc(entryLapse, func() { w.store.remove("servers", s.id) })
			time.AfterFunc(backAfter, func() {
				if err := add(zone); err != nil {
					w.logf("no searcher takes the place of %s: %v", s.id, err)
				}
			})
			select {} // As above.
		}
		s.isDark = dl.dark.Load
		s.serve(dl)
		return nil
	}
	for n := range 12 {
		if err := add(w.zones[n%3]); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(sixMachines); err != nil {
		return false, err
	}
	w.logf("all gateways are ready")
	c := newClients(w)
	c.send(1, 100*time.Millisecond, http.MethodPost, host, "/goka902/", 3*time.Second)
	time.Sleep(stableWindow + 2*time.Second)
	for m := range moments {
		for k := range 2 {
			g := w.gateways[(2*m+3*k)%len(w.gateways)]
			c.done.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
				a := c.request(client, g, http.MethodPost, host, deadlyPath, 3*time.Second, []byte("the same body"))
				w.logf("request %s for %s at %s ended after %v with status %d", a.id, deadlyPath, g.name, a.took.Round(time.Millisecond), a.status)
			})
		}
		time.Sleep(pause)
	}
	c.stop()
	close(reached)
	var crashes []time.Time
	late := map[string]bool{}
	gone := map[string]bool{}
	for a := range reached {
		if !gone[a.service] {
			gone[a.service] = true
			crashes = append(crashes, a.at)
		}
		if len(crashes) >= 3 && a.at.After(crashes[2].Add(stableWindow)) {
			late[a.id] = true
		}
	}
	w.logf("answers by status: %v", c.byStatus())
	w.logf("%d machines of searchers lost power; %d submissions reached searchers later than %v after the third; %d are allowed", len(crashes), len(late), stableWindow, allowed)
	return len(late) > allowed, nil
}
