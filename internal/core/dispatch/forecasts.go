package dispatch

import (
	"time"

	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

const (
	// startedWorkFraction is the fraction of a call's work that is left once
	// its answer has started. Its prompt no longer delays other prompts, but
	// its events still slow them.
	startedWorkFraction = 0.1
	// priorReadFraction is the expected fraction of a route's target in which the
	// largest model reads a long prompt, one of longPromptTokens or more.
	// defaultLatencyTarget stands for the target of a route without one.
	priorReadFraction    = 0.25
	longPromptTokens     = 8000
	defaultLatencyTarget = time.Second
	// remotePenaltyFraction is the longer wait that a request accepts to stay in
	// its data centre, as a fraction of the route's target.
	remotePenaltyFraction = 0.03
	// fetchGainFraction is the least reading time that a fetch must save, as a
	// fraction of the route's target.
	fetchGainFraction = 0.03
	// minMoveCost is the least gain for which a prompt leaves the upstream that it
	// would otherwise go to.
	minMoveCost = 20
	// moveCostFactor multiplies the reading time that a move may cost. Prompts that
	// follow miss the cache too if the holder never read the shared parts.
	moveCostFactor = 3
	// minRelativeCost bounds the expected speed of very cheap models.
	minRelativeCost = 0.1
)

// promptWait returns the expected wait for the start of a model's answer to the
// task.
func (d *Dispatcher) promptWait(task *Task, model tables.ModelID) placement.PromptWait {
	e, prompt := d.estimator(task, model), task.prompt()
	wait := placement.PromptWait{
		RemotePenalty: forecast.NewMilliseconds(task.latencyTarget()) * remotePenaltyFraction,
		AtHolder:      e.Wait(prompt, forecast.CacheHolder),
		Elsewhere:     e.Wait(prompt, forecast.Elsewhere),
		MoveCost:      minMoveCost + moveCostFactor*e.SharedReadTime(prompt),
	}
	ahead := task.service.urgencies.shareAhead(urgencyFor(e.ReadTime(prompt, forecast.CacheHolder)))
	wait.AtHolder.PerBacklog *= ahead
	wait.Elsewhere.PerBacklog *= ahead
	return wait
}

// expectedStart returns the expected wait for the start of a model's answer to
// the task if it was called now.
func (d *Dispatcher) expectedStart(now time.Time, task *Task, model tables.ModelID) time.Duration {
	if !task.readsPrompt() {
		return 0
	}
	_, candidates := d.candidates(now, task)
	wait := d.promptWait(task, model)
	u, cacheHolder, _ := d.chooser.Choose(now, candidates, placement.Criteria{AffinityKey: task.affinityKey(model), DataCenter: d.dataCenter, Prompt: &wait})
	if u == nil {
		return 0
	}
	return wait.At(now, u, u == cacheHolder).Duration()
}

// readsPrompt reports whether an engine reads a prompt for the task.
func (t *Task) readsPrompt() bool {
	return t.Request.PromptTokens > 0 && t.runModel() != ""
}

// runModel returns the model that the task's next call runs on, empty if its
// request needs none.
func (t *Task) runModel() tables.ModelID {
	if t.model != "" {
		return t.model
	}
	return t.Request.Model
}

// prompt returns what an engine reads for the task.
func (t *Task) prompt() forecast.Prompt {
	shared := min(t.Request.SharedTokens, t.Request.PromptTokens)
	return forecast.Prompt{Own: t.Request.PromptTokens - shared, Shared: shared}
}

// estimator returns the estimator of a model, which it creates if there is none.
func (d *Dispatcher) estimator(task *Task, model tables.ModelID) *forecast.Estimator {
	s := task.service
	e := s.estimators[model]
	if e == nil {
		e = forecast.New(d.priorReadTime(task, model))
		s.estimators[model] = e
	}
	return e
}

// priorReadTime returns the time in which a model is expected to read a thousand
// tokens, before any call was seen. Operators set targets that leave several
// times the reading time of the largest model for long prompts, and smaller
// models are faster about as much as they are cheaper.
func (d *Dispatcher) priorReadTime(task *Task, model tables.ModelID) forecast.Milliseconds {
	readTime := forecast.NewMilliseconds(task.latencyTarget()) * priorReadFraction
	thousands := max(longPromptTokens, float64(task.Request.PromptTokens)) / 1000
	return readTime / forecast.Milliseconds(thousands) * forecast.Milliseconds(d.relativeCost(task.service.name, model))
}

// latencyTarget returns the target of the task's route, or
// defaultLatencyTarget.
func (t *Task) latencyTarget() time.Duration {
	if target := t.Request.Route.LatencyTarget; target > 0 {
		return target
	}
	return defaultLatencyTarget
}

// relativeCost returns the cost of a model as a fraction of that of the
// service's most expensive model, at least minRelativeCost.
func (d *Dispatcher) relativeCost(name tables.ServiceID, model tables.ModelID) float64 {
	if d.index == nil {
		return 1
	}
	service := d.index.Service(name)
	if service == nil || service.Engine == nil {
		return 1
	}
	cost, maxCost := 0.0, 0.0
	for _, m := range service.Engine.Models {
		maxCost = max(maxCost, m.CostPerThousandTokens)
		if m.Name == model {
			cost = m.CostPerThousandTokens
		}
	}
	if maxCost <= 0 || cost <= 0 {
		return 1
	}
	return max(minRelativeCost, cost/maxCost)
}

// fetchPays reports whether the reading that a fetch of the prompt's shared parts
// may save is worth the bytes that it moves between upstreams.
func (d *Dispatcher) fetchPays(task *Task) bool {
	saved := d.estimator(task, task.runModel()).SharedReadTime(task.prompt())
	return saved >= forecast.NewMilliseconds(task.latencyTarget())*fetchGainFraction
}
