package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

func init() {
	Register(Measure{
		Name:    "snapshot-churn",
		Summary: "one snapshot per answer and true coverage while versions change each second",
		Run:     runChurn,
	})
}

const (
	churnIndex     = "churn"
	churnRate      = 100.0 // queries per second
	churnTime      = 120 * time.Second
	churnWarmUp    = 2 * time.Second
	leastComplete  = 0.995
	silencePeriod  = 5 * time.Second
	silenceTime    = 200 * time.Millisecond
	crossedPerMill = 2 // replies of a thousand that belong to something else, in the crossed cases
)

// churnRun is one run over a world whose versions change.
type churnRun struct {
	loop      *Loop
	source    *rand.Rand
	size      churnSize
	world     *churnWorld
	members   []placement.Instance
	instances []*churnInstance
	byID      map[string]*churnInstance
	end       time.Time
	baseline  bool
	crossed   bool
	stats     churnStats
}

type churnStats struct {
	answers, complete, mixed, falseCoverage, restarts, movedBack int64
	attempts, groups, behind                                     int64
	missing                                                      map[query.Cause]int64
}

func newChurnRun(size churnSize, seed uint64, baseline, crossed bool) *churnRun {
	loop := NewLoop()
	r := &churnRun{
		loop: loop, source: rand.New(rand.NewPCG(seed, 2)), size: size, world: newChurnWorld(loop, size, seed),
		byID: map[string]*churnInstance{}, end: loop.Now().Add(size.time), baseline: baseline, crossed: crossed,
	}
	r.stats.missing = map[query.Cause]int64{}
	domains := size.deployment.FailureDomains
	for i := range size.deployment.Entries {
		in := newChurnInstance(r, fmt.Sprintf("instance-%d", i), i%len(domains))
		r.instances = append(r.instances, in)
		r.byID[in.id] = in
		r.members = append(r.members, placement.Instance{ID: in.id, FailureDomain: domains[in.domain]})
		r.world.learn = append(r.world.learn, in.learn)
	}
	return r
}

func (r *churnRun) run() Figures {
	r.world.run(r.end)
	r.loop.After(longestWatch, r.arrive)
	r.loop.After(silencePeriod, r.silence)
	r.loop.Run()
	return r.figures()
}

// silence lets one relay be silent for a while.
func (r *churnRun) silence() {
	if r.loop.Now().After(r.end) {
		return
	}
	r.instances[r.source.IntN(len(r.instances))].silentUntil = r.loop.Now().Add(silenceTime)
	r.loop.After(silencePeriod, r.silence)
}

func (r *churnRun) arrive() {
	if r.loop.Now().After(r.end) {
		return
	}
	in := r.instances[r.source.IntN(len(r.instances))]
	now := r.loop.Now()
	req := query.Request{
		ID: query.RequestID(r.source.Uint64()), Plan: "plan", Index: churnIndex, Limit: 1 << 20,
		Deadline: now.Add(searchDeadline), PreferCoverage: true,
	}
	if m, known := in.choose(); known {
		r.ask(in, req, m, snapshot.NewRestart(m.Version, req.Deadline), now)
	}
	r.loop.After(time.Duration(r.source.ExpFloat64()*float64(time.Second)/churnRate), r.arrive)
}

// ask runs a query at one map, over one level or two, and again if it has to restart.
func (r *churnRun) ask(in *churnInstance, req query.Request, m query.Map, restart *snapshot.Restart, started time.Time) {
	done := func(a query.Answer, other query.Map, again bool) {
		if again {
			r.stats.restarts++
			r.ask(in, req, other, restart, started)
			return
		}
		if a.Coverage.Complete() {
			in.latencies.Record(r.loop.Now().Sub(started))
		}
		r.judge(req, a, started)
	}
	if in.place.Flat() {
		in.scatter(req, m, restart, done)
		return
	}
	in.scatterGroups(req, m, restart, done)
}

// between returns a one-way delay with its variable part and now and then a lost message.
func (r *churnRun) between(a, b int) time.Duration {
	return variableDelay(r.source, r.size.deployment, a, b)
}

// replyOf returns what a target answers. The hit names what the target really searched.
func (r *churnRun) replyOf(t *churnTarget, req query.Request, a scatter.Action, v query.Version) query.Reply {
	shard := a.Shard
	reply := query.Reply{Attempt: a.Attempt, Request: req.ID, Shard: shard, Snapshot: v, HeldVersions: t.held}
	if r.crossed && r.source.IntN(1000) < crossedPerMill {
		shard, v = r.cross(t, &reply)
	}
	if reply.Outcome = r.world.serve(t, shard, v); reply.Outcome == query.OutcomeAnswered {
		reply.Hits = []query.Hit{{ID: churnHit(req.ID, v, shard), Score: 1}}
	}
	return reply
}

// cross makes a reply one for something else that the target holds: its newest version, another
// shard, or another attempt.
func (r *churnRun) cross(t *churnTarget, reply *query.Reply) (query.Shard, query.Version) {
	newest := t.held[len(t.held)-1]
	switch r.source.IntN(3) {
	case 0:
		reply.Snapshot = newest
	case 1:
		shards := r.world.homes[newest-1][t.home]
		reply.Shard = shards[r.source.IntN(len(shards))]
	default:
		reply.Attempt++
	}
	return reply.Shard, reply.Snapshot
}

func churnHit(id query.RequestID, v query.Version, s query.Shard) string {
	return fmt.Sprintf("%s/%d/%d", id, v, s)
}
