// Package releases moves a service's traffic to a new version of its upstreams,
// and back if the version is bad.
//
// The traffic moves in stages. Within a stage the share of the new version is
// fixed, so that instances which know the same stage select the same sessions
// without coordination. The stage is kept in the store and only rises. The
// evidence for and against the new version is summed over the fleet.
package releases

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// Limits bound the damage that a bad version may do.
type Limits struct {
	// MaxExposure is the largest share of the service's requests that may reach
	// a version that turns out bad.
	MaxExposure float64
	// ExposureSlack is the number of requests that may reach it besides.
	ExposureSlack float64
}

// An Evidence counts the answers of one version.
type Evidence struct {
	// Runs counts the calls that an upstream may have run, without those whose
	// connection was lost. Fails counts those of them that the upstream failed or
	// did not answer in time.
	Runs  float64
	Fails float64
	// Slow counts the answers that were several times slower than is usual for
	// their route and model.
	Slow float64
	// Paced counts the streams of several events, Quick those of them whose
	// mean gap between events was at most the usual one of their model.
	Paced float64
	Quick float64
}

// A Tracker is the rollout of one service as one instance sees it. The zero
// value is a service without a rollout. It is not safe for concurrent use.
type Tracker struct {
	rollout catalog.Rollout
	active  bool
	// firstSeenAt is when the instance first saw the rollout to this target,
	// earlier by the time for which the store may have had it.
	firstSeenAt time.Time
	// stageSeenAt is when the instance first saw the rollout in its stage,
	// which may have begun long before.
	stageSeenAt time.Time
	// readySince is when the target last came to have enough upstreams and no
	// doubtful evidence, zero while it lacks either.
	readySince time.Time
	// rejected is true once the evidence shows that the target is bad. It stays
	// true in whatever state the store has the rollout, until the rollout is
	// removed, replaced or started again.
	rejected bool
	// behind is true while the store was restored from a copy that lacks progress of the
	// rollout. lost is the rollout that was last removed, which a restore may have lost.
	behind bool
	lost   catalog.Rollout
}

// A Reason is why a version was judged to be bad.
type Reason string

// stages are the steps of a rollout in progress. Some faults of a version, such
// as those under load, do not show at small shares. The start of each stage is
// therefore counted back from the end of the rollout: the largest shares come
// last, and all shares together, over the whole time, stay within the allowed
// exposure. The first stage finds faults that show at once. The late shares
// leave room for a burst, in which they would receive more of all requests.
//
// The caches of upstreams of the new version are empty, so the shares rise in
// small steps.
var stages = []stage{
	{exposureFactor: 0.47},
	{exposureFactor: 0.27, leadFactor: 4.7},
	{share: 0.08, leadFactor: 1.5},
	{share: 0.16, leadFactor: 1.15},
	{share: 0.3, leadFactor: 0.8},
	{share: 0.55, leadFactor: 0.5},
	{share: 1},
}

// stage is a step of a rollout.
type stage struct {
	// share is the part of the new work that goes to the new version.
	// exposureFactor gives a further part, as a multiple of the allowed
	// exposure.
	share, exposureFactor float64
	// leadFactor is how long before the rollout's end the stage begins, as a
	// fraction of the rollout's duration for each unit of allowed exposure. The
	// first stage begins at once, the last one fullTrafficLead before the end.
	leadFactor float64
}

// trafficShare returns the part of the new work that goes to the new version in
// the stage.
func (s stage) trafficShare(limits Limits) float64 {
	return s.share + s.exposureFactor*limits.MaxExposure
}

const (
	// minCapacity is the number of the target's upstreams, as a fraction of the
	// old version's, that a rollout needs to leave the pinned stages and to
	// be completed. It is below 1 because some upstreams may just be down.
	minCapacity = 0.6
	// minRuns is the number of requests after which a version that fails half
	// of them is recognised with a probability of 99 %.
	minRuns = 14
	// minServiceRequests is the number of a service's requests below which the
	// evidence about its versions is too small.
	minServiceRequests = 3 * minRuns
)

// lastPinnedStage is the last of the early stages, in which sessions keep their
// version. Its share is no larger than that of the first stage.
const lastPinnedStage = 1

// lastProbeStage is the last stage for a version that has run few requests. Its
// share rises up to this stage, so that it gets more requests, while the old
// version keeps serving.
const lastProbeStage = 4

