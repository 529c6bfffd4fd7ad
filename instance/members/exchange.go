package members

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
)

// fullStateTimeout bounds a request for the full state of a peer.
const fullStateTimeout = 2 * time.Second

// runNode wakes the node when it is due or has changed, and performs its actions, until ctx is done.
func (s *Service) runNode(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	alarm := kernel.NewAlarm(0)
	defer alarm.Stop()
	for {
		select {
		case <-alarm.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		now := time.Now()
		actions := s.node.OnWake(now)
		next := s.node.NextWake()
		s.mu.Unlock()
		alarm.Set(time.Until(next))
		for _, a := range actions {
			calls.Go(func() { s.perform(ctx, a) })
		}
	}
}

func (s *Service) perform(ctx context.Context, a membership.Action) {
	switch a := a.(type) {
	case membership.SendExchange:
		s.sendExchange(ctx, a)
	case membership.RequestProbe:
		s.requestProbe(ctx, a)
	case membership.RequestFullState:
		s.requestFullState(ctx, a)
	}
}

func (s *Service) sendExchange(ctx context.Context, a membership.SendExchange) {
	callCtx, cancel := context.WithTimeout(ctx, membership.ExchangeTimeout)
	defer cancel()
	s.counters.Counter("exchanges_sent").Add(1)
	sent := time.Now()
	answer, err := peer.MembershipClient(a.To.Address, s.transport).Exchange(callCtx, s.messageToWire(a.Message))
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.counters.Counter("exchange_failures").Add(1)
	}
	var actions []membership.Action
	s.update(func(now time.Time) {
		if err != nil {
			actions = s.node.OnMiss(a.To, now)
		} else {
			actions = s.node.OnAnswer(a.To, a.Message, peer.MessageFromWire(answer), now)
		}
	})
	if err == nil {
		peer.ObserveStamp(s.ring.Clock(), answer.Stamp)
		s.config.OnDigest(ctx, a.To.Address, digestFromWire(answer.Digest), sent)
	}
	for _, next := range actions {
		s.perform(ctx, next)
	}
}

func (s *Service) requestProbe(ctx context.Context, a membership.RequestProbe) {
	callCtx, cancel := context.WithTimeout(ctx, 2*membership.ExchangeTimeout)
	defer cancel()
	s.counters.Counter("members_asked_through_another").Add(1)
	req := &memberpb.AskRequest{Silent: peer.MemberToWire(a.Subject), Stamp: peer.NewStamp(s.ring.Clock())}
	resp, err := peer.MembershipClient(a.Prober.Address, s.transport).Ask(callCtx, req)
	if ctx.Err() != nil {
		return
	}
	reached := err == nil && resp.Reached
	s.update(func(now time.Time) {
		s.node.OnProbeResult(a.Subject, reached, peer.MemberFromWire(resp.GetRecord()), now)
	})
}

// requestFullState reports whether the peer returned its members.
func (s *Service) requestFullState(ctx context.Context, a membership.RequestFullState) bool {
	callCtx, cancel := context.WithTimeout(ctx, fullStateTimeout)
	defer cancel()
	s.counters.Counter("full_states_requested").Add(1)
	req := &memberpb.FullStateRequest{Id: s.Self().ID, Stamp: peer.NewStamp(s.ring.Clock())}
	resp, err := peer.MembershipClient(a.From.Address, s.transport).FullState(callCtx, req)
	if err != nil {
		s.counters.Counter("full_state_failures").Add(1)
		return false
	}
	peer.ObserveStamp(s.ring.Clock(), resp.Stamp)
	s.update(func(now time.Time) { s.node.OnFullState(resp.Id, peer.MembersFromWire(resp.Members), now) })
	return true
}

// announceStop announces to the peers that the instance is stopping.
func (s *Service) announceStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.mu.Lock()
	actions := s.node.Leave(time.Now())
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, a := range actions {
		if send, ok := a.(membership.SendExchange); ok {
			calls.Go(func() {
				// A peer that is not reached detects the end of the instance by missed exchanges.
				_, _ = peer.MembershipClient(send.To.Address, s.transport).Exchange(ctx, s.messageToWire(send.Message))
			})
		}
	}
	calls.Wait()
}

// Exchange implements the twirp service. It merges the peer's message and answers with one of its own.
func (s *Service) Exchange(_ context.Context, req *memberpb.ExchangeMessage) (*memberpb.ExchangeMessage, error) {
	if req.Id == "" {
		return nil, twirp.RequiredArgumentError("id")
	}
	s.counters.Counter("exchanges_received").Add(1)
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	var answer membership.Message
	s.update(func(now time.Time) { answer = s.node.OnRequest(peer.MessageFromWire(req), now) })
	return s.messageToWire(answer), nil
}

// FullState implements the twirp service. It returns all members, but at most once a second to each peer.
func (s *Service) FullState(_ context.Context, req *memberpb.FullStateRequest) (*memberpb.FullStateResponse, error) {
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	s.mu.Lock()
	self := s.node.Self()
	records, ok := s.node.FullState(req.Id, time.Now())
	s.mu.Unlock()
	if !ok {
		s.counters.Counter("full_states_refused").Add(1)
		return nil, twirp.NewError(twirp.ResourceExhausted, "one full state a second for each peer")
	}
	s.counters.Counter("full_states_given").Add(1)
	return &memberpb.FullStateResponse{Id: self.ID, Members: peer.MembersToWire(records), Stamp: peer.NewStamp(s.ring.Clock())}, nil
}

// Ask implements the twirp service. It probes an unresponsive member on behalf of the caller.
func (s *Service) Ask(ctx context.Context, req *memberpb.AskRequest) (*memberpb.AskResponse, error) {
	peer.ObserveStamp(s.ring.Clock(), req.Stamp)
	subject := peer.MemberFromWire(req.Silent)
	var message membership.Message
	s.update(func(now time.Time) { message = s.node.OnProbeRequest(subject, now) })
	callCtx, cancel := context.WithTimeout(ctx, membership.ExchangeTimeout)
	defer cancel()
	answer, err := peer.MembershipClient(subject.Address, s.transport).Exchange(callCtx, s.messageToWire(message))
	if err != nil || answer.Id != subject.ID {
		return &memberpb.AskResponse{Stamp: peer.NewStamp(s.ring.Clock())}, nil
	}
	record := subject
	s.update(func(now time.Time) { record = s.node.OnProbeAnswer(subject, peer.MessageFromWire(answer), now) })
	return &memberpb.AskResponse{Reached: true, Record: peer.MemberToWire(record), Stamp: peer.NewStamp(s.ring.Clock())}, nil
}

func (s *Service) messageToWire(m membership.Message) *memberpb.ExchangeMessage {
	out := peer.MessageToWire(m)
	d := s.config.Digest()
	out.Digest = &memberpb.Digest{ConfigSequence: d.ConfigSequence, ObjectsHash: d.ObjectsHash}
	if d.Confirmed {
		out.Digest.ConfirmedAgeMs = uint64(d.ConfirmedAge.Milliseconds()) + 1
	}
	out.Stamp = peer.NewStamp(s.ring.Clock())
	return out
}

func digestFromWire(d *memberpb.Digest) configsync.Digest {
	out := configsync.Digest{ConfigSequence: d.GetConfigSequence(), ObjectsHash: d.GetObjectsHash()}
	if d.GetConfirmedAgeMs() > 0 {
		out.Confirmed = true
		out.ConfirmedAge = time.Duration(d.GetConfirmedAgeMs()) * time.Millisecond
	}
	return out
}
