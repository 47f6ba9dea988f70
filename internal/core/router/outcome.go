package router

import (
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// Outcome holds the result of a call to an upstream.
type Outcome struct {
	// Failed is true if the call failed because of the upstream.
	Failed bool
	// Aborted is true if the router or the caller cancelled the call.
	Aborted bool
	// Answered is true if the answer got past its beginning, ConnectionLost if its
	// connection was lost before.
	Answered       bool
	ConnectionLost bool
	// PromptTokens and AnswerTokens are the tokens that the call used.
	PromptTokens tables.Tokens
	AnswerTokens tables.Tokens
	// CachedTokens is the number of prompt tokens found in the upstream's
	// prefix cache.
	CachedTokens tables.Tokens
}

// Rating holds a rater's score of an answer.
type Rating struct {
	RequestID string
	// Score is from 0 to 1.
	Score float64
}

// ratingRef identifies the evidence that the rating of an answer adds to.
type ratingRef struct {
	routeKey tables.RouteKey
	pool     tables.PoolID
	class    tables.ClassID
	// bucket is the confidence of the answer, escalatedFrom that of the
	// previous stage's answer if escalated is true.
	bucket        cascades.Bucket
	escalatedFrom cascades.Bucket
	escalated     bool
}

// pendingRatings holds references for the latest answers until they are rated.
// When it is full, the oldest reference is overwritten.
type pendingRatings struct {
	refs map[string]ratingRef
	// requestIDs is a ring buffer of the request IDs in order of age.
	requestIDs []string
	nextSlot   int
}

// maxPendingRatings is the number of answers that can wait for a rating.
const maxPendingRatings = 1 << 15

// Accept decides by its confidence, from 0 to 1, whether a stage's answer is
// delivered. If it returns false, the answer is dropped and the task is
// escalated to its next stage.
//
// With a low probability the decision is reversed, to gain evidence that the
// plan alone does not yield. An answer is delivered in any case if there is no
// next stage, or if that stage's answer is not expected by the deadline.
func (r *Router) Accept(now time.Time, task *Task, step *Step, confidence float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := cascades.BucketOf(confidence)
	cell := cascades.Cell{Pool: step.Pool.Name, Class: task.Entry.Route.Class, Bucket: bucket}
	r.cascadeEvidence.CountAnswer(cell)
	next := r.nextStage(task)
	accepted := step.FinalStage || next < 0 || task.plan.Accepts(task.stage, bucket, r.random.Float64())
	if !step.FinalStage && next >= 0 {
		if r.policy.Plan == nil && r.random.Float64() < cascades.ExploreRate(r.explorationEvidence(cell, accepted)) {
			accepted = !accepted
		}
		if r.poolStates[task.Pools[next]].callStats.MeanDuration() > task.Deadline().Sub(now) {
			accepted = true
		}
	}
	if accepted {
		r.ratingRefs.add(task.Request.RequestID, ratingRef{
			routeKey:      task.Request.Route,
			pool:          step.Pool.Name,
			class:         task.Entry.Route.Class,
			bucket:        bucket,
			escalatedFrom: task.escalatedFrom,
			escalated:     task.escalated,
		})
		return true
	}
	task.escalatedFrom, task.escalated = bucket, true
	task.stage = next
	return false
}

// FinishTask finishes a task and corrects its allowance by the difference
// between the expected and the used tokens. Further calls have no effect.
func (r *Router) FinishTask(now time.Time, task *Task) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if task.ended {
		return
	}
	task.ended = true
	task.routeState.Finish(now, float64(task.usedTokens), float64(task.expectedTokens))
}

