package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

const (
	// calmDoubt is the confidence below which an answer of a smaller model is
	// asked for again of the largest while that one answers well within the
	// route's target; busyDoubt is the same when its answer would come at the
	// target. A second answer that comes late is worth less than a first one
	// that may be good enough, and makes others late.
	calmDoubt = 58.0
	busyDoubt = 28.0
	// calmPart is the part of the target up to which a wait is calm.
	calmPart = 0.3
	// shortReading is the reading of the first urgency, in tokens of the dearest
	// model. Urgencies go from firstUrgency to lastUrgency; calls without one
	// count as 5, and so do the longest.
	shortReading = 300
	firstUrgency = 1
	lastUrgency  = 5
	// urgencyStep is how many times the reading a step of urgency stands for.
	urgencyStep = 4
	// answerPart is the part of a request's work that its answer makes, and
	// middlingPrompt the prompt, in tokens, that makes as much as a request
	// without a prompt.
	answerPart     = 0.4
	middlingPrompt = 6000.0
	// leastWork is the work of a request on the cheapest model; a request on
	// the dearest one counts as one.
	leastWork = 0.2
	// startedPart is the part of a call's work that is left once its answer has
	// started: its prompt no longer keeps others waiting, its events slow them.
	startedPart = 0.6
	// startFactor and leastStart bound the wait for the start of an answer, as
	// a multiple of the usual one and at least.
	startFactor = 6
	leastStart  = 1500 * time.Millisecond
)

// firstModel returns the model that a request tries first, empty where the
// request names it or needs none.
func firstModel(task *Task) tables.ModelID {
	models := task.Request.Route.Models
	if len(models) == 0 || task.Request.Model != "" {
		return ""
	}
	return models[0]
}

// escalate returns the larger model that a doubtful answer is asked for again
// of, or an empty one if the answer is taken.
func (d *Dispatcher) escalate(now time.Time, task *Task, confidence int) tables.ModelID {
	models := task.Request.Route.Models
	if task.model == "" || confidence < 0 {
		return ""
	}
	largest := models[len(models)-1]
	if float64(confidence) >= d.doubt(now, task, largest) {
		return ""
	}
	if task.model == largest || !task.Request.Route.Repeatable() {
		return ""
	}
	if task.Runs+1 >= max(1, task.Request.Route.MaxAttempts) || task.calls >= mostCalls {
		return ""
	}
	if task.service.retries.Left(now, d.bounds.Retries, d.instances) < 1 {
		return ""
	}
	return largest
}

// doubt returns the confidence below which an answer is asked for again of a
// larger model.
func (d *Dispatcher) doubt(now time.Time, task *Task, larger tables.ModelID) float64 {
	target := task.Request.Route.Target
	if target <= 0 {
		return calmDoubt
	}
	wait := now.Sub(task.Request.Arrived)
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), larger}]; l != nil {
		wait += l.start.value
	}
	busy := (wait.Seconds()/target.Seconds() - calmPart) / (1 - calmPart)
	return calmDoubt - (calmDoubt-busyDoubt)*min(1, max(0, busy))
}

// startBound returns how long to wait for the start of an answer before the
// request is sent elsewhere, zero for as long as there is time.
func (d *Dispatcher) startBound(task *Task, left time.Duration) time.Duration {
	if !task.Request.Route.Repeatable() {
		return 0
	}
	bound := leastStart
	if l := task.service.latencies[latencyKey{task.Request.Route.Class(), task.model}]; l != nil {
		bound = max(bound, startFactor*l.start.value)
	}
	if target := task.Request.Route.Target; target > 0 && task.Request.Route.Kind == catalog.Safe {
		bound = min(bound, 3*target)
	}
	if bound >= left {
		return 0
	}
	return bound
}

// urgencyOf returns the order of a call among those that wait at its upstream:
// the less a prompt has to be read, the earlier. A short prompt behind a long
// one waits many times its own length, while the long one hardly notices the
// short one. Prompts within a step keep the order of their arrival, so long ones
// wait for shorter ones only where those are much shorter.
func (d *Dispatcher) urgencyOf(task *Task) *int {
	if len(task.Request.Route.Models) == 0 || task.Request.Prompt <= 0 {
		return nil
	}
	reading := float64(task.Request.Prompt) * d.workOf(task)
	urgency := int(math.Log(max(1, reading/shortReading))/math.Log(urgencyStep)) + firstUrgency
	urgency = min(lastUrgency, urgency)
	return &urgency
}

// workOf returns the work that a request brings to an upstream.
func (d *Dispatcher) workOf(task *Task) float64 {
	if task.model == "" || d.index == nil {
		return 1
	}
	service := d.index.Service(task.service.name)
	if service == nil || service.Engine == nil {
		return 1
	}
	cost, most := 0.0, 0.0
	for _, model := range service.Engine.Models {
		most = max(most, model.Cost)
		if model.Name == task.model {
			cost = model.Cost
		}
	}
	if most <= 0 {
		return 1
	}
	return max(leastWork, cost/most)
}

// sizeOf returns the work of a request against one with a middling prompt. A
// part of it does not depend on the prompt: the answer.
func sizeOf(task *Task) float64 {
	if task.Request.Prompt <= 0 {
		return 1
	}
	return answerPart + float64(task.Request.Prompt)/middlingPrompt
}
