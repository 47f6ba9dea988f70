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
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
)

var (
	now    = time.Unix(1000, 0)
	limits = Limits{
		Retries:    retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second},
		Release:    releases.Limits{MaxExposure: 0.15},
		SessionTTL: 5 * time.Second,
	}
)

// newRoute returns a route to a service with a small and a large model.
func newRoute(kind catalog.RouteKind) *catalog.Route {
	return &catalog.Route{
		Name: "r", Kind: kind, Resumable: kind == catalog.Streaming, MaxAttempts: 3,
		Models: []tables.ModelID{"small", "large"}, LatencyTarget: time.Second, Timeout: 10 * time.Second,
		Split: []catalog.Share{{Service: "llm", Weight: 1}},
	}
}

// newUpstreams returns ready upstreams of the version.
func newUpstreams(version tables.VersionID, count int) []catalog.Upstream {
	var all []catalog.Upstream
	for i := range count {
		all = append(all, catalog.Upstream{
			ID: tables.UpstreamID(fmt.Sprintf("%s-%d", version, i)), Service: "llm",
			Address: "127.0.0.1:1", Version: version, Slots: 8, Ready: true,
		})
	}
	return all
}

// newDispatcher returns a dispatcher for the service of newRoute with the
// upstreams.
func newDispatcher(entries ...catalog.Upstream) *Dispatcher {
	d := New("here", limits, rand.New(rand.NewPCG(1, 2)))
	d.SetCatalog(&catalog.Catalog{Version: 1, Routes: []catalog.Route{{Name: "r"}}, Services: []catalog.Service{{
		Name:   "llm",
		Engine: &catalog.Engine{Models: []catalog.Model{{Name: "small", CostPerThousandTokens: 0.02}, {Name: "large", CostPerThousandTokens: 0.2}}},
	}}})
	d.SetUpstreams(now, entries)
	return d
}

// mustAdmit admits a request of its own session, whose prompt has shared parts.
func mustAdmit(t *testing.T, d *Dispatcher, route *catalog.Route, id string) *Task {
	t.Helper()
	request := Request{ID: id, Route: route, Session: id, ArrivedAt: now, Deadline: now.Add(route.Timeout)}
	if len(route.Models) > 0 {
		request.PromptTokens, request.SharedTokens, request.SharedPartsHash = 6000, 4000, 7
	}
	task, fault := d.Admit(now, request)
	if fault != nil {
		t.Fatal(fault)
	}
	return task
}

// mustNextCall returns the next call of the task, and fails the test if there is
// none.
func mustNextCall(t *testing.T, d *Dispatcher, task *Task) *Call {
	t.Helper()
	call, fault := d.NextCall(now, task)
	if fault != nil {
		t.Fatal(fault)
	}
	return call
}

