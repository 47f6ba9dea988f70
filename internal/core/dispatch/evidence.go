package dispatch

import (
	"math"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/tables"
)

// A RolloutStep is a change of a rollout's progress that is due.
type RolloutStep struct {
	Rollout  catalog.Rollout
	Progress catalog.Progress
	// TargetEvidence and BaselineEvidence are the evidence about the target and
	// the other versions as of the last ApplyTotals.
	TargetEvidence   releases.Evidence
	BaselineEvidence releases.Evidence
}

// A Verdict is the finding that a version is bad. Class is empty if the finding
// is about all routes together.
type Verdict struct {
	Service          tables.ServiceID
	Version          tables.VersionID
	Class            tables.ClassID
	Reason           releases.Reason
	TargetEvidence   releases.Evidence
	BaselineEvidence releases.Evidence
}

// The names of an upstream's values that are summed over the fleet.
const (
	valueWork  = "work"
	valueRuns  = "runs"
	valueFails = "fails"
	// valueFlow is the recent work that was sent to an upstream that states its pace.
	valueFlow = "flow"
	// valueTokens are the tokens of the calls in flight to such an upstream.
	valueTokens = "tokens"
	// valueRejections is the number of rejections in a second that the upstream says it
	// tolerates, valueStatements the number of instances to which it has said so lately.
	valueRejections = "rejections"
	valueStatements = "statements"
)

// evidenceFields names the fields of an evidence that are summed over the
// fleet.
var evidenceFields = []struct {
	name    string
	counter func(e *releases.Evidence) *float64
}{
	{"runs", func(e *releases.Evidence) *float64 { return &e.Runs }},
	{"fails", func(e *releases.Evidence) *float64 { return &e.Fails }},
	{"slow", func(e *releases.Evidence) *float64 { return &e.Slow }},
	{"paced", func(e *releases.Evidence) *float64 { return &e.Paced }},
	{"quick", func(e *releases.Evidence) *float64 { return &e.Quick }},
}

// trafficFields names the fields of a service's traffic that are summed over the
// fleet.
var trafficFields = []struct {
	name    string
	counter func(t *releases.Traffic) *float64
}{
	{"offered", func(t *releases.Traffic) *float64 { return &t.Offered }},
	{"reached", func(t *releases.Traffic) *float64 { return &t.Reached }},
	{"target_reached", func(t *releases.Traffic) *float64 { return &t.TargetReached }},
}

// anyStatementKey is the key of the number of instances to which any upstream has said
// lately that it tolerates few rejections.
var anyStatementKey = aggregates.NewExactKey("upstream", valueStatements)

// Contribution returns this instance's part of the fleet's sums.
func (d *Dispatcher) Contribution(now time.Time) aggregates.Values {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	values := aggregates.Values{}
	set := func(key aggregates.Key, value float64) {
		if value > 0 {
			values[key] = value
		}
	}
	d.quarantine.Contribution(now, set)
	d.contributeSigns(now, set)
	d.visitSelectableSessions(now, func(key aggregates.Key) { set(key, 1) })
	for _, s := range d.services {
		for _, u := range s.upstreams {
			u.Decay(now)
			set(upstreamKey(valueWork, u), u.OwnWork)
			set(upstreamKey(valueRuns, u), math.Round(u.Calls))
			set(upstreamKey(valueFails, u), math.Round(u.Failures))
			contributePace(now, u, set)
			if limit := u.StatedRejections(now); limit > 0 {
				set(anyStatementKey, 1)
				set(statementKey(valueRejections, u), float64(limit))
				set(statementKey(valueStatements, u), 1)
			}
			if statement := u.Limit.Statement(now); !statement.IsEmpty() {
				statement.Contribute(lifeName(u), set)
			}
			d.contributeWarmUp(now, u, set)
		}
		s.contribute(now, set)
		for key, evidence := range s.evidence {
			for _, field := range evidenceFields {
				set(s.sumKey(key, field.name), *field.counter(evidence))
			}
		}
		for _, field := range trafficFields {
			set(s.trafficKey(field.name), *field.counter(&s.traffic))
		}
		for id, count := range s.failures {
			set(s.failuresKey(id), count)
		}
	}
	return values
}

