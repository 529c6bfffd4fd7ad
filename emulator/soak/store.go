package soak

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

// object is a stored object as it is encoded for clients.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// store is a stand-in for the platform's store with the operations list, watch, create and replace. It keeps a short
// history, so that slow watchers have to read the list again.
type store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]object
	history  []change      // the latest changes, one for each revision
	changed  chan struct{} // closed and replaced by each change
	down     bool          // answers every request with 503
	era      uint64        // the number of restores
	writes   []write       // the latest writes, which a restore loses
}

// write is a write that a restore can undo.
type write struct {
	at         time.Time
	kind, name string
	previous   *object // nil if there was none
}

// maxHistory is the number of changes that a watch may lag behind.
const maxHistory = 40

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{}), revision: 1}
}

// put stores an object, or deletes it if spec is nil.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // unreachable: all specs can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw, spec == nil)
}

func (s *store) putLocked(kind, name string, raw json.RawMessage, deleted bool) {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	w := write{at: time.Now(), kind: kind, name: name}
	if previous, ok := s.objects[kind][name]; ok {
		w.previous = &previous
	}
	s.writes = append(s.writes, w)
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: raw}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, change{kind, o, deleted})
	s.history = s.history[max(0, len(s.history)-maxHistory):]
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the content by a copy of the given age. It returns a function that writes again what the operator and
// the searchers have written since.
func (s *store) restore(age time.Duration) (writeAgain func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type key struct{ kind, name string }
	lost := map[key]*object{}
	for n := len(s.writes) - 1; n >= 0 && time.Since(s.writes[n].at) < age; n-- {
		w := s.writes[n]
		if _, seen := lost[key{w.kind, w.name}]; !seen {
			lost[key{w.kind, w.name}] = nil
			if latest, ok := s.objects[w.kind][w.name]; ok {
				lost[key{w.kind, w.name}] = &latest
			}
		}
		delete(s.objects[w.kind], w.name)
		if w.previous != nil {
			s.objects[w.kind][w.name] = *w.previous
		}
		s.writes = s.writes[:n]
		s.revision--
	}
	s.era++
	s.history = slices.DeleteFunc(s.history, func(c change) bool { return c.object.Meta.Revision > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
	return func() {
		for k, o := range lost {
			if k.kind != "config" && k.kind != "servers" {
				continue
			}
			s.mu.Lock()
			if o == nil {
				s.putLocked(k.kind, k.name, nil, true)
			} else {
				s.putLocked(k.kind, k.name, o.Spec, false)
			}
			s.mu.Unlock()
		}
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case hasName:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	// A revision in the request is a precondition even if it is 0, hence the pointer.
	var condition struct {
		Meta struct {
			Revision *uint64 `json:"revision"`
		} `json:"meta"`
	}
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err == nil {
		err = json.Unmarshal(raw, &condition)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][o.Meta.Name]
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists,
		condition.Meta.Revision != nil && *condition.Meta.Revision != current.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
	default:
		s.putLocked(kind, o.Meta.Name, o.Spec, false)
		respond(w, s.objects[kind][o.Meta.Name])
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	respond(w, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := w.Header().Get("Store-Era")
	for {
		events, at, changed, gone := s.eventsSince(kind, after, era)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes to a kind after a revision, the current revision, and a channel that is closed by the
// next change. gone is true if the history no longer has all changes after the revision, or the era has ended.
func (s *store) eventsSince(kind string, after uint64, era string) (events []map[string]any, at uint64, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.revision - uint64(len(s.history))
	events = []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Meta.Revision > after {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	gone = after < oldest || after > s.revision || era != strconv.FormatUint(s.era, 10)
	return events, s.revision, s.changed, gone
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected.
}
