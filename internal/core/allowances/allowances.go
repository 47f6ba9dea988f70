// Package allowances enforces each team's rate and concurrency limits over the
// whole fleet, and divides capacity by weight when it is short.
//
// Each instance reports its local demand. From the fleet-wide sums it computes
// each team's rate and enforces a share of it in proportion to its local part
// of the team's demand. Instances need only these sums, not each other's state.
package allowances

import (
	"math"
	"time"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
)

// A Demand is the load that a team offers on one route, measured at one
// instance or summed over the fleet.
type Demand struct {
	// RequestsPerSecond and TokensPerSecond include refused requests.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Running is the number of requests in progress.
	Running float64
}

// A Limiter admits or refuses requests of one route at one instance, with token
// buckets for requests and tokens. The zero value is ready to use. It is not
// safe for concurrent use.
type Limiter struct {
	// local is the demand at this instance, decayed to updated.
	local Demand
	// reported is the part of fleet that this instance contributed.
	reported Demand
	fleet    Demand
	updated  time.Time
	requests bucket
	tokens   bucket
	// grantedRate is the team's token rate per second over the fleet while
	// capacity is short. Zero means that capacity is not short.
	grantedRate float64
}

// A Claim is one team's input to and result of Divide. Rates have the unit of
// the capacity.
type Claim struct {
	Demand float64
	Limit  float64
	Weight float64
	// Allocation is set by Divide to the team's part of the capacity.
	Allocation float64
	// GrantedRate is set by Divide to the rate that the team may reach without
	// taking from the other teams' parts.
	GrantedRate float64
}

// bucket is a token bucket.
type bucket struct {
	// level may be negative, as the last admitted call may cost more than was
	// left.
	level   float64
	updated time.Time
}

