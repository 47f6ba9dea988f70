package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/tables"
)

// Upstream holds an instance's state of one upstream.
type Upstream struct {
	// Config is the upstream's row in the pools table.
	Config tables.Upstream
	// InFlight is the number of the instance's own calls in progress.
	InFlight int

	// Limit is the limit on its calls that the upstream names.
	Limit pacing.Limit

	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
	// leaving is true if the upstream is leaving according to the platform's
	// list.
	leaving bool
	// report is the latest load report, if hasReport is true.
	report    LoadReport
	hasReport bool
	// sentTimes is a ring buffer of the times at which the latest own calls
	// were sent, in Unix nanoseconds.
	sentTimes [sentTimesSize]int64
	nextSent  int
	// awaitingFirstToken is the number of own calls without a first token.
	// lastProgressAt is when an own call last got its first token or ended
	// without one, or when the first of the waiting calls was sent.
	awaitingFirstToken int
	lastProgressAt     time.Time
	// lateSeconds is a moving mean of how much later than expected first tokens
	// came, as of latenessUpdatedAt.
	lateSeconds       float64
	latenessUpdatedAt time.Time
	// lives counts the losses of calls that were sent after the one before, lostAt is when
	// a call was last lost.
	lives  int
	lostAt time.Time
	// consecutiveFailures is the number of failures since the last first token.
	// The upstream gets no calls until cooldownUntil.
	consecutiveFailures int
	cooldownUntil       time.Time
	// rampUpFrom is when the latest cooldown ends and the ramp-up starts, zero
	// if there was no failure.
	rampUpFrom time.Time
}

const (
	// sentTimesSize is the number of latest calls whose times are kept.
	sentTimesSize = 32
	// latenessGain is the weight of one observation of lateness.
	// latenessTimeConstant is the time in which lateness decays to 1/e, so that
	// a slow upstream is tried again.
	latenessGain         = 0.3
	latenessTimeConstant = 20 * time.Second
	// stallGraceSeconds is the time without progress that does not count as a
	// stall.
	stallGraceSeconds = 0.2

	// baseCooldown is the cooldown after the first failure. It doubles with
	// each further consecutive failure, maxCooldownDoublings times at most, and
	// up to maxCooldown. Up to half of it is added as jitter.
	baseCooldown         = 250 * time.Millisecond
	maxCooldown          = 30 * time.Second
	maxCooldownDoublings = 7
	// rampUpDuration is the time after a cooldown in which an upstream gets at
	// most maxRampUpInFlight calls at once.
	rampUpDuration    = 5 * time.Second
	maxRampUpInFlight = 2
)

// ReportedRunning returns the number of running and queued calls in the
// upstream's latest report, or zero without a report.
func (u *Upstream) ReportedRunning() int {
	return u.report.Running
}

// RecordLoss records that a call was lost, and returns the number of the upstream's life on
// which it was. Calls that ran when one was lost are lost on the same life.
func (u *Upstream) RecordLoss(now, sentAt time.Time) int {
	if u.lostAt.IsZero() || sentAt.After(u.lostAt) {
		u.lives++
		u.lostAt = now
	}
	return u.lives
}

// recordFailure counts a failure and starts a cooldown with exponential backoff
// and jitter.
func (u *Upstream) recordFailure(now time.Time, random *rand.Rand) {
	cooldown := min(maxCooldown, baseCooldown<<min(maxCooldownDoublings, u.consecutiveFailures))
	u.consecutiveFailures++
	u.cooldownUntil = now.Add(cooldown + time.Duration(random.Int64N(int64(cooldown)/2+1)))
	u.rampUpFrom = u.cooldownUntil
}

// recordFinish counts a call as ended. The end counts as progress if the call
// must have been waiting for its first token.
func (u *Upstream) recordFinish(now time.Time) {
	u.InFlight = max(0, u.InFlight-1)
	if u.awaitingFirstToken > u.InFlight {
		u.awaitingFirstToken = u.InFlight
		u.lastProgressAt = now
	}
}

// accepts reports whether the upstream may get the call: it is neither
// draining, leaving, avoided nor in a cooldown, and below its limit if it is
// ramping up.
func (u *Upstream) accepts(now time.Time, call Call) bool {
	if u.Config.Draining || u.leaving || u.Config.Name == call.Avoid || now.Before(u.cooldownUntil) || !u.Limit.Allows(now) {
		return false
	}
	rampingUp := !u.rampUpFrom.IsZero() && now.Sub(u.rampUpFrom) < rampUpDuration
	return !rampingUp || u.InFlight < maxRampUpInFlight
}

// lateness returns the decayed mean of how much later than expected first
// tokens came, in seconds.
func (u *Upstream) lateness(now time.Time) float64 {
	if u.lateSeconds <= 0 {
		return 0
	}
	return u.lateSeconds * math.Exp(-now.Sub(u.latenessUpdatedAt).Seconds()/latenessTimeConstant.Seconds())
}

// recordFirstToken records a first token that came lateSeconds later than
// expected.
func (u *Upstream) recordFirstToken(now time.Time, lateSeconds float64) {
	u.consecutiveFailures = 0
	u.awaitingFirstToken = max(0, u.awaitingFirstToken-1)
	u.lastProgressAt = now
	current := u.lateness(now)
	u.lateSeconds = current + latenessGain*(lateSeconds-current)
	u.latenessUpdatedAt = now
}

// sentSince returns the number of own calls sent after a time, at most
// sentTimesSize.
func (u *Upstream) sentSince(since time.Time) int {
	sinceNanos := since.UnixNano()
	count := 0
	for i := u.nextSent + sentTimesSize - 1; count < sentTimesSize && u.sentTimes[i%sentTimesSize] > sinceNanos; i-- {
		count++
	}
	return count
}

// stalledSeconds returns the time that own calls have waited for a first token
// without any progress, less the grace period.
func (u *Upstream) stalledSeconds(now time.Time) float64 {
	if u.awaitingFirstToken == 0 {
		return 0
	}
	return max(0, now.Sub(u.lastProgressAt).Seconds()-stallGraceSeconds)
}

// recordStart counts a call as sent.
func (u *Upstream) recordStart(now time.Time) {
	if u.awaitingFirstToken == 0 {
		u.lastProgressAt = now
	}
	u.Limit.RecordCall(now)
	u.InFlight++
	u.awaitingFirstToken++
	u.sentTimes[u.nextSent] = now.UnixNano()
	u.nextSent = (u.nextSent + 1) % sentTimesSize
}
