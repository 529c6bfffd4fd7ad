package merge_test

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

// TestMain fixes the seed of the property tests, so that runs are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	testRequest  query.RequestID = 7
	testSnapshot query.Version   = 3
)

var shards = rapid.SliceOfDistinct(rapid.Map(rapid.Uint32Range(0, 12), func(n uint32) query.Shard { return query.Shard(n) }), rapid.ID)

var hits = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) query.Hit {
	return query.Hit{ID: rapid.StringMatching("[a-c]{1,2}").Draw(t, "id"), Score: float64(rapid.IntRange(0, 4).Draw(t, "score"))}
}), 0, 6)

func noCause(query.Shard) query.Cause { return query.CauseTimeout }

// expected is the reference implementation: it sorts all hits.
func expected(all []query.Hit, limit int) []query.Hit {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b query.Hit) int { return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID)) })
	return all[:min(limit, len(all))]
}

// checkRandomOffers offers parts and partial answers, most of them invalid, and compares the answer with that
// of a model that stores every accepted part.
func checkRandomOffers(t *rapid.T) {
	asked := shards.Draw(t, "map")
	limit := rapid.IntRange(0, 8).Draw(t, "limit")
	m := merge.New(testRequest, testSnapshot, asked, limit)
	var covered []query.Shard
	var all []query.Hit
	matches := func(r query.RequestID, v query.Version, list []query.Shard) bool {
		return r == testRequest && v == testSnapshot && !slices.ContainsFunc(list, func(s query.Shard) bool {
			return !slices.Contains(asked, s) || slices.Contains(covered, s)
		})
	}
	for range rapid.IntRange(0, 12).Draw(t, "offers") {
		request := testRequest + query.RequestID(rapid.IntRange(0, 9).Draw(t, "request")/9)
		snapshot := testSnapshot + query.Version(rapid.IntRange(0, 9).Draw(t, "snapshot")/9)
		offered := hits.Draw(t, "hits")
		var want bool
		var verdict merge.Verdict
		var included []query.Shard
		if rapid.Bool().Draw(t, "partial") {
			group, returned := shards.Draw(t, "group"), shards.Draw(t, "returned")
			if rapid.Bool().Draw(t, "honest") {
				returned = group
			}
			cut := rapid.IntRange(0, len(returned)).Draw(t, "cut")
			included = returned[:cut]
			p := query.Answer{Request: request, Snapshot: snapshot, Hits: offered, Coverage: query.Coverage{Included: included}}
			for _, s := range returned[cut:] {
				p.Coverage.Missing = append(p.Coverage.Missing, query.MissingShard{Shard: s, Cause: query.CauseShed})
			}
			same := slices.Equal(slices.Sorted(slices.Values(group)), slices.Sorted(slices.Values(returned)))
			want = matches(request, snapshot, returned) && same && (cut > 0 || len(offered) == 0)
			verdict = m.OfferPartial(p, group)
		} else {
			included = []query.Shard{query.Shard(rapid.Uint32Range(0, 14).Draw(t, "shard"))}
			want = matches(request, snapshot, included)
			verdict = m.Offer(query.Reply{Request: request, Snapshot: snapshot, Shard: included[0], Hits: offered})
		}
		require.Equal(t, want, verdict == merge.Accepted, "verdict %s", verdict)
		if want {
			covered = append(covered, included...)
			all = append(all, offered...)
		}
	}
	checkAnswer(t, m, asked, covered, expected(all, limit))
}

func checkAnswer(t *rapid.T, m *merge.Merger, asked, covered []query.Shard, want []query.Hit) {
	require.Equal(t, len(covered) == len(asked), m.Complete())
	a := m.Finish("ledger", noCause)
	require.ElementsMatch(t, covered, a.Coverage.Included)
	require.ElementsMatch(t, want, a.Hits)
	require.True(t, slices.EqualFunc(want, a.Hits, func(x, y query.Hit) bool { return x == y }), "order of hits")
	all := slices.Clone(a.Coverage.Included)
	for _, s := range a.Coverage.Missing {
		all = append(all, s.Shard)
	}
	require.ElementsMatch(t, asked, all)
	require.True(t, slices.IsSorted(a.Coverage.Included))
}

// Guards against answers with wrong hits or false coverage, for any sequence of offers.
func TestAnswerConsistsOfAcceptedParts(t *testing.T) { rapid.Check(t, checkRandomOffers) }

// FuzzMerge searches for inputs that violate the same property.
func FuzzMerge(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkRandomOffers)) }

// Guards against a difference between an answer merged over two levels and one merged directly.
func TestTwoLevelsEqualOneLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := shards.Draw(t, "map")
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		cut := rapid.IntRange(0, len(asked)).Draw(t, "cut")
		flat := merge.New(testRequest, testSnapshot, asked, limit)
		top := merge.New(testRequest, testSnapshot, asked, limit)
		for _, group := range [][]query.Shard{asked[cut:], asked[:cut]} {
			relay := merge.New(testRequest, testSnapshot, group, limit)
			for _, s := range group {
				r := query.Reply{Request: testRequest, Snapshot: testSnapshot, Shard: s, Hits: hits.Draw(t, "hits")}
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					require.Equal(t, merge.Accepted, flat.Offer(r))
					require.Equal(t, merge.Accepted, relay.Offer(r))
				}
			}
			require.Equal(t, merge.Accepted, top.OfferPartial(relay.Finish("ledger", noCause), group))
		}
		want, got := flat.Finish("ledger", noCause), top.Finish("ledger", noCause)
		require.Equal(t, want.Coverage, got.Coverage)
		require.ElementsMatch(t, want.Hits, got.Hits)
	})
}

// Guards against refusals with a wrong verdict, which the counters would report.
func TestVerdicts(t *testing.T) {
	included := func(list ...query.Shard) query.Answer {
		return query.Answer{Request: testRequest, Snapshot: testSnapshot, Coverage: query.Coverage{Included: list}}
	}
	old, other := included(1, 2), included(1, 2)
	old.Snapshot, other.Request = testSnapshot-1, testRequest+1
	cases := []struct {
		want  merge.Verdict
		part  query.Answer
		asked []query.Shard
	}{
		{merge.WrongSnapshot, old, []query.Shard{1, 2}},
		{merge.WrongRequest, other, []query.Shard{1, 2}},
		{merge.UnknownShard, included(1, 21), []query.Shard{1, 2}},
		{merge.Duplicate, included(1, 1), []query.Shard{1, 2}},
		{merge.Duplicate, included(1, 9), []query.Shard{1, 9}},
		{merge.NotRequested, included(1, 3), []query.Shard{1, 2}},
		{merge.Unaccounted, included(1), []query.Shard{1, 2}},
		{merge.Accepted, included(1, 2), []query.Shard{1, 2}},
	}
	for _, c := range cases {
		m := merge.New(testRequest, testSnapshot, []query.Shard{1, 2, 3, 9}, 10)
		require.Equal(t, merge.Accepted, m.Offer(query.Reply{Request: testRequest, Snapshot: testSnapshot, Shard: 9}))
		require.Equal(t, c.want, m.OfferPartial(c.part, c.asked), "%v", c.part)
	}
}
