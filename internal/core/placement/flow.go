package placement

import (
	"math"
	"time"

	"mimosayard/internal/core/forecast"
)

// flowState is the recent work that was sent to an upstream that states its pace. The zero value
// is none.
type flowState struct {
	// own is this instance's work as of the time at, others that of the rest of the fleet.
	own, others float64
	at          time.Time
	// keep is the probability with which a call that would go to the upstream stays there.
	keep float64
}

const (
	// flowHalfLife is the half-life of sent work. It is long against the age of the sums, so
	// that instances which correct an excess at the same time do not overshoot, and some
	// twenty long prompts at each upstream count.
	flowHalfLife = 9 * time.Second
	// keepPower is the power of the relative excess over the mean by which keep falls. Twice
	// the mean demand leaves 2^(1/13) = 1.05 times the mean.
	keepPower = 12
	// idleUsage is the part of the time in use that is added to all upstreams before they are
	// compared, so that single calls do not count as an excess on a fleet that is nearly idle.
	idleUsage = 0.005
	// idleCalls is the same in calls of the usual work, and enoughCalls the mean number of
	// calls at an upstream from which keep falls by the whole power. An instance that is cut
	// off knows of few calls, and must not move keys for the difference of one.
	idleCalls, enoughCalls = 2, 20
	// maxSpreads bounds the upstreams that a choice passes over.
	maxSpreads = 4
)

// RecordFlow records work that is sent to the upstream.
func (u *Upstream) RecordFlow(now time.Time, work float64) {
	u.flow.own, u.flow.at = u.OwnFlow(now)+work, now
}

// ReturnFlow takes back work that was recorded at the time but that the upstream did not take.
func (u *Upstream) ReturnFlow(now time.Time, work float64, recordedAt time.Time) {
	u.flow.own, u.flow.at = max(0, u.OwnFlow(now)-work*flowDecay(now.Sub(recordedAt))), now
}

// OwnFlow returns this instance's recent work at the upstream.
func (u *Upstream) OwnFlow(now time.Time) float64 {
	if u.flow.own == 0 {
		return 0
	}
	return u.flow.own * flowDecay(now.Sub(u.flow.at))
}

// flowDecay returns the part of sent work that still counts after a time.
func flowDecay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(flowHalfLife))
}

// SetOthersFlow sets the recent work of the rest of the fleet.
func (u *Upstream) SetOthersFlow(work float64) {
	u.flow.others = work
}

// Usage returns the recent work of the fleet at the upstream, as time of its machine.
func (u *Upstream) Usage(now time.Time) float64 {
	return (u.OwnFlow(now) + u.flow.others) * u.LastingPace()
}

// CompareUsage compares the upstream's usage with the mean one of the service's upstreams. Usual
// is the usual work of a call, zero if it is not known.
func (u *Upstream) CompareUsage(now time.Time, mean, usual float64) {
	idle := max(idleUsage*float64(flowHalfLife/time.Millisecond)/math.Ln2, idleCalls*usual)
	power := float64(keepPower)
	if calls := mean / max(usual, 1); calls < enoughCalls {
		power *= calls / enoughCalls
	}
	excess := (u.Usage(now) + idle) / (mean + idle)
	u.overused, u.flow.keep = excess > 1, math.Pow(excess, -power)
}

// Overused reports whether the upstream's recent work is above the mean as of the last comparison.
func (u *Upstream) Overused() bool {
	return u.overused
}

// ResetUsage discards the last comparison, so that no calls are diverted from the upstream.
func (u *Upstream) ResetUsage() {
	u.overused, u.flow.keep = false, 0
}

// RegisteredAt returns when the upstream became known to this instance.
func (u *Upstream) RegisteredAt() time.Time {
	return u.registeredAt
}

// Comparable reports whether the upstream's recent work may be compared with that of others, the
// oldest of which became known at the given time. It may not while the upstream is meant to get
// little work or none, nor while it has come so much later that its recent work is less: a mean with
// it would make the others count as overused, and all would turn to it with keys that it has not
// cached.
func (u *Upstream) Comparable(now, oldest time.Time) bool {
	isNew := u.registeredAt.Sub(oldest) > flowHalfLife/8 && now.Sub(u.registeredAt) < flowHalfLife
	return u.paced && u.Usable() && !u.evacuated && !u.IsCold(now) && u.CooldownOver(now) && !isNew
}

// spread returns the index of the first candidate from which the call is not diverted, in the
// order of the scores from the given one on, among those whose expected wait is within the bound.
// So the calls that are diverted from an overused upstream go to few others, which then have their
// shared parts too. If the call is diverted from each of the first ones, it returns the least used
// of them.
func (c *Chooser) spread(best int, bound forecast.Milliseconds) int {
	least := best
	for range maxSpreads {
		u := c.candidates[best]
		if !u.overused || c.Random.Float64() < u.flow.keep {
			return best
		}
		if u.flow.keep > c.candidates[least].flow.keep {
			least = best
		}
		if best = c.highestUpTo(c.scores[best]-1, bound); best < 0 {
			break
		}
	}
	return least
}

// highestUpTo returns the index of the candidate with the highest score up to the given one, among
// those whose expected wait is within the bound, -1 if there is none.
func (c *Chooser) highestUpTo(score uint64, bound forecast.Milliseconds) int {
	best := -1
	for i, expected := range c.waits {
		if expected <= bound && c.scores[i] <= score && (best < 0 || c.scores[i] > c.scores[best]) {
			best = i
		}
	}
	return best
}
