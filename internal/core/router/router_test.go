package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

var (
	start = time.Unix(1_700_000_000, 0)
	key   = tables.RouteKey{Team: "t", Service: "s", Class: "c"}
)

func newPool(name, model string, cost tables.MicroCost) tables.Pool {
	return tables.Pool{
		Name: tables.PoolID(name), Service: "s", Kind: tables.KindModel, Model: tables.ModelID(model), Version: "v",
		PromptCost: cost, AnswerCost: cost, Concurrency: 4,
		Upstreams: []tables.Upstream{{Name: tables.UpstreamID(name + "-u"), Address: "127.0.0.1:1", DataCenter: "d"}},
	}
}

// newConfig returns a configuration with one route over two versions of a small
// model and a large model.
func newConfig(generation uint64) *tables.Config {
	return &tables.Config{
		Generation: generation,
		Pools:      []tables.Pool{newPool("small-v1", "small", 10), newPool("small-v2", "small", 10), newPool("large", "large", 1000)},
		Routes: []tables.Route{{
			Team: "t", Service: "s", Class: "c", Pools: []tables.PoolID{"small-v1", "small-v2", "large"},
			QualityTarget: 0.5, Deadline: 10_000, FirstToken: 1000, Idempotent: true,
		}},
	}
}

// newRouter returns a router with newConfig, after an optional change to it.
func newRouter(t *testing.T, change func(*tables.Config)) *Router {
	t.Helper()
	config := newConfig(1)
	if change != nil {
		change(config)
	}
	r := New("d", Policy{}, rand.New(rand.NewPCG(1, 2)))
	if !r.Apply(start, config) {
		t.Fatal("configuration was not applied")
	}
	return r
}

// admit asks the router to admit a request at the start time, after an optional
// change to it.
func admit(r *Router, change func(*Request)) (*Task, *faults.Error) {
	request := Request{Route: key, RequestID: "r", PromptTokens: 10, ArrivedAt: start}
	if change != nil {
		change(&request)
	}
	return r.Admit(start, request)
}

// assertRefused checks that a request was refused with the kind of fault, and
// that the fault is marked as not run, so that the caller may safely retry.
func assertRefused(t *testing.T, fault *faults.Error, kind faults.Kind) {
	t.Helper()
	if fault == nil || fault.Kind != kind || fault.Run != faults.RunNo {
		t.Fatalf("fault is %v, want %s as not run", fault, kind)
	}
}

// TestApply guards against a configuration of the same or an older generation,
// which arrives late, replacing the one in force.
func TestApply(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, nil)
	is.True(!r.Apply(start, newConfig(1)))
	is.True(r.Apply(start, newConfig(3)))
	is.True(!r.Apply(start, newConfig(2)))
	is.Equal(r.Generation(), uint64(3))
}

// TestWithdrawalOutlivesConfiguration guards against a withdrawn pool
// getting requests again. Progress can arrive before the configuration that has
// the pool, and a configuration can remove the pool and add it again.
func TestWithdrawalOutlivesConfiguration(t *testing.T) {
	withdrawn := rollouts.Progress{Pool: "small-v1", Withdrawn: true, Reason: rollouts.ReasonRatings}
	t.Run("withdrawal that comes before the configuration holds", func(t *testing.T) {
		is := is.New(t)
		r := New("d", Policy{}, rand.New(rand.NewPCG(1, 2)))
		is.True(r.MergeProgress(withdrawn))
		r.Apply(start, newConfig(1))
		is.True(r.Withdrawn("small-v1"))
	})
	t.Run("withdrawal holds when the pool is removed and added again", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, nil)
		r.MergeProgress(withdrawn)
		withoutPool := newConfig(2)
		withoutPool.Pools = withoutPool.Pools[1:]
		withoutPool.Routes[0].Pools = withoutPool.Routes[0].Pools[1:]
		r.Apply(start, withoutPool)
		r.Apply(start, newConfig(3))
		is.True(r.Withdrawn("small-v1"))
	})
}

