package router

import (
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
)

// Contribution returns this instance's values for the fleet-wide sums.
func (r *Router) Contribution(now time.Time) aggregates.Values {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cascadeValues == nil || now.Sub(r.cascadeValuesAt) >= cascadeReportInterval {
		r.cascadeValues = r.collectCascadeValues()
		r.cascadeValuesAt = now
	}
	values := r.cascadeValues.Clone()
	for _, route := range r.routeStates {
		route.keys.write(values, route.LocalDemand(now))
	}
	reportEvidence := now.Sub(r.evidenceReportedAt) >= evidenceReportInterval
	if reportEvidence {
		r.evidenceReportedAt = now
	}
	for _, state := range r.poolStates {
		if reportEvidence || state.test.HasWarning() {
			state.reportedEvidence = state.ownEvidence
		}
		state.keys.write(values, state.reportedEvidence)
	}
	for _, load := range r.serviceLoads {
		load.write(now, values)
	}
	r.contributeLimits(now, values)
	r.quarantine.Contribution(now, func(key aggregates.Key, value float64) { putSignificant(values, key, value) })
	return values
}

// Tick stores the fleet's totals and this instance's part in them, updates the
// token rates due to each route, and evaluates the rollouts. It returns the
// rollout progress that changed.
func (r *Router) Tick(now time.Time, fleetTotals, ownReported aggregates.Values) []rollouts.Progress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fleetTotals, r.ownReported = fleetTotals, ownReported
	r.applyLimits(now, fleetTotals, ownReported)
	r.quarantineChanges = append(r.quarantineChanges, r.quarantine.ApplyTotals(now, fleetTotals, ownReported)...)
	if r.index == nil {
		return nil
	}
	for service, load := range r.serviceLoads {
		r.updateShares(now, service, load)
	}
	if r.policy.NoDetection {
		return r.advanceRolloutsByTime(now)
	}
	return r.evaluateRollouts(now)
}

// collectCascadeValues returns this instance's evidence for cascades and the
// ratings of delivered answers.
func (r *Router) collectCascadeValues() aggregates.Values {
	values := aggregates.Values{}
	r.cascadeEvidence.VisitCells(func(cell cascades.Cell, evidence cascades.Evidence) {
		keys := r.cellKeysOf(cell)
		putSignificant(values, keys.answers, evidence.Answers)
		putSignificant(values, keys.ratings, evidence.Ratings)
		putSignificant(values, keys.scoreSum, evidence.ScoreSum)
	})
	for _, route := range r.routeStates {
		putSignificant(values, route.keys.ratings, route.deliveredRatings.Ratings)
		putSignificant(values, route.keys.scoreSum, route.deliveredRatings.ScoreSum)
	}
	return values
}

// fleetEvidence returns the fleet's evidence of a cell.
func (r *Router) fleetEvidence(cell cascades.Cell) cascades.Evidence {
	keys := r.cellKeysOf(cell)
	return cascades.Evidence{
		Answers:  r.fleetTotals[keys.answers],
		Ratings:  r.fleetTotals[keys.ratings],
		ScoreSum: r.fleetTotals[keys.scoreSum],
	}
}

// cellKeysOf returns the keys of a cell, which are hashed once and then cached.
func (r *Router) cellKeysOf(cell cascades.Cell) cellKeys {
	keys, ok := r.cellKeys[cell]
	if !ok {
		keys = newCellKeys(cell)
		r.cellKeys[cell] = keys
	}
	return keys
}

// evaluateRollouts tests the fleet's evidence of each pool of models that is
// not withdrawn, and returns the progress that changed.
func (r *Router) evaluateRollouts(now time.Time) []rollouts.Progress {
	var changes []rollouts.Progress
	for _, name := range r.poolOrder {
		state := r.poolStates[name]
		if state.progress.Withdrawn || state.pool.Kind != tables.KindModel {
			continue
		}
		verdict := state.test.Evaluate(now, state.pool.Rollout, state.progress, state.keys.read(r.fleetTotals), r.baseline(state))
		if next, changed := r.nextProgress(now, state, verdict); changed {
			state.progress = next
			changes = append(changes, next)
		}
	}
	return changes
}

