package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
)

var (
	now    = time.Unix(1000, 0)
	bounds = Bounds{
		Retries: retries.Bound{Ratio: 0.9, Slack: 58, Window: 10 * time.Second},
		Release: releases.Bound{Exposure: 0.15},
		Session: 5 * time.Second,
	}
)

// model is the route of the tests with two sizes of models, plain the one of
// a service without any.
func model(kind catalog.Kind) *catalog.Route {
	return &catalog.Route{
		Name: "r", Kind: kind, Resumable: kind == catalog.Streaming, MaxAttempts: 3,
		Models: []tables.ModelID{"small", "large"}, Target: time.Second, Timeout: 10 * time.Second,
		Split: []catalog.Share{{Service: "llm", Weight: 1}},
	}
}

func upstreams(version tables.VersionID, count int) []catalog.Upstream {
	var all []catalog.Upstream
	for i := range count {
		all = append(all, catalog.Upstream{
			ID: tables.UpstreamID(fmt.Sprintf("%s-%d", version, i)), Service: "llm",
			Address: "127.0.0.1:1", Version: version, Slots: 8, Ready: true,
		})
	}
	return all
}

func newDispatcher(entries ...catalog.Upstream) *Dispatcher {
	d := New("here", bounds, rand.New(rand.NewPCG(1, 2)))
	d.SetCatalog(&catalog.Catalog{Version: 1, Routes: []catalog.Route{{Name: "r"}}, Services: []catalog.Service{{
		Name:   "llm",
		Engine: &catalog.Engine{Models: []catalog.Model{{Name: "small", Cost: 0.02}, {Name: "large", Cost: 0.2}}},
	}}})
	d.SetUpstreams(now, entries)
	return d
}

func begin(t *testing.T, d *Dispatcher, route *catalog.Route, id string) *Task {
	t.Helper()
	task, fault := d.Begin(now, Request{ID: id, Route: route, Session: id, Shared: 7, Arrived: now, Deadline: now.Add(route.Timeout)})
	if fault != nil {
		t.Fatal(fault)
	}
	return task
}

func next(t *testing.T, d *Dispatcher, task *Task) *Call {
	t.Helper()
	call, fault := d.Next(now, task)
	if fault != nil {
		t.Fatal(fault)
	}
	return call
}

// TestAtMostOnce ends calls in any way and holds that a request which must not
// run twice gets no other call once an upstream may have run it, and that no
// request runs on more upstreams than its route allows.
func TestAtMostOnce(t *testing.T) {
	results := []Result{Served, Failed, Broken, Silent, Unreached, Refused, Misnamed, Dropped}
	ran := map[Result]bool{Served: true, Failed: true, Broken: true, Silent: true, Dropped: true}
	kinds := []catalog.Kind{catalog.Unsafe, catalog.Safe, catalog.Streaming}
	play := func(rt *rapid.T, d *Dispatcher, task *Task) (runs int) {
		for {
			call, fault := d.Next(now, task)
			if fault != nil {
				return runs
			}
			result := rapid.SampledFrom(results).Draw(rt, "result")
			d.Ended(now, task, call, result)
			if ran[result] {
				runs++
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		d := newDispatcher(upstreams("v1", 4)...)
		for i := range rapid.IntRange(1, 20).Draw(rt, "requests") {
			route := model(rapid.SampledFrom(kinds).Draw(rt, "kind"))
			route.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
			task := begin(t, d, route, strconv.Itoa(i))
			runs := play(rt, d, task)
			switch {
			case runs != task.Runs:
				rt.Fatalf("the task counts %d runs, there were %d", task.Runs, runs)
			case runs > 1 && !route.Repeatable():
				rt.Fatalf("a request that must not run twice ran %d times", runs)
			case runs > route.MaxAttempts:
				rt.Fatalf("%d runs, allowed %d", runs, route.MaxAttempts)
			}
		}
	})
}

func TestNext(t *testing.T) {
	t.Run("refuses without an upstream, and says when to come back", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute}}, 0)
		_, fault := d.Next(now, begin(t, d, model(catalog.Safe), "a"))
		is.Equal(fault.Kind, faults.NoUpstream)
		is.Equal(fault.Run, faults.RunNo)
		is.True(fault.RetryAfter > 0)
	})
	t.Run("tries another upstream after one that was not reached", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(upstreams("v1", 3)...)
		task := begin(t, d, model(catalog.Unsafe), "a")
		first := next(t, d, task)
		d.Ended(now, task, first, Unreached)
		is.True(next(t, d, task).Upstream.ID != first.Upstream.ID)
	})
	t.Run("stops when the budget for repeats is used up", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(upstreams("v1", 3)...)
		repeats, last := 0, (*faults.Error)(nil)
		for i := range 200 {
			task := begin(t, d, model(catalog.Safe), strconv.Itoa(i))
			d.Ended(now, task, next(t, d, task), Failed)
			call, fault := d.Next(now, task)
			if fault != nil {
				last = fault
				continue
			}
			repeats++
			d.Ended(now, task, call, Served)
		}
		is.True(last != nil)
		is.True(float64(repeats) <= bounds.Retries.Ratio*200+bounds.Retries.Slack/minInstances)
	})
	t.Run("a life of an upstream that is new starts with no work", func(t *testing.T) {
		is := is.New(t)
		entry := upstreams("v1", 1)
		d := newDispatcher(entry...)
		next(t, d, begin(t, d, model(catalog.Safe), "a"))
		entry[0].Born = 5
		d.SetUpstreams(now, entry)
		is.Equal(next(t, d, begin(t, d, model(catalog.Safe), "b")).Load, 0.0)
	})
}

