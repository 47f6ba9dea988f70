package router

import "time"

// retryBudget is a token bucket that limits the retries of an instance to a
// fraction of its requests, so that retries do not multiply the load of a
// failing service. A retry consumes one token.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	// retriesPerRequest is the number of tokens that an admitted request adds.
	retriesPerRequest = 0.1
	// minRetriesPerSecond is the rate of tokens added independently of
	// requests.
	minRetriesPerSecond = 1.0
	// maxRetryTokens is the size of the bucket, which is full at the start.
	maxRetryTokens = 20.0
)

// AllowRetry consumes one token of the instance's retry budget. It returns
// false if the budget is used up.
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

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerRequest)
}

// refill adds the tokens for the time since the last refill.
func (b *retryBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = maxRetryTokens
	} else {
		b.tokens = min(maxRetryTokens, b.tokens+minRetriesPerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
