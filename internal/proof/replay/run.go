package replay

import (
	"slices"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/traces"
)

// next sends the request to the upstream of its stage.
func (r *run) next(avoid tables.UpstreamID) {
	w := r.world
	step, fault := r.router.StartStep(w.clock(), r.task, avoid)
	if fault != nil {
		r.refuse(fault.Kind)
		return
	}
	r.step = step
	r.stages++
	e := w.engines[step.Choice.Upstream.Config.Name]
	c := &engineCall{run: r, answerTokens: max(1, r.answer().Tokens)}
	r.call = c
	delay := hop
	if step.Choice.Upstream.Config.DataCenter == w.header.DataCenters[r.arrival.Instance%len(w.header.DataCenters)] {
		delay = 0
	}
	w.schedule(delay, func() {
		c.engine = e
		if e.state.Down {
			w.schedule(failureTime, func() { w.failed(c) })
			return
		}
		if e.add(c) {
			w.give(e, c)
		}
	})
}

// answer returns what the step's pool answers to the request.
func (r *run) answer() traces.Answer {
	for _, answer := range r.arrival.Answers {
		if answer.Pool == r.step.Pool.Name {
			return answer
		}
	}
	return traces.Answer{Pool: r.step.Pool.Name, Tokens: 1}
}

func (r *run) firstToken(c *engineCall) {
	if c.ended {
		return
	}
	r.router.RecordFirstToken(r.world.clock(), r.step)
}

// judge takes or escalates an answer when its probe is there.
func (r *run) judge(c *engineCall) {
	if c.ended {
		return
	}
	w := r.world
	if r.router.Accept(w.clock(), r.task, r.step, r.answer().Confidence) {
		r.decided = true
		r.first = w.now() - r.arrived
		return
	}
	w.give(c.engine, c.engine.remove(c))
	outcome := router.Outcome{Aborted: true, PromptTokens: r.arrival.Prompt, AnswerTokens: min(c.answerTokens, router.ConfidenceTokens)}
	r.router.FinishStep(w.clock(), r.task, r.step, outcome)
	r.next("")
}

func (r *run) end(c *engineCall) {
	if c.ended {
		return
	}
	w := r.world
	w.give(c.engine, c.engine.remove(c))
	outcome := router.Outcome{PromptTokens: r.arrival.Prompt, AnswerTokens: c.answerTokens}
	if c.prefixCached {
		outcome.CachedTokens = r.arrival.Prompt
	}
	r.router.FinishStep(w.clock(), r.task, r.step, outcome)
	r.router.FinishTask(w.clock(), r.task)
	w.open--
	answer := r.answer()
	w.measures.serve(w, r, answer)
	if delay := r.arrival.RatingDelay.Duration(); delay > 0 {
		w.schedule(delay, func() { r.router.RecordRating(router.Rating{RequestID: r.id, Score: answer.Score}) })
	}
}

func (r *run) priority() int {
	return r.task.Entry.Route.Priority
}

func (r *run) refuse(kind faults.Kind) {
	r.router.FinishTask(r.world.clock(), r.task)
	r.world.open--
	r.world.measures.refuse(r.world.now(), r.arrival, kind)
}

// callsByArrival returns the calls of an engine in a fixed order.
func (w *world) callsByArrival(e *engine) []*engineCall {
	calls := make([]*engineCall, 0, len(e.calls))
	for c := range e.calls {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *engineCall) int { return int(a.run.arrived - b.run.arrived) })
	return calls
}
