package measure

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/latency"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// churnInstance models an instance that uses the decision packages of the entry and relay services.
type churnInstance struct {
	run    *churnRun
	id     string
	domain int
	source *rand.Rand

	maps           []query.Map
	targets        []query.Target
	snapshots      snapshot.Chooser // observes targets, or groups over two levels
	localSnapshots snapshot.Chooser // observes targets
	pool           *scatter.Pool
	random         *replica.Random // of the baseline
	placementIndex *placement.Index
	latencies      *latency.Window
	returnDelays   *latency.Window
	hedgeDelay     *hedge.Delay
	hedgeBudget    hedge.Budget

	lastAttempt query.AttemptID
	silentUntil time.Time // as a relay
	lastChosen  query.Version
}

func newChurnInstance(r *churnRun, id string, domain int) *churnInstance {
	source := rand.New(rand.NewPCG(r.source.Uint64(), r.source.Uint64()))
	return &churnInstance{
		run: r, id: id, domain: domain, source: source,
		pool:   scatter.NewPool(r.size.deployment.FailureDomains[domain], source),
		random: replica.NewRandom(source), latencies: latency.NewWindow(), returnDelays: latency.NewWindow(),
		hedgeDelay: hedge.NewDelay(), hedgeBudget: hedge.NewHedgeBudget(), lastAttempt: query.AttemptID(source.Uint64()),
	}
}

// onPublish applies published objects. A nil object is unchanged.
func (in *churnInstance) onPublish(maps []query.Map, targets []query.Target) {
	if maps != nil {
		in.maps = maps
		in.snapshots.Publish(maps)
		in.localSnapshots.Publish(maps)
	}
	if targets == nil {
		return
	}
	in.targets = targets
	in.pool.SetTargets(targets)
	in.random.SetTargets(targets)
	in.localSnapshots.SetTargets(targets)
	in.placementIndex = placement.New(in.id, churnIndex, targets, in.run.members)
	if in.placementIndex.Flat() {
		in.snapshots.SetTargets(targets)
		return
	}
	var groups []snapshot.Group
	for _, g := range in.placementIndex.Groups() {
		groups = append(groups, snapshot.Group{ID: string(g.ID), Shards: g.Shards})
	}
	in.snapshots.SetGroups(groups)
}

// chooseMap returns the map for a new query. The baseline uses the newest published one.
func (in *churnInstance) chooseMap() (query.Map, bool) {
	if in.run.baseline {
		return in.maps[len(in.maps)-1], true
	}
	m, known := in.snapshots.Choose(in.run.loop.Now())
	if m.Version < in.lastChosen {
		in.run.stats.movedBack++
	}
	in.lastChosen = m.Version
	return m, known
}

// observe records the versions that a target reported.
func (in *churnInstance) observe(id query.TargetID, held []query.Version) {
	now := in.run.loop.Now()
	in.localSnapshots.Observe(now, id, held)
	if in.placementIndex.Flat() {
		in.snapshots.Observe(now, id, held)
	}
}

// report returns the versions that the targets of a group hold.
func (in *churnInstance) report(asked query.Map) snapshot.Report {
	g, known := in.placementIndex.GroupOf(asked.Shards[0])
	if !known {
		return snapshot.Report{}
	}
	return in.localSnapshots.Report(asked, g.Shards)
}

// holdsAll reports whether the instance may connect to the targets of all given shards.
func (in *churnInstance) holdsAll(shards []query.Shard) bool {
	return !slices.ContainsFunc(shards, func(s query.Shard) bool {
		g, known := in.placementIndex.GroupOf(s)
		return !known || !in.placementIndex.Holds(g.ID)
	})
}

// relaysOf returns the holders of a group in the order of preference: this instance, those of its failure
// domain, then the others.
func (in *churnInstance) relaysOf(id placement.GroupID) []string {
	holders := slices.Clone(in.placementIndex.HoldersOf(id))
	in.source.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	ownDomain := in.run.size.deployment.FailureDomains[in.domain]
	distance := func(i placement.Instance) int {
		switch {
		case i.ID == in.id:
			return 0
		case i.FailureDomain == ownDomain:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(holders, func(a, b placement.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	var relays []string
	for _, h := range holders {
		relays = append(relays, h.ID)
	}
	return relays
}

func (in *churnInstance) nextAttempt() query.AttemptID {
	in.lastAttempt++
	return in.lastAttempt
}

// config returns the configuration of a scatter.Machine of this instance.
func (in *churnInstance) config(req query.Request, m query.Map) scatter.Config {
	if in.run.baseline {
		return scatter.Config{Request: req, Map: m, Chooser: in.random, NextAttempt: in.nextAttempt}
	}
	return scatter.Config{Request: req, Map: m, Policy: churnPolicy{in: in, version: m.Version}, NextAttempt: in.nextAttempt}
}

// churnPolicy chooses from the pool of an instance, except for targets that are known to lack a version.
type churnPolicy struct {
	in      *churnInstance
	version query.Version
}

// Choose implements scatter.Policy.
func (p churnPolicy) Choose(now time.Time, w scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	w.Unfit = func(id query.TargetID) bool { return !p.in.localSnapshots.MayHold(now, id, p.version) }
	return p.in.pool.Choose(now, w)
}

// Overdue implements scatter.Policy.
func (p churnPolicy) Overdue(id query.TargetID, sent time.Time) { p.in.pool.Overdue(id, sent) }

// End implements scatter.Policy.
func (p churnPolicy) End(now time.Time, e replica.Result) { p.in.pool.End(now, e) }
