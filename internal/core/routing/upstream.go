package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/tables"
)

// An Upstream is the state of one upstream.
type Upstream struct {
	Row tables.Upstream
	// InFlight is the number of own calls in progress.
	InFlight int

	hash      uint64
	leaving   bool
	report    Report
	hasReport bool
	// sent is a ring of the times of the latest own calls, in Unix
	// nanoseconds.
	sentTimes [sentTimesSize]int64
	nextSent  int
	// unanswered is the number of own calls without a first token, and
	// lastProgress when one got it, or when the first of them was sent.
	awaitingFirstToken int
	lastProgressAt     time.Time
	// late is how much later than expected first tokens came, a moving mean
	// in seconds taken at lateAt.
	lateSeconds       float64
	latenessUpdatedAt time.Time
	// failures in a row close an upstream until closedUntil.
	consecutiveFailures int
	cooldownUntil       time.Time
	// opened is when it last came back.
	rampUpFrom time.Time
}

const (
	sentTimesSize = 32
	// lateGain is the weight of one observation of lateness, and lateLife the
	// time in which lateness fades, so that an upstream is tried again.
	latenessGain         = 0.3
	latenessTimeConstant = 20 * time.Second
	// stallGrace is the time without progress that is not counted, in seconds.
	stallGraceSeconds = 0.2

	baseCooldown         = 250 * time.Millisecond
	maxCooldown          = 30 * time.Second
	maxCooldownDoublings = 7
	rampUpDuration       = 5 * time.Second
	maxRampUpInFlight    = 2
)

// Reported returns the number of calls that the upstream reported last.
func (u *Upstream) Reported() int {
	return u.report.Running
}

func (u *Upstream) recordFailure(now time.Time, random *rand.Rand) {
	cooldown := min(maxCooldown, baseCooldown<<min(maxCooldownDoublings, u.consecutiveFailures))
	u.consecutiveFailures++
	u.cooldownUntil = now.Add(cooldown + time.Duration(random.Int64N(int64(cooldown)/2+1)))
	u.rampUpFrom = u.cooldownUntil
}

func (u *Upstream) recordFinish(now time.Time) {
	u.InFlight = max(0, u.InFlight-1)
	if u.awaitingFirstToken > u.InFlight {
		u.awaitingFirstToken = u.InFlight
		u.lastProgressAt = now
	}
}

// open reports whether the upstream may get the call.
func (u *Upstream) accepts(now time.Time, call Call) bool {
	if u.Row.Leaving || u.leaving || u.Row.Name == call.Avoid || now.Before(u.cooldownUntil) {
		return false
	}
	rampingUp := !u.rampUpFrom.IsZero() && now.Sub(u.rampUpFrom) < rampUpDuration
	return !rampingUp || u.InFlight < maxRampUpInFlight
}

// lateness returns how much later than expected first tokens come, in seconds.
func (u *Upstream) lateness(now time.Time) float64 {
	if u.lateSeconds <= 0 {
		return 0
	}
	return u.lateSeconds * math.Exp(-now.Sub(u.latenessUpdatedAt).Seconds()/latenessTimeConstant.Seconds())
}

// progress notes a first token that came so many seconds later than the load
// let expect.
func (u *Upstream) recordFirstToken(now time.Time, lateSeconds float64) {
	u.consecutiveFailures = 0
	u.awaitingFirstToken = max(0, u.awaitingFirstToken-1)
	u.lastProgressAt = now
	current := u.lateness(now)
	u.lateSeconds = current + latenessGain*(lateSeconds-current)
	u.latenessUpdatedAt = now
}

// sentSince returns the number of own calls sent after a time.
func (u *Upstream) sentSince(since time.Time) int {
	sinceNanos := since.UnixNano()
	count := 0
	for i := u.nextSent + sentTimesSize - 1; count < sentTimesSize && u.sentTimes[i%sentTimesSize] > sinceNanos; i-- {
		count++
	}
	return count
}

// stalled returns how many seconds own calls have waited without any progress.
func (u *Upstream) stalledSeconds(now time.Time) float64 {
	if u.awaitingFirstToken == 0 {
		return 0
	}
	return max(0, now.Sub(u.lastProgressAt).Seconds()-stallGraceSeconds)
}

func (u *Upstream) recordStart(now time.Time) {
	if u.awaitingFirstToken == 0 {
		u.lastProgressAt = now
	}
	u.InFlight++
	u.awaitingFirstToken++
	u.sentTimes[u.nextSent] = now.UnixNano()
	u.nextSent = (u.nextSent + 1) % sentTimesSize
}
