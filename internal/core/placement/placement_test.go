package placement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/tables"
)

var now = time.Unix(1000, 0)

// newUpstreams returns ready upstreams without work in the data centre "here".
func newUpstreams(count int) []*Upstream {
	upstreams := make([]*Upstream, count)
	for i := range upstreams {
		upstreams[i] = &Upstream{}
		upstreams[i].SetEntry(now, catalog.Upstream{
			ID: tables.UpstreamID(fmt.Sprintf("u%d", i)), Slots: 8, Ready: true, DataCenter: "here",
		})
	}
	return upstreams
}

func newChooser() *Chooser {
	return &Chooser{Random: rand.New(rand.NewPCG(1, 2))}
}

func choose(upstreams []*Upstream, criteria Criteria) *Upstream {
	chosen, _, _ := newChooser().Choose(now, upstreams, criteria)
	return chosen
}

// promptCriteria returns the criteria of a prompt whose shared parts have the
// key. It reads 100 ms at the cache holder and 300 ms elsewhere.
func promptCriteria(key uint64) Criteria {
	return Criteria{AffinityKey: key, Prompt: &PromptWait{
		AtHolder:  forecast.Line{Base: 100, PerBacklog: 1},
		Elsewhere: forecast.Line{Base: 300, PerBacklog: 1},
		MoveCost:  200,
	}}
}

// TestChoose guards the choice of an upstream. If instances chose different
// upstreams for a key, prompts would miss the caches. An upstream that failed,
// is draining or lost its address must not get work while another is available.
func TestChoose(t *testing.T) {
	t.Run("instances agree on the upstream of a key", func(t *testing.T) {
		is.New(t).Equal(choose(newUpstreams(9), promptCriteria(7)).ID, choose(newUpstreams(9), promptCriteria(7)).ID)
	})
	t.Run("keys spread over the upstreams", func(t *testing.T) {
		upstreams := newUpstreams(9)
		seen := map[tables.UpstreamID]bool{}
		for key := range uint64(200) {
			seen[choose(upstreams, promptCriteria(key+1)).ID] = true
		}
		is.New(t).Equal(len(seen), 9)
	})
	t.Run("a key moves away from an upstream with far more work than the others", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, promptCriteria(7))
		first.AddWork(2000)
		is.New(t).True(choose(upstreams, promptCriteria(7)) != first)
	})
	t.Run("a key moved by load names its upstream as the cache holder", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(9)
		first := choose(upstreams, promptCriteria(7))
		first.AddWork(2000)
		chosen, cacheHolder, source := newChooser().Choose(now, upstreams, promptCriteria(7))
		is.True(chosen != first)
		is.Equal(cacheHolder, first)
		is.Equal(source, first)
	})
	t.Run("a key stays where it is cached while the wait is not much longer", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, promptCriteria(7))
		first.AddWork(350)
		is.New(t).Equal(choose(upstreams, promptCriteria(7)), first)
	})
	t.Run("the cache holder fetches from the upstream to which the key moves", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(9)
		first, _, source := newChooser().Choose(now, upstreams, promptCriteria(7))
		first.AddWork(2000)
		is.Equal(choose(upstreams, promptCriteria(7)), source)
	})
	t.Run("prompts that share nothing spread over idle upstreams", func(t *testing.T) {
		is := is.New(t)
		upstreams, c, seen := newUpstreams(9), newChooser(), map[tables.UpstreamID]bool{}
		for range 200 {
			u, cacheHolder, source := c.Choose(now, upstreams, promptCriteria(0))
			is.Equal(cacheHolder, nil)
			is.Equal(source, nil)
			seen[u.ID] = true
		}
		is.Equal(len(seen), 9)
	})
	t.Run("prompts stay in their data centre if the wait there is about as short", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(6)
		for i, u := range upstreams {
			if i > 0 {
				entry := u.Upstream
				entry.DataCenter = "there"
				u.SetEntry(now, entry)
			}
		}
		criteria := promptCriteria(0)
		criteria.DataCenter, criteria.Prompt.MoveCost, criteria.Prompt.RemotePenalty = "here", 0, 50
		is.Equal(choose(upstreams, criteria), upstreams[0])
		upstreams[0].AddWork(60)
		is.True(choose(upstreams, criteria) != upstreams[0])
	})
	t.Run("an upstream in cooldown is not named as the cache holder", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, promptCriteria(7))
		first.RecordFailure(now, true)
		chosen, cacheHolder, _ := newChooser().Choose(now, upstreams, promptCriteria(7))
		is.New(t).Equal(cacheHolder, chosen)
	})
	t.Run("work of other instances counts towards the load", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, promptCriteria(7))
		first.OthersWork = 2000
		is.New(t).True(choose(upstreams, promptCriteria(7)) != first)
	})
	t.Run("without a key the upstream with the least work is chosen", func(t *testing.T) {
		upstreams := newUpstreams(3)
		upstreams[0].AddWork(4)
		upstreams[2].AddWork(4)
		is.New(t).Equal(choose(upstreams, Criteria{DataCenter: "here"}).ID, upstreams[1].ID)
	})
	t.Run("an upstream that failed gets no work until its cooldown is over", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(2)
		upstreams[0].RecordFailure(now, true)
		for range 20 {
			is.Equal(choose(upstreams, Criteria{}).ID, upstreams[1].ID)
		}
		is.True(upstreams[0].CooldownOver(now.Add(minCooldown)))
	})
	t.Run("an upstream in cooldown is chosen if there is no other", func(t *testing.T) {
		upstreams := newUpstreams(1)
		upstreams[0].RecordFailure(now, true)
		is.New(t).True(choose(upstreams, Criteria{}) != nil)
	})
	t.Run("an upstream whose address is reused is never chosen", func(t *testing.T) {
		upstreams := newUpstreams(1)
		upstreams[0].MarkAddressReused()
		is.New(t).True(choose(upstreams, Criteria{}) == nil)
	})
	t.Run("an upstream that misdirects a model is not chosen for it while there is another", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(2)
		upstreams[0].RecordMisdirection(now, "small")
		for range 20 {
			is.Equal(choose(upstreams, Criteria{Model: "small"}).ID, upstreams[1].ID)
		}
		upstreams[1].RecordFailure(now, true)
		is.Equal(choose(upstreams, Criteria{Model: "small"}).ID, upstreams[1].ID)
	})
	t.Run("an upstream that has misdirected the request is not chosen again", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		upstreams[0].RecordMisdirection(now, "small")
		is.True(choose(upstreams, Criteria{Model: "small", Tried: []tables.UpstreamID{upstreams[0].ID}}) == nil)
		is.True(choose(upstreams, Criteria{Model: "small"}) != nil)
	})
	t.Run("an upstream that misdirects a model is chosen for another", func(t *testing.T) {
		upstreams := newUpstreams(2)
		upstreams[0].RecordMisdirection(now, "small")
		upstreams[1].RecordMisdirection(now, "large")
		is.New(t).Equal(choose(upstreams, Criteria{Model: "large"}).ID, upstreams[0].ID)
	})
	t.Run("a draining upstream is chosen only in its grace period and if there is no other", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		gone := upstreams[0].Upstream
		gone.Ready = false
		upstreams[0].SetEntry(now, gone)
		is.True(choose(upstreams, Criteria{}) != nil)
		chosen, _, _ := newChooser().Choose(now.Add(drainGracePeriod), upstreams, Criteria{})
		is.True(chosen == nil)
	})
	t.Run("an upstream that fails a part of its calls over the fleet is in cooldown", func(t *testing.T) {
		upstreams := newUpstreams(2)
		upstreams[0].FleetCalls, upstreams[0].FleetFailures = 8, 4
		upstreams[0].RecordFailure(now, false)
		is.New(t).True(!upstreams[0].CooldownOver(now))
	})
	t.Run("a single failed answer starts no cooldown", func(t *testing.T) {
		upstreams := newUpstreams(2)
		upstreams[0].RecordFailure(now, false)
		is.New(t).True(upstreams[0].CooldownOver(now))
	})
}

