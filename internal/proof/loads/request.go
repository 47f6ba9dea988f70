package loads

import (
	"fmt"
	"time"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/batches"
)

// request is a caller's request on its way.
type request struct {
	world    *world
	class    int
	team     tables.TeamID
	instance int
	parts    []batches.PromptPart
	prompt   int
	answer   int
	// difficulty is what a model's quality must exceed for a right answer.
	difficulty float64
	arrived    time.Duration

	dispatcher *dispatch.Dispatcher
	task       *dispatch.Task
	call       *dispatch.Call
	job        *batches.Job
	engine     *engine
	// first is the time to the first event, zero before it.
	first time.Duration
	// cost is what the models were paid.
	cost      float64
	cameBack  bool
	ended     bool
	lastEvent time.Duration
}

// confidenceNoise is the spread of what a model thinks of its answer, and
// confidenceSlope its rise with how far the model is above the difficulty.
const (
	confidenceNoise = 15.0
	confidenceSlope = 100.0
	middleOpinion   = 50.0
)

func (w *world) arrive(n int) {
	w.requests++
	factors := w.surge(n, "")
	r := &request{
		world:      w,
		class:      n,
		team:       w.drawTeam(n),
		instance:   w.random.IntN(len(w.instances)),
		parts:      w.drawParts(n, factors),
		answer:     tokens(w.random, w.load.Classes[n].Answer, 0.8),
		difficulty: w.random.Float64(),
		arrived:    w.agenda.Now(),
	}
	for _, part := range r.parts {
		r.prompt += part.Tokens
	}
	r.dispatcher = w.instances[r.instance]
	deadline := w.routes[n].Timeout
	w.agenda.Schedule(deadline, r.expire)
	r.begin(fmt.Sprintf("request-%d", w.requests))
}

func (r *request) begin(id string) {
	w := r.world
	route := w.routes[r.class]
	asked := dispatch.Request{
		ID:           id,
		Route:        route,
		PromptTokens: tables.Tokens(r.prompt),
		ArrivedAt:    epoch.Add(r.arrived),
		Deadline:     epoch.Add(r.arrived + route.Timeout),
	}
	if len(r.parts) > 1 {
		asked.SharedPartsHash = r.parts[len(r.parts)-2].ID | 1
	}
	w.policy.request(&asked)
	task, fault := r.dispatcher.Admit(w.clock(), asked)
	if fault != nil {
		r.refuse(fault)
		return
	}
	r.task = task
	r.next()
}

// next makes the next call.
func (r *request) next() {
	w := r.world
	call, fault := r.dispatcher.NextCall(w.clock(), r.task)
	if fault != nil {
		r.refuse(fault)
		return
	}
	w.policy.call(call)
	r.call = call
	r.engine = w.byAddress[call.Upstream.Address]
	w.agenda.Schedule(hop, func() { r.reach(call) })
	if call.StartTimeout > 0 {
		w.agenda.Schedule(call.StartTimeout, func() { r.giveUpOn(call) })
	}
}

// reach hands the call to its engine.
func (r *request) reach(call *dispatch.Call) {
	w := r.world
	switch {
	case r.past(call):
		return
	case r.engine.down:
		r.over(dispatch.Unreachable)
		return
	case w.random.Float64() < r.engine.fails:
		w.agenda.Schedule(hop, func() { r.overIf(call, dispatch.Failed) })
		return
	}
	model := r.modelOf(call)
	r.cost += model.Cost * (float64(r.prompt)/4 + float64(r.answer)) / 1000
	j := &batches.Job{
		Model:        model.Name,
		TimeFactor:   model.Pace,
		Parts:        r.parts,
		AnswerTokens: r.answer,
		Urgency:      5,
	}
	if call.Urgency != nil {
		j.Urgency = *call.Urgency
	}
	if reader := w.byAddress[call.CacheSource]; reader != nil && !reader.down {
		j.CacheSource = &reader.Engine
	}
	j.OnFirstToken = func() { w.agenda.Schedule(hop, func() { r.started(call, j, model) }) }
	j.OnEvent = func() { r.event(call) }
	j.OnDone = func() { w.agenda.Schedule(hop, func() { r.done(call, j) }) }
	r.job = j
	if !r.engine.Submit(j) {
		r.over(dispatch.Refused)
	}
}

