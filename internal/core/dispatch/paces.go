package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// anyPaceKey is the key of the number of instances to which any upstream has stated its pace.
var anyPaceKey = aggregates.NewKey("upstream", "pace")

// The elements of the list of values at an upstream's pace key.
const (
	paceAnswers = iota
	paceRatios
	paceStated
)

// paceKey is the first of the keys of the sums for the pace of an upstream's present life.
func paceKey(u *placement.Upstream) aggregates.Key {
	return aggregates.NewKey("pace", lifeName(u))
}

// contributePace adds this instance's part of the sums for an upstream that states its pace.
// Small changes are not sent: an error of two percent in a sum is one in the pace.
func contributePace(now time.Time, u *placement.Upstream, set func(key aggregates.Key, value float64)) {
	if !u.StatesPace() {
		return
	}
	set(upstreamKey(valueFlow, u), u.OwnFlow(now))
	set(upstreamKey(valueTokens, u), float64(u.OwnTokens()))
	own := u.OwnPaceSums(now)
	if own.Answers <= 0 {
		return
	}
	key := paceKey(u)
	set(anyPaceKey, 1)
	set(key.Offset(paceAnswers), own.Answers)
	set(key.Offset(paceRatios), own.Ratios)
	set(key.Offset(paceStated), own.Stated)
}

// applyPaces updates the lasting paces of the service's upstreams from the fleet's sums. They are
// relative to their mean: the estimators, which are fitted at the usual pace, would otherwise
// drift against them. During a rollout they are relative to the old version's mean, so that a
// slow target does not make the old version look fast.
func (s *service) applyPaces(totals, reported aggregates.Values) {
	var old, all paceMean
	for _, u := range s.upstreams {
		if totals[anyPaceKey] > 0 {
			u.SetFleetPaceSums(fleetPaceSums(u, totals, reported))
		} else if u.StatesPace() {
			u.SetFleetPaceSums(placement.PaceSums{})
		}
		if u.StatesPace() {
			all.add(u.MeanPaceRatio())
			if !s.isTarget(u) {
				old.add(u.MeanPaceRatio())
			}
		}
	}
	if old.count == 0 {
		old = all
	}
	mean := old.mean()
	for _, u := range s.upstreams {
		if u.StatesPace() {
			u.SetLastingPace(u.MeanPaceRatio() / mean)
		}
	}
}

// fleetPaceSums returns the sums of the other instances for the upstream, none unless all three
// are there: changes of them may come in different messages.
func fleetPaceSums(u *placement.Upstream, totals, reported aggregates.Values) placement.PaceSums {
	key := paceKey(u)
	sums := placement.PaceSums{
		Answers: totals.Others(reported, key.Offset(paceAnswers)),
		Ratios:  totals.Others(reported, key.Offset(paceRatios)),
		Stated:  totals.Others(reported, key.Offset(paceStated)),
	}
	if sums.Answers <= 0 || sums.Ratios <= 0 || sums.Stated <= 0 {
		return placement.PaceSums{}
	}
	return sums
}

// isTarget reports whether the upstream has the target version of a rollout in progress.
func (s *service) isTarget(u *placement.Upstream) bool {
	return s.tracker.InProgress() && u.Version == s.tracker.Target()
}

// paceMean computes a geometric mean.
type paceMean struct {
	logs  float64
	count int
}

func (m *paceMean) add(pace float64) {
	m.logs += math.Log(pace)
	m.count++
}

// mean returns the mean, 1 of no values.
func (m *paceMean) mean() float64 {
	return math.Exp(m.logs / float64(max(1, m.count)))
}

// recordFlow records a call with a prompt if it is sent to an upstream that states its pace.
func (s *service) recordFlow(now time.Time, call *Call, criteria *placement.Criteria) {
	u := call.upstream
	if !u.StatesPace() || criteria.Prompt == nil {
		return
	}
	u.RecordFlow(now, call.work)
	call.flow = call.work
	s.usualWork = gapMemory*s.usualWork + (1-gapMemory)*call.work
	call.tokens = criteria.Tokens
	u.AddTokens(call.tokens)
}

// endFlow ends what recordFlow recorded for a call. Work that the upstream did not take is not
// part of its recent work.
func (c *Call) endFlow(now time.Time, taken bool) {
	c.upstream.AddTokens(-c.tokens)
	if c.flow > 0 && !taken {
		c.upstream.ReturnFlow(now, c.flow, c.chosenAt)
	}
}

