package gateway

import (
	"hyssopcroft.example/control/membership"
)

// share is the number of instances that divide what a target and a budget allow.
type share struct {
	instances int
	// sameDomain is the number of those in this instance's failure domain, itself included.
	sameDomain int
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
			s.sameDomain++
		}
	}
	return share{instances: max(s.instances, minInstances), sameDomain: max(s.sameDomain, 1)}
}

// allowsExtra reports whether a target that accepts most connections has room for two of each instance.
func (s share) allowsExtra(limit int) bool {
	return connectionShare*float64(limit) >= 2*float64(s.instances)
}

// connections returns the number of connections that this instance opens to a target which accepts most
// in all. Instances near the target get what those far away leave, since they send most of the attempts.
func (s share) connections(limit int, local bool) int {
	usable := connectionShare * float64(limit)
	n := max(int(usable/float64(s.instances)), 1)
	if local {
		n = int((usable - float64(n*(s.instances-s.sameDomain))) / float64(s.sameDomain))
	}
	return min(max(n, 1), maxConnections)
}
