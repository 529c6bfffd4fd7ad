package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is a stored object in the encoding of the platform's store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  object
	deleted bool
	at      time.Time
}

// store is a stand-in for the platform's store: lists, watches and writes with revisions.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	down     bool   // resets each call
	era      int    // the number of restores
	oldest   uint64 // watches from before it get 410
}

// retention is the time for which changes are kept for watches.
const retention = 20 * time.Second

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a searcher does. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // unreachable: all specs can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
	return time.Now()
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) object {
	known, exists := s.objects[kind][name]
	if exists && string(known.Spec) == string(raw) {
		return known
	}
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: raw}
	if exists {
		o.Meta.Created = known.Meta.Created
	}
	s.objects[kind][name] = o
	s.note(change{kind: kind, object: o})
	return o
}

// remove deletes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok {
		s.revision++
		delete(s.objects[kind], name)
		o.Meta.Revision = s.revision
		s.note(change{kind: kind, object: o, deleted: true})
	}
	return time.Now()
}

func (s *store) note(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	s.history = slices.DeleteFunc(s.history, func(o change) bool { return c.at.Sub(o.at) > retention })
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store reset each call, or ends that. Watches that wait are cut off.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of the content.
func (s *store) copyNow() (map[string]map[string]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[string]object{}
	for kind, objects := range s.objects {
		out[kind] = maps.Clone(objects)
	}
	return out, s.revision
}

// restore replaces the content by a copy and begins another era: revisions go back, and the history is gone.
func (s *store) restore(content map[string]map[string]object, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.history = content, revision, nil
	s.era++
	s.oldest = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// has reports whether an object exists.
func (s *store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok && !s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if down {
		cutOff(w)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, hasName := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, map[string]any{})
	case hasName:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Meta struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && in.Meta.Revision != nil && *in.Meta.Revision != known.Meta.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Meta.Revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed := s.revision, s.changed
		down, gone := s.down, after < s.oldest || after > s.revision || w.Header().Get("Store-Era") != strconv.Itoa(s.era)
		s.mu.Unlock()
		if down {
			cutOff(w)
			return
		}
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		now := time.Now()
		if len(events) > 0 || !now.Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
			return
		}
	}
}

// cutOff closes the connection of a watch without a response.
func cutOff(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close() // It is given up.
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client may have gone.
}

func (s *store) start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }() // It ends with the process.
	return l.Addr().String(), nil
}
