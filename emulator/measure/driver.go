package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/scatter"
)

// Scenario describes one run over one index.
type Scenario struct {
	Deployment Deployment
	Index      IndexSize
	Service    ServiceTime
	// Utilisation is the share of all slots that first attempts occupy.
	Utilisation float64
	Queries     int // recorded queries
	WarmUp      int // queries before the recorded ones
	// WarmUpUtilisation, if set, replaces Utilisation for the first half of WarmUp.
	WarmUpUtilisation float64
	Deadline          time.Duration
	// PriorityShares holds the shares of the queries by priority, from batch to high, for runs with
	// admission. If it is nil, all queries have normal priority and none is refused.
	PriorityShares []float64
	// PreferCoverage is set if the plan of the queries prefers coverage.
	PreferCoverage bool
	// Baseline sends each query to one random live replica per shard, without hedges, retries and admission.
	Baseline bool
	Seed     uint64
	// Setup is called before the first query, Fault at the first recorded one. Each may be nil.
	Setup, Fault func(*Driver)
}

// stats holds the measurements of a run.
type stats struct {
	latency          *hdrhistogram.Histogram // microseconds, as the client sees it
	attempts         int64
	shardsRequested  int64 // by recorded queries
	included         int64
	incomplete       int64 // answers without some shard
	wrong            int64 // answers that the oracle rejected
	lateReplies      int64
	complete         int64 // answers with full coverage between the arrivals of the first and the last recorded query
	refused          int64
	sentAfterRefusal int64                   // attempts sent for queries that were refused as not run
	highLatency      *hdrhistogram.Histogram // latency of high priority, microseconds
	recordStart      time.Time
	recordEnd        time.Time
}

// Driver runs the queries of a scenario against the model of its searchers.
type Driver struct {
	Loop            *Loop
	scenario        Scenario
	index           IndexSize
	source          *rand.Rand
	searchers       map[query.TargetID]*searcher
	targets         []query.Target
	entries         []*entry
	shardMap        query.Map
	stats           stats
	refusedRequests map[query.RequestID]struct{} // answered as not run
	started         int
	crash           *crashRun // nil unless requests crash searchers
	// interceptReply, if set, is called instead of the delivery of a reply.
	interceptReply func(f *flight, sent query.AttemptID, r query.Reply)
	// onSend, if set, is called for every attempt that is sent.
	onSend func(f *flight, a scatter.Action)
}

const snapshotVersion query.Version = 7

// maxLatency is the maximum value of the histograms.
const maxLatency = time.Minute

// NewDriver returns a driver with the searchers and entry instances of a scenario.
func NewDriver(sc Scenario) *Driver {
	d := &Driver{
		Loop: NewLoop(), scenario: sc, index: sc.Index, source: rand.New(rand.NewPCG(sc.Seed, 1)),
		searchers: map[query.TargetID]*searcher{}, targets: sc.Deployment.targets(sc.Index),
		refusedRequests: map[query.RequestID]struct{}{},
		shardMap:        query.Map{Version: snapshotVersion, Shards: sc.Index.shards()},
	}
	d.stats.latency = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	d.stats.highLatency = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for i, t := range d.targets {
		d.searchers[t.ID] = &searcher{
			loop: d.Loop, source: rand.New(rand.NewPCG(sc.Seed, uint64(1000+i))), service: sc.Service, factor: 1,
			slots: sc.Index.Slots, domain: (i % sc.Index.Replicas) % len(sc.Deployment.FailureDomains),
		}
	}
	for i := range sc.Deployment.Entries {
		e := newEntry(d, i%len(sc.Deployment.FailureDomains))
		e.setTargets(d.targets)
		d.entries = append(d.entries, e)
	}
	if sc.Setup != nil {
		sc.Setup(d)
	}
	return d
}

// arrivalRate returns the queries per second that cause the utilisation of the scenario.
func (sc Scenario) arrivalRate() float64 {
	slots := float64(sc.Index.Slots * sc.Index.Replicas)
	return sc.Utilisation * slots / sc.Service.mean().Seconds()
}

// recordedDuration returns the expected time between the first and the last recorded query.
func (sc Scenario) recordedDuration() time.Duration {
	return time.Duration(float64(sc.Queries) / sc.arrivalRate() * float64(time.Second))
}

// Run runs all queries and returns the figures.
func (d *Driver) Run() Figures {
	d.onArrival()
	d.Loop.Run()
	return d.figures()
}

// onArrival starts one query at a random entry instance and schedules the next.
func (d *Driver) onArrival() {
	if d.started >= d.scenario.WarmUp+d.scenario.Queries {
		return
	}
	d.started++
	if d.started == d.scenario.WarmUp+1 {
		d.stats.recordStart = d.Loop.Now()
		if d.scenario.Fault != nil {
			d.scenario.Fault(d)
		}
	}
	if d.started == d.scenario.WarmUp+d.scenario.Queries {
		d.stats.recordEnd = d.Loop.Now()
	}
	e := d.entries[d.source.IntN(len(d.entries))]
	for e.unavailable {
		e = d.entries[d.source.IntN(len(d.entries))]
	}
	priority := d.priority()
	req := query.Request{
		ID: query.RequestID(d.source.Uint64()), Plan: planNames[priority], Index: d.index.Name,
		Limit: len(d.shardMap.Shards), Deadline: d.Loop.Now().Add(d.scenario.Deadline),
		PreferCoverage: d.scenario.PreferCoverage, Priority: priority,
	}
	if recorded := d.started > d.scenario.WarmUp; d.crash != nil {
		req.Query = d.crash.drawText()
		d.crash.startRequest(e, req, recorded)
	} else {
		e.start(req, d.shardMap, recorded)
	}
	sc := d.scenario
	if sc.WarmUpUtilisation > 0 && d.started <= sc.WarmUp/2 {
		sc.Utilisation = sc.WarmUpUtilisation
	}
	gap := d.source.ExpFloat64() / sc.arrivalRate()
	d.Loop.After(time.Duration(gap*float64(time.Second)), d.onArrival)
}

