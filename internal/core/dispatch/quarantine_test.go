package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
)

// admitWithPart admits a request whose prompt has the shared part.
func admitWithPart(t *testing.T, d *Dispatcher, id string, part quarantine.PartID) *Task {
	t.Helper()
	task := mustAdmit(t, d, newRoute(catalog.Streaming), id)
	task.Request.SharedParts = []quarantine.PartID{part}
	return task
}

// newServingDispatcher returns a dispatcher that has just served some requests with
// another part.
func newServingDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	d := newDispatcher(newUpstreams("v1", 8)...)
	for i := range 100 {
		task := admitWithPart(t, d, "served"+strconv.Itoa(i), "usual")
		call := mustNextCall(t, d, task)
		d.StartAnswer(now, task, call, 100)
		call.RecordFirstEvent(now)
		d.EndCall(now, task, call, Served)
	}
	return d
}

// TestQuarantinedPrompt guards against requests with a part that crashes upstreams, and
// against a wrong answer to their callers: a refused request has not run.
func TestQuarantinedPrompt(t *testing.T) {
	lose := func(t *testing.T, d *Dispatcher, requests int, end func(task *Task, call *Call)) {
		t.Helper()
		for i := range requests {
			task := admitWithPart(t, d, strconv.Itoa(i), "part")
			end(task, mustNextCall(t, d, task))
		}
	}
	broken := func(d *Dispatcher) func(task *Task, call *Call) {
		return func(task *Task, call *Call) { d.EndCall(now, task, call, Broken) }
	}
	t.Run("is refused before any call, as not run and with a time to come back", func(t *testing.T) {
		is := is.New(t)
		d := newServingDispatcher(t)
		lose(t, d, 3, broken(d))
		task := admitWithPart(t, d, "next", "part")
		_, fault := d.NextCall(now, task)
		is.Equal(fault.Kind, faults.PromptQuarantined)
		is.Equal(fault.Run, faults.RunNo)
		is.True(fault.RetryAfter > 0)
		is.Equal(task.PossibleRuns, 0)
	})
	t.Run("other prompts are served", func(t *testing.T) {
		d := newServingDispatcher(t)
		lose(t, d, 3, broken(d))
		mustNextCall(t, d, admitWithPart(t, d, "next", "another"))
	})
	t.Run("a request with a suspect part is not sent again after a loss", func(t *testing.T) {
		is := is.New(t)
		d := newServingDispatcher(t)
		task := admitWithPart(t, d, "a", "part")
		d.EndCall(now, task, mustNextCall(t, d, task), Broken)
		d.EndCall(now, task, mustNextCall(t, d, task), Broken)
		_, fault := d.NextCall(now, task)
		is.Equal(fault.Kind, faults.UpstreamFailed)
		is.Equal(fault.Run, faults.RunUnknown)
	})
	for _, c := range []struct {
		name string
		end  func(d *Dispatcher) func(task *Task, call *Call)
	}{
		{"answers of other requests", func(d *Dispatcher) func(task *Task, call *Call) {
			return func(task *Task, call *Call) { d.EndCall(now, task, call, Mismatched) }
		}},
		{"failures that upstreams report", func(d *Dispatcher) func(task *Task, call *Call) {
			return func(task *Task, call *Call) { d.EndCall(now, task, call, Failed) }
		}},
		{"streams that are lost after their second event", func(d *Dispatcher) func(task *Task, call *Call) {
			return func(task *Task, call *Call) {
				d.StartAnswer(now, task, call, 100)
				call.RecordFirstEvent(now)
				call.RecordEvent(now, time.Millisecond)
				d.EndCall(now, task, call, Broken)
			}
		}},
	} {
		t.Run(c.name+" are no evidence", func(t *testing.T) {
			d := newServingDispatcher(t)
			lose(t, d, 6, c.end(d))
			mustNextCall(t, d, admitWithPart(t, d, "next", "part"))
		})
	}
	t.Run("an empty stream does not clear a part", func(t *testing.T) {
		is := is.New(t)
		d := newServingDispatcher(t)
		lose(t, d, 1, func(task *Task, call *Call) {
			d.StartAnswer(now, task, call, 100)
			d.EndCall(now, task, call, Served)
		})
		lose(t, d, 3, broken(d))
		_, fault := d.NextCall(now, admitWithPart(t, d, "next", "part"))
		is.Equal(fault.Kind, faults.PromptQuarantined)
	})
}

