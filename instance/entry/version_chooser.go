package entry

import "hyssopcroft.example/query"

// choiceAttempts bounds how often a replica is drawn again because it lacks the version.
const choiceAttempts = 4

// versionChooser chooses replicas for a query at one version. It implements scatter.Chooser.
type versionChooser struct {
	*index
	version query.Version
}

// Choose returns a replica that may hold the version, or any replica if several draws found none.
func (c *versionChooser) Choose(s query.Shard) (query.TargetID, bool) {
	id, ok := c.index.Choose(s)
	for n := 1; ok && n < choiceAttempts && !c.mayHold(id, c.version); n++ {
		id, ok = c.index.Choose(s)
	}
	return id, ok
}