// TestAtMostOnce guards against requests that run too often, because a retry
// follows a call that the upstream may have run. It ends calls with random
// results. A request that must not run twice gets no further call once an
// upstream may have run it, and no request runs on more upstreams than its route
// allows.
func TestAtMostOnce(t *testing.T) {
	results := []Result{Served, Failed, Broken, TimedOut, Unreachable, Refused, AddressReused, Misdirected, Abandoned}
	ran := map[Result]bool{Served: true, Failed: true, Broken: true, TimedOut: true, Abandoned: true}
	kinds := []catalog.RouteKind{catalog.Unsafe, catalog.Safe, catalog.Streaming}
	simulate := func(rt *rapid.T, d *Dispatcher, task *Task) (runs int) {
		for {
			call, fault := d.NextCall(now, task)
			if fault != nil {
				return runs
			}
			result := rapid.SampledFrom(results).Draw(rt, "result")
			d.EndCall(now, task, call, result)
			if ran[result] {
				runs++
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		d := newDispatcher(newUpstreams("v1", 4)...)
		for i := range rapid.IntRange(1, 20).Draw(rt, "requests") {
			route := newRoute(rapid.SampledFrom(kinds).Draw(rt, "kind"))
			route.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
			task := mustAdmit(t, d, route, strconv.Itoa(i))
			runs := simulate(rt, d, task)
			switch {
			case runs != task.PossibleRuns:
				rt.Fatalf("the task counts %d runs, there were %d", task.PossibleRuns, runs)
			case runs > 1 && !route.Repeatable():
				rt.Fatalf("a request that must not run twice ran %d times", runs)
			case runs > route.MaxAttempts:
				rt.Fatalf("%d runs, allowed %d", runs, route.MaxAttempts)
			}
		}
	})
}

// TestNext guards the choice of the next call: retries must go to other
// upstreams and stay within the budget, so that failures do not multiply the
// load, and a caller without an upstream must learn when to retry.
func TestNext(t *testing.T) {
	t.Run("a request without an upstream is refused, with a time after which to retry", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute}}, 0)
		_, fault := d.NextCall(now, mustAdmit(t, d, newRoute(catalog.Safe), "a"))
		is.Equal(fault.Kind, faults.NoUpstream)
		is.Equal(fault.Run, faults.RunNo)
		is.True(fault.RetryAfter > 0)
	})
	t.Run("a call that did not reach its upstream is retried on another", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, newRoute(catalog.Unsafe), "a")
		first := mustNextCall(t, d, task)
		d.EndCall(now, task, first, Unreachable)
		is.True(mustNextCall(t, d, task).Upstream.ID != first.Upstream.ID)
	})
	t.Run("calls that reached no upstream leave the retry budget to others", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 4)...)
		d.SetLimits(Limits{Retries: retries.Budget{Slack: pacing.MinInstances * 2, Window: time.Minute}})
		for i := range 20 {
			task := mustAdmit(t, d, newRoute(catalog.Safe), strconv.Itoa(i))
			for range 3 {
				d.EndCall(now, task, mustNextCall(t, d, task), Unreachable)
			}
			d.EndCall(now, task, mustNextCall(t, d, task), Served)
		}
		task := mustAdmit(t, d, newRoute(catalog.Safe), "failed")
		d.EndCall(now, task, mustNextCall(t, d, task), Failed)
		_, fault := d.NextCall(now, task)
		is.True(fault == nil)
	})
	t.Run("retries stop when the retry budget is used up", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 3)...)
		retried, lastFault := 0, (*faults.Error)(nil)
		for i := range 200 {
			task := mustAdmit(t, d, newRoute(catalog.Safe), strconv.Itoa(i))
			d.EndCall(now, task, mustNextCall(t, d, task), Failed)
			call, fault := d.NextCall(now, task)
			if fault != nil {
				lastFault = fault
				continue
			}
			retried++
			d.EndCall(now, task, call, Served)
		}
		is.True(lastFault != nil)
		is.True(float64(retried) <= limits.Retries.Ratio*200+limits.Retries.Slack/pacing.MinInstances)
	})
	t.Run("a new incarnation of an upstream starts without work", func(t *testing.T) {
		is := is.New(t)
		entry := newUpstreams("v1", 1)
		d := newDispatcher(entry...)
		mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Safe), "a"))
		entry[0].Incarnation = 5
		d.SetUpstreams(now, entry)
		is.Equal(mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Safe), "b")).UpstreamWork, 0.0)
	})
}

// TestEscalation guards the escalation from the small to the largest model,
// which must happen only if the request may run twice and the answer would be
// in time.
func TestEscalation(t *testing.T) {
	t.Run("an answer of high confidence from the small model is taken", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, newRoute(catalog.Streaming), "a")
		call := mustNextCall(t, d, task)
		is.Equal(call.Model, tables.ModelID("small"))
		is.True(d.StartAnswer(now, task, call, 90))
	})
	t.Run("an answer of low confidence is replaced by one of the largest model", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, newRoute(catalog.Streaming), "a")
		call := mustNextCall(t, d, task)
		is.True(!d.StartAnswer(now, task, call, 10))
		d.EndCall(now, task, call, Abandoned)
		is.Equal(mustNextCall(t, d, task).Model, tables.ModelID("large"))
	})
	t.Run("an answer of low confidence is taken when a second answer would be late", func(t *testing.T) {
		is := is.New(t)
		const lowConfidence = 40
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, newRoute(catalog.Streaming), "a")
		call := mustNextCall(t, d, task)
		is.True(d.StartAnswer(now.Add(task.Request.Route.LatencyTarget), task, call, lowConfidence))
	})
	t.Run("a request that must not run twice is not escalated", func(t *testing.T) {
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, newRoute(catalog.Unsafe), "a")
		is.New(t).True(d.StartAnswer(now, task, mustNextCall(t, d, task), 0))
	})
}

// countOnTarget returns how many of the given number of requests, each of its own
// session, go to the version v2.
func countOnTarget(t *testing.T, d *Dispatcher, requests int) int {
	t.Helper()
	onTarget := 0
	for i := range requests {
		if mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Streaming), strconv.Itoa(i))).Upstream.Version == "v2" {
			onTarget++
		}
	}
	return onTarget
}

