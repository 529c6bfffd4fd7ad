package group

import (
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/placement"
)

// Divide divides the shards of a map by group. relays returns the relays of a group in order of preference.
// Shards that no target serves form a part without relays.
func Divide(p *placement.Index, m query.Map, relays func(placement.GroupID) []string) []Part {
	positions := map[placement.GroupID]int{}
	var parts []Part
	for _, shard := range m.Shards {
		g, ok := p.GroupOf(shard)
		i, present := positions[g.ID]
		if !present {
			i = len(parts)
			positions[g.ID] = i
			parts = append(parts, Part{})
			if ok {
				parts[i].Relays = relays(g.ID)
			}
		}
		parts[i].Shards = append(parts[i].Shards, shard)
	}
	return parts
}
