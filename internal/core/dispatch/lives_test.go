package dispatch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
)

// share gives the dispatcher the sums of a fleet of which it is the only instance.
func share(d *Dispatcher, at time.Time) {
	own := d.Contribution(at)
	d.ApplyTotals(at, aggregates.Sum([]aggregates.Values{own}), own)
}

// loseOnThreeLives loses a request with the part on each of three upstreams, and returns another
// call that runs on each.
func loseOnThreeLives(t *testing.T, d *Dispatcher) []*Call {
	t.Helper()
	first, beside := map[tables.UpstreamID]*Call{}, []*Call{}
	for i := range 100 {
		task := admitWithPart(t, d, strconv.Itoa(i), "usual")
		call := mustNextCall(t, d, task)
		switch lost := first[call.Upstream.ID]; {
		case len(beside) >= 3:
		case lost == nil && len(first) < 3:
			task.Request.SharedParts = []quarantine.PartID{"part"}
			first[call.Upstream.ID] = call
		case lost != nil && !slices.ContainsFunc(beside, func(c *Call) bool { return c.Upstream.ID == call.Upstream.ID }):
			beside = append(beside, call)
		}
	}
	is := is.New(t)
	is.Helper()
	is.Equal(len(beside), 3)
	for _, call := range first {
		d.EndCall(now, call.task, call, Broken)
	}
	return beside
}

// TestLostAnswersAreNoEndOfUpstreams guards against a sound part that is refused since upstreams
// lose answers while other calls on them go on, and against a bad one that is released by what
// is no sign of the lives that it ended.
func TestLostAnswersAreNoEndOfUpstreams(t *testing.T) {
	const refused, allowed = faults.PromptQuarantined, faults.Kind("")
	for _, c := range []struct {
		name string
		// happens is what happens to the upstreams with the running calls.
		happens func(d *Dispatcher, at time.Time, running []*Call)
		want    faults.Kind
	}{
		{"nothing", func(*Dispatcher, time.Time, []*Call) {}, refused},
		{"calls that ran at that time get events", func(_ *Dispatcher, at time.Time, running []*Call) {
			for _, call := range running {
				call.RecordEvent(at, time.Millisecond)
			}
		}, allowed},
		{"connections are refused before that", func(d *Dispatcher, at time.Time, running []*Call) {
			for _, call := range running {
				d.RecordConnectionRefused(at, call)
				call.RecordEvent(at, time.Millisecond)
			}
		}, refused},
		{"entries tell of new processes after that", func(d *Dispatcher, at time.Time, running []*Call) {
			for _, call := range running {
				call.RecordEvent(at, time.Millisecond)
			}
			share(d, at)
			entries := newUpstreams("v1", 8)
			for i := range entries {
				entries[i].Incarnation++
			}
			d.SetUpstreams(at, entries)
		}, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newServingDispatcher(t)
			beside := loseOnThreeLives(t, d)
			later := now.Add(time.Second)
			c.happens(d, later, beside)
			share(d, later)
			share(d, later)
			_, fault := d.NextCall(later, admitWithPart(t, d, "next", "part"))
			got := faults.Kind("")
			if fault != nil {
				got = fault.Kind
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestRunningAnswersClearTheirParts guards against a sound part that stays refused until long
// answers to prompts with it have ended.
func TestRunningAnswersClearTheirParts(t *testing.T) {
	is := is.New(t)
	d := newServingDispatcher(t)
	task := mustAdmit(t, d, newRoute(catalog.Streaming), "running")
	task.Request.SharedParts = append(task.Request.SharedParts, "part")
	running := mustNextCall(t, d, task)
	for i := range 3 {
		lost := admitWithPart(t, d, strconv.Itoa(i), "part")
		call := mustNextCall(t, d, lost)
		d.EndCall(now, lost, call, Broken)
		d.RecordConnectionRefused(now, call)
	}
	share(d, now)
	_, fault := d.NextCall(now, admitWithPart(t, d, "next", "part"))
	is.Equal(fault.Kind, faults.PromptQuarantined)
	running.RecordEvent(now, time.Millisecond)
	share(d, now)
	share(d, now)
	mustNextCall(t, d, admitWithPart(t, d, "another", "part"))
}

// TestSignsAreToldForLostLivesOnly guards against sums with a key for each upstream, that change
// ten times a second, for as long as there is any evidence.
func TestSignsAreToldForLostLivesOnly(t *testing.T) {
	is := is.New(t)
	d := newServingDispatcher(t)
	beside := loseOnThreeLives(t, d)
	signs := func(at time.Time) (told int) {
		own := d.Contribution(at)
		d.ApplyTotals(at, aggregates.Sum([]aggregates.Values{own}), own)
		own = d.Contribution(at)
		for _, s := range d.services {
			for _, u := range s.upstreams {
				if own[quarantine.SignKey(quarantine.Life(lifeName(u)))] > 0 {
					told++
				}
			}
		}
		return told
	}
	for _, s := range d.services {
		for _, u := range s.upstreams {
			u.RecordSign(now.Add(time.Millisecond))
		}
	}
	soon := now.Add(2 * time.Millisecond)
	is.Equal(signs(soon), 3)
	d.RecordConnectionRefused(soon, beside[0])
	is.Equal(signs(soon), 2)
	later := now.Add(quarantine.SignWindow - time.Millisecond)
	beside[1].RecordEvent(later, time.Millisecond)
	is.Equal(signs(later), 2)
	share(d, later)
	// That withdraws the verdict. The other life counts again once the sums tell of it.
	share(d, later)
	is.Equal(signs(later), 1)
}
