package router

import (
	"math"
	"time"

	"mimosayard/internal/core/sums"
	"mimosayard/internal/core/tables"
)

// serviceLoad tells how close a service is to its capacity.
type serviceLoad struct {
	keys loadKeys
	// done is the rate of finished tokens, pressure the sum of waits relative
	// to their bounds, and picks their number, all as decaying sums.
	finishedRate, waitRatioSum, waitCount float64
	updatedAt                             time.Time
	// admitted is when a request last passed the bound on its first token.
	lastAdmittedAt time.Time
	// peak is the highest recent rate of finished tokens over the fleet.
	peakRate float64
	// capacity is the token rate shared out, zero while it is not short.
	capacity          float64
	capacityUpdatedAt time.Time
}

const (
	loadTimeConstant = 2 * time.Second
	// shortPressure is the mean wait, relative to its bound, from which
	// capacity counts as short.
	shortageWaitRatio = 0.3
	// capacityGrowth is the growth of the shared capacity for each second
	// without shortage.
	capacityGrowthPerSecond = 0.10
	// capacityRelease is the ratio of capacity to demand at which sharing
	// ends.
	capacityReleaseRatio = 1.3
	// capacityCut is how much less than the finished rate is shared out for
	// each unit of pressure over the bound.
	capacityCutPerRatio = 0.6
	// peakLife is the time in which the peak of the finished rate is forgotten,
	// and leastOfPeak the part of it that is always shared out. Otherwise a
	// lower rate would finish less, which would lower the rate again.
	peakTimeConstant = 30 * time.Second
	minPeakFraction  = 0.5
	// probeInterval is the time without an admitted request after which one is
	// let pass, so that a wait that was learned wrong can be learned anew.
	probeInterval = time.Second
)

func newServiceLoad(service tables.ServiceID) *serviceLoad {
	return &serviceLoad{keys: newLoadKeys(service)}
}

func (l *serviceLoad) decay(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 && !l.updatedAt.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / loadTimeConstant.Seconds())
		l.finishedRate *= factor
		l.waitRatioSum *= factor
		l.waitCount *= factor
	}
	if now.After(l.updatedAt) {
		l.updatedAt = now
	}
}

func (l *serviceLoad) addFinished(now time.Time, tokens tables.Tokens) {
	l.decay(now)
	l.finishedRate += float64(tokens) / loadTimeConstant.Seconds()
}

func (l *serviceLoad) observeWait(now time.Time, wait, bound time.Duration) {
	l.decay(now)
	l.waitCount++
	l.waitRatioSum += min(2, wait.Seconds()/bound.Seconds())
}

// probe reports whether a request should pass whatever wait is expected.
func (l *serviceLoad) allowProbe(now time.Time) bool {
	if now.Sub(l.lastAdmittedAt) < probeInterval {
		return false
	}
	l.lastAdmittedAt = now
	return true
}

// steer renews the capacity that is shared out from the fleet's pressure.
func (l *serviceLoad) updateCapacity(now time.Time, fleetTotals sums.Values, demand float64) {
	elapsed := now.Sub(l.capacityUpdatedAt).Seconds()
	l.capacityUpdatedAt = now
	l.decay(now)
	meanWaitRatio := 0.0
	if waitCount := fleetTotals[l.keys.waitCount]; waitCount > negligibleValue {
		meanWaitRatio = fleetTotals[l.keys.waitRatioSum] / waitCount
	}
	finishedRate := fleetTotals[l.keys.finishedRate]
	l.peakRate = max(finishedRate, l.peakRate*math.Exp(-elapsed/peakTimeConstant.Seconds()))
	switch {
	case meanWaitRatio > shortageWaitRatio && finishedRate > 0:
		l.capacity = max(finishedRate*(1-capacityCutPerRatio*(meanWaitRatio-shortageWaitRatio)), minPeakFraction*l.peakRate)
	case l.capacity > 0:
		l.capacity *= 1 + capacityGrowthPerSecond*min(1, elapsed)
		if l.capacity > capacityReleaseRatio*demand {
			l.capacity = 0
		}
	}
}

func (l *serviceLoad) write(now time.Time, values sums.Values) {
	l.decay(now)
	putSignificant(values, l.keys.finishedRate, l.finishedRate)
	putSignificant(values, l.keys.waitRatioSum, l.waitRatioSum)
	putSignificant(values, l.keys.waitCount, l.waitCount)
}
