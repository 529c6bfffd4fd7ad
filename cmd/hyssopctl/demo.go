package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/kernel/settings"
)

const (
	// readyTimeout is the time limit for the instances of the demo to become ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the delay between two readiness checks of an instance.
	readyPollInterval = 20 * time.Millisecond
)

type demoCmd struct {
	Once bool  `help:"End after the first query instead of serving on."`
	Port []int `default:"7101,7102" help:"Ports of the instances on 127.0.0.1."`
}

// Run starts stand-ins and instances, sends one query to each instance and prints commands to try next.
func (d demoCmd) Run(c *cli) error {
	f, err := fleet.Start(demoDeployment(0))
	if err != nil {
		return err
	}
	defer f.Stop()
	apps, err := d.startInstances(f)
	defer stopInstances(apps)
	if err != nil {
		return err
	}
	if err := d.queryEachInstance(c, apps); err != nil || d.Once {
		return err
	}
	d.printHints(apps, f.PlatformURL())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func (d demoCmd) startInstances(f *fleet.Fleet) ([]*app.App, error) {
	domains := demoDeployment(0).FailureDomains
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	var apps []*app.App
	var list []platform.Instance
	for i, port := range d.Port {
		s := app.Settings{
			Instance: fmt.Sprintf("entry-%d", i+1), FailureDomain: domains[i%len(domains)], Region: "north",
			Listen: fmt.Sprintf("127.0.0.1:%d", port), Platform: f.PlatformURL(),
			BalancerLag: settings.Duration(time.Millisecond), // the demo has no load balancer
		}
		a, err := app.New(s, log)
		if err != nil {
			return apps, err
		}
		apps = append(apps, a)
		list = append(list, platform.Instance{
			ID: s.Instance, Address: a.Address(), FailureDomain: s.FailureDomain, State: platform.InstanceLive,
		})
	}
	f.SetInstances(list)
	for _, a := range apps {
		if err := a.Start(context.Background()); err != nil {
			return apps, err
		}
	}
	return apps, waitReady(apps)
}

func stopInstances(apps []*app.App) {
	for _, a := range apps {
		if err := a.Stop(context.Background()); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func waitReady(apps []*app.App) error {
	deadline := time.Now().Add(readyTimeout)
	for _, a := range apps {
		for call(http.MethodGet, a.Address(), "/readyz", nil, nil, nil) != nil {
			if time.Now().After(deadline) {
				return errors.Errorf("instance %s is not ready after %s", a.Address(), readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (d demoCmd) queryEachInstance(c *cli, apps []*app.App) error {
	for _, a := range apps {
		var result caller.SearchResult
		search := caller.SearchRequest{Plan: "counter", Index: "returns-counter", Query: "washed jars", Limit: 3}
		if err := call(http.MethodPost, a.Address(), "/v1/search", nil, search, &result); err != nil {
			return err
		}
		if c.JSON {
			if err := printJSON(result); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%s answered at snapshot %d: %d of %d shards, %d hits, the first is %q\n",
			result.Instance, result.Snapshot, len(result.Coverage.Included),
			len(result.Coverage.Included)+len(result.Coverage.Missing), len(result.Hits), result.Hits[0].Text)
	}
	return nil
}

func (d demoCmd) printHints(apps []*app.App, platformURL string) {
	first, last := apps[0].Address(), apps[len(apps)-1].Address()
	fmt.Printf(`
Try a search:
  curl -s http://%s/v1/search -d '{"plan":"counter","index":"returns-counter","query":"washed jars"}'
Suspend the plan through one instance, then search through the other:
  echo '{"name":"counter","priority":"high","prefer":"tail","suspended":true}' | go run ./cmd/hyssopctl --instance %s plan put --revision 1
  curl -s http://%s/v1/search -d '{"plan":"counter","index":"returns-counter","query":"washed jars"}'
See what happened:
  go run ./cmd/hyssopctl timeline %s %s %s
Interrupt ends the demo.
`, first, first, last, first, last, strings.TrimPrefix(platformURL, "http://"))
}
