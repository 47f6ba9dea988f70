package replay

import (
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/traces"
)

// engine emulates an upstream. Calls get slots in order of priority, then of
// arrival, and the more slots are in use, the slower a call is.
type engine struct {
	name tables.UpstreamID
	spec traces.EngineSpeed
	// running is the number of slots in use.
	running int
	// waiting holds the calls without a slot in the order in which they get
	// one.
	waiting []*engineCall
	// pendingTokens is the sum of the prompt and answer tokens of all calls.
	pendingTokens  tables.Tokens
	state          traces.UpstreamChange
	cachedPrefixes map[uint64]bool
	// calls holds the calls that run or wait.
	calls map[*engineCall]bool
}

// engineCall is one call of a request to an engine.
type engineCall struct {
	request      *inFlightRequest
	engine       *engine
	answerTokens tables.Tokens
	// entered is true once the call has reached the engine.
	entered bool
	// started is true once the call has a slot.
	started bool
	// ended is true once the call has completed, failed or been aborted.
	ended bool
	// firstTokenDelay is the time from the start to the first token and
	// tokenInterval the time between two tokens.
	firstTokenDelay time.Duration
	tokenInterval   time.Duration
	// startedAt is the simulated time at which the call got its slot.
	startedAt    time.Duration
	prefixCached bool
}

// maxCachedPrefixes is the size at which an engine empties its prefix cache.
const maxCachedPrefixes = 4096

// add adds a call and reports whether it got a slot. A call without one is
// queued behind the calls of the same or a higher priority.
func (e *engine) add(c *engineCall) bool {
	c.engine = e
	c.entered = true
	e.pendingTokens += c.answerTokens + c.request.arrival.PromptTokens
	e.calls[c] = true
	if e.running < e.spec.Slots {
		e.running++
		return true
	}
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].request.priority() < c.request.priority() {
		position--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = c
	return false
}

// remove ends a call. It returns the waiting call that gets the slot, or nil if
// no slot was freed or no call waits. It does nothing for a call that has
// ended.
func (e *engine) remove(c *engineCall) *engineCall {
	if c.ended {
		return nil
	}
	c.ended = true
	if !c.entered {
		return nil
	}
	delete(e.calls, c)
	e.pendingTokens -= c.answerTokens + c.request.arrival.PromptTokens
	if !c.started {
		for i, w := range e.waiting {
			if w == c {
				e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
				break
			}
		}
		return nil
	}
	if len(e.waiting) == 0 {
		e.running--
		return nil
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	return next
}

// start computes the times of a call that got a slot at the time now. They
// don't change when other calls start or end later.
func (e *engine) start(now time.Duration, c *engineCall) {
	c.started = true
	c.startedAt = now
	usedShare := float64(e.running) / float64(e.spec.Slots)
	c.firstTokenDelay, c.tokenInterval = e.spec.TokenTimes(usedShare)
	promptTokens := float64(c.request.arrival.PromptTokens)
	if prefix := c.request.arrival.PrefixHash; prefix != 0 {
		if len(e.cachedPrefixes) >= maxCachedPrefixes {
			clear(e.cachedPrefixes)
		}
		c.prefixCached = e.cachedPrefixes[prefix]
		e.cachedPrefixes[prefix] = true
		if c.prefixCached {
			// Only a fifth of a prompt with a cached prefix is processed.
			promptTokens *= 0.2
		}
	}
	c.firstTokenDelay += time.Duration(promptTokens * e.spec.PrefillMicros * float64(time.Microsecond))
	if factor := e.state.Slowdown; factor > 0 {
		c.firstTokenDelay = time.Duration(float64(c.firstTokenDelay) * factor)
		c.tokenInterval = time.Duration(float64(c.tokenInterval) * factor)
	}
}

// tokensReadyAt returns the simulated time at which the given number of answer
// tokens has been generated.
func (c *engineCall) tokensReadyAt(tokens tables.Tokens) time.Duration {
	return c.startedAt + c.firstTokenDelay + time.Duration(max(0, tokens-1))*c.tokenInterval
}
