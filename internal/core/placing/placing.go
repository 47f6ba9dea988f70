// Package placing chooses an upstream for a request.
//
// Prompts share parts, and an upstream that has read a part before need not
// read it again. So requests with the same parts go to the same upstream, by
// rendezvous hashing that all instances agree on without talk, unless that
// upstream has much more work than the others. Requests without a prompt go to
// the upstream with the least work.
package placing

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

// An Upstream is one upstream with what the instance knows of its state.
type Upstream struct {
	// OwnWork is the work in flight from this instance, Others from the rest of
	// the fleet.
	OwnWork    float64
	OthersWork float64
	// idHash is the hash of the ID.
	idHash uint64
	// cooldownUntil keeps new work away from an upstream that failed.
	cooldownUntil time.Time
	// addressReused says that another upstream has the address.
	addressReused bool

	catalog.Upstream
	// Calls and Failures count recent calls of this instance. They fade.
	Calls    float64
	Failures float64
	// FleetCalls and FleetFailures are the same over the fleet.
	FleetCalls    float64
	FleetFailures float64

	// leftAt is when the upstream was seen to leave, zero while it has not.
	leftAt              time.Time
	consecutiveFailures int
	decayedAt           time.Time
}

// A Criteria is what a request needs of an upstream.
type Criteria struct {
	// AffinityKey is the hash of what the request shares with others, zero if it
	// shares nothing.
	AffinityKey uint64
	DataCenter  tables.DataCenterID
	// Tried are the upstreams that the request has been to.
	Tried []tables.UpstreamID
}

const (
	// maxLoadFactor and loadAllowance bound the work of an upstream that is chosen for its
	// cache, as a multiple of the mean and an amount above it. A request that
	// is moved has to be read from the start.
	maxLoadFactor = 1.3
	loadAllowance = 1.6
	// remotePenalty is the work that a nearer upstream may have more.
	remotePenalty = 0.15
	// countHalfLife is the half-life of counts of calls.
	countHalfLife = 3 * time.Second
	// minCooldown and maxCooldown bound the pause after failures; it doubles
	// with each failure in a row.
	minCooldown = 400 * time.Millisecond
	maxCooldown = 4 * time.Second
	// leavingGracePeriod is how long an upstream that leaves may get work. Upstreams
	// serve on for two seconds, and all may seem to leave when the store comes
	// back from an outage.
	leavingGracePeriod = 1300 * time.Millisecond
	// minFailureRate and minFailures are the share and number of recent failures over
	// the fleet from which an upstream is rested though some calls succeed.
	minFailureRate = 0.25
	minFailures    = 3
)

// Work returns the fleet's work in flight at the upstream.
func (u *Upstream) Work() float64 {
	return u.OwnWork + u.OthersWork
}

// AddWork adds work.
func (u *Upstream) AddWork(work float64) {
	u.OwnWork += work
}

// RemoveWork takes work off.
func (u *Upstream) RemoveWork(work float64) {
	u.OwnWork = max(0, u.OwnWork-work)
}

// RecordSuccess counts a call that went well.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.Decay(now)
	u.Calls++
	u.consecutiveFailures = 0
}

// RecordFailure counts a call that the upstream failed. A call that never reached it,
// or broke off, rests it at once.
func (u *Upstream) RecordFailure(now time.Time, unreachable bool) {
	u.Decay(now)
	u.Calls++
	u.Failures++
	if unreachable || u.failing() {
		u.consecutiveFailures++
		u.startCooldown(now)
	}
}

// RecordRefusal counts a call that the upstream did not run because it is full.
func (u *Upstream) RecordRefusal(now time.Time) {
	u.cooldownUntil = now.Add(minCooldown / 4)
}

// MarkAddressReused records that another upstream answers at the address.
func (u *Upstream) MarkAddressReused() {
	u.addressReused = true
}

// Set takes the upstream's entry.
func (u *Upstream) Set(now time.Time, entry catalog.Upstream) {
	u.Upstream = entry
	u.idHash = xxhash.Sum64String(string(entry.ID))
	if entry.Ready {
		u.leftAt = time.Time{}
	} else if u.leftAt.IsZero() {
		u.leftAt = now
	}
}

