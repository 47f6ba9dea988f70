package placing

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

func fleet(count int) []*Upstream {
	upstreams := make([]*Upstream, count)
	for i := range upstreams {
		upstreams[i] = &Upstream{}
		upstreams[i].Set(now, catalog.Upstream{
			ID: tables.UpstreamID(fmt.Sprintf("u%d", i)), Slots: 8, Ready: true, DataCenter: "here",
		})
	}
	return upstreams
}

func chooser() *Chooser {
	return &Chooser{Random: rand.New(rand.NewPCG(1, 2))}
}

func choose(upstreams []*Upstream, need Need) *Upstream {
	chosen, _ := chooser().Choose(now, upstreams, need)
	return chosen
}

func TestChoose(t *testing.T) {
	t.Run("instances agree on the upstream of a key", func(t *testing.T) {
		is.New(t).Equal(choose(fleet(9), Need{Key: 7}).ID, choose(fleet(9), Need{Key: 7}).ID)
	})
	t.Run("keys spread over the upstreams", func(t *testing.T) {
		upstreams := fleet(9)
		seen := map[tables.UpstreamID]bool{}
		for key := range uint64(200) {
			seen[choose(upstreams, Need{Key: key + 1}).ID] = true
		}
		is.New(t).Equal(len(seen), 9)
	})
	t.Run("a key leaves an upstream with far more work than the others", func(t *testing.T) {
		upstreams := fleet(9)
		first := choose(upstreams, Need{Key: 7})
		first.Start(20)
		is.New(t).True(choose(upstreams, Need{Key: 7}) != first)
	})
	t.Run("a key that has left its upstream is read there", func(t *testing.T) {
		is := is.New(t)
		upstreams := fleet(9)
		first := choose(upstreams, Need{Key: 7})
		first.Start(20)
		chosen, reader := chooser().Choose(now, upstreams, Need{Key: 7})
		is.True(chosen != first)
		is.Equal(reader, first)
	})
	t.Run("but not while it rests", func(t *testing.T) {
		upstreams := fleet(9)
		first := choose(upstreams, Need{Key: 7})
		first.Failed(now, true)
		chosen, reader := chooser().Choose(now, upstreams, Need{Key: 7})
		is.New(t).Equal(reader, chosen)
	})
	t.Run("work of other instances counts", func(t *testing.T) {
		upstreams := fleet(9)
		first := choose(upstreams, Need{Key: 7})
		first.Others = 20
		is.New(t).True(choose(upstreams, Need{Key: 7}) != first)
	})
	t.Run("without a key the least work is chosen", func(t *testing.T) {
		upstreams := fleet(3)
		upstreams[0].Start(4)
		upstreams[2].Start(4)
		is.New(t).Equal(choose(upstreams, Need{Home: "here"}).ID, upstreams[1].ID)
	})
	t.Run("an upstream that failed rests, and is back later", func(t *testing.T) {
		is := is.New(t)
		upstreams := fleet(2)
		upstreams[0].Failed(now, true)
		for range 20 {
			is.Equal(choose(upstreams, Need{}).ID, upstreams[1].ID)
		}
		is.True(upstreams[0].Rested(now.Add(firstRest)))
	})
	t.Run("all resting upstreams are still better than none", func(t *testing.T) {
		upstreams := fleet(1)
		upstreams[0].Failed(now, true)
		is.New(t).True(choose(upstreams, Need{}) != nil)
	})
	t.Run("an address that another upstream has is never used", func(t *testing.T) {
		upstreams := fleet(1)
		upstreams[0].Misnamed()
		is.New(t).True(choose(upstreams, Need{}) == nil)
	})
	t.Run("an upstream that has just left serves for want of another, then no more", func(t *testing.T) {
		is := is.New(t)
		upstreams := fleet(1)
		gone := upstreams[0].Upstream
		gone.Ready = false
		upstreams[0].Set(now, gone)
		is.True(choose(upstreams, Need{}) != nil)
		chosen, _ := chooser().Choose(now.Add(leaveUse), upstreams, Need{})
		is.True(chosen == nil)
	})
	t.Run("an upstream that fails a part of its calls over the fleet rests", func(t *testing.T) {
		upstreams := fleet(2)
		upstreams[0].FleetRuns, upstreams[0].FleetFails = 8, 4
		upstreams[0].Failed(now, false)
		is.New(t).True(!upstreams[0].Rested(now))
	})
	t.Run("a single failed answer does not rest an upstream", func(t *testing.T) {
		upstreams := fleet(2)
		upstreams[0].Failed(now, false)
		is.New(t).True(upstreams[0].Rested(now))
	})
}

// BenchmarkChoose measures the choice at the size of today and at the size to
// design for.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 600} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			upstreams := fleet(count)
			c := chooser()
			b.ReportAllocs()
			for i := range b.N {
				c.Choose(now, upstreams, Need{Key: uint64(i) + 1})
			}
		})
	}
}