func TestModels(t *testing.T) {
	t.Run("a sure answer of the small model is taken", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(upstreams("v1", 3)...)
		task := begin(t, d, model(catalog.Streaming), "a")
		call := next(t, d, task)
		is.Equal(call.Model, tables.ModelID("small"))
		is.True(d.Started(now, task, call, 90))
	})
	t.Run("a doubtful answer is asked for again of the largest model", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(upstreams("v1", 3)...)
		task := begin(t, d, model(catalog.Streaming), "a")
		call := next(t, d, task)
		is.True(!d.Started(now, task, call, 10))
		d.Ended(now, task, call, Dropped)
		is.Equal(next(t, d, task).Model, tables.ModelID("large"))
	})
	t.Run("the same doubt is let pass when a second answer would be late", func(t *testing.T) {
		is := is.New(t)
		const doubtful = 40
		d := newDispatcher(upstreams("v1", 3)...)
		task := begin(t, d, model(catalog.Streaming), "a")
		call := next(t, d, task)
		is.True(d.Started(now.Add(task.Request.Route.Target), task, call, doubtful))
	})
	t.Run("a request that must not run twice is not asked for again", func(t *testing.T) {
		d := newDispatcher(upstreams("v1", 3)...)
		task := begin(t, d, model(catalog.Unsafe), "a")
		is.New(t).True(d.Started(now, task, next(t, d, task), 0))
	})
}

// count returns how many of some requests of different sessions go to the
// version v2.
func count(t *testing.T, d *Dispatcher, requests int) int {
	t.Helper()
	fresh := 0
	for i := range requests {
		if next(t, d, begin(t, d, model(catalog.Streaming), strconv.Itoa(i))).Upstream.Version == "v2" {
			fresh++
		}
	}
	return fresh
}

// TestUrgency plays a load of long and short prompts that come together: the
// short ones must not wait behind the long ones, in whatever order they come.
func TestUrgency(t *testing.T) {
	urgency := func(t *testing.T, prompt tables.Tokens, confidence int) int {
		t.Helper()
		d := newDispatcher(upstreams("v1", 3)...)
		route := model(catalog.Streaming)
		task, fault := d.Begin(now, Request{ID: "a", Route: route, Prompt: prompt, Arrived: now, Deadline: now.Add(route.Timeout)})
		if fault != nil {
			t.Fatal(fault)
		}
		call := next(t, d, task)
		if !d.Started(now, task, call, confidence) {
			d.Ended(now, task, call, Dropped)
			call = next(t, d, task)
		}
		return *call.Urgency
	}
	const sure, doubtful = 90, 0
	t.Run("a short prompt goes before a long one", func(t *testing.T) {
		is.New(t).True(urgency(t, 500, doubtful) < urgency(t, 9000, doubtful))
	})
	t.Run("the small model goes before the large one", func(t *testing.T) {
		is.New(t).True(urgency(t, 9000, sure) < urgency(t, 9000, doubtful))
	})
	t.Run("no prompt comes behind calls without an urgency", func(t *testing.T) {
		is.New(t).True(urgency(t, 1<<20, doubtful) <= 5)
	})
	t.Run("a long prompt counts as more work than a short one", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(upstreams("v1", 1)...)
		load := func(prompt tables.Tokens) float64 {
			task, fault := d.Begin(now, Request{ID: "a", Route: model(catalog.Streaming), Prompt: prompt, Arrived: now, Deadline: now.Add(time.Minute)})
			is.Equal(fault, nil)
			call := next(t, d, task)
			defer d.Ended(now, task, call, Served)
			return next(t, d, begin(t, d, model(catalog.Streaming), "b")).Load
		}
		is.True(load(9000) > load(500))
	})
	t.Run("a plain service has no such order", func(t *testing.T) {
		d := newDispatcher(upstreams("v1", 3)...)
		route := model(catalog.Safe)
		route.Models = nil
		is.New(t).Equal(next(t, d, begin(t, d, route, "a")).Urgency, nil)
	})
}