// ApplyTotals replaces the fleet's sums, updates the upstreams and the evidence
// from them, and returns the versions that the evidence shows to be bad.
// Reported is this instance's part of the sums.
func (d *Dispatcher) ApplyTotals(now time.Time, totals, reported aggregates.Values) []Verdict {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.totals = totals
	if d.limits.Cold.Overshoot > 0 {
		d.callers.Set(now, d.self, d.members)
	}
	d.recordSigns()
	d.applyBeginnings(now)
	d.quarantineChanges = append(d.quarantineChanges, d.quarantine.ApplyTotals(now, totals, reported)...)
	var verdicts []Verdict
	for _, s := range d.services {
		for _, u := range s.upstreams {
			work := upstreamKey(valueWork, u)
			u.OthersWork = totals.Others(reported, work)
			u.SetFleetCounts(now, totals[upstreamKey(valueRuns, u)], totals[upstreamKey(valueFails, u)])
			if totals[anyStatementKey] > 0 || u.RejectionsLimited() {
				d.limitRejections(now, u)
			}
			if _, named := u.Limit.Named(); named || totals[pacing.AnyKey] > 0 {
				d.updateLimit(now, s, u, u.Limit.ApplyTotals(now, lifeName(u), totals, reported))
			}
			d.applyWarmUp(now, s, u, totals, reported)
		}
		s.applyPaces(totals, reported)
		s.applyFlows(now, totals, reported)
		d.applyMemory(s, totals, reported)
		d.applyAdmission(now, s, totals, reported)
		verdicts = append(verdicts, d.judgeRollout(s, totals, reported)...)
	}
	return verdicts
}

// DueSteps returns the changes of rollouts that are due.
func (d *Dispatcher) DueSteps(now time.Time) []RolloutStep {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var steps []RolloutStep
	for _, s := range d.services {
		if !s.tracker.InProgress() && !s.tracker.Behind() {
			continue
		}
		rollout, _ := s.tracker.CurrentRollout()
		if progress, due := s.tracker.NextProgress(now, d.limits.Release, s.targetState()); due {
			steps = append(steps, RolloutStep{rollout, progress, s.targetEvidence, s.baselineEvidence})
		}
	}
	return steps
}

// targetState returns the state of the target of the service's rollout.
func (s *service) targetState() releases.TargetState {
	target := s.tracker.Target()
	targetCount, baselineCount := countUsable(s.upstreamsByVersion(target, true)), countUsable(s.upstreamsByVersion(target, false))
	state := releases.TargetState{
		Runs:         s.targetEvidence.Runs,
		Requests:     s.targetEvidence.Runs + s.baselineEvidence.Runs,
		LooksWorse:   releases.LooksWorse(s.targetEvidence, s.baselineEvidence),
		LacksStreams: releases.LacksStreams(s.targetEvidence, s.baselineEvidence),
		Traffic:      s.fleetTraffic,
	}
	if targetCount > 0 {
		state.Capacity = float64(targetCount) / float64(max(1, baselineCount))
	}
	return state
}

// countUsable returns the number of upstreams that may get new work.
func countUsable(upstreams []*placement.Upstream) int {
	count := 0
	for _, u := range upstreams {
		if u.Usable() {
			count++
		}
	}
	return count
}

// judgeRollout compares the versions of a service in a rollout, by route and
// over all routes.
func (d *Dispatcher) judgeRollout(s *service, totals, reported aggregates.Values) []Verdict {
	if !s.tracker.InProgress() {
		return nil
	}
	target := s.tracker.Target()
	var classes []tables.ClassID
	if d.index != nil {
		for i := range d.index.Catalog.Routes {
			classes = append(classes, d.index.Catalog.Routes[i].Class())
		}
	}
	for _, field := range trafficFields {
		*field.counter(&s.fleetTraffic) = totals.Others(reported, s.trafficKey(field.name)) + *field.counter(&s.traffic)
	}
	failedUpstreams := s.countFailedUpstreams(totals, reported)
	var targetEvidence, baselineEvidence releases.Evidence
	for _, class := range classes {
		targetClass := s.fleetEvidence(evidenceKey{target, class}, totals, reported)
		baselineClass := s.fleetEvidence(evidenceKey{baselineVersion, class}, totals, reported)
		if verdicts, bad := s.judgeEvidence(class, targetClass, baselineClass, failedUpstreams); bad {
			return verdicts
		}
		targetEvidence.Add(targetClass)
		baselineEvidence.Add(baselineClass)
	}
	s.targetEvidence, s.baselineEvidence = targetEvidence, baselineEvidence
	verdicts, _ := s.judgeEvidence("", targetEvidence, baselineEvidence, failedUpstreams)
	return verdicts
}

