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
	// churnPublishedVersions is the number of versions whose maps stay published, churnHeldVersions the
	// maximum number that a target holds.
	churnPublishedVersions = 4
	churnHeldVersions      = 3
	// A target takes a time between these bounds to load a version, plus lateLoadDelay with the probability
	// lateLoadShare.
	minLoadTime   = 100 * time.Millisecond
	maxLoadTime   = 800 * time.Millisecond
	lateLoadDelay = 2 * time.Second
	lateLoadShare = 0.01
	// maxWatchDelay bounds the delay until an instance receives a published object.
	maxWatchDelay = 100 * time.Millisecond
	// earlyDropShare is the share of targets that drop all but their newest version in each period.
	earlyDropShare = 0.01
	// withdrawInterval is the number of versions after which all targets drop old versions, each within
	// maxWithdrawDelay.
	withdrawInterval = 10
	maxWithdrawDelay = 50 * time.Millisecond
	// In each period one shard is split or two are merged with these probabilities.
	splitProbability = 0.4
	mergeProbability = 0.3
)

// churnSize holds the sizes of one case.
type churnSize struct {
	deployment  Deployment
	replicaSets int // also the number of shards at the first version
	connections int // connection limit of each target
	duration    time.Duration
}

// churnReplicas is the number of targets in a replica set.
const churnReplicas = 3

// churnModel is the true state of an index whose versions change: the published maps and the versions
// that each target holds. Only the targets and the oracle read it directly.
type churnModel struct {
	loop        *Loop
	source      *rand.Rand
	size        churnSize
	maps        []query.Map       // version v is at v-1
	layouts     [][][]query.Shard // shards of each replica set; version v is at v-1
	nextShard   query.Shard
	targets     []*churnTarget
	byID        map[query.TargetID]*churnTarget
	subscribers []func(maps []query.Map, targets []query.Target) // one per instance
}

// churnTarget is a searcher that loads and drops versions.
type churnTarget struct {
	id         query.TargetID
	replicaSet int // position of its replica set
	domain     int
	held       []query.Version // ascending
}

func newChurnModel(loop *Loop, size churnSize, seed uint64) *churnModel {
	m := &churnModel{loop: loop, source: rand.New(rand.NewPCG(seed, 1)), size: size, byID: map[query.TargetID]*churnTarget{}}
	first := make([][]query.Shard, size.replicaSets)
	for replicaSet := range first {
		first[replicaSet] = []query.Shard{query.Shard(replicaSet)}
		for replica, domain := range m.source.Perm(len(size.deployment.FailureDomains))[:churnReplicas] {
			t := &churnTarget{
				id: query.TargetID(fmt.Sprintf("%d-%d", replicaSet, replica)), replicaSet: replicaSet, domain: domain, held: []query.Version{1},
			}
			m.targets = append(m.targets, t)
			m.byID[t.id] = t
		}
	}
	m.nextShard = query.Shard(size.replicaSets)
	m.addVersion(first)
	return m
}

// run publishes a version each period until end.
func (m *churnModel) run(end time.Time) {
	m.publish()
	var tick func()
	tick = func() {
		if m.loop.Now().After(end) {
			return
		}
		m.addVersion(m.repartition())
		m.publish()
		m.loadVersion(query.Version(len(m.maps)))
		m.dropEarly()
		if len(m.maps)%withdrawInterval == 0 {
			m.withdrawOld()
		}
		m.loop.After(churnPeriod, tick)
	}
	m.loop.After(churnPeriod, tick)
}

// repartition returns the next layout: one shard split, two shards of one replica set merged, or no change.
func (m *churnModel) repartition() [][]query.Shard {
	layout := slices.Clone(m.layouts[len(m.layouts)-1])
	replicaSet := m.source.IntN(len(layout))
	shards := layout[replicaSet]
	switch p := m.source.Float64(); {
	case p < splitProbability:
		layout[replicaSet] = append(slices.Clone(shards[1:]), m.nextShard, m.nextShard+1)
		m.nextShard += 2
	case p < splitProbability+mergeProbability && len(shards) > 1:
		layout[replicaSet] = append(slices.Clone(shards[2:]), m.nextShard)
		m.nextShard++
	}
	return layout
}

