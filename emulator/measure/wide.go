package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// wideDeployment returns a deployment with 2 regions and 7 failure domains, as in the target size (design
// page, section 1.8). Its delays are those of the first of Deployments.
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

// variableDelay returns a random one-way delay with jitter. With the probability lossShare it includes the
// resend of a lost message between failure domains.
func variableDelay(source *rand.Rand, d Deployment, a, b int) time.Duration {
	fixed := d.Delay(a, b)
	total := fixed + time.Duration(source.ExpFloat64()*meanJitterShare*float64(fixed))
	if a != b && source.Float64() < lossShare {
		total += max(4*fixed, minResendDelay)
	}
	return total
}