const (
	// fullTrafficLead is how long before the rollout's end the last stage
	// begins. Short calls on the old version end in this time; streams are
	// resumed elsewhere.
	fullTrafficLead = 1000 * time.Millisecond
	// completionLead is how long before the rollout's end it is completed, which
	// stops the old version. It leaves time for the write to the store, and for
	// another instance to take over the write.
	completionLead = 650 * time.Millisecond
	// maxAge bounds the time for which a rollout may have been in the store
	// before it was first seen. The store's watches may miss changes for a
	// second and are renewed within two.
	maxAge = 3 * time.Second
)

const (
	// fewFailures and manyFailures are numbers of failures from which a version
	// is bad if its failure rate exceeds that of the old version by more than
	// fewFailuresExcess or manyFailuresExcess.
	fewFailures        = 4
	fewFailuresExcess  = 0.2
	manyFailures       = 8
	manyFailuresExcess = 0.1
	// minSlow is the number of slow answers from which a version is bad if its
	// rate of slow answers exceeds that of the old version by more than
	// slowExcess. Load makes some answers of any version slow, and the caches
	// of the new version are empty.
	minSlow    = 6
	slowExcess = 0.25
	// minPaced is the number of paced streams of the new version from which at
	// least minQuickRate of them must be quick, since its upstreams have less
	// work than the others.
	minPaced     = 6
	minQuickRate = 0.05
	// minPacedRate is the rate of paced streams among the old version's answers from
	// which the new one must have minPaced of them.
	minPacedRate = 0.2
	// minFailedUpstreams is the number of upstreams with failures that a
	// verdict over failures needs. From minFailuresOfOneUpstream failures on,
	// one upstream is enough. The minimum keeps the crash of a single upstream
	// from being blamed on its version.
	minFailedUpstreams       = 2
	minFailuresOfOneUpstream = 14
)

const (
	// expectedSlowRate and expectedFailureRate are the rates of slow and of
	// failed answers that any version may have without streams.
	// expectedStreamSlowRate is the rate of slow answers with streams while the
	// caches are empty. expectedQuickRate is the least rate of quick streams of a
	// version as fast as the old one, of whose streams about half are quick.
	expectedSlowRate       = 0.03
	expectedFailureRate    = 0.05
	expectedStreamSlowRate = 0.3
	expectedQuickRate      = 0.4
	// verdictSignificance is the probability of a wrong verdict in one check of
	// the slow answers. A rollout has some dozens of checks, and a wrong
	// verdict costs the operator another rollout.
	verdictSignificance = 0.001
	// paceSignificance is the probability of a wrong verdict in one check of the quick
	// streams of a version that just reaches expectedQuickRate. Sound versions are
	// well above.
	paceSignificance = 0.01
	// doubtSignificance is the probability of a needless wait in one check. It
	// is larger, because a wait costs only time.
	doubtSignificance = 0.03
)

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slowness"
)

// SetRollout replaces the rollout by the one in the store, nil if there is
// none. Age is how long a new rollout may have been in the store.
func (t *Tracker) SetRollout(now time.Time, rollout *catalog.Rollout, age time.Duration) {
	if rollout == nil {
		*t = Tracker{lost: t.latest(), rejected: t.rejected}
		return
	}
	if known := t.latest(); t.isRestored(known, rollout) {
		if !t.active {
			*t = Tracker{active: true, rejected: t.rejected, firstSeenAt: now, stageSeenAt: now}
		}
		t.rollout, t.behind = *rollout, true
		t.rollout.Progress = known.Progress
		return
	}
	t.behind = false
	if !t.active || t.rollout.Target != rollout.Target {
		*t = Tracker{active: true, firstSeenAt: now.Add(-min(age, maxAge))}
	}
	if t.rollout.Progress.State.Ended() && !rollout.Progress.State.Ended() && t.rollout.Target == rollout.Target {
		// The same target is rolled out again.
		*t = Tracker{active: true, firstSeenAt: now}
	}
	if t.stageSeenAt.IsZero() || t.rollout.Progress.Stage != rollout.Progress.Stage {
		t.stageSeenAt = now
	}
	t.rollout = *rollout
}

// latest returns the latest rollout that was known, the zero Rollout if there was none.
func (t *Tracker) latest() catalog.Rollout {
	if t.active {
		return t.rollout
	}
	return t.lost
}

// isRestored reports whether the store has a rollout with less progress than is known, because
// it was restored from a copy.
func (t *Tracker) isRestored(known catalog.Rollout, rollout *catalog.Rollout) bool {
	return known.Target == rollout.Target && rollout.Progress.Before(known.Progress) && (t.behind || rollout.Era > known.Era)
}

// Behind reports whether the store was restored from a copy that lacks progress of the rollout,
// so that it has to be written again.
func (t *Tracker) Behind() bool {
	return t.behind
}

