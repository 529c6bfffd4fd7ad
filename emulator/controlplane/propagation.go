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

// propagationSizes are the measured fleet sizes. All fleets run at the same time.
var propagationSizes = []int{8, 16, 32, 64}

// The goals are 2 s while the store is available and 5 s in all other cases. After a partition the time counts from the
// moment at which the regions are connected again.
const (
	goalStoreUpMillis = 2000
	goalMaxMillis     = 5000
)

const (
	domainDelay = 4 * time.Millisecond
	regionDelay = 12 * time.Millisecond
	// rounds is the number of rounds of concurrent edits. Half of the editsPerRound edits of a round change the same
	// plan.
	rounds        = 20
	editsPerRound = 4
	roundInterval = 500 * time.Millisecond
	// outageDuration exceeds the timeout of a watch call.
	outageDuration = 15 * time.Second
	// partitionDuration exceeds the time within which the regions declare each other's instances dead.
	partitionDuration = 15 * time.Second
	// propagationWait is the time that the last edit has to propagate before the propagation time is read.
	propagationWait = 2 * goalMaxMillis * time.Millisecond
)

func anyInstance(*Instance) bool { return true }

func inStoreRegion(i *Instance) bool { return i.Region == 0 }

// scenario is one fleet under faults, with the figures measured so far.
type scenario struct {
	fleet    *Fleet
	network  *Network
	observer *observer
	editor   *editor
	figures  measure.Figures
}

// runScenario runs all phases with one fleet. Without pushes it runs only the racing edits.
func runScenario(n *Network, size int, seed uint64, pushes bool) (measure.Figures, error) {
	n.UpdateFaults(func(f *Faults) { f.InterDomainDelay, f.InterRegionDelay = domainDelay, regionDelay })
	f, err := StartFleet(size, n)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	s := scenario{fleet: f, network: n, observer: startObserver(f), editor: newEditor(f, seed), figures: measure.Figures{}}
	defer s.observer.close()
	n.UpdateFaults(func(faults *Faults) { faults.LosePushes = !pushes })
	if err := s.runRacingEdits(seed); err != nil || !pushes {
		return s.figures, err
	}
	if err := s.runOutage(); err != nil {
		return s.figures, err
	}
	s.runPartition()
	lost, failedButStored := s.editor.countMisreported()
	s.figures["accepted_edits"] = float64(len(s.editor.accepted))
	s.figures["failed_edits"] = float64(len(s.editor.failed))
	s.figures["unknown_edits"] = float64(len(s.editor.unknown))
	s.figures["accepted_edits_lost"] = float64(lost)
	s.figures["failed_edits_that_took_effect"] = float64(failedButStored)
	s.figures["reverts"] = float64(s.observer.revertCount())
	return s.figures, nil
}

// runRacingEdits makes concurrent edits while messages between instances and answers of the store are lost and reads
// of the store are stale.
func (s *scenario) runRacingEdits(seed uint64) error {
	s.network.UpdateFaults(func(f *Faults) { f.LossShare = 0.05 })
	faults := platform.Faults{Seed: seed, LostAnswers: 0.2, StaleReads: 0.2}
	if err := s.fleet.Platform.SetFaults(faults); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	before := s.observer.lastSequence()
	var edits sync.WaitGroup
	for round := range rounds {
		for n := range editsPerRound {
			plan := 2*round + n*(n%2)
			edits.Go(func() { s.editor.edit(plan, anyInstance) })
		}
		time.Sleep(roundInterval)
	}
	edits.Wait()
	time.Sleep(propagationWait)
	s.figures["store_up_worst_ms"] = s.observer.maxPropagation(before, time.Time{})
	s.figures["store_up_edits"] = float64(s.observer.lastSequence() - before)
	return s.fleet.Platform.SetFaults(platform.Faults{})
}

