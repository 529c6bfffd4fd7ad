package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/routing"
)

func table() *routing.Table {
	t := &routing.Table{Routes: []routing.Route{
		{Name: "short", Host: "Shop.example", Prefix: "/a/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "other", Host: "desk.example", Prefix: "/a/"},
		{Name: "root", Host: "desk.example", Prefix: "/"},
	}}
	t.Index()
	return t
}

// Guards against a match with a shorter prefix, with another host's route, or with a prefix that ends within a
// path segment.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/a/x", "short"},
		{"SHOP.example:8080", "/a/b/x/y", "long"},
		{"shop.example", "/a/b/", "long"},
		{"shop.example", "/a/b", "short"},
		{"shop.example", "/a", ""},
		{"shop.example", "/ab/x", ""},
		{"shop.example", "", ""},
		{"desk.example", "/ab/x", "root"},
		{"unknown.example", "/a/x", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.want, got, c.host+c.path)
	}
}

// Guards against an answer with fewer shards than MinCoverage requires, and against a refused answer because
// the product of MinCoverage and the number of shards is rounded up.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {15, 0.89, 14}, {10, 0.75, 8}, {15, 0.75, 12}, {10, 0.7, 7}, {36, 0.95, 35}, {3, 0, 1}, {3, 1, 3}} {
		r := routing.Route{Services: make([]string, c.shards), MinCoverage: c.share}
		require.Equal(t, c.want, r.MinShards(), "%d shards at %v", c.shards, c.share)
	}
}

// Guards against a split that meets its shares only over a long time.
func TestSplitterIsSmooth(t *testing.T) {
	var s routing.Splitter
	r := &routing.Route{Name: "r", Split: []routing.WeightedService{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}}
	for range 5 {
		count := map[string]int{}
		for range 10 {
			count[s.Pick(1, r)]++
		}
		require.Equal(t, map[string]int{"a": 7, "b": 2, "c": 1}, count)
	}
}
