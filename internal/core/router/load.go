package router

import (
	"math"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/tables"
)

// serviceLoad tracks how close a service is to its capacity.
type serviceLoad struct {
	keys loadKeys
	// finishedRate is the rate of finished tokens per second. waitRatioSum is
	// the sum of expected waits for the first token, each divided by its bound,
	// and waitCount their number. All three decay with loadTimeConstant.
	finishedRate, waitRatioSum, waitCount float64
	updatedAt                             time.Time
	// lastAdmittedAt is when a request was last admitted under the bound on its
	// first token, or as a probe.
	lastAdmittedAt time.Time
	// peakRate is the decaying peak of the fleet's rate of finished tokens per
	// second.
	peakRate float64
	// capacity is the token rate per second that is divided among the teams. It
	// is zero while there is no shortage.
	capacity          float64
	capacityUpdatedAt time.Time
}

const (
	// loadTimeConstant is the time in which the sums of serviceLoad decay to
	// 1/e.
	loadTimeConstant = 2 * time.Second
	// shortageWaitRatio is the mean ratio of wait to bound above which capacity
	// is short.
	shortageWaitRatio = 0.3
	// capacityGrowthPerSecond is the relative growth of the divided capacity
	// for each second without shortage.
	capacityGrowthPerSecond = 0.10
	// capacityReleaseRatio is the ratio of capacity to demand above which
	// capacity is no longer divided.
	capacityReleaseRatio = 1.3
	// capacityCutPerRatio is the fraction by which capacity is cut below the
	// finished rate for each unit of wait ratio over shortageWaitRatio.
	capacityCutPerRatio = 0.6
	// peakTimeConstant is the time in which the peak rate decays to 1/e.
	// minPeakFraction is the fraction of the peak that capacity never falls
	// below. Without this floor, a lower capacity would finish fewer tokens,
	// which would lower the capacity again.
	peakTimeConstant = 30 * time.Second
	minPeakFraction  = 0.5
	// probeInterval is the time without an admitted request after which one
	// request is admitted whatever its expected wait. Its outcome corrects an
	// estimate of the wait that is too high.
	probeInterval = time.Second
)

func newServiceLoad(service tables.ServiceID) *serviceLoad {
	return &serviceLoad{keys: newLoadKeys(service)}
}

// decay decays the sums to the given time.
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

// addFinished counts the tokens of a finished call.
func (l *serviceLoad) addFinished(now time.Time, tokens tables.Tokens) {
	l.decay(now)
	l.finishedRate += float64(tokens) / loadTimeConstant.Seconds()
}

// observeWait counts the expected wait of a request against its bound. A ratio
// over 2 counts as 2.
func (l *serviceLoad) observeWait(now time.Time, wait, bound time.Duration) {
	l.decay(now)
	l.waitCount++
	l.waitRatioSum += min(2, wait.Seconds()/bound.Seconds())
}

// allowProbe reports whether a request is admitted whatever its expected wait,
// because none was admitted for probeInterval. It records the admission.
func (l *serviceLoad) allowProbe(now time.Time) bool {
	if now.Sub(l.lastAdmittedAt) < probeInterval {
		return false
	}
	l.lastAdmittedAt = now
	return true
}

// updateCapacity updates the divided capacity from the fleet's mean wait ratio
// and the demand in tokens per second.
func (l *serviceLoad) updateCapacity(now time.Time, fleetTotals aggregates.Values, demand float64) {
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

// write adds this instance's sums to its contribution.
func (l *serviceLoad) write(now time.Time, values aggregates.Values) {
	l.decay(now)
	putSignificant(values, l.keys.finishedRate, l.finishedRate)
	putSignificant(values, l.keys.waitRatioSum, l.waitRatioSum)
	putSignificant(values, l.keys.waitCount, l.waitCount)
}