// TestUrgency guards the order of prompts that wait at an upstream: short prompts
// must not wait behind long ones, in whatever order they arrive.
func TestUrgency(t *testing.T) {
	urgency := func(t *testing.T, prompt tables.Tokens, confidence int) int {
		t.Helper()
		d := newDispatcher(newUpstreams("v1", 3)...)
		route := newRoute(catalog.Streaming)
		task, fault := d.Admit(now, Request{ID: "a", Route: route, PromptTokens: prompt, ArrivedAt: now, Deadline: now.Add(route.Timeout)})
		if fault != nil {
			t.Fatal(fault)
		}
		call := mustNextCall(t, d, task)
		if !d.StartAnswer(now, task, call, confidence) {
			d.EndCall(now, task, call, Abandoned)
			call = mustNextCall(t, d, task)
		}
		return *call.Urgency
	}
	const highConfidence, lowConfidence = 90, 0
	t.Run("a short prompt goes before a long one", func(t *testing.T) {
		is.New(t).True(urgency(t, 500, lowConfidence) < urgency(t, 9000, lowConfidence))
	})
	t.Run("the small model goes before the large one", func(t *testing.T) {
		is.New(t).True(urgency(t, 9000, highConfidence) < urgency(t, 9000, lowConfidence))
	})
	t.Run("no prompt ranks behind calls without an urgency", func(t *testing.T) {
		is.New(t).True(urgency(t, 1<<20, lowConfidence) <= 5)
	})
	t.Run("a long prompt counts as more work than a short one", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 1)...)
		load := func(prompt tables.Tokens) float64 {
			task, fault := d.Admit(now, Request{ID: "a", Route: newRoute(catalog.Streaming), PromptTokens: prompt, ArrivedAt: now, Deadline: now.Add(time.Minute)})
			is.Equal(fault, nil)
			call := mustNextCall(t, d, task)
			defer d.EndCall(now, task, call, Served)
			return mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Streaming), "b")).UpstreamWork
		}
		is.True(load(9000) > load(500))
	})
	t.Run("a call without models has no urgency", func(t *testing.T) {
		d := newDispatcher(newUpstreams("v1", 3)...)
		route := newRoute(catalog.Safe)
		route.Models = nil
		is.New(t).Equal(mustNextCall(t, d, mustAdmit(t, d, route, "a")).Urgency, nil)
	})
}

// TestVersions guards the version that requests run on. A share that is too large
// exposes callers to a bad version, and a session must not change its version
// between calls or between instances.
func TestVersions(t *testing.T) {
	mixed := append(newUpstreams("v1", 6), newUpstreams("v2", 6)...)
	rollout := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second, Progress: catalog.Progress{State: catalog.InProgress}}
	t.Run("a version that no rollout names gets nothing while another has more upstreams", func(t *testing.T) {
		is.New(t).Equal(countOnTarget(t, newDispatcher(append(newUpstreams("v1", 6), newUpstreams("v2", 3)...)...), 100), 0)
	})
	t.Run("the target gets its small share at first", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(mixed...)
		d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		onTarget := countOnTarget(t, d, 1000)
		is.True(onTarget > 0)
		is.True(float64(onTarget) < limits.Release.MaxExposure*1000)
	})
	t.Run("a target that was rolled back gets nothing", func(t *testing.T) {
		d := newDispatcher(mixed...)
		rolledBack := rollout
		rolledBack.Progress = catalog.Progress{State: catalog.RolledBack}
		d.SetRollouts(now, []catalog.Rollout{rolledBack}, 0)
		is.New(t).Equal(countOnTarget(t, d, 300), 0)
	})
	t.Run("a completed target gets everything", func(t *testing.T) {
		d := newDispatcher(mixed...)
		completed := rollout
		completed.Progress = catalog.Progress{State: catalog.Completed}
		d.SetRollouts(now, []catalog.Rollout{completed}, 0)
		is.New(t).Equal(countOnTarget(t, d, 300), 300)
	})
	t.Run("a session from before the rollout keeps its version", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(mixed...)
		var sessions []string
		for i := range 300 {
			sessions = append(sessions, strconv.Itoa(i))
			mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Streaming), sessions[i]))
		}
		d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		is.Equal(countOnTarget(t, d, 300), 0)
	})
	t.Run("a session that runs on the old version at another instance keeps it", func(t *testing.T) {
		is := is.New(t)
		remote := newDispatcher(mixed...)
		for i := range 300 {
			mustNextCall(t, remote, mustAdmit(t, remote, newRoute(catalog.Streaming), strconv.Itoa(i)))
		}
		local := newDispatcher(mixed...)
		local.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		local.ApplyTotals(now, remote.Contribution(now), nil)
		is.Equal(countOnTarget(t, local, 300), 0)
	})
}

