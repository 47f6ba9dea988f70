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

// maxMovingMeanSamples is the number of samples over which a moving mean is
// taken.
const maxMovingMeanSamples = 32

// observe adds a sample to the mean.
func (m *movingMean) observe(sample time.Duration) {
	m.samples = min(maxMovingMeanSamples, m.samples+1)
	m.value += (sample - m.value) / time.Duration(m.samples)
}

// latencyKey identifies answers that take about equally long.
type latencyKey struct {
	class tables.ClassID
	model tables.ModelID
}

// latencyStats are the usual latencies of similar answers: the wait for the
// start, and the mean gap between events.
type latencyStats struct {
	start movingMean
	gap   movingMean
}

// anyClass is the class for statistics over all classes of a model.
const anyClass tables.ClassID = ""

const (
	// slowFactor is the multiple of the usual latency beyond which an answer is
	// slow.
	slowFactor = 4
	// quickFactor is how many times shorter than usual the gaps of a quick
	// answer are. An upstream without other work reaches this.
	quickFactor = 1.3
	// minGaps is the number of gaps in an answer from which their mean is
	// compared.
	minGaps = 2
	// minLatencySamples is the number of answers from which the statistics are
	// used.
	minLatencySamples = 6
)

// observeLatency adds the latencies of an answer to the statistics, unless it
// comes from the target of a rollout in progress.
func (s *service) observeLatency(task *Task, call *Call) {
	if task.version != baselineVersion && s.tracker.InProgress() {
		return
	}
	l := s.latencyStats(latencyKey{task.Request.Route.Class(), call.Model})
	l.start.observe(call.startLatency)
	if call.events > 0 {
		l.gap.observe(call.MeanGap())
	}
	if call.events >= minGaps {
		s.latencyStats(latencyKey{anyClass, call.Model}).gap.observe(call.MeanGap())
	}
}

// latencyStats returns the statistics of the key, which it creates if there are
// none.
func (s *service) latencyStats(key latencyKey) *latencyStats {
	l := s.latencies[key]
	if l == nil {
		l = &latencyStats{}
		s.latencies[key] = l
	}
	return l
}

// quick reports whether the mean gap of an answer was well below the usual one
// of its model. Known is false if there is too little data to compare.
func (s *service) quick(call *Call) (quick, known bool) {
	l := s.latencies[latencyKey{anyClass, call.Model}]
	if l == nil || l.gap.samples < minLatencySamples || call.events < minGaps {
		return false, false
	}
	return float64(call.MeanGap()) < float64(l.gap.value)/quickFactor, true
}

// slow reports whether an answer took several times longer than usual. Without
// statistics, as after a start late in a rollout, an answer that is not a
// stream is slow beyond half of its route's target time.
func (s *service) slow(task *Task, call *Call) bool {
	l := s.latencies[latencyKey{task.Request.Route.Class(), call.Model}]
	if l == nil || l.start.samples < minLatencySamples {
		route := task.Request.Route
		return route.Kind != catalog.Streaming && route.LatencyTarget > 0 && call.startLatency > route.LatencyTarget/2
	}
	return l.start.isOutlier(call.startLatency) || (call.events > 0 && l.gap.isOutlier(call.MeanGap()))
}

// isOutlier reports whether a sample is several times the mean. It is false
// until the mean has enough samples.
func (m *movingMean) isOutlier(sample time.Duration) bool {
	return m.samples >= minLatencySamples && sample > slowFactor*m.value
}
