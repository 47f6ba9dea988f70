package placement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
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
	chosen, _ := newChooser().Choose(now, upstreams, criteria)
	return chosen
}

// TestChoose guards the choice of an upstream. If instances chose different
// upstreams for a key, prompts would miss the caches. An upstream that failed,
// is draining or lost its address must not get work while another is available.
func TestChoose(t *testing.T) {
	t.Run("instances agree on the upstream of a key", func(t *testing.T) {
		is.New(t).Equal(choose(newUpstreams(9), Criteria{AffinityKey: 7}).ID, choose(newUpstreams(9), Criteria{AffinityKey: 7}).ID)
	})
	t.Run("keys spread over the upstreams", func(t *testing.T) {
		upstreams := newUpstreams(9)
		seen := map[tables.UpstreamID]bool{}
		for key := range uint64(200) {
			seen[choose(upstreams, Criteria{AffinityKey: key + 1}).ID] = true
		}
		is.New(t).Equal(len(seen), 9)
	})
	t.Run("a key moves away from an upstream with far more work than the others", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, Criteria{AffinityKey: 7})
		first.AddWork(20)
		is.New(t).True(choose(upstreams, Criteria{AffinityKey: 7}) != first)
	})
	t.Run("a key moved by load names its upstream as the cache holder", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(9)
		first := choose(upstreams, Criteria{AffinityKey: 7})
		first.AddWork(20)
		chosen, cacheHolder := newChooser().Choose(now, upstreams, Criteria{AffinityKey: 7})
		is.True(chosen != first)
		is.Equal(cacheHolder, first)
	})
	t.Run("an upstream in cooldown is not named as the cache holder", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, Criteria{AffinityKey: 7})
		first.RecordFailure(now, true)
		chosen, cacheHolder := newChooser().Choose(now, upstreams, Criteria{AffinityKey: 7})
		is.New(t).Equal(cacheHolder, chosen)
	})
	t.Run("work of other instances counts towards the load", func(t *testing.T) {
		upstreams := newUpstreams(9)
		first := choose(upstreams, Criteria{AffinityKey: 7})
		first.OthersWork = 20
		is.New(t).True(choose(upstreams, Criteria{AffinityKey: 7}) != first)
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
	t.Run("a draining upstream is chosen only in its grace period and if there is no other", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		gone := upstreams[0].Upstream
		gone.Ready = false
		upstreams[0].SetEntry(now, gone)
		is.True(choose(upstreams, Criteria{}) != nil)
		chosen, _ := newChooser().Choose(now.Add(drainGracePeriod), upstreams, Criteria{})
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

// BenchmarkChoose measures a choice among the upstreams of a present fleet and
// of the largest one that the design allows for.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 600} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			upstreams := newUpstreams(count)
			c := newChooser()
			b.ReportAllocs()
			for i := range b.N {
				c.Choose(now, upstreams, Criteria{AffinityKey: uint64(i) + 1})
			}
		})
	}
}
