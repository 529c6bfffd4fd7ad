package measure

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/placement"
)

func init() {
	Register(Measure{
		Name:    "fan-out",
		Summary: "messages and bytes per query over two levels, against one level (counts, no times)",
		Run:     runFanOut,
	})
}

const (
	fanOutHits       = 10 // hits of an answer and of each shard
	hitTextBytes     = 60 // size of the text of a hit
	sampledInstances = 70 // maximum number of instances whose queries are counted
)

// fanOutCase is one index whose queries are counted.
type fanOutCase struct {
	name        string
	deployment  Deployment
	shards      int
	connections int // connection limit of a target
}

// fanOutCount holds the messages and bytes of the queries of some instances.
type fanOutCount struct {
	queries, messages, crossDomain, bytes, crossDomainBytes float64
}

// addMessage counts one message, which may cross from one failure domain to another.
func (c *fanOutCount) addMessage(from, to string, size int) {
	c.messages++
	c.bytes += float64(size)
	if from != to {
		c.crossDomain++
		c.crossDomainBytes += float64(size)
	}
}

func (c *fanOutCount) figures() Figures {
	return Figures{
		"messages_per_query": c.messages / c.queries, "cross_domain_messages_per_query": c.crossDomain / c.queries,
		"body_bytes_per_query": c.bytes / c.queries, "cross_domain_bytes_per_query": c.crossDomainBytes / c.queries,
	}
}

// runFanOut counts requests and answers of queries without failures. Each sub-request goes to a target in
// the failure domain of its sender if there is one. Bytes are those of the message bodies.
func runFanOut(seed uint64) Report {
	report := NewReport()
	eightInstances := Deployments()[0]
	eightInstances.Entries = 8
	for _, c := range []fanOutCase{
		// 8 instances need only one level; the connection limit of 8 forces two.
		{name: "8_instances", deployment: eightInstances, shards: 15, connections: 8},
		{name: "780_instances", deployment: wideDeployment(780), shards: 440, connections: 25},
	} {
		targets := c.targets(rand.New(rand.NewPCG(seed, 1)))
		members := c.members()
		flat, twoLevel := c.oneLevel(targets, members), c.twoLevels(targets, members, rand.New(rand.NewPCG(seed, 2)))
		addCase(report.Baseline, c.name, flat)
		addCase(report.Result, c.name, twoLevel)
		for figure := range twoLevel {
			report.SetRatio(c.name + "/" + figure)
		}
		report.ResultAtMost(c.name+"/connections_per_target", float64(c.connections/2))
		addCase(report.Sizes, c.name, Figures{
			"instances": float64(len(members)), "shards": float64(c.shards), "replicas": churnReplicas,
			"connection_limit": float64(c.connections), "failure_domains": float64(len(c.deployment.FailureDomains)),
		})
	}
	return report
}

// targets places the replicas of each shard in three random failure domains.
func (c fanOutCase) targets(source *rand.Rand) []query.Target {
	domains := c.deployment.FailureDomains
	var out []query.Target
	for s := range c.shards {
		for replica, d := range source.Perm(len(domains))[:churnReplicas] {
			out = append(out, query.Target{
				ID: query.TargetID(fmt.Sprintf("%d-%d", s, replica)), FailureDomain: domains[d], Index: churnIndex,
				Shards: []query.Shard{query.Shard(s)}, Connections: c.connections,
			})
		}
	}
	return out
}

func (c fanOutCase) members() []placement.Instance {
	domains := c.deployment.FailureDomains
	var out []placement.Instance
	for i := range c.deployment.Entries {
		out = append(out, placement.Instance{ID: fmt.Sprintf("instance-%d", i), FailureDomain: domains[i%len(domains)]})
	}
	return out
}

// nearestReplicaDomain returns the failure domain of the replica of a shard that is queried from a domain.
func nearestReplicaDomain(targets []query.Target, s query.Shard, from string) string {
	replicas := targets[int(s)*churnReplicas : (int(s)+1)*churnReplicas]
	for _, t := range replicas {
		if t.FailureDomain == from {
			return from
		}
	}
	return replicas[0].FailureDomain
}

// countShard counts the sub-request to a shard and its reply.
func countShard(count *fanOutCount, targets []query.Target, s query.Shard, from string) {
	to := nearestReplicaDomain(targets, s, from)
	count.addMessage(from, to, proto.Size(searchRequest(s)))
	count.addMessage(to, from, proto.Size(searchResponse(s)))
}

func (c fanOutCase) oneLevel(targets []query.Target, members []placement.Instance) Figures {
	var count fanOutCount
	for _, in := range members[:min(sampledInstances, len(members))] {
		count.queries++
		for s := range c.shards {
			countShard(&count, targets, query.Shard(s), in.FailureDomain)
		}
	}
	f := count.figures()
	f["connections_per_target"] = float64(len(members))
	return f
}

