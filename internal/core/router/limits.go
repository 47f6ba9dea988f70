package router

import (
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/routing"
)

// LimitChanges returns the limits on calls to upstreams that have changed by much since the
// last call.
func (r *Router) LimitChanges() []pacing.Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.limitChanges.Take()
}

// RecordLimit records whether the answer to a call names a limit of the upstream, and which
// one.
func (r *Router) RecordLimit(now time.Time, step *Step, rate pacing.Rate, named bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	u := step.Choice.Upstream
	r.updateLimit(now, step.upstreams, u, u.Limit.RecordAnswer(now, rate, named))
}

// SetFleetPosition sets this instance's position among the live instances of the fleet, from
// 0, and their number.
func (r *Router) SetFleetPosition(now time.Time, position, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleet.SetPosition(now, position, count)
	r.quarantine.SetFleetPosition(position, count)
}

// contributeLimits adds what the upstreams have said lately of their limits to this
// instance's contribution.
func (r *Router) contributeLimits(now time.Time, values aggregates.Values) {
	for _, state := range r.poolStates {
		for _, u := range state.upstreams.Upstreams() {
			if statement := u.Limit.Statement(now); !statement.IsEmpty() {
				statement.Contribute(limitName(state, u), func(key aggregates.Key, value float64) { putSignificant(values, key, value) })
			}
		}
	}
}

// applyLimits applies what the upstreams have said of their limits to any instance.
func (r *Router) applyLimits(now time.Time, totals, reported aggregates.Values) {
	for _, state := range r.poolStates {
		for _, u := range state.upstreams.Upstreams() {
			if _, named := u.Limit.Named(); named || totals[pacing.AnyKey] > 0 {
				r.updateLimit(now, state.upstreams, u, u.Limit.ApplyTotals(now, limitName(state, u), totals, reported))
			}
		}
	}
}

// updateLimit sets this instance's share of the limit of an upstream. Changed is true if the
// limit has changed by much.
func (r *Router) updateLimit(now time.Time, set *routing.UpstreamSet, u *routing.Upstream, changed bool) {
	if rate, named := u.Limit.Named(); named {
		rank := 0
		for _, other := range set.Upstreams() {
			if other.Config.Name < u.Config.Name {
				rank++
			}
		}
		u.Limit.SetShare(now, r.fleet.RateShare(rate, rank, len(set.Upstreams())))
	}
	if changed {
		r.limitChanges.Record(u.Config.Name, &u.Limit)
	}
}

// noUpstream returns the fault for a call for which the pool has no upstream now.
func (s *poolState) noUpstream(now time.Time) *faults.Error {
	at := s.upstreams.RoomAt(now)
	if at.IsZero() {
		return faults.New(faults.NoUpstream, string(s.pool.Name))
	}
	fault := faults.New(faults.Overloaded, "the upstreams are at the limits that they name")
	fault.RetryAfter = at.Sub(now)
	return fault
}

// limitName names an upstream in the fleet's sums. The address tells its lives apart as far
// as the tables do.
func limitName(s *poolState, u *routing.Upstream) string {
	return string(s.pool.Name) + "/" + string(u.Config.Name) + "/" + u.Config.Address
}
