// Package placement chooses an upstream for a request.
//
// Requests whose prompts share parts go to the same upstream, because an
// upstream that has cached these parts need not read them again. Rendezvous
// hashing gives the same choice on every instance without coordination. The
// load of an upstream chosen this way is bounded: beyond the bound the request
// goes to another upstream. Requests without a prompt go to the upstream with
// the least work.
package placement

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// An Upstream is an upstream with its state as this instance knows it.
type Upstream struct {
	// OwnWork is the work in flight from this instance, OthersWork from the
	// rest of the fleet.
	OwnWork    float64
	OthersWork float64
	// idHash is the hash of the ID.
	idHash uint64
	// cooldownUntil is when the cooldown after failures ends, zero if there was
	// none.
	cooldownUntil time.Time
	// addressReused is true once another upstream has answered at the address.
	addressReused bool

	catalog.Upstream
	// Calls and Failures count this instance's recent calls and those of them
	// that failed. Both decay with countHalfLife.
	Calls    float64
	Failures float64
	// FleetCalls and FleetFailures are the same counts over the whole fleet.
	FleetCalls    float64
	FleetFailures float64

	// drainingSince is when the upstream was first seen to drain, zero while it
	// is ready.
	drainingSince time.Time
	// consecutiveFailures counts the failures that started a cooldown since the
	// last success.
	consecutiveFailures int
	// decayedAt is when Calls and Failures were last decayed, zero before the
	// first time.
	decayedAt time.Time
}

// Criteria are the properties of a request that decide on its upstream.
type Criteria struct {
	// AffinityKey is the hash of what the prompt shares with other requests,
	// zero if it shares nothing.
	AffinityKey uint64
	// DataCenter is the data centre whose upstreams are preferred.
	DataCenter tables.DataCenterID
	// Tried are the upstreams that the request has already been sent to.
	Tried []tables.UpstreamID
}

const (
	// maxLoadFactor and loadAllowance bound the work of an upstream that is
	// chosen by affinity, as a multiple of the mean and an amount above it. A
	// request that moves to another upstream has to be read there from the
	// start.
	maxLoadFactor = 1.3
	loadAllowance = 1.6
	// remotePenalty is the load, in work per slot, that is added to an upstream
	// in another data centre.
	remotePenalty = 0.15
	// countHalfLife is the half-life of counts of calls.
	countHalfLife = 3 * time.Second
	// minCooldown and maxCooldown bound the cooldown after failures. It doubles
	// with each consecutive failure.
	minCooldown = 400 * time.Millisecond
	maxCooldown = 4 * time.Second
	// drainGracePeriod is how long a draining upstream may still get work.
	// Upstreams serve for two more seconds, and all of them may seem to drain
	// when the store comes back from an outage.
	drainGracePeriod = 1300 * time.Millisecond
	// minFailureRate and minFailures are the rate and number of recent failures
	// over the fleet at which an upstream goes into cooldown although some of
	// its calls succeed.
	minFailureRate = 0.25
	minFailures    = 3
)

// Work returns the fleet's work in flight at the upstream.
func (u *Upstream) Work() float64 {
	return u.OwnWork + u.OthersWork
}

// AddWork adds work in flight from this instance.
func (u *Upstream) AddWork(work float64) {
	u.OwnWork += work
}

// RemoveWork removes work in flight from this instance.
func (u *Upstream) RemoveWork(work float64) {
	u.OwnWork = max(0, u.OwnWork-work)
}

// RecordSuccess counts a successful call and resets the consecutive failures, so
// that the next cooldown is the shortest one.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.Decay(now)
	u.Calls++
	u.consecutiveFailures = 0
}

// RecordFailure counts a failed call. A cooldown starts if the call never
// reached the upstream or broke off, or if too many of the recent calls failed.
func (u *Upstream) RecordFailure(now time.Time, unreachable bool) {
	u.Decay(now)
	u.Calls++
	u.Failures++
	if unreachable || u.failing() {
		u.consecutiveFailures++
		u.startCooldown(now)
	}
}

// RecordRefusal starts a short cooldown after a call that the upstream did not
// run because it is full.
func (u *Upstream) RecordRefusal(now time.Time) {
	u.cooldownUntil = now.Add(minCooldown / 4)
}

// MarkAddressReused records that another upstream answers at the address.
func (u *Upstream) MarkAddressReused() {
	u.addressReused = true
}

// SetEntry replaces the registration of the upstream and records when it began
// to drain.
func (u *Upstream) SetEntry(now time.Time, entry catalog.Upstream) {
	u.Upstream = entry
	u.idHash = xxhash.Sum64String(string(entry.ID))
	if entry.Ready {
		u.drainingSince = time.Time{}
	} else if u.drainingSince.IsZero() {
		u.drainingSince = now
	}
}

// Draining reports whether the upstream began to drain less than
// drainGracePeriod ago. It still serves and is used if no other upstream is
// available.
func (u *Upstream) Draining(now time.Time) bool {
	return !u.drainingSince.IsZero() && !u.addressReused && now.Sub(u.drainingSince) < drainGracePeriod
}

// Usable reports whether the upstream may get new work.
func (u *Upstream) Usable() bool {
	return u.Ready && !u.addressReused
}

