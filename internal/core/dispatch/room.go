package dispatch

import (
	"time"

	"mimosayard/internal/core/placement"
)

// rejectionMargin is the fraction of an upstream's tolerated rejections that the fleet uses.
// Instances may disagree for a moment on the size of the fleet.
const rejectionMargin = 0.9

// limitRejections sets the limit on an upstream's rejections from what it has said to
// this instance lately, or else to others.
func (d *Dispatcher) limitRejections(now time.Time, u *placement.Upstream) {
	limit := u.StatedRejections(now)
	if count := d.totals[statementKey(valueStatements, u)]; limit == 0 && count > 0 {
		limit = int(d.totals[statementKey(valueRejections, u)] / count)
	}
	if limit <= 0 {
		u.AllowRejections()
		return
	}
	u.LimitRejections(d.rejectionShare(d.service(u.Service), u, limit))
}

// rejectionShare returns how many calls of this instance an upstream may have to reject
// in a second, given how many of the whole fleet's it tolerates. The shares of all instances
// add up to less. If there are more instances than rejections, only some of them call
// the upstream and others its neighbours, so that each instance has some to call.
func (d *Dispatcher) rejectionShare(s *service, u *placement.Upstream, limit int) int {
	budget := max(1, int(rejectionMargin*float64(limit)))
	size := d.fleet.Size()
	if budget >= size {
		return budget / size
	}
	count := len(s.upstreams)
	callers := max(budget, (size+count-1)/max(1, count))
	if d.fleet.IsCaller(callers, s.rank(u), count) {
		return 1
	}
	return 0
}

// rank returns the number of the service's upstreams whose IDs are lower.
func (s *service) rank(u *placement.Upstream) int {
	rank := 0
	for _, other := range s.upstreams {
		if other.ID < u.ID {
			rank++
		}
	}
	return rank
}
