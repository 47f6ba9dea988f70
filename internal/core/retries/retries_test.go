package retries

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var budget = Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}

// TestFleetBudget lets instances retry as much as they may and compares the
// retries of all instances in any window with the budget of the fleet.
// Instances do not coordinate, so their shares must not add up to more than the
// budget.
func TestFleetBudget(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]Window, instances)
		var requests, retries []int
		start := time.Unix(1000, 0)
		for i := range 600 {
			now := start.Add(time.Duration(i) * step)
			requestCount := rapid.IntRange(0, 3).Draw(t, "requests")
			retryCount := 0
			for range requestCount {
				w := &windows[rapid.IntRange(0, instances-1).Draw(t, "at")]
				w.CountRequest(now, budget)
				for w.Remaining(now, budget, instances) >= 1 {
					w.CountRetry(now, budget)
					retryCount++
				}
			}
			requests = append(requests, requestCount)
			retries = append(retries, retryCount)
		}
		windowSteps := int(budget.Window / step)
		for end := windowSteps; end <= len(requests); end++ {
			windowRequests := sum(requests[end-windowSteps : end])
			// The requests of the preceding window count if they are more.
			if end >= 2*windowSteps {
				windowRequests = max(windowRequests, sum(requests[end-2*windowSteps:end-windowSteps]))
			}
			allowed := budget.Ratio*float64(windowRequests) + budget.Slack
			if retryCount := sum(retries[end-windowSteps : end]); float64(retryCount) > allowed {
				t.Fatalf("%d retries in a window with %d requests, allowed %.0f", retryCount, windowRequests, allowed)
			}
		}
	})
}

// TestWindow guards the sliding window: retries that never expire would use up
// the budget for good, and requests must add to it.
func TestWindow(t *testing.T) {
	t.Run("retries that have left the window do not count", func(t *testing.T) {
		is := is.New(t)
		var w Window
		now := time.Unix(1000, 0)
		before := w.Remaining(now, budget, 8)
		w.CountRetry(now, budget)
		is.Equal(w.Remaining(now, budget, 8), before-1)
		is.Equal(w.Remaining(now.Add(2*budget.Window), budget, 8), before)
	})
	t.Run("requests add to the budget", func(t *testing.T) {
		is := is.New(t)
		var w Window
		now := time.Unix(1000, 0)
		before := w.Remaining(now, budget, 8)
		w.CountRequest(now, budget)
		is.True(w.Remaining(now, budget, 8) > before)
	})
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
