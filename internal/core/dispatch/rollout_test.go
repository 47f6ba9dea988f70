package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
)

// answerPattern draws the result of a call and the mean gap between the events of
// its answer.
type answerPattern func(random *rand.Rand, at time.Duration) (Result, time.Duration)

// rolloutFleet plays a rollout from v1 to v2 on several instances that share their
// sums.
type rolloutFleet struct {
	instances []*Dispatcher
	random    *rand.Rand
	rollout   catalog.Rollout
	requests  int
	// old and target are the answers of the versions.
	old, target answerPattern
}

const (
	fleetInstances  = 8
	fleetTick       = 100 * time.Millisecond
	requestsPerTick = 7
	warmUp          = 10 * time.Second
)

func newRolloutFleet(seed uint64, duration time.Duration, old, target answerPattern) *rolloutFleet {
	f := &rolloutFleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		rollout: catalog.Rollout{Service: "llm", Target: "v2", Duration: duration},
		old:     old, target: target,
	}
	mixed := append(newUpstreams("v1", 9), newUpstreams("v2", 9)...)
	for range fleetInstances {
		f.instances = append(f.instances, newDispatcher(mixed...))
	}
	return f
}

// run plays the fleet until the rollout has ended, at most for twice its
// duration, and returns its state.
func (f *rolloutFleet) run(t *testing.T) catalog.RolloutState {
	t.Helper()
	for at := -warmUp; at < 2*f.rollout.Duration && !f.rollout.Progress.State.Ended(); at += fleetTick {
		if at >= 0 {
			for _, d := range f.instances {
				d.SetRollouts(now.Add(at), []catalog.Rollout{f.rollout}, 0)
			}
		}
		for range requestsPerTick {
			f.serve(t, at)
		}
		f.shareTotals(at)
		for _, step := range f.instances[0].DueSteps(now.Add(at)) {
			f.rollout.Progress = step.Progress
		}
	}
	return f.rollout.Progress.State
}

// serve serves a request of its own session at a random instance.
func (f *rolloutFleet) serve(t *testing.T, at time.Duration) {
	t.Helper()
	f.requests++
	route := newRoute(catalog.Streaming)
	id := strconv.Itoa(f.requests)
	d := f.instances[f.random.IntN(len(f.instances))]
	start := now.Add(at)
	task, fault := d.Admit(start, Request{
		ID: id, Route: route, Session: id, PromptTokens: 1000,
		ArrivedAt: start, Deadline: start.Add(route.Timeout),
	})
	if fault != nil {
		t.Fatal(fault)
	}
	for {
		call, fault := d.NextCall(start, task)
		if fault != nil {
			return
		}
		pattern := f.old
		if call.Upstream.Version == "v2" {
			pattern = f.target
		}
		result, gap := pattern(f.random, at)
		started := start.Add(3 * gap)
		if result == Abandoned {
			d.StartAnswer(started, task, call, 100)
		}
		if result == Served || result == Broken && gap > 0 {
			d.StartAnswer(started, task, call, 100)
			for i := range 10 {
				call.RecordEvent(started.Add(time.Duration(i)*gap), gap)
			}
		}
		d.EndCall(started.Add(10*gap), task, call, result)
		if result == Served {
			return
		}
	}
}

// shareTotals gives each instance the sums over the fleet.
func (f *rolloutFleet) shareTotals(at time.Duration) {
	var all []aggregates.Values
	for _, d := range f.instances {
		all = append(all, d.Contribution(now.Add(at)))
	}
	totals := aggregates.Sum(all)
	for i, d := range f.instances {
		d.ApplyTotals(now.Add(at), totals, all[i])
	}
}

// spread draws a gap around the median.
func spread(random *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.3*random.NormFloat64()))
}

// inStorm reports whether upstreams crash at the time, which leaves the others
// overloaded.
func inStorm(at time.Duration) bool {
	return (at+warmUp)%(8*time.Second) < 3*time.Second
}

// overloaded are the answers of a version whose upstreams crash now and then.
func overloaded(random *rand.Rand, at time.Duration) (Result, time.Duration) {
	switch {
	case !inStorm(at):
		return Served, spread(random, 33*time.Millisecond)
	case random.Float64() < 0.3:
		return Broken, spread(random, 150*time.Millisecond)
	}
	return Served, spread(random, 150*time.Millisecond)
}

