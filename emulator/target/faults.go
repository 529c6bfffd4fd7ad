package target

import (
	"time"

	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/kernel/settings"
)

// defaultRestartAfter is the time from a crash to the restart if RestartAfter is 0.
const defaultRestartAfter = time.Second

// Faults are the faults of one searcher.
type Faults struct {
	// Seed seeds the random source of the shares below.
	Seed uint64 `json:"seed,omitempty"`
	// SlowShare is the share of requests whose service time is multiplied by SlowFactor.
	SlowShare  float64 `json:"slow_share,omitempty"`
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ShedShare is the share of requests that are shed regardless of the queue.
	ShedShare float64 `json:"shed_share,omitempty"`
	// CrashOn crashes the searcher when it runs a request whose query or body contains this text. A
	// search crashes it before it answers, an execute after it has taken effect; empty crashes none.
	CrashOn string `json:"crash_on,omitempty"`
	// RestartAfter is the time from a crash to the restart; 0 means 1 s.
	RestartAfter settings.Duration `json:"restart_after,omitempty"`
	// LateShare is the share of answers that are delayed by LateBy after the request has run.
	LateShare float64           `json:"late_share,omitempty"`
	LateBy    settings.Duration `json:"late_by,omitempty"`
	// CrossedShare is the share of answers replaced by the latest answer to another request.
	CrossedShare float64 `json:"crossed_share,omitempty"`
	// SilentHold is the time for which a silenced connection still counts against the connection
	// limit after its client has closed it.
	SilentHold settings.Duration `json:"silent_hold,omitempty"`
	// InfoLag is the maximum age of the status that GET /v1/info returns. InfoHealthy and InfoLoad
	// replace the true values.
	InfoLag     settings.Duration `json:"info_lag,omitempty"`
	InfoHealthy *bool             `json:"info_healthy,omitempty"`
	InfoLoad    *float64          `json:"info_load,omitempty"`
}

// Check implements fault.Config.
func (f Faults) Check() error {
	return fault.FirstError(
		fault.CheckShare("slow_share", f.SlowShare),
		checkSlowFactor(f),
		fault.CheckShare("shed_share", f.ShedShare),
		fault.CheckDuration("restart_after", time.Duration(f.RestartAfter)),
		fault.CheckShare("late_share", f.LateShare),
		fault.CheckDuration("late_by", time.Duration(f.LateBy)),
		fault.CheckShare("crossed_share", f.CrossedShare),
		fault.CheckDuration("silent_hold", time.Duration(f.SilentHold)),
		fault.CheckDuration("info_lag", time.Duration(f.InfoLag)),
	)
}

// RandomSeed implements fault.Config.
func (f Faults) RandomSeed() uint64 { return f.Seed }

func (f Faults) restartAfter() time.Duration {
	if f.RestartAfter == 0 {
		return defaultRestartAfter
	}
	return time.Duration(f.RestartAfter)
}