// TestRepeatedRequestEndsFewUpstreams guards against a request that its caller sends again and
// again and that ends upstream after upstream, and against the refusal of others beside it.
func TestRepeatedRequestEndsFewUpstreams(t *testing.T) {
	admit := func(d *Dispatcher, id, content string) *Task {
		task := admitWithPart(t, d, id, "usual")
		task.Request.ContentPart = func() quarantine.PartID { return quarantine.NewRequestPart(content) }
		return task
	}
	serve := func(d *Dispatcher, task *Task) {
		call := mustNextCall(t, d, task)
		d.StartAnswer(now, task, call, 100)
		call.RecordFirstEvent(now)
		d.EndCall(now, task, call, Served)
	}
	for name, kind := range map[string]catalog.RouteKind{"a stream": catalog.Streaming, "a plain call": catalog.Safe} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newServingDispatcher(t)
			ended := 0
			for i := range 10 {
				task := admit(d, "copy"+strconv.Itoa(i), "bad")
				task.Request.Route = newRoute(kind)
				for {
					call, fault := d.NextCall(now, task)
					if fault != nil {
						is.Equal(fault.Kind == faults.PromptQuarantined && task.PossibleRuns == 0, i > 1)
						break
					}
					d.EndCall(now, task, call, Broken)
					ended++
				}
				serve(d, admit(d, "sound"+strconv.Itoa(i), "sound"+strconv.Itoa(i)))
			}
			is.Equal(ended, 3)
		})
	}
}

// TestTrialsThatAreNotSentAreNotUsedUp guards against a sound part that stays refused for minutes
// since its trial found no upstream, or did not reach it.
func TestTrialsThatAreNotSentAreNotUsedUp(t *testing.T) {
	is := is.New(t)
	d := newServingDispatcher(t)
	d.SetFleetPosition(now, 0, 1)
	for i := range 3 {
		task := admitWithPart(t, d, strconv.Itoa(i), "part")
		d.EndCall(now, task, mustNextCall(t, d, task), Broken)
	}
	at := now.Add(2 * time.Second)
	unsent := admitWithPart(t, d, "unsent", "part")
	for _, u := range unsent.service.upstreams {
		unsent.tried = append(unsent.tried, u.ID)
		u.Defer(at, time.Second)
	}
	_, fault := d.NextCall(at, unsent)
	is.Equal(fault.Kind, faults.NoUpstream)
	at = at.Add(time.Second)
	trial := admitWithPart(t, d, "trial", "part")
	for _, result := range []Result{Unreachable, NoRoom, Unreachable} {
		call, fault := d.NextCall(at, trial)
		is.Equal(fault, nil)
		_, fault = d.NextCall(at, admitWithPart(t, d, "another", "part"))
		is.Equal(fault.Kind, faults.PromptQuarantined)
		d.EndCall(at, trial, call, result)
	}
	call, fault := d.NextCall(at, trial)
	is.Equal(fault, nil)
	d.EndCall(at, trial, call, Broken)
	_, fault = d.NextCall(at, trial)
	is.Equal(fault.Kind, faults.UpstreamFailed)
}

// TestPromptTrialsDoNotOverlap guards against a bad part that ends two lives by prompt trials,
// since the second is sent before the first has ended its upstream.
func TestPromptTrialsDoNotOverlap(t *testing.T) {
	for _, c := range []struct {
		name string
		// later is how long after the first trial the second one is due.
		later time.Duration
		// ends are the results of the calls of the first trial before that.
		ends []Result
		want faults.Kind
	}{
		{"none while it runs", 4 * time.Second, nil, faults.PromptQuarantined},
		{"none while it may be sent again", 4 * time.Second, []Result{Unreachable}, faults.PromptQuarantined},
		{"one after its end", 4 * time.Second, []Result{TimedOut}, ""},
		{"one after its time", 10 * time.Second, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newServingDispatcher(t)
			d.SetFleetPosition(now, 0, 1)
			for i := range 3 {
				task := admitWithPart(t, d, strconv.Itoa(i), "part")
				d.EndCall(now, task, mustNextCall(t, d, task), Broken)
			}
			at := now.Add(2 * time.Second)
			admit := func(id string) *Task {
				task := admitWithPart(t, d, id, "part")
				task.Request.Deadline = at.Add(8 * time.Second)
				return task
			}
			trial := admit("trial")
			call, fault := d.NextCall(at, trial)
			is.Equal(fault, nil)
			for _, result := range c.ends {
				d.EndCall(at, trial, call, result)
			}
			at = at.Add(c.later)
			_, fault = d.NextCall(at, admit("second"))
			got := faults.Kind("")
			if fault != nil {
				got = fault.Kind
			}
			is.Equal(got, c.want)
		})
	}
}
