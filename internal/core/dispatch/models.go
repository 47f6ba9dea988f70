package dispatch

import (
	"slices"
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
	// backlogTimeoutFactor bounds the wait from below as a multiple of the
	// reading that the upstream has in flight.
	backlogTimeoutFactor = 2
	// startTimeoutFactor bounds the wait for the start of an answer as a
	// multiple of the expected wait. minStartTimeout is the shortest bound.
	startTimeoutFactor = 6
	minStartTimeout    = placement.MaxSilence
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
	if task.readsPrompt() {
		// An engine that reads a long prompt sends nothing to others either.
		timeout = max(timeout, backlogTimeoutFactor*forecast.Milliseconds(call.UpstreamWork*call.Pace).Duration())
	}
	if route.LatencyTarget > 0 && route.Kind == catalog.Safe {
		timeout = min(timeout, 3*route.LatencyTarget)
	}
	if timeout >= remaining {
		return 0
	}
	return timeout
}

// isModelKnown reports whether the configuration lists the model of the task's next call
// among those of its service. A service that lists none may have any.
func (d *Dispatcher) isModelKnown(task *Task) bool {
	if !d.hasModels(task.service) {
		return true
	}
	model, listed := task.runModel(), d.index.Service(task.service.name).Engine.Models
	return len(listed) == 0 || slices.ContainsFunc(listed, func(m catalog.Model) bool { return m.Name == model })
}