func TestVersions(t *testing.T) {
	both := append(upstreams("v1", 6), upstreams("v2", 6)...)
	order := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second, Progress: catalog.Progress{State: catalog.InProgress}}
	t.Run("a version that no rollout names gets nothing while another has more upstreams", func(t *testing.T) {
		is.New(t).Equal(count(t, newDispatcher(append(upstreams("v1", 6), upstreams("v2", 3)...)...), 100), 0)
	})
	t.Run("the target gets its small share at first", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(both...)
		d.SetRollouts(now, []catalog.Rollout{order}, 0)
		fresh := count(t, d, 1000)
		is.True(fresh > 0)
		is.True(float64(fresh) < bounds.Release.Exposure*1000)
	})
	t.Run("a withdrawn target gets nothing", func(t *testing.T) {
		d := newDispatcher(both...)
		back := order
		back.Progress = catalog.Progress{State: catalog.RolledBack}
		d.SetRollouts(now, []catalog.Rollout{back}, 0)
		is.New(t).Equal(count(t, d, 300), 0)
	})
	t.Run("a completed target gets all", func(t *testing.T) {
		d := newDispatcher(both...)
		done := order
		done.Progress = catalog.Progress{State: catalog.Completed}
		d.SetRollouts(now, []catalog.Rollout{done}, 0)
		is.New(t).Equal(count(t, d, 300), 300)
	})
	t.Run("a session that goes on keeps its version", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(both...)
		var sessions []string
		for i := range 300 {
			sessions = append(sessions, strconv.Itoa(i))
			next(t, d, begin(t, d, model(catalog.Streaming), sessions[i]))
		}
		d.SetRollouts(now, []catalog.Rollout{order}, 0)
		is.Equal(count(t, d, 300), 0)
	})
	t.Run("a session that another instance has on the old version keeps it", func(t *testing.T) {
		is := is.New(t)
		there := newDispatcher(both...)
		for i := range 300 {
			next(t, there, begin(t, there, model(catalog.Streaming), strconv.Itoa(i)))
		}
		here := newDispatcher(both...)
		here.SetRollouts(now, []catalog.Rollout{order}, 0)
		here.TakeTotals(there.Contribution(now), nil)
		is.Equal(count(t, here, 300), 0)
	})
}

// TestHotParts plays a load of many callers who ask about one thing: the parts
// that their prompts share are read by one upstream and fetched by the others
// that have to help it.
func TestHotParts(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(upstreams("v1", 6)...)
	route := model(catalog.Streaming)
	readers, helpers := map[string]int{}, map[tables.UpstreamID]int{}
	for i := range 200 {
		task := begin(t, d, route, strconv.Itoa(i))
		task.Request.Prompt = 6000
		call := next(t, d, task)
		if call.Fetch == "" {
			readers[string(call.Upstream.ID)]++
		} else {
			helpers[call.Upstream.ID]++
		}
	}
	is.Equal(len(readers), 1)
	is.True(len(helpers) > 1)
}

// TestWorkAfterTheStart checks that an upstream that has read its prompts is
// taken for less busy than one that still has to.
func TestWorkAfterTheStart(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(upstreams("v1", 1)...)
	task := begin(t, d, model(catalog.Streaming), "a")
	call := next(t, d, task)
	before := call.upstream.Work()
	is.True(d.Started(now, task, call, 100))
	is.True(call.upstream.Work() < before)
	d.Ended(now, task, call, Served)
	is.Equal(call.upstream.Work(), 0.0)
}

