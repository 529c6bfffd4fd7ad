package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyRetention is the time for which the store keeps its history, retention-s of a small deployment.
const historyRetention = 20 * time.Second

// storedObject is an object of the store in the form in which clients get it.
type storedObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	at       time.Time
	revision uint64
	kind     string
	object   storedObject
	deleted  bool
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storeEvent
	dropped  uint64        // revision up to which the history is gone
	changed  chan struct{} // closed and replaced by each change
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// put creates or replaces an object. It changes nothing if the content is the same.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // All contents can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) storedObject {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(raw) {
		return old
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	s.revision++
	o := storedObject{Meta: objectMeta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: raw, Status: json.RawMessage("null")}
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][name] = o
	s.recordLocked(kind, o, false)
	return o
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.recordLocked(kind, o, true)
}

func (s *store) recordLocked(kind string, o storedObject, deleted bool) {
	now := time.Now()
	s.history = append(s.history, storeEvent{at: now, revision: s.revision, kind: kind, object: o, deleted: deleted})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyRetention {
		s.dropped = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	w.Header().Set("Store-Era", "1")
	switch {
	case !strings.HasPrefix(r.URL.Path, "/objects/"):
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case name != "":
		s.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const pageSize = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := make([]storedObject, 0, len(s.objects[kind]))
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageSize
	respond(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, gone, changed := s.revision, after < s.dropped || after > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Meta struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil && len(raw) > 0 {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Meta.Name
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		if n, err := strconv.ParseUint(q, 10, 64); err == nil {
			body.Meta.Revision = &n
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	conflict := body.Meta.Revision != nil && *body.Meta.Revision != current.Meta.Revision
	switch r.Method {
	case http.MethodPost:
		if exists {
			respond(w, http.StatusConflict, current)
			return
		}
		respond(w, http.StatusOK, s.putLocked(kind, name, body.Spec))
	case http.MethodPut:
		switch {
		case !exists:
			w.WriteHeader(http.StatusNotFound)
		case conflict:
			respond(w, http.StatusConflict, current)
		default:
			respond(w, http.StatusOK, s.putLocked(kind, name, body.Spec))
		}
	case http.MethodDelete:
		switch {
		case !exists:
			w.WriteHeader(http.StatusNotFound)
		case conflict:
			respond(w, http.StatusConflict, current)
		default:
			s.removeLocked(kind, name)
			w.WriteHeader(http.StatusOK)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client may have gone.
}
