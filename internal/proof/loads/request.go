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
	simulation    *simulation
	classIndex    int
	team          tables.TeamID
	instanceIndex int
	parts         []batches.PromptPart
	promptTokens  int
	answerTokens  int
	// difficulty is what a model's quality must exceed for a right answer.
	difficulty float64
	arrived    time.Duration

	dispatcher *dispatch.Dispatcher
	task       *dispatch.Task
	call       *dispatch.Call
	job        *batches.Job
	engine     *engine
	// first is the time to the first event, zero before it.
	firstEventDelay time.Duration
	// cost is what the models were paid.
	cost      float64
	retried   bool
	ended     bool
	lastEvent time.Duration
}

// confidenceNoise is the spread of what a model thinks of its answer, and
// confidenceSlope its rise with how far the model is above the difficulty.
const (
	confidenceNoise = 15.0
	confidenceSlope = 100.0
	meanConfidence  = 50.0
)

func (s *simulation) arrive(classIndex int) {
	s.requestCount++
	factors := s.currentSurge(classIndex, "")
	r := &request{
		simulation:    s,
		classIndex:    classIndex,
		team:          s.drawTeam(classIndex),
		instanceIndex: s.random.IntN(len(s.instances)),
		parts:         s.drawPrompt(classIndex, factors),
		answerTokens:  drawTokens(s.random, s.load.Classes[classIndex].AnswerTokens, 0.8),
		difficulty:    s.random.Float64(),
		arrived:       s.agenda.Now(),
	}
	for _, part := range r.parts {
		r.promptTokens += part.Tokens
	}
	r.dispatcher = s.instances[r.instanceIndex]
	deadline := s.routes[classIndex].Timeout
	s.agenda.Schedule(deadline, r.expire)
	r.submit(fmt.Sprintf("request-%d", s.requestCount))
}

func (r *request) submit(id string) {
	s := r.simulation
	route := s.routes[r.classIndex]
	admission := dispatch.Request{
		ID:           id,
		Route:        route,
		PromptTokens: tables.Tokens(r.promptTokens),
		ArrivedAt:    startTime.Add(r.arrived),
		Deadline:     startTime.Add(r.arrived + route.Timeout),
	}
	if len(r.parts) > 1 {
		admission.SharedPartsHash = r.parts[len(r.parts)-2].ID | 1
	}
	s.policy.editRequest(&admission)
	task, fault := r.dispatcher.Admit(s.clock(), admission)
	if fault != nil {
		r.handleRefusal(fault)
		return
	}
	r.task = task
	r.startNextCall()
}

// next makes the next call.
func (r *request) startNextCall() {
	s := r.simulation
	call, fault := r.dispatcher.NextCall(s.clock(), r.task)
	if fault != nil {
		r.handleRefusal(fault)
		return
	}
	s.policy.editCall(call)
	r.call = call
	r.engine = s.engineByAddress[call.Upstream.Address]
	s.agenda.Schedule(networkDelay, func() { r.deliver(call) })
	if call.StartTimeout > 0 {
		s.agenda.Schedule(call.StartTimeout, func() { r.timeOutStart(call) })
	}
}

// reach hands the call to its engine.
func (r *request) deliver(call *dispatch.Call) {
	s := r.simulation
	switch {
	case r.isStale(call):
		return
	case r.engine.down:
		r.endCallAndContinue(dispatch.Unreachable)
		return
	case s.random.Float64() < r.engine.failureRate:
		s.agenda.Schedule(networkDelay, func() { r.endCallIfCurrent(call, dispatch.Failed) })
		return
	}
	model := r.modelFor(call)
	r.cost += model.CostPerThousandTokens * (float64(r.promptTokens)/4 + float64(r.answerTokens)) / 1000
	j := &batches.Job{
		Model:        model.Name,
		TimeFactor:   model.TimeFactor,
		Parts:        r.parts,
		AnswerTokens: r.answerTokens,
		Urgency:      5,
	}
	if call.Urgency != nil {
		j.Urgency = *call.Urgency
	}
	if source := s.engineByAddress[call.CacheSource]; source != nil && !source.down {
		j.CacheSource = &source.Engine
	}
	j.OnFirstToken = func() { s.agenda.Schedule(networkDelay, func() { r.receiveFirstToken(call, j, model) }) }
	j.OnEvent = func() { r.receiveEvent(call) }
	j.OnDone = func() { s.agenda.Schedule(networkDelay, func() { r.finish(call, j) }) }
	r.job = j
	if !r.engine.Submit(j) {
		r.endCallAndContinue(dispatch.Refused)
	}
}

