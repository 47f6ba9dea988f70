package dispatch

import (
	"math"

	"mimosayard/internal/core/forecast"
)

const (
	// minUrgencyTime is the time that an engine reads a prompt from which
	// urgencies are counted. Urgencies go from minUrgency to maxUrgency.
	// Upstreams treat calls without an urgency as 5.
	minUrgencyTime = 8
	minUrgency     = 1
	maxUrgency     = 5
	// urgencyStepFactor is the ratio of reading times between two urgencies.
	urgencyStepFactor = 4
)

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