// Reject records that the target of a rollout in progress is bad and reports
// whether this was not known before.
func (t *Tracker) Reject() bool {
	isNew := t.InProgress() && !t.rejected
	t.rejected = t.rejected || t.InProgress()
	return isNew
}

// InProgress reports whether both versions may get work.
func (t *Tracker) InProgress() bool {
	return t.active && !t.rollout.Progress.State.Ended()
}

// CurrentRollout returns the rollout, and false if there is none.
func (t *Tracker) CurrentRollout() (catalog.Rollout, bool) {
	return t.rollout, t.active
}

// TargetShare returns the part of the service's new work that goes to the
// target.
func (t *Tracker) TargetShare(limits Limits) float64 {
	switch {
	case !t.active:
		return 0
	case t.rollout.Progress.State == catalog.Completed:
		// The old version no longer serves, even if the target was rejected.
		return 1
	case t.rejected, t.rollout.Progress.State == catalog.RolledBack:
		return 0
	}
	return stages[t.stageIndex()].trafficShare(limits)
}

// SessionsPinned reports whether sessions must keep their version.
func (t *Tracker) SessionsPinned() bool {
	return t.InProgress() && t.stageIndex() <= lastPinnedStage
}

// MayBeSelected reports whether a session may be selected for the target while
// sessions must keep their version.
func MayBeSelected(session string, limits Limits) bool {
	return Selected(session, stages[0].trafficShare(limits))
}

// InCanaryStage reports whether the rollout is in its first stage, in which
// only a few upstreams of the target get work.
func (t *Tracker) InCanaryStage() bool {
	return t.InProgress() && t.stageIndex() == 0
}

// Selected reports whether a session, or a request without one, falls into the
// share. A selected session stays selected while the share grows.
func Selected(session string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String("release\x00"+session)%resolution) < share*resolution
}

// A TargetState is what is known of the target of a rollout and its traffic.
type TargetState struct {
	// Capacity is the number of the target's upstreams as a fraction of the old
	// version's.
	Capacity float64
	// Runs is the number of requests that the target has run for the fleet.
	Runs float64
	// Requests is the number of requests that all versions have run for the
	// fleet since the rollout began.
	Requests float64
	// LacksStreams is true while too few streams of the target were seen to compare
	// their pace, though the service has streams.
	LacksStreams bool
	// LooksWorse is true while the answers of the target look worse than those
	// of the old version, though not clearly enough for a verdict.
	LooksWorse bool
	// Traffic is the traffic of the service. Its zero value is no traffic.
	Traffic Traffic
}

// NextProgress returns the progress that the store should have, and false if
// the store already has it. A target that lacks capacity, is in doubt or has
// run few requests stays at the small shares, since the old version stops once
// the rollout is completed. The share does not rise either where more requests
// than allowed would reach the target.
func (t *Tracker) NextProgress(now time.Time, limits Limits, target TargetState) (catalog.Progress, bool) {
	if t.behind {
		return t.rollout.Progress, true
	}
	if !t.InProgress() {
		return catalog.Progress{}, false
	}
	progress := t.rollout.Progress
	if t.rejected {
		return catalog.Progress{State: catalog.RolledBack, Stage: progress.Stage}, true
	}
	if progress.State == catalog.Pending {
		return catalog.Progress{State: catalog.InProgress}, true
	}
	remaining := t.remaining(now, limits)
	last := len(stages) - 1
	maxStage := t.maxStage(now, target)
	if t.stageIndex() == last {
		return catalog.Progress{State: catalog.Completed, Stage: last}, maxStage == last && remaining <= completionLead
	}
	due := t.stageIndex()
	for due < maxStage && remaining <= t.stageLead(due+1, limits) {
		due++
	}
	if due > t.stageIndex() && !t.withinExposure(now, limits, target.Traffic, due) {
		return catalog.Progress{}, false
	}
	return catalog.Progress{State: catalog.InProgress, Stage: due}, due > t.stageIndex()
}

// remaining returns this instance's estimate of the time until the rollout's
// end. An instance that started during the rollout derives it from the stage.
func (t *Tracker) remaining(now time.Time, limits Limits) time.Duration {
	remaining := t.rollout.Duration - now.Sub(t.firstSeenAt)
	if t.stageIndex() == 0 {
		return remaining
	}
	return min(remaining, t.stageLead(t.stageIndex(), limits)-now.Sub(t.stageSeenAt))
}

