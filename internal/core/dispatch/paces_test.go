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

// mixedRollout returns a service with upstreams of two versions, all of which state their pace,
// and with a rollout of the second one in progress.
func mixedRollout(old, target int) *service {
	d := newDispatcher(append(newUpstreams("v1", old), newUpstreams("v2", target)...)...)
	d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute, Progress: catalog.Progress{State: catalog.InProgress}}}, 0)
	s := d.services["llm"]
	for _, u := range s.upstreams {
		u.RecordLoad(now, placement.ReportedLoad{Slots: 4, Pace: 1})
	}
	return s
}

// TestFastEnginesDoNotMakeATargetLookSlow guards against a good target that is rolled back since
// most answers of the old version come from its fast engines, and against a slow one whose
// learned pace hides it.
func TestFastEnginesDoNotMakeATargetLookSlow(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(2, 1)
	old, target := s.upstreamsByVersion("v2", false), s.upstreamsByVersion("v2", true)
	observe := func(u *placement.Upstream, answers int, gap time.Duration) {
		task := &Task{Request: Request{Route: newRoute(catalog.Streaming)}, service: s}
		for range answers {
			s.observeLatency(task, &Call{upstream: u, startLatency: 3 * gap, totalGap: 10 * gap, events: 10})
		}
	}
	old[0].SetLastingPace(0.5)
	old[1].SetLastingPace(2)
	observe(old[0], 30, 10*time.Millisecond)
	observe(old[1], 8, 40*time.Millisecond)
	target[0].SetLastingPace(2)
	task := &Task{Request: Request{Route: newRoute(catalog.Streaming)}, service: s, version: "v2"}
	quick, known := s.quick(task, &Call{upstream: target[0], totalGap: 200 * time.Millisecond, events: 10})
	is.True(known && quick)
	quick, known = s.quick(task, &Call{upstream: target[0], totalGap: 400 * time.Millisecond, events: 10})
	is.True(known && !quick)
	task.version = baselineVersion
	quick, known = s.quick(task, &Call{upstream: old[1], totalGap: 400 * time.Millisecond, events: 10})
	is.True(known && quick)
}

// TestSlowTargetKeepsThePacesOfTheOldVersion guards against a slow target that lowers the paces
// of the old version's upstreams.
func TestSlowTargetKeepsThePacesOfTheOldVersion(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(2, 2)
	totals := aggregates.Values{anyPaceKey: 3}
	for _, u := range s.upstreams {
		ratios := 100.0
		if u.Version == "v2" {
			ratios = 300
		}
		key := paceKey(u)
		totals[key.Offset(paceAnswers)], totals[key.Offset(paceRatios)], totals[key.Offset(paceStated)] = 100, ratios, 100
	}
	s.applyPaces(totals, aggregates.Values{})
	for _, u := range s.upstreams {
		if u.Version == "v2" {
			is.True(u.LastingPace() > 2.5)
		} else {
			is.True(math.Abs(u.LastingPace()-1) < 0.01)
		}
	}
}

// TestUpstreamsWithoutWorkAreNotCompared guards against cache holders that pass their calls on,
// since the mean work contains upstreams that get none: the target of a rollout, evacuated, cold,
// and failing ones.
func TestUpstreamsWithoutWorkAreNotCompared(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(8, 4)
	old, target := s.upstreamsByVersion("v2", false), s.upstreamsByVersion("v2", true)
	totals := aggregates.Values{}
	for _, u := range old {
		totals[upstreamKey(valueFlow, u)] = 2000
	}
	s.usualWork = 50
	s.applyFlows(now, totals, aggregates.Values{})
	for _, u := range old {
		is.True(!u.Overused())
	}
	is.True(!target[0].Overused())
	totals[upstreamKey(valueFlow, old[1])] = 4000
	totals[upstreamKey(valueFlow, old[5])] = 4000
	s.applyFlows(now, totals, aggregates.Values{})
	is.True(old[1].Overused())
	is.True(old[5].Overused())
	old[1].SetEvacuated(true)
	old[2].SetEvacuated(true)
	old[5].RecordFailure(now, true)
	old[6].RecordFailure(now, true)
	for _, u := range []*placement.Upstream{old[2], old[6]} {
		totals[upstreamKey(valueFlow, u)] = 0
	}
	s.applyFlows(now, totals, aggregates.Values{})
	for _, u := range old {
		is.True(!u.Overused())
	}
}

