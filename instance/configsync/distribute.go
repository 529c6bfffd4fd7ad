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
	// repairTimeout bounds one push or fetch of what has changed. The next exchange repeats it, so
	// that a lost message costs less than a second.
	repairTimeout = 500 * time.Millisecond
	// pushPatience is the time after which the next receiver of a group gets the object too. It
	// exceeds the round trip between regions several times.
	pushPatience = 150 * time.Millisecond
)

// push hands an object to all receivers along a tree in which each instance sends to at most
// config.FanOut others. It returns at once.
func (s *Service) push(o config.Object, receivers []string) {
	if s.ctx.Err() != nil {
		return
	}
	for _, group := range config.SplitReceivers(receivers) {
		s.done.Go(func() { s.pushGroup(o, group) })
	}
}

// pushGroup sends to the first of the receivers that answers in time, which hands the object on to
// those after it. Receivers that do not answer are left to the exchange.
func (s *Service) pushGroup(o config.Object, group []string) {
	for i, address := range group {
		answered := make(chan bool, 1)
		s.done.Go(func() { answered <- s.pushTo(o, address, group[i+1:]) })
		patience := kernel.NewAlarm(pushPatience)
		select {
		case ok := <-answered:
			patience.Stop()
			if ok {
				return
			}
		case <-patience.C:
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// pushTo reports whether the receiver has answered.
func (s *Service) pushTo(o config.Object, address string, onward []string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, repairTimeout)
	defer cancel()
	s.counters.Counter("pushes_sent").Add(1)
	req := &memberpb.PushRequest{Object: peer.ObjectToWire(o), Onward: onward, Stamp: peer.NewStamp(s.ring.Clock())}
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
func (s *Service) Fetch(_ context.Context, req *memberpb.FetchRequest) (*memberpb.FetchResponse, error) {
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	s.counters.Counter("fetches_received").Add(1)
	ready := s.Ready()
	s.mu.Lock()
	newer, older := s.holdings.Compare(heldFromWire(req.Held))
	s.mu.Unlock()
	resp := &memberpb.FetchResponse{Ready: ready, Older: heldToWire(older), Stamp: peer.NewStamp(s.ring.Clock())}
	for _, o := range newer {
		resp.Newer = append(resp.Newer, peer.ObjectToWire(o))
	}
	return resp, nil
}

func (s *Service) held() []config.ObjectRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings.Revisions()
}

func (s *Service) revision(k config.Key) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, _ := s.holdings.Get(k)
	return o.Revision
}

// newerThan returns the objects held here that are newer than those that a peer has named.
func (s *Service) newerThan(named []config.ObjectRevision) []config.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []config.Object
	for _, n := range named {
		if o, ok := s.holdings.Get(n.Key); ok && o.Revision > n.Revision {
			out = append(out, o)
		}
	}
	return out
}

func heldToWire(list []config.ObjectRevision) []*memberpb.Held {
	out := make([]*memberpb.Held, 0, len(list))
	for _, h := range list {
		out = append(out, &memberpb.Held{Kind: h.Kind, Name: h.Name, Revision: h.Revision})
	}
	return out
}

func heldFromWire(list []*memberpb.Held) []config.ObjectRevision {
	out := make([]config.ObjectRevision, 0, len(list))
	for _, h := range list {
		out = append(out, config.ObjectRevision{Key: config.Key{Kind: h.GetKind(), Name: h.GetName()}, Revision: h.GetRevision()})
	}
	return out
}
