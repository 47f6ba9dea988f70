package pacing

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// A ColdBound is how many calls upstreams may get while they are cold.
type ColdBound struct {
	// Overshoot is the multiple of the rate that a cold upstream tolerates, and Allowance the
	// number besides, that bound the calls of all instances in any second. There is no bound if
	// Overshoot is zero.
	Overshoot, Allowance float64
}

// Callers tells which instances call an upstream that is cold. It is decided by the names of the
// instances and not by their positions, so that instances that know of different members still
// agree on most of the callers. The zero value knows of no instance. It is not safe for
// concurrent use.
type Callers struct {
	self uint64
	// known are the instances by the hash of their names, with the time at which they were last
	// known to be up.
	known map[uint64]time.Time
	// startedAt is when this instance first asked, since when it first knew of others.
	startedAt, since time.Time
	// settled is true once the others know of this instance too.
	settled bool
	// generation counts the changes that decide on the callers.
	generation uint64
}

const (
	// memberMemory is how long an instance counts after it was last known to be up. It may be
	// cut off and still call, as may this one.
	memberMemory = 5 * time.Minute
	// joinTime is how long after it first knew of others an instance calls no cold upstream.
	// Until the others know of it, they call in its place.
	joinTime = 3 * time.Second
	// aloneTime is the same for an instance that knows of no other. It may be one of several that
	// are cut off, or the last one that is left.
	aloneTime = 15 * time.Second
	// maxFirstRate is the highest rate of a caller that must send only one call in a second: a
	// saved call and the rate together must stay under two.
	maxFirstRate = 0.9
	// rounding keeps a difference that is a whole number up to rounding errors.
	rounding = 1e-9
)

// Most returns the largest number of calls in any second, given the rate that a cold upstream
// tolerates.
func (b ColdBound) Most(rate Rate) int {
	return int(b.Overshoot*float64(rate) + b.Allowance + rounding)
}

// Divide returns the number of instances that call a cold upstream and the rate of each, given
// the number of instances. In any second a caller sends at most one saved call and its rate. The
// sum stays under the bound also while one instance more believes to be a caller, unless the
// bound is a single call. The number is the largest at which the rate can be used; where there is
// none, the rate is as high as the bound allows.
func (b ColdBound) Divide(rate Rate, instances int) (callers int, share Rate) {
	most := b.Most(rate)
	if most < 1 || rate <= 0 {
		return 0, 0
	}
	total := usedFraction * float64(rate)
	most = min(most, max(MinInstances, instances)+1)
	for n := most - 1; n >= 1; n-- {
		if float64(n+1)*(1+total/float64(n)) <= float64(b.Most(rate))+rounding {
			return n, Rate(total / float64(n))
		}
	}
	// A caller whose rate is under one call in a second sends no second call in it.
	callers = max(1, most-1)
	return callers, Rate(min(total/float64(callers), maxFirstRate))
}

// Set sets the instances of the fleet that are up, and which of them this one is.
func (c *Callers) Set(now time.Time, self tables.InstanceID, members []tables.InstanceID) {
	if c.known == nil {
		c.known = map[uint64]time.Time{}
	}
	before := len(c.known)
	c.self = xxhash.Sum64String(string(self))
	for _, member := range members {
		c.known[xxhash.Sum64String(string(member))] = now
	}
	c.known[c.self] = now
	changed := len(c.known) != before
	for member, at := range c.known {
		if now.Sub(at) > memberMemory {
			delete(c.known, member)
			changed = true
		}
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if c.since.IsZero() && len(c.known) > 1 {
		c.since = now
	}
	joined := !c.since.IsZero() && now.Sub(c.since) >= joinTime
	if !c.settled && (joined || c.since.IsZero() && now.Sub(c.startedAt) >= aloneTime) {
		c.settled, changed = true, true
	}
	if changed {
		c.generation++
	}
}

// Generation changes whenever the callers may have changed.
func (c *Callers) Generation() uint64 {
	return c.generation
}

// Share returns the rate at which this instance calls a cold upstream, given the hash of its ID
// and the rate that it tolerates. It is zero for an instance that has just started.
func (c *Callers) Share(bound ColdBound, rate Rate, upstream uint64) Rate {
	if !c.settled {
		return 0
	}
	callers, share := bound.Divide(rate, len(c.known))
	own, before := mix(upstream, c.self), 0
	for member := range c.known {
		if mix(upstream, member) > own {
			before++
		}
	}
	if before >= callers {
		return 0
	}
	return share
}

// mix returns the rank of an instance among the callers of an upstream. The rotation keeps IDs of
// upstreams and instances apart that are alike.
func mix(upstream, instance uint64) uint64 {
	x := upstream ^ bits.RotateLeft64(instance, 31)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
