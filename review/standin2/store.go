package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store: objects by kind, conditional writes, watches with a history of 20 s.
type store struct {
	mu       sync.Mutex // guards the fields below but addr
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	gone     uint64
	addr     string
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), addr: l.Addr().String()}
	go http.Serve(l, s)
	return s, nil
}

func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	var o object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	s.objects[kind][name] = o
	s.notify(event{kind: kind, at: time.Now(), Object: o})
	return o
}

func (s *store) notify(e event) {
	s.history = append(s.history, e)
	for len(s.history) > 0 && time.Since(s.history[0].at) > 20*time.Second {
		s.gone = s.history[0].Object.Meta.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delLocked(kind, name)
}

func (s *store) delLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(event{kind: kind, at: time.Now(), Object: o, Deleted: true})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	w.Header().Set("Store-Era", "1")
	time.Sleep(4 * time.Millisecond)
	switch r.Method {
	case "GET":
		if after := r.URL.Query().Get("watch"); after != "" {
			s.watch(w, r, kind, after)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if hasName {
			o, ok := s.objects[kind][name]
			if !ok {
				w.WriteHeader(404)
				return
			}
			reply(w, 200, o)
			return
		}
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
		reply(w, 200, map[string]any{"items": items, "more": false, "at": s.revision})
	case "POST", "PUT":
		raw, _ := io.ReadAll(r.Body)
		var in object
		if json.Unmarshal(raw, &in) != nil {
			w.WriteHeader(400)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		cur, ok := s.objects[kind][in.Meta.Name]
		switch {
		case r.Method == "POST" && ok:
			reply(w, 409, cur)
		case r.Method == "PUT" && !ok:
			w.WriteHeader(404)
		case in.Meta.Revision != 0 && in.Meta.Revision != cur.Meta.Revision:
			reply(w, 409, cur)
		default:
			reply(w, 200, s.putLocked(kind, in.Meta.Name, in.Spec))
		}
	case "DELETE":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.delLocked(kind, name)
		w.WriteHeader(200)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, afterText string) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		at, changed, gone := s.revision, s.changed, after < s.gone
		s.mu.Unlock()
		if gone {
			w.WriteHeader(410)
			return
		}
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
