package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/emulator/fleet"
)

type standinsCmd struct {
	PlatformPort int `default:"7000" help:"Port of the object API on 127.0.0.1; 0 takes a free one."`
	// Instances are the entries of the platform's list of instances, by which instances discover each other.
	Instances []string `default:"entry-1/127.0.0.1:7101/austur-a,entry-2/127.0.0.1:7102/reykjanes-a" help:"Instances in the platform's list, each as ID/ADDRESS/FAILURE-DOMAIN. The default names those of the folder examples."`
	FanOut    []int    `help:"Serve one index fan-N with N shards, without service time, for each N instead of the demo's indexes."`
}

// Run serves the stand-ins until it is interrupted.
func (s standinsCmd) Run(c *cli) error {
	f, err := fleet.Start(s.deployment())
	if err != nil {
		return err
	}
	defer f.Stop()
	list, err := parseInstances(s.Instances)
	if err != nil {
		return err
	}
	f.SetInstances(list)
	if err := printStandins(c, f); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

// parseInstances parses instances in the form ID/ADDRESS/FAILURE-DOMAIN.
func parseInstances(specs []string) ([]platform.Instance, error) {
	var list []platform.Instance
	for _, spec := range specs {
		parts := strings.Split(spec, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("instance %q: expected ID/ADDRESS/FAILURE-DOMAIN", spec)
		}
		list = append(list, platform.Instance{
			ID: parts[0], Address: parts[1], FailureDomain: parts[2], State: platform.InstanceLive,
		})
	}
	return list, nil
}

func (s standinsCmd) deployment() fleet.Deployment {
	if len(s.FanOut) == 0 {
		return demoDeployment(s.PlatformPort)
	}
	return fanOutDeployment(s.PlatformPort, s.FanOut)
}

func printStandins(c *cli, f *fleet.Fleet) error {
	type summary struct {
		Platform  string `json:"platform"`
		Searchers int    `json:"searchers"`
	}
	if c.JSON {
		return printJSON(summary{Platform: f.PlatformURL(), Searchers: len(f.Searchers)})
	}
	fmt.Printf("platform %s, %d searchers\n", f.PlatformURL(), len(f.Searchers))
	return nil
}
