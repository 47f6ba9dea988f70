// Package placement chooses an upstream for a request.
//
// Requests whose prompts share parts go to the same upstream, because an
// upstream that has cached these parts need not read them again. Rendezvous
// hashing gives the same choice on every instance without coordination. The
// request goes to another upstream if its answer would start so much sooner
// there that this outweighs the reading that the cache saves. Requests without
// a prompt go to the upstream with the least work.
package placement

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/tables"
)

// An Upstream is an upstream with its state as this instance knows it.
type Upstream struct {
	// OwnWork is the work in flight from this instance, OthersWork from the
	// rest of the fleet.
	OwnWork    float64
	OthersWork float64
	// idHash is the hash of the ID, dataCenterHash that of the data centre.
	idHash         uint64
	dataCenterHash uint64
	// cooldownUntil is when the cooldown after failures ends, zero if there was
	// none.
	cooldownUntil time.Time
	// deferred is true from the time at which the upstream wanted no calls from this
	// instance for a while until it answers one.
	deferred bool
	// addressReused is true once another upstream has answered at the address.
	addressReused bool
	// leaving is true once the upstream has said in an answer that it is leaving. It
	// stays true for its incarnation, whatever its registration says.
	leaving bool
	// limited is true while the upstream limits its rejections or its calls, is cold or is
	// evacuated.
	limited bool
	// paced is true once the upstream has stated its pace.
	paced bool
	// overused is true if its recent work is above the mean of the service's upstreams.
	overused bool
	// evacuated is true while its data centre is.
	evacuated bool

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
	// registeredAt is when the upstream became known. lastSign is the time of the
	// last sign of life, an answer that started or an event, in nanoseconds since
	// then. Calls record it without the dispatcher's lock.
	registeredAt time.Time
	// ownSign is the same without what the fleet's counts show.
	lastSign, ownSign atomic.Int64
	// decayedAt is when Calls and Failures were last decayed, zero before the
	// first time.
	decayedAt time.Time
	// notBefore is when a deferred upstream wants calls again, deferredAt when it said
	// so.
	notBefore, deferredAt time.Time
	// Limit is the limit on its calls that the upstream names. UpdateLimited must be called
	// after it was named or lifted.
	Limit pacing.Limit

	rejections rejectionLimit
	admission  admission
	reported   loadReport
	pace       paceState
	flow       flowState
	memory     memoryState
	fleetPace  fleetPace
	// usualUse is the mean part of the slots that calls occupy, if the pace is as usual.
	usualUse float64
	// misdirections are those of the models whose calls the upstream has rejected as
	// misdirected, at most maxMisdirections. It is nil until there is one.
	misdirections map[tables.ModelID]misdirection
	// warmUp is last, since choices read all of the above and little of it.
	warmUp warmUp
}

// Criteria are the properties of a request that decide on its upstream.
type Criteria struct {
	// AffinityKey is the hash of what the prompt shares with other requests,
	// zero if it shares nothing.
	AffinityKey uint64
	// Prompt is the expected wait for the start of the answer, nil for a
	// request without a prompt.
	Prompt *PromptWait
	// Tokens are those of the prompt and the expected answer.
	Tokens tables.Tokens
	// Model is the model that the request runs on, empty if it names none.
	Model tables.ModelID
	// WorkTime is how long the request's work takes at the usual pace, if the choice is by what
	// the upstreams can take, else zero.
	WorkTime time.Duration
	// DataCenter is the data centre whose upstreams are preferred.
	DataCenter tables.DataCenterID
	// Tried are the upstreams that the request has already been sent to.
	Tried []tables.UpstreamID
}

// A PromptWait is the expected wait for the start of the answer to a prompt, as
// a function of an upstream's work.
type PromptWait struct {
	// AtHolder is the wait at the cache holder, Elsewhere that at any other
	// upstream.
	AtHolder, Elsewhere forecast.Line
	// MoveCost is the longer wait that a request accepts to stay where the
	// shared parts of its prompt are cached.
	MoveCost forecast.Milliseconds
	// RemotePenalty is added to the wait at upstreams in other data centres, for
	// the bytes that go between data centres.
	RemotePenalty forecast.Milliseconds
}

