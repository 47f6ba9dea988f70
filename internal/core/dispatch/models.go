package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/catalog"
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
	// minUrgencyTokens is the size of a prompt, in tokens of the most expensive
	// model, from which urgencies are counted. Urgencies go from minUrgency to
	// maxUrgency, which also covers the longest prompts. Upstreams treat calls
	// without an urgency as 5.
	minUrgencyTokens = 300
	minUrgency       = 1
	maxUrgency       = 5
	// urgencyStepFactor is the ratio of prompt sizes between two urgencies.
	urgencyStepFactor = 4
	// answerWork is the work of generating an answer, in units of a request
	// without a prompt. referencePromptTokens is the length of a prompt whose
	// reading takes one unit of work.
	answerWork            = 0.4
	referencePromptTokens = 6000.0
	// minModelWork is the work of a request to the cheapest model, relative to
	// one to the most expensive model.
	minModelWork = 0.2
	// startedWorkFraction is the fraction of a call's work that is left once
	// its answer has started. Its prompt no longer delays other prompts, but
	// its events still slow them.
	startedWorkFraction = 0.6
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
	expectedWait := now.Sub(task.Request.ArrivedAt)
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), larger}]; l != nil {
		expectedWait += l.start.value
	}
	lateness := (expectedWait.Seconds()/target.Seconds() - earlyTargetFraction) / (1 - earlyTargetFraction)
	return earlyEscalationConfidence - (earlyEscalationConfidence-lateEscalationConfidence)*min(1, max(0, lateness))
}

// startTimeout returns how long to wait for the start of an answer before the
// request is sent to another upstream, zero to wait until the deadline.
func (d *Dispatcher) startTimeout(task *Task, remaining time.Duration) time.Duration {
	if !task.Request.Route.Repeatable() {
		return 0
	}
	timeout := minStartTimeout
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), task.model}]; l != nil {
		timeout = max(timeout, startTimeoutFactor*l.start.value)
	}
	if target := task.Request.Route.LatencyTarget; target > 0 && task.Request.Route.Kind == catalog.Safe {
		timeout = min(timeout, 3*target)
	}
	if timeout >= remaining {
		return 0
	}
	return timeout
}

// urgencyFor returns the rank of a call among those that wait at its upstream:
// the less work its prompt is, the earlier. A short prompt behind a long one
// would wait many times its own reading time, while the long one loses little
// by letting it pass. Prompts of the same urgency keep the order of their
// arrival, so that long ones wait only for much shorter ones.
func (d *Dispatcher) urgencyFor(task *Task) *int {
	if len(task.Request.Route.Models) == 0 || task.Request.PromptTokens <= 0 {
		return nil
	}
	weightedTokens := float64(task.Request.PromptTokens) * d.modelWork(task)
	urgency := int(math.Log(max(1, weightedTokens/minUrgencyTokens))/math.Log(urgencyStepFactor)) + minUrgency
	urgency = min(maxUrgency, urgency)
	return &urgency
}

// modelWork returns the work of a request to the task's model, as a fraction of
// that of a request to the service's most expensive model.
func (d *Dispatcher) modelWork(task *Task) float64 {
	if task.model == "" || d.index == nil {
		return 1
	}
	service := d.index.Service(task.service.name)
	if service == nil || service.Engine == nil {
		return 1
	}
	cost, maxCost := 0.0, 0.0
	for _, model := range service.Engine.Models {
		maxCost = max(maxCost, model.CostPerThousandTokens)
		if model.Name == task.model {
			cost = model.CostPerThousandTokens
		}
	}
	if maxCost <= 0 {
		return 1
	}
	return max(minModelWork, cost/maxCost)
}

// promptWork returns the work of a request by the length of its prompt, in
// units of a request without a prompt. The part for the answer does not depend
// on the prompt.
func promptWork(task *Task) float64 {
	if task.Request.PromptTokens <= 0 {
		return 1
	}
	return answerWork + float64(task.Request.PromptTokens)/referencePromptTokens
}
