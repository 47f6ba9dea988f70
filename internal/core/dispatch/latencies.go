package dispatch

import (
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// movingMean is a moving mean of durations. The zero value has no samples.
type movingMean struct {
	value   time.Duration
	samples int
}

// maxMovingMeanSamples is the number of samples that a moving mean reaches back.
const maxMovingMeanSamples = 32

func (m *movingMean) observe(sample time.Duration) {
	m.samples = min(maxMovingMeanSamples, m.samples+1)
	m.value += (sample - m.value) / time.Duration(m.samples)
}

// latencyKey names answers that take about as long as each other.
type latencyKey struct {
	class tables.ClassID
	model tables.ModelID
}

// latencyStats is what is usual for answers that are alike.
type latencyStats struct {
	start movingMean
	gap   movingMean
}

// anyClass is the class of what is the same for all classes of a model.
const anyClass tables.ClassID = ""

const (
	// slowFactor is how many times longer than usual a slow answer takes.
	slowFactor = 4
	// quickFactor is how many times shorter than the usual ones the pauses of a
	// quick answer are. An upstream without other work is that quick.
	quickFactor = 1.3
	// minGaps is the number of pauses from which their mean is compared.
	minGaps = 2
	// minLatencySamples is the number of answers from which a pace is trusted.
	minLatencySamples = 6
)

// observeLatency takes the pace of an answer of a version that is not on trial.
func (s *service) observeLatency(task *Task, call *Call) {
	if task.version != baselineVersion && s.release.InProgress() {
		return
	}
	l := s.latencyStats(latencyKey{task.Request.Route.Class(), call.Model})
	l.start.observe(call.startLatency)
	if call.events > 0 {
		l.gap.observe(call.MeanPause())
	}
	if call.events >= minGaps {
		s.latencyStats(latencyKey{anyClass, call.Model}).gap.observe(call.MeanPause())
	}
}

func (s *service) latencyStats(key latencyKey) *latencyStats {
	l := s.latencies[key]
	if l == nil {
		l = &latencyStats{}
		s.latencies[key] = l
	}
	return l
}

// quick reports whether the pauses of an answer were below the usual
// ones of its model, and whether that can be told.
func (s *service) quick(call *Call) (quick, known bool) {
	l := s.latencies[latencyKey{anyClass, call.Model}]
	if l == nil || l.gap.samples < minLatencySamples || call.events < minGaps {
		return false, false
	}
	return float64(call.MeanPause()) < float64(l.gap.value)/quickFactor, true
}

// slow reports whether an answer took several times longer than usual. Where
// nothing is known of what is usual, as after a start late in a rollout, a whole
// answer is slow beyond half of the time that its route wants.
func (s *service) slow(task *Task, call *Call) bool {
	l := s.latencies[latencyKey{task.Request.Route.Class(), call.Model}]
	if l == nil || l.start.samples < minLatencySamples {
		route := task.Request.Route
		return route.Kind != catalog.Streaming && route.Target > 0 && call.startLatency > route.Target/2
	}
	return l.start.isOutlier(call.startLatency) || (call.events > 0 && l.gap.isOutlier(call.MeanPause()))
}

// isOutlier reports whether a sample is several times the mean.
func (m *movingMean) isOutlier(sample time.Duration) bool {
	return m.samples >= minLatencySamples && sample > slowFactor*m.value
}
