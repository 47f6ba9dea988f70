package dispatch

import (
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// mean is a moving mean of durations. The zero value has no samples.
type mean struct {
	value   time.Duration
	samples int
}

// meanSamples is the number of samples that a moving mean reaches back.
const meanSamples = 32

func (m *mean) observe(sample time.Duration) {
	m.samples = min(meanSamples, m.samples+1)
	m.value += (sample - m.value) / time.Duration(m.samples)
}

// paceKey names answers that take about as long as each other.
type paceKey struct {
	class tables.ClassID
	model tables.ModelID
}

// pace is what is usual for answers that are alike.
type pace struct {
	wait  mean
	pause mean
}

// anyClass is the class of what is the same for all classes of a model.
const anyClass tables.ClassID = ""

const (
	// slowFactor is how many times longer than usual a slow answer takes.
	slowFactor = 4
	// quickFactor is how many times shorter than the usual ones the pauses of a
	// quick answer are. An upstream without other work is that quick.
	quickFactor = 1.3
	// fewPauses is the number of pauses from which their mean is compared.
	fewPauses = 2
	// paceSamples is the number of answers from which a pace is trusted.
	paceSamples = 6
)

// observe takes the pace of an answer of a version that is not on trial.
func (s *service) observe(task *Task, call *Call) {
	if task.version != oldVersion && s.release.InProgress() {
		return
	}
	p := s.pace(paceKey{task.Request.Route.Class(), call.Model})
	p.wait.observe(call.waited)
	if call.events > 0 {
		p.pause.observe(call.MeanPause())
	}
	if call.events >= fewPauses {
		s.pace(paceKey{anyClass, call.Model}).pause.observe(call.MeanPause())
	}
}

func (s *service) pace(key paceKey) *pace {
	p := s.paces[key]
	if p == nil {
		p = &pace{}
		s.paces[key] = p
	}
	return p
}

// quick reports whether the pauses of an answer were below the usual
// ones of its model, and whether that can be told.
func (s *service) quick(call *Call) (quick, known bool) {
	p := s.paces[paceKey{anyClass, call.Model}]
	if p == nil || p.pause.samples < paceSamples || call.events < fewPauses {
		return false, false
	}
	return float64(call.MeanPause()) < float64(p.pause.value)/quickFactor, true
}

// slow reports whether an answer took several times longer than usual. Where
// nothing is known of what is usual, as after a start late in a rollout, a whole
// answer is slow beyond half of the time that its route wants.
func (s *service) slow(task *Task, call *Call) bool {
	p := s.paces[paceKey{task.Request.Route.Class(), call.Model}]
	if p == nil || p.wait.samples < paceSamples {
		route := task.Request.Route
		return route.Kind != catalog.Streaming && route.Target > 0 && call.waited > route.Target/2
	}
	return p.wait.exceeded(call.waited) || (call.events > 0 && p.pause.exceeded(call.MeanPause()))
}

// exceeded reports whether a sample is several times the mean.
func (m *mean) exceeded(sample time.Duration) bool {
	return m.samples >= paceSamples && sample > slowFactor*m.value
}
