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
	// Own is the work in flight from this instance, Others from the rest of
	// the fleet.
	Own    float64
	Others float64
	// hash is the hash of the ID.
	hash uint64
	// restUntil keeps new work away from an upstream that failed.
	restUntil time.Time
	// misnamed says that another upstream has the address.
	misnamed bool

	catalog.Upstream
	// Runs and Fails count recent calls of this instance. They fade.
	Runs  float64
	Fails float64
	// FleetRuns and FleetFails are the same over the fleet.
	FleetRuns  float64
	FleetFails float64

	// left is when the upstream was seen to leave, zero while it has not.
	left    time.Time
	strikes int
	fadedAt time.Time
}

// A Need is what a request needs of an upstream.
type Need struct {
	// Key is the hash of what the request shares with others, zero if it
	// shares nothing.
	Key  uint64
	Home tables.DataCenterID
	// Tried are the upstreams that the request has been to.
	Tried []tables.UpstreamID
}

const (
	// overload and spare bound the work of an upstream that is chosen for its
	// cache, as a multiple of the mean and an amount above it. A request that
	// is moved has to be read from the start.
	overload = 1.3
	spare    = 1.6
	// farPenalty is the work that a nearer upstream may have more.
	farPenalty = 0.15
	// fadeTime is the half-life of counts of calls.
	fadeTime = 3 * time.Second
	// firstRest and longestRest bound the pause after failures; it doubles
	// with each failure in a row.
	firstRest   = 400 * time.Millisecond
	longestRest = 4 * time.Second
	// leaveUse is how long an upstream that leaves may get work. Upstreams
	// serve on for two seconds, and all may seem to leave when the store comes
	// back from an outage.
	leaveUse = 1300 * time.Millisecond
	// badRate and badCount are the share and number of recent failures over
	// the fleet from which an upstream is rested though some calls succeed.
	badRate  = 0.25
	badCount = 3
)

// Work returns the fleet's work in flight at the upstream.
func (u *Upstream) Work() float64 {
	return u.Own + u.Others
}

// Start adds work.
func (u *Upstream) Start(work float64) {
	u.Own += work
}

// Finish takes work off.
func (u *Upstream) Finish(work float64) {
	u.Own = max(0, u.Own-work)
}

// Succeeded counts a call that went well.
func (u *Upstream) Succeeded(now time.Time) {
	u.Fade(now)
	u.Runs++
	u.strikes = 0
}

// Failed counts a call that the upstream failed. A call that never reached it,
// or broke off, rests it at once.
func (u *Upstream) Failed(now time.Time, unreachable bool) {
	u.Fade(now)
	u.Runs++
	u.Fails++
	if unreachable || u.failing() {
		u.strikes++
		u.rest(now)
	}
}

// Refused counts a call that the upstream did not run because it is full.
func (u *Upstream) Refused(now time.Time) {
	u.restUntil = now.Add(firstRest / 4)
}

// Misnamed records that another upstream answers at the address.
func (u *Upstream) Misnamed() {
	u.misnamed = true
}

// Set takes the upstream's entry.
func (u *Upstream) Set(now time.Time, entry catalog.Upstream) {
	u.Upstream = entry
	u.hash = xxhash.Sum64String(string(entry.ID))
	if entry.Ready {
		u.left = time.Time{}
	} else if u.left.IsZero() {
		u.left = now
	}
}

// Leaving reports whether the upstream has just been seen to leave. It still
// serves, and is of use if there is no other.
func (u *Upstream) Leaving(now time.Time) bool {
	return !u.left.IsZero() && !u.misnamed && now.Sub(u.left) < leaveUse
}

// Usable reports whether the upstream may get new work at all.
func (u *Upstream) Usable() bool {
	return u.Ready && !u.misnamed
}