// past reports whether the request has ended, or gone on to another call.
func (r *request) past(call *dispatch.Call) bool {
	return r.ended || r.call != call
}

func (r *request) modelOf(call *dispatch.Call) Model {
	for _, m := range r.world.load.Models {
		if m.Name == call.Model {
			return m
		}
	}
	return r.world.load.Models[0]
}

// started takes the first token and what the model thinks of its answer.
func (r *request) started(call *dispatch.Call, j *batches.Job, model Model) {
	w := r.world
	if r.past(call) {
		return
	}
	opinion := middleOpinion + confidenceSlope*(model.Quality-r.difficulty) + confidenceNoise*w.random.NormFloat64()
	said := w.policy.confidence(int(min(100, max(0, opinion))))
	if r.dispatcher.StartAnswer(w.clock(), r.task, call, said) {
		r.first = w.agenda.Now() - r.arrived
		r.lastEvent = w.agenda.Now()
		return
	}
	r.cost -= model.Cost * float64(r.answer) / 1000
	r.engine.Cancel(j)
	r.over(dispatch.Abandoned)
}

func (r *request) event(call *dispatch.Call) {
	if r.past(call) {
		return
	}
	now := r.world.agenda.Now()
	if r.first > 0 {
		r.world.results.gap(now - r.lastEvent)
		call.RecordEvent(now - r.lastEvent)
	}
	r.lastEvent = now
}

// done takes the end of a job, whole or lost.
func (r *request) done(call *dispatch.Call, j *batches.Job) {
	if r.past(call) {
		return
	}
	if !j.Complete() {
		r.over(dispatch.Broken)
		return
	}
	w := r.world
	r.dispatcher.EndCall(w.clock(), r.task, call, dispatch.Served)
	r.ended = true
	w.results.served(r, r.modelOf(call).Quality > r.difficulty)
}

func (r *request) giveUpOn(call *dispatch.Call) {
	if r.past(call) || r.first > 0 {
		return
	}
	if r.job != nil {
		r.engine.Cancel(r.job)
	}
	r.over(dispatch.TimedOut)
}

func (r *request) overIf(call *dispatch.Call, result dispatch.Result) {
	if !r.past(call) {
		r.over(result)
	}
}

// over ends the call and goes on with the next.
func (r *request) over(result dispatch.Result) {
	r.dispatcher.EndCall(r.world.clock(), r.task, r.call, result)
	r.call, r.job = nil, nil
	r.next()
}

// refuse ends the request. A caller that was told when to come back does so
// once.
func (r *request) refuse(fault *faults.Error) {
	w := r.world
	w.results.refusal(w.agenda.Now() - r.arrived)
	left := w.routes[r.class].Timeout - (w.agenda.Now() - r.arrived)
	if fault.RetryAfter > 0 && !r.cameBack && fault.RetryAfter < left/3 {
		r.cameBack = true
		w.agenda.Schedule(fault.RetryAfter, func() {
			if !r.ended {
				r.begin(fmt.Sprintf("request-%d-again", w.requests))
			}
		})
		return
	}
	r.ended = true
	w.results.lost(r)
}

// expire ends a request at its deadline.
func (r *request) expire() {
	if r.ended {
		return
	}
	if r.call != nil {
		if r.job != nil {
			r.engine.Cancel(r.job)
		}
		r.dispatcher.EndCall(r.world.clock(), r.task, r.call, dispatch.Abandoned)
	}
	r.ended = true
	r.world.results.lost(r)
}