// TestSharedParts guards the caches of prompts with a popular shared part. One
// upstream reads the part. The upstreams to which the load bound moves other
// requests fetch the part instead of reading it again.
func TestSharedParts(t *testing.T) {
	is := is.New(t)
	entries := newUpstreams("v1", 6)
	for i := range entries {
		entries[i].Address = fmt.Sprintf("127.0.0.1:%d", i+1)
	}
	d := newDispatcher(entries...)
	route := newRoute(catalog.Streaming)
	route.Models = route.Models[1:]
	cacheHolders, fetchers, sources := map[string]int{}, map[tables.UpstreamID]int{}, map[string]int{}
	for i := range 200 {
		call := mustNextCall(t, d, mustAdmit(t, d, route, strconv.Itoa(i)))
		if call.place == forecast.CacheHolder {
			cacheHolders[call.Upstream.Address]++
		} else {
			fetchers[call.Upstream.ID]++
			sources[call.CacheSource]++
		}
	}
	is.Equal(len(cacheHolders), 1)
	is.True(len(fetchers) > 1)
	is.Equal(len(sources), 1)
	for source := range sources {
		is.True(cacheHolders[source] > 0)
	}
}

// TestFetchGain guards against moving cached parts that an upstream reads as soon
// as it has fetched them: only long readings are worth the bytes.
func TestFetchGain(t *testing.T) {
	for _, c := range []struct {
		name    string
		shared  tables.Tokens
		fetches bool
	}{
		{"long shared parts are fetched", 6000, true},
		{"short shared parts are read again", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(newUpstreams("v1", 3)...)
			route := newRoute(catalog.Streaming)
			route.Models = route.Models[1:]
			task := mustAdmit(t, d, route, "a")
			task.Request.PromptTokens, task.Request.SharedTokens = c.shared+500, c.shared
			is.New(t).Equal(mustNextCall(t, d, task).CacheSource != "", c.fetches)
		})
	}
}

// TestWorkAfterStart checks that an upstream has less work in flight once it
// has read a prompt. Otherwise new calls would avoid upstreams that could take
// them.
func TestWorkAfterStart(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(newUpstreams("v1", 1)...)
	task := mustAdmit(t, d, newRoute(catalog.Streaming), "a")
	call := mustNextCall(t, d, task)
	workBeforeStart := call.upstream.Work()
	is.True(d.StartAnswer(now, task, call, 100))
	is.True(call.upstream.Work() < workBeforeStart)
	d.EndCall(now, task, call, Served)
	is.Equal(call.upstream.Work(), 0.0)
}

