package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/routing"
)

// Names of the policies.
const (
	PolicyFull           = "full"
	PolicyRoundRobin     = "round_robin"
	PolicyAlwaysBest     = "always_best"
	PolicyFixedThreshold = "fixed_threshold"
	PolicyLeastReported  = "least_reported"
	PolicyNoDetection    = "no_detection"
)

// fixedThresholdBucket is the lowest confidence bucket in which the
// fixed-threshold policy accepts an answer.
const fixedThresholdBucket = cascades.Bucket(4)

// Policies returns the names of all policies.
func Policies() []string {
	return []string{PolicyFull, PolicyRoundRobin, PolicyAlwaysBest, PolicyFixedThreshold, PolicyLeastReported, PolicyNoDetection}
}

// newPolicy returns the policy with a name, the full policy if the name is
// empty. Each baseline differs from the full policy in the one decision that it
// is named after. It returns an error for an unknown name.
func newPolicy(name string) (router.Policy, error) {
	policy := router.Policy{Name: name}
	switch name {
	case PolicyFull, "":
	case PolicyRoundRobin:
		policy.Choose = newRoundRobin()
	case PolicyAlwaysBest:
		policy.Plan = planLastStage
	case PolicyFixedThreshold:
		policy.Plan = planFixedThreshold
	case PolicyLeastReported:
		policy.Choose = chooseLeastReported
	case PolicyNoDetection:
		policy.NoDetection = true
	default:
		return policy, fmt.Errorf("no policy is named %q; want one of %v", name, Policies())
	}
	return policy, nil
}

// chooseLeastReported chooses the upstream with the fewest running calls in its
// last load report. The search starts at a random upstream, so that ties are
// broken at random.
func chooseLeastReported(s *routing.UpstreamSet, _ time.Time, call routing.Call, random *rand.Rand) *routing.Upstream {
	upstreams := s.Upstreams()
	var best *routing.Upstream
	offset := random.IntN(max(1, len(upstreams)))
	for i := range upstreams {
		u := upstreams[(i+offset)%len(upstreams)]
		if u.Config.Draining || u.Config.Name == call.Avoid {
			continue
		}
		if best == nil || u.ReportedRunning() < best.ReportedRunning() {
			best = u
		}
	}
	return best
}

// newRoundRobin returns a function that chooses the upstreams in turn and skips
// those that drain or are to be avoided.
func newRoundRobin() func(*routing.UpstreamSet, time.Time, routing.Call, *rand.Rand) *routing.Upstream {
	next := 0
	return func(s *routing.UpstreamSet, _ time.Time, call routing.Call, _ *rand.Rand) *routing.Upstream {
		upstreams := s.Upstreams()
		for range upstreams {
			next++
			u := upstreams[next%len(upstreams)]
			if !u.Config.Draining && u.Config.Name != call.Avoid {
				return u
			}
		}
		return nil
	}
}

// planLastStage starts every request at the last stage.
func planLastStage(stages []cascades.Stage) cascades.Plan {
	return cascades.Plan{Start: len(stages) - 1, AcceptFrom: make([]cascades.Bucket, len(stages))}
}

// planFixedThreshold starts at the first stage and accepts an answer from
// fixedThresholdBucket on at every stage but the last.
func planFixedThreshold(stages []cascades.Stage) cascades.Plan {
	plan := cascades.Plan{AcceptFrom: make([]cascades.Bucket, len(stages))}
	for s := range len(stages) - 1 {
		plan.AcceptFrom[s] = fixedThresholdBucket
	}
	return plan
}