// past reports whether the request has ended, or gone on to another call.
func (r *request) isStale(call *dispatch.Call) bool {
	return r.ended || r.call != call
}

func (r *request) modelFor(call *dispatch.Call) Model {
	for _, m := range r.simulation.load.Models {
		if m.Name == call.Model {
			return m
		}
	}
	return r.simulation.load.Models[0]
}

// started takes the first token and what the model thinks of its answer.
func (r *request) receiveFirstToken(call *dispatch.Call, j *batches.Job, model Model) {
	s := r.simulation
	if r.isStale(call) {
		return
	}
	confidence := meanConfidence + confidenceSlope*(model.Quality-r.difficulty) + confidenceNoise*s.random.NormFloat64()
	reported := s.policy.mapConfidence(int(min(100, max(0, confidence))))
	if r.dispatcher.StartAnswer(s.clock(), r.task, call, reported) {
		r.firstEventDelay = s.agenda.Now() - r.arrived
		r.lastEvent = s.agenda.Now()
		return
	}
	r.cost -= model.CostPerThousandTokens * float64(r.answerTokens) / 1000
	r.engine.Cancel(j)
	r.endCallAndContinue(dispatch.Abandoned)
}

func (r *request) receiveEvent(call *dispatch.Call) {
	if r.isStale(call) {
		return
	}
	now := r.simulation.agenda.Now()
	if r.firstEventDelay > 0 {
		r.simulation.collector.recordGap(now - r.lastEvent)
		call.RecordEvent(now - r.lastEvent)
	}
	r.lastEvent = now
}

// done takes the end of a job, whole or lost.
func (r *request) finish(call *dispatch.Call, j *batches.Job) {
	if r.isStale(call) {
		return
	}
	if !j.Complete() {
		r.endCallAndContinue(dispatch.Broken)
		return
	}
	s := r.simulation
	r.dispatcher.EndCall(s.clock(), r.task, call, dispatch.Served)
	r.ended = true
	s.collector.recordServed(r, r.modelFor(call).Quality > r.difficulty)
}

func (r *request) timeOutStart(call *dispatch.Call) {
	if r.isStale(call) || r.firstEventDelay > 0 {
		return
	}
	if r.job != nil {
		r.engine.Cancel(r.job)
	}
	r.endCallAndContinue(dispatch.TimedOut)
}

func (r *request) endCallIfCurrent(call *dispatch.Call, result dispatch.Result) {
	if !r.isStale(call) {
		r.endCallAndContinue(result)
	}
}

// over ends the call and goes on with the next.
func (r *request) endCallAndContinue(result dispatch.Result) {
	r.dispatcher.EndCall(r.simulation.clock(), r.task, r.call, result)
	r.call, r.job = nil, nil
	r.startNextCall()
}

// refuse ends the request. A caller that was told when to come back does so
// once.
func (r *request) handleRefusal(fault *faults.Error) {
	s := r.simulation
	s.collector.recordRefusal(s.agenda.Now() - r.arrived)
	remaining := s.routes[r.classIndex].Timeout - (s.agenda.Now() - r.arrived)
	if fault.RetryAfter > 0 && !r.retried && fault.RetryAfter < remaining/3 {
		r.retried = true
		s.agenda.Schedule(fault.RetryAfter, func() {
			if !r.ended {
				r.submit(fmt.Sprintf("request-%d-again", s.requestCount))
			}
		})
		return
	}
	r.ended = true
	s.collector.recordLost(r)
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
		r.dispatcher.EndCall(r.simulation.clock(), r.task, r.call, dispatch.Abandoned)
	}
	r.ended = true
	r.simulation.collector.recordLost(r)
}