// TestAlive guards against waiting for a silent upstream, and against leaving a
// busy one. Answers to this instance and to others are signs of life.
func TestAlive(t *testing.T) {
	later := now.Add(MaxSilence)
	t.Run("an upstream without a sign of life is not alive", func(t *testing.T) {
		is.New(t).True(!newUpstreams(1)[0].Alive(later))
	})
	t.Run("an answer to this instance is a sign of life", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.RecordSign(now.Add(time.Second))
		is.True(u.Alive(later))
		is.True(!u.Alive(later.Add(time.Second)))
	})
	t.Run("an earlier sign that is recorded late replaces no later one", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.RecordSign(now.Add(time.Second))
		u.RecordSign(now)
		is.True(u.Alive(later))
		is.Equal(u.LastSign(), now.Add(time.Second))
	})
	t.Run("more successful calls over the fleet are a sign of life", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.SetFleetCounts(now.Add(time.Second), 2, 0)
		is.True(u.Alive(later))
	})
	t.Run("more failed calls over the fleet are no sign of life", func(t *testing.T) {
		u := newUpstreams(1)[0]
		u.SetFleetCounts(now.Add(time.Second), 2, 2)
		is.New(t).True(!u.Alive(later))
	})
}

// BenchmarkChoose measures a choice among the upstreams of a present fleet and
// of the largest one that the design allows for.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 600} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			upstreams := newUpstreams(count)
			c := newChooser()
			criteria := promptCriteria(0)
			b.ReportAllocs()
			for i := range b.N {
				criteria.AffinityKey = uint64(i) + 1
				c.Choose(now, upstreams, criteria)
			}
		})
	}
}
