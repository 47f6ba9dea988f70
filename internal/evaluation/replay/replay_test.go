package replay

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/standin/tracegen"
)

// recordTrace returns a trace of a scenario that is cut to the given length.
func recordTrace(t *testing.T, name string, length time.Duration) []byte {
	t.Helper()
	scenario, err := tracegen.FindScenario(name)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Duration = length
	var trace bytes.Buffer
	if err := tracegen.Generate(&trace, scenario, 1); err != nil {
		t.Fatal(err)
	}
	return trace.Bytes()
}

// replayTrace returns the results of a replay and fails the test on an error.
func replayTrace(t *testing.T, trace []byte, policy string) Results {
	t.Helper()
	results, err := Run("trace", bytes.NewReader(trace), policy)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// TestRunIsDeterministic guards against results that depend on the order
// of a map or on the real time.
func TestRunIsDeterministic(t *testing.T) {
	for _, name := range []string{"sauna", "flood", "lost_capacity"} {
		t.Run(name, func(t *testing.T) {
			trace := recordTrace(t, name, time.Minute)
			first := replayTrace(t, trace, PolicyFull)
			for range 3 {
				is.New(t).Equal(replayTrace(t, trace, PolicyFull), first)
			}
		})
	}
}

// TestEveryRequestIsServedOrRefused guards against requests that are lost or
// counted twice when upstreams fail, under each policy.
func TestEveryRequestIsServedOrRefused(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy, func(t *testing.T) {
			results := replayTrace(t, recordTrace(t, "lost_capacity", 70*time.Second), policy)
			refused := 0
			for _, count := range results.Refusals {
				refused += count
			}
			is.New(t).Equal(results.Served+refused, results.Requests)
		})
	}
}

// TestForbiddenAnswersAreCounted guards against a replay that misses forbidden
// answers. The collector records a version as withdrawn, but the routers do
// not, so they keep using it.
func TestForbiddenAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	trace := recordTrace(t, "sauna", time.Minute)
	is.Equal(replayTrace(t, trace, PolicyFull).ForbiddenAnswers, 0)
	c := newCollector()
	c.withdrawnAt["small-v1"] = 0
	s := &simulation{collector: c}
	is.Equal(countsForbidden(t, trace, s), true)
}

// countsForbidden reports whether a replay with the collector of another
// simulation counts forbidden answers.
func countsForbidden(t *testing.T, trace []byte, tampered *simulation) bool {
	t.Helper()
	results, err := runWith("trace", bytes.NewReader(trace), PolicyFull, func(s *simulation) {
		s.collector = tampered.collector
	})
	if err != nil {
		t.Fatal(err)
	}
	return results.ForbiddenAnswers > 0
}
