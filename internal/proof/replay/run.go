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
	j := &job{run: r, tokens: max(1, r.answer().Tokens)}
	r.job = j
	delay := hop
	if step.Choice.Upstream.Config.DataCenter == w.header.DataCenters[r.arrival.Instance%len(w.header.DataCenters)] {
		delay = 0
	}
	w.schedule(delay, func() {
		j.engine = e
		if e.state.Down {
			w.schedule(failureTime, func() { w.failed(j) })
			return
		}
		if e.enter(j) {
			w.give(e, j)
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

func (r *run) firstToken(j *job) {
	if j.ended {
		return
	}
	r.router.RecordFirstToken(r.world.clock(), r.step)
}

// judge takes or escalates an answer when its probe is there.
func (r *run) judge(j *job) {
	if j.ended {
		return
	}
	w := r.world
	if r.router.Accept(w.clock(), r.task, r.step, r.answer().Confidence) {
		r.decided = true
		r.first = w.now() - r.arrived
		return
	}
	w.give(j.engine, j.engine.leave(j))
	outcome := router.Outcome{Aborted: true, PromptTokens: r.arrival.Prompt, AnswerTokens: min(j.tokens, router.ConfidenceTokens)}
	r.router.FinishStep(w.clock(), r.task, r.step, outcome)
	r.next("")
}

func (r *run) end(j *job) {
	if j.ended {
		return
	}
	w := r.world
	w.give(j.engine, j.engine.leave(j))
	outcome := router.Outcome{PromptTokens: r.arrival.Prompt, AnswerTokens: j.tokens}
	if j.cached {
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

// sortedJobs returns the calls of an engine in a fixed order.
func (w *world) sortedJobs(e *engine) []*job {
	jobs := make([]*job, 0, len(e.jobs))
	for j := range e.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.run.arrived - b.run.arrived) })
	return jobs
}
