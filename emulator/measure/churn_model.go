package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

const (
	// churnPeriod is the time between two versions of the index.
	churnPeriod = time.Second
	// churnPublishedVersions is the number of versions whose maps stay published, churnHeld the number that a
	// target holds.
	churnPublishedVersions = 4
	churnHeldVersions      = 3
	// Targets load a version within a time between these bounds; one in a hundred takes lateLoad more.
	minLoadTime   = 100 * time.Millisecond
	maxLoadTime   = 800 * time.Millisecond
	lateLoadDelay = 2 * time.Second
	lateLoadShare = 0.01
	// maxWatchDelay bounds the time until an instance learns of a published object.
	maxWatchDelay = 100 * time.Millisecond
	// earlyDropShare is the share of targets that drop all but their newest version, each period.
	earlyDropShare = 0.01
	// withdrawInterval is the number of versions after which all targets drop all but the newest version
	// that every target holds, within withdrawTime.
	withdrawInterval = 10
	maxWithdrawDelay = 50 * time.Millisecond
	// Each period one shard is split or two are merged with these probabilities.
	splitProbability = 0.4
	mergeProbability = 0.3
)

// churnSize gives the sizes of one case.
type churnSize struct {
	deployment  Deployment
	replicaSets int // shards at the first version
	connections int // limit of each target
	duration    time.Duration
}

// churnReplicas is the number of targets in a replica set.
const churnReplicas = 3

// churnModel is the truth about an index whose versions change: the published maps, and what each
// target holds. Only the targets and the oracle look at it.
type churnModel struct {
	loop        *Loop
	source      *rand.Rand
	size        churnSize
	maps        []query.Map       // version v at v-1
	layouts     [][][]query.Shard // shards of each replica set, by version as in maps
	nextShard   query.Shard
	targets     []*churnTarget
	byID        map[query.TargetID]*churnTarget
	subscribers []func(maps []query.Map, targets []query.Target) // one per instance
}

// churnTarget is a searcher whose versions come and go.
type churnTarget struct {
	id         query.TargetID
	replicaSet int // replica set
	domain     int
	held       []query.Version // ascending
}

func newChurnModel(loop *Loop, size churnSize, seed uint64) *churnModel {
	w := &churnModel{loop: loop, source: rand.New(rand.NewPCG(seed, 1)), size: size, byID: map[query.TargetID]*churnTarget{}}
	first := make([][]query.Shard, size.replicaSets)
	for replicaSet := range first {
		first[replicaSet] = []query.Shard{query.Shard(replicaSet)}
		for replica, domain := range w.source.Perm(len(size.deployment.FailureDomains))[:churnReplicas] {
			t := &churnTarget{
				id: query.TargetID(fmt.Sprintf("%d-%d", replicaSet, replica)), replicaSet: replicaSet, domain: domain, held: []query.Version{1},
			}
			w.targets = append(w.targets, t)
			w.byID[t.id] = t
		}
	}
	w.nextShard = query.Shard(size.replicaSets)
	w.addVersion(first)
	return w
}

// run publishes a version each period until end.
func (w *churnModel) run(end time.Time) {
	w.publish()
	var tick func()
	tick = func() {
		if w.loop.Now().After(end) {
			return
		}
		w.addVersion(w.repartition())
		w.publish()
		w.loadVersion(query.Version(len(w.maps)))
		w.dropEarly()
		if len(w.maps)%withdrawInterval == 0 {
			w.withdrawOld()
		}
		w.loop.After(churnPeriod, tick)
	}
	w.loop.After(churnPeriod, tick)
}

// repartition splits a shard, or merges two of one replica set, or leaves all as they are.
func (w *churnModel) repartition() [][]query.Shard {
	layout := slices.Clone(w.layouts[len(w.layouts)-1])
	replicaSet := w.source.IntN(len(layout))
	shards := layout[replicaSet]
	switch p := w.source.Float64(); {
	case p < splitProbability:
		layout[replicaSet] = append(slices.Clone(shards[1:]), w.nextShard, w.nextShard+1)
		w.nextShard += 2
	case p < splitProbability+mergeProbability && len(shards) > 1:
		layout[replicaSet] = append(slices.Clone(shards[2:]), w.nextShard)
		w.nextShard++
	}
	return layout
}

func (w *churnModel) addVersion(layout [][]query.Shard) {
	m := query.Map{Version: query.Version(len(w.maps) + 1)}
	for _, shards := range layout {
		m.Shards = append(m.Shards, shards...)
	}
	w.layouts = append(w.layouts, layout)
	w.maps = append(w.maps, m)
}

// mapAt returns the map of a version.
func (w *churnModel) mapAt(v query.Version) (query.Map, bool) {
	if v < 1 || int(v) > len(w.maps) {
		return query.Map{}, false
	}
	return w.maps[v-1], true
}

// publish tells the instances the published maps and the shards that targets serve in them.
func (w *churnModel) publish() {
	from := max(0, len(w.maps)-churnPublishedVersions)
	serves := make([][]query.Shard, w.size.replicaSets)
	for _, layout := range w.layouts[from:] {
		for replicaSet, shards := range layout {
			serves[replicaSet] = append(serves[replicaSet], shards...)
		}
	}
	targets := make([]query.Target, 0, len(w.targets))
	for _, t := range w.targets {
		shards := slices.Clone(serves[t.replicaSet])
		slices.Sort(shards)
		targets = append(targets, query.Target{
			ID: t.id, FailureDomain: w.size.deployment.FailureDomains[t.domain], Index: churnIndex,
			Shards: slices.Compact(shards), Connections: w.size.connections,
		})
	}
	for _, learn := range w.subscribers {
		w.loop.After(w.randomUpTo(maxWatchDelay), func() { learn(w.maps[from:], nil) })
		w.loop.After(w.randomUpTo(maxWatchDelay), func() { learn(nil, targets) })
	}
}

func (w *churnModel) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.source.Int64N(int64(d)))
}

// loadVersion makes every target load a version in its own time and drop the oldest one then.
func (w *churnModel) loadVersion(v query.Version) {
	for _, t := range w.targets {
		after := minLoadTime + w.randomUpTo(maxLoadTime-minLoadTime)
		if w.source.Float64() < lateLoadShare {
			after += lateLoadDelay
		}
		w.loop.After(after, func() {
			t.held = append(t.held, v)
			slices.Sort(t.held)
			t.held = slices.Clone(t.held[max(0, len(t.held)-churnHeldVersions):])
		})
	}
}

// dropEarly makes a few targets drop all but their newest version.
func (w *churnModel) dropEarly() {
	for _, t := range w.targets {
		if w.source.Float64() < earlyDropShare {
			t.held = slices.Clone(t.held[len(t.held)-1:])
		}
	}
}

// withdrawOld makes all targets drop the versions before the newest one that all hold.
func (w *churnModel) withdrawOld() {
	oldest := query.Version(len(w.maps))
	for _, t := range w.targets {
		oldest = min(oldest, t.held[len(t.held)-1])
	}
	for _, t := range w.targets {
		w.loop.After(w.randomUpTo(maxWithdrawDelay), func() {
			t.held = slices.DeleteFunc(slices.Clone(t.held), func(v query.Version) bool { return v < oldest })
		})
	}
}

// outcome returns what a target says to an attempt now.
func (w *churnModel) outcome(t *churnTarget, s query.Shard, v query.Version) query.Outcome {
	if !slices.Contains(t.held, v) {
		return query.OutcomeSnapshotGone
	}
	if !slices.Contains(w.layouts[v-1][t.replicaSet], s) {
		return query.OutcomeWrongShard
	}
	return query.OutcomeAnswered
}
