package dispatch

import (
	"maps"
	"slices"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// A WarmUpChange is the beginning or the end of the time for which an upstream is presumed cold.
type WarmUpChange struct {
	Upstream tables.UpstreamID
	Cold     bool
	// Reason is why the upstream is presumed cold, Share the rate at which this instance calls it.
	Reason placement.ColdReason
	Share  pacing.Rate
}

// The names of the values about cold upstreams that are summed over the fleet: the numbers of
// instances that have seen that an upstream is cold, and that have reached a cold one lately.
const (
	valueCold    = "cold"
	valueReached = "reached"
)

// anyColdKey is the key of the number of values about cold upstreams.
var anyColdKey = aggregates.NewExactKey("cold", "any")

// WarmUpChanges returns the latest change of each upstream since the last call.
func (d *Dispatcher) WarmUpChanges() []WarmUpChange {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changes := slices.Collect(maps.Values(d.warmUpChanges))
	clear(d.warmUpChanges)
	return changes
}

// ColdUpstreams returns the number of upstreams that are cold or presumed to be.
func (d *Dispatcher) ColdUpstreams(now time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.IsCold(now) {
				count++
			}
		}
	}
	return count
}

// warmUpBounds returns the configuration of a service whose cold upstreams have a bound, nil if
// they have none.
func (d *Dispatcher) warmUpBounds(s *service) *catalog.Service {
	if d.limits.Cold.Overshoot <= 0 || d.index == nil {
		return nil
	}
	configured := d.index.Service(s.name)
	if configured == nil || configured.ColdRate <= 0 {
		return nil
	}
	return configured
}

// updateWarmUp limits the calls to an upstream if it is cold, and ends the limit if it is not.
func (d *Dispatcher) updateWarmUp(now time.Time, s *service, u *placement.Upstream) {
	bounds := d.warmUpBounds(s)
	if bounds == nil {
		// What is known counts once there is a configuration.
		if d.index != nil && u.MayBeCold() {
			u.DropWarmUp()
		}
		return
	}
	if !u.MayBeCold() {
		return
	}
	rate := pacing.Rate(bounds.ColdRate)
	changed := u.UpdateWarmUp(now, bounds.ColdStart, d.callers.Generation(), func() pacing.Rate {
		return d.callers.Share(d.limits.Cold, rate, u.IDHash())
	})
	if changed {
		if d.warmUpChanges == nil {
			d.warmUpChanges = map[tables.UpstreamID]WarmUpChange{}
		}
		d.warmUpChanges[u.ID] = WarmUpChange{u.ID, u.IsCold(now), u.ColdReason(), u.WarmUpShare()}
	}
}

// updateAllWarmUps calls updateWarmUp for all upstreams of all services.
func (d *Dispatcher) updateAllWarmUps(now time.Time) {
	for _, s := range d.services {
		for _, u := range s.upstreams {
			d.updateWarmUp(now, s, u)
		}
	}
}

// recordEntry records what a changed entry shows about whether its upstream is cold. Incarnation
// is true if the upstream was not listed before, or with another incarnation.
func (d *Dispatcher) recordEntry(now time.Time, u *placement.Upstream, previous time.Duration, incarnation bool) {
	if incarnation && d.hasUpstreams {
		if bounds := d.warmUpBounds(d.service(u.Service)); bounds != nil {
			u.PresumeCold(now, bounds.ColdStart, placement.ColdByEntry)
		}
	}
	if u.ColdFor > 0 && (incarnation || u.ColdFor != previous) {
		u.PresumeCold(now, u.ColdFor, placement.ColdByEntry)
	}
}

// recordLoss presumes that the upstream of a call that was lost or did not reach it comes back
// cold, unless this instance's own link is lost. A peer that carries the connection tells such a
// loss from one of the upstream.
func (d *Dispatcher) recordLoss(now time.Time, call *Call, result Result) {
	if call.through == "" && d.links.Lost(now, links.Address(call.Upstream.Address)) {
		return
	}
	s := d.service(call.upstream.Service)
	if d.warmUpBounds(s) == nil || !slices.Contains(s.upstreams, call.upstream) {
		// The next life is presumed cold by its entry.
		return
	}
	call.upstream.RecordLoss(now, result == Broken || call.connectionRefused)
	d.updateWarmUp(now, s, call.upstream)
}

// contributeWarmUp adds this instance's part of what the fleet has seen of an upstream. An
// instance whose own links are lost, or whose link to the upstream is, contributes nothing, since
// it cannot tell such a loss from a crash.
func (d *Dispatcher) contributeWarmUp(now time.Time, u *placement.Upstream, set func(key aggregates.Key, value float64)) {
	if !u.MayBeCold() {
		return
	}
	if d.links.AllLost() || d.links.Lost(now, links.Address(u.Address)) {
		u.DiscountFailedConnections()
		return
	}
	cold, reached := u.SeenCold(now)
	if cold {
		set(anyColdKey, 1)
		set(coldKey(valueCold, u), 1)
	}
	if reached {
		set(anyColdKey, 1)
		set(coldKey(valueReached, u), 1)
	}
}

// applyWarmUp applies what the other instances have seen of an upstream.
func (d *Dispatcher) applyWarmUp(now time.Time, s *service, u *placement.Upstream, totals, reported aggregates.Values) {
	if totals[anyColdKey] > 0 {
		cold := totals.Others(reported, coldKey(valueCold, u)) > 0
		reached := totals.Others(reported, coldKey(valueReached, u)) > 0
		u.RecordPeerReports(now, cold, reached)
	}
	d.updateWarmUp(now, s, u)
}

// coldKey is the key of the sum of one of the values about a cold upstream. Instances may learn of
// its incarnations at different times.
func coldKey(value string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewExactKey("cold", value, string(u.ID))
}
