package replay

import (
	"slices"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/traces"
)

// startStep starts the next step of the request and calls the upstream that the
// router chose for it. Avoid names an upstream that already failed the request,
// or is empty. The request is refused if the router returns a fault.
func (r *inFlightRequest) startStep(avoid tables.UpstreamID) {
	s := r.simulation
	step, fault := r.router.StartStep(s.wallTime(), r.task, avoid)
	if fault != nil {
		r.refuse(fault.Kind)
		return
	}
	r.step = step
	r.steps++
	e := s.engines[step.Choice.Upstream.Config.Name]
	c := &engineCall{request: r, answerTokens: max(1, r.recordedAnswer().Tokens)}
	r.call = c
	delay := crossCenterDelay
	if step.Choice.Upstream.Config.DataCenter == s.header.DataCenters[r.arrival.InstanceIndex%len(s.header.DataCenters)] {
		delay = 0
	}
	s.schedule(delay, func() {
		c.engine = e
		if e.state.Down {
			s.schedule(failureDelay, func() { s.failCall(c) })
			return
		}
		if e.add(c) {
			s.startCall(e, c)
		}
	})
}

// recordedAnswer returns the answer that the trace holds for the step's pool,
// or an answer of one token if it holds none.
func (r *inFlightRequest) recordedAnswer() traces.Answer {
	for _, answer := range r.arrival.Answers {
		if answer.Pool == r.step.Pool.Name {
			return answer
		}
	}
	return traces.Answer{Pool: r.step.Pool.Name, Tokens: 1}
}

// recordFirstToken records the arrival of the call's first token in the router.
func (r *inFlightRequest) recordFirstToken(c *engineCall) {
	if c.ended {
		return
	}
	r.router.RecordFirstToken(r.simulation.wallTime(), r.step)
}

// acceptOrEscalate accepts the answer, or aborts the call and starts the next
// step. It runs when the tokens from which the confidence is computed have
// arrived.
func (r *inFlightRequest) acceptOrEscalate(c *engineCall) {
	if c.ended {
		return
	}
	s := r.simulation
	if r.router.Accept(s.wallTime(), r.task, r.step, r.recordedAnswer().Confidence) {
		r.accepted = true
		r.firstTokenLatency = s.now() - r.arrivedAt
		return
	}
	s.startCall(c.engine, c.engine.remove(c))
	outcome := router.Outcome{Aborted: true, PromptTokens: r.arrival.PromptTokens, AnswerTokens: min(c.answerTokens, router.ConfidenceTokens)}
	r.router.FinishStep(s.wallTime(), r.task, r.step, outcome)
	r.startStep("")
}

// complete finishes a request whose answer has arrived in full and schedules
// its rating.
func (r *inFlightRequest) complete(c *engineCall) {
	if c.ended {
		return
	}
	s := r.simulation
	s.startCall(c.engine, c.engine.remove(c))
	outcome := router.Outcome{PromptTokens: r.arrival.PromptTokens, AnswerTokens: c.answerTokens}
	if c.prefixCached {
		outcome.CachedTokens = r.arrival.PromptTokens
	}
	r.router.FinishStep(s.wallTime(), r.task, r.step, outcome)
	r.router.FinishTask(s.wallTime(), r.task)
	s.inFlight--
	answer := r.recordedAnswer()
	s.collector.recordServed(s, r, answer)
	if delay := r.arrival.RatingDelay.Duration(); delay > 0 {
		s.schedule(delay, func() { r.router.RecordRating(router.Rating{RequestID: r.id, Score: answer.Score}) })
	}
}

func (r *inFlightRequest) priority() int {
	return r.task.Entry.Route.Priority
}

// refuse ends an admitted request without an answer.
func (r *inFlightRequest) refuse(kind faults.Kind) {
	r.router.FinishTask(r.simulation.wallTime(), r.task)
	r.simulation.inFlight--
	r.simulation.collector.recordRefusal(r.simulation.now(), r.arrival, kind)
}

// callsByArrival returns the calls of an engine in the order in which their
// requests arrived, because the order of a map differs between runs.
func (s *simulation) callsByArrival(e *engine) []*engineCall {
	calls := make([]*engineCall, 0, len(e.calls))
	for c := range e.calls {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *engineCall) int { return int(a.request.arrivedAt - b.request.arrivedAt) })
	return calls
}
