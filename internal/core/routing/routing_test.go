package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

var start = time.Unix(1000, 0)

// newPool returns a pool of upstreams u0, u1, ... in data centre "here".
func newPool(count int) *tables.Pool {
	pool := &tables.Pool{Name: "p", Concurrency: 8}
	for n := range count {
		pool.Upstreams = append(pool.Upstreams, tables.Upstream{
			Name:       tables.UpstreamID(fmt.Sprintf("u%d", n)),
			Address:    fmt.Sprintf("127.0.0.%d:1", n%250+1),
			DataCenter: "here",
		})
	}
	return pool
}

// countChoices returns how many of the calls go to each upstream.
func countChoices(s *UpstreamSet, calls int, call Call) map[tables.UpstreamID]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[tables.UpstreamID]int{}
	for range calls {
		if choice, ok := s.Choose(start, call, random); ok {
			counts[choice.Upstream.Config.Name]++
		}
	}
	return counts
}

// TestChoose guards against calls going to an upstream that is leaving, failed,
// queued up or stalled while another one is free, and against missing the
// upstream that has the prefix in its cache.
func TestChoose(t *testing.T) {
	t.Run("no upstream gives no choice", func(t *testing.T) {
		_, ok := NewUpstreamSet(newPool(0), "here", nil).Choose(start, Call{}, rand.New(rand.NewPCG(1, 2)))
		is.New(t).True(!ok)
	})
	t.Run("leaving upstream gets no calls", func(t *testing.T) {
		is := is.New(t)
		pool := newPool(3)
		pool.Upstreams[0].Draining = true
		s := NewUpstreamSet(pool, "here", nil)
		s.SetLeaving(map[tables.UpstreamID]bool{"u1": true})
		is.Equal(countChoices(s, 100, Call{}), map[tables.UpstreamID]int{"u2": 100})
	})
	t.Run("upstream that failed the request is avoided", func(t *testing.T) {
		is.New(t).Equal(countChoices(NewUpstreamSet(newPool(2), "here", nil), 50, Call{Avoid: "u0"})["u0"], 0)
	})
	t.Run("failed upstream is in a cooldown, and tried when all are", func(t *testing.T) {
		is := is.New(t)
		s := NewUpstreamSet(newPool(2), "here", nil)
		random := rand.New(rand.NewPCG(1, 2))
		s.RecordFailure(start, Choice{Upstream: s.Upstreams()[0]}, random)
		is.Equal(countChoices(s, 50, Call{}), map[tables.UpstreamID]int{"u1": 50})
		s.RecordFailure(start, Choice{Upstream: s.Upstreams()[1]}, random)
		tried := countChoices(s, 50, Call{})
		is.Equal(tried["u0"]+tried["u1"], 50)
	})
	t.Run("upstream with a queue is not chosen", func(t *testing.T) {
		is := is.New(t)
		s := NewUpstreamSet(newPool(2), "here", nil)
		s.RecordReport("u0", LoadReport{Running: 40, TakenAt: start})
		s.RecordReport("u1", LoadReport{Running: 1, TakenAt: start})
		is.Equal(countChoices(s, 50, Call{}), map[tables.UpstreamID]int{"u1": 50})
	})
	t.Run("own calls sent after a report count", func(t *testing.T) {
		is := is.New(t)
		s := NewUpstreamSet(newPool(2), "here", nil)
		for _, name := range []tables.UpstreamID{"u0", "u1"} {
			s.RecordReport(name, LoadReport{Running: 8, TakenAt: start})
		}
		for range 3 {
			s.RecordStart(start.Add(time.Millisecond), Choice{Upstream: s.Upstreams()[0]})
		}
		is.Equal(countChoices(s, 50, Call{}), map[tables.UpstreamID]int{"u1": 50})
	})
	t.Run("call with a known prefix goes to the upstream that caches it", func(t *testing.T) {
		is := is.New(t)
		s := NewUpstreamSet(newPool(4), "here", nil)
		s.RecordCachedTokens(7, s.Upstreams()[2], 100)
		is.Equal(countChoices(s, 50, Call{PromptTokens: 4000, PrefixHash: 7}), map[tables.UpstreamID]int{"u2": 50})
	})
	t.Run("upstream without progress is not chosen", func(t *testing.T) {
		is := is.New(t)
		s := NewUpstreamSet(newPool(2), "here", nil)
		s.RecordStart(start.Add(-5*time.Second), Choice{Upstream: s.Upstreams()[0]})
		is.Equal(countChoices(s, 50, Call{}), map[tables.UpstreamID]int{"u1": 50})
	})
}

// TestChooseAllocatesNothing guards against allocations in the choice of an
// upstream, which runs for each request and would load the garbage collector.
func TestChooseAllocatesNothing(t *testing.T) {
	s := NewUpstreamSet(newPool(600), "here", nil)
	random := rand.New(rand.NewPCG(1, 2))
	allocations := testing.AllocsPerRun(200, func() {
		_, _ = s.Choose(start, Call{PromptTokens: 500, PrefixHash: random.Uint64()}, random)
	})
	is.New(t).Equal(allocations, 0.0)
}

// BenchmarkChoose600 measures the choice among 600 upstreams.
func BenchmarkChoose600(b *testing.B) {
	s := NewUpstreamSet(newPool(600), "here", nil)
	random := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Choose(start, Call{PromptTokens: 500, PrefixHash: random.Uint64()}, random)
	}
}
