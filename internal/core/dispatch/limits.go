package dispatch

import (
	"strconv"
	"time"

	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
)

// LimitChanges returns the limits on calls to upstreams that have changed by much since the
// last call.
func (d *Dispatcher) LimitChanges() []pacing.Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limitChanges.Take()
}

// updateLimit sets this instance's share of an upstream's limit on its calls. Changed is true
// if the limit has changed by much.
func (d *Dispatcher) updateLimit(now time.Time, s *service, u *placement.Upstream, changed bool) {
	u.UpdateLimited()
	if rate, named := u.Limit.Named(); named {
		u.Limit.SetShare(now, d.fleet.RateShare(rate, s.rank(u), len(s.upstreams)))
	}
	if changed {
		d.limitChanges.Record(u.ID, &u.Limit)
	}
}

// lifeName names the present life of an upstream.
func lifeName(u *placement.Upstream) string {
	return string(u.ID) + "/" + strconv.FormatInt(u.Incarnation, 10)
}
