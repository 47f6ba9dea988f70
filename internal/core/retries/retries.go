// Package retries limits the calls beyond the first of each request with one
// budget for the whole fleet. Each instance may spend a share of the budget
// without coordination, since the shares of all instances add up to less than
// the whole.
package retries

import "time"

// A Budget is the number of retries that the fleet may make for a service
// within any window.
type Budget struct {
	// Ratio is the number of retries for each request in the window.
	Ratio float64
	// Slack is the number of retries, over the whole fleet, that are allowed in
	// addition.
	Slack float64
	// Window is the length of a window.
	Window time.Duration
}

// A Window counts the requests for one service and the retries that they caused
// on this instance. The zero value is ready for use. It is not safe for
// concurrent use.
type Window struct {
	buckets [bucketCount]bucket
	// firstUsedAt is when the window was first used. Buckets are numbered by the
	// time since then, so that a jump of the wall clock changes nothing.
	firstUsedAt time.Time
	// lastBucket is the number of the newest bucket, counted from firstUsedAt.
	lastBucket int64
}

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	requests, retries float64
}

const (
	// bucketCount is the number of buckets of a window. The counted window is
	// one bucket longer than that of the budget, so that no window of the
	// budget's length holds more than was counted.
	bucketCount = 21
	// spendableFraction is the part of the budget that is spent. Requests and
	// retries are counted a little later at the upstreams than here.
	spendableFraction = 0.85
)

// CountRequest counts a caller's request.
func (w *Window) CountRequest(now time.Time, budget Budget) {
	w.advance(now, budget).requests++
}

// CountRetry counts a call beyond the first of its request.
func (w *Window) CountRetry(now time.Time, budget Budget) {
	w.advance(now, budget).retries++
}

// Remaining returns the number of retries that this instance, one of the given
// number, may still make. It is negative if the budget was overspent.
func (w *Window) Remaining(now time.Time, budget Budget, instances int) float64 {
	w.advance(now, budget)
	requests, retries := 0.0, 0.0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return spendableFraction*(budget.Ratio*requests+budget.Slack/float64(max(1, instances))) - retries
}

// advance clears the buckets that have left the window and returns the newest.
func (w *Window) advance(now time.Time, budget Budget) *bucket {
	bucketLength := max(budget.Window/(bucketCount-1), time.Millisecond)
	if w.firstUsedAt.IsZero() {
		w.firstUsedAt = now
	}
	current := int64(now.Sub(w.firstUsedAt) / bucketLength)
	if current-w.lastBucket >= bucketCount {
		w.buckets = [bucketCount]bucket{}
		w.lastBucket = current
	}
	for w.lastBucket < current {
		w.lastBucket++
		w.buckets[w.lastBucket%bucketCount] = bucket{}
	}
	return &w.buckets[w.lastBucket%bucketCount]
}
