package limits

import (
	"strconv"
	"time"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/rendezvous"
)

// viewPeriod is the time for which a view of the members is cached. The check for due loan requests runs every 50 ms,
// and in a large fleet choosing the lenders again would take most of its time.
const viewPeriod = 500 * time.Millisecond

// view is the part of the membership that the service uses: the number of live members and the lender of each
// bucket. It is immutable.
type view struct {
	createdAt time.Time
	liveCount int
	lenders   [bucketCount]lenderAddress
}

// lenderAddress identifies a lender. id is "" if no member is live.
type lenderAddress struct{ id, address string }

func newView(now time.Time, members []membership.Member) *view {
	v := &view{createdAt: now}
	var ids []string
	addresses := map[string]string{}
	for _, m := range members {
		if m.State == membership.Live {
			ids = append(ids, m.ID)
			addresses[m.ID] = m.Address
		}
	}
	v.liveCount = len(ids)
	for i := range v.lenders {
		id := chooseLender(i, ids)
		v.lenders[i] = lenderAddress{id: id, address: addresses[id]}
	}
	return v
}

// memberCount returns the number of live members, but at least 1.
func (v *view) memberCount() int { return max(1, v.liveCount) }

// ChooseLender returns the instance that is chosen to lend the limit of a plan, or "" if none is live.
func ChooseLender(plan string, live []string) string { return chooseLender(bucketOf(plan), live) }

func chooseLender(bucket int, live []string) string {
	return rendezvous.Choose("share-"+strconv.Itoa(bucket), live)
}

// view returns the cached view, or a new one if that is older than viewPeriod.
func (s *Service) view() *view {
	now := time.Now()
	if v := s.cachedView.Load(); v != nil && now.Sub(v.createdAt) < viewPeriod {
		return v
	}
	v := newView(now, s.cfg.Members.Members())
	s.cachedView.Store(v)
	return v
}