func TestEvidence(t *testing.T) {
	both := append(upstreams("v1", 6), upstreams("v2", 6)...)
	order := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second, Progress: catalog.Progress{State: catalog.InProgress}}
	t.Run("failures at two upstreams anywhere in the fleet stop the target here", func(t *testing.T) {
		is := is.New(t)
		there, here := newDispatcher(both...), newDispatcher(both...)
		for _, d := range []*Dispatcher{there, here} {
			d.SetRollouts(now, []catalog.Rollout{order}, 0)
		}
		for i := range 1000 {
			task := begin(t, there, model(catalog.Streaming), strconv.Itoa(i))
			call := next(t, there, task)
			result := Served
			if call.Upstream.Version == "v2" {
				result = Failed
			}
			there.Ended(now, task, call, result)
		}
		is.Equal(len(here.TakeTotals(there.Contribution(now), nil)), 1)
		is.Equal(count(t, here, 1000), 0)
	})
	t.Run("a fleet that starts late in a rollout holds slow answers against the time that the route wants", func(t *testing.T) {
		d := newDispatcher(both...)
		late := order
		late.Progress.Stage = 99
		d.SetRollouts(now, []catalog.Rollout{late}, 0)
		route := model(catalog.Safe)
		route.Models = nil
		for i := range 30 {
			task := begin(t, d, route, strconv.Itoa(i))
			call := next(t, d, task)
			wait := route.Target / 4
			if i%2 == 0 {
				wait = route.Target * 3 / 4
			}
			d.Started(now.Add(wait), task, call, -1)
			d.Ended(now.Add(wait), task, call, Served)
		}
		verdicts := d.TakeTotals(nil, nil)
		is := is.New(t)
		is.Equal(len(verdicts), 1)
		is.Equal(verdicts[0].Reason, releases.ReasonSlow)
	})
	t.Run("a crash of the new upstreams is not held against their version", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(both...)
		d.SetRollouts(now, []catalog.Rollout{order}, 0)
		for i := range 1000 {
			task := begin(t, d, model(catalog.Streaming), strconv.Itoa(i))
			call := next(t, d, task)
			result := Served
			if call.Upstream.Version == "v2" {
				result = Broken
			}
			d.Ended(now, task, call, result)
		}
		is.Equal(len(d.TakeTotals(d.Contribution(now), d.Contribution(now))), 0)
	})
}

// TestSteps plays rollouts to their end and beyond.
func TestSteps(t *testing.T) {
	play := func(t *testing.T, d *Dispatcher, requests bool) catalog.Progress {
		t.Helper()
		order := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second}
		for at := time.Duration(0); at < 2*order.Duration; at += 250 * time.Millisecond {
			d.SetRollouts(now.Add(at), []catalog.Rollout{order}, 0)
			for i := range 20 {
				if !requests {
					break
				}
				task := begin(t, d, model(catalog.Streaming), strconv.Itoa(i)+at.String())
				d.Ended(now, task, next(t, d, task), Served)
			}
			d.TakeTotals(nil, nil)
			for _, step := range d.Steps(now.Add(at)) {
				order.Progress = step.Progress
			}
		}
		return order.Progress
	}
	both := append(upstreams("v1", 6), upstreams("v2", 6)...)
	t.Run("a good version is completed", func(t *testing.T) {
		is.New(t).Equal(play(t, newDispatcher(both...), true).State, catalog.Completed)
	})
	t.Run("a version without upstreams is not, since the old one would stop", func(t *testing.T) {
		is.New(t).Equal(play(t, newDispatcher(upstreams("v1", 6)...), true).State, catalog.InProgress)
	})
	t.Run("nor is one with too few upstreams", func(t *testing.T) {
		few := append(upstreams("v1", 6), upstreams("v2", 2)...)
		is.New(t).Equal(play(t, newDispatcher(few...), true).State, catalog.InProgress)
	})
	t.Run("a service without requests is completed all the same", func(t *testing.T) {
		is.New(t).Equal(play(t, newDispatcher(both...), false).State, catalog.Completed)
	})
}

func TestSetCatalog(t *testing.T) {
	t.Run("never goes back", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		is.True(d.SetCatalog(&catalog.Catalog{Version: 9}))
		is.True(!d.SetCatalog(&catalog.Catalog{Version: 3}))
		is.Equal(d.Index().Catalog.Version, catalog.Version(9))
	})
}

// BenchmarkDecide measures admission, model and upstream together.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{9, 600} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			d := newDispatcher(upstreams("v1", count)...)
			route := model(catalog.Streaming)
			b.ReportAllocs()
			for i := range b.N {
				task, _ := d.Begin(now, Request{ID: "a", Route: route, Shared: uint64(i) + 1, Arrived: now, Deadline: now.Add(time.Minute)})
				call, _ := d.Next(now, task)
				d.Ended(now, task, call, Served)
			}
		})
	}
}
