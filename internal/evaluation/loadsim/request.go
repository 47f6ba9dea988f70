package loadsim

import (
	"fmt"
	"strconv"
	"time"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/batching"
)

// request is the state of a caller's request, from its arrival to its end.
type request struct {
	simulation    *simulation
	classIndex    int
	team          tables.TeamID
	instanceIndex int
	parts         []batching.PromptPart
	promptTokens  int
	answerTokens  int
	// difficulty is the quality, from 0 to 1, that a model must exceed to answer
	// correctly.
	difficulty float64
	// arrived is the simulated time of arrival.
	arrived time.Duration

	dispatcher *dispatch.Dispatcher
	task       *dispatch.Task
	call       *dispatch.Call
	job        *batching.Job
	engine     *engine
	// firstEventDelay is the time from arrival to the first event, zero before
	// it.
	firstEventDelay time.Duration
	// cost is the price of all runs of models for the request.
	cost float64
	// retried is true once the caller has retried after a refusal.
	retried bool
	ended   bool
	// crashes is true if the prompt has the crashing part.
	crashes bool
	// lastEvent is the simulated time of the latest event of the answer.
	lastEvent time.Duration
}

// The confidence that a model reports for an answer is normally distributed.
// Its mean is meanConfidence where the quality of the model equals the
// difficulty of the request, and rises by confidenceSlope times the difference.
// confidenceNoise is the standard deviation. Confidences are clamped to 0 to 100.
const (
	confidenceNoise = 15.0
	confidenceSlope = 100.0
	meanConfidence  = 50.0
)

// crashingPartID is the ID of the part of Load.CrashingPart.
const crashingPartID = 0xbad

// arrive creates a request of a class and submits it.
func (s *simulation) arrive(classIndex int) {
	s.newRequest(classIndex).begin()
}

// newRequest draws a request of a class.
func (s *simulation) newRequest(classIndex int) *request {
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
		arrived:       s.scheduler.Now(),
	}
	for _, part := range r.parts {
		r.promptTokens += part.Tokens
	}
	r.dispatcher = s.instances[r.instanceIndex]
	return r
}

// begin submits the request and schedules its deadline.
func (r *request) begin() {
	s := r.simulation
	s.scheduler.Schedule(s.routes[r.classIndex].Timeout, r.expire)
	r.submit(fmt.Sprintf("request-%d", s.requestCount))
}

// submit asks the dispatcher for admission and starts the first call.
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
		for _, part := range r.parts[:len(r.parts)-1] {
			admission.SharedParts = append(admission.SharedParts, hexPart(part.ID))
		}
		admission.SharedTokens = tables.Tokens(r.promptTokens - r.parts[len(r.parts)-1].Tokens)
	}
	admission.ContentPart = r.contentPart
	s.policy.editRequest(&admission)
	task, fault := r.dispatcher.Admit(s.clock(), admission)
	if fault != nil {
		r.handleRefusal(fault)
		return
	}
	r.task = task
	r.startNextCall()
}

// hexPart returns the name of a part of a prompt.
func hexPart(id uint64) quarantine.PartID {
	return quarantine.PartID(strconv.FormatUint(id, 16))
}

// contentPart returns the part that stands for the request and its copies. The last part of
// a prompt is the request's own.
func (r *request) contentPart() quarantine.PartID {
	content := make([]string, 0, len(r.parts))
	for _, part := range r.parts {
		content = append(content, strconv.FormatUint(part.ID, 16))
	}
	return quarantine.NewRequestPart(content...)
}

// startNextCall asks the dispatcher for the next call and sends it, or ends the
// request if there is none.
func (r *request) startNextCall() {
	s := r.simulation
	call, fault := r.dispatcher.NextCall(s.clock(), r.task)
	if fault != nil {
		r.handleRefusal(fault)
		return
	}
	s.policy.editCall(call)
	s.collector.recordCall()
	r.call = call
	r.engine = s.engineByAddress[call.Upstream.Address]
	s.scheduler.Schedule(networkDelay, func() { r.deliver(call) })
	if call.StartTimeout > 0 {
		s.scheduler.Schedule(call.StartTimeout, func() { r.timeOutStart(call) })
	}
}