// applyFlows updates the recent work at the service's upstreams that state their pace from the
// fleet's sums. Those of the target of a rollout and the others are compared apart, since a
// version's share of the work follows its stage.
func (s *service) applyFlows(now time.Time, totals, reported aggregates.Values) {
	for _, u := range s.upstreams {
		if u.StatesPace() {
			u.SetOthersFlow(totals.Others(reported, upstreamKey(valueFlow, u)))
		}
	}
	version := s.majorityVersion()
	if rollout, known := s.tracker.CurrentRollout(); known {
		version = rollout.Target
	}
	for _, match := range []bool{true, false} {
		compareUsage(now, s.upstreamsByVersion(version, match), s.usualWork)
	}
}

// compareUsage compares the usage of each of the upstreams that get work with their mean.
func compareUsage(now time.Time, upstreams []*placement.Upstream, usualWork float64) {
	oldest := now
	for _, u := range upstreams {
		if u.RegisteredAt().Before(oldest) {
			oldest = u.RegisteredAt()
		}
	}
	sum, count := 0.0, 0
	for _, u := range upstreams {
		if u.Comparable(now, oldest) {
			sum += u.Usage(now)
			count++
		}
	}
	isCalm := float64(count) >= minComparable*float64(len(upstreams))
	for _, u := range upstreams {
		if isCalm && u.Comparable(now, oldest) {
			u.CompareUsage(now, sum/float64(count), usualWork)
		} else {
			u.ResetUsage()
		}
	}
}

// minComparable is the part of the upstreams that must be comparable for any to be compared. While
// more come, go or fail, prompts lose their caches anyway, and calls that are diverted in
// addition cost more reading than even work gains: on a heavy day, 19% more shared tokens
// were read again.
const minComparable = 0.9

// observeStart fits the estimator of the call's model to the wait for the start of its answer.
// The wait is divided by the upstream's pace, since the estimator is that of all upstreams.
func (d *Dispatcher) observeStart(now time.Time, task *Task, call *Call) {
	u, e, wait := call.upstream, d.estimator(task, task.runModel()), forecast.NewMilliseconds(call.startLatency)
	if u.StatesPace() {
		usual := wait / forecast.Milliseconds(u.PaceOver(now, call.startLatency))
		u.ObservePace(now, call.startLatency, float64(wait/e.Wait(task.prompt(), call.place).At(call.backlog)))
		wait = usual
	}
	e.Observe(task.prompt(), call.place, call.backlog, wait)
}

// gapMemory is the factor by which the weight of past gaps decreases with each answer.
const gapMemory = 0.97

// usualValue is the mean of the first samples, later one in which the weight of past ones decreases
// by gapMemory with each. The first sample alone would be a poor one: answers of one service
// differ in length.
type usualValue struct {
	value   float64
	samples int
}

func (v *usualValue) observe(sample float64) {
	v.samples++
	v.value += (sample - v.value) * max(1-gapMemory, 1/float64(v.samples))
}

// observeGap records the mean gap between the events of an answer for the pace of its upstream.
func (s *service) observeGap(now time.Time, task *Task, call *Call) {
	if !call.upstream.StatesPace() || call.events < minGaps {
		return
	}
	gap, model := float64(call.MeanGap()), task.runModel()
	duration := time.Duration(call.events) * call.MeanGap()
	usual := gap / call.upstream.PaceOver(now, duration)
	known := s.usualGaps[model]
	if known > 0 {
		call.upstream.ObservePace(now, duration, gap/known)
		usual = gapMemory*known + (1-gapMemory)*usual
	}
	s.usualGaps[model] = usual
}

// applyMemory updates the tokens that the service's upstreams hold. Only those that state their
// pace are bounded by them.
func (d *Dispatcher) applyMemory(s *service, totals, reported aggregates.Values) {
	var capacity tables.Tokens
	if d.hasModels(s) {
		engine := d.index.Service(s.name).Engine
		capacity, s.tokensPerEvent = engine.KVCapacity, float64(max(1, engine.TokensPerEvent))
	}
	for _, u := range s.upstreams {
		if u.StatesPace() {
			u.SetMemory(capacity, tables.Tokens(totals.Others(reported, upstreamKey(valueTokens, u))))
		}
	}
}

// observeEvents records the number of events of an answer for the tokens that are expected of
// later ones.
func (s *service) observeEvents(call *Call) {
	if call.upstream.StatesPace() {
		s.usualEvents.observe(float64(call.events))
	}
}