func (m *churnModel) addVersion(layout [][]query.Shard) {
	shardMap := query.Map{Version: query.Version(len(m.maps) + 1)}
	for _, shards := range layout {
		shardMap.Shards = append(shardMap.Shards, shards...)
	}
	m.layouts = append(m.layouts, layout)
	m.maps = append(m.maps, shardMap)
}

// mapAt returns the map of a version.
func (m *churnModel) mapAt(v query.Version) (query.Map, bool) {
	if v < 1 || int(v) > len(m.maps) {
		return query.Map{}, false
	}
	return m.maps[v-1], true
}

// publish sends the published maps, and the targets with the shards that they serve in these maps, to the
// instances.
func (m *churnModel) publish() {
	from := max(0, len(m.maps)-churnPublishedVersions)
	serves := make([][]query.Shard, m.size.replicaSets)
	for _, layout := range m.layouts[from:] {
		for replicaSet, shards := range layout {
			serves[replicaSet] = append(serves[replicaSet], shards...)
		}
	}
	targets := make([]query.Target, 0, len(m.targets))
	for _, t := range m.targets {
		shards := slices.Clone(serves[t.replicaSet])
		slices.Sort(shards)
		targets = append(targets, query.Target{
			ID: t.id, FailureDomain: m.size.deployment.FailureDomains[t.domain], Index: churnIndex,
			Shards: slices.Compact(shards), Connections: m.size.connections,
		})
	}
	for _, learn := range m.subscribers {
		m.loop.After(m.randomUpTo(maxWatchDelay), func() { learn(m.maps[from:], nil) })
		m.loop.After(m.randomUpTo(maxWatchDelay), func() { learn(nil, targets) })
	}
}

func (m *churnModel) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(m.source.Int64N(int64(d)))
}

// loadVersion makes every target load a version after a random delay and then drop the versions beyond
// churnHeldVersions.
func (m *churnModel) loadVersion(v query.Version) {
	for _, t := range m.targets {
		after := minLoadTime + m.randomUpTo(maxLoadTime-minLoadTime)
		if m.source.Float64() < lateLoadShare {
			after += lateLoadDelay
		}
		m.loop.After(after, func() {
			t.held = append(t.held, v)
			slices.Sort(t.held)
			t.held = slices.Clone(t.held[max(0, len(t.held)-churnHeldVersions):])
		})
	}
}

// dropEarly makes a share of the targets drop all but their newest version.
func (m *churnModel) dropEarly() {
	for _, t := range m.targets {
		if m.source.Float64() < earlyDropShare {
			t.held = slices.Clone(t.held[len(t.held)-1:])
		}
	}
}

// withdrawOld makes all targets drop the versions before the minimum of their newest versions.
func (m *churnModel) withdrawOld() {
	oldest := query.Version(len(m.maps))
	for _, t := range m.targets {
		oldest = min(oldest, t.held[len(t.held)-1])
	}
	for _, t := range m.targets {
		m.loop.After(m.randomUpTo(maxWithdrawDelay), func() {
			t.held = slices.DeleteFunc(slices.Clone(t.held), func(v query.Version) bool { return v < oldest })
		})
	}
}

// outcome returns the outcome of an attempt at a target now.
func (m *churnModel) outcome(t *churnTarget, s query.Shard, v query.Version) query.Outcome {
	if !slices.Contains(t.held, v) {
		return query.OutcomeSnapshotGone
	}
	if !slices.Contains(m.layouts[v-1][t.replicaSet], s) {
		return query.OutcomeWrongShard
	}
	return query.OutcomeAnswered
}
