package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hyssopcroft.example/emulator/fleet"
)

type standinsCmd struct {
	PlatformPort int   `default:"7000" help:"Port of the object API on 127.0.0.1; 0 takes a free one."`
	FanOut       []int `help:"Serve one index fan-N with N shards, without service time, for each N instead of the demo's indexes."`
}

// Run serves the stand-ins until it is interrupted.
func (s standinsCmd) Run(c *cli) error {
	f, err := fleet.Start(s.deployment())
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := printStandins(c, f); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func (s standinsCmd) deployment() fleet.Deployment {
	if len(s.FanOut) == 0 {
		return demoDeployment(s.PlatformPort)
	}
	return fanOutDeployment(s.PlatformPort, s.FanOut)
}

func printStandins(c *cli, f *fleet.Fleet) error {
	type started struct {
		Platform  string `json:"platform"`
		Searchers int    `json:"searchers"`
	}
	if c.JSON {
		return printJSON(started{Platform: f.PlatformURL(), Searchers: len(f.Searchers)})
	}
	fmt.Printf("platform %s, %d searchers\n", f.PlatformURL(), len(f.Searchers))
	return nil
}
