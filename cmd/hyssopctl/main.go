// Command hyssopctl is the tool of operators: the two lists, status, the timeline, and stand-ins for
// trying the system on one machine.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
)

// Exit codes. Scripts rely on them.
const (
	exitFailure     = 1 // anything not listed below
	exitConflict    = 3 // the entry changed since it was read
	exitNotFound    = 4 // the entry does not exist
	exitInvalid     = 5 // the entry, the settings or the request has an impossible value
	exitUnavailable = 6 // the instance or the platform did not answer; an edit may have been accepted
)

type cli struct {
	Instance string `default:"127.0.0.1:7101" env:"HYSSOPCTL_INSTANCE" help:"Address of an instance."`
	JSON     bool   `name:"json" help:"Print JSON instead of a table."`

	Demo     demoCmd     `cmd:"" help:"Run the whole path in one process: stand-ins, two instances and one query."`
	Standins standinsCmd `cmd:"" help:"Run the stand-ins for the platform and the targets."`
	Check    checkCmd    `cmd:"" help:"Check a settings file without starting an instance."`
	Plan     planCmd     `cmd:"" help:"List, show, change or delete plans."`
	Limit    limitCmd    `cmd:"" help:"List, show, change or delete what plans may use."`
	Status   statusCmd   `cmd:"" help:"Show the state of an instance and the members that it knows."`
	PathCost pathCostCmd `cmd:"" help:"Measure what a sub-request costs an instance, against a bare net/http scatter."`
	Timeline timelineCmd `cmd:"" help:"Merge the events of several instances into one timeline."`
	Measure  measureCmd  `cmd:"" help:"Run a measure of the decisions, or list the measures."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("hyssopctl"), kong.Description("Operates hyssopcroft."), kong.UsageOnError())
	err := k.Run(&c)
	if err == nil {
		return
	}
	k.Errorf("%s", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var p *problem.Problem
	if !errors.As(err, &p) {
		return exitFailure
	}
	switch p.Code {
	case problem.Conflict:
		return exitConflict
	case problem.NotFound:
		return exitNotFound
	case problem.Invalid, problem.BadRequest, problem.TooLarge:
		return exitInvalid
	case problem.PlatformUnavailable, problem.NotReady:
		return exitUnavailable
	}
	return exitFailure
}
