package replay

import (
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/traces"
)

// engine is a small fake of an upstream: calls take slots in order of priority
// and arrival, and slow each other down.
type engine struct {
	name           tables.UpstreamID
	spec           traces.Engine
	running        int
	waiting        []*engineCall
	pendingTokens  tables.Tokens
	state          traces.Upstream
	cachedPrefixes map[uint64]bool
	calls          map[*engineCall]bool
}

// engineCall is a call at an engine.
type engineCall struct {
	request         *inFlightRequest
	engine          *engine
	answerTokens    tables.Tokens
	entered         bool
	started         bool
	ended           bool
	firstTokenDelay time.Duration
	tokenInterval   time.Duration
	startedAt       time.Duration
	prefixCached    bool
}

const maxCachedPrefixes = 4096

// add adds a call and reports whether it has a slot at once.
func (e *engine) add(c *engineCall) bool {
	c.engine = e
	c.entered = true
	e.pendingTokens += c.answerTokens + c.request.arrival.Prompt
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

// remove removes a call and returns the one that gets its slot, if any.
func (e *engine) remove(c *engineCall) *engineCall {
	if c.ended {
		return nil
	}
	c.ended = true
	if !c.entered {
		return nil
	}
	delete(e.calls, c)
	e.pendingTokens -= c.answerTokens + c.request.arrival.Prompt
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

// start fixes the times of a call that got its slot.
func (e *engine) start(now time.Duration, c *engineCall) {
	c.started = true
	c.startedAt = now
	usedShare := float64(e.running) / float64(e.spec.Slots)
	c.firstTokenDelay, c.tokenInterval = e.spec.Times(usedShare)
	promptTokens := float64(c.request.arrival.Prompt)
	if prefix := c.request.arrival.Prefix; prefix != 0 {
		if len(e.cachedPrefixes) >= maxCachedPrefixes {
			clear(e.cachedPrefixes)
		}
		c.prefixCached = e.cachedPrefixes[prefix]
		e.cachedPrefixes[prefix] = true
		if c.prefixCached {
			promptTokens *= 0.2
		}
	}
	c.firstTokenDelay += time.Duration(promptTokens * e.spec.Prefill * float64(time.Microsecond))
	if factor := e.state.Slowdown; factor > 0 {
		c.firstTokenDelay = time.Duration(float64(c.firstTokenDelay) * factor)
		c.tokenInterval = time.Duration(float64(c.tokenInterval) * factor)
	}
}

// tokensReadyAt returns when so many tokens of the answer are there.
func (c *engineCall) tokensReadyAt(tokens tables.Tokens) time.Duration {
	return c.startedAt + c.firstTokenDelay + time.Duration(max(0, tokens-1))*c.tokenInterval
}
