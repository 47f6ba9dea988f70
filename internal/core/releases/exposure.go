package releases

import "time"

// A Traffic counts the requests of a service since its rollout began, over the
// fleet.
type Traffic struct {
	// Offered counts the requests that were admitted, Reached the calls that
	// reached an upstream, and TargetReached those of them that reached the target.
	Offered       float64
	Reached       float64
	TargetReached float64
}

// withinExposure reports whether the target's part of the requests stays within the
// limit until the rollout's end if the given stage begins now and the later ones
// follow in time. While upstreams of the old version are down, fewer requests reach
// it, so the target's part is larger than its share of the new work.
func (t *Tracker) withinExposure(now time.Time, limits Limits, traffic Traffic, index int) bool {
	remaining := t.remaining(now, limits)
	if remaining <= 0 || traffic.Reached <= 0 {
		return true
	}
	elapsed := max(t.rollout.Duration-remaining, time.Second).Seconds()
	expected := traffic.TargetReached
	for i, begins := index, remaining; i < len(stages); i++ {
		ends := time.Duration(0)
		if i+1 < len(stages) {
			ends = min(begins, t.stageLead(i+1, limits))
		}
		expected += stages[i].trafficShare(limits) * (begins - ends).Seconds() * traffic.Offered / elapsed
		begins = ends
	}
	allowed := limits.MaxExposure*traffic.Reached*(1+remaining.Seconds()/elapsed) + limits.ExposureSlack
	return expected <= allowed
}