const (
	// Unlimited is the rate that stands for no limit.
	Unlimited = math.MaxFloat64
	// demandTimeConstant is the time constant of the demand estimate.
	demandTimeConstant = 800 * time.Millisecond
	// burstWindow bounds a burst to the amount that the rate yields in this
	// time. burstCalls is the number of calls that a burst may have at any
	// rate: a team whose calls are spread over many instances has a low rate
	// at each.
	burstWindow = time.Second
	burstCalls  = 2
	// minRetryAfter and maxRetryAfter bound the wait sent to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Divide sets Allocation and GrantedRate of the claims to a weighted max-min
// fair division of the capacity: no claim gets more than its demand or limit,
// and capacity that one leaves goes to the others.
func Divide(capacity float64, claims []Claim) {
	unsatisfied := make([]*Claim, 0, len(claims))
	for i := range claims {
		claims[i].Allocation, claims[i].GrantedRate = 0, claims[i].Limit
		if claims[i].cappedDemand() > 0 {
			unsatisfied = append(unsatisfied, &claims[i])
		}
	}
	for len(unsatisfied) > 0 {
		level := capacity / totalWeight(unsatisfied)
		remaining := unsatisfied[:0]
		for _, c := range unsatisfied {
			if c.cappedDemand() <= level*c.Weight {
				c.Allocation = c.cappedDemand()
				capacity -= c.Allocation
				continue
			}
			remaining = append(remaining, c)
		}
		if len(remaining) == len(unsatisfied) {
			setGrantedRates(claims, level)
			return
		}
		unsatisfied = remaining
	}
}

// setGrantedRates sets the granted rate of each claim, given the level: the
// rate per weight at which the capacity is used up.
func setGrantedRates(claims []Claim, level float64) {
	for i := range claims {
		c := &claims[i]
		c.GrantedRate = min(c.Limit, level*c.Weight)
		if c.cappedDemand() > c.GrantedRate {
			c.Allocation = c.GrantedRate
		}
	}
}

// totalWeight returns the sum of the weights of the claims.
func totalWeight(claims []*Claim) float64 {
	total := 0.0
	for _, c := range claims {
		total += c.Weight
	}
	return total
}

// RateLimit returns the rate of a limit in the tables: Unlimited for zero or
// less, else the limit.
func RateLimit(rate float64) float64 {
	if rate <= 0 {
		return Unlimited
	}
	return rate
}

// Admit charges a request with its expected number of tokens and returns nil,
// or returns the refusal. Either way the request counts as demand.
func (l *Limiter) Admit(now time.Time, limits tables.Allowance, tokens float64) *faults.Error {
	l.decay(now)
	callDemand := Demand{RequestsPerSecond: 1 / demandTimeConstant.Seconds(), TokensPerSecond: tokens / demandTimeConstant.Seconds()}
	// The estimate peaks right after a call, and the other instances report theirs as of any
	// time. The mean of before and after compares with those.
	estimate := Demand{
		RequestsPerSecond: l.local.RequestsPerSecond + callDemand.RequestsPerSecond/2,
		TokensPerSecond:   l.local.TokensPerSecond + callDemand.TokensPerSecond/2,
	}
	l.local.RequestsPerSecond += callDemand.RequestsPerSecond
	l.local.TokensPerSecond += callDemand.TokensPerSecond
	if fault := l.checkConcurrency(limits); fault != nil {
		return fault
	}
	requestRate := RateLimit(limits.RequestsPerSecond) * l.localShare(estimate.RequestsPerSecond, l.reported.RequestsPerSecond, l.fleet.RequestsPerSecond)
	tokenRate := min(RateLimit(limits.TokensPerSecond), l.rateCeiling()) * l.localShare(estimate.TokensPerSecond, l.reported.TokensPerSecond, l.fleet.TokensPerSecond)
	l.requests.refill(now, requestRate, 1)
	l.tokens.refill(now, tokenRate, tokens)
	if wait := max(l.requests.wait(requestRate, 1), l.tokens.wait(tokenRate, tokens)); wait > 0 {
		return refusal(wait, l.grantedRate > 0 && l.grantedRate < RateLimit(limits.TokensPerSecond))
	}
	l.requests.level--
	l.tokens.level -= tokens
	l.local.Running++
	return nil
}

// Finish ends an admitted request and charges the difference between the tokens
// used and those expected at Admit.
func (l *Limiter) Finish(now time.Time, used, expected float64) {
	l.decay(now)
	l.local.Running = max(0, l.local.Running-1)
	l.tokens.level -= used - expected
}

// SetFleetDemand sets the fleet's demand, the part of it that this instance
// reported, and the team's granted token rate per second over the fleet, zero
// while capacity is not short.
func (l *Limiter) SetFleetDemand(fleet, reported Demand, grantedRate float64) {
	l.fleet, l.reported, l.grantedRate = fleet, reported, grantedRate
}

// LocalDemand returns this instance's local demand, decayed to now.
func (l *Limiter) LocalDemand(now time.Time) Demand {
	l.decay(now)
	return l.local
}

// refill adds what the rate yielded since the last call, up to the burst size.
// A new bucket starts full.
func (b *bucket) refill(now time.Time, rate, perCall float64) {
	burst := max(rate*burstWindow.Seconds(), burstCalls*perCall)
	if b.updated.IsZero() {
		b.level = burst
	} else {
		b.level += rate * now.Sub(b.updated).Seconds()
	}
	b.level = min(b.level, burst)
	b.updated = now
}

// wait returns how long a call has to wait, or zero if the level is positive.
// The last admitted call may make the level negative; later calls wait until it
// has recovered.
func (b *bucket) wait(rate, amount float64) time.Duration {
	if b.level > 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := (amount - b.level) / rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// cappedDemand returns the demand within the limit.
func (c *Claim) cappedDemand() float64 {
	return min(c.Demand, c.Limit)
}

// checkConcurrency refuses a request if it, the requests in progress here and
// those reported by other instances exceed the concurrency limit.
func (l *Limiter) checkConcurrency(limits tables.Allowance) *faults.Error {
	if limits.Concurrency <= 0 {
		return nil
	}
	others := max(0, l.fleet.Running-l.reported.Running)
	if others+l.local.Running+1 > float64(limits.Concurrency) {
		return faults.New(faults.AllowanceExceeded, "concurrency")
	}
	return nil
}

// decay reduces the demand estimate exponentially for the time since the last
// update.
func (l *Limiter) decay(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 && !l.updated.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		l.local.RequestsPerSecond *= factor
		l.local.TokensPerSecond *= factor
	}
	if now.After(l.updated) {
		l.updated = now
	}
}

// rateCeiling returns the granted token rate, Unlimited while capacity is not
// short.
func (l *Limiter) rateCeiling() float64 {
	if l.grantedRate <= 0 {
		return Unlimited
	}
	return l.grantedRate
}

// localShare returns the share of a fleet-wide rate that this instance may
// admit: its current part of the fleet's demand.
func (l *Limiter) localShare(local, reported, fleet float64) float64 {
	others := max(0, fleet-reported)
	if local+others <= 0 {
		return 1
	}
	return local / (local + others)
}

// refusal returns the fault for a request that exceeds a rate. A rate lowered
// because capacity is short gives Overloaded, else AllowanceExceeded.
func refusal(wait time.Duration, capacityShort bool) *faults.Error {
	kind := faults.AllowanceExceeded
	if capacityShort {
		kind = faults.Overloaded
	}
	fault := faults.New(kind, "rate")
	fault.RetryAfter = max(wait, minRetryAfter)
	return fault
}
