// Package controlplane runs the control services of instances (members, configsync and operator) with the platform
// stand-in in one process on loopback. It measures the cost of the services and the time until a configuration is in
// force at all instances. Its measures run in real time.
package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/peer"
	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/instance/operator"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

const (
	// failureDomains and regions are the numbers of a deployment with targetSize instances.
	failureDomains = 7
	regions        = 2
	// plans is the number of plans in the stored lists. Each has a limit.
	plans = 100
	// settleTimeout bounds the wait until all instances see each other as live.
	settleTimeout      = 60 * time.Second
	settlePollInterval = 50 * time.Millisecond
	// timelineEvents is small because the memory of the timeline is not a cost of control.
	timelineEvents  = 64
	shutdownTimeout = 5 * time.Second
)

// Instance is one instance that runs only the control services.
type Instance struct {
	Self     membership.Member
	Region   int
	Config   *configsync.Service
	Members  *members.Service
	Operator *operator.Service
	Counters *counters.Set
	// StoreTraffic counts the bytes of the calls to the platform.
	StoreTraffic *peer.Traffic

	crashed atomic.Bool
	kernel  *kernel.Kernel
	server  *http.Server
}

// Fleet is a set of running instances and their platform.
type Fleet struct {
	Store     *platform.Store
	Platform  *platform.Server
	Network   *Network
	Instances []*Instance

	crashedInstances []*Instance // their counters are included in samples
	platformURL      string
	platformServer   *http.Server
}

// locationOf returns the failure domain and the region of instance n.
func locationOf(n int) (string, int) {
	domain := n % failureDomains
	return fmt.Sprintf("domain-%d", domain), domain * regions / failureDomains
}

// StartFleet starts the platform and size instances, and waits until all see each other as live.
func StartFleet(size int, n *Network) (*Fleet, error) {
	f := &Fleet{Store: platform.NewStore(), Network: n}
	f.Platform = platform.NewServer(f.Store)
	listener, err := n.listen("platform")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	f.platformURL = "http://" + listener.Addr().String()
	f.platformServer = &http.Server{Handler: f.Platform}
	go func() { _ = f.platformServer.Serve(listener) }() // Serve always returns an error, ErrServerClosed after Close.
	data, err := json.Marshal(initialLists())
	if err != nil {
		return nil, errors.Wrap(err, "encode lists")
	}
	f.Store.Put(configsync.KindConfig, configsync.NameCurrent, data, 0, 0)
	for i := range size {
		if err := f.addInstance(i); err != nil {
			return f, err
		}
	}
	f.publishInstances()
	for _, i := range f.Instances {
		if err := i.start(); err != nil {
			return f, err
		}
	}
	return f, f.Settle()
}

func initialLists() config.Lists {
	l := config.Lists{Sequence: 1, Plans: map[string]config.Entry[config.Plan]{}, Limits: map[string]config.Entry[config.Limit]{}}
	for i := range plans {
		name := planName(i)
		plan := config.Plan{Name: name, Priority: config.PriorityNormal, Prefer: config.PreferCoverage}
		limit := config.Limit{
			Plan: name, Indexes: []string{"shop-returns-counter", "deposit-ledger"}, RatePerSecond: 1000,
			Concurrency: 100, DeadlineMillis: 250, LeastCoverage: 0.9,
		}
		l.Plans[name] = config.Entry[config.Plan]{Value: plan, Revision: 1, Edit: "initial"}
		l.Limits[name] = config.Entry[config.Limit]{Value: limit, Revision: 1, Edit: "initial"}
	}
	return l
}

func planName(i int) string { return fmt.Sprintf("plan-%03d", i) }

