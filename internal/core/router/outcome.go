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
	route     tables.RouteKey
	pool      tables.PoolID
	class     tables.ClassID
	bucket    cascades.Bucket
	from      cascades.Bucket
	escalated bool
}

// pendingRatings remembers the latest answers until their ratings come.
type pendingRatings struct {
	refs map[string]ratingRef
	// ring holds the request IDs in order of age.
	ring []string
	next int
}

const pendingLimit = 1 << 15

// Accept judges a stage's answer by its confidence. A false result means that
// the task goes on to its next stage and the answer is dropped.
func (r *Router) Accept(now time.Time, task *Task, step *Step, confidence float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bucket := cascades.BucketOf(confidence)
	cell := cascades.Cell{Pool: step.Pool.Name, Class: task.Entry.Route.Class, Bucket: bucket}
	r.cells.CountAnswer(cell)
	next := r.nextStage(task)
	accepts := step.Last || next < 0 || task.plan.Accepts(task.stage, bucket, r.random.Float64())
	if !step.Last && next >= 0 {
		if r.policy.Plan == nil && r.random.Float64() < cascades.ExploreRate(r.cellEvidence(cell, accepts)) {
			accepts = !accepts
		}
		if r.versions[task.Pools[next]].pace.MeanDuration() > task.Deadline().Sub(now) {
			accepts = true
		}
	}
	if accepts {
		r.ratings.put(task.Request.RequestID, ratingRef{
			route:     task.Request.Route,
			pool:      step.Pool.Name,
			class:     task.Entry.Route.Class,
			bucket:    bucket,
			from:      task.from,
			escalated: task.escalated,
		})
		return true
	}
	task.from, task.escalated = bucket, true
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
	task.gate.Finish(now, float64(task.used), float64(task.expected))
}

// EndStep takes the outcome of a call. Every step that Next returned ends
// once.
func (r *Router) EndStep(now time.Time, task *Task, step *Step, outcome Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	service := time.Duration(0)
	if !outcome.Failed && !outcome.Aborted && !step.answered.IsZero() {
		service = now.Sub(step.answered)
	}
	step.set.RecordFinish(now, step.Choice, service)
	task.used += outcome.Prompt + outcome.Answer
	if !outcome.Failed {
		// What an upstream spent on a failure is not the team's cost.
		task.Cost += step.Pool.Cost(outcome.Prompt, outcome.Answer)
	}
	v := r.versions[step.Pool.Name]
	if v == nil {
		return
	}
	if !outcome.Aborted {
		v.own.Calls++
	}
	if outcome.Failed {
		v.own.Errors++
		step.set.RecordFailure(now, step.Choice, r.random)
		return
	}
	r.services[step.Pool.Service].addFinished(now, outcome.Prompt+outcome.Answer)
	if !outcome.Aborted {
		v.pace.Observe(now.Sub(step.sent), outcome.Prompt, outcome.Answer)
		task.gate.size.Observe(outcome.Prompt, outcome.Answer)
	}
	step.set.HearCached(step.call.Prefix, step.Choice.Upstream, outcome.Cached)
}

// FirstToken takes the wait for the first token of a call.
func (r *Router) FirstToken(now time.Time, step *Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	observed := now.Sub(step.sent)
	step.answered = now
	step.set.RecordFirstToken(now, step.Choice, observed)
	if v := r.versions[step.Pool.Name]; v != nil {
		v.pace.ObserveFirstToken(observed)
	}
}

// HearLoad takes the load report of an upstream.
func (r *Router) HearLoad(pool tables.PoolID, upstream tables.UpstreamID, report routing.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if v := r.versions[pool]; v != nil {
		v.set.RecordReport(upstream, report)
	}
}

// Rate takes a rating and reports whether its answer is still known here.
func (r *Router) Rate(rating Rating) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ref, ok := r.ratings.take(rating.RequestID)
	if !ok {
		return false
	}
	score := min(1, max(0, rating.Score))
	r.cells.Rate(cascades.Cell{Pool: ref.pool, Class: ref.class, Bucket: ref.bucket}, score)
	if ref.escalated {
		r.cells.Rate(cascades.Cell{Pool: ref.pool, Class: ref.class, Escalated: true, Bucket: ref.from}, score)
	}
	if g := r.gates[ref.route]; g != nil {
		g.delivered.AddRating(score)
	}
	if v := r.versions[ref.pool]; v != nil {
		v.own.Rated++
		v.own.Bad += 1 - score
	}
	return true
}

// cellEvidence returns the evidence that an exploring answer would add to.
func (r *Router) cellEvidence(cell cascades.Cell, accepts bool) cascades.Evidence {
	if accepts {
		// Escalating an accepted answer teaches little; explore at the low
		// rate.
		return cascades.Evidence{Ratings: pendingLimit}
	}
	return r.evidence(cell)
}

func (p *pendingRatings) put(id string, ref ratingRef) {
	if p.refs == nil {
		p.refs = map[string]ratingRef{}
		p.ring = make([]string, pendingLimit)
	}
	delete(p.refs, p.ring[p.next])
	p.ring[p.next] = id
	p.next = (p.next + 1) % pendingLimit
	p.refs[id] = ref
}

func (p *pendingRatings) take(id string) (ratingRef, bool) {
	ref, ok := p.refs[id]
	delete(p.refs, id)
	return ref, ok
}