func (c fanOutCase) twoLevels(targets []query.Target, members []placement.Instance, source *rand.Rand) Figures {
	var count fanOutCount
	var maxHolders float64
	m := query.Map{Version: 1}
	for s := range c.shards {
		m.Shards = append(m.Shards, query.Shard(s))
	}
	for _, in := range members[:min(sampledInstances, len(members))] {
		place := placement.New(in.ID, churnIndex, targets, members)
		count.queries++
		relay := func(id placement.GroupID) []string {
			holders := place.HoldersOf(id)
			maxHolders = max(maxHolders, float64(len(holders)))
			return []string{nearestHolder(holders, in, source).ID}
		}
		for _, part := range group.Divide(place, m, relay) {
			countGroup(&count, targets, part, in, members)
		}
	}
	f := count.figures()
	f["connections_per_target"] = maxHolders
	return f
}

// nearestHolder returns the instance itself if it holds the group, or else a random holder in its failure
// domain, or else any random holder.
func nearestHolder(holders []placement.Instance, in placement.Instance, source *rand.Rand) placement.Instance {
	var near []placement.Instance
	for _, h := range holders {
		if h.ID == in.ID {
			return h
		}
		if h.FailureDomain == in.FailureDomain {
			near = append(near, h)
		}
	}
	if len(near) > 0 {
		return near[source.IntN(len(near))]
	}
	return holders[source.IntN(len(holders))]
}

// countGroup counts the request to a relay, its sub-requests and its partial answer. An instance that is
// its own relay sends no request to it.
func countGroup(count *fanOutCount, targets []query.Target, part group.Part, in placement.Instance, members []placement.Instance) {
	relay := in
	for _, m := range members {
		if m.ID == part.Relays[0] {
			relay = m
		}
	}
	if relay.ID != in.ID {
		count.addMessage(in.FailureDomain, relay.FailureDomain, proto.Size(groupRequest(part.Shards)))
		count.addMessage(relay.FailureDomain, in.FailureDomain, proto.Size(groupResponse(part.Shards)))
	}
	for _, s := range part.Shards {
		countShard(count, targets, s, relay.FailureDomain)
	}
}

const (
	fanOutID    = 1 << 63 // any id but 0 has the same encoded size
	fanOutQuery = "washed jars"
)

func searchRequest(s query.Shard) *targetpb.SearchRequest {
	return &targetpb.SearchRequest{
		RequestId: fanOutID, AttemptId: fanOutID, Index: churnIndex, Shard: uint32(s), Snapshot: 1, Query: fanOutQuery,
		Limit: fanOutHits, TimeLeftUs: 100_000,
	}
}

func searchResponse(s query.Shard) *targetpb.SearchResponse {
	r := &targetpb.SearchResponse{
		RequestId: fanOutID, AttemptId: fanOutID, Shard: uint32(s), Snapshot: 1,
		Outcome: targetpb.Outcome_OUTCOME_ANSWERED, Held: []uint64{1, 2, 3},
	}
	for i := range fanOutHits {
		r.Hits = append(r.Hits, &targetpb.Hit{Id: fmt.Sprintf("%d/%d", s, i), Score: 0.5, Text: strings.Repeat("x", hitTextBytes)})
	}
	return r
}

func groupRequest(shards []query.Shard) *relaypb.GroupRequest {
	r := &relaypb.GroupRequest{
		RequestId: fanOutID, AttemptId: fanOutID, Index: churnIndex, Snapshot: 1, Query: fanOutQuery, Limit: fanOutHits,
		TimeLeftUs: 100_000, Plan: "counter", Priority: "high",
	}
	for _, s := range shards {
		r.Shards = append(r.Shards, uint32(s))
	}
	return r
}

func groupResponse(shards []query.Shard) *relaypb.GroupResponse {
	r := &relaypb.GroupResponse{
		RequestId: fanOutID, AttemptId: fanOutID, Snapshot: 1, Outcome: relaypb.Outcome_OUTCOME_ANSWERED,
		VersionsKnown: true, Held: []uint64{1, 2, 3}, Ready: []uint64{1, 2, 3}, TookUs: 20_000,
	}
	for _, s := range shards {
		r.Included = append(r.Included, uint32(s))
	}
	for i := range fanOutHits {
		r.Hits = append(r.Hits, &relaypb.Hit{Id: fmt.Sprintf("%d/%d", shards[0], i), Score: 0.5, Text: strings.Repeat("x", hitTextBytes)})
	}
	return r
}