// addInstance creates instance n and its listener without starting its services.
func (f *Fleet) addInstance(n int) error {
	id := fmt.Sprintf("instance-%03d", n)
	listener, err := f.Network.listen(id)
	if err != nil {
		return errors.Wrap(err, "listen for an instance")
	}
	domain, region := locationOf(n)
	i := &Instance{Region: region, Counters: counters.NewSet(), kernel: kernel.New()}
	i.Self = membership.Member{
		ID: id, Address: listener.Addr().String(), FailureDomain: domain,
		Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting,
	}
	i.StoreTraffic = &peer.Traffic{
		BytesSent: i.Counters.Counter("store_bytes_sent"), BytesReceived: i.Counters.Counter("store_bytes_received"),
	}
	log := slog.New(slog.DiscardHandler)
	ring := timeline.NewRing(i.Self.ID, timelineEvents, hlc.New(time.Now))
	store := f.Network.storeTransport(region, &http.Transport{DialContext: f.Network.dialFunc(i.StoreTraffic)})
	client := api.NewClient(f.platformURL, store, func(p api.Purpose) {
		i.Counters.Counter("platform_calls_" + string(p)).Add(1)
	})
	i.Config = configsync.New(client, i.kernel.Bus(), ring, log, i.Counters)
	i.Members = members.New(i.Self, client, i.Config, i.kernel.Bus(), ring, log, i.Counters)
	i.Operator = operator.New(i.Self.ID, domain, client, i.Config, i.Members, ring, i.Counters)
	i.Members.WrapTransport(func(next http.RoundTripper) http.RoundTripper {
		if f.Network.pipes != nil {
			transport := peer.NewTransport(nil)
			transport.DialContext = f.Network.dialFunc(nil)
			next = transport
		}
		return i.failAfterCrash(f.Network.peerTransport(domain, region, next))
	})
	f.Network.setLocation(i.Self.Address, domain, region)
	i.serve(listener)
	f.Instances = append(f.Instances, i)
	return nil
}

func (i *Instance) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(peer.MembershipHandler(i.Members))
	mux.Handle(peer.DistributionHandler(i.Config))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	i.server = &http.Server{Handler: mux, Protocols: &protocols, ConnContext: peer.ConnContext(i.Members.Traffic())}
	go func() { _ = i.server.Serve(peer.Listener{Listener: listener}) }() // returns ErrServerClosed after Close
}

// failAfterCrash returns a transport that sends nothing once the instance has crashed.
func (i *Instance) failAfterCrash(next http.RoundTripper) http.RoundTripper {
	return roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		if i.crashed.Load() {
			return nil, errMessageLost
		}
		return next.RoundTrip(r)
	})
}

func (i *Instance) start() error {
	for _, s := range []kernel.Service{i.Config, i.Members, i.Operator} {
		if err := i.kernel.Register(s); err != nil {
			return err
		}
	}
	return i.kernel.Start(context.Background())
}

// stop stops the instance. The instance announces that it leaves to its peers unless it has crashed.
func (i *Instance) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = i.server.Close()   // The listener is closed even if Close fails.
	_ = i.kernel.Stop(ctx) // A service that does not stop in time ends with the process.
}

// publishInstances sets the platform's list of instances to those of the fleet.
func (f *Fleet) publishInstances() {
	var list []api.Instance
	for _, i := range f.Instances {
		list = append(list, api.Instance{
			ID: i.Self.ID, Address: i.Self.Address, FailureDomain: i.Self.FailureDomain, State: api.InstanceLive,
		})
	}
	f.Store.SetInstances(list)
}

// Settle waits until all instances see each other as live and have the same configuration in force.
func (f *Fleet) Settle() error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(settlePollInterval) {
		if f.settled() {
			return nil
		}
	}
	return errors.Errorf("%d instances did not settle within %s", len(f.Instances), settleTimeout)
}

func (f *Fleet) settled() bool {
	first, _ := f.Instances[0].Config.InForce()
	for _, i := range f.Instances {
		inForce, known := i.Config.InForce()
		if !known || inForce.Sequence != first.Sequence || i.Members.LiveCount() != len(f.Instances) {
			return false
		}
	}
	return true
}

// Stop stops all instances and the platform.
func (f *Fleet) Stop() {
	var stops sync.WaitGroup
	for _, i := range f.Instances {
		stops.Go(i.stop)
	}
	stops.Wait()
	_ = f.platformServer.Close() // The listener is closed even if Close fails.
}

func (f *Fleet) randomInstance(random *rand.Rand) *Instance {
	return f.Instances[random.IntN(len(f.Instances))]
}