// paced are the answers of a version with a usual gap whose upstreams crash now and
// then.
func paced(gap time.Duration) answerPattern {
	return func(random *rand.Rand, at time.Duration) (Result, time.Duration) {
		if inStorm(at) && random.Float64() < 0.5 {
			return Broken, spread(random, gap)
		}
		return Served, spread(random, gap)
	}
}

// TestSlowVersionIsNotCompletedWhileOldUpstreamsCrash guards against a slow
// version that looks usual beside an old one that a disruption made slow.
func TestSlowVersionIsNotCompletedWhileOldUpstreamsCrash(t *testing.T) {
	const seeds = 5
	for _, duration := range []time.Duration{12 * time.Second, 26 * time.Second, time.Minute} {
		for _, c := range []struct {
			name string
			gap  time.Duration
			want catalog.RolloutState
		}{
			{"a version three times slower", 75 * time.Millisecond, catalog.RolledBack},
			{"a sound version", 17 * time.Millisecond, catalog.Completed},
		} {
			t.Run(fmt.Sprintf("%s in %v", c.name, duration), func(t *testing.T) {
				for seed := range uint64(seeds) {
					if got := newRolloutFleet(seed, duration, overloaded, paced(c.gap)).run(t); got != c.want {
						t.Errorf("seed %d: the rollout ended as %v, want %v", seed, got, c.want)
					}
				}
			})
		}
	}
}

// TestCutAnswersDoNotCountForAVersion guards against a bad version that is completed
// because its lost answers count as good ones.
func TestCutAnswersDoNotCountForAVersion(t *testing.T) {
	const seeds = 5
	cutOrFailed := func(cut, failed float64) answerPattern {
		return func(random *rand.Rand, _ time.Duration) (Result, time.Duration) {
			gap := spread(random, 17*time.Millisecond)
			switch {
			case random.Float64() < cut:
				return Broken, gap
			case random.Float64() < failed:
				return Failed, gap
			}
			return Served, gap
		}
	}
	for _, c := range []struct {
		name   string
		target answerPattern
	}{
		{"all answers are cut", cutOrFailed(1, 0)},
		{"most are cut and a third of the others fail", cutOrFailed(0.7, 0.35)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if state := newRolloutFleet(seed, 26*time.Second, overloaded, c.target).run(t); state == catalog.Completed {
					t.Errorf("seed %d: the rollout was completed", seed)
				}
			}
		})
	}
}

// TestVersionWithHardlyAnyStreamIsNotCompleted guards against a slow version that is
// completed because nearly all of its streams are cut or dropped early.
func TestVersionWithHardlyAnyStreamIsNotCompleted(t *testing.T) {
	const seeds = 5
	target := func(random *rand.Rand, _ time.Duration) (Result, time.Duration) {
		switch p := random.Float64(); {
		case p < 0.5:
			return Abandoned, spread(random, 17*time.Millisecond)
		case p < 0.97:
			return Broken, 0
		}
		return Served, spread(random, 75*time.Millisecond)
	}
	for seed := range uint64(seeds) {
		if state := newRolloutFleet(seed, 26*time.Second, overloaded, target).run(t); state == catalog.Completed {
			t.Errorf("seed %d: the rollout was completed", seed)
		}
	}
}

// TestStreamsFromBeforeARolloutAreNotOnItsTarget guards against a good version that is not
// completed in time, since the streams that ran when its rollout began count as its exposure.
func TestStreamsFromBeforeARolloutAreNotOnItsTarget(t *testing.T) {
	d := newDispatcher(append(newUpstreams("v1", 9), newUpstreams("v2", 2)...)...)
	task := mustAdmit(t, d, newRoute(catalog.Streaming), "before")
	call := mustNextCall(t, d, task)
	d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute, Progress: catalog.Progress{State: catalog.InProgress}}}, 0)
	d.EndCall(now, task, call, Served)
	if traffic := d.services["llm"].traffic; traffic.Reached != 1 || traffic.TargetReached != 0 {
		t.Errorf("traffic is %+v", traffic)
	}
}
