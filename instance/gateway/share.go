package gateway

import (
	"hyssopcroft.example/control/membership"
)

// share is the number of instances that divide what a target and a budget allow.
type share struct {
	instances int
	// neighbours is the number of those in this instance's failure domain, itself included.
	neighbours int
}

// shareOf counts the members that send attempts: those that are leaving or suspected may still do so.
func shareOf(list []membership.Member, domain string) share {
	var s share
	for _, m := range list {
		if m.State == membership.Dead {
			continue
		}
		s.instances++
		if m.FailureDomain == domain {
			s.neighbours++
		}
	}
	return share{instances: max(s.instances, fewestInstances), neighbours: max(s.neighbours, 1)}
}

// ample reports whether a target that accepts most connections has room for two of each instance.
func (s share) ample(most int) bool { return connectionShare*float64(most) >= 2*float64(s.instances) }

// connections returns the number of connections that this instance opens to a target which accepts most
// in all. Instances near the target get what those far away leave, since they send most of the attempts.
func (s share) connections(most int, near bool) int {
	usable := connectionShare * float64(most)
	n := max(int(usable/float64(s.instances)), 1)
	if near {
		n = int((usable - float64(n*(s.instances-s.neighbours))) / float64(s.neighbours))
	}
	return min(max(n, 1), mostConnections)
}