// CooldownOver reports whether the upstream is not in a cooldown.
func (u *Upstream) CooldownOver(now time.Time) bool {
	return u.cooldownUntil.IsZero() || !now.Before(u.cooldownUntil)
}

// A Chooser chooses upstreams. It is not safe for concurrent use.
type Chooser struct {
	Random *rand.Rand
	// candidates is reused between choices to avoid allocations.
	candidates []*Upstream
}

// Choose returns the upstream for a request, or nil if none is left, and the
// upstream that most likely has the shared part of the prompt in its cache, nil
// if the prompt shares nothing. Upstreams in cooldown, draining or already tried
// are chosen only if there is no other.
func (c *Chooser) Choose(now time.Time, upstreams []*Upstream, criteria Criteria) (chosen, cacheHolder *Upstream) {
	for t := preferred; t <= usable; t++ {
		c.candidates = c.candidates[:0]
		for _, u := range upstreams {
			if u.eligible(t, now, criteria.Tried) {
				c.candidates = append(c.candidates, u)
			}
		}
		if len(c.candidates) == 0 {
			continue
		}
		if criteria.AffinityKey != 0 {
			return chooseByAffinity(c.candidates, criteria.AffinityKey)
		}
		return chooseByLoad(c.candidates, criteria.DataCenter, c.Random), nil
	}
	return nil, nil
}

// tier is a set of upstreams that may be chosen. Each tier is tried only if the
// ones before it are empty.
type tier int

// The tiers, most preferred first.
const (
	// preferred upstreams are neither in cooldown nor tried.
	preferred tier = iota
	// untried upstreams may be in cooldown.
	untried
	// draining upstreams still serve and were not tried.
	draining
	// usable upstreams may have been tried.
	usable
)

// eligible reports whether the upstream belongs to the tier, given the
// upstreams that the request was already sent to.
func (u *Upstream) eligible(t tier, now time.Time, tried []tables.UpstreamID) bool {
	switch t {
	case preferred:
		return u.Usable() && u.CooldownOver(now) && !slices.Contains(tried, u.ID)
	case untried:
		return u.Usable() && !slices.Contains(tried, u.ID)
	case draining:
		return u.Draining(now) && !slices.Contains(tried, u.ID)
	}
	return u.Usable()
}

// chooseByAffinity returns the candidate with the highest hash among those
// within the load bound, and the one with the highest hash of all. The chosen
// one can fetch the cached part of the prompt from the latter faster than it
// can read it.
func chooseByAffinity(candidates []*Upstream, key uint64) (chosen, cacheHolder *Upstream) {
	total := 0.0
	for _, u := range candidates {
		total += u.Work()
	}
	maxWork := maxLoadFactor*total/float64(len(candidates)) + loadAllowance
	var leastLoaded *Upstream
	var chosenHash, cacheHolderHash uint64
	for _, u := range candidates {
		if leastLoaded == nil || u.Work() < leastLoaded.Work() {
			leastLoaded = u
		}
		hash := u.Score(key)
		if cacheHolder == nil || hash > cacheHolderHash {
			cacheHolder, cacheHolderHash = u, hash
		}
		if u.Work() <= maxWork && (chosen == nil || hash > chosenHash) {
			chosen, chosenHash = u, hash
		}
	}
	if chosen == nil {
		chosen = leastLoaded
	}
	return chosen, cacheHolder
}

// chooseByLoad returns the candidate with the least work per slot.
func chooseByLoad(candidates []*Upstream, dataCenter tables.DataCenterID, random *rand.Rand) *Upstream {
	var best *Upstream
	var bestLoad float64
	for _, u := range candidates {
		load := u.Work() / float64(max(1, u.Slots))
		if u.DataCenter != dataCenter {
			load += remotePenalty
		}
		// Random noise keeps the instances from all choosing the same upstream.
		load += random.Float64() * remotePenalty / 2
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

// Score is the rendezvous hash of a key and an upstream. Both are hashes
// already, so that few multiplications mix them well enough. A choice may
// compute six hundred scores.
func (u *Upstream) Score(key uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(key^u.idHash, multiplier)
	high, low = bits.Mul64(high^low, u.idHash|1)
	return high ^ low
}

// Decay reduces the counts of calls by the half-life for the time since the last
// call of Decay.
func (u *Upstream) Decay(now time.Time) {
	if elapsed := now.Sub(u.decayedAt); !u.decayedAt.IsZero() && elapsed > 0 {
		factor := decayFactor(elapsed)
		u.Calls *= factor
		u.Failures *= factor
	}
	u.decayedAt = now
}

// failing reports whether too many of the fleet's recent calls to the upstream
// failed.
func (u *Upstream) failing() bool {
	calls := max(u.Calls, u.FleetCalls)
	failures := max(u.Failures, u.FleetFailures)
	return failures >= minFailures && failures > minFailureRate*calls
}

// startCooldown keeps work away from the upstream for a time that grows with its
// consecutive failures.
func (u *Upstream) startCooldown(now time.Time) {
	// From the fifth failure on the doubled cooldown exceeds maxCooldown.
	cooldown := maxCooldown
	if u.consecutiveFailures < 5 {
		cooldown = min(cooldown, minCooldown<<max(0, u.consecutiveFailures-1))
	}
	u.cooldownUntil = now.Add(cooldown)
}

// decayFactor returns the fraction of a count that is left after the elapsed
// time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(countHalfLife))
}
