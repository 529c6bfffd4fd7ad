package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// wideDeployment returns a deployment over 2 regions with 7 failure domains, as the target size has
// (design page, section 1.8), with the delays of the returns division.
func wideDeployment(instances int) Deployment {
	d := Deployments()[0]
	d.Name, d.Entries, d.Indexes = "wide", instances, nil
	d.Region = []int{0, 0, 0, 0, 1, 1, 1}
	d.FailureDomains = nil
	for i := range d.Region {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%d", i))
	}
	return d
}

// variableDelay returns a one-way delay with its variable part and now and then a lost message.
func variableDelay(source *rand.Rand, d Deployment, a, b int) time.Duration {
	fixed := d.Delay(a, b)
	total := fixed + time.Duration(source.ExpFloat64()*meanJitterShare*float64(fixed))
	if a != b && source.Float64() < lossShare {
		total += max(4*fixed, minResendDelay)
	}
	return total
}
