package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// TestFleetLearnsPaces guards against an estimator that mixes fast and slow upstreams: each
// instance sees few answers of each, and must expect the same ratio as the engines have. An
// instance that sees no answer at all learns it from the others.
func TestFleetLearnsPaces(t *testing.T) {
	is := is.New(t)
	entries := newUpstreams("v1", 3)
	paces := []float64{0.6, 1, 1.6}
	fleet := []*Dispatcher{newDispatcher(entries...), newDispatcher(entries...), newDispatcher(entries...)}
	clock, route := now, newRoute(catalog.Streaming)
	var contributions []aggregates.Values
	for round := range 300 {
		d := fleet[round%2]
		task, _ := d.Admit(clock, Request{ID: "a", Route: route, Model: "m", PromptTokens: 3000, ArrivedAt: clock, Deadline: clock.Add(time.Minute)})
		// Calls go to all in turn: the choice would leave out the slow ones while all are idle.
		task.tried = []tables.UpstreamID{entries[(round+1)%3].ID, entries[(round+2)%3].ID}
		call, fault := d.NextCall(clock, task)
		is.True(fault == nil)
		pace := 0.0
		for n, entry := range entries {
			if entry.ID == call.Upstream.ID {
				pace = paces[n]
			}
		}
		ended := clock.Add(time.Duration(pace * float64(120*time.Millisecond)))
		d.RecordUpstreamState(ended, call, UpstreamState{Load: &placement.ReportedLoad{Slots: 4, Pace: 1}})
		is.True(d.StartAnswer(ended, task, call, -1))
		d.EndCall(ended, task, call, Served)
		clock = clock.Add(200 * time.Millisecond)
		contributions = nil
		for _, d := range fleet {
			contributions = append(contributions, d.Contribution(clock))
		}
		totals := aggregates.Sum(contributions)
		for n, d := range fleet {
			d.ApplyTotals(clock, totals, contributions[n])
		}
	}
	for _, d := range fleet {
		var got [3]float64
		for _, u := range d.services[entries[0].Service].upstreams {
			for n, entry := range entries {
				if entry.ID == u.ID {
					got[n] = u.Pace(clock.Add(time.Second))
				}
			}
		}
		is.True(math.Abs(got[0]/got[1]-0.6) < 0.08)
		is.True(math.Abs(got[2]/got[1]-1.6) < 0.15)
	}
}

// TestThreeFiguresChangeNoDecision guards earlier deployments: upstreams that state their load
// without a pace must be chosen and waited for as those that state nothing.
func TestThreeFiguresChangeNoDecision(t *testing.T) {
	is := is.New(t)
	silent, stating := newDispatcher(newUpstreams("v1", 9)...), newDispatcher(newUpstreams("v1", 9)...)
	clock := now
	for i := range 400 {
		var calls []*Call
		for _, d := range []*Dispatcher{silent, stating} {
			task, _ := d.Admit(clock, Request{
				ID: "a", Route: newRoute(catalog.Streaming), PromptTokens: 6000, SharedTokens: 4000, SharedPartsHash: uint64(i % 20),
				ArrivedAt: clock, Deadline: clock.Add(time.Minute),
			})
			call, _ := d.NextCall(clock, task)
			started := clock.Add(time.Duration(50+i%7*40) * time.Millisecond)
			if d == stating {
				d.RecordUpstreamState(started, call, UpstreamState{Load: &placement.ReportedLoad{Running: i % 5, Slots: 8}})
			}
			is.True(d.StartAnswer(started, task, call, -1))
			if i%3 > 0 {
				d.EndCall(started, task, call, Served)
			}
			own := d.Contribution(started)
			d.ApplyTotals(started, own, own)
			calls = append(calls, call)
		}
		is.Equal(calls[0].Upstream.ID, calls[1].Upstream.ID)
		is.Equal(calls[0].ExpectedStart, calls[1].ExpectedStart)
		is.Equal(calls[0].StartTimeout, calls[1].StartTimeout)
		clock = clock.Add(30 * time.Millisecond)
	}
	is.Equal(silent.Contribution(clock), stating.Contribution(clock))
}
