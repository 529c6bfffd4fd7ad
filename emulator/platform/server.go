package platform

import (
	"cmp"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

const (
	// unnamedPurpose is the purpose under which calls without one are counted.
	unnamedPurpose api.Purpose = "unnamed"
	// timelineCapacity is the maximum number of events in a server's timeline.
	timelineCapacity = 4096
)

// Server serves a Store over HTTP. Besides the object API it serves /v1/faults, /v1/timeline and
// /debug/vars, which are neither subject to faults nor counted.
type Server struct {
	store    *Store
	counters *counters.Set
	faults   *fault.Switch[Faults]
	ring     *timeline.Ring
	router   chi.Router
}

// NewServer returns a server for a store.
func NewServer(store *Store) *Server {
	s := &Server{
		store: store, counters: counters.NewSet(), faults: fault.NewSwitch[Faults](), router: chi.NewRouter(),
		ring: timeline.NewRing("standins", timelineCapacity, hlc.New(time.Now)),
	}
	s.router.Group(func(r chi.Router) {
		r.Use(s.countCall, s.inject)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.put)
		r.Delete("/v1/objects/{kind}/{name}", s.delete)
		r.Get("/v1/watch/{kind}", s.watch)
		r.Get("/v1/instances", s.instances)
	})
	fault.Routes(s.router, s.faults, s.ring, "platform")
	s.router.Get("/v1/timeline", func(w http.ResponseWriter, _ *http.Request) {
		problem.WriteJSON(w, http.StatusOK, s.ring.Events())
	})
	s.router.Handle("/debug/vars", s.counters)
	return s
}

// SetFaults replaces the faults in force. It returns an error and changes nothing if a value is
// invalid.
func (s *Server) SetFaults(f Faults) error { return s.faults.Set(f) }

// Ring returns the timeline that the server serves. The other stand-ins of the process record their
// events in it too.
func (s *Server) Ring() *timeline.Ring { return s.ring }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Calls returns the counter of calls with a purpose.
func (s *Server) Calls(p api.Purpose) *expvar.Int { return s.counters.Counter("calls_" + string(p)) }

func (s *Server) countCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Calls(cmp.Or(purposeOf(r), unnamedPurpose)).Add(1)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	f := s.faultsFor(r)
	o, ok := s.store.Get(kind, name)
	if s.faults.Happens(f.StaleReads) {
		o, ok = s.store.GetStale(kind, name, time.Duration(f.StaleFor))
	}
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	problem.WriteJSON(w, http.StatusOK, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := expectedVersion(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttlMillis, _ := strconv.ParseInt(r.Header.Get(api.HeaderTTL), 10, 64) // An absent or invalid TTL means no expiry.
	ttl := time.Duration(ttlMillis) * time.Millisecond
	o, ok := s.store.Put(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), data, expected, ttl)
	if ok && ttl == 0 {
		s.recordWrite(o, "version "+strconv.FormatUint(uint64(o.Version), 10))
	}
	writeResult(w, o, ok)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, ok := s.store.Delete(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), expected)
	if ok {
		s.recordWrite(o, "deleted")
	}
	writeResult(w, o, ok)
}

// recordWrite records a write in the timeline, except for claims, which change with every request that
// may not be repeated.
func (s *Server) recordWrite(o api.Object, detail string) {
	if !strings.HasPrefix(o.Kind, "claim") {
		s.ring.Add("object_written", o.Kind+"/"+o.Name, detail)
	}
}

func writeResult(w http.ResponseWriter, o api.Object, applied bool) {
	if !applied {
		problem.WriteJSON(w, http.StatusConflict, o)
		return
	}
	o.Data = nil
	problem.WriteJSON(w, http.StatusOK, o)
}

func expectedVersion(r *http.Request) (api.Version, error) {
	v, err := strconv.ParseUint(r.Header.Get(api.HeaderIfVersion), 10, 64)
	return api.Version(v), err
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := time.Duration(waitMillis) * time.Millisecond
	ctx, cancel := s.cancelOnOutage(r)
	defer cancel()
	changes := s.store.Watch(ctx, chi.URLParam(r, "kind"), api.Version(after), wait)
	if after > 0 && len(changes.Objects) > 0 {
		delay(r.Context(), time.Duration(s.faultsFor(r).WatchDelay), false)
	}
	if f := s.faultsFor(r); f.Outage != OutageNone {
		simulateOutage(w, r, f.Outage)
		return
	}
	problem.WriteJSON(w, http.StatusOK, changes)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(s.faultsFor(r).InstanceLag)
	problem.WriteJSON(w, http.StatusOK, s.store.InstancesAt(time.Now().Add(-lag)))
}