// MaxSilence is the time after a sign of life for which an upstream counts as alive.
// Sound upstreams may be silent for a second and more, and callers leave after two
// seconds at the earliest.
const MaxSilence = 1800 * time.Millisecond

const (
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
	// probeInterval is the time between two calls to an upstream that wanted none for
	// a while, until it answers one.
	probeInterval = 250 * time.Millisecond
)

// Work returns the fleet's work in flight at the upstream, or only that of this instance if
// an owner admits the calls: all would choose the upstream that had the least work a while
// ago, and wait there while others have room.
func (u *Upstream) Work() float64 {
	if u.limited && u.admission.owned {
		return u.OwnWork
	}
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

// RecordSign records a sign of life of the upstream at a time. An earlier one than the last, which
// is recorded late if its caller was slow, changes nothing.
func (u *Upstream) RecordSign(at time.Time) {
	storeLater(&u.ownSign, int64(at.Sub(u.registeredAt)))
	u.recordAlive(at)
}

// recordAlive records that the upstream is alive, as calls of this instance or of others show.
func (u *Upstream) recordAlive(at time.Time) {
	storeLater(&u.lastSign, int64(at.Sub(u.registeredAt)))
}

// storeLater stores a time unless a later one is stored.
func storeLater(stored *atomic.Int64, at int64) {
	for {
		last := stored.Load()
		if at <= last || stored.CompareAndSwap(last, at) {
			return
		}
	}
}

// LastSign returns the time of the last sign of life that this instance's calls got, zero if
// there was none.
func (u *Upstream) LastSign() time.Time {
	after := time.Duration(u.ownSign.Load())
	if after == 0 {
		return time.Time{}
	}
	return u.registeredAt.Add(after)
}

// Alive reports whether the upstream gave a sign of life within the last
// MaxSilence.
func (u *Upstream) Alive(now time.Time) bool {
	return now.Sub(u.registeredAt)-time.Duration(u.lastSign.Load()) < MaxSilence
}

// SetFleetCounts sets the counts over the whole fleet. A higher count of
// successful calls is a sign of life.
func (u *Upstream) SetFleetCounts(now time.Time, calls, failures float64) {
	if calls-failures > u.FleetCalls-u.FleetFailures {
		u.recordAlive(now)
	}
	u.FleetCalls, u.FleetFailures = calls, failures
}

// MarkLeaving records that the upstream has said that it is leaving.
func (u *Upstream) MarkLeaving(now time.Time) {
	u.leaving = true
	if u.drainingSince.IsZero() {
		u.drainingSince = now
	}
}

// Defer records that the upstream wants no calls from this instance for a time. A
// shorter time does not replace a longer one.
func (u *Upstream) Defer(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(u.notBefore) {
		u.notBefore = until
		u.deferred, u.deferredAt = true, now
	}
}

// Deferred reports whether the upstream wants no calls now.
func (u *Upstream) Deferred(now time.Time) bool {
	return u.deferred && now.Before(u.notBefore)
}

// NotBefore returns the time before which the upstream wants no calls.
func (u *Upstream) NotBefore() time.Time {
	return u.notBefore
}

// HasRoom reports whether one more call is within the limits that the upstream has stated, and
// those of a cold or evacuated one.
func (u *Upstream) HasRoom(now time.Time) bool {
	return !u.limited || u.limitsAllow(now)
}

// limitsAllow is the part of HasRoom that few upstreams need, so that the rest is inlined.
func (u *Upstream) limitsAllow(now time.Time) bool {
	return !u.evacuated && u.MayReject(now) && u.Limit.Allows(now) && u.warmUp.allows(now)
}

// SetEvacuated records whether the data centre of the upstream is evacuated. It gets no call then.
func (u *Upstream) SetEvacuated(evacuated bool) {
	u.evacuated = evacuated
	u.Room().SetClosed(evacuated)
	u.UpdateLimited()
}

// Evacuated reports whether the data centre of the upstream is evacuated.
func (u *Upstream) Evacuated() bool {
	return u.evacuated
}

// UpdateLimited updates the state that is derived from the limits of the upstream.
func (u *Upstream) UpdateLimited() {
	_, named := u.Limit.Named()
	u.limited = named || u.rejections.limited || u.admission.owned || u.warmUp.limited || u.evacuated
}

// RoomAt returns when one more call is within the limits that the upstream has stated and that of
// a cold one, as far as is known now, zero if that is not known.
func (u *Upstream) RoomAt(now time.Time) time.Time {
	rejected, paced, cold := u.rejectionRoomAt(now), u.Limit.AllowsAt(now), u.warmUp.allowsAt(now)
	if u.evacuated || rejected.IsZero() || paced.IsZero() || cold.IsZero() {
		return time.Time{}
	}
	if paced.After(rejected) {
		rejected = paced
	}
	if cold.After(rejected) {
		return cold
	}
	return rejected
}

// RecordCall records that a call is sent. Calls to an upstream that wanted none return
// one at a time, since all that waited for it would overload it again.
func (u *Upstream) RecordCall(now time.Time) {
	u.Limit.RecordCall(now)
	if u.warmUp.limited {
		u.warmUp.credit.RecordCall(now)
	}
	if u.deferred {
		u.notBefore = now.Add(probeInterval)
	}
}

// EndDeferral records that the upstream answers a call that was sent at the time. An
// answer to a call from before the deferral does not end it.
func (u *Upstream) EndDeferral(sentAt time.Time) {
	if u.deferred && sentAt.After(u.deferredAt) {
		u.deferred, u.notBefore = false, time.Time{}
	}
}

// MarkAddressReused records that another upstream answers at the address.
func (u *Upstream) MarkAddressReused() {
	u.addressReused = true
}

// SetEntry replaces the registration of the upstream and records when it began
// to drain.
func (u *Upstream) SetEntry(now time.Time, entry catalog.Upstream) {
	if u.registeredAt.IsZero() {
		u.registeredAt = now
	}
	u.Upstream = entry
	u.idHash = xxhash.Sum64String(string(entry.ID))
	u.dataCenterHash = xxhash.Sum64String(string(entry.DataCenter))
	if entry.Ready && !u.leaving {
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
	return u.Ready && !u.addressReused && !u.leaving
}

// CooldownOver reports whether the upstream is not in a cooldown.
func (u *Upstream) CooldownOver(now time.Time) bool {
	return u.cooldownUntil.IsZero() || !now.Before(u.cooldownUntil)
}

// At returns the expected wait at the upstream, of which holder tells whether it
// is the cache holder.
func (w *PromptWait) At(now time.Time, u *Upstream, holder bool) forecast.Milliseconds {
	line := &w.Elsewhere
	if holder {
		line = &w.AtHolder
	}
	expected := line.At(forecast.Milliseconds(u.Work()))
	if u.paced {
		expected *= forecast.Milliseconds(u.Pace(now))
	}
	return expected
}

// A Chooser chooses upstreams. It is not safe for concurrent use.
type Chooser struct {
	Random *rand.Rand
	// candidates are the upstreams of the present choice, scores and waits their
	// scores and expected waits. They are reused to avoid allocations.
	candidates []*Upstream
	scores     []uint64
	waits      []forecast.Milliseconds
}

// Choose returns the upstream for a request, or nil if none is left, and the
// upstream that most likely has the shared part of the prompt in its cache, nil
// if the prompt shares nothing. Upstreams in cooldown, draining, already tried or
// that misdirect the model are chosen only if there is no other.
func (c *Chooser) Choose(now time.Time, upstreams []*Upstream, criteria Criteria) (chosen, cacheHolder, source *Upstream) {
	for t := fitting; t <= usable; t++ {
		c.candidates = c.candidates[:0]
		for _, u := range upstreams {
			if u.eligible(t, now, &criteria) {
				c.candidates = append(c.candidates, u)
			}
		}
		if len(c.candidates) == 0 {
			continue
		}
		if criteria.Prompt != nil {
			return c.chooseByWait(now, criteria.AffinityKey, criteria.DataCenter, criteria.Prompt)
		}
		if criteria.WorkTime > 0 {
			return spreadByCapacity(now, c.candidates, criteria.DataCenter, criteria.WorkTime, c.Random), nil, nil
		}
		return chooseByLoad(c.candidates, criteria.DataCenter, c.Random), nil, nil
	}
	return nil, nil, nil
}

// tier is a set of upstreams that may be chosen. Each tier is tried only if the
// ones before it are empty.
type tier int

// The tiers, most preferred first.
const (
	// fitting upstreams are preferred ones that can hold the request's tokens.
	fitting tier = iota
	// preferred upstreams are neither in cooldown nor tried, and do not misdirect the
	// model.
	preferred
	// untried upstreams may be in cooldown.
	untried
	// draining upstreams still serve and were not tried.
	draining
	// usable upstreams may have been tried, or misdirect the model.
	usable
)

// eligible reports whether the upstream belongs to the tier for a request.
func (u *Upstream) eligible(t tier, now time.Time, criteria *Criteria) bool {
	if u.Deferred(now) || !u.HasRoom(now) {
		return false
	}
	tried := len(criteria.Tried) > 0 && slices.Contains(criteria.Tried, u.ID)
	if t == fitting && u.paced && !u.holds(criteria.Tokens) {
		return false
	}
	misdirects := len(u.misdirections) > 0 && u.Misdirects(now, criteria.Model)
	switch t {
	case fitting, preferred:
		return u.Usable() && u.CooldownOver(now) && !tried && !misdirects
	case untried:
		return u.Usable() && !tried && !misdirects
	case draining:
		return u.Draining(now) && !tried && !misdirects
	}
	return u.Usable() && (!tried || !misdirects)
}

// chooseByWait returns the upstream for a prompt, its cache holder, and the
// upstream from which to fetch shared parts, the last two nil if the key is zero.
//
// The cache holder is the candidate with the highest score. The chosen upstream
// has the highest score among those whose expected wait is close enough to the
// shortest one, so that requests with the same key also stay together at
// upstreams other than the cache holder. Where these send a key is where the
// cache holder looks for parts that it lacks. A part of the calls is diverted from
// an upstream whose recent work is above the mean.
func (c *Chooser) chooseByWait(now time.Time, key uint64, dataCenter tables.DataCenterID, wait *PromptWait) (chosen, cacheHolder, source *Upstream) {
	c.scores, c.waits = c.scores[:0], c.waits[:0]
	local := xxhash.Sum64String(string(dataCenter))
	scoreKey := key
	if key == 0 {
		// Prompts that share nothing are spread over the upstreams.
		scoreKey = c.Random.Uint64()
	}
	holder, runnerUp := -1, -1
	shortest := forecast.Milliseconds(math.Inf(1))
	for i, u := range c.candidates {
		score, expected := u.Score(scoreKey), wait.Elsewhere.At(forecast.Milliseconds(u.Work()))
		if u.paced {
			expected *= forecast.Milliseconds(u.Pace(now))
		}
		if u.dataCenterHash != local {
			expected += wait.RemotePenalty
		}
		c.scores, c.waits = append(c.scores, score), append(c.waits, expected)
		switch {
		case holder < 0 || score > c.scores[holder]:
			holder, runnerUp = i, holder
		case runnerUp < 0 || score > c.scores[runnerUp]:
			runnerUp = i
		}
		if expected < shortest {
			shortest = expected
		}
	}
	if key != 0 {
		cacheHolder = c.candidates[holder]
		c.waits[holder] += wait.At(now, cacheHolder, true) - wait.At(now, cacheHolder, false)
		shortest = min(shortest, c.waits[holder])
	}
	best := holder
	if c.waits[holder] > shortest+wait.MoveCost {
		best = c.highestUpTo(math.MaxUint64, shortest+wait.MoveCost)
	}
	if c.candidates[best].overused {
		best = c.spread(best, shortest+wait.MoveCost)
	}
	chosen = c.candidates[best]
	switch {
	case key == 0:
	case best != holder:
		source = cacheHolder
	case runnerUp >= 0:
		source = c.candidates[runnerUp]
	}
	return chosen, cacheHolder, source
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
