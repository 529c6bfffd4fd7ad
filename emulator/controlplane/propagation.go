package controlplane

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/emulator/measure"
	"hyssopcroft.example/emulator/platform"
)

func init() {
	measure.Register(measure.Measure{
		Name: "config-propagation", Run: runPropagation,
		Summary: "Time until an edit is in force everywhere, under faults; the baseline loses all pushes (real time, 2 minutes)",
	})
}

// propagationSizes are the fleet sizes that are measured, all at the same time.
var propagationSizes = []int{8, 16, 32, 64}

// The stated goals: 2 s with the store up, 5 s in all other cases, counted from contact where
// regions were apart.
const (
	goalStoreUpMillis = 2000
	goalLimitMillis   = 5000
)

const (
	domainDelay = 4 * time.Millisecond
	regionDelay = 12 * time.Millisecond
	// rounds is the number of rounds of racing edits, racers the number of edits in each: half of
	// them for the same plan.
	rounds     = 20
	racers     = 4
	roundPause = 500 * time.Millisecond
	// outageTime exceeds the time-out of a watch call; apartTime exceeds the time in which the
	// regions declare each other dead.
	outageTime = 15 * time.Second
	apartTime  = 15 * time.Second
	// spreadTime is given to the last edit before its time is read.
	spreadTime = 2 * goalLimitMillis * time.Millisecond
)

func everyone(*Instance) bool { return true }

func near(i *Instance) bool { return i.Region == 0 }

// scenario is one fleet under faults.
type scenario struct {
	fleet    *Fleet
	network  *Network
	observer *observer
	editors  *editors
	out      measure.Figures
}

// propagate runs all phases at one fleet size. Without pushes only the first phase is run.
func propagate(n *Network, size int, seed uint64, pushes bool) (measure.Figures, error) {
	n.Set(func(f *Faults) { f.DomainDelay, f.RegionDelay = domainDelay, regionDelay })
	f, err := StartFleet(size, n)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	s := scenario{fleet: f, network: n, observer: observe(f), editors: newEditors(f, seed), out: measure.Figures{}}
	defer s.observer.close()
	n.Set(func(faults *Faults) { faults.LosePushes = !pushes })
	if err := s.race(seed); err != nil || !pushes {
		return s.out, err
	}
	if err := s.outage(); err != nil {
		return s.out, err
	}
	s.apart()
	lost, failedButTook := s.editors.wrong()
	s.out["accepted_edits"] = float64(len(s.editors.accepted))
	s.out["failed_edits"] = float64(len(s.editors.failed))
	s.out["unknown_edits"] = float64(len(s.editors.unknown))
	s.out["accepted_edits_lost"] = float64(lost)
	s.out["failed_edits_that_took_effect"] = float64(failedButTook)
	s.out["reverts"] = float64(s.observer.reverted())
	return s.out, nil
}

// race makes edits that race, while messages are lost, reads are stale and answers are lost.
func (s *scenario) race(seed uint64) error {
	s.network.Set(func(f *Faults) { f.Loss = 0.05 })
	faults := platform.Faults{Seed: seed, LostAnswers: 0.2, StaleReads: 0.2}
	if err := s.fleet.Platform.SetFaults(faults); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	before := s.observer.sequence()
	var edits sync.WaitGroup
	for round := range rounds {
		for racer := range racers {
			plan := 2*round + racer*(racer%2)
			edits.Go(func() { s.editors.edit(plan, everyone) })
		}
		time.Sleep(roundPause)
	}
	edits.Wait()
	time.Sleep(spreadTime)
	s.out["store_up_worst_ms"] = s.observer.worst(before, time.Time{})
	s.out["store_up_edits"] = float64(s.observer.sequence() - before)
	return s.fleet.Platform.SetFaults(platform.Faults{})
}

// outage stops the store just after an edit was accepted, and tries edits while it is away.
func (s *scenario) outage() error {
	before := s.observer.sequence()
	s.editors.edit(rounds, everyone)
	if err := s.fleet.Platform.SetFaults(platform.Faults{Outage: platform.OutageSilent}); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	var edits sync.WaitGroup
	for racer := range racers {
		edits.Go(func() { s.editors.edit(rounds+1+racer, everyone) })
	}
	time.Sleep(outageTime)
	edits.Wait()
	s.out["outage_worst_ms"] = s.observer.worst(before, time.Time{})
	s.out["outage_unconfirmed"] = s.unconfirmed()
	before = s.observer.sequence()
	if err := s.fleet.Platform.SetFaults(platform.Faults{}); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	s.editors.edit(rounds, everyone)
	time.Sleep(spreadTime)
	s.out["after_outage_worst_ms"] = s.observer.worst(before, time.Time{})
	return nil
}

// unconfirmed returns the share of instances that say that they cannot tell whether the store holds
// a newer configuration.
func (s *scenario) unconfirmed() float64 {
	count := 0
	for _, i := range s.fleet.Instances {
		if _, yes := i.Config.Unconfirmed(); yes && i.Config.Watching() {
			count++
		}
	}
	watching := 0
	for _, i := range s.fleet.Instances {
		if i.Config.Watching() {
			watching++
		}
	}
	return float64(count) / float64(max(1, watching))
}

// apart cuts the regions off from each other and edits on the side of the store.
func (s *scenario) apart() {
	before := s.observer.sequence()
	s.network.Set(func(f *Faults) { f.Apart = true })
	s.observer.restrict(near)
	for n := range 4 {
		s.editors.edit(n, near)
		time.Sleep(apartTime / 4)
	}
	s.out["apart_near_worst_ms"] = s.observer.worst(before, time.Time{})
	s.observer.restrict(everyone)
	healed := time.Now()
	s.network.Set(func(f *Faults) { f.Apart = false })
	time.Sleep(spreadTime)
	s.out["after_apart_worst_ms"] = s.observer.worst(before, healed)
}

func runPropagation(seed uint64) measure.Report {
	r := measure.NewReport()
	var mu sync.Mutex // guards r
	var runs sync.WaitGroup
	for _, size := range propagationSizes {
		for to, pushes := range map[*measure.Figures]bool{&r.Baseline: false, &r.Result: true} {
			runs.Go(func() {
				figures, err := propagate(NewNetwork(seed, Faults{}), size, seed, pushes)
				mu.Lock()
				defer mu.Unlock()
				r.Sizes[fmt.Sprintf("%02d/instances", size)] = float64(size)
				if err != nil {
					// The goals that need the missing figures then fail.
					r.Sizes[fmt.Sprintf("failed: %d instances: %s", size, err)] = 1
				}
				for figure, v := range figures {
					(*to)[fmt.Sprintf("%02d/%s", size, figure)] = v
				}
			})
		}
	}
	runs.Wait()
	for _, size := range propagationSizes {
		goals(&r, fmt.Sprintf("%02d/", size))
	}
	return r
}

func goals(r *measure.Report, size string) {
	r.SetRatio(size + "store_up_worst_ms")
	r.ResultAtMost(size+"store_up_worst_ms", goalStoreUpMillis)
	for _, figure := range []string{"outage_worst_ms", "after_outage_worst_ms", "apart_near_worst_ms", "after_apart_worst_ms"} {
		r.ResultAtMost(size+figure, goalLimitMillis)
	}
	for _, figure := range []string{"reverts", "accepted_edits_lost", "failed_edits_that_took_effect"} {
		r.ResultAtMost(size+figure, 0)
	}
}
