// Package routing decides which shards a request asks and under which terms: routes chosen by host
// and longest prefix, in tables that replace each other whole, by version.
package routing

import (
	"slices"
	"strings"
	"time"

	"hyssopcroft.example/query"
)

// Route is one rule of a table.
type Route struct {
	Name string
	// Host is compared without regard to case or port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// MaxAttempts is the number of targets of one shard that a request may be sent to.
	MaxAttempts int
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use to its caller.
	Objective time.Duration
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Gather is set if the answer is merged from parts of all Services. Otherwise one of Split answers.
	Gather   bool
	Services []string
	// Limit is the number of records in a merged answer.
	Limit int
	// MinCoverage is the share of the shards below which a merged answer is of no use.
	MinCoverage float64
	Split       []WeightedService
}

// WeightedService is one service of a split and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is what a table says of a service.
type Service struct {
	Name string
	// Connections is the largest number of connections that one of its targets accepts from all
	// callers together.
	Connections int
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routes. It does not change.
type Table struct {
	Version  query.Version
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string]map[string]*Route // by host, then by prefix
	services map[string]Service
}

// Index prepares the table for Match. It is to be called once, before the table is shared.
func (t *Table) Index() {
	t.hosts = map[string]map[string]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := normalHost(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	t.services = make(map[string]Service, len(t.Services))
	for _, s := range t.Services {
		t.services[s.Name] = s
	}
}

// Match returns the route of the host with the longest prefix of the path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[normalHost(host)]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
		path = path[:end]
	}
	return nil
}

// Service returns what the table says of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// MinShards returns the number of shards that a merged answer needs.
func (r *Route) MinShards() int {
	n := len(r.Services)
	least := 1
	// A share is a decimal fraction, so that counting up avoids the rounding of a product.
	for least < n && float64(least)/float64(n) < r.MinCoverage {
		least++
	}
	return least
}

func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Splitter spreads the requests of split routes by weight: the service that is furthest behind its
// share comes next (smooth weighted round robin), so that shares hold over short times too. It is not
// safe for concurrent use.
type Splitter struct {
	version query.Version
	behind  map[string][]float64 // by route, in the order of its parts
}

// Pick returns the service of the next request of a route, "" if the route names none.
func (s *Splitter) Pick(v query.Version, r *Route) string {
	switch len(r.Split) {
	case 0:
		return ""
	case 1:
		return r.Split[0].Service
	}
	if s.behind == nil || s.version != v {
		s.version, s.behind = v, map[string][]float64{}
	}
	behind := s.behind[r.Name]
	if len(behind) != len(r.Split) { // Two routes may have one name.
		behind = make([]float64, len(r.Split))
		s.behind[r.Name] = behind
	}
	total := 0.0
	for i, p := range r.Split {
		behind[i] += p.Weight
		total += p.Weight
	}
	next := slices.Index(behind, slices.Max(behind))
	behind[next] -= total
	return r.Split[next].Service
}
