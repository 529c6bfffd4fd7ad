package configsync

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/kernel"
)

const (
	// repairTimeout bounds one push or fetch of changed objects. The next exchange repeats it, so that
	// a lost message delays an object by less than a second.
	repairTimeout = 500 * time.Millisecond
	// pushHedgeDelay is the time without an answer after which the object is also sent to the next
	// receiver of a group. It is several times the round trip between regions.
	pushHedgeDelay = 150 * time.Millisecond
)

// push sends an object to all receivers along a tree in which each instance sends to at most
// config.FanOut others. It does not block.
func (s *Service) push(o config.Object, receivers []string) {
	if s.ctx.Err() != nil {
		return
	}
	for _, group := range config.SplitReceivers(receivers) {
		s.done.Go(func() { s.pushGroup(o, group) })
	}
}

// pushGroup sends an object to the receivers of a group in turn until one answers. That receiver
// forwards the object to the receivers after it. A receiver that does not answer gets the object
// through an exchange.
func (s *Service) pushGroup(o config.Object, group []string) {
	for i, address := range group {
		answered := make(chan bool, 1)
		s.done.Go(func() { answered <- s.pushTo(o, address, group[i+1:]) })
		alarm := kernel.NewAlarm(pushHedgeDelay)
		select {
		case ok := <-answered:
			alarm.Stop()
			if ok {
				return
			}
		case <-alarm.C:
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// wireObject returns the message for an object. An object goes to several peers, and compressing it takes far longer
// than sending it.
func (s *Service) wireObject(o config.Object) *memberpb.Object {
	s.wireMu.Lock()
	defer s.wireMu.Unlock()
	cached := s.wireObjects[o.Key]
	if cached == nil || cached.Revision != o.Revision {
		cached = peer.ObjectToWire(o)
		s.wireObjects[o.Key] = cached
	}
	return cached
}

// pushTo sends an object to one receiver, to be forwarded to others, and reports whether the push
// succeeded.
func (s *Service) pushTo(o config.Object, address string, forwardTo []string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, repairTimeout)
	defer cancel()
	s.counters.Counter("pushes_sent").Add(1)
	req := &memberpb.PushRequest{Object: s.wireObject(o), Onward: forwardTo, Stamp: peer.NewStamp(s.ring.Clock())}
	_, err := peer.DistributionClient(address, s.fleet.Transport()).Push(ctx, req)
	if err != nil {
		s.counters.Counter("push_failures").Add(1)
	}
	return err == nil
}

// Push implements the twirp service.
func (s *Service) Push(_ context.Context, req *memberpb.PushRequest) (*memberpb.PushResponse, error) {
	if req.Object == nil {
		return nil, twirp.RequiredArgumentError("object")
	}
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	s.counters.Counter("pushes_received").Add(1)
	o, err := peer.ObjectFromWire(req.Object)
	if err != nil {
		return nil, twirp.InvalidArgumentError("object", err.Error())
	}
	s.push(o, req.Onward)
	s.offer(o)
	return &memberpb.PushResponse{Revision: s.revision(o.Key), Stamp: peer.NewStamp(s.ring.Clock())}, nil
}

// Fetch implements the twirp service.
func (s *Service) Fetch(ctx context.Context, req *memberpb.FetchRequest) (*memberpb.FetchResponse, error) {
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	s.counters.Counter("fetches_received").Add(1)
	ready := s.Ready()
	storeRead := req.ReadStore && ready && s.readForPeer(ctx)
	s.mu.Lock()
	newer, older := s.objects.Compare(revisionsFromWire(req.Held))
	s.mu.Unlock()
	resp := &memberpb.FetchResponse{Ready: ready, StoreRead: storeRead, Older: revisionsToWire(older), Stamp: peer.NewStamp(s.ring.Clock())}
	for _, o := range newer {
		resp.Newer = append(resp.Newer, s.wireObject(o))
	}
	return resp, nil
}

func (s *Service) revisions() []config.ObjectRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects.Revisions()
}

func (s *Service) revision(k config.Key) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, _ := s.objects.Get(k)
	return o.Revision
}

// newerThan returns the objects that are newer here than in a peer's list of revisions.
func (s *Service) newerThan(revisions []config.ObjectRevision) []config.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []config.Object
	for _, r := range revisions {
		if o, ok := s.objects.Get(r.Key); ok && o.Revision > r.Revision {
			out = append(out, o)
		}
	}
	return out
}

func revisionsToWire(list []config.ObjectRevision) []*memberpb.Held {
	out := make([]*memberpb.Held, 0, len(list))
	for _, r := range list {
		out = append(out, &memberpb.Held{Kind: r.Kind, Name: r.Name, Revision: r.Revision})
	}
	return out
}

func revisionsFromWire(list []*memberpb.Held) []config.ObjectRevision {
	out := make([]config.ObjectRevision, 0, len(list))
	for _, h := range list {
		out = append(out, config.ObjectRevision{Key: config.Key{Kind: h.GetKind(), Name: h.GetName()}, Revision: h.GetRevision()})
	}
	return out
}
