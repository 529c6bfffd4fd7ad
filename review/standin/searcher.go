package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatTimeout is the silence after which the store removes the entry of a searcher: three heartbeats.
	heartbeatTimeout = 3600 * time.Millisecond
	// connectionCap is the max-connections of each service.
	connectionCap = 25
)

// service is a service of the users with its searchers.
type service struct {
	name  string
	slots int           // requests that a searcher runs at once
	queue int           // requests that wait in a searcher
	work  time.Duration // of a request
}

// searcher is a stand-in for one searcher in one life. It speaks HTTP/1.1 on raw connections, so that it can send an answer
// a second time.
type searcher struct {
	service  service
	id, zone string
	address  string
	listener net.Listener
	store    *store
	record   *recorder
	// onRun is called when the searcher begins to work on a request.
	onRun func(sr *searcher, requestID string)
	// sendsExtra reports whether the searcher sends a second copy of an answer. It may be nil.
	sendsExtra func(refusal bool) bool
	// crashesOn reports whether a request crashes the searcher when it begins to work on it. It may be nil. With headFirst,
	// the searcher has sent the begin of its answer by then.
	crashesOn func(r *http.Request) bool
	headFirst bool

	slot    chan struct{}
	waiting atomic.Int64
	crashed atomic.Bool
	inWork  atomic.Int64

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// startSearcher starts a searcher and registers it in the store.
func startSearcher(sr *searcher) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	sr.listener, sr.address = l, l.Addr().String()
	sr.slot, sr.conns = make(chan struct{}, sr.service.slots), map[net.Conn]bool{}
	go sr.accept()
	sr.register("ready")
	sr.record.add("searcher %s of %s starts at %s", sr.id, sr.service.name, sr.address)
	return nil
}

func (sr *searcher) register(state string) {
	sr.store.put("servers", sr.id, map[string]any{
		"backend": sr.service.name, "address": sr.address, "zone": sr.zone, "version": "v1", "slots": sr.service.slots,
		"state": state, "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// crash ends the searcher: its connections are reset and its address refuses new ones. Its entry lapses.
func (sr *searcher) crash() {
	sr.record.add("searcher %s crashes", sr.id)
	sr.crashed.Store(true)
	_ = sr.listener.Close()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for c := range sr.conns {
		reset(c)
	}
	time.AfterFunc(heartbeatTimeout, func() { sr.store.remove("servers", sr.id) })
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails on a closed connection only.
	}
	_ = c.Close()
}

func (sr *searcher) accept() {
	for {
		c, err := sr.listener.Accept()
		if err != nil {
			return // Crashed, or the end of the run.
		}
		sr.mu.Lock()
		tooMany := len(sr.conns) >= connectionCap || sr.crashed.Load()
		if !tooMany {
			sr.conns[c] = true
		}
		sr.mu.Unlock()
		if tooMany {
			reset(c)
			continue
		}
		go sr.serve(c)
	}
}

// serve answers the requests of one connection, one after the other.
func (sr *searcher) serve(c net.Conn) {
	defer func() {
		sr.mu.Lock()
		delete(sr.conns, c)
		sr.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var refusedID string // the last request, if it was turned away
	var extra []byte     // a second copy of the last answer, which leaves where the next answer is expected
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if extra != nil {
			sr.record.add("searcher %s sends the second copy of an earlier answer as request %s arrives", sr.id, r.Header.Get("Request-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		if id := r.Header.Get("Request-Id"); id != "" && id == refusedID {
			sr.record.add("searcher %s gets request %s again on the same connection", sr.id, id)
		}
		answer := sr.answer(r)
		if sr.crashesOn != nil && r.URL.Path == poisonPath {
			_, _ = c.Write(answer) // The begin of the answer, or nothing.
			time.Sleep(20 * time.Millisecond)
			sr.crash()
			return
		}
		refusal := strings.Contains(string(answer), "Not-Executed")
		refusedID = ""
		if refusal {
			refusedID = r.Header.Get("Request-Id")
		}
		if sr.crashed.Load() {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if sr.sendsExtra != nil && sr.sendsExtra(refusal) {
			extra = answer
		}
	}
}

func (sr *searcher) answer(r *http.Request) []byte {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/healthz" {
		return encodeAnswer(http.StatusOK, "", "Instance-Id: "+sr.id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != sr.id {
		return encodeAnswer(http.StatusMisdirectedRequest, "", "Request-Id: "+id, "Instance-Id: "+sr.id)
	}
	timeLeft := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	if sr.waiting.Add(1) > int64(sr.service.slots+sr.service.queue) {
		sr.waiting.Add(-1)
		sr.record.add("searcher %s is full and turns request %s away", sr.id, id)
		return encodeAnswer(http.StatusServiceUnavailable, "", "Request-Id: "+id, "Not-Executed: 1")
	}
	defer sr.waiting.Add(-1)
	select {
	case sr.slot <- struct{}{}:
	case <-time.After(timeLeft):
		sr.record.add("searcher %s turns request %s away, whose deadline passed in the queue", sr.id, id)
		return encodeAnswer(http.StatusServiceUnavailable, "", "Request-Id: "+id, "Not-Executed: 1")
	}
	defer func() { <-sr.slot }()
	if sr.crashed.Load() {
		return nil
	}
	if sr.crashesOn != nil && sr.crashesOn(r) {
		begin := []byte(nil)
		if sr.headFirst {
			whole := encodeAnswer(http.StatusOK, strings.Repeat("x", 3000), "Request-Id: "+id, "Server-Stamp: "+sr.id+"."+id)
			begin = whole[:len(whole)-1000]
		}
		return begin
	}
	sr.onRun(sr, id)
	time.Sleep(sr.service.work)
	body := "done " + id
	return encodeAnswer(http.StatusOK, body, "Request-Id: "+id, "Server-Stamp: "+sr.id+"."+id)
}

func encodeAnswer(status int, body string, header ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}
