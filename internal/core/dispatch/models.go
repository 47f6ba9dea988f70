package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

const (
	// earlyEscalationConfidence is the confidence below which an answer of a smaller model is
	// asked for again of the largest while that one answers well within the
	// route's target; busyDoubt is the same when its answer would come at the
	// target. A second answer that comes late is worth less than a first one
	// that may be good enough, and makes others late.
	earlyEscalationConfidence = 58.0
	lateEscalationConfidence  = 28.0
	// earlyTargetFraction is the part of the target up to which a wait is calm.
	earlyTargetFraction = 0.3
	// minUrgencyTokens is the reading of the first urgency, in tokens of the dearest
	// model. Urgencies go from firstUrgency to lastUrgency; calls without one
	// count as 5, and so do the longest.
	minUrgencyTokens = 300
	minUrgency       = 1
	maxUrgency       = 5
	// urgencyStepFactor is how many times the reading a step of urgency stands for.
	urgencyStepFactor = 4
	// answerWorkFraction is the part of a request's work that its answer makes, and
	// middlingPrompt the prompt, in tokens, that makes as much as a request
	// without a prompt.
	answerWorkFraction    = 0.4
	referencePromptTokens = 6000.0
	// minModelWork is the work of a request on the cheapest model; a request on
	// the dearest one counts as one.
	minModelWork = 0.2
	// startedWorkFraction is the part of a call's work that is left once its answer has
	// started: its prompt no longer keeps others waiting, its events slow them.
	startedWorkFraction = 0.6
	// startTimeoutFactor and minStartTimeout bound the wait for the start of an answer, as
	// a multiple of the usual one and at least.
	startTimeoutFactor = 6
	minStartTimeout    = 1500 * time.Millisecond
)

// initialModel returns the model that a request tries first, empty where the
// request names it or needs none.
func initialModel(task *Task) tables.ModelID {
	models := task.Request.Route.Models
	if len(models) == 0 || task.Request.Model != "" {
		return ""
	}
	return models[0]
}

// escalationModel returns the larger model that a doubtful answer is asked for again
// of, or an empty one if the answer is taken.
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
	if task.Runs+1 >= max(1, task.Request.Route.MaxAttempts) || task.calls >= maxCalls {
		return ""
	}
	if task.service.retries.Remaining(now, d.bounds.Retries, d.instances) < 1 {
		return ""
	}
	return largest
}

// escalationConfidence returns the confidence below which an answer is asked for again of a
// larger model.
func (d *Dispatcher) escalationConfidence(now time.Time, task *Task, larger tables.ModelID) float64 {
	target := task.Request.Route.Target
	if target <= 0 {
		return earlyEscalationConfidence
	}
	expectedWait := now.Sub(task.Request.Arrived)
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), larger}]; l != nil {
		expectedWait += l.start.value
	}
	lateness := (expectedWait.Seconds()/target.Seconds() - earlyTargetFraction) / (1 - earlyTargetFraction)
	return earlyEscalationConfidence - (earlyEscalationConfidence-lateEscalationConfidence)*min(1, max(0, lateness))
}

// startTimeout returns how long to wait for the start of an answer before the
// request is sent elsewhere, zero for as long as there is time.
func (d *Dispatcher) startTimeout(task *Task, remaining time.Duration) time.Duration {
	if !task.Request.Route.Repeatable() {
		return 0
	}
	timeout := minStartTimeout
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), task.model}]; l != nil {
		timeout = max(timeout, startTimeoutFactor*l.start.value)
	}
	if target := task.Request.Route.Target; target > 0 && task.Request.Route.Kind == catalog.Safe {
		timeout = min(timeout, 3*target)
	}
	if timeout >= remaining {
		return 0
	}
	return timeout
}

// urgencyFor returns the order of a call among those that wait at its upstream:
// the less a prompt has to be read, the earlier. A short prompt behind a long
// one waits many times its own length, while the long one hardly notices the
// short one. Prompts within a step keep the order of their arrival, so long ones
// wait for shorter ones only where those are much shorter.
func (d *Dispatcher) urgencyFor(task *Task) *int {
	if len(task.Request.Route.Models) == 0 || task.Request.Prompt <= 0 {
		return nil
	}
	weightedTokens := float64(task.Request.Prompt) * d.modelWork(task)
	urgency := int(math.Log(max(1, weightedTokens/minUrgencyTokens))/math.Log(urgencyStepFactor)) + minUrgency
	urgency = min(maxUrgency, urgency)
	return &urgency
}

// modelWork returns the work that a request brings to an upstream.
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
		maxCost = max(maxCost, model.Cost)
		if model.Name == task.model {
			cost = model.Cost
		}
	}
	if maxCost <= 0 {
		return 1
	}
	return max(minModelWork, cost/maxCost)
}

// promptWork returns the work of a request against one with a middling prompt. A
// part of it does not depend on the prompt: the answer.
func promptWork(task *Task) float64 {
	if task.Request.Prompt <= 0 {
		return 1
	}
	return answerWorkFraction + float64(task.Request.Prompt)/referencePromptTokens
}
