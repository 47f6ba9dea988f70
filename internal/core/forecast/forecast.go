// Package forecast predicts how long a model engine takes to start an answer.
//
// The wait for the start of an answer is modeled as a linear function of what
// the engine has to read before it: the prompt's own tokens, its shared tokens,
// and the backlog of earlier prompts. The coefficients start from a prior and
// are fitted to the waits of recent calls, so that they need no figures of a
// deployment's engines.
package forecast

import (
	"math"
	"time"

	"mimosayard/internal/core/tables"
)

// Milliseconds is a duration in milliseconds, with fractions.
type Milliseconds float64

// NewMilliseconds returns a duration in milliseconds.
func NewMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// Duration returns the milliseconds as a duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// A Prompt is the part of a request that an engine reads before it answers.
type Prompt struct {
	// Own are the tokens that no other prompt has. Shared are those at its
	// start that other prompts have too, and that engines keep in their caches.
	Own, Shared tables.Tokens
}

// A Place is the relation of an upstream to the shared tokens of a prompt.
type Place int

// The places.
const (
	// CacheHolder is the upstream to which prompts with the same shared tokens
	// go first, so that its cache most likely holds them.
	CacheHolder Place = iota
	// Elsewhere is any other upstream. It fetches the shared tokens from the
	// cache holder or reads them.
	Elsewhere
)

// A Line is the expected wait for the start of an answer, as a function of the
// backlog of the upstream.
type Line struct {
	Base Milliseconds
	// PerBacklog is the wait for each millisecond of backlog.
	PerBacklog float64
}

// At returns the expected wait behind a backlog.
func (l Line) At(backlog Milliseconds) Milliseconds {
	return l.Base + Milliseconds(l.PerBacklog*float64(backlog))
}

// An Estimator fits the waits for the answers of one model. Use New to make
// one. It is not safe for concurrent use.
type Estimator struct {
	prior        vector
	coefficients vector
	// gram and moments are the weighted sums of the products of the features
	// with each other and with the waits.
	gram    [featureCount]vector
	moments vector
}

// The features of a call, which the coefficients multiply. The token counts
// are in thousands.
const (
	constant = iota
	ownTokens
	sharedTokensAtHolder
	sharedTokensElsewhere
	backlog
	featureCount
)

type vector [featureCount]float64

const (
	// priorOverhead is the expected wait for a prompt without tokens at an idle
	// engine.
	priorOverhead = 25
	// priorCacheMisses and priorFetchCost are the expected costs of a shared
	// token at the cache holder and elsewhere, relative to reading it.
	priorCacheMisses = 0.4
	priorFetchCost   = 0.4
	// priorQueueShare is the expected share of the backlog that a call waits
	// for. The first prompt of the backlog is partly read already, and less
	// urgent ones wait for the call.
	priorQueueShare = 0.5
	// priorWeight is the weight of the prior in observations whose wait consists
	// of one feature only.
	priorWeight = 2
	// memory is the factor by which the weight of past observations decreases
	// with each new one. About thirty observations count.
	memory = 0.97
	// noiseFloor is added to the expected wait where errors are compared
	// relative to it, so that very short waits do not dominate the fit.
	noiseFloor = 20
	// fitSweeps is the number of coordinate descent sweeps for each observation.
	fitSweeps = 8
	// maxPriorFactor and minPriorFactor bound the coefficients relative to the
	// expected ones. Shared tokens cost at most as much as others.
	maxPriorFactor = 20
	minPriorFactor = 0.02
)

// New returns an estimator for a model that is expected to read a thousand
// tokens in the given time.
func New(perThousandTokens Milliseconds) *Estimator {
	read := max(0.01, float64(perThousandTokens))
	prior := vector{
		constant:              priorOverhead,
		ownTokens:             read,
		sharedTokensAtHolder:  priorCacheMisses * read,
		sharedTokensElsewhere: priorFetchCost * read,
		backlog:               priorQueueShare,
	}
	return &Estimator{prior: prior, coefficients: prior}
}

// Wait returns the expected wait for the start of an answer at an upstream of
// the place.
func (e *Estimator) Wait(p Prompt, place Place) Line {
	x := features(p, place, 0)
	return Line{Base: Milliseconds(dot(e.coefficients, x)), PerBacklog: e.coefficients[backlog]}
}

// ReadTime returns the expected time that an engine of the place is busy with
// the prompt.
func (e *Estimator) ReadTime(p Prompt, place Place) Milliseconds {
	x := features(p, place, 0)
	x[constant] = 0
	return Milliseconds(dot(e.coefficients, x))
}

// SharedReadTime returns the expected time that an engine needs to read the
// shared tokens of the prompt if it has none of them in its cache.
func (e *Estimator) SharedReadTime(p Prompt) Milliseconds {
	return Milliseconds(e.coefficients[ownTokens] * thousands(p.Shared))
}

// Observe records the wait of a call for the start of its answer. The backlog
// is that of the upstream when the call was sent.
func (e *Estimator) Observe(p Prompt, place Place, queued, wait Milliseconds) {
	x := features(p, place, queued)
	scale := noiseFloor + dot(e.coefficients, x)
	weight := 1 / (scale * scale)
	for i := range x {
		e.moments[i] = memory*e.moments[i] + weight*x[i]*float64(wait)
		for j := range x {
			e.gram[i][j] = memory*e.gram[i][j] + weight*x[i]*x[j]
		}
	}
	e.fit()
}

// fit moves the coefficients towards the minimum of the weighted squared errors
// and of the squared relative distances to the prior, within the bounds.
func (e *Estimator) fit() {
	for range fitSweeps {
		for i := range e.coefficients {
			expected := e.expected(i)
			unit := math.Max(expected, e.coefficients[i])
			strength := priorWeight / (unit * unit)
			numerator := e.moments[i] + strength*expected
			for j, c := range e.coefficients {
				if j != i {
					numerator -= e.gram[i][j] * c
				}
			}
			fitted := numerator / (e.gram[i][i] + strength)
			upper := maxPriorFactor * expected
			if i == sharedTokensAtHolder || i == sharedTokensElsewhere {
				upper = e.coefficients[ownTokens]
			}
			e.coefficients[i] = math.Min(upper, math.Max(minPriorFactor*expected, fitted))
		}
	}
}

// expected returns the value of a coefficient that the prior expects. The cost
// of shared tokens is expected to be a fraction of the present cost of others.
func (e *Estimator) expected(i int) float64 {
	switch i {
	case sharedTokensAtHolder:
		return priorCacheMisses * e.coefficients[ownTokens]
	case sharedTokensElsewhere:
		return priorFetchCost * e.coefficients[ownTokens]
	}
	return e.prior[i]
}

// features returns the features of a call.
func features(p Prompt, place Place, queued Milliseconds) vector {
	x := vector{constant: 1, ownTokens: thousands(p.Own), backlog: float64(queued)}
	if place == CacheHolder {
		x[sharedTokensAtHolder] = thousands(p.Shared)
	} else {
		x[sharedTokensElsewhere] = thousands(p.Shared)
	}
	return x
}

func thousands(tokens tables.Tokens) float64 {
	return float64(tokens) / 1000
}

func dot(a, b vector) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
