// Package pacing keeps the calls of all instances to an upstream within the rate that
// the upstream names as its limit.
//
// An upstream names its limit in its answers, to whichever instance it answers. Instances
// tell each other by sums over the fleet, and each of some of them makes calls at a fixed
// part of the rate, so that the parts add up to less than the limit without coordination.
package pacing

import (
	"math"
	"time"
)

// A Rate is a number of calls a second.
type Rate float64

// A Limit is what one instance knows of the limit of an upstream, and what it may send
// within its own part of it. It belongs to one life of the upstream. The zero value is no
// limit. It is not safe for concurrent use.
type Limit struct {
	// named is true while the upstream limits its calls, as far as is known, rate the limit.
	named bool
	rate  Rate
	// notedRate is the rate as of the last change that was reported.
	notedRate Rate
	// confirmedAt is when an answer to any instance last named the limit.
	confirmedAt time.Time
	// answeredAt is when an answer to this instance last named a limit, answerRate, or,
	// while there was one, did not.
	answeredAt  time.Time
	answerRate  Rate
	answerNamed bool
	// credit bounds this instance's calls by its part of the rate.
	credit Credit
}

// A Statement is what the latest answers to all instances say of a limit.
type Statement struct {
	// Named and Unnamed count the instances whose latest answer named a limit, and did not.
	Named, Unnamed float64
	// RateSum is the sum of the limits that were named.
	RateSum float64
}

const (
	// answerTTL is how long an answer counts in the statements of the fleet. Limits change,
	// and an older answer may contradict a newer one.
	answerTTL = time.Second
	// minHoldTime is how long a limit holds at least without a further answer. holdCalls is
	// the number of calls within the limit in which an answer must have come.
	minHoldTime = 30 * time.Second
	holdCalls   = 10
	// minRate replaces lower limits. An upstream that gets no call can't lift its limit.
	minRate Rate = 0.1
	// burstTime is the time for which an unused share is kept. At least one call is.
	burstTime = 100 * time.Millisecond
	// notableChange is the relative change of a limit that is reported.
	notableChange = 0.2
)

// Named returns the limit of the upstream, and whether it has one.
func (l *Limit) Named() (Rate, bool) {
	return l.rate, l.named
}

// Share returns this instance's part of the limit.
func (l *Limit) Share() Rate {
	return l.credit.Share()
}

// RecordAnswer records whether an answer to this instance names a limit, and which one. It
// reports whether the limit in force has changed by much.
func (l *Limit) RecordAnswer(now time.Time, rate Rate, named bool) bool {
	if !named && !l.named {
		return false
	}
	rate = max(rate, minRate)
	l.answeredAt, l.answerRate, l.answerNamed = now, rate, named
	if !named {
		// Other instances may have later answers; Apply decides.
		return false
	}
	return l.set(now, rate)
}

// Statement returns what the latest answer to this instance says, empty if there was none
// lately.
func (l *Limit) Statement(now time.Time) Statement {
	switch {
	case l.answeredAt.IsZero() || now.Sub(l.answeredAt) > answerTTL:
		return Statement{}
	case l.answerNamed:
		return Statement{Named: 1, RateSum: float64(l.answerRate)}
	}
	return Statement{Unnamed: 1}
}

// Apply applies what the latest answers to all instances say, including those to this one.
// It reports whether the limit in force has changed by much.
func (l *Limit) Apply(now time.Time, fleet Statement) bool {
	switch {
	case fleet.Named > 0 && fleet.Named >= fleet.Unnamed:
		return l.set(now, Rate(fleet.RateSum/fleet.Named))
	case fleet.Unnamed > 0, l.named && now.Sub(l.confirmedAt) > l.holdTime():
		changed := l.named
		l.named = false
		return changed
	}
	return false
}

// IsEmpty reports whether the statement says nothing.
func (s Statement) IsEmpty() bool {
	return s == Statement{}
}

// SetShare sets this instance's part of the limit.
func (l *Limit) SetShare(now time.Time, share Rate) {
	l.credit.SetShare(now, share)
}

// Allows reports whether one more call is within this instance's share.
func (l *Limit) Allows(now time.Time) bool {
	return !l.named || l.credit.Allows(now)
}

// RecordCall counts a call that is sent.
func (l *Limit) RecordCall(now time.Time) {
	if l.named {
		l.credit.RecordCall(now)
	}
}

// AllowsAt returns when one more call is within this instance's share, zero if it has none.
func (l *Limit) AllowsAt(now time.Time) time.Time {
	if !l.named {
		return now
	}
	return l.credit.AllowsAt(now)
}

// holdTime returns how long the limit holds without an answer that confirms it.
func (l *Limit) holdTime() time.Duration {
	return max(minHoldTime, time.Duration(holdCalls/float64(l.rate)*float64(time.Second)))
}

// set puts a limit in force and reports whether it has changed by much.
func (l *Limit) set(now time.Time, rate Rate) bool {
	changed := !l.named || math.Abs(float64(rate-l.notedRate)) > notableChange*float64(l.notedRate)
	if !l.named {
		l.credit.burst = burstTime
		l.credit.Start(now, l.credit.share)
	}
	if changed {
		l.notedRate = rate
	}
	l.named, l.rate, l.confirmedAt = true, rate, now
	return changed
}
