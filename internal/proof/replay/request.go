package replay

import (
	"slices"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/traces"
)

// startStep sends the request to the upstream of its stage.
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
	if step.Choice.Upstream.Config.DataCenter == s.header.DataCenters[r.arrival.Instance%len(s.header.DataCenters)] {
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

// recordedAnswer returns what the step's pool answers to the request.
func (r *inFlightRequest) recordedAnswer() traces.Answer {
	for _, answer := range r.arrival.Answers {
		if answer.Pool == r.step.Pool.Name {
			return answer
		}
	}
	return traces.Answer{Pool: r.step.Pool.Name, Tokens: 1}
}

func (r *inFlightRequest) recordFirstToken(c *engineCall) {
	if c.ended {
		return
	}
	r.router.RecordFirstToken(r.simulation.wallTime(), r.step)
}

// acceptOrEscalate takes or escalates an answer when its probe is there.
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
	outcome := router.Outcome{Aborted: true, PromptTokens: r.arrival.Prompt, AnswerTokens: min(c.answerTokens, router.ConfidenceTokens)}
	r.router.FinishStep(s.wallTime(), r.task, r.step, outcome)
	r.startStep("")
}

func (r *inFlightRequest) complete(c *engineCall) {
	if c.ended {
		return
	}
	s := r.simulation
	s.startCall(c.engine, c.engine.remove(c))
	outcome := router.Outcome{PromptTokens: r.arrival.Prompt, AnswerTokens: c.answerTokens}
	if c.prefixCached {
		outcome.CachedTokens = r.arrival.Prompt
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

func (r *inFlightRequest) refuse(kind faults.Kind) {
	r.router.FinishTask(r.simulation.wallTime(), r.task)
	r.simulation.inFlight--
	r.simulation.collector.recordRefusal(r.simulation.now(), r.arrival, kind)
}

// callsByArrival returns the calls of an engine in a fixed order.
func (s *simulation) callsByArrival(e *engine) []*engineCall {
	calls := make([]*engineCall, 0, len(e.calls))
	for c := range e.calls {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *engineCall) int { return int(a.request.arrivedAt - b.request.arrivedAt) })
	return calls
}
