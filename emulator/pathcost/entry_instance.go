package pathcost

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/entry"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/query"
)

const (
	planName = "counter"
	// readyTimeout bounds the wait for configuration, target lists and connections. An instance opens 19
	// connections per second.
	readyTimeout    = 2 * time.Minute
	readyPollPeriod = 20 * time.Millisecond
)

func indexName(fanOut int) string { return fmt.Sprintf("fan-%d", fanOut) }

// entryInstance is a complete instance whose entry service is called directly, without the HTTP server.
type entryInstance struct {
	app     *app.App
	entry   *entry.Service
	targets map[string][]query.Target
}

func newEntryInstance(platformURL string, log *slog.Logger) (*entryInstance, error) {
	a, err := app.New(app.Settings{
		Instance: "path-cost", FailureDomain: "local", Region: "local", Listen: "127.0.0.1:0", Platform: platformURL,
		BalancerLag: settings.Duration(time.Millisecond), // no balancer sends requests here
	}, log)
	if err != nil {
		return nil, err
	}
	if err := a.Start(context.Background()); err != nil {
		return nil, err
	}
	e := &entryInstance{app: a, entry: a.Entry(), targets: map[string][]query.Target{}}
	if err := e.loadTargets(platformURL); err != nil {
		e.stop()
		return nil, err
	}
	return e, e.waitReady()
}

// stop ignores errors, because the process ends after the measurement.
func (e *entryInstance) stop() { _ = e.app.Stop(context.Background()) }

func (e *entryInstance) loadTargets(platformURL string) error {
	client := platform.NewClient(platformURL, http.DefaultTransport, nil)
	changes, err := client.Watch(context.Background(), "measure", configsync.KindTargets, 0, 0)
	if err != nil {
		return err
	}
	for _, obj := range changes.Objects {
		var targets []query.Target
		if err := json.Unmarshal(obj.Data, &targets); err != nil {
			return errors.Wrapf(err, "decode targets of %s", obj.Name)
		}
		e.targets[obj.Name] = targets
	}
	return nil
}

// waitReady waits until a query over each index has a complete answer.
func (e *entryInstance) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for index := range e.targets {
		for {
			err := e.search(context.Background(), index)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return errors.Wrapf(err, "index %s is not ready", index)
			}
			time.Sleep(readyPollPeriod)
		}
	}
	return nil
}

func newRow(fanOut int, bareSamples, pathSamples []Sample) Row {
	ratios := make([]float64, len(bareSamples))
	for i := range bareSamples {
		ratios[i] = bareSamples[i].CPUMicros / pathSamples[i].CPUMicros
	}
	slices.Sort(ratios)
	return Row{
		FanOut: fanOut, Bare: medianSample(bareSamples), Path: medianSample(pathSamples),
		CPURatio: ratios[len(ratios)/2], MinCPURatio: ratios[0], MaxCPURatio: ratios[len(ratios)-1],
	}
}

func medianSample(samples []Sample) Sample {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b Sample) int { return cmp.Compare(a.CPUMicros, b.CPUMicros) })
	return sorted[len(sorted)/2]
}