// FinishStep records the outcome of a call. It must be called exactly once for
// each step that StartStep returned.
func (r *Router) FinishStep(now time.Time, task *Task, step *Step, outcome Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	serviceTime := time.Duration(0)
	if !outcome.Failed && !outcome.Aborted && !step.firstTokenAt.IsZero() {
		serviceTime = now.Sub(step.firstTokenAt)
	}
	step.upstreams.RecordFinish(now, step.Choice, serviceTime)
	r.recordForQuarantine(now, task, step, outcome)
	task.usedTokens += outcome.PromptTokens + outcome.AnswerTokens
	if !outcome.Failed {
		// Teams do not pay for failed calls.
		task.Cost += step.Pool.Cost(outcome.PromptTokens, outcome.AnswerTokens)
	}
	state := r.poolStates[step.Pool.Name]
	if state == nil {
		return
	}
	if !outcome.Aborted {
		state.ownEvidence.Calls++
	}
	if outcome.Failed {
		state.ownEvidence.FailedCalls++
		step.upstreams.RecordFailure(now, step.Choice, r.random)
		return
	}
	r.serviceLoads[step.Pool.Service].addFinished(now, outcome.PromptTokens+outcome.AnswerTokens)
	if !outcome.Aborted {
		state.callStats.Observe(now.Sub(step.sentAt), outcome.PromptTokens, outcome.AnswerTokens)
		task.routeState.requestSize.Observe(outcome.PromptTokens, outcome.AnswerTokens)
	}
	step.upstreams.RecordCachedTokens(step.call.PrefixHash, step.Choice.Upstream, outcome.CachedTokens)
}

// RecordFirstToken records the arrival of the first token of a call.
func (r *Router) RecordFirstToken(now time.Time, step *Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	observed := now.Sub(step.sentAt)
	step.firstTokenAt = now
	step.upstreams.RecordFirstToken(now, step.Choice, observed)
	if state := r.poolStates[step.Pool.Name]; state != nil {
		state.callStats.ObserveFirstToken(observed)
	}
}

// RecordLoad records the load report of an upstream.
func (r *Router) RecordLoad(pool tables.PoolID, upstream tables.UpstreamID, report routing.LoadReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.poolStates[pool]; state != nil {
		state.upstreams.RecordReport(upstream, report)
	}
}

// RecordRating records a rating. It returns false if this instance did not
// deliver the answer, has dropped its reference, or got a rating of it before.
func (r *Router) RecordRating(rating Rating) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ref, ok := r.ratingRefs.take(rating.RequestID)
	if !ok {
		return false
	}
	score := min(1, max(0, rating.Score))
	r.cascadeEvidence.AddRating(cascades.Cell{Pool: ref.pool, Class: ref.class, Bucket: ref.bucket}, score)
	if ref.escalated {
		r.cascadeEvidence.AddRating(cascades.Cell{Pool: ref.pool, Class: ref.class, Escalated: true, Bucket: ref.escalatedFrom}, score)
	}
	if route := r.routeStates[ref.routeKey]; route != nil {
		route.deliveredRatings.AddRating(score)
	}
	if state := r.poolStates[ref.pool]; state != nil {
		state.ownEvidence.Ratings++
		state.ownEvidence.RatingShortfall += 1 - score
	}
	return true
}

// explorationEvidence returns the evidence that sets the rate of exploration
// for an answer.
func (r *Router) explorationEvidence(cell cascades.Cell, accepted bool) cascades.Evidence {
	if accepted {
		// Escalating an answer that the plan accepts yields little evidence.
		// The high number of ratings selects the low rate of exploration.
		return cascades.Evidence{Ratings: maxPendingRatings}
	}
	return r.fleetEvidence(cell)
}

// add remembers an answer and drops the oldest one if there are too many.
func (p *pendingRatings) add(id string, ref ratingRef) {
	if p.refs == nil {
		p.refs = map[string]ratingRef{}
		p.requestIDs = make([]string, maxPendingRatings)
	}
	delete(p.refs, p.requestIDs[p.nextSlot])
	p.requestIDs[p.nextSlot] = id
	p.nextSlot = (p.nextSlot + 1) % maxPendingRatings
	p.refs[id] = ref
}

// take removes and returns the reference of an answer, or false if there is
// none.
func (p *pendingRatings) take(id string) (ratingRef, bool) {
	ref, ok := p.refs[id]
	delete(p.refs, id)
	return ref, ok
}
