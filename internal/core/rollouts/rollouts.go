// Package rollouts moves a version through its steps of exposure and withdraws
// a bad one by a sequential test on the fleet's ratings and errors.
//
// Progress only ever moves up in a lattice: steps rise and a withdrawal stays.
// So two instances that decide at once, or that hear of it in any order, end
// with the same progress, and no instance has to be in charge.
package rollouts

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// An Evidence counts what is known of a pool's answers over the fleet. The
// counters never fall, but for a dead instance's part.
type Evidence struct {
	// Rated counts ratings, Bad the sum of what they lack to a full score.
	Rated float64
	Bad   float64
	// Calls counts finished calls, Errors the failed ones.
	Calls  float64
	Errors float64
}

// A Progress is how far the rollout of a pool has come.
type Progress struct {
	Pool tables.PoolID `json:"pool" cbor:"1,keyasint"`
	// Step is an index into the steps of the rollout.
	Step int `json:"step" cbor:"2,keyasint"`
	// Since is when the step began, in Unix milliseconds. The earliest one
	// known for a step counts.
	Since int64 `json:"since_ms" cbor:"3,keyasint"`
	// Withdrawn never becomes false again for a pool of this name.
	Withdrawn bool   `json:"withdrawn" cbor:"4,keyasint"`
	Reason    Reason `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
}

// A Reason says why a version was withdrawn.
type Reason string

// A Verdict is the outcome of one look at a pool.
type Verdict int

// A Watch is the sequential test of one pool at one instance. The zero value
// works.
type Watch struct {
	started   bool
	lastTotal Evidence
	// step and stepStart are the step looked at and the evidence at its
	// start.
	step           int
	stepStartTotal Evidence
	ratingLLRs     [len(badShareShifts)]float64
	errorLLR       float64
	// usual and recent are the pool's own share of bad answers over a longer
	// and a shorter time.
	longTerm  movingShare
	shortTerm movingShare
}

// share is a moving share of bad answers over so many ratings.
type movingShare struct {
	value float64
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
	Stay Verdict = iota
	Advance
	WithdrawRatings
	WithdrawErrors
	WithdrawStalled
)

const (
	// alarmLevel is the log-likelihood ratio at which a version is
	// withdrawn. A false alarm then takes about exp(alarmLevel) ratings.
	withdrawLLR = 14.0
	// suspectLevel is the log-likelihood ratio at which exposure is cut for
	// as long as it lasts.
	limitLLR = 4.0
	// suspectShare is the exposure left to a suspect version.
	limitedShare = 0.05
	// doubtLevel is the log-likelihood ratio from which evidence is wanted
	// without delay.
	warningLLR = 1.0
	// clearLevel is the log-likelihood ratio of good against bad that a step
	// needs to be left.
	acceptLLR = 4.6
	// clearRatings is the least number of ratings in a step.
	minStepRatings = 20
	// leastBadShare bounds the assumed share of bad answers of a good version
	// from below.
	minBadShare = 0.03
	// baselineSlack is added to the share held against, which is an estimate
	// itself.
	baselineMargin = 0.02
	// usualErrors and alarmingErrors are error shares of a good and a bad
	// version.
	goodErrorShare = 0.02
	badErrorShare  = 0.25
	// usualRatings and recentRatings are the ratings that the usual and the
	// recent share of bad answers go back. The share moves with the cascade's
	// plan too, so neither goes back for long.
	longWindowRatings  = 600
	shortWindowRatings = 200
	// trustedRatings is the number of ratings from which the usual share is
	// used in place of the baseline.
	minWindowRatings = 100
	defaultBaseline  = 0.1
)

// ratingShifts are the rises of the share of bad answers tested for.
var badShareShifts = [...]float64{0.12, 0.35}

// Exposed reports whether a caller is within the exposed share. Callers
// exposed at one share stay exposed at every higher one.
func Exposed(caller uint64, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(caller) < share*math.MaxUint64
}

// HashCaller returns the place of a caller in the exposure order of a pool.
func HashCaller(pool tables.PoolID, caller string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(pool))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(caller)
	return digest.Sum64()
}

// Merge returns the join of two progresses of one pool.
func Merge(a, b Progress) Progress {
	merged := a
	switch {
	case b.Step > a.Step:
		merged.Step, merged.Since = b.Step, b.Since
	case b.Step == a.Step && b.Since < a.Since:
		merged.Since = b.Since
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
		Rated:  max(0, e.Rated-earlier.Rated),
		Bad:    max(0, e.Bad-earlier.Bad),
		Calls:  max(0, e.Calls-earlier.Calls),
		Errors: max(0, e.Errors-earlier.Errors),
	}
}

// Look takes the fleet's evidence of a pool into the test. The rollout is nil
// for a pool that is not being rolled out; such a pool can only be withdrawn.
// The baseline is the share of bad answers of the version before.
func (w *Watch) Look(now time.Time, rollout *tables.Rollout, progress Progress, total Evidence, baseline float64) Verdict {
	if !w.started || w.step != progress.Step {
		w.beginStep(progress.Step, total)
	}
	increase := total.IncreaseSince(w.lastTotal)
	w.lastTotal = total
	w.updateTests(increase, w.referenceShare(rollout, baseline))
	w.update(increase)
	switch {
	case w.ratingsAlarm():
		return WithdrawRatings
	case w.errorLLR >= withdrawLLR:
		return WithdrawErrors
	case rollout == nil || progress.Step >= len(rollout.Steps)-1:
		return Stay
	}
	timeOnStep := now.Sub(time.UnixMilli(progress.Since))
	if timeOnStep >= rollout.StepMin.Duration() && w.stepAccepted(total, w.referenceShare(rollout, baseline)) {
		return Advance
	}
	if timeOnStep >= rollout.StepMax.Duration() {
		return WithdrawStalled
	}
	return Stay
}

// Baseline returns the recent share of bad answers, as the baseline of the
// version that replaces this one.
func (w *Watch) Baseline() float64 {
	if w.shortTerm.count < minWindowRatings {
		return defaultBaseline
	}
	return w.shortTerm.value
}

// Doubtful reports whether there are first signs of a bad version.
func (w *Watch) Doubtful() bool {
	return w.maxLLR() >= warningLLR
}

// Limit returns the share of callers a version may be exposed to now, given
// the share of its step.
func (w *Watch) Limit(share float64) float64 {
	if w.maxLLR() >= limitLLR {
		return min(share, limitedShare)
	}
	return share
}

func (w *Watch) ratingsAlarm() bool {
	return slices.Max(w.ratingLLRs[:]) >= withdrawLLR
}

func (w *Watch) beginStep(step int, total Evidence) {
	if !w.started {
		w.lastTotal = total
	}
	w.started = true
	w.step = step
	w.stepStartTotal = total
}

// cleared reports whether the ratings of this step speak for a good version.
func (w *Watch) stepAccepted(total Evidence, reference float64) bool {
	step := total.IncreaseSince(w.stepStartTotal)
	if step.Rated < minStepRatings {
		return false
	}
	largestShift := badShareShifts[len(badShareShifts)-1]
	return logLikelihoodRatio(step.Bad, step.Rated, reference, reference+largestShift) <= -acceptLLR
}

func (w *Watch) update(increase Evidence) {
	w.longTerm.update(increase, longWindowRatings)
	w.shortTerm.update(increase, shortWindowRatings)
}

// level returns the highest of the tests' log-likelihood ratios.
func (w *Watch) maxLLR() float64 {
	return max(w.errorLLR, slices.Max(w.ratingLLRs[:]))
}

func (w *Watch) referenceShare(rollout *tables.Rollout, baseline float64) float64 {
	if rollout == nil && w.longTerm.count >= minWindowRatings {
		baseline = w.longTerm.value
	}
	return min(0.5, max(minBadShare, baseline+baselineMargin))
}

// learn takes ratings into the share.
func (s *movingShare) update(increase Evidence, window float64) {
	if increase.Rated <= 0 {
		return
	}
	s.count = min(window, s.count+increase.Rated)
	weight := min(1, increase.Rated/s.count)
	s.value += weight * (increase.Bad/increase.Rated - s.value)
}

func (w *Watch) updateTests(increase Evidence, reference float64) {
	for i, shift := range badShareShifts {
		// A rise below half of the shift pulls the test down, not up.
		llr := logLikelihoodRatio(increase.Bad, increase.Rated, reference, min(0.95, reference+shift))
		w.ratingLLRs[i] = max(0, w.ratingLLRs[i]+llr)
	}
	w.errorLLR = max(0, w.errorLLR+logLikelihoodRatio(increase.Errors, increase.Calls, goodErrorShare, badErrorShare))
}

// likelihoodRatio returns the logarithm of how much likelier the counts are
// under the share p1 than under p0.
func logLikelihoodRatio(bad, count, p0, p1 float64) float64 {
	return bad*math.Log(p1/p0) + (count-bad)*math.Log((1-p1)/(1-p0))
}