// Rested reports whether the upstream is not in a pause after failures.
func (u *Upstream) Rested(now time.Time) bool {
	return u.restUntil.IsZero() || !now.Before(u.restUntil)
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
func (c *Chooser) Choose(now time.Time, upstreams []*Upstream, need Need) (chosen, reader *Upstream) {
	for w := preferred; w <= usable; w++ {
		c.candidates = c.candidates[:0]
		for _, u := range upstreams {
			if u.meets(w, now, need.Tried) {
				c.candidates = append(c.candidates, u)
			}
		}
		if len(c.candidates) == 0 {
			continue
		}
		if need.Key != 0 {
			return byKey(c.candidates, need.Key)
		}
		return byWork(c.candidates, need.Home, c.Random), nil
	}
	return nil, nil
}

// wish is what is wanted of an upstream, less and less of it.
type wish int

// The wishes.
const (
	// preferred upstreams neither rest nor were tried.
	preferred wish = iota
	// untried upstreams may rest.
	untried
	// leaving upstreams still serve.
	leaving
	// usable upstreams may have been tried.
	usable
)

// meets reports whether the upstream meets the wish of a request that has been
// to some.
func (u *Upstream) meets(w wish, now time.Time, tried []tables.UpstreamID) bool {
	switch w {
	case preferred:
		return u.Usable() && u.Rested(now) && !slices.Contains(tried, u.ID)
	case untried:
		return u.Usable() && !slices.Contains(tried, u.ID)
	case leaving:
		return u.Leaving(now) && !slices.Contains(tried, u.ID)
	}
	return u.Usable()
}

// byKey returns the candidate with the highest hash among those that do not
// have too much work, and the one with the highest hash of all: what the chosen
// one lacks, it can fetch there faster than read.
func byKey(candidates []*Upstream, key uint64) (chosen, reader *Upstream) {
	total := 0.0
	for _, u := range candidates {
		total += u.Work()
	}
	limit := overload*total/float64(len(candidates)) + spare
	var least *Upstream
	var chosenHash, readerHash uint64
	for _, u := range candidates {
		if least == nil || u.Work() < least.Work() {
			least = u
		}
		hash := u.Score(key)
		if reader == nil || hash > readerHash {
			reader, readerHash = u, hash
		}
		if u.Work() <= limit && (chosen == nil || hash > chosenHash) {
			chosen, chosenHash = u, hash
		}
	}
	if chosen == nil {
		chosen = least
	}
	return chosen, reader
}

// byWork returns the candidate with the least work for each of its slots.
func byWork(candidates []*Upstream, home tables.DataCenterID, random *rand.Rand) *Upstream {
	var best *Upstream
	var bestLoad float64
	for _, u := range candidates {
		load := u.Work() / float64(max(1, u.Slots))
		if u.DataCenter != home {
			load += farPenalty
		}
		// A little noise keeps the instances from choosing alike.
		load += random.Float64() * farPenalty / 2
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

// Score is the rendezvous hash of a key and an upstream. Both are hashes, so one
// multiplication mixes them well enough; six hundred scores are a choice.
func (u *Upstream) Score(key uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(key^u.hash, odd)
	high, low = bits.Mul64(high^low, u.hash|1)
	return high ^ low
}

// Fade lets old counts lose weight.
func (u *Upstream) Fade(now time.Time) {
	if passed := now.Sub(u.fadedAt); !u.fadedAt.IsZero() && passed > 0 {
		rest := halves(passed)
		u.Runs *= rest
		u.Fails *= rest
	}
	u.fadedAt = now
}

// failing reports whether too many of the fleet's recent calls failed.
func (u *Upstream) failing() bool {
	runs := max(u.Runs, u.FleetRuns)
	fails := max(u.Fails, u.FleetFails)
	return fails >= badCount && fails > badRate*runs
}

func (u *Upstream) rest(now time.Time) {
	pause := longestRest
	if u.strikes < 5 {
		pause = min(pause, firstRest<<max(0, u.strikes-1))
	}
	u.restUntil = now.Add(pause)
}

// halves returns what is left of one after some time with the half-life of
// the counts.
func halves(passed time.Duration) float64 {
	return math.Exp2(-float64(passed) / float64(fadeTime))
}
