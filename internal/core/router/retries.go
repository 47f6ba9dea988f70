package router

import "time"

// retryBudget bounds the retries of an instance to a share of its requests,
// so that retries cannot multiply the load of a failing service.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	// retryShare is the number of retries earned by a request.
	retriesPerRequest = 0.1
	// retryFloor is the number of retries a second that are always allowed.
	minRetriesPerSecond = 1.0
	maxRetryTokens      = 20.0
)

// AllowRetry takes a retry from the instance's budget, or reports that it is
// used up.
func (r *Router) AllowRetry(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retries.refill(now)
	if r.retries.tokens < 1 {
		return false
	}
	r.retries.tokens--
	return true
}

func (b *retryBudget) deposit() {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerRequest)
}

func (b *retryBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = maxRetryTokens
	} else {
		b.tokens = min(maxRetryTokens, b.tokens+minRetriesPerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
