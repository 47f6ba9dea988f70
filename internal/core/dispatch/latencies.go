package dispatch

import (
	"slices"
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// sampleWindow holds the latest samples of a duration. The zero value has no
// samples.
type sampleWindow struct {
	samples []time.Duration
	// next is the index of the oldest sample once the window is full.
	next int
}

// maxWindowSamples is long enough for a disruption of some seconds to change less
// than half of the samples.
const maxWindowSamples = 256

// observe adds a sample, in place of the oldest one if the window is full.
func (w *sampleWindow) observe(sample time.Duration) {
	if len(w.samples) < maxWindowSamples {
		w.samples = append(w.samples, sample)
		return
	}
	w.samples[w.next] = sample
	w.next = (w.next + 1) % maxWindowSamples
}

// median returns the median of the samples, and false if they are too few.
func (w *sampleWindow) median() (time.Duration, bool) {
	if len(w.samples) < minLatencySamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(w.samples))
	return sorted[len(sorted)/2], true
}

// latencyKey identifies answers that take about equally long.
type latencyKey struct {
	class tables.ClassID
	model tables.ModelID
}

// latencyStats are the usual latencies of similar answers: the wait for the
// start, and the mean gap between events.
type latencyStats struct {
	start sampleWindow
	gap   sampleWindow
}

// anyClass is the class for statistics over all classes of a model.
const anyClass tables.ClassID = ""

const (
	// slowFactor is the multiple of the usual latency beyond which an answer is
	// slow. The median is the usual one, since overloaded upstreams raise a mean.
	slowFactor = 4
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
	if s.tracker.InProgress() && s.ranOnTarget(task) {
		return
	}
	l := s.latencyStats(latencyKey{task.Request.Route.Class(), call.Model})
	gap := s.atUsualPace(task, call, call.MeanGap())
	l.start.observe(s.atUsualPace(task, call, call.startLatency))
	if call.events > 0 {
		l.gap.observe(gap)
	}
	if call.events >= minGaps {
		s.latencyStats(latencyKey{anyClass, call.Model}).gap.observe(gap)
	}
}

// atUsualPace returns how long a part of an answer would have taken at the usual pace. Most
// answers come from fast upstreams, so that a good target of a rollout would look slow beside
// them. The target's own answers are not corrected, since that would hide a slow version.
func (s *service) atUsualPace(task *Task, call *Call, observed time.Duration) time.Duration {
	if s.tracker.InProgress() && s.ranOnTarget(task) {
		return observed
	}
	if pace := call.upstream.LastingPace(); pace != 1 {
		return time.Duration(float64(observed) / pace)
	}
	return observed
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

// quick reports whether the mean gap of an answer was at most the usual one of its
// model. Known is false if there is too little data to compare.
func (s *service) quick(task *Task, call *Call) (quick, known bool) {
	l := s.latencies[latencyKey{anyClass, call.Model}]
	if l == nil || call.events < minGaps {
		return false, false
	}
	usual, known := l.gap.median()
	return known && s.atUsualPace(task, call, call.MeanGap()) <= usual, known
}

// slow reports whether an answer took several times longer than usual. Without
// statistics, as after a start late in a rollout, an answer that is not a
// stream is slow beyond half of its route's target time.
func (s *service) slow(task *Task, call *Call) bool {
	l := s.latencies[latencyKey{task.Request.Route.Class(), call.Model}]
	if l == nil || len(l.start.samples) < minLatencySamples {
		route := task.Request.Route
		return route.Kind != catalog.Streaming && route.LatencyTarget > 0 && call.startLatency > route.LatencyTarget/2
	}
	return l.start.isOutlier(s.atUsualPace(task, call, call.startLatency)) ||
		(call.events > 0 && l.gap.isOutlier(s.atUsualPace(task, call, call.MeanGap())))
}

// isOutlier reports whether a sample is several times the median. It is false
// until the window has enough samples.
func (w *sampleWindow) isOutlier(sample time.Duration) bool {
	usual, known := w.median()
	return known && sample > slowFactor*usual
}
