// Package fleet starts the stand-ins of a small deployment in one process: the platform and the searchers of
// a few indexes.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/query"
)

// Index describes one index of a deployment.
type Index struct {
	Name        string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	// ConnectionCost is the time that a new connection to a searcher takes to become usable.
	ConnectionCost time.Duration
	// QueueLimit, ColdRequests and ColdFactor are documented in target.Config.
	QueueLimit   int
	ColdRequests int
	ColdFactor   float64
}

// Deployment describes the stand-ins of a fleet.
type Deployment struct {
	Host           string
	PlatformPort   int // 0 selects a free port
	FailureDomains []string
	Indexes        []Index
	Lists          config.Lists
	// MeanServiceTime is the mean of the exponential service time of a search.
	MeanServiceTime time.Duration
	// Tail adds a heavy tail to the service times. Its Mean is ignored.
	Tail target.ServiceTimes
	Seed uint64
	// Listen creates the listeners of the stand-ins. If it is nil, they listen on TCP.
	Listen func(address string) (net.Listener, error)
}

// Fleet is a running set of stand-ins.
type Fleet struct {
	Store     *platform.Store
	Platform  *platform.Server
	Searchers map[query.TargetID]*target.Searcher
	// Hosts simulate the processes of the searchers. They inject crashes and silent connections.
	Hosts map[query.TargetID]*target.Host

	platformURL string
	servers     []*http.Server
	listen      func(address string) (net.Listener, error)
}

// initialSnapshot is the snapshot version of every index when the fleet starts.
const initialSnapshot query.Version = 1

// Start starts the stand-ins and writes the configuration, targets and snapshots to the store. Stop stops them.
func Start(d Deployment) (*Fleet, error) {
	store := platform.NewStore()
	if d.Listen == nil {
		d.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	f := &Fleet{
		listen: d.Listen,
		Store:  store, Platform: platform.NewServer(store),
		Searchers: map[query.TargetID]*target.Searcher{}, Hosts: map[query.TargetID]*target.Host{},
	}
	address, err := f.serve(d.Host, d.PlatformPort, &http.Server{Handler: f.Platform})
	if err != nil {
		return nil, err
	}
	f.platformURL = "http://" + address
	for _, ix := range d.Indexes {
		if err := f.startIndex(d, ix); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, f.putObject(configsync.KindConfig, configsync.NameCurrent, d.Lists)
}

// PlatformURL returns the base URL of the object API.
func (f *Fleet) PlatformURL() string { return f.platformURL }

// Stop closes all listeners and connections.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		h.Stop()
	}
	for _, s := range f.servers {
		_ = s.Close() // Nothing can be done about a listener that fails to close.
	}
}

// StopPlatform closes the platform only. The searchers continue to run.
func (f *Fleet) StopPlatform() { _ = f.servers[0].Close() }

// Shutdown closes all listeners and waits for the requests in flight until ctx is done.
func (f *Fleet) Shutdown(ctx context.Context) {
	for _, h := range f.Hosts {
		h.Shutdown(ctx)
	}
	for _, s := range f.servers {
		_ = s.Shutdown(ctx) // A request that outlives ctx is aborted when the process exits.
	}
}

func (f *Fleet) serve(host string, port int, server *http.Server) (string, error) {
	listener, err := f.listen(net.JoinHostPort(host, fmt.Sprint(port)))
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // Serve always returns an error, ErrServerClosed after Close.
	return listener.Addr().String(), nil
}

func (f *Fleet) startIndex(d Deployment, ix Index) error {
	shards := make([]query.Shard, ix.Shards)
	for i := range shards {
		shards[i] = query.Shard(i)
	}
	var targets []query.Target
	for i, shard := range shards {
		for r := range ix.Replicas {
			t := query.Target{
				ID:            query.TargetID(fmt.Sprintf("%s-%d-%d", ix.Name, i, r)),
				FailureDomain: d.FailureDomains[r%len(d.FailureDomains)],
				Index:         ix.Name, Shards: []query.Shard{shard}, Connections: ix.Connections,
			}
			address, err := f.startSearcher(d, ix, t)
			if err != nil {
				return err
			}
			t.Address = address
			targets = append(targets, t)
		}
	}
	if err := f.putObject(configsync.KindTargets, ix.Name, targets); err != nil {
		return err
	}
	return f.putObject(configsync.KindSnapshots, ix.Name, []query.Map{{Version: initialSnapshot, Shards: shards}})
}

func (f *Fleet) startSearcher(d Deployment, ix Index, t query.Target) (string, error) {
	times := d.Tail
	times.Mean = d.MeanServiceTime
	searcher := target.NewSearcher(target.Config{
		Target: t, Slots: ix.Slots, QueueLimit: ix.QueueLimit, Snapshots: []query.Version{initialSnapshot},
		ColdRequests: ix.ColdRequests, ColdFactor: ix.ColdFactor,
		ServiceTime: times.Source(d.Seed, uint64(len(f.Searchers))),
		Rows:        sampleRows(ix.Name, t.Shards[0]), Ring: f.Platform.Ring(),
	})
	host := target.NewHost(searcher, target.HostConfig{Connections: ix.Connections, ConnectionCost: ix.ConnectionCost, Listen: d.Listen})
	f.Searchers[t.ID], f.Hosts[t.ID] = searcher, host
	return host.Start(net.JoinHostPort(d.Host, "0"))
}

func sampleRows(index string, shard query.Shard) []target.Row {
	texts := []string{"deposit credit for kimchi jars", "return of washed jars", "ward sign with Welsh contractions"}
	rows := make([]target.Row, 0, len(texts))
	for i, text := range texts {
		id := fmt.Sprintf("%s/%d/%d", index, shard, i)
		rows = append(rows, target.Row{Shard: shard, ID: id, Text: fmt.Sprintf("%s, entry %d of shard %d", text, i, shard)})
	}
	return rows
}

func (f *Fleet) putObject(kind, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	current, _ := f.Store.Get(kind, name)
	if _, ok := f.Store.Put(kind, name, data, current.Version, 0); !ok {
		return errors.Errorf("object %s/%s was changed concurrently", kind, name)
	}
	return nil
}

// SetInstances replaces the platform's list of instances.
func (f *Fleet) SetInstances(list []api.Instance) { f.Store.SetInstances(list) }
