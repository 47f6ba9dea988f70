package dispatch

import (
	"slices"
	"strconv"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// A LimitChange is a change of the limit that an upstream names.
type LimitChange struct {
	Upstream tables.UpstreamID
	// Named is false if the upstream no longer names a limit.
	Named bool
	// Limit is the number of calls a second from the whole fleet, Share this instance's
	// part.
	Limit, Share pacing.Rate
}

// statementFields names the fields of a statement on a limit that are summed over the
// fleet.
var statementFields = []struct {
	name    string
	counter func(s *pacing.Statement) *float64
}{
	{"named", func(s *pacing.Statement) *float64 { return &s.Named }},
	{"unnamed", func(s *pacing.Statement) *float64 { return &s.Unnamed }},
	{"rates", func(s *pacing.Statement) *float64 { return &s.RateSum }},
}

// anyLimitKey is the key of the number of instances to which any upstream has named a limit
// lately, or has stopped to.
var anyLimitKey = aggregates.NewExactKey("limit", "any")

// LimitChanges returns the limits that have changed by much since the last call.
func (d *Dispatcher) LimitChanges() []LimitChange {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var changes []LimitChange
	for _, u := range d.limitsChanged {
		rate, named := u.Limit.Named()
		changes = append(changes, LimitChange{u.ID, named, rate, u.Limit.Share()})
	}
	d.limitsChanged = nil
	return changes
}

// applyLimit applies what the fleet's latest answers say of an upstream's limit on its
// calls, and sets this instance's share of it.
func (d *Dispatcher) applyLimit(now time.Time, s *service, u *placement.Upstream, reported aggregates.Values) {
	statement := u.Limit.Statement(now)
	for _, field := range statementFields {
		*field.counter(&statement) += d.totals.Others(reported, limitKey(field.name, u))
	}
	d.updateLimit(now, s, u, u.Limit.Apply(now, statement))
}

// updateLimit sets this instance's share of an upstream's limit on its calls. Changed is true
// if the limit has changed by much.
func (d *Dispatcher) updateLimit(now time.Time, s *service, u *placement.Upstream, changed bool) {
	if changed && !slices.Contains(d.limitsChanged, u) {
		d.limitsChanged = append(d.limitsChanged, u)
	}
	if rate, named := u.Limit.Named(); named {
		u.Limit.SetShare(now, d.fleet.RateShare(rate, s.rank(u), len(s.upstreams)))
	}
}

// contributeLimit sets this instance's part of the fleet's statements on an upstream's limit.
func contributeLimit(now time.Time, u *placement.Upstream, set func(key aggregates.Key, value float64)) {
	statement := u.Limit.Statement(now)
	if statement == (pacing.Statement{}) {
		return
	}
	set(anyLimitKey, 1)
	for _, field := range statementFields {
		set(limitKey(field.name, u), *field.counter(&statement))
	}
}

// limitKey is the key of the sum of one field of the statements on the limit of an
// upstream's incarnation.
func limitKey(field string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewExactKey("limit", field, string(u.ID), strconv.FormatInt(u.Incarnation, 10))
}