// Leaving reports whether the upstream has just been seen to leave. It still
// serves, and is of use if there is no other.
func (u *Upstream) Leaving(now time.Time) bool {
	return !u.leftAt.IsZero() && !u.addressReused && now.Sub(u.leftAt) < leavingGracePeriod
}

// Usable reports whether the upstream may get new work at all.
func (u *Upstream) Usable() bool {
	return u.Ready && !u.addressReused
}

// CooldownOver reports whether the upstream is not in a pause after failures.
func (u *Upstream) CooldownOver(now time.Time) bool {
	return u.cooldownUntil.IsZero() || !now.Before(u.cooldownUntil)
}

// A Chooser chooses upstreams. It is not safe for concurrent use.
type Chooser struct {
	Random *rand.Rand
	// candidates is kept between choices, to make no garbage.
	candidates []*Upstream
}

// Choose returns the upstream for the need, or nil if none is left, and the one
// that most likely has read what the request shares with others, nil if it
// shares nothing. Upstreams that rest or were tried are taken only if there is
// no other.
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

// tier is what is wanted of an upstream, less and less of it.
type tier int

// The wishes.
const (
	// preferred upstreams neither rest nor were tried.
	preferred tier = iota
	// untried upstreams may rest.
	untried
	// leaving upstreams still serve.
	leaving
	// usable upstreams may have been tried.
	usable
)

// eligible reports whether the upstream meets the wish of a request that has been
// to some.
func (u *Upstream) eligible(t tier, now time.Time, tried []tables.UpstreamID) bool {
	switch t {
	case preferred:
		return u.Usable() && u.CooldownOver(now) && !slices.Contains(tried, u.ID)
	case untried:
		return u.Usable() && !slices.Contains(tried, u.ID)
	case leaving:
		return u.Leaving(now) && !slices.Contains(tried, u.ID)
	}
	return u.Usable()
}

// chooseByAffinity returns the candidate with the highest hash among those that do not
// have too much work, and the one with the highest hash of all: what the chosen
// one lacks, it can fetch there faster than read.
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

// chooseByLoad returns the candidate with the least work for each of its slots.
func chooseByLoad(candidates []*Upstream, dataCenter tables.DataCenterID, random *rand.Rand) *Upstream {
	var best *Upstream
	var bestLoad float64
	for _, u := range candidates {
		load := u.Work() / float64(max(1, u.Slots))
		if u.DataCenter != dataCenter {
			load += remotePenalty
		}
		// A little noise keeps the instances from choosing alike.
		load += random.Float64() * remotePenalty / 2
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

// Score is the rendezvous hash of a key and an upstream. Both are hashes, so one
// multiplication mixes them well enough; six hundred scores are a choice.
func (u *Upstream) Score(key uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(key^u.idHash, multiplier)
	high, low = bits.Mul64(high^low, u.idHash|1)
	return high ^ low
}

// Decay lets old counts lose weight.
func (u *Upstream) Decay(now time.Time) {
	if elapsed := now.Sub(u.decayedAt); !u.decayedAt.IsZero() && elapsed > 0 {
		factor := decayFactor(elapsed)
		u.Calls *= factor
		u.Failures *= factor
	}
	u.decayedAt = now
}

// failing reports whether too many of the fleet's recent calls failed.
func (u *Upstream) failing() bool {
	calls := max(u.Calls, u.FleetCalls)
	failures := max(u.Failures, u.FleetFailures)
	return failures >= minFailures && failures > minFailureRate*calls
}

func (u *Upstream) startCooldown(now time.Time) {
	cooldown := maxCooldown
	if u.consecutiveFailures < 5 {
		cooldown = min(cooldown, minCooldown<<max(0, u.consecutiveFailures-1))
	}
	u.cooldownUntil = now.Add(cooldown)
}

// decayFactor returns what is left of one after some time with the half-life of
// the counts.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(countHalfLife))
}
