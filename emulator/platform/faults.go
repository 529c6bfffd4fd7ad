package platform

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/kernel/settings"
)

// Outage describes how the platform is unavailable.
type Outage string

const (
	// OutageNone means that the platform is available.
	OutageNone Outage = ""
	// OutageRefuse answers every call with status 503.
	OutageRefuse Outage = "refuse"
	// OutageSilent answers no call; each call ends when its caller cancels it.
	OutageSilent Outage = "silent"
)

// Faults are the faults that a Server injects into calls.
type Faults struct {
	// Seed seeds the random source of the shares and the jitter below.
	Seed   uint64 `json:"seed,omitempty"`
	Outage Outage `json:"outage,omitempty"`
	// Delay is the time before each call takes effect. A uniformly distributed time of at most DelayJitter is
	// added to it. A write takes effect even if its caller cancels it during the delay.
	Delay       settings.Duration `json:"delay,omitempty"`
	DelayJitter settings.Duration `json:"delay_jitter,omitempty"`
	// LostAnswers is the share of writes that take effect and whose connection is then closed
	// without an answer.
	LostAnswers float64 `json:"lost_answers,omitempty"`
	// StaleReads is the share of reads that return the version before the latest write, for
	// StaleFor after that write; a StaleFor of 0 means no time limit.
	StaleReads float64           `json:"stale_reads,omitempty"`
	StaleFor   settings.Duration `json:"stale_for,omitempty"`
	// WatchDelay is the time between a change and its delivery to a waiting watch. A watch from revision
	// 0 is not delayed.
	WatchDelay settings.Duration `json:"watch_delay,omitempty"`
	// InstanceLag is the age of the instance list that callers see.
	InstanceLag settings.Duration `json:"instance_lag,omitempty"`
	// Purposes restricts the faults to calls with these purposes; empty means all calls.
	Purposes []api.Purpose `json:"purposes,omitempty"`
}

// Check implements fault.Config.
func (f Faults) Check() error {
	if f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageSilent {
		return errors.New("outage: must be empty, refuse or silent")
	}
	return fault.FirstError(
		fault.CheckDuration("delay", time.Duration(f.Delay)),
		fault.CheckDuration("delay_jitter", time.Duration(f.DelayJitter)),
		fault.CheckShare("lost_answers", f.LostAnswers),
		fault.CheckShare("stale_reads", f.StaleReads),
		fault.CheckDuration("stale_for", time.Duration(f.StaleFor)),
		fault.CheckDuration("watch_delay", time.Duration(f.WatchDelay)),
		fault.CheckDuration("instance_lag", time.Duration(f.InstanceLag)),
	)
}

// RandomSeed implements fault.Config.
func (f Faults) RandomSeed() uint64 { return f.Seed }

func (f Faults) appliesTo(p api.Purpose) bool {
	return len(f.Purposes) == 0 || slices.Contains(f.Purposes, p)
}
