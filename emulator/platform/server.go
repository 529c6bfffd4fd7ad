package platform

import (
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel/counters"
)

// Server serves a Store over HTTP.
type Server struct {
	store    *Store
	counters *counters.Set
	router   chi.Router
}

// NewServer returns a server for a store.
func NewServer(store *Store) *Server {
	s := &Server{store: store, counters: counters.NewSet(), router: chi.NewRouter()}
	s.router.Use(s.count)
	s.router.Get("/v1/objects/{kind}/{name}", s.get)
	s.router.Put("/v1/objects/{kind}/{name}", s.put)
	s.router.Delete("/v1/objects/{kind}/{name}", s.delete)
	s.router.Get("/v1/watch/{kind}", s.watch)
	s.router.Get("/v1/instances", s.instances)
	s.router.Handle("/debug/vars", s.counters)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Calls returns the counter of calls with a purpose.
func (s *Server) Calls(p api.Purpose) *expvar.Int { return s.counters.Counter("calls_" + string(p)) }

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p := r.Header.Get(api.HeaderPurpose); p != "" {
			s.Calls(api.Purpose(p)).Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.store.Get(chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
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
	ttlMillis, _ := strconv.ParseInt(r.Header.Get(api.HeaderTTL), 10, 64) // absent or bad: no expiry
	ttl := time.Duration(ttlMillis) * time.Millisecond
	o, ok := s.store.Put(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), data, expected, ttl)
	respond(w, o, ok)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, ok := s.store.Delete(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), expected)
	respond(w, o, ok)
}

func respond(w http.ResponseWriter, o api.Object, ok bool) {
	if !ok {
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
	problem.WriteJSON(w, http.StatusOK, s.store.Watch(r.Context(), chi.URLParam(r, "kind"), api.Version(after), wait))
}

func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	problem.WriteJSON(w, http.StatusOK, s.store.Instances())
}
