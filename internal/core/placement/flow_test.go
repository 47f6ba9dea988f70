package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
)

// TestOverusedUpstreamPassesCallsOn guards against two faults: a cache holder that keeps all calls
// with its keys although it has had twice the mean work, and calls of one key that are spread
// over all upstreams, each of which would read the shared parts.
func TestOverusedUpstreamPassesCallsOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	upstreams := newUpstreams(12)
	c := Chooser{Random: rand.New(rand.NewPCG(1, 1))}
	criteria := Criteria{AffinityKey: 77, Prompt: &PromptWait{MoveCost: 100}}
	_, holder, _ := c.Choose(now, upstreams, criteria)
	for _, u := range upstreams {
		u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: 1})
		u.SetOthersFlow(2000)
	}
	holder.SetOthersFlow(2120)
	for _, u := range upstreams {
		u.CompareUsage(now, 2000, 50)
	}
	chosen := map[*Upstream]int{}
	for range 1000 {
		u, _, _ := c.Choose(now, upstreams, criteria)
		chosen[u]++
	}
	is.Equal(len(chosen), 2)
	is.True(chosen[holder] > 400 && chosen[holder] < 700)
}

// TestFewCallsMoveNoKeys guards an instance that is cut off from the sums: a single call is twice
// the mean work there, and must not send the next one with its key elsewhere.
func TestFewCallsMoveNoKeys(t *testing.T) {
	is := is.New(t)
	u := newUpstreams(1)[0]
	u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: 1})
	u.RecordFlow(now, 100)
	u.CompareUsage(now, 30, 60)
	is.True(u.flow.keep > 0.8)
}

// TestNewUpstreamsAreNotCompared guards against a fleet that turns to upstreams which have just come,
// since they have had little work, with keys that these have not cached.
func TestNewUpstreamsAreNotCompared(t *testing.T) {
	is := is.New(t)
	var old, late Upstream
	lateAt := now.Add(time.Minute)
	for u, at := range map[*Upstream]time.Time{&old: now, &late: lateAt} {
		u.SetEntry(at, catalog.Upstream{ID: "u", Ready: true})
		u.RecordLoad(at, ReportedLoad{Slots: 4, Pace: 1})
	}
	is.True(old.Comparable(lateAt, now))
	is.True(!late.Comparable(lateAt, now))
	is.True(late.Comparable(lateAt.Add(flowHalfLife), now))
	// All are new to an instance that has just started.
	is.True(late.Comparable(lateAt, lateAt))
}
