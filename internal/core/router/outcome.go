package router

import (
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// An Outcome is how a step ended.
type Outcome struct {
	// Failed says that the upstream is to blame.
	Failed bool
	// Aborted says that the router or the caller gave the call up.
	Aborted bool
	Prompt  tables.Tokens
	Answer  tables.Tokens
	// Cached is the part of the prompt that the upstream had in its cache.
	Cached tables.Tokens
}

// A Rating is what a rater said of an answer.
type Rating struct {
	RequestID string
	// Score is from 0 to 1.
	Score float64
}

// ratingRef says what evidence a rating of an answer belongs to.
type ratingRef struct {
	routeKey      tables.RouteKey
	pool          tables.PoolID
	class         tables.ClassID
	bucket        cascades.Bucket
	escalatedFrom cascades.Bucket
	escalated     bool
}

// pendingRatings remembers the latest answers until their ratings come.
type pendingRatings struct {
	refs map[string]ratingRef
	// ring holds the request IDs in order of age.
	requestIDs []string
	nextSlot   int
}

const maxPendingRatings = 1 << 15

// Accept judges a stage's answer by its confidence. A false result means that
// the task goes on to its next stage and the answer is dropped.
func (r *Router) Accept(now time.Time, task *Task, step *Step, confidence float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := cascades.BucketOf(confidence)
	cell := cascades.Cell{Pool: step.Pool.Name, Class: task.Entry.Route.Class, Bucket: bucket}
	r.cells.CountAnswer(cell)
	next := r.nextStage(task)
	accepted := step.Last || next < 0 || task.plan.Accepts(task.stage, bucket, r.random.Float64())
	if !step.Last && next >= 0 {
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

// End finishes a task and settles its allowance. It may be called again
// without effect.
func (r *Router) End(now time.Time, task *Task) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if task.ended {
		return
	}
	task.ended = true
	task.routeState.Finish(now, float64(task.usedTokens), float64(task.expectedTokens))
}

// EndStep takes the outcome of a call. Every step that Next returned ends
// once.
func (r *Router) EndStep(now time.Time, task *Task, step *Step, outcome Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	serviceTime := time.Duration(0)
	if !outcome.Failed && !outcome.Aborted && !step.firstTokenAt.IsZero() {
		serviceTime = now.Sub(step.firstTokenAt)
	}
	step.upstreams.RecordFinish(now, step.Choice, serviceTime)
	task.usedTokens += outcome.Prompt + outcome.Answer
	if !outcome.Failed {
		// What an upstream spent on a failure is not the team's cost.
		task.Cost += step.Pool.Cost(outcome.Prompt, outcome.Answer)
	}
	state := r.poolStates[step.Pool.Name]
	if state == nil {
		return
	}
	if !outcome.Aborted {
		state.ownEvidence.Calls++
	}
	if outcome.Failed {
		state.ownEvidence.Errors++
		step.upstreams.RecordFailure(now, step.Choice, r.random)
		return
	}
	r.serviceLoads[step.Pool.Service].addFinished(now, outcome.Prompt+outcome.Answer)
	if !outcome.Aborted {
		state.callStats.Observe(now.Sub(step.sentAt), outcome.Prompt, outcome.Answer)
		task.routeState.requestSize.Observe(outcome.Prompt, outcome.Answer)
	}
	step.upstreams.HearCached(step.call.Prefix, step.Choice.Upstream, outcome.Cached)
}

// FirstToken takes the wait for the first token of a call.
func (r *Router) FirstToken(now time.Time, step *Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	observed := now.Sub(step.sentAt)
	step.firstTokenAt = now
	step.upstreams.RecordFirstToken(now, step.Choice, observed)
	if state := r.poolStates[step.Pool.Name]; state != nil {
		state.callStats.ObserveFirstToken(observed)
	}
}

// HearLoad takes the load report of an upstream.
func (r *Router) HearLoad(pool tables.PoolID, upstream tables.UpstreamID, report routing.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.poolStates[pool]; state != nil {
		state.upstreams.RecordReport(upstream, report)
	}
}

// Rate takes a rating and reports whether its answer is still known here.
func (r *Router) Rate(rating Rating) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ref, ok := r.ratingRefs.take(rating.RequestID)
	if !ok {
		return false
	}
	score := min(1, max(0, rating.Score))
	r.cells.Rate(cascades.Cell{Pool: ref.pool, Class: ref.class, Bucket: ref.bucket}, score)
	if ref.escalated {
		r.cells.Rate(cascades.Cell{Pool: ref.pool, Class: ref.class, Escalated: true, Bucket: ref.escalatedFrom}, score)
	}
	if route := r.routeStates[ref.routeKey]; route != nil {
		route.deliveredRatings.AddRating(score)
	}
	if state := r.poolStates[ref.pool]; state != nil {
		state.ownEvidence.Rated++
		state.ownEvidence.Bad += 1 - score
	}
	return true
}

// cellEvidence returns the evidence that an exploring answer would add to.
func (r *Router) explorationEvidence(cell cascades.Cell, accepted bool) cascades.Evidence {
	if accepted {
		// Escalating an accepted answer teaches little; explore at the low
		// rate.
		return cascades.Evidence{Ratings: maxPendingRatings}
	}
	return r.fleetEvidence(cell)
}

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

func (p *pendingRatings) take(id string) (ratingRef, bool) {
	ref, ok := p.refs[id]
	delete(p.refs, id)
	return ref, ok
}
