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
	// churnPublished is the number of versions whose maps stay published, churnHeld the number that a
	// target holds.
	churnPublished = 4
	churnHeld      = 3
	// Targets load a version within a time between these bounds; one in a hundred takes lateLoad more.
	fastestLoad   = 100 * time.Millisecond
	slowestLoad   = 800 * time.Millisecond
	lateLoad      = 2 * time.Second
	lateLoadShare = 0.01
	// longestWatch bounds the time until an instance learns of a published object.
	longestWatch = 100 * time.Millisecond
	// earlyDropShare is the share of targets that drop all but their newest version, each period.
	earlyDropShare = 0.01
	// withdrawEvery is the number of versions after which all targets drop all but the newest version
	// that every target holds, within withdrawTime.
	withdrawEvery = 10
	withdrawTime  = 50 * time.Millisecond
	// Each period one shard is split or two are merged with these probabilities.
	splitShare = 0.4
	mergeShare = 0.3
)

// churnSize gives the sizes of one case.
type churnSize struct {
	deployment  Deployment
	replicaSets int // shards at the first version
	connections int // limit of each target
	time        time.Duration
}

// churnReplicas is the number of targets in a replica set.
const churnReplicas = 3

// churnWorld is the truth about an index whose versions change: the published maps, and what each
// target holds. Only the targets and the oracle look at it.
type churnWorld struct {
	loop    *Loop
	source  *rand.Rand
	size    churnSize
	maps    []query.Map       // version v at v-1
	homes   [][][]query.Shard // shards of each replica set, by version as in maps
	next    query.Shard
	targets []*churnTarget
	byID    map[query.TargetID]*churnTarget
	learn   []func(maps []query.Map, targets []query.Target) // one per instance
}

// churnTarget is a searcher whose versions come and go.
type churnTarget struct {
	id     query.TargetID
	home   int // replica set
	domain int
	held   []query.Version // ascending
}

func newChurnWorld(loop *Loop, size churnSize, seed uint64) *churnWorld {
	w := &churnWorld{loop: loop, source: rand.New(rand.NewPCG(seed, 1)), size: size, byID: map[query.TargetID]*churnTarget{}}
	first := make([][]query.Shard, size.replicaSets)
	for home := range first {
		first[home] = []query.Shard{query.Shard(home)}
		for replica, domain := range w.source.Perm(len(size.deployment.FailureDomains))[:churnReplicas] {
			t := &churnTarget{
				id: query.TargetID(fmt.Sprintf("%d-%d", home, replica)), home: home, domain: domain, held: []query.Version{1},
			}
			w.targets = append(w.targets, t)
			w.byID[t.id] = t
		}
	}
	w.next = query.Shard(size.replicaSets)
	w.add(first)
	return w
}

// run publishes a version each period until end.
func (w *churnWorld) run(end time.Time) {
	w.announce()
	var tick func()
	tick = func() {
		if w.loop.Now().After(end) {
			return
		}
		w.add(w.repartition())
		w.announce()
		w.load(query.Version(len(w.maps)))
		w.dropEarly()
		if len(w.maps)%withdrawEvery == 0 {
			w.withdraw()
		}
		w.loop.After(churnPeriod, tick)
	}
	w.loop.After(churnPeriod, tick)
}

// repartition splits a shard, or merges two of one replica set, or leaves all as they are.
func (w *churnWorld) repartition() [][]query.Shard {
	homes := slices.Clone(w.homes[len(w.homes)-1])
	home := w.source.IntN(len(homes))
	shards := homes[home]
	switch p := w.source.Float64(); {
	case p < splitShare:
		homes[home] = append(slices.Clone(shards[1:]), w.next, w.next+1)
		w.next += 2
	case p < splitShare+mergeShare && len(shards) > 1:
		homes[home] = append(slices.Clone(shards[2:]), w.next)
		w.next++
	}
	return homes
}

func (w *churnWorld) add(homes [][]query.Shard) {
	m := query.Map{Version: query.Version(len(w.maps) + 1)}
	for _, shards := range homes {
		m.Shards = append(m.Shards, shards...)
	}
	w.homes = append(w.homes, homes)
	w.maps = append(w.maps, m)
}

// mapAt returns the map of a version.
func (w *churnWorld) mapAt(v query.Version) (query.Map, bool) {
	if v < 1 || int(v) > len(w.maps) {
		return query.Map{}, false
	}
	return w.maps[v-1], true
}

// announce tells the instances the published maps and the shards that targets serve in them.
func (w *churnWorld) announce() {
	from := max(0, len(w.maps)-churnPublished)
	serves := make([][]query.Shard, w.size.replicaSets)
	for _, homes := range w.homes[from:] {
		for home, shards := range homes {
			serves[home] = append(serves[home], shards...)
		}
	}
	targets := make([]query.Target, 0, len(w.targets))
	for _, t := range w.targets {
		shards := slices.Clone(serves[t.home])
		slices.Sort(shards)
		targets = append(targets, query.Target{
			ID: t.id, FailureDomain: w.size.deployment.FailureDomains[t.domain], Index: churnIndex,
			Shards: slices.Compact(shards), Connections: w.size.connections,
		})
	}
	for _, learn := range w.learn {
		w.loop.After(w.upTo(longestWatch), func() { learn(w.maps[from:], nil) })
		w.loop.After(w.upTo(longestWatch), func() { learn(nil, targets) })
	}
}

func (w *churnWorld) upTo(d time.Duration) time.Duration {
	return time.Duration(w.source.Int64N(int64(d)))
}

// load makes every target load a version in its own time and drop the oldest one then.
func (w *churnWorld) load(v query.Version) {
	for _, t := range w.targets {
		after := fastestLoad + w.upTo(slowestLoad-fastestLoad)
		if w.source.Float64() < lateLoadShare {
			after += lateLoad
		}
		w.loop.After(after, func() {
			t.held = append(t.held, v)
			slices.Sort(t.held)
			t.held = slices.Clone(t.held[max(0, len(t.held)-churnHeld):])
		})
	}
}

// dropEarly makes a few targets drop all but their newest version.
func (w *churnWorld) dropEarly() {
	for _, t := range w.targets {
		if w.source.Float64() < earlyDropShare {
			t.held = slices.Clone(t.held[len(t.held)-1:])
		}
	}
}

// withdraw makes all targets drop the versions before the newest one that all hold.
func (w *churnWorld) withdraw() {
	oldest := query.Version(len(w.maps))
	for _, t := range w.targets {
		oldest = min(oldest, t.held[len(t.held)-1])
	}
	for _, t := range w.targets {
		w.loop.After(w.upTo(withdrawTime), func() {
			t.held = slices.DeleteFunc(slices.Clone(t.held), func(v query.Version) bool { return v < oldest })
		})
	}
}

// serve returns what a target says to an attempt now.
func (w *churnWorld) serve(t *churnTarget, s query.Shard, v query.Version) query.Outcome {
	if !slices.Contains(t.held, v) {
		return query.OutcomeSnapshotGone
	}
	if !slices.Contains(w.homes[v-1][t.home], s) {
		return query.OutcomeWrongShard
	}
	return query.OutcomeAnswered
}
