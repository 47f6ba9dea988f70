// Package retries bounds the calls beyond the first of each request. The bound
// is one for the whole fleet; each instance spends a share of it that needs no
// talk, since the parts of all instances add up to less than the whole.
package retries

import "time"

// A Bound is what the fleet may spend for a service within any window.
type Bound struct {
	// Ratio is the number of repeats for each request of the window.
	Ratio float64
	// Slack is the number of repeats besides, over the whole fleet.
	Slack  float64
	Window time.Duration
}

// A Window counts the requests for one service and the repeats that they
// caused on this instance. The zero value works. It is not safe for concurrent
// use.
type Window struct {
	buckets [bucketCount]bucket
	// start is when the window was first used. Only differences to it count,
	// so a jump of the time of day changes nothing.
	firstUsedAt time.Time
	// lastBucket is the number of the newest slice since the start.
	lastBucket int64
}

type bucket struct {
	requests, retries float64
}

const (
	// bucketCount is the number of parts of a window. The window that is counted is
	// one slice longer than the bound's, so that no window of the bound's
	// length holds more than what was counted.
	bucketCount = 21
	// spendableFraction is the part of the bound that is spent: requests and repeats are
	// counted at the upstreams a little later than here.
	spendableFraction = 0.85
)

// CountRequest counts a caller's request.
func (w *Window) CountRequest(now time.Time, bound Bound) {
	w.advance(now, bound).requests++
}

// CountRetry counts a call beyond the first of its request.
func (w *Window) CountRetry(now time.Time, bound Bound) {
	w.advance(now, bound).retries++
}

// Remaining returns the repeats that an instance may still make, one of the number
// of instances in the fleet.
func (w *Window) Remaining(now time.Time, bound Bound, instances int) float64 {
	w.advance(now, bound)
	requests, retries := 0.0, 0.0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return spendableFraction*(bound.Ratio*requests+bound.Slack/float64(max(1, instances))) - retries
}

// advance drops the slices that have left the window and returns the newest.
func (w *Window) advance(now time.Time, bound Bound) *bucket {
	bucketLength := max(bound.Window/(bucketCount-1), time.Millisecond)
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