// advanceRolloutsByTime advances rollouts by time alone and returns the
// progress that changed.
func (r *Router) advanceRolloutsByTime(now time.Time) []rollouts.Progress {
	var changes []rollouts.Progress
	for _, name := range r.poolOrder {
		state := r.poolStates[name]
		rollout := state.pool.Rollout
		if rollout == nil || state.progress.Step >= len(rollout.Steps)-1 {
			continue
		}
		if now.Sub(time.UnixMilli(state.progress.SinceMillis)) >= rollout.StepMin.Duration() {
			state.progress.Step++
			state.progress.SinceMillis = now.UnixMilli()
			changes = append(changes, state.progress)
		}
	}
	return changes
}

// baseline returns the share of bad answers that a version is compared with:
// that of the version it replaces, or the default.
func (r *Router) baseline(state *poolState) float64 {
	var unobserved rollouts.SequentialTest
	if state.pool.Rollout == nil {
		return unobserved.Baseline()
	}
	if replaced := r.poolStates[state.pool.Rollout.Replaces]; replaced != nil {
		return replaced.test.Baseline()
	}
	return unobserved.Baseline()
}

// nextProgress returns the progress of a pool after a verdict, and whether it
// changed.
func (r *Router) nextProgress(now time.Time, state *poolState, verdict rollouts.Verdict) (rollouts.Progress, bool) {
	next := state.progress
	switch verdict {
	case rollouts.NoChange:
		return next, false
	case rollouts.Advance:
		next.Step++
		next.SinceMillis = now.UnixMilli()
		return next, true
	case rollouts.WithdrawRatings:
		next.Reason = rollouts.ReasonRatings
	case rollouts.WithdrawErrors:
		next.Reason = rollouts.ReasonErrors
	case rollouts.WithdrawStalled:
		next.Reason = rollouts.ReasonStalled
	}
	if !r.replaceable(state) {
		return state.progress, false
	}
	next.Withdrawn = true
	return next, true
}

// replaceable reports whether every route that uses the pool has another
// available one. Only operators withdraw the last pool of a route.
func (r *Router) replaceable(state *poolState) bool {
	for _, route := range r.routeStates {
		used, hasOther := false, false
		for _, stage := range route.entry.Stages {
			for _, pool := range stage.Pools {
				if pool.Name == state.pool.Name {
					used = true
					continue
				}
				hasOther = hasOther || r.poolStates[pool.Name].available()
			}
		}
		if used && !hasOther {
			return false
		}
	}
	return true
}

// makePlan returns a new plan for a route and updates its poolBeforeStart.
func (r *Router) makePlan(route *routeState) cascades.Plan {
	entry := route.entry
	stages := make([]cascades.Stage, len(entry.Stages))
	for s, stage := range entry.Stages {
		stages[s] = r.describeStage(route, stage)
	}
	if r.policy.Plan != nil {
		return r.policy.Plan(stages)
	}
	target := entry.Route.QualityTarget
	margin := cascades.QualityMargin(target, route.keys.readDeliveredRatings(r.fleetTotals))
	plan := cascades.NewPlan(target, margin, entry.Route.Class, stages, r.fleetEvidence)
	route.poolBeforeStart = ""
	if plan.Start > 0 {
		route.poolBeforeStart = stages[plan.Start-1].Pool
	}
	return plan
}

// describeStage describes a stage by the first available version that is not in
// a rollout or is at the last step of one. Without such a version it uses the
// last available one, or else the first.
func (r *Router) describeStage(route *routeState, stage tables.Stage) cascades.Stage {
	pool := stage.Pools[0]
	for _, p := range stage.Pools {
		state := r.poolStates[p.Name]
		if !state.available() {
			continue
		}
		pool = p
		if p.Rollout == nil || state.progress.Step == len(p.Rollout.Steps)-1 {
			break
		}
	}
	// The costs of all stages are compared for the same request size.
	prompt, answer := route.requestSize.PromptTokens, route.requestSize.AnswerTokens
	if prompt == 0 {
		prompt, answer = defaultPromptTokens, defaultAnswerTokens
	}
	return cascades.Stage{
		Pool:           pool.Name,
		Cost:           float64(pool.Cost(prompt, answer)),
		EscalationCost: float64(pool.Cost(prompt, min(answer, ConfidenceTokens))),
	}
}