// TestPaceSumsEndWithTheirKey guards against sums of the fleet that an instance keeps although no
// instance has any.
func TestPaceSumsEndWithTheirKey(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(1, 1)
	u := s.upstreams[0]
	u.SetFleetPaceSums(placement.PaceSums{Answers: 100, Ratios: 200, Stated: 100})
	u.RecordLoad(now, placement.ReportedLoad{Slots: 4})
	s.applyPaces(aggregates.Values{}, aggregates.Values{})
	is.True(!u.StatesPace())
}

// TestCallsThatAreNotTakenLeaveNoFlow guards against an upstream that passes calls on since it
// counts those that it refused, or that never reached it, as recent work.
func TestCallsThatAreNotTakenLeaveNoFlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		kept   bool
	}{
		{"no room", NoRoom, false},
		{"unreachable", Unreachable, false},
		{"refused", Refused, false},
		{"misdirected", Misdirected, false},
		{"address reused", AddressReused, false},
		{"served", Served, true},
		{"failed", Failed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(newUpstreams("v1", 1)...)
			u := d.services["llm"].upstreams[0]
			u.RecordLoad(now, placement.ReportedLoad{Slots: 4, Pace: 1})
			earlier := mustNextCall(t, d, mustAdmit(t, d, newRoute(catalog.Streaming), "earlier"))
			task := mustAdmit(t, d, newRoute(catalog.Streaming), "later")
			call := mustNextCall(t, d, task)
			is.Equal(u.OwnFlow(now), earlier.work+call.work)
			ended := now.Add(2 * time.Second)
			before := u.OwnFlow(ended)
			d.RecordConnected(now.Add(time.Second), call, "")
			d.EndCall(ended, task, call, c.result)
			if c.kept {
				is.Equal(u.OwnFlow(ended), before)
			} else {
				is.True(math.Abs(u.OwnFlow(ended)/before*(earlier.work+call.work)-earlier.work) < 1e-6)
			}
		})
	}
}

// TestUsualAnswerStartsAtTheFirstSample guards against an instance that has just started and
// expects answers of nearly no tokens, so that it sends more to an engine than fits.
func TestUsualAnswerStartsAtTheFirstSample(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(1, 1)
	call := &Call{upstream: s.upstreams[0], events: 50}
	s.observeEvents(call)
	is.Equal(s.usualEvents.value, 50.0)
	call.events = 20
	s.observeEvents(call)
	is.Equal(s.usualEvents.value, 35.0)
}

// TestIncompletePaceSumsAreIgnored guards against a pace that follows from answers whose ratios
// have not come yet, since inexact values are sent in any order.
func TestIncompletePaceSumsAreIgnored(t *testing.T) {
	for missing := range paceStated + 1 {
		is := is.New(t)
		s := mixedRollout(1, 1)
		u := s.upstreams[0]
		totals := aggregates.Values{anyPaceKey: 1}
		for element := range paceStated + 1 {
			if element != missing {
				totals[paceKey(u).Offset(element)] = 100
			}
		}
		s.applyPaces(totals, aggregates.Values{})
		is.Equal(u.MeanPaceRatio(), 1.0)
		is.Equal(u.Pace(now), 1.0)
	}
}

// TestNoCallsAreDivertedWhileUpstreamsFail guards against prompts that lose their caches to even
// work while many upstreams fail, so that the others are short of time.
func TestNoCallsAreDivertedWhileUpstreamsFail(t *testing.T) {
	is := is.New(t)
	s := mixedRollout(8, 4)
	old := s.upstreamsByVersion("v2", false)
	totals := aggregates.Values{}
	for _, u := range old {
		totals[upstreamKey(valueFlow, u)] = 2000
	}
	totals[upstreamKey(valueFlow, old[1])] = 4000
	s.usualWork = 50
	s.applyFlows(now, totals, aggregates.Values{})
	is.True(old[1].Overused())
	old[5].RecordFailure(now, true)
	s.applyFlows(now, totals, aggregates.Values{})
	is.True(!old[1].Overused())
}
