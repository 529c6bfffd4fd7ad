package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
)

// Guards against an oracle that accepts a mixed answer or false coverage.
func TestChurnOracle(t *testing.T) {
	size := churnSize{deployment: wideDeployment(7), replicaSets: 3, connections: 25, duration: time.Second}
	r := newChurnRun(size, 1, false, false)
	const id query.RequestID = 9
	hit := func(v query.Version, s query.Shard) query.Hit { return query.Hit{ID: churnHit(id, v, s)} }
	all := []query.Shard{0, 1, 2}
	hits := []query.Hit{hit(1, 0), hit(1, 1), hit(1, 2)}
	cases := []struct {
		name                        string
		hits                        []query.Hit
		included                    []query.Shard
		missing                     []query.MissingShard
		wantMixed, wantTrueCoverage bool
	}{
		{"correct", hits, all, nil, false, true},
		{"correct without a shard", hits[:2], all[:2], []query.MissingShard{{Shard: 2}}, false, true},
		{"hit of another version", []query.Hit{hit(1, 0), hit(1, 1), hit(2, 2)}, all, nil, true, false},
		{"included without its hit", hits[:2], all, nil, false, false},
		{"missing with a hit", hits, all[:2], []query.MissingShard{{Shard: 2}}, false, false},
		{"shard left out", hits[:2], all[:2], nil, false, false},
		{"half of a split shard", []query.Hit{hit(1, 0), hit(1, 1), hit(1, 3)}, []query.Shard{0, 1, 3}, nil, false, false},
		{"shard twice", append(hits[:2:2], hit(1, 1)), []query.Shard{0, 1, 1}, nil, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := query.Answer{Request: id, Snapshot: 1, Hits: c.hits, Coverage: query.Coverage{Included: c.included, Missing: c.missing}}
			require.Equal(t, c.wantMixed, hasMixedHits(id, a))
			require.Equal(t, c.wantTrueCoverage, r.hasTrueCoverage(id, a))
		})
	}
}

// Guards against mixed answers over two levels with crossed replies, and against runs that are not
// reproducible.
func TestChurnOverTwoLevelsIsConsistentAndReproducible(t *testing.T) {
	size := churnSize{deployment: wideDeployment(14), replicaSets: 20, connections: 8, duration: 12 * time.Second}
	figures := newChurnRun(size, 4, false, true).run()
	require.Positive(t, figures["answers"])
	require.Zero(t, figures["mixed_answers"])
	require.Zero(t, figures["false_coverage"])
	size.duration = 4 * time.Second
	require.Equal(t, newChurnRun(size, 4, false, true).run(), newChurnRun(size, 4, false, true).run())
}
