package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
)

// waitPollInterval is the delay between two requests for the status of an instance.
const waitPollInterval = 200 * time.Millisecond

// waitFlags are the flags of commands that can wait until an edit is in force.
type waitFlags struct {
	Wait        bool          `help:"Wait until all live instances have the edit in force."`
	WaitTimeout time.Duration `default:"30s" help:"Longest time to wait."`
}

// progress counts the live members that have a configuration in force.
type progress struct {
	inForce, live int
	// behind lists the live members that have not confirmed the configuration.
	behind []string
}

func progressOf(s admin.Status, sequence config.Revision) progress {
	var p progress
	for _, m := range s.Members {
		if m.State != "live" {
			continue
		}
		p.live++
		if m.ConfigSequence >= sequence {
			p.inForce++
		} else {
			p.behind = append(p.behind, m.ID)
		}
	}
	return p
}

// wait polls the status of the instance until all live members have at least the given configuration in
// force, or until the timeout. It prints progress to standard error.
func (f waitFlags) wait(c *cli, sequence config.Revision) error {
	if !f.Wait {
		return nil
	}
	var last progress
	var callErr error
	for deadline := time.Now().Add(f.WaitTimeout); time.Now().Before(deadline); time.Sleep(waitPollInterval) {
		var status admin.Status
		if callErr = call(http.MethodGet, c.Instance, "/v1/status", nil, nil, &status); callErr != nil {
			continue
		}
		p := progressOf(status, sequence)
		if p.inForce != last.inForce || p.live != last.live {
			fmt.Fprintf(os.Stderr, "in force at %d of %d live instances\n", p.inForce, p.live)
		}
		last = p
		if p.live > 0 && p.inForce == p.live {
			return nil
		}
	}
	message := "the edit is accepted; not confirmed in time by " + strings.Join(last.behind, ", ")
	if callErr != nil {
		message = "the edit is accepted; its progress is not known: " + callErr.Error()
	}
	return &problem.Problem{Code: problem.NotReady, Message: message}
}
