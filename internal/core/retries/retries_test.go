package retries

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var bound = Bound{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}

// TestFleet lets instances spend as much as they may and holds what all of
// them spent in any window against the bound of the fleet.
func TestFleet(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]Window, instances)
		var requests, retries []int
		start := time.Unix(1000, 0)
		for i := range 600 {
			now := start.Add(time.Duration(i) * step)
			sent := rapid.IntRange(0, 3).Draw(t, "requests")
			spent := 0
			for range sent {
				w := &windows[rapid.IntRange(0, instances-1).Draw(t, "at")]
				w.CountRequest(now, bound)
				for w.Remaining(now, bound, instances) >= 1 {
					w.CountRetry(now, bound)
					spent++
				}
			}
			requests = append(requests, sent)
			retries = append(retries, spent)
		}
		length := int(bound.Window / step)
		for end := length; end <= len(requests); end++ {
			asked := sum(requests[end-length : end])
			// The requests of the window before count if they are more.
			if end >= 2*length {
				asked = max(asked, sum(requests[end-2*length:end-length]))
			}
			allowed := bound.Ratio*float64(asked) + bound.Slack
			if spent := sum(retries[end-length : end]); float64(spent) > allowed {
				t.Fatalf("%d repeats in a window with %d requests, allowed %.0f", spent, asked, allowed)
			}
		}
	})
}

func TestWindow(t *testing.T) {
	t.Run("what has left the window does not count", func(t *testing.T) {
		is := is.New(t)
		var w Window
		now := time.Unix(1000, 0)
		before := w.Remaining(now, bound, 8)
		w.CountRetry(now, bound)
		is.Equal(w.Remaining(now, bound, 8), before-1)
		is.Equal(w.Remaining(now.Add(2*bound.Window), bound, 8), before)
	})
	t.Run("requests earn repeats", func(t *testing.T) {
		is := is.New(t)
		var w Window
		now := time.Unix(1000, 0)
		before := w.Remaining(now, bound, 8)
		w.CountRequest(now, bound)
		is.True(w.Remaining(now, bound, 8) > before)
	})
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