// planNames holds one plan for each priority, because a plan has a fixed priority.
var planNames = [...]string{"batch-plan", "normal-plan", "high-plan"}

// priority returns a random priority for a query.
func (d *Driver) priority() query.Priority {
	if d.scenario.PriorityShares == nil {
		return query.PriorityNormal
	}
	x := d.source.Float64()
	for p, share := range d.scenario.PriorityShares {
		if x -= share; x < 0 {
			return query.Priority(p)
		}
	}
	return query.PriorityHigh
}

// recordRefusal records that a query was refused and answered as not run.
func (d *Driver) recordRefusal(req query.Request, recorded bool) {
	d.refusedRequests[req.ID] = struct{}{}
	if recorded {
		d.stats.refused++
	}
}

// deliver passes the outcome of an attempt to its query. The id of a hit contains the ids of the request
// and of the shard, by which the oracle identifies the request that the hit belongs to.
func (d *Driver) deliver(f *flight, a scatter.Action, o query.Outcome, cold bool) {
	r := query.Reply{
		Attempt: a.Attempt, Request: f.request.ID, Shard: a.Shard, Snapshot: f.version, Outcome: o, Cold: cold,
	}
	if o == query.OutcomeAnswered {
		r.Hits = []query.Hit{{ID: hitID(f.request.ID, a.Shard), Score: 1}}
	}
	if d.interceptReply != nil {
		d.interceptReply(f, a.Attempt, r)
		return
	}
	if f.onOutcome != nil && !f.finished {
		f.onOutcome(a, o)
	}
	f.receive(a.Attempt, r)
}

func hitID(r query.RequestID, s query.Shard) string { return fmt.Sprintf("%s/%d", r, s) }

// finish ends a query and records its answer.
func (d *Driver) finish(f *flight) {
	answer := f.machine.Answer()
	if f.admitted {
		f.entry.admission.Done(d.Loop.Now(), f.ticket, answer.Coverage.TimedOut())
	}
	if answer.Coverage.Complete() && !d.stats.recordStart.IsZero() && d.stats.recordEnd.IsZero() {
		d.stats.complete++
	}
	if f.recorded {
		d.record(f, answer)
	}
}

// record adds the answer of a query to the figures and checks it with the oracle.
func (d *Driver) record(f *flight, answer query.Answer) {
	took := d.Loop.Now().Sub(f.started) + 2*d.scenario.Deployment.ClientDelay
	_ = d.stats.latency.RecordValue(took.Microseconds()) // Deadlines are below maxLatency.
	if f.request.Priority == query.PriorityHigh {
		_ = d.stats.highLatency.RecordValue(took.Microseconds()) // Deadlines are below maxLatency.
	}
	d.stats.shardsRequested += int64(len(f.entry.driver.shardMap.Shards))
	d.stats.included += int64(len(answer.Coverage.Included))
	if !answer.Coverage.Complete() {
		d.stats.incomplete++
	}
	if !isCorrect(f.request.ID, answer) {
		d.stats.wrong++
	}
}

// isCorrect is the oracle. It reports whether the answer belongs to the request and contains exactly the
// hits of the included shards.
func isCorrect(id query.RequestID, a query.Answer) bool {
	if a.Request != id || a.Snapshot != snapshotVersion || len(a.Hits) != len(a.Coverage.Included) {
		return false
	}
	expected := make(map[string]struct{}, len(a.Hits))
	for _, s := range a.Coverage.Included {
		expected[hitID(id, s)] = struct{}{}
	}
	for _, h := range a.Hits {
		delete(expected, h.ID)
	}
	return len(expected) == 0
}

// delay returns a random one-way delay between two failure domains, which includes the resend of a lost
// message.
func (d *Driver) delay(a, b int) time.Duration {
	return variableDelay(d.source, d.scenario.Deployment, a, b)
}

func (d *Driver) figures() Figures {
	s := &d.stats
	latencyMillis := func(quantile float64) float64 { return float64(s.latency.ValueAtQuantile(quantile)) / 1000 }
	f := Figures{
		"p50_ms": latencyMillis(50), "p99_ms": latencyMillis(99), "p99.9_ms": latencyMillis(99.9),
		"coverage":           float64(s.included) / float64(max(1, s.shardsRequested)),
		"attempts_per_shard": float64(s.attempts) / float64(max(1, s.shardsRequested)),
		"short_answers":      float64(s.incomplete),
		"wrong_answers":      float64(s.wrong),
		"late_replies":       float64(s.lateReplies),
	}
	if d.scenario.PriorityShares != nil {
		d.overloadFigures(f)
	}
	return f
}
