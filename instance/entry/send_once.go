package entry

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/executepb"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/placement"
)

// targetPoll is the time between two looks for a target that is below its concurrency limit.
const targetPoll = 10 * time.Millisecond

// SendOnce implements claims.Targets. If this instance holds no connection to the target's group, a
// holder sends the request, because a further connection may exceed the target's limit, and a target
// that refuses a connection leaves the outcome unknown.
func (s *Service) SendOnce(ctx context.Context, r claims.Request) (string, query.Outcome) {
	ix, known := s.lookup(r.Index)
	if !known {
		return "", query.OutcomeNotRun
	}
	for _, address := range s.executeRelays(ix) {
		result, outcome, delivered := s.sendThrough(ctx, address, r)
		if delivered {
			return result, outcome
		}
	}
	return s.SendDirect(ctx, r)
}

// executeRelays returns the holders to send an execute through, none if this instance is one.
func (s *Service) executeRelays(ix *index) []string {
	place, grouped := ix.placed()
	m, known := ix.chooseSnapshot()
	if !grouped || !known {
		return nil
	}
	g, known := place.GroupOf(m.Shards[0])
	if !known || place.Holds(g.ID) {
		return nil
	}
	return s.liveAddresses(place, g.ID)
}

func (s *Service) liveAddresses(place *placement.Index, g placement.GroupID) []string {
	var addresses []string
	for _, id := range s.relaysOf(place, g) {
		if address, known := s.peerAddress(id); known && id != s.instance {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sendThrough returns false if the holder certainly did not get the request.
func (s *Service) sendThrough(ctx context.Context, address string, r claims.Request) (string, query.Outcome, bool) {
	s.counters.Counter("executes_sent_through_peers").Add(1)
	resp, err := peer.SendExecuteClient(address, s.peerPool).SendExecute(ctx, &executepb.SendExecuteRequest{
		Key: string(r.Key), Plan: r.Plan, Index: r.Index, Body: r.Body,
		TimeLeftUs: uint32(max(0, time.Until(r.Deadline).Microseconds())),
	})
	if err != nil {
		return "", query.OutcomeUnknown, !peer.NotDelivered(err)
	}
	return resp.Result, peer.OutcomeFromWire(resp.Outcome), true
}

// SendHere implements claims.Targets. It sends the request to one target of the first shard.
func (s *Service) SendDirect(ctx context.Context, r claims.Request) (string, query.Outcome) {
	ix, known := s.lookup(r.Index)
	if !known {
		return "", query.OutcomeNotRun
	}
	id, ok := ix.awaitTarget(ctx)
	if !ok {
		return "", query.OutcomeNotRun
	}
	result, outcome := s.targets.Execute(ctx, target.Execution{
		Address: ix.address(id), Key: string(r.Key), Attempt: s.nextAttempt(), Index: r.Index, Body: []byte(r.Body),
		TimeLeft: time.Until(r.Deadline),
	})
	return string(result), outcome
}

// awaitTarget returns a target for an execute, which takes the first shard. It waits until ctx is
// done, because a claim that is stored and not sent uses up its key.
func (ix *index) awaitTarget(ctx context.Context) (query.TargetID, bool) {
	for ctx.Err() == nil {
		if m, known := ix.chooseSnapshot(); known {
			if id, ok := ix.peek(m.Shards[0]); ok {
				return id, true
			}
		}
		kernel.Sleep(ctx, targetPoll)
	}
	return "", false
}