// TestStartTimeout guards requests that wait at a sound engine: one that reads
// long prompts is busy, not broken, and a request that leaves it only joins the
// end of another queue. An engine without any sign of life is left.
func TestStartTimeout(t *testing.T) {
	route := newRoute(catalog.Streaming)
	route.Timeout = 20 * time.Second
	longPrompt := func(t *testing.T) (*Dispatcher, *Task, *Call) {
		t.Helper()
		d := newDispatcher(newUpstreams("v1", 3)...)
		task := mustAdmit(t, d, route, "a")
		return d, task, mustNextCall(t, d, task)
	}
	t.Run("a silent upstream is given up when the timeout has passed", func(t *testing.T) {
		is := is.New(t)
		d, task, call := longPrompt(t)
		is.True(call.StartTimeout > 0 && call.StartTimeout < route.Timeout)
		is.Equal(d.ExtendStart(now.Add(call.StartTimeout), task, call), time.Duration(0))
	})
	t.Run("an upstream that starts answers of others is waited for", func(t *testing.T) {
		is := is.New(t)
		d, task, call := longPrompt(t)
		other := mustAdmit(t, d, route, "b")
		otherCall := mustNextCall(t, d, other)
		is.Equal(otherCall.Upstream.ID, call.Upstream.ID)
		later := now.Add(call.StartTimeout)
		d.StartAnswer(later, other, otherCall, 100)
		is.True(d.ExtendStart(later, task, call) > 0)
	})
	t.Run("an upstream that sends events to others is waited for", func(t *testing.T) {
		is := is.New(t)
		d, task, call := longPrompt(t)
		otherCall := mustNextCall(t, d, mustAdmit(t, d, route, "b"))
		later := now.Add(call.StartTimeout)
		otherCall.RecordEvent(later, time.Millisecond)
		is.True(d.ExtendStart(later, task, call) > 0)
	})
	t.Run("the wait grows with the prompt and the queue before it", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 1)...)
		patient := newRoute(catalog.Streaming)
		patient.Timeout = time.Hour
		short, long := mustAdmit(t, d, patient, "a"), mustAdmit(t, d, patient, "b")
		short.Request.PromptTokens, short.Request.SharedTokens = 500, 0
		long.Request.PromptTokens, long.Request.SharedTokens = 200000, 0
		shortCall, longCall := mustNextCall(t, d, short), mustNextCall(t, d, long)
		is.True(longCall.ExpectedStart > shortCall.ExpectedStart)
		is.True(longCall.StartTimeout > shortCall.StartTimeout)
		queued := mustNextCall(t, d, mustAdmit(t, d, route, "c"))
		fresh := newDispatcher(newUpstreams("v1", 1)...)
		is.True(queued.ExpectedStart > mustNextCall(t, fresh, mustAdmit(t, fresh, route, "c")).ExpectedStart)
	})
	t.Run("an engine that reads for other instances gets the time for that", func(t *testing.T) {
		d := newDispatcher(newUpstreams("v1", 1)...)
		const othersWork = 4000
		d.services["llm"].upstreams[0].OthersWork = othersWork
		call := mustNextCall(t, d, mustAdmit(t, d, route, "a"))
		is.New(t).True(call.StartTimeout >= othersWork*time.Millisecond)
	})
	t.Run("a plain call is not extended", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(newUpstreams("v1", 3)...)
		safe := newRoute(catalog.Safe)
		safe.Models = nil
		task := mustAdmit(t, d, safe, "a")
		is.Equal(d.ExtendStart(now, task, mustNextCall(t, d, task)), time.Duration(0))
	})
}

// TestEvidence guards the evidence that decides on a new version. Evidence from
// other instances must count, and the crash of an upstream must not be blamed on
// its version.
func TestEvidence(t *testing.T) {
	mixed := append(newUpstreams("v1", 6), newUpstreams("v2", 6)...)
	rollout := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second, Progress: catalog.Progress{State: catalog.InProgress}}
	t.Run("failures of two upstreams seen by another instance stop the target here", func(t *testing.T) {
		is := is.New(t)
		remote, local := newDispatcher(mixed...), newDispatcher(mixed...)
		for _, d := range []*Dispatcher{remote, local} {
			d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		}
		for i := range 1000 {
			task := mustAdmit(t, remote, newRoute(catalog.Streaming), strconv.Itoa(i))
			call := mustNextCall(t, remote, task)
			result := Served
			if call.Upstream.Version == "v2" {
				result = Failed
			}
			remote.EndCall(now, task, call, result)
		}
		is.Equal(len(local.ApplyTotals(now, remote.Contribution(now), nil)), 1)
		is.Equal(countOnTarget(t, local, 1000), 0)
	})
	t.Run("a fleet that starts late in a rollout compares slow answers with the target time of the route", func(t *testing.T) {
		d := newDispatcher(mixed...)
		lateRollout := rollout
		lateRollout.Progress.Stage = 99
		d.SetRollouts(now, []catalog.Rollout{lateRollout}, 0)
		route := newRoute(catalog.Safe)
		route.Models = nil
		for i := range 30 {
			task := mustAdmit(t, d, route, strconv.Itoa(i))
			call := mustNextCall(t, d, task)
			wait := route.LatencyTarget / 4
			if i%2 == 0 {
				wait = route.LatencyTarget * 3 / 4
			}
			d.StartAnswer(now.Add(wait), task, call, -1)
			d.EndCall(now.Add(wait), task, call, Served)
		}
		verdicts := d.ApplyTotals(now, nil, nil)
		is := is.New(t)
		is.Equal(len(verdicts), 1)
		is.Equal(verdicts[0].Reason, releases.ReasonSlow)
	})
	t.Run("a crash of upstreams is not blamed on their version", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(mixed...)
		d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		for i := range 1000 {
			task := mustAdmit(t, d, newRoute(catalog.Streaming), strconv.Itoa(i))
			call := mustNextCall(t, d, task)
			result := Served
			if call.Upstream.Version == "v2" {
				result = Broken
			}
			d.EndCall(now, task, call, result)
		}
		is.Equal(len(d.ApplyTotals(now, d.Contribution(now), d.Contribution(now))), 0)
	})
}

