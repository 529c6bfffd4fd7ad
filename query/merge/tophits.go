package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"hyssopcroft.example/query"
)

// topHits collects the best of the added hits, at most limit. The worst of them is at the root of the heap, so
// that a hit that is not better costs one comparison.
type topHits struct {
	limit int
	hits  hitHeap
}

func (t *topHits) add(hits []query.Hit) {
	for _, h := range hits {
		switch {
		case len(t.hits) < t.limit:
			heap.Push(&t.hits, h)
		case t.limit > 0 && compareHits(h, t.hits[0]) < 0:
			t.hits[0] = h
			heap.Fix(&t.hits, 0)
		}
	}
}

// sorted returns the hits in the order of an answer. It sorts the heap in place, so that no hit may be added
// afterwards.
func (t *topHits) sorted() []query.Hit {
	slices.SortFunc(t.hits, compareHits)
	return t.hits
}

// compareHits orders hits by descending score, then by ID and text so that the order does not depend on the
// order of arrival.
func compareHits(a, b query.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Text, b.Text))
}

// hitHeap implements heap.Interface.
type hitHeap []query.Hit

func (h hitHeap) Len() int           { return len(h) }
func (h hitHeap) Less(i, j int) bool { return compareHits(h[i], h[j]) > 0 }
func (h hitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *hitHeap) Push(x any)        { *h = append(*h, x.(query.Hit)) }
func (h *hitHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
