package gateway

import (
	"hyssopcroft.example/control/membership"
)

// share counts the instances among which the connections of a target and the slack of a retry budget are divided.
type share struct {
	instances int
	// sameDomain is the number of instances in this instance's failure domain, including this instance.
	sameDomain int
	// ratePart is the part of the rate limits of targets that this instance may use. The load balancer sends callers to
	// the instances of their own failure domain, so that each domain gets an equal part, whatever its number of
	// instances.
	ratePart float64
}

// shareOf counts the members that may send attempts: all but the dead. Leaving and suspected members may still send.
// domains is the number of failure domains.
func shareOf(list []membership.Member, domain string, domains int) share {
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
	s.instances, s.sameDomain = max(s.instances, minInstances), max(s.sameDomain, 1)
	s.ratePart = 1 / float64(max(domains, 1)*s.sameDomain)
	return s
}

// allowsExtra reports whether a target that accepts limit connections can hold two connections of each instance.
func (s share) allowsExtra(limit int) bool {
	return connectionShare*float64(limit) >= 2*float64(s.instances)
}

// connections returns the number of connections that this instance may open to a target that accepts limit connections
// in total. Instances in the target's failure domain (local) divide what the others leave, because they send most of
// its attempts.
func (s share) connections(limit int, local bool) int {
	usable := connectionShare * float64(limit)
	n := max(int(usable/float64(s.instances)), 1)
	if local {
		n = int((usable - float64(n*(s.instances-s.sameDomain))) / float64(s.sameDomain))
	}
	return min(max(n, 1), maxConnections)
}
