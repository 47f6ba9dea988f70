// Package allowances holds each team to its allowance over the whole fleet
// and shares short capacity by weight.
//
// Each instance reports the demand it sees. From the fleet's sums it works
// out each team's due rate and takes the part of it that its own demand is of
// the fleet's demand. No instance needs to know any other one.
package allowances

import (
	"math"
	"time"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
)

// A Demand is what asks for a team's allowance on one route: measured at one
// instance, or summed over the fleet.
type Demand struct {
	// Requests and Tokens are rates per second, refused ones included.
	Requests float64
	Tokens   float64
	// Running is the number of requests in progress.
	Running float64
}

// A Gate admits requests of one route at one instance. The zero value works.
type Gate struct {
	local Demand
	// reported is the own demand that fleet contains.
	reported Demand
	fleet    Demand
	updated  time.Time
	requests bucket
	tokens   bucket
	// due is the token rate granted when capacity is short.
	grant float64
}

// A Claim is one team's part in a division of capacity.
type Claim struct {
	Demand float64
	Limit  float64
	Weight float64
	// Due is the result of Divide: what the team gets of the capacity.
	Due float64
	// Grant is a result of Divide too: the rate up to which the team may rise
	// without taking from the others' due shares.
	Grant float64
}

type bucket struct {
	level   float64
	updated time.Time
}

const (
	// Unlimited is the due rate while capacity is not short.
	Unlimited = math.MaxFloat64
	// demandWindow is the time constant of the demand estimate.
	demandTimeConstant = 800 * time.Millisecond
	// burstWindow is how much of a rate may be used at once, and burstCalls
	// the number of calls that may be made at once however low the rate. A
	// team whose calls are spread over many instances has a low rate at each.
	burstWindow = time.Second
	burstCalls  = 2
	// retryFloor is the shortest wait told to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// retryCeiling is the longest wait told to a refused caller.
	maxRetryAfter = 10 * time.Second
)

// Divide shares the capacity by weight, max-min: no claim gets more than its
// demand or limit, and what one leaves goes to the others.
func Divide(capacity float64, claims []Claim) {
	unsatisfied := make([]*Claim, 0, len(claims))
	for i := range claims {
		claims[i].Due, claims[i].Grant = 0, claims[i].Limit
		if claims[i].cappedDemand() > 0 {
			unsatisfied = append(unsatisfied, &claims[i])
		}
	}
	for len(unsatisfied) > 0 {
		level := capacity / totalWeight(unsatisfied)
		remaining := unsatisfied[:0]
		for _, c := range unsatisfied {
			if c.cappedDemand() <= level*c.Weight {
				c.Due = c.cappedDemand()
				capacity -= c.Due
				continue
			}
			remaining = append(remaining, c)
		}
		if len(remaining) == len(unsatisfied) {
			setGrants(claims, level)
			return
		}
		unsatisfied = remaining
	}
}

// grant sets what each claim may rise to at the level that divides the
// capacity.
func setGrants(claims []Claim, level float64) {
	for i := range claims {
		c := &claims[i]
		c.Grant = min(c.Limit, level*c.Weight)
		if c.cappedDemand() > c.Grant {
			c.Due = c.Grant
		}
	}
}

func totalWeight(claims []*Claim) float64 {
	total := 0.0
	for _, c := range claims {
		total += c.Weight
	}
	return total
}

// LimitOf returns the rate that a limit in the tables stands for.
func LimitOf(rate float64) float64 {
	if rate <= 0 {
		return Unlimited
	}
	return rate
}

// Admit charges a request with an expected number of tokens, or refuses it.
func (g *Gate) Admit(now time.Time, limits tables.Allowance, tokens float64) *faults.Error {
	g.decay(now)
	g.local.Requests += 1 / demandTimeConstant.Seconds()
	g.local.Tokens += tokens / demandTimeConstant.Seconds()
	if fault := g.checkConcurrency(limits); fault != nil {
		return fault
	}
	requestRate := LimitOf(limits.RequestsPerSecond) * g.localShare(g.local.Requests, g.reported.Requests, g.fleet.Requests)
	tokenRate := min(LimitOf(limits.TokensPerSecond), g.grantedRate()) * g.localShare(g.local.Tokens, g.reported.Tokens, g.fleet.Tokens)
	g.requests.refill(now, requestRate, 1)
	g.tokens.refill(now, tokenRate, tokens)
	if wait := max(g.requests.wait(requestRate, 1), g.tokens.wait(tokenRate, tokens)); wait > 0 {
		return refusal(wait, g.grant > 0 && g.grant < LimitOf(limits.TokensPerSecond))
	}
	g.requests.level--
	g.tokens.level -= tokens
	g.local.Running++
	return nil
}

// Finish ends an admitted request and charges the difference between what it
// used and what was expected.
func (g *Gate) Finish(now time.Time, used, expected float64) {
	g.decay(now)
	g.local.Running = max(0, g.local.Running-1)
	g.tokens.level -= used - expected
}

// Hear takes the fleet's demand, the part of it that this instance reported,
// and the due token rate of the team over the fleet.
func (g *Gate) Hear(fleet, reported Demand, grant float64) {
	g.fleet, g.reported, g.grant = fleet, reported, grant
}

// Own returns this instance's demand.
func (g *Gate) Own(now time.Time) Demand {
	g.decay(now)
	return g.local
}

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

// wait returns how long a call has to wait, zero if it may go. The last call
// that goes may take the bucket below zero, which the next ones wait off.
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

func (c *Claim) cappedDemand() float64 {
	return min(c.Demand, c.Limit)
}

func (g *Gate) checkConcurrency(limits tables.Allowance) *faults.Error {
	if limits.Concurrency <= 0 {
		return nil
	}
	others := max(0, g.fleet.Running-g.reported.Running)
	if others+g.local.Running+1 > float64(limits.Concurrency) {
		return faults.New(faults.AllowanceExceeded, "concurrency")
	}
	return nil
}

func (g *Gate) decay(now time.Time) {
	if elapsed := now.Sub(g.updated); elapsed > 0 && !g.updated.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		g.local.Requests *= factor
		g.local.Tokens *= factor
	}
	if now.After(g.updated) {
		g.updated = now
	}
}

func (g *Gate) grantedRate() float64 {
	if g.grant <= 0 {
		return Unlimited
	}
	return g.grant
}

// part returns the share of a fleet-wide rate that this instance may grant.
func (g *Gate) localShare(local, reported, fleet float64) float64 {
	others := max(0, fleet-reported)
	if local+others <= 0 {
		return 1
	}
	return local / (local + others)
}

func refusal(wait time.Duration, capacityShort bool) *faults.Error {
	kind := faults.AllowanceExceeded
	if capacityShort {
		kind = faults.Overloaded
	}
	fault := faults.New(kind, "rate")
	fault.RetryAfter = max(wait, minRetryAfter)
	return fault
}
