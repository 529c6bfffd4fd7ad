package main

import (
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
)

// Exit codes. Scripts rely on them; the help text in description documents them.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitConflict       = 3
	exitNotFound       = 4
	exitInvalid        = 5
	exitUnavailable    = 6
	exitRefused        = 7
	exitOutcomeUnknown = 8
	exitCoverageShort  = 9
	exitReplayDiffers  = 10
)

var exitCodes = map[problem.Code]int{
	problem.Conflict:            exitConflict,
	problem.NotFound:            exitNotFound,
	problem.UnknownPlan:         exitNotFound,
	problem.UnknownIndex:        exitNotFound,
	problem.Invalid:             exitInvalid,
	problem.BadRequest:          exitInvalid,
	problem.TooLarge:            exitInvalid,
	problem.BodyLate:            exitInvalid,
	problem.PlatformUnavailable: exitUnavailable,
	problem.NotReady:            exitUnavailable,
	problem.PlanRefused:         exitRefused,
	problem.LimitReached:        exitRefused,
	problem.Overloaded:          exitRefused,
	problem.Quarantined:         exitRefused,
	problem.OutcomeUnknown:      exitOutcomeUnknown,
	problem.CoverageShort:       exitCoverageShort,
}

// exitCode returns the exit code of a failed command. If the request may have run despite a refusal, it is
// the code of an unknown outcome.
func exitCode(err error) int {
	var p *problem.Problem
	if errors.Is(err, errReplayDiffers) {
		return exitReplayDiffers
	}
	if !errors.As(err, &p) {
		return exitFailure
	}
	code, ok := exitCodes[p.Code]
	switch {
	case !ok:
		return exitFailure
	case code == exitRefused && p.RunState == problem.MayHaveRun:
		return exitOutcomeUnknown
	}
	return code
}
