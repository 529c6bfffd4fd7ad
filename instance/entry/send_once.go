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

// targetPollInterval is the interval between two searches for a target that is below its concurrency limit.
const targetPollInterval = 10 * time.Millisecond

// SendOnce implements claims.Targets. If this instance does not hold the target's group, it sends the request through
// a holder, because one more connection may exceed the target's limit, and a refused connection leaves the outcome
// unknown.
func (s *Service) SendOnce(ctx context.Context, r claims.Request) (string, query.Outcome) {
	ix, ok := s.lookup(r.Index)
	if !ok {
		return "", query.OutcomeNotRun
	}
	for _, address := range s.executeRelays(ix) {
		result, outcome, delivered := s.sendViaPeer(ctx, address, r)
		if delivered {
			return result, outcome
		}
	}
	return s.SendDirect(ctx, r)
}

// executeRelays returns the addresses of the holders through which an execute is sent, none if this instance can send
// it directly.
func (s *Service) executeRelays(ix *index) []string {
	groupPlacement, twoLevels := ix.twoLevelPlacement()
	m, ok := ix.chooseSnapshot()
	if !twoLevels || !ok {
		return nil
	}
	g, ok := groupPlacement.GroupOf(m.Shards[0])
	if !ok || groupPlacement.Holds(g.ID) {
		return nil
	}
	return s.relayAddresses(groupPlacement, g.ID)
}

// relayAddresses returns the known addresses of the relays of a group, except this instance.
func (s *Service) relayAddresses(groupPlacement *placement.Index, g placement.GroupID) []string {
	var addresses []string
	for _, id := range s.relaysOf(groupPlacement, g) {
		if address, ok := s.peerAddress(id); ok && id != s.instance {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sendViaPeer sends an execute through a holder. It returns false if the holder certainly did not receive the request.
func (s *Service) sendViaPeer(ctx context.Context, address string, r claims.Request) (string, query.Outcome, bool) {
	s.counters.Counter("executes_sent_through_peers").Add(1)
	resp, err := peer.AtMostOnceExecutionClient(address, s.peerTransport).SendExecute(ctx, &executepb.SendExecuteRequest{
		Key: string(r.Key), Plan: r.Plan, Index: r.Index, Body: r.Body,
		TimeLeftUs: uint32(max(0, time.Until(r.Deadline).Microseconds())),
	})
	if err != nil {
		return "", query.OutcomeUnknown, !peer.NotDelivered(err)
	}
	return resp.Result, peer.OutcomeFromWire(resp.Outcome), true
}

// SendDirect implements claims.Targets. It sends the request to one target of the first shard.
func (s *Service) SendDirect(ctx context.Context, r claims.Request) (string, query.Outcome) {
	ix, known := s.lookup(r.Index)
	if !known {
		return "", query.OutcomeNotRun
	}
	id, ok := ix.awaitTarget(ctx)
	if !ok {
		return "", query.OutcomeNotRun
	}
	result, outcome := s.targetClient.Execute(ctx, target.Execution{
		Address: ix.address(id), Key: string(r.Key), Attempt: s.nextAttempt(), Index: r.Index, Body: []byte(r.Body),
		TimeLeft: time.Until(r.Deadline),
	})
	return string(result), outcome
}

// awaitTarget returns a target of the first shard, to which execute requests are sent. It waits for one until ctx is
// done, because a claim that is stored but not sent consumes its key.
func (ix *index) awaitTarget(ctx context.Context) (query.TargetID, bool) {
	for ctx.Err() == nil {
		if m, known := ix.chooseSnapshot(); known {
			if id, ok := ix.peek(m.Shards[0]); ok {
				return id, true
			}
		}
		kernel.Sleep(ctx, targetPollInterval)
	}
	return "", false
}
