package pacing

import (
	"math"
	"time"
)

// A Credit bounds the calls of one instance by a rate. Calls that were not made are saved up for
// the burst time, at least one call. The zero value allows none. It is not safe for concurrent use.
type Credit struct {
	share  Rate
	burst  time.Duration
	credit float64
	at     time.Time
}

// Start begins to count anew, without a saved call.
func (c *Credit) Start(now time.Time, share Rate) {
	c.share, c.credit, c.at = share, 0, now
}

// SetShare sets the rate of this instance.
func (c *Credit) SetShare(now time.Time, share Rate) {
	c.refill(now)
	c.share = share
	if share <= 0 {
		c.credit = min(0, c.credit)
	}
}

// Share returns the rate of this instance.
func (c *Credit) Share() Rate {
	return c.share
}

// Allows reports whether one more call is within the rate.
func (c *Credit) Allows(now time.Time) bool {
	c.refill(now)
	return c.credit >= 1
}

// RecordCall counts a call that is sent.
func (c *Credit) RecordCall(now time.Time) {
	c.refill(now)
	c.credit--
}

// ReturnCall takes back a call that does not count.
func (c *Credit) ReturnCall() {
	c.credit = min(c.most(), c.credit+1)
}

// AllowsAt returns when one more call is within the rate, zero if that is zero.
func (c *Credit) AllowsAt(now time.Time) time.Time {
	switch {
	case c.Allows(now):
		return now
	case c.share <= 0:
		return time.Time{}
	}
	// The credit must have reached one when the time has come.
	return now.Add(time.Duration(math.Ceil((1-c.credit)/float64(c.share)*float64(time.Second))) + time.Microsecond)
}

// most returns the number of calls that may be saved up.
func (c *Credit) most() float64 {
	return max(1, float64(c.share)*c.burst.Seconds())
}

// refill adds the share of the time since the last call of refill.
func (c *Credit) refill(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.credit = min(c.most(), c.credit+float64(c.share)*elapsed.Seconds())
	}
	c.at = now
}