// TestAdmit guards against a request being admitted to a route, version or
// model that it must not use, and against its refusal where another version can
// serve it.
func TestAdmit(t *testing.T) {
	t.Run("request before the first configuration is refused", func(t *testing.T) {
		_, fault := admit(New("d", Policy{}, rand.New(rand.NewPCG(1, 2))), nil)
		assertRefused(t, fault, faults.NotReady)
	})
	t.Run("unknown route is refused", func(t *testing.T) {
		_, fault := admit(newRouter(t, nil), func(r *Request) { r.Route.Class = "x" })
		assertRefused(t, fault, faults.UnknownRoute)
	})
	t.Run("session on a withdrawn version is refused", func(t *testing.T) {
		r := newRouter(t, nil)
		r.MergeProgress(rollouts.Progress{Pool: "small-v1", Withdrawn: true})
		_, fault := admit(r, func(q *Request) { q.PinnedPools = []tables.PoolID{"small-v1", "large"} })
		assertRefused(t, fault, faults.VersionWithdrawn)
	})
	t.Run("request without a session moves to the other version", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, nil)
		r.MergeProgress(rollouts.Progress{Pool: "small-v1", Withdrawn: true})
		task, fault := admit(r, nil)
		is.Equal(fault, nil)
		is.Equal(task.Pools[0], tables.PoolID("small-v2"))
	})
	t.Run("request for a model is served by that model only", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(t, nil)
		task, fault := admit(r, func(q *Request) { q.Model = "large" })
		is.Equal(fault, nil)
		step, fault := r.StartStep(start, task, "")
		is.Equal(fault, nil)
		is.Equal(step.Pool.Name, tables.PoolID("large"))
		is.True(step.FinalStage)
	})
}

// TestOverloadIsRefusedAtOnce guards against a request being admitted when a
// load report shows a queue that delays its first token past the bound. The
// first request is admitted as a probe.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, func(c *tables.Config) { c.Routes[0].Pools = []tables.PoolID{"large"} })
	_, fault := admit(r, nil)
	is.Equal(fault, nil)
	r.RecordLoad("large", "large-u", routing.LoadReport{Running: 400, TakenAt: start})
	_, fault = admit(r, nil)
	assertRefused(t, fault, faults.Overloaded)
	is.True(fault.RetryAfter > 0)
}

// TestVersionWithdrawnAfterAdmission guards against a call to a version that
// was withdrawn after the request was admitted.
func TestVersionWithdrawnAfterAdmission(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, func(c *tables.Config) { c.Routes[0].Pools = []tables.PoolID{"small-v1", "small-v2"} })
	task, fault := admit(r, nil)
	is.Equal(fault, nil)
	r.MergeProgress(rollouts.Progress{Pool: "small-v1", Withdrawn: true})
	step, fault := r.StartStep(start, task, "")
	is.Equal(fault, nil)
	is.Equal(step.Pool.Name, tables.PoolID("small-v2"))
}

// TestLastVersionIsNotWithdrawn guards against the withdrawal of the only
// pool of a route, which would leave the team without service.
func TestLastVersionIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, func(c *tables.Config) { c.Routes[0].Pools = []tables.PoolID{"small-v1"} })
	tick := func(bad float64) []rollouts.Progress {
		values := aggregates.Values{}
		newEvidenceKeys("small-v1").write(values, rollouts.Evidence{Ratings: 100, RatingShortfall: bad, Calls: 100})
		return r.Tick(start, values, values)
	}
	tick(0)
	is.Equal(len(tick(90)), 0)
}

// TestFailedCallsCostNothing guards against charging a team for the tokens of a
// failed call.
func TestFailedCallsCostNothing(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, nil)
	task, fault := admit(r, nil)
	is.Equal(fault, nil)
	step, fault := r.StartStep(start, task, "")
	is.Equal(fault, nil)
	r.FinishStep(start, task, step, Outcome{Failed: true, PromptTokens: 1000, AnswerTokens: 1000})
	is.Equal(task.Cost, tables.MicroCost(0))
	step, fault = r.StartStep(start, task, "")
	is.Equal(fault, nil)
	r.FinishStep(start, task, step, Outcome{PromptTokens: 1000, AnswerTokens: 1000})
	is.Equal(task.Cost, step.Pool.Cost(1000, 1000))
}

// TestRetryBudgetLimitsRetries guards against retries beyond the size of the
// bucket when no requests add tokens.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, nil)
	allowed := 0
	for range 100 {
		if r.AllowRetry(start) {
			allowed++
		}
	}
	is.Equal(allowed, int(maxRetryTokens))
}