// TestOwnFailedUpstreamsCountBesideOldTotals guards against a bad version that stays
// because the fleet's totals lack the failures that this instance has reported.
func TestOwnFailedUpstreamsCountBesideOldTotals(t *testing.T) {
	mixed := append(newUpstreams("v1", 6), newUpstreams("v2", 6)...)
	rollout := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second, Progress: catalog.Progress{State: catalog.InProgress}}
	is := is.New(t)
	d := newDispatcher(mixed...)
	d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
	const failures = 6
	upstreams := map[tables.UpstreamID]bool{}
	for i, failed := 0, 0; failed < failures; i++ {
		task := mustAdmit(t, d, newRoute(catalog.Streaming), strconv.Itoa(i))
		call := mustNextCall(t, d, task)
		result := Served
		if call.Upstream.Version == "v2" {
			result = Failed
			failed++
			upstreams[call.Upstream.ID] = true
		}
		d.EndCall(now, task, call, result)
	}
	is.True(len(upstreams) > 1)
	is.Equal(len(d.ApplyTotals(now, nil, d.Contribution(now))), 1)
}

// TestSteps runs rollouts to twice their duration. Completing a rollout to a
// version without enough upstreams would leave the service without capacity,
// since the old version stops then.
func TestSteps(t *testing.T) {
	simulate := func(t *testing.T, d *Dispatcher, requests bool) catalog.Progress {
		t.Helper()
		rollout := catalog.Rollout{Service: "llm", Target: "v2", Duration: 24 * time.Second}
		for at := time.Duration(0); at < 2*rollout.Duration; at += 250 * time.Millisecond {
			d.SetRollouts(now.Add(at), []catalog.Rollout{rollout}, 0)
			for i := range 20 {
				if !requests {
					break
				}
				task := mustAdmit(t, d, newRoute(catalog.Streaming), strconv.Itoa(i)+at.String())
				d.EndCall(now, task, mustNextCall(t, d, task), Served)
			}
			d.ApplyTotals(now, nil, nil)
			for _, step := range d.DueSteps(now.Add(at)) {
				rollout.Progress = step.Progress
			}
		}
		return rollout.Progress
	}
	mixed := append(newUpstreams("v1", 6), newUpstreams("v2", 6)...)
	t.Run("a good version is completed", func(t *testing.T) {
		is.New(t).Equal(simulate(t, newDispatcher(mixed...), true).State, catalog.Completed)
	})
	t.Run("a version without upstreams is not completed, since the old one would stop", func(t *testing.T) {
		is.New(t).Equal(simulate(t, newDispatcher(newUpstreams("v1", 6)...), true).State, catalog.InProgress)
	})
	t.Run("a version with too few upstreams is not completed", func(t *testing.T) {
		fewTargets := append(newUpstreams("v1", 6), newUpstreams("v2", 2)...)
		is.New(t).Equal(simulate(t, newDispatcher(fewTargets...), true).State, catalog.InProgress)
	})
	t.Run("a rollout of a service without requests is completed", func(t *testing.T) {
		is.New(t).Equal(simulate(t, newDispatcher(mixed...), false).State, catalog.Completed)
	})
}

// TestSetCatalog guards against a configuration that arrives late and would
// replace a newer one.
func TestSetCatalog(t *testing.T) {
	t.Run("never replaces a configuration by an older one", func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher()
		is.True(d.SetCatalog(&catalog.Catalog{Version: 9}))
		is.True(!d.SetCatalog(&catalog.Catalog{Version: 3}))
		is.Equal(d.Index().Catalog.Version, catalog.Version(9))
	})
}

// BenchmarkDecide measures all decisions for a request: admission, model and
// upstream.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{9, 600} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			d := newDispatcher(newUpstreams("v1", count)...)
			route := newRoute(catalog.Streaming)
			b.ReportAllocs()
			for i := range b.N {
				task, _ := d.Admit(now, Request{ID: "a", Route: route, PromptTokens: 6000, SharedTokens: 4000, SharedPartsHash: uint64(i) + 1, ArrivedAt: now, Deadline: now.Add(time.Minute)})
				call, _ := d.NextCall(now, task)
				d.EndCall(now, task, call, Served)
			}
		})
	}
}
