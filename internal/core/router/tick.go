package router

import (
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/sums"
	"mimosayard/internal/core/tables"
)

// Contribution returns this instance's values for the fleet's sums.
func (r *Router) Contribution(now time.Time) sums.Values {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.slow == nil || now.Sub(r.slowAt) >= slowPace {
		r.slow = r.cellValues()
		r.slowAt = now
	}
	values := r.slow.Clone()
	for _, g := range r.gates {
		g.keys.write(values, g.Own(now))
	}
	reportEvidence := now.Sub(r.evidenceAt) >= evidencePace
	if reportEvidence {
		r.evidenceAt = now
	}
	for _, v := range r.versions {
		if reportEvidence || v.watch.Doubtful() {
			v.told = v.own
		}
		v.keys.write(values, v.told)
	}
	for _, load := range r.services {
		load.write(now, values)
	}
	return values
}

// Tick takes the fleet's totals and this instance's part in them, renews the
// shares, and returns the rollout progress that this look decided.
func (r *Router) Tick(now time.Time, totals, reported sums.Values) []rollouts.Progress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.totals, r.reported = totals, reported
	if r.index == nil {
		return nil
	}
	for service, load := range r.services {
		r.share(now, service, load)
	}
	if r.policy.NoDetection {
		return r.lookUndetected(now)
	}
	return r.look(now)
}

func (r *Router) cellValues() sums.Values {
	values := sums.Values{}
	r.cells.VisitCells(func(cell cascades.Cell, evidence cascades.Evidence) {
		keys := r.cellKeysOf(cell)
		put(values, keys.seen, evidence.Answers)
		put(values, keys.rated, evidence.Ratings)
		put(values, keys.score, evidence.ScoreSum)
	})
	for _, g := range r.gates {
		put(values, g.keys.rated, g.delivered.Ratings)
		put(values, g.keys.score, g.delivered.ScoreSum)
	}
	return values
}

// evidence returns the fleet's evidence of a cell.
func (r *Router) evidence(cell cascades.Cell) cascades.Evidence {
	keys := r.cellKeysOf(cell)
	return cascades.Evidence{
		Answers:  r.totals[keys.seen],
		Ratings:  r.totals[keys.rated],
		ScoreSum: r.totals[keys.score],
	}
}

func (r *Router) cellKeysOf(cell cascades.Cell) cellKeys {
	keys, ok := r.cellKeys[cell]
	if !ok {
		keys = newCellKeys(cell)
		r.cellKeys[cell] = keys
	}
	return keys
}

func (r *Router) look(now time.Time) []rollouts.Progress {
	var news []rollouts.Progress
	for _, name := range r.versionOrder {
		v := r.versions[name]
		if v.progress.Withdrawn || v.pool.Kind != tables.KindModel {
			continue
		}
		verdict := v.watch.Look(now, v.pool.Rollout, v.progress, v.keys.read(r.totals), r.baseline(v))
		if next, changed := r.decide(now, v, verdict); changed {
			v.progress = next
			news = append(news, next)
		}
	}
	return news
}

// lookUndetected advances rollouts by time alone.
func (r *Router) lookUndetected(now time.Time) []rollouts.Progress {
	var news []rollouts.Progress
	for _, name := range r.versionOrder {
		v := r.versions[name]
		rollout := v.pool.Rollout
		if rollout == nil || v.progress.Step >= len(rollout.Steps)-1 {
			continue
		}
		if now.Sub(time.UnixMilli(v.progress.Since)) >= rollout.StepMin.Duration() {
			v.progress.Step++
			v.progress.Since = now.UnixMilli()
			news = append(news, v.progress)
		}
	}
	return news
}

// baseline returns the share of bad answers that a version is held against.
func (r *Router) baseline(v *version) float64 {
	var none rollouts.Watch
	if v.pool.Rollout == nil {
		return none.Baseline()
	}
	if old := r.versions[v.pool.Rollout.Replaces]; old != nil {
		return old.watch.Baseline()
	}
	return none.Baseline()
}

func (r *Router) decide(now time.Time, v *version, verdict rollouts.Verdict) (rollouts.Progress, bool) {
	next := v.progress
	switch verdict {
	case rollouts.Stay:
		return next, false
	case rollouts.Advance:
		next.Step++
		next.Since = now.UnixMilli()
		return next, true
	case rollouts.WithdrawRatings:
		next.Reason = rollouts.ReasonRatings
	case rollouts.WithdrawErrors:
		next.Reason = rollouts.ReasonErrors
	case rollouts.WithdrawStalled:
		next.Reason = rollouts.ReasonStalled
	}
	if !r.replaceable(v) {
		return v.progress, false
	}
	next.Withdrawn = true
	return next, true
}

// replaceable reports whether every route that uses the pool keeps another
// one. A pool that is some team's last one is left to the operators.
func (r *Router) replaceable(v *version) bool {
	for _, g := range r.gates {
		uses, others := false, false
		for _, stage := range g.entry.Stages {
			for _, pool := range stage.Pools {
				if pool.Name == v.pool.Name {
					uses = true
					continue
				}
				others = others || r.versions[pool.Name].available()
			}
		}
		if uses && !others {
			return false
		}
	}
	return true
}

func (r *Router) makePlan(g *gate) cascades.Plan {
	entry := g.entry
	stages := make([]cascades.Stage, len(entry.Stages))
	for s, stage := range entry.Stages {
		stages[s] = r.planStage(g, stage)
	}
	if r.policy.Plan != nil {
		return r.policy.Plan(stages)
	}
	target := entry.Route.QualityTarget
	margin := cascades.QualityMargin(target, g.keys.readDelivered(r.totals))
	plan := cascades.NewPlan(target, margin, entry.Route.Class, stages, r.evidence)
	g.before = ""
	if plan.Start > 0 {
		g.before = stages[plan.Start-1].Pool
	}
	return plan
}

// planStage describes a stage by the version that most callers get.
func (r *Router) planStage(g *gate, stage tables.Stage) cascades.Stage {
	pool := stage.Pools[0]
	for _, p := range stage.Pools {
		v := r.versions[p.Name]
		if !v.available() {
			continue
		}
		pool = p
		if p.Rollout == nil || v.progress.Step == len(p.Rollout.Steps)-1 {
			break
		}
	}
	// All stages are compared on requests of the same size.
	prompt, answer := g.size.Prompt, g.size.Answer
	if prompt == 0 {
		prompt, answer = defaultPrompt, defaultAnswer
	}
	return cascades.Stage{
		Pool:           pool.Name,
		Cost:           float64(pool.Cost(prompt, answer)),
		EscalationCost: float64(pool.Cost(prompt, min(answer, ProbeTokens))),
	}
}
