// Package counters groups the expvar counters of one instance. Several instances can run in one
// process, so a set is published under its own handler and not in the global expvar registry.
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

// Counter returns the counter of the given name, which is created at its first use.
func (s *Set) Counter(name string) *expvar.Int {
	s.vars.Add(name, 0)
	return s.vars.Get(name).(*expvar.Int)
}

// Func publishes the JSON form of the value that f returns.
func (s *Set) Func(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
}

// Value returns the present value of a counter, 0 if it was never used.
func (s *Set) Value(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// ServeHTTP writes the set as one JSON object, in the format of expvar's own handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.vars.String()))
}
