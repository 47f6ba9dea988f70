// Package delay provides jittered and cancelable delays for the background
// tasks of an instance.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// WithJitter returns a random duration of at least half the mean and less than
// one and a half times the mean, so that instances do not act at the same
// moment. The mean must be positive.
func WithJitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// Sleep waits for the duration. It returns false if the context ended first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
