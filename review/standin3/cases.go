package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	host = "leno12.example"
	// stableWindow is a bound of the site krukka-leit.
	stableWindow = 5 * time.Second
)

// sixMachines are two machines in each of three zones.
var sixMachines = []string{"a", "a", "b", "b", "c", "c"}

func single(name, prefix, service, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "type": kind, "timeout-ms": 3000, "target-latency-ms": 300,
		"priority": 2, "backend": service, "max-attempts": 2,
	}
}

// largeHeads sends requests with bodies whose headers are a little smaller than the limit, in two pieces.
func largeHeads(w *world, trouble bool) (bool, error) {
	const bodyBytes, requests = 4000, 60
	headBytes, firstPiece := 2000, 1000
	if trouble {
		headBytes, firstPiece = 15900, 3000
	}
	w.setConfig(7, []map[string]any{single("fetch", "/goka902/", "kafi81c", "non_idempotent")}, map[string]int{"kafi81c": 96})
	for n := range 3 {
		if _, err := w.addSearcher(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "kafi81c", w.zones[n%3], 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(sixMachines); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	w.logf("all gateways are ready; the limit of a header is 16384 bytes")
	var mu sync.Mutex
	byStatus := map[string]int{}
	var done sync.WaitGroup
	for n := range requests {
		g := w.gateways[n%len(w.gateways)]
		id := fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(n))
		head := fmt.Sprintf("POST /goka902/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\nCookie: ", n, host, id, bodyBytes)
		head += strings.Repeat("x", headBytes-len(head)-4) + "\r\n\r\n"
		message := head + strings.Repeat("b", bodyBytes)
		done.Go(func() {
			status := sendPieces(g.callers, message, firstPiece)
			w.logf("request %s to %s: header of %d bytes, body of %d: %s", id, g.name, len(head), bodyBytes, status)
			mu.Lock()
			defer mu.Unlock()
			byStatus[status]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	done.Wait()
	w.logf("answers: %v", byStatus)
	denied := 0
	for status, n := range byStatus {
		if strings.Contains(status, " 4") && !strings.Contains(status, "408") && !strings.Contains(status, "421") && !strings.Contains(status, "429") {
			denied += n
		}
	}
	w.logf("%d of %d requests within the limits were ended with a 4xx of the gateways' own; the rule allows 5 and one in 500", denied, requests)
	return float64(denied) > 5+requests/500.0, nil
}

// sendPieces sends the beginning of a message first and the rest 50 ms later, and returns the status line of the answer.
func sendPieces(address, message string, firstPiece int) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // Fails on a closed connection only.
	_, _ = conn.Write([]byte(message[:firstPiece]))       // The read below shows a failure.
	time.Sleep(50 * time.Millisecond)
	go func() { _, _ = conn.Write([]byte(message[firstPiece:])) }() // As above.
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return "no answer"
	}
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	return line
}

// foreignEntry lets another writer replace the entry of a searcher by one that lacks fields and names another service.
func foreignEntry(w *world, trouble bool) (bool, error) {
	w.setConfig(7, []map[string]any{
		single("fetch", "/goka902/", "kafi81c", "idempotent"), single("haul", "/tile33/", "nylo40d", "idempotent"),
	}, map[string]int{"kafi81c": 96, "nylo40d": 96})
	var all []*searcher
	for n := range 6 {
		s, err := w.addSearcher(fmt.Sprintf("i-%08x", 0x7f3a9100+n), []string{"kafi81c", "nylo40d"}[n/3], w.zones[n%3], 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		all = append(all, s)
	}
	if err := w.startGateways(sixMachines); err != nil {
		return false, err
	}
	w.logf("all gateways are ready")
	c := newClients(w)
	c.send(2, 50*time.Millisecond, http.MethodGet, host, "/goka902/", 3*time.Second)
	c.send(2, 50*time.Millisecond, http.MethodGet, host, "/tile33/", 3*time.Second)
	time.Sleep(2 * stableWindow)
	victim := all[0]
	for range 4 {
		if trouble {
			w.store.put("servers", victim.id, map[string]any{
				"backend": "nylo40d", "address": victim.address, "zone": victim.zone, "state": "ready", "born": victim.born,
			})
			w.logf("another writer has replaced the entry of %s (%s): no version, slots, warmup-left-ms and sequence, backend nylo40d", victim.id, victim.service)
		}
		time.Sleep(1700 * time.Millisecond) // The searcher writes its own entry again meanwhile.
	}
	time.Sleep(time.Second)
	c.stop()
	wrong := 0
	for _, s := range all {
		prefix := map[string]string{"kafi81c": "/goka902/", "nylo40d": "/tile33/"}[s.service]
		for _, a := range s.arrived() {
			if !strings.HasPrefix(a.path, prefix) {
				wrong++
				if wrong <= 5 {
					w.logf("request %s (%s) was run by %s of %s at %.3f s", a.id, a.path, s.id, s.service, w.at(a.at))
				}
			}
		}
	}
	foreign := slices.DeleteFunc(slices.Clone(c.answers), func(a answer) bool {
		return a.status != http.StatusOK || strings.HasPrefix(a.path, "/goka902/") == strings.HasPrefix(a.body, "kafi81c")
	})
	for _, a := range foreign[:min(5, len(foreign))] {
		w.logf("the client of request %s (%s) got 200 %q, stamp %s", a.id, a.path, a.body, a.stamp)
	}
	w.logf("answers by status: %v; %d requests were run by a service that no configuration allows, %d clients got its answer", c.byStatus(), wrong, len(foreign))
	return wrong > 0, nil
}

// lapsedThenRestored kills all gateways. The store is away afterwards, so that all entries lapse, and comes back; a moment later
// a drill restores it from a copy of the time before the outage, in which all entries stand.
func lapsedThenRestored(w *world, trouble bool) (bool, error) {
	const (
		outage, between, away = 6600 * time.Millisecond, 800 * time.Millisecond, 500 * time.Millisecond
		recovery, observed    = 12 * time.Second, 20 * time.Second
		gathered              = "kafi81c"
	)
	w.setConfig(7, []map[string]any{single("fetch", "/goka902/", gathered, "idempotent")}, map[string]int{gathered: 96})
	var all []*searcher
	for n := range 9 {
		s, err := w.addSearcher(fmt.Sprintf("i-%08x", 0x7f3a9100+n), gathered, w.zones[n%3], 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		all = append(all, s)
	}
	if err := w.startGateways(sixMachines); err != nil {
		return false, err
	}
	w.logf("all gateways are ready")
	c := newClients(w)
	c.send(2, 100*time.Millisecond, http.MethodGet, host, "/goka902/", 3*time.Second)
	time.Sleep(2 * stableWindow)
	if err := w.killAll(); err != nil {
		return false, err
	}
	back := time.Now()
	w.logf("all gateways were killed and are back")
	time.Sleep(2 * time.Second)
	if trouble {
		content, revision := w.store.copyNow()
		w.outage(all, outage)
		time.Sleep(between)
		w.store.setDown(true)
		w.logf("a drill takes the store away")
		time.Sleep(away)
		w.store.restore(content, revision)
		w.store.setDown(false)
		w.logf("the store is back from a copy of the time before the outage, with %d entries of searchers", len(content["servers"]))
	}
	time.Sleep(time.Until(back.Add(recovery)))
	from := time.Now()
	time.Sleep(observed)
	for _, s := range all {
		if !w.store.has("servers", s.id) {
			w.logf("%s has no entry", s.id)
		}
	}
	c.stop()
	before, servedBefore, after, served := 0, 0, 0, 0
	for _, a := range c.answers {
		ok := a.status == http.StatusOK
		switch {
		case a.sent.Before(back.Add(-time.Second)):
			before++
			if ok {
				servedBefore++
			}
		case a.sent.After(from):
			after++
			if ok {
				served++
			}
		}
	}
	w.logf("before the gateways were killed %d of %d requests were served", servedBefore, before)
	w.logf("of the requests sent later than %v after they were back %d of %d were served", recovery, served, after)
	return 4*served < after && 4*servedBefore >= before, nil
}
