package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
)

// TestCallersThatLeaveHideTheirRepeatedRequest guards against a request that ends upstream
// after upstream because its caller always leaves before the connection breaks, and against
// callers that leave sound upstreams and are refused for it.
func TestCallersThatLeaveHideTheirRepeatedRequest(t *testing.T) {
	const repetitions = 10
	for _, c := range []struct {
		name string
		// find is how another request finds that the upstream has ended, or has not.
		find func(d *Dispatcher, at time.Time, task *Task, call *Call)
		ends bool
	}{
		{"its connection breaks", func(d *Dispatcher, at time.Time, task *Task, call *Call) {
			d.EndCall(at, task, call, Broken)
		}, true},
		{"it is refused a connection", func(d *Dispatcher, at time.Time, task *Task, call *Call) {
			d.RecordConnectionRefused(at, call)
			d.EndCall(at, task, call, Unreachable)
		}, true},
		{"it is answered", func(d *Dispatcher, at time.Time, task *Task, call *Call) {
			d.StartAnswer(at, task, call, 100)
			d.EndCall(at, task, call, Served)
		}, false},
		{"it does not connect in time", func(d *Dispatcher, at time.Time, task *Task, call *Call) {
			d.EndCall(at, task, call, Unreachable)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher()
			admit := func(id, content string) *Task {
				task := mustAdmit(t, d, newRoute(catalog.Safe), id)
				task.Request.ContentPart = func() quarantine.PartID { return quarantine.NewRequestPart(content) }
				return task
			}
			ran, refused := 0, 0
			for n := range repetitions {
				at := now.Add(time.Duration(n) * time.Second)
				entries := newUpstreams("v1", 1)
				entries[0].Incarnation = int64(n)
				d.SetUpstreams(at, entries)
				other := admit("other"+strconv.Itoa(n), "sound"+strconv.Itoa(n))
				otherCall := mustNextCall(t, d, other)
				task := admit("copy"+strconv.Itoa(n), "repeated")
				call, fault := d.NextCall(at, task)
				if fault != nil {
					is.Equal(fault.Kind, faults.PromptQuarantined)
					refused++
					continue
				}
				ran++
				d.EndCall(at.Add(20*time.Millisecond), task, call, Abandoned)
				c.find(d, at.Add(50*time.Millisecond), other, otherCall)
			}
			if c.ends {
				is.Equal(ran, 3)
			} else {
				is.Equal(refused, 0)
			}
		})
	}
}

// TestUpstreamsThatAnswerHaveOutlivedCalls guards against sound requests that are blamed for the
// end of an upstream that has answered others since.
func TestUpstreamsThatAnswerHaveOutlivedCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(newUpstreams("v1", 1)...)
	admit := func(id string) *Task {
		task := mustAdmit(t, d, newRoute(catalog.Safe), id)
		task.Request.ContentPart = func() quarantine.PartID { return quarantine.NewRequestPart(id) }
		return task
	}
	left := admit("left")
	d.EndCall(now, left, mustNextCall(t, d, left), Abandoned)
	is.Equal(len(d.unresolved), 1)
	later := admit("later")
	call := mustNextCall(t, d, later)
	d.RecordConnected(now.Add(time.Millisecond), call, "")
	d.StartAnswer(now.Add(2*time.Millisecond), later, call, 100)
	d.EndCall(now.Add(2*time.Millisecond), later, call, Served)
	last := admit("last")
	d.EndCall(now.Add(3*time.Millisecond), last, mustNextCall(t, d, last), Broken)
	// Only the last request was lost.
	is.Equal(d.Contribution(now.Add(3 * time.Millisecond))[aggregates.NewExactKey("prompt_part_evidence")], 1.0)
}
