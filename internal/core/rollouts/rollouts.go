// Package rollouts exposes a new version to a rising share of callers, as a
// canary, and withdraws it when a sequential test on the fleet's ratings and
// errors finds it bad.
//
// Progress is a join semilattice: steps only rise and a withdrawal is final.
// Instances that decide concurrently, or receive updates in any order, reach
// the same progress without a leader.
package rollouts

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// An Evidence holds counters of a pool's answers, at one instance or summed
// over the fleet. The sums only rise, except when an instance goes down and its
// counters are no longer included.
type Evidence struct {
	// Ratings counts ratings. RatingShortfall is the sum of 1 - score over
	// them.
	Ratings         float64
	RatingShortfall float64
	// Calls counts finished calls. FailedCalls counts the failed ones of these.
	Calls       float64
	FailedCalls float64
}

// A Progress is how far the rollout of a pool has come.
type Progress struct {
	Pool tables.PoolID `json:"pool" cbor:"1,keyasint"`
	// Step is an index into the steps of the rollout.
	Step int `json:"step" cbor:"2,keyasint"`
	// SinceMillis is when the step began, in Unix milliseconds. Merge keeps the
	// earliest start of a step.
	SinceMillis int64 `json:"since_ms" cbor:"3,keyasint"`
	// Withdrawn is final for a pool of this name.
	Withdrawn bool   `json:"withdrawn" cbor:"4,keyasint"`
	Reason    Reason `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
}

// A Reason is why a version was withdrawn.
type Reason string

// A Verdict is the outcome of one evaluation of a pool.
type Verdict int

// A SequentialTest is the sequential test of one pool at one instance. The zero
// value is ready to use. It is not safe for concurrent use.
type SequentialTest struct {
	// started is true after the first evaluation, lastTotal the evidence at the
	// last one.
	started   bool
	lastTotal Evidence
	// step is the current step, stepStartTotal the evidence at its start.
	step           int
	stepStartTotal Evidence
	// ratingLLRs and errorLLR are cumulative sums (CUSUM) of log-likelihood
	// ratios, bounded below by zero.
	ratingLLRs [len(badShareShifts)]float64
	errorLLR   float64
	// longTerm and shortTerm are the pool's own share of bad answers over the
	// last longWindowRatings and shortWindowRatings ratings.
	longTerm  movingShare
	shortTerm movingShare
}

// movingShare is a moving average of the share of bad answers.
type movingShare struct {
	value float64
	// count is the number of ratings in value, at most the window.
	count float64
}

// The reasons for a withdrawal.
const (
	ReasonErrors   Reason = "errors"
	ReasonOperator Reason = "operator"
	ReasonRatings  Reason = "ratings"
	ReasonStalled  Reason = "stalled"
)

// The verdicts.
const (
	NoChange Verdict = iota
	Advance
	WithdrawRatings
	WithdrawErrors
	WithdrawStalled
)

const (
	// withdrawLLR is the log-likelihood ratio at which a version is
	// withdrawn. A false alarm then occurs about once in exp(withdrawLLR)
	// ratings.
	withdrawLLR = 14.0
	// limitLLR is the log-likelihood ratio at and above which a version is
	// exposed to at most limitedShare of the callers.
	limitLLR     = 4.0
	limitedShare = 0.05
	// warningLLR is the log-likelihood ratio from which instances report
	// evidence without delay.
	warningLLR = 1.0
	// acceptLLR is the log-likelihood ratio of good against bad that the
	// ratings of a step have to reach before the next step.
	acceptLLR = 4.6
	// minStepRatings is the number of ratings needed before the next step.
	minStepRatings = 20
	// minBadShare is the lowest share of bad answers assumed for a good
	// version.
	minBadShare = 0.03
	// baselineMargin is added to the baseline, which is itself an estimate.
	baselineMargin = 0.02
	// goodErrorShare and badErrorShare are the shares of failed calls assumed
	// for a good and a bad version.
	goodErrorShare = 0.02
	badErrorShare  = 0.25
	// longWindowRatings and shortWindowRatings are the windows of the moving
	// shares of bad answers. Both are short because the share also changes
	// with the cascade's plan.
	longWindowRatings  = 600
	shortWindowRatings = 200
	// minWindowRatings is the number of ratings from which a moving share is
	// used in place of the given or default baseline.
	minWindowRatings = 100
	// defaultBaseline is the share of bad answers of a version that has too
	// few ratings.
	defaultBaseline = 0.1
)

// badShareShifts are the rises of the share of bad answers that are tested
// for.
var badShareShifts = [...]float64{0.12, 0.35}

// IsExposed reports whether a caller, given by its CallerHash value, is within
// the exposed share from 0 to 1. A caller exposed at one share is exposed at
// every higher one.
func IsExposed(caller uint64, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(caller) < share*math.MaxUint64
}

// CallerHash returns the position of a caller in the exposure order of a pool.
func CallerHash(pool tables.PoolID, caller string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(pool))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(caller)
	return digest.Sum64()
}

// Merge returns the join of two progress values of one pool: the higher step
// with its earliest start, and any withdrawal. Of two reasons it keeps the first
// in alphabetical order. It is commutative, associative and idempotent.
func Merge(a, b Progress) Progress {
	merged := a
	switch {
	case b.Step > a.Step:
		merged.Step, merged.SinceMillis = b.Step, b.SinceMillis
	case b.Step == a.Step && b.SinceMillis < a.SinceMillis:
		merged.SinceMillis = b.SinceMillis
	}
	if b.Withdrawn && (!a.Withdrawn || b.Reason < a.Reason) {
		merged.Reason = b.Reason
	}
	merged.Withdrawn = a.Withdrawn || b.Withdrawn
	return merged
}

// IncreaseSince returns how far each counter rose since earlier, at least zero.
func (e Evidence) IncreaseSince(earlier Evidence) Evidence {
	return Evidence{
		Ratings:         max(0, e.Ratings-earlier.Ratings),
		RatingShortfall: max(0, e.RatingShortfall-earlier.RatingShortfall),
		Calls:           max(0, e.Calls-earlier.Calls),
		FailedCalls:     max(0, e.FailedCalls-earlier.FailedCalls),
	}
}

// Evaluate adds the fleet's evidence of a pool to the test and returns the
// verdict. The rollout is nil for a pool that is not being rolled out; its
// verdict is NoChange or a withdrawal. The baseline is the share of bad answers
// of the replaced version, from 0 to 1.
func (t *SequentialTest) Evaluate(now time.Time, rollout *tables.Rollout, progress Progress, total Evidence, baseline float64) Verdict {
	if !t.started || t.step != progress.Step {
		t.beginStep(progress.Step, total)
	}
	increase := total.IncreaseSince(t.lastTotal)
	t.lastTotal = total
	t.updateLLRs(increase, t.referenceShare(rollout, baseline))
	t.updateMovingShares(increase)
	switch {
	case t.ratingsAlarm():
		return WithdrawRatings
	case t.errorLLR >= withdrawLLR:
		return WithdrawErrors
	case rollout == nil || progress.Step >= len(rollout.Steps)-1:
		return NoChange
	}
	timeOnStep := now.Sub(time.UnixMilli(progress.SinceMillis))
	if timeOnStep >= rollout.StepMin.Duration() && t.stepAccepted(total, t.referenceShare(rollout, baseline)) {
		return Advance
	}
	if timeOnStep >= rollout.StepMax.Duration() {
		return WithdrawStalled
	}
	return NoChange
}

// Baseline returns the recent share of bad answers, which is the baseline for
// the version that replaces this one.
func (t *SequentialTest) Baseline() float64 {
	if t.shortTerm.count < minWindowRatings {
		return defaultBaseline
	}
	return t.shortTerm.value
}

// HasWarning reports whether the evidence of a bad version has reached
// warningLLR.
func (t *SequentialTest) HasWarning() bool {
	return t.maxLLR() >= warningLLR
}

// LimitExposure returns the share of callers that a version may be exposed to
// now, given the share of its step.
func (t *SequentialTest) LimitExposure(share float64) float64 {
	if t.maxLLR() >= limitLLR {
		return min(share, limitedShare)
	}
	return share
}

// ratingsAlarm reports whether a test on ratings has reached withdrawLLR.
func (t *SequentialTest) ratingsAlarm() bool {
	return slices.Max(t.ratingLLRs[:]) >= withdrawLLR
}

// beginStep records the evidence at the start of a step.
func (t *SequentialTest) beginStep(step int, total Evidence) {
	if !t.started {
		t.lastTotal = total
	}
	t.started = true
	t.step = step
	t.stepStartTotal = total
}

// stepAccepted reports whether this step has enough ratings and these favour a
// good version by acceptLLR.
func (t *SequentialTest) stepAccepted(total Evidence, reference float64) bool {
	step := total.IncreaseSince(t.stepStartTotal)
	if step.Ratings < minStepRatings {
		return false
	}
	largestShift := badShareShifts[len(badShareShifts)-1]
	return logLikelihoodRatio(step.RatingShortfall, step.Ratings, reference, reference+largestShift) <= -acceptLLR
}

// updateMovingShares adds ratings to the moving shares of bad answers.
func (t *SequentialTest) updateMovingShares(increase Evidence) {
	t.longTerm.update(increase, longWindowRatings)
	t.shortTerm.update(increase, shortWindowRatings)
}

// maxLLR returns the highest log-likelihood ratio of all tests.
func (t *SequentialTest) maxLLR() float64 {
	return max(t.errorLLR, slices.Max(t.ratingLLRs[:]))
}

// referenceShare returns the share of bad answers assumed for a good version.
func (t *SequentialTest) referenceShare(rollout *tables.Rollout, baseline float64) float64 {
	if rollout == nil && t.longTerm.count >= minWindowRatings {
		baseline = t.longTerm.value
	}
	return min(0.5, max(minBadShare, baseline+baselineMargin))
}

// update adds ratings to the moving average over a window of ratings.
func (s *movingShare) update(increase Evidence, window float64) {
	if increase.Ratings <= 0 {
		return
	}
	s.count = min(window, s.count+increase.Ratings)
	weight := min(1, increase.Ratings/s.count)
	s.value += weight * (increase.RatingShortfall/increase.Ratings - s.value)
}

// updateLLRs adds evidence to the cumulative sums of all tests.
func (t *SequentialTest) updateLLRs(increase Evidence, reference float64) {
	for i, shift := range badShareShifts {
		// A rise below about half of the shift lowers the sum.
		llr := logLikelihoodRatio(increase.RatingShortfall, increase.Ratings, reference, min(0.95, reference+shift))
		t.ratingLLRs[i] = max(0, t.ratingLLRs[i]+llr)
	}
	t.errorLLR = max(0, t.errorLLR+logLikelihoodRatio(increase.FailedCalls, increase.Calls, goodErrorShare, badErrorShare))
}

// logLikelihoodRatio returns the log-likelihood ratio of the share p1 against
// the share p0 for the given counts.
func logLikelihoodRatio(bad, count, p0, p1 float64) float64 {
	return bad*math.Log(p1/p0) + (count-bad)*math.Log((1-p1)/(1-p0))
}
