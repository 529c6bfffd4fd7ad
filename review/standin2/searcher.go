package main

import (
	"bufio"
	"crypto/sha1"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slots     = 2
	queue     = 12
	heartbeat = 1200 * time.Millisecond
)

// searcher is a stand-in for a searcher of one shard.
type searcher struct {
	id, service, zone, address string

	store    *store
	record   *record
	work     time.Duration
	listener net.Listener
	free     chan struct{}
	waiting  atomic.Int32
	popular  atomic.Int32 // requests for the popular page that it runs now

	// deadly is set if the searcher goes dark when it begins to run the deadly request.
	deadly   bool
	onDark   func()
	onDeadly func(id string) // called when it begins to run the deadly request; nil for none

	mu    sync.Mutex // guards conns, down and dark
	dark  bool
	conns map[net.Conn]bool
	down  bool
}

func startSearcher(ip, id, service, zone string, work time.Duration, st *store, rec *record) (*searcher, error) {
	s, err := newSearcher(ip, id, service, zone, work, st, rec)
	if err == nil {
		s.begin()
	}
	return s, err
}

func newSearcher(ip, id, service, zone string, work time.Duration, st *store, rec *record) (*searcher, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		id: id, service: service, zone: zone, address: l.Addr().String(), store: st, record: rec, work: work, listener: l,
		free: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	for range slots {
		s.free <- struct{}{}
	}
	return s, nil
}

// begin lets the searcher accept connections and registers it.
func (s *searcher) begin() {
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			if s.isDark() {
				return // The connection stays open, and no other one is accepted.
			}
			go s.serve(c)
		}
	}()
	s.store.put("servers", s.id, map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": "ready",
		"warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	s.record.add("searcher %s of %s starts at %s", s.id, s.service, s.address)
}

// crash ends the searcher without a word: its connections are reset, and its entry goes after three heartbeats.
func (s *searcher) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.record.add("searcher %s of %s crashes", s.id, s.service)
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", s.id) })
}

// goDark lets the searcher's machine lose power: nothing comes from it any more, neither answers nor the end of connections,
// and new connections hang.
func (s *searcher) goDark() {
	s.mu.Lock()
	if s.dark {
		s.mu.Unlock()
		return
	}
	s.dark = true
	s.mu.Unlock()
	s.record.add("searcher %s of %s goes dark", s.id, s.service)
	s.stopAccepting()
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", s.id) })
	s.onDark()
}

// stopAccepting makes new connections hang: the kernel drops their first packet while the queue of the listener is full.
func (s *searcher) stopAccepting() {
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		s.record.say("could not run: %v", err)
	}
	for range 3 {
		go net.DialTimeout("tcp", s.address, 10*time.Second) // Fills the queue, and is never accepted.
	}
}

func (s *searcher) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

func (s *searcher) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *searcher) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	down := s.down
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	if down {
		return
	}
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := ""
		if !s.isDark() {
			answer = s.answer(req)
		}
		if s.isDark() {
			select {} // Nothing comes from the machine any more, and its connections stay as they are.
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// answer returns the whole answer to a request, "" if the searcher has crashed.
func (s *searcher) answer(req *http.Request) string {
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/healthz":
		return "HTTP/1.1 200 OK\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	case req.Header.Get("Expect-Instance") != s.id:
		return "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	case s.waiting.Add(1) > slots+queue:
		s.waiting.Add(-1)
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	defer s.waiting.Add(-1)
	<-s.free
	defer func() { s.free <- struct{}{} }()
	if s.isDown() || s.isDark() {
		return ""
	}
	if req.URL.Path == popularPage {
		s.popular.Add(1)
		defer s.popular.Add(-1)
	}
	s.record.add("searcher %s runs %s %s", s.id, id, req.RequestURI)
	if req.URL.Path == deadlyPage {
		s.onDeadly(id)
		if s.deadly {
			s.goDark()
			return ""
		}
	}
	time.Sleep(time.Duration(float64(s.work) * (0.5 + rand.Float64())))
	stamp := s.id + "." + id
	body := partBody(stamp)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, stamp, len(body), body)
}

const recordBytes = 16

// partBody returns the records of a part, which follow from its stamp.
func partBody(stamp string) string {
	var out strings.Builder
	for n := range 12 {
		sum := sha1.Sum([]byte(stamp + "/" + strconv.Itoa(n)))
		out.WriteString(hex.EncodeToString(sum[:recordBytes/2]))
	}
	return out.String()
}
