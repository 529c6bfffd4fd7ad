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
	churnIndex       = "churn"
	churnRate        = 100.0 // queries per second
	churnDuration    = 120 * time.Second
	churnWarmUp      = 2 * time.Second
	minCompleteShare = 0.995
	silencePeriod    = 5 * time.Second
	silenceDuration  = 200 * time.Millisecond
	crossedPerMill   = 2 // replies per thousand that belong to another version, shard or attempt, in the crossed cases
)

// churnRun is one run over an index whose versions change.
type churnRun struct {
	loop      *Loop
	source    *rand.Rand
	size      churnSize
	model     *churnModel
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
	attempts, groupsSent, versionsBehind                         int64
	missing                                                      map[query.Cause]int64
}

func newChurnRun(size churnSize, seed uint64, baseline, crossed bool) *churnRun {
	loop := NewLoop()
	r := &churnRun{
		loop: loop, source: rand.New(rand.NewPCG(seed, 2)), size: size, model: newChurnModel(loop, size, seed),
		byID: map[string]*churnInstance{}, end: loop.Now().Add(size.duration), baseline: baseline, crossed: crossed,
	}
	r.stats.missing = map[query.Cause]int64{}
	domains := size.deployment.FailureDomains
	for i := range size.deployment.Entries {
		in := newChurnInstance(r, fmt.Sprintf("instance-%d", i), i%len(domains))
		r.instances = append(r.instances, in)
		r.byID[in.id] = in
		r.members = append(r.members, placement.Instance{ID: in.id, FailureDomain: domains[in.domain]})
		r.model.subscribers = append(r.model.subscribers, in.onPublish)
	}
	return r
}

func (r *churnRun) run() Figures {
	r.model.run(r.end)
	r.loop.After(maxWatchDelay, r.onArrival)
	r.loop.After(silencePeriod, r.silenceRelay)
	r.loop.Run()
	return r.figures()
}

// silenceRelay makes a random instance silent as a relay for silenceDuration, once in each silencePeriod.
func (r *churnRun) silenceRelay() {
	if r.loop.Now().After(r.end) {
		return
	}
	r.instances[r.source.IntN(len(r.instances))].silentUntil = r.loop.Now().Add(silenceDuration)
	r.loop.After(silencePeriod, r.silenceRelay)
}

func (r *churnRun) onArrival() {
	if r.loop.Now().After(r.end) {
		return
	}
	in := r.instances[r.source.IntN(len(r.instances))]
	now := r.loop.Now()
	req := query.Request{
		ID: query.RequestID(r.source.Uint64()), Plan: "plan", Index: churnIndex, Limit: 1 << 20,
		Deadline: now.Add(searchDeadline), PreferCoverage: true,
	}
	if m, known := in.chooseMap(); known {
		r.runQuery(in, req, m, snapshot.NewRestart(m.Version, req.Deadline), now)
	}
	r.loop.After(time.Duration(r.source.ExpFloat64()*float64(time.Second)/churnRate), r.onArrival)
}

// runQuery runs a query at one map, over one level or two, and runs it again if it must restart at
// another map.
func (r *churnRun) runQuery(in *churnInstance, req query.Request, m query.Map, restart *snapshot.Restart, started time.Time) {
	onFinish := func(a query.Answer, restartMap query.Map, mustRestart bool) {
		if mustRestart {
			r.stats.restarts++
			r.runQuery(in, req, restartMap, restart, started)
			return
		}
		if a.Coverage.Complete() {
			in.latencies.Record(r.loop.Now().Sub(started))
		}
		r.checkAnswer(req, a, started)
	}
	if in.placementIndex.Flat() {
		in.scatter(req, m, restart, onFinish)
		return
	}
	in.scatterGroups(req, m, restart, onFinish)
}

// delay returns a random one-way delay between two failure domains, which includes the resend of a lost
// message.
func (r *churnRun) delay(a, b int) time.Duration {
	return variableDelay(r.source, r.size.deployment, a, b)
}

// newReply returns the reply of a target. The hit names the version and shard that the target searched, also if
// the reply is crossed.
func (r *churnRun) newReply(t *churnTarget, req query.Request, a scatter.Action, v query.Version) query.Reply {
	shard := a.Shard
	reply := query.Reply{Attempt: a.Attempt, Request: req.ID, Shard: shard, Snapshot: v, HeldVersions: t.held}
	if r.crossed && r.source.IntN(1000) < crossedPerMill {
		shard, v = r.crossReply(t, &reply)
	}
	if reply.Outcome = r.model.outcome(t, shard, v); reply.Outcome == query.OutcomeAnswered {
		reply.Hits = []query.Hit{{ID: churnHit(req.ID, v, shard), Score: 1}}
	}
	return reply
}

// crossReply changes a reply so that it belongs to the newest version of the target, to another shard of
// the target or to another attempt. It returns the shard and the version that the target searches.
func (r *churnRun) crossReply(t *churnTarget, reply *query.Reply) (query.Shard, query.Version) {
	newest := t.held[len(t.held)-1]
	switch r.source.IntN(3) {
	case 0:
		reply.Snapshot = newest
	case 1:
		shards := r.model.layouts[newest-1][t.replicaSet]
		reply.Shard = shards[r.source.IntN(len(shards))]
	default:
		reply.Attempt++
	}
	return reply.Shard, reply.Snapshot
}

func churnHit(id query.RequestID, v query.Version, s query.Shard) string {
	return fmt.Sprintf("%s/%d/%d", id, v, s)
}
