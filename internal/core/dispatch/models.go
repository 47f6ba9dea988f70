package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

const (
	// earlyEscalationConfidence is the confidence below which a smaller model's
	// answer is discarded and the largest model asked, if the largest would
	// answer well within the route's target. lateEscalationConfidence is the
	// threshold if its answer would come at the target or later. A late second
	// answer is worth less than a first one that may be good enough, and it
	// delays other requests.
	earlyEscalationConfidence = 58.0
	lateEscalationConfidence  = 28.0
	// earlyTargetFraction is the fraction of the target up to which the
	// expected wait does not lower the threshold.
	earlyTargetFraction = 0.3
	// minUrgencyTime is the time that an engine reads a prompt from which
	// urgencies are counted. Urgencies go from minUrgency to maxUrgency.
	// Upstreams treat calls without an urgency as 5.
	minUrgencyTime = 8
	minUrgency     = 1
	maxUrgency     = 5
	// urgencyStepFactor is the ratio of reading times between two urgencies.
	urgencyStepFactor = 4
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
	// startTimeoutFactor bounds the wait for the start of an answer as a
	// multiple of the usual wait. minStartTimeout is the shortest bound.
	startTimeoutFactor = 6
	minStartTimeout    = 1500 * time.Millisecond
)

// initialModel returns the model that is tried first for a request, empty if
// the request names its model or needs none.
func initialModel(task *Task) tables.ModelID {
	models := task.Request.Route.Models
	if len(models) == 0 || task.Request.Model != "" {
		return ""
	}
	return models[0]
}

// escalationModel returns the larger model to ask if the confidence of an answer
// is too low, or an empty one if the answer is accepted.
func (d *Dispatcher) escalationModel(now time.Time, task *Task, confidence int) tables.ModelID {
	models := task.Request.Route.Models
	if task.model == "" || confidence < 0 {
		return ""
	}
	largest := models[len(models)-1]
	if float64(confidence) >= d.escalationConfidence(now, task, largest) {
		return ""
	}
	if task.model == largest || !task.Request.Route.Repeatable() {
		return ""
	}
	if task.PossibleRuns+1 >= max(1, task.Request.Route.MaxAttempts) || task.calls >= maxCalls {
		return ""
	}
	if task.service.retries.Remaining(now, d.limits.Retries, d.instances) < 1 {
		return ""
	}
	return largest
}

// escalationConfidence returns the confidence below which the larger model is
// asked.
func (d *Dispatcher) escalationConfidence(now time.Time, task *Task, larger tables.ModelID) float64 {
	target := task.Request.Route.LatencyTarget
	if target <= 0 {
		return earlyEscalationConfidence
	}
	expectedWait := now.Sub(task.Request.ArrivedAt) + d.expectedStart(now, task, larger)
	lateness := (expectedWait.Seconds()/target.Seconds() - earlyTargetFraction) / (1 - earlyTargetFraction)
	return earlyEscalationConfidence - (earlyEscalationConfidence-lateEscalationConfidence)*min(1, max(0, lateness))
}

// startTimeout returns how long to wait for the start of an answer before the
// request is sent to another upstream, zero to wait until the deadline.
func (d *Dispatcher) startTimeout(task *Task, call *Call, remaining time.Duration) time.Duration {
	route := task.Request.Route
	if !route.Repeatable() {
		return 0
	}
	timeout := max(minStartTimeout, startTimeoutFactor*call.ExpectedStart)
	if route.LatencyTarget > 0 && route.Kind == catalog.Safe {
		timeout = min(timeout, 3*route.LatencyTarget)
	}
	if timeout >= remaining {
		return 0
	}
	return timeout
}

// promptWait returns the expected wait for the start of a model's answer to the
// task.
func (d *Dispatcher) promptWait(task *Task, model tables.ModelID) placement.PromptWait {
	e, prompt := d.estimator(task, model), task.prompt()
	wait := placement.PromptWait{
		RemotePenalty: forecast.NewMilliseconds(task.latencyTarget()) * remotePenaltyFraction,
		AtHolder:      e.Wait(prompt, forecast.CacheHolder),
		Elsewhere:     e.Wait(prompt, forecast.Elsewhere),
		MoveCost:      minMoveCost + moveCostFactor*e.MoveCost(prompt),
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
	return wait.At(u, u == cacheHolder).Duration()
}

// urgencyFor returns the rank among the prompts that wait at an upstream: the
// shorter a prompt's reading time, the earlier. A short prompt behind a long one
// would wait many times its own reading time, while the long one loses little
// by letting it pass. Prompts of the same urgency keep the order of their
// arrival, so that long ones wait only for much shorter ones.
func urgencyFor(readTime forecast.Milliseconds) int {
	steps := math.Log(max(1, float64(readTime)/minUrgencyTime)) / math.Log(urgencyStepFactor)
	return min(maxUrgency, int(steps)+minUrgency)
}

// urgencyMix is the mix of urgencies in a service's work. The zero value has no
// work.
type urgencyMix struct {
	// work is the recent work by urgency, with a decreasing weight for older
	// work.
	work [maxUrgency + 1]float64
}

// mixMemory is the factor by which the weight of past work decreases with each
// call.
const mixMemory = 0.98

// add adds the work of a call.
func (m *urgencyMix) add(urgency int, work float64) {
	for i := range m.work {
		m.work[i] *= mixMemory
	}
	m.work[urgency] += work
}

// shareAhead returns the share of the work that engines do before a prompt of
// the urgency that arrives after it.
func (m *urgencyMix) shareAhead(urgency int) float64 {
	ahead, total := 0.0, 0.0
	for i, work := range m.work {
		total += work
		if i <= urgency {
			ahead += work
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
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