// countFailedUpstreams returns the number of the target's upstreams that failed
// calls of any instance.
func (s *service) countFailedUpstreams(totals, reported aggregates.Values) int {
	count := 0
	for _, u := range s.upstreamsByVersion(s.tracker.Target(), true) {
		key := s.failuresKey(u.ID)
		if totals.Others(reported, key)+s.failures[u.ID] > 0 {
			count++
		}
	}
	return count
}

// judgeEvidence rejects the target of a rollout if the evidence shows it to be
// bad, and reports whether it does. The verdict is returned only once.
func (s *service) judgeEvidence(class tables.ClassID, target, baseline releases.Evidence, failedUpstreams int) ([]Verdict, bool) {
	reason := releases.Judge(target, baseline, failedUpstreams)
	if reason == releases.ReasonNone {
		return nil, false
	}
	if !s.tracker.Reject() {
		return nil, true
	}
	return []Verdict{{s.name, s.tracker.Target(), class, reason, target, baseline}}, true
}

// fleetEvidence returns the evidence of the fleet: what the other instances
// reported and the current evidence of this one.
func (s *service) fleetEvidence(key evidenceKey, totals, reported aggregates.Values) releases.Evidence {
	var evidence releases.Evidence
	own := s.evidence[key]
	for _, field := range evidenceFields {
		value := totals.Others(reported, s.sumKey(key, field.name))
		if own != nil {
			value += *field.counter(own)
		}
		*field.counter(&evidence) = value
	}
	return evidence
}

// recordTraffic adds a call that reached an upstream to the traffic of the service's
// rollout.
func (s *service) recordTraffic(task *Task) {
	if !s.tracker.InProgress() {
		return
	}
	s.traffic.Reached++
	if s.ranOnTarget(task) {
		s.traffic.TargetReached++
	}
}

// ranOnTarget reports whether the task last ran on the target of the service's rollout. A task
// from before the rollout has the version that it ran on, not baselineVersion.
func (s *service) ranOnTarget(task *Task) bool {
	return task.version == s.tracker.Target()
}

// recordCall adds a call to the evidence about its version.
func (s *service) recordCall(task *Task, call *Call, result Result) {
	if !s.tracker.InProgress() {
		return
	}
	key := evidenceKey{task.version, task.Request.Route.Class()}
	evidence := s.evidence[key]
	if evidence == nil {
		evidence = &releases.Evidence{}
		s.evidence[key] = evidence
	}
	if result == Abandoned && !call.started {
		return
	}
	// A lost connection is a fault of the upstream, not of its version, and shows
	// neither a failure nor a good answer.
	lost := result == Broken || result == Mismatched || result == LinkLost
	if !lost {
		evidence.Runs++
	}
	if result == Failed || result == TimedOut {
		evidence.Fails++
		s.failures[call.Upstream.ID]++
	}
	if !lost && call.started && s.slow(task, call) {
		evidence.Slow++
	}
	quick, known := s.quick(task, call)
	if known {
		evidence.Paced++
	}
	if quick {
		evidence.Quick++
	}
}

// sumKey is the key of the sum of one field of an evidence in the service's
// rollout.
func (s *service) sumKey(key evidenceKey, field string) aggregates.Key {
	return aggregates.NewExactKey("release", string(s.name), string(s.tracker.Target()), string(key.version), string(key.class), field)
}

// trafficKey is the key of the sum of one field of the service's traffic in its
// rollout.
func (s *service) trafficKey(field string) aggregates.Key {
	return aggregates.NewExactKey("traffic", string(s.name), string(s.tracker.Target()), field)
}

// failuresKey is the key of the sum of an upstream's failed calls in the
// service's rollout.
func (s *service) failuresKey(id tables.UpstreamID) aggregates.Key {
	return aggregates.NewExactKey("blame", string(s.name), string(s.tracker.Target()), string(id))
}

// upstreamKey is the key of the sum of one of an upstream's values.
func upstreamKey(value string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewKey("upstream", value, string(u.ID))
}

// statementKey is the key of the sum of one of the values that an upstream has stated.
func statementKey(value string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewExactKey("upstream", value, string(u.ID))
}
