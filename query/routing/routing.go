// Package routing selects the services and the limits of a request: routes are matched by host and longest
// path prefix, in immutable tables of which each version replaces the one before as a whole.
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
	// Host is compared without case and port.
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Repeatable is set if a request may be executed more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of targets of one shard to which a request is sent.
	MaxAttempts int
	// Timeout is the maximum time until a caller gets a response.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value for the caller.
	Objective time.Duration
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Gather is set if the answer is merged from parts of all Services. Otherwise one service of Split answers.
	Gather   bool
	Services []string
	// Limit is the maximum number of records in a merged answer.
	Limit int
	// MinCoverage is the minimum share of the shards in a merged answer; below it the answer is useless.
	MinCoverage float64 `json:"LeastCoverage"`
	Split       []WeightedService
}

// WeightedService is a service of a split with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is the entry of a service in a table.
type Service struct {
	Name string
	// Connections is the maximum number of connections that one of its targets accepts from all callers
	// together.
	Connections int
}

// Limits bound the size of a caller's requests, the time for their headers and the idle time of its connections.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routes. It is immutable after Index.
type Table struct {
	Version  query.Version
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string]map[string]*Route // by host, then by prefix
	services map[string]Service
}

// Index builds the lookup maps for Match and Service. It must be called once, before the table is shared.
func (t *Table) Index() {
	t.hosts = map[string]map[string]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := CanonicalHost(r.Host)
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

// Match returns the route of the host with the longest matching prefix of the path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[CanonicalHost(host)]
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

// Service returns the entry of the named service, or false if the table has none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// MinShards returns the minimum number of shards in a merged answer.
func (r *Route) MinShards() int {
	n := len(r.Services)
	minShards := 1
	// MinCoverage is a decimal fraction, so that its product with n may be rounded up; counting avoids this.
	for minShards < n && float64(minShards)/float64(n) < r.MinCoverage {
		minShards++
	}
	return minShards
}

// CanonicalHost returns the host in lower case and without port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Splitter distributes the requests of split routes by weight with smooth weighted round robin: the service
// that is furthest below its share is next, so that the shares are also met over short times. It is not safe
// for concurrent use.
type Splitter struct {
	version query.Version
	weights map[string][]float64 // current weights by route, in the order of Route.Split
}

// Pick returns the service for the next request of a route, or "" if the route has none.
func (s *Splitter) Pick(v query.Version, r *Route) string {
	switch len(r.Split) {
	case 0:
		return ""
	case 1:
		return r.Split[0].Service
	}
	if s.weights == nil || s.version != v {
		s.version, s.weights = v, map[string][]float64{}
	}
	weights := s.weights[r.Name]
	if len(weights) != len(r.Split) { // Two routes may have the same name.
		weights = make([]float64, len(r.Split))
		s.weights[r.Name] = weights
	}
	total := 0.0
	for i, p := range r.Split {
		weights[i] += p.Weight
		total += p.Weight
	}
	next := slices.Index(weights, slices.Max(weights))
	weights[next] -= total
	return r.Split[next].Service
}
