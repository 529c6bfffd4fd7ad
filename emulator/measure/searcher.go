package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// ServiceTime describes the distribution of the service times of a searcher: a log-normal body and a
// Pareto tail for a small share of the requests.
type ServiceTime struct {
	Median    time.Duration
	Sigma     float64 // of the logarithm
	TailShare float64 // share of requests in the tail
	TailMin   time.Duration
	TailAlpha float64
	Max       time.Duration
}

// heavyTail is the default service time of the measures. 1 % of the requests are stragglers of at least
// ten times the median.
var heavyTail = ServiceTime{
	Median: 2 * time.Millisecond, Sigma: 0.5, TailShare: 0.01, TailMin: 20 * time.Millisecond, TailAlpha: 1.5,
	Max: 2 * time.Second,
}

// draw returns a random service time.
func (t ServiceTime) draw(source *rand.Rand) time.Duration {
	if source.Float64() < t.TailShare {
		d := float64(t.TailMin) * math.Pow(1-source.Float64(), -1/t.TailAlpha)
		return min(time.Duration(min(d, math.MaxInt64/2)), t.Max)
	}
	return time.Duration(float64(t.Median) * math.Exp(t.Sigma*source.NormFloat64()))
}

// mean returns the mean service time without the limit Max.
func (t ServiceTime) mean() time.Duration {
	body := float64(t.Median) * math.Exp(t.Sigma*t.Sigma/2)
	tail := float64(t.TailMin) * t.TailAlpha / (t.TailAlpha - 1)
	return time.Duration((1-t.TailShare)*body + t.TailShare*tail)
}

const (
	// maxQueueLength is the maximum number of requests in the queue of a searcher; it sheds further ones.
	maxQueueLength = 20
	// coldFactor multiplies the service time of the first request at a cold searcher.
	coldFactor = 10.0
	// answersToWarm is the number of answers after which a cold searcher is warm.
	answersToWarm = 50
)

// health is the state of a searcher and its network.
type health uint8

const (
	serving  health = iota
	draining        // refuses new requests and finishes the others
	crashed         // has reset its connections and refuses new ones
	silent          // receives packets and answers none
)

// job is one request at a searcher.
type job struct {
	target          query.TargetID
	deadline        time.Time // the searcher aborts the request at this time
	cancelled       bool
	ended           bool
	running         bool
	crashesSearcher bool // crashes the searcher that completes it
	reply           func(o query.Outcome, cold bool)
}

// searcher is a model of a target with slots, a queue, shedding, cold start and drain.
type searcher struct {
	loop             *Loop
	domain           int // index of its failure domain in the deployment
	source           *rand.Rand
	service          ServiceTime
	factor           float64 // multiplies each service time; above 1 for a slow replica
	slots            int
	health           health
	crashOutcome     query.Outcome // outcome of requests that end by a crash
	onCrash          func()        // called if a request crashes the searcher
	answersUntilWarm int           // 0 if the searcher is warm
	busy             int
	queue            []*job
	jobs             []*job // queued or running, in the order of arrival
	startedJobs      int64  // number of requests that were started
	acceptedJobs     int64  // number of requests that were neither refused nor shed
}

// onRequest handles a request that arrives: it refuses, sheds, starts or queues it.
func (s *searcher) onRequest(j *job) {
	switch {
	case s.health == draining:
		j.finish(query.OutcomeDraining, false)
		return
	case s.busy >= s.slots && len(s.queue) >= maxQueueLength:
		j.finish(query.OutcomeShed, false)
		return
	}
	s.acceptedJobs++
	s.jobs = append(s.jobs, j)
	if s.busy < s.slots {
		s.start(j)
		return
	}
	s.queue = append(s.queue, j)
	s.loop.At(j.deadline, func() { s.abort(j) })
}

func (s *searcher) start(j *job) {
	s.busy++
	s.startedJobs++
	j.running = true
	d := time.Duration(float64(s.service.draw(s.source)) * s.factor * s.coldSlowdown())
	if end := s.loop.Now().Add(d); end.After(j.deadline) {
		s.loop.At(j.deadline, func() { s.abort(j) })
		return
	}
	s.loop.After(d, func() { s.complete(j) })
}

func (s *searcher) coldSlowdown() float64 {
	return 1 + (coldFactor-1)*float64(s.answersUntilWarm)/answersToWarm
}

func (s *searcher) complete(j *job) {
	if j.ended {
		return
	}
	if j.crashesSearcher {
		s.onCrash()
		return
	}
	cold := s.answersUntilWarm > 0
	s.answersUntilWarm = max(0, s.answersUntilWarm-1)
	s.release(j)
	j.finish(query.OutcomeAnswered, cold)
}

// abort ends a request at its deadline or on cancellation, and frees its slot.
func (s *searcher) abort(j *job) {
	if j.ended {
		return
	}
	s.release(j)
	j.finish(query.OutcomeAborted, s.answersUntilWarm > 0)
}

// crash ends all requests at once with crashOutcome.
func (s *searcher) crash() {
	s.health = crashed
	jobs := s.jobs
	s.queue, s.jobs, s.busy = nil, nil, 0
	for _, j := range jobs {
		j.running = false
		j.finish(s.crashOutcome, false)
	}
}

// restart restarts the searcher with cold caches.
func (s *searcher) restart() {
	s.health = serving
	s.answersUntilWarm = answersToWarm
}

// release removes a request, frees its slot and starts queued requests in the free slots.
func (s *searcher) release(j *job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(p *job) bool { return p == j })
	j.ended = true
	if !j.running {
		return
	}
	j.running = false
	s.busy--
	for s.busy < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.ended {
			s.start(next)
		}
	}
}

func (j *job) finish(o query.Outcome, cold bool) {
	j.ended = true
	if !j.cancelled {
		j.reply(o, cold)
	}
}