// deliver submits the call to its engine.
func (r *request) deliver(call *dispatch.Call) {
	s := r.simulation
	switch {
	case r.isStale(call):
		return
	case r.engine.down:
		r.dispatcher.RecordConnectionRefused(s.clock(), call)
		r.endCallAndContinue(dispatch.Unreachable)
		return
	case s.random.Float64() < r.engine.failureRate:
		s.scheduler.Schedule(networkDelay, func() { r.endCallIfCurrent(call, dispatch.Failed) })
		return
	}
	if r.crashes {
		s.collector.recordCrashCall(s.scheduler.Now())
	}
	model := r.modelFor(call)
	r.cost += model.CostPerThousandTokens * (float64(r.promptTokens)/4 + float64(r.answerTokens)) / 1000
	j := &batching.Job{
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
	j.OnFirstToken = func() {
		if r.crashes {
			s.crash(r, s.engineByAddress[call.Upstream.Address])
			return
		}
		s.scheduler.Schedule(networkDelay, func() { r.receiveFirstToken(call, j, model) })
	}
	j.OnEvent = func() { r.receiveEvent(call) }
	if rate := r.engine.answerLossRate; rate > 0 && s.random.Float64() < rate {
		lose := func() { s.scheduler.Schedule(networkDelay, func() { r.endCallIfCurrent(call, dispatch.Broken) }) }
		if s.random.IntN(2) == 0 && !r.crashes {
			j.OnFirstToken = lose
		}
		j.OnEvent = lose
	}
	j.OnDone = func() { s.scheduler.Schedule(networkDelay, func() { r.finish(call, j) }) }
	r.job = j
	if !r.engine.Submit(j) {
		r.endCallAndContinue(dispatch.Refused)
	}
}

// isStale reports whether the request has ended or continued with another call.
func (r *request) isStale(call *dispatch.Call) bool {
	return r.ended || r.call != call || r.isForgotten()
}

// isForgotten reports whether the request's instance has lost power since it came.
func (r *request) isForgotten() bool {
	return r.dispatcher != r.simulation.instances[r.instanceIndex]
}

func (r *request) modelFor(call *dispatch.Call) Model {
	for _, m := range r.simulation.load.Models {
		if m.Name == call.Model {
			return m
		}
	}
	return r.simulation.load.Models[0]
}

// receiveFirstToken handles the first token of an answer. It draws the model's
// confidence in the answer, and cancels the job if the dispatcher does not
// accept the answer.
func (r *request) receiveFirstToken(call *dispatch.Call, j *batching.Job, model Model) {
	s := r.simulation
	if r.isStale(call) {
		return
	}
	r.reportLoad(call, s.engineByAddress[call.Upstream.Address])
	confidence := meanConfidence + confidenceSlope*(model.Quality-r.difficulty) + confidenceNoise*s.random.NormFloat64()
	reported := s.policy.mapConfidence(int(min(100, max(0, confidence))))
	if r.dispatcher.StartAnswer(s.clock(), r.task, call, reported) {
		call.RecordFirstEvent(s.clock())
		r.firstEventDelay = s.scheduler.Now() - r.arrived
		r.lastEvent = s.scheduler.Now()
		return
	}
	// The canceled job does not generate the answer that deliver has charged.
	r.cost -= model.CostPerThousandTokens * float64(r.answerTokens) / 1000
	r.engine.Cancel(j)
	r.endCallAndContinue(dispatch.Abandoned)
}

func (r *request) receiveEvent(call *dispatch.Call) {
	if r.isStale(call) {
		return
	}
	now := r.simulation.scheduler.Now()
	if r.firstEventDelay > 0 {
		r.simulation.collector.recordGap(now - r.lastEvent)
		call.RecordEvent(r.simulation.clock(), now-r.lastEvent)
	}
	r.lastEvent = now
}

// finish handles the end of a job, whether it is complete or lost.
func (r *request) finish(call *dispatch.Call, j *batching.Job) {
	if r.isStale(call) {
		return
	}
	if !j.Complete() || r.crashes {
		r.endCallAndContinue(dispatch.Broken)
		return
	}
	s := r.simulation
	r.dispatcher.EndCall(s.clock(), r.task, call, dispatch.Served)
	r.ended = true
	s.collector.recordServed(r, r.modelFor(call).Quality > r.difficulty)
}

// timeOutStart ends a call that has no first token at its start timeout.
func (r *request) timeOutStart(call *dispatch.Call) {
	if r.isStale(call) || r.firstEventDelay > 0 {
		return
	}
	if more := r.dispatcher.ExtendStart(r.simulation.clock(), r.task, call); more > 0 {
		r.simulation.scheduler.Schedule(more, func() { r.timeOutStart(call) })
		return
	}
	if r.job != nil {
		r.engine.Cancel(r.job)
	}
	r.simulation.collector.recordGivenUp()
	r.endCallAndContinue(dispatch.TimedOut)
}

func (r *request) endCallIfCurrent(call *dispatch.Call, result dispatch.Result) {
	if !r.isStale(call) {
		r.endCallAndContinue(result)
	}
}

// endCallAndContinue ends the call with a result and continues with the next
// call.
func (r *request) endCallAndContinue(result dispatch.Result) {
	r.dispatcher.EndCall(r.simulation.clock(), r.task, r.call, result)
	r.call, r.job = nil, nil
	r.startNextCall()
}

// handleRefusal ends the request, unless the refusal gives a time to retry after
// that fits into a third of the remaining time. Then the caller retries once.
func (r *request) handleRefusal(fault *faults.Error) {
	s := r.simulation
	s.collector.recordRefusal(s.scheduler.Now() - r.arrived)
	if fault.Kind == faults.PromptQuarantined {
		s.collector.recordQuarantined(s.scheduler.Now(), r, quarantine.PartID(fault.Detail))
	}
	remaining := s.routes[r.classIndex].Timeout - (s.scheduler.Now() - r.arrived)
	if fault.RetryAfter > 0 && !r.retried && fault.RetryAfter < remaining/3 {
		r.retried = true
		s.scheduler.Schedule(fault.RetryAfter, func() {
			if !r.ended && !r.isForgotten() {
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
	if r.call != nil && !r.isForgotten() {
		if r.job != nil {
			r.engine.Cancel(r.job)
		}
		r.dispatcher.EndCall(r.simulation.clock(), r.task, r.call, dispatch.Abandoned)
	}
	r.ended = true
	r.simulation.collector.recordLost(r)
}
