// Package counters groups the expvar counters of one instance. Several instances can run in one
// process, so each set has its own HTTP handler instead of the global expvar registry.
package counters

import (
	"expvar"
	"net/http"
)

// Set holds the counters of one instance.
type Set struct {
	vars expvar.Map
}

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{}
	s.vars.Init()
	return s
}

// Counter returns the counter with the given name and creates it on first use.
func (s *Set) Counter(name string) *expvar.Int {
	s.vars.Add(name, 0)
	return s.vars.Get(name).(*expvar.Int)
}

// Func publishes the value that f returns, encoded as JSON.
func (s *Set) Func(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
}

// Value returns the current value of a counter, or 0 if there is no counter of that name.
func (s *Set) Value(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// ServeHTTP writes the set as one JSON object, in the format of expvar.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.vars.String()))
}
