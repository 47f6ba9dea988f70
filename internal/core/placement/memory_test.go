package placement

import (
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

// TestFullMemoryIsAvoided guards against an engine that ends since it holds more tokens than fit
// into its memory, while others have room. If none has, one is chosen all the same.
func TestFullMemoryIsAvoided(t *testing.T) {
	is := is.New(t)
	upstreams, c := newUpstreams(3), newChooser()
	for _, u := range upstreams {
		u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: 1})
		u.SetMemory(100_000, 60_000)
	}
	criteria := Criteria{AffinityKey: 7, Tokens: 10_000, Prompt: &PromptWait{MoveCost: 1000}}
	first, _, _ := c.Choose(now, upstreams, criteria)
	first.AddTokens(20_000)
	second, _, _ := c.Choose(now, upstreams, criteria)
	is.True(second != first)
	criteria.Tried = []tables.UpstreamID{second.ID}
	third, _, _ := c.Choose(now, upstreams, criteria)
	is.True(third != first && third != second)
	third.AddTokens(20_000)
	criteria.Tried = nil
	second.AddTokens(20_000)
	last, _, _ := c.Choose(now, upstreams, criteria)
	is.True(last != nil)
	first.AddTokens(-20_000)
	again, _, _ := c.Choose(now, upstreams, criteria)
	is.Equal(again, first)
}

// TestMemoryBoundDoesNotPreferFailingUpstreams guards against calls that go to an engine in
// cooldown, or again to one that was tried, since all sound engines are nearly full.
func TestMemoryBoundDoesNotPreferFailingUpstreams(t *testing.T) {
	is := is.New(t)
	upstreams := newUpstreams(4)
	for _, u := range upstreams {
		u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: 1})
		u.SetMemory(100_000, 84_000)
	}
	failing, tried := upstreams[0], upstreams[1]
	failing.RecordFailure(now, true)
	failing.SetMemory(100_000, 0)
	tried.SetMemory(100_000, 0)
	for key := range uint64(20) {
		criteria := promptCriteria(key)
		criteria.Tokens, criteria.Tried = 10_000, []tables.UpstreamID{tried.ID}
		u := choose(upstreams, criteria)
		is.True(u != failing)
		is.True(u != tried)
	}
}