// maxStage returns the last stage that the target may currently reach.
func (t *Tracker) maxStage(now time.Time, target TargetState) int {
	if target.Capacity < minCapacity || target.LooksWorse {
		t.readySince = time.Time{}
		return lastPinnedStage
	}
	if t.readySince.IsZero() {
		t.readySince = now
	}
	// A service with very few requests gives little evidence however long the
	// rollout waits.
	quiet := target.Requests < minServiceRequests && now.Sub(t.readySince) >= t.rollout.Duration/2
	if target.Runs >= minRuns && !target.LacksStreams || quiet {
		return len(stages) - 1
	}
	return lastProbeStage
}

// stageLead returns how long before the rollout's end a stage begins. In a
// short rollout several stages begin together with the last one.
func (t *Tracker) stageLead(index int, limits Limits) time.Duration {
	lead := time.Duration(stages[index].leadFactor * limits.MaxExposure * float64(t.rollout.Duration))
	return max(lead, fullTrafficLead)
}

// Target returns the version that is rolled out, empty if there is none.
func (t *Tracker) Target() tables.VersionID {
	return t.rollout.Target
}

// stageIndex returns the index of the stage in the store, within the stages
// that exist.
func (t *Tracker) stageIndex() int {
	return min(max(0, t.rollout.Progress.Stage), len(stages)-1)
}

// Judge compares the answers of a new version, the target, with those of the
// old one, the baseline, and returns ReasonNone unless the target is bad.
// FailedUpstreams is the number of the target's upstreams that failed calls.
func Judge(target, baseline Evidence, failedUpstreams int) Reason {
	excess := rate(target.Fails, target.Runs) - rate(baseline.Fails, baseline.Runs)
	several := failedUpstreams >= minFailedUpstreams || target.Fails >= minFailuresOfOneUpstream
	few := target.Fails >= fewFailures && excess > fewFailuresExcess
	many := target.Fails >= manyFailures && excess > manyFailuresExcess
	if several && (few || many) {
		return ReasonFailures
	}
	if target.Slow >= minSlow && rate(target.Slow, target.Runs)-rate(baseline.Slow, baseline.Runs) > slowExcess {
		return ReasonSlow
	}
	if !hasStreams(target, baseline) && tailProbability(target.Slow, target.Runs, max(expectedSlowRate, rate(baseline.Slow, baseline.Runs))) < verdictSignificance {
		return ReasonSlow
	}
	if target.Paced >= minPaced && target.Quick < minQuickRate*target.Paced {
		return ReasonSlow
	}
	if quickDeficit(target) < paceSignificance {
		return ReasonSlow
	}
	return ReasonNone
}

// LooksWorse reports whether fewer streams of the target than expected are quick, or
// its answers are worse than those of the baseline by more than chance easily
// explains. In a short rollout, or with few requests, there is no stronger evidence
// before the end.
func LooksWorse(target, baseline Evidence) bool {
	slow := expectedSlowRate
	if hasStreams(target, baseline) {
		slow = expectedStreamSlowRate
	}
	return target.Quick < expectedQuickRate*target.Paced ||
		tailProbability(target.Slow, target.Runs, max(slow, rate(baseline.Slow, baseline.Runs))) < doubtSignificance ||
		tailProbability(target.Fails, target.Runs, max(expectedFailureRate, rate(baseline.Fails, baseline.Runs))) < doubtSignificance
}

// quickDeficit returns the probability of at most so few quick streams of a
// version that is as fast as the old one.
func quickDeficit(target Evidence) float64 {
	return distuv.Binomial{N: target.Paced, P: expectedQuickRate}.CDF(target.Quick)
}

// LacksStreams reports whether too few streams of the target were seen to compare their
// pace, though a good part of the baseline's answers are such streams.
func LacksStreams(target, baseline Evidence) bool {
	return target.Paced < minPaced && baseline.Paced >= minPacedRate*baseline.Runs && baseline.Paced > 0
}

// hasStreams reports whether there are paced streams among the answers.
func hasStreams(target, baseline Evidence) bool {
	return target.Paced+baseline.Paced > 0
}

// tailProbability returns the probability of at least the given number of hits
// among the runs, each of which is a hit with the given probability.
func tailProbability(hits, runs, probability float64) float64 {
	if hits <= 0 {
		return 1
	}
	return 1 - distuv.Binomial{N: math.Max(hits, runs), P: math.Min(probability, 1)}.CDF(hits-1)
}

// Add adds the counts of another evidence.
func (e *Evidence) Add(other Evidence) {
	e.Runs += other.Runs
	e.Fails += other.Fails
	e.Slow += other.Slow
	e.Paced += other.Paced
	e.Quick += other.Quick
}

// rate returns the part as a fraction of the whole, zero if the whole is zero.
func rate(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