// runOutage stops the store just after an edit was accepted, and attempts edits while it is unavailable.
func (s *scenario) runOutage() error {
	before := s.observer.lastSequence()
	s.editor.edit(rounds, anyInstance)
	if err := s.fleet.Platform.SetFaults(platform.Faults{Outage: platform.OutageSilent}); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	var edits sync.WaitGroup
	for n := range editsPerRound {
		edits.Go(func() { s.editor.edit(rounds+1+n, anyInstance) })
	}
	time.Sleep(outageDuration)
	edits.Wait()
	s.figures["outage_worst_ms"] = s.observer.maxPropagation(before, time.Time{})
	s.figures["outage_unconfirmed"] = s.unconfirmedShare()
	before = s.observer.lastSequence()
	if err := s.fleet.Platform.SetFaults(platform.Faults{}); err != nil {
		return errors.Wrap(err, "set faults of the platform")
	}
	s.editor.edit(rounds, anyInstance)
	time.Sleep(propagationWait)
	s.figures["after_outage_worst_ms"] = s.observer.maxPropagation(before, time.Time{})
	return nil
}

// unconfirmedShare returns the share of the watching instances that report their configuration as unconfirmed, because
// the store may have a newer one.
func (s *scenario) unconfirmedShare() float64 {
	unconfirmed := 0
	for _, i := range s.fleet.Instances {
		if _, isUnconfirmed := i.Config.Unconfirmed(); isUnconfirmed && i.Config.Watching() {
			unconfirmed++
		}
	}
	watching := 0
	for _, i := range s.fleet.Instances {
		if i.Config.Watching() {
			watching++
		}
	}
	return float64(unconfirmed) / float64(max(1, watching))
}

// runPartition partitions the regions and makes edits in the region of the store.
func (s *scenario) runPartition() {
	before := s.observer.lastSequence()
	s.network.UpdateFaults(func(f *Faults) { f.RegionsPartitioned = true })
	s.observer.watch(inStoreRegion)
	for n := range 4 {
		s.editor.edit(n, inStoreRegion)
		time.Sleep(partitionDuration / 4)
	}
	s.figures["apart_near_worst_ms"] = s.observer.maxPropagation(before, time.Time{})
	s.observer.watch(anyInstance)
	healed := time.Now()
	s.network.UpdateFaults(func(f *Faults) { f.RegionsPartitioned = false })
	time.Sleep(propagationWait)
	s.figures["after_apart_worst_ms"] = s.observer.maxPropagation(before, healed)
}

func runPropagation(seed uint64) measure.Report {
	r := measure.NewReport()
	var mu sync.Mutex // guards r
	var runs sync.WaitGroup
	for _, size := range propagationSizes {
		for dst, pushes := range map[*measure.Figures]bool{&r.Baseline: false, &r.Result: true} {
			runs.Go(func() {
				figures, err := runScenario(NewNetwork(seed, Faults{}), size, seed, pushes)
				mu.Lock()
				defer mu.Unlock()
				r.Sizes[fmt.Sprintf("%02d/instances", size)] = float64(size)
				if err != nil {
					// The goals for the missing figures fail.
					r.Sizes[fmt.Sprintf("failed: %d instances: %s", size, err)] = 1
				}
				for figure, v := range figures {
					(*dst)[fmt.Sprintf("%02d/%s", size, figure)] = v
				}
			})
		}
	}
	runs.Wait()
	for _, size := range propagationSizes {
		addGoals(&r, fmt.Sprintf("%02d/", size))
	}
	return r
}

func addGoals(r *measure.Report, size string) {
	r.SetRatio(size + "store_up_worst_ms")
	r.ResultAtMost(size+"store_up_worst_ms", goalStoreUpMillis)
	for _, figure := range []string{"outage_worst_ms", "after_outage_worst_ms", "apart_near_worst_ms", "after_apart_worst_ms"} {
		r.ResultAtMost(size+figure, goalMaxMillis)
	}
	for _, figure := range []string{"reverts", "accepted_edits_lost", "failed_edits_that_took_effect"} {
		r.ResultAtMost(size+figure, 0)
	}
}
