// Package releases moves a service's traffic to a new version of its upstreams
// and back if the version is bad.
//
// The traffic follows stages. Within a stage the share of the new version is
// fixed, so that instances which know the same stage agree on every session
// without talk. The stage lies in the store, and only rises; the evidence for
// and against the new version is the fleet's sum.
package releases

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// A Bound is what the operator allows a version to do that may be bad.
type Bound struct {
	// Exposure is the largest share of the service's requests that may reach a
	// version that turns out bad.
	Exposure float64
}

// An Evidence counts the answers of one version.
type Evidence struct {
	Runs  float64
	Fails float64
	// Slow counts the answers that were several times slower than is usual for
	// their route and model.
	Slow float64
	// Paced counts the streams of several events, Quick those of them with
	// pauses below the usual ones of their model.
	Paced float64
	Quick float64
}

// A Release is the rollout of one service as one instance sees it. The zero
// value is a service without a rollout. It is not safe for concurrent use.
type Release struct {
	rollout catalog.Rollout
	active  bool
	// firstSeenAt is when the instance first saw the rollout to this target.
	firstSeenAt time.Time
	// stageSeenAt is when the instance first saw the rollout in its stage, which
	// may have begun long before.
	stageSeenAt time.Time
	// readySince is since when the target has enough upstreams.
	readySince time.Time
	// rejected says that the evidence speaks against the target. It stays, whatever
	// the store says, until another target is wanted.
	rejected bool
}

// A Reason says why a version is held to be bad.
type Reason string

// stages are the steps of a rollout in progress. A version may be bad in a way
// that no small share shows, such as under load only. So the time at which a
// stage begins counts back from the end of the rollout: all shares together,
// over the whole time, stay within the allowed exposure, and the largest ones
// come last. The first stage finds what is bad at once. The late shares leave
// room for a burst, which would give them more of all requests.
//
// Upstreams of the new version have nothing in their caches, so the shares rise
// in small steps.
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
	// share is the part of the new work that goes to the new version, and part
	// the same as a multiple of the allowed exposure.
	share, exposureFactor float64
	// leadFactor is how long before the rollout's end the stage begins, as a
	// multiple of the allowed exposure. The first one begins at once, the last
	// one at a fixed time.
	leadFactor float64
}

func (s stage) trafficShare(bound Bound) float64 {
	return s.share + s.exposureFactor*bound.Exposure
}

const (
	// minCapacity is the part of the old version's upstreams that the target
	// must have, some of which may just be down.
	minCapacity = 0.6
	// minRuns is the number of requests after which a version that fails half
	// of them has shown it but for one time in a hundred.
	minRuns = 14
	// minServiceRequests is the number of requests of a service below which its
	// versions show nothing.
	minServiceRequests = 3 * minRuns
)

// lastPinnedStage is the last stage of the first half of a rollout, and has no
// larger share than the first one.
const lastPinnedStage = 1

// lastProbeStage is the last stage of a version that has run few requests: it gets
// more of them, and the old version goes on.
const lastProbeStage = 4

const (
	// fullTrafficLead is how long before the rollout's end the last stage begins, in
	// which short calls on the old version end. Streams go on elsewhere.
	fullTrafficLead = 1000 * time.Millisecond
	// completionLead is how long before the rollout's end the old version is given
	// up. It leaves time for the write, and for an instance that has to step in
	// for another one.
	completionLead = 650 * time.Millisecond
	// maxAge bounds how much earlier than it was seen a rollout may have
	// been wanted: the store's watches may be dark for a second and are renewed
	// within two.
	maxAge = 3 * time.Second
)

const (
	// fewFailures and manyFailures are numbers of failures that are enough for a
	// verdict at the excess over the old version's rate beside them.
	fewFailures        = 4
	fewFailuresExcess  = 0.2
	manyFailures       = 8
	manyFailuresExcess = 0.1
	// minSlow is the number of slow answers that is enough at the excess over
	// the old version's rate beside it. Load makes some answers of any version
	// slow, and the new one has nothing in its caches.
	minSlow    = 6
	slowExcess = 0.25
	// minPaced is the number of streams of a new version among which some must
	// be quick, since its upstreams have less work than the others; quickPart
	// is the part. Nothing can be told unless oldQuickPart of the old version's
	// streams are quick.
	minPaced             = 6
	minQuickRate         = 0.05
	minBaselineQuickRate = 0.3
	// minFailedUpstreams is the number of upstreams that a verdict over failures
	// needs; manyOfOne is the number of failures that is enough from one. An
	// upstream that crashes fails alone.
	minFailedUpstreams       = 2
	minFailuresOfOneUpstream = 14
)

const (
	// expectedSlowRate and expectedFailureRate are the parts of slow and of failed answers that
	// any version has without streams, streamSlow that of slow streams with
	// nothing in the caches.
	expectedSlowRate       = 0.03
	expectedFailureRate    = 0.05
	expectedStreamSlowRate = 0.3
	// verdictSignificance is the chance of a wrong verdict from a look at the slow
	// answers, of which a rollout has some dozens. A wrong verdict costs the
	// operator another rollout.
	verdictSignificance = 0.001
	// doubtSignificance is that of a wait, which only costs time.
	doubtSignificance = 0.03
)

// The reasons.
const (
	ReasonNone  Reason = ""
	ReasonFails Reason = "failures"
	ReasonSlow  Reason = "slowness"
)

// Set takes the rollout as the store has it, or nil if there is none. Age is
// how long the store may have had it before.
func (r *Release) Set(now time.Time, rollout *catalog.Rollout, age time.Duration) {
	if rollout == nil {
		*r = Release{}
		return
	}
	if !r.active || r.rollout.Target != rollout.Target {
		*r = Release{active: true, firstSeenAt: now.Add(-min(age, maxAge))}
	}
	if r.rollout.Progress.State.Ended() && !rollout.Progress.State.Ended() && r.rollout.Target == rollout.Target {
		// The same target is wanted again.
		*r = Release{active: true, firstSeenAt: now}
	}
	if r.stageSeenAt.IsZero() || r.rollout.Progress.Stage != rollout.Progress.Stage {
		r.stageSeenAt = now
	}
	r.rollout = *rollout
}

// Reject records that the target is bad and reports whether that is news.
func (r *Release) Reject() bool {
	news := r.InProgress() && !r.rejected
	r.rejected = r.rejected || r.InProgress()
	return news
}

// InProgress reports whether both versions may get work.
func (r *Release) InProgress() bool {
	return r.active && !r.rollout.Progress.State.Ended()
}

// CurrentRollout returns the rollout, and false if there is none.
func (r *Release) CurrentRollout() (catalog.Rollout, bool) {
	return r.rollout, r.active
}

// Share returns the part of the service's new work for the target.
func (r *Release) Share(bound Bound) float64 {
	switch {
	case !r.active:
		return 0
	case r.rollout.Progress.State == catalog.Completed:
		// The old version is gone, whatever is held against the new one.
		return 1
	case r.rejected, r.rollout.Progress.State == catalog.RolledBack:
		return 0
	}
	return stages[r.stageIndex()].trafficShare(bound)
}

// SessionsPinned reports whether sessions must keep their version.
func (r *Release) SessionsPinned() bool {
	return r.InProgress() && r.stageIndex() <= lastPinnedStage
}

// MayBeSelected reports whether a session may be drawn while sessions must keep
// their version.
func MayBeSelected(session string, bound Bound) bool {
	return Selected(session, stages[0].trafficShare(bound))
}

// Canary reports whether the target gets its small share only.
func (r *Release) Canary() bool {
	return r.InProgress() && r.stageIndex() == 0
}

// Selected reports whether a session, or a request without one, falls into the
// share. A session that is drawn stays drawn while the share grows.
func Selected(session string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String("release\x00"+session)%resolution) < share*resolution
}

// A TargetState is what the target of a rollout has.
type TargetState struct {
	// Capacity is the part of the old version's upstreams that the target has.
	Capacity float64
	// Runs is the number of requests that the target has run for the fleet.
	Runs float64
	// Requests is the number that all versions have run for the fleet since.
	Requests float64
	// InDoubt says that the evidence against the target may be chance.
	InDoubt bool
}

// Next returns the progress that the store should have, and false if it has
// it. No more than the first shares go to a target that cannot carry them or
// has not been seen at work: once it is completed the old version stops.
func (r *Release) Next(now time.Time, bound Bound, target TargetState) (catalog.Progress, bool) {
	if !r.InProgress() {
		return catalog.Progress{}, false
	}
	progress := r.rollout.Progress
	if r.rejected {
		return catalog.Progress{State: catalog.RolledBack, Stage: progress.Stage}, true
	}
	if progress.State == catalog.Pending {
		return catalog.Progress{State: catalog.InProgress}, true
	}
	remaining := r.remaining(now, bound)
	last := len(stages) - 1
	maxStage := r.maxStage(now, target)
	if r.stageIndex() == last {
		return catalog.Progress{State: catalog.Completed, Stage: last}, maxStage == last && remaining <= completionLead
	}
	due := r.stageIndex()
	for due < maxStage && remaining <= r.stageLead(due+1, bound) {
		due++
	}
	return catalog.Progress{State: catalog.InProgress, Stage: due}, due > r.stageIndex()
}

// remaining returns the time until the rollout's end, as far as the instance can
// tell: one that has started since knows it from the stage alone.
func (r *Release) remaining(now time.Time, bound Bound) time.Duration {
	remaining := r.rollout.Duration - now.Sub(r.firstSeenAt)
	if r.stageIndex() == 0 {
		return remaining
	}
	return min(remaining, r.stageLead(r.stageIndex(), bound)-now.Sub(r.stageSeenAt))
}

// maxStage returns the last stage that the target may get to for now.
func (r *Release) maxStage(now time.Time, target TargetState) int {
	if target.Capacity < minCapacity || target.InDoubt {
		r.readySince = time.Time{}
		return lastPinnedStage
	}
	if r.readySince.IsZero() {
		r.readySince = now
	}
	// A service with hardly any requests shows little in any time.
	quiet := target.Requests < minServiceRequests && now.Sub(r.readySince) >= r.rollout.Duration/2
	if target.Runs >= minRuns || quiet {
		return len(stages) - 1
	}
	return lastProbeStage
}

// stageLead returns how long before the rollout's end a stage begins. In a short
// rollout several begin together with the last one.
func (r *Release) stageLead(index int, bound Bound) time.Duration {
	lead := time.Duration(stages[index].leadFactor * bound.Exposure * float64(r.rollout.Duration))
	return max(lead, fullTrafficLead)
}

// Target returns the version that is rolled out, or an empty one.
func (r *Release) Target() tables.VersionID {
	return r.rollout.Target
}

// stageIndex returns the index of the stage that the store has.
func (r *Release) stageIndex() int {
	return min(max(0, r.rollout.Progress.Stage), len(stages)-1)
}

// Judge compares the answers of a new version with those of the old one.
// Upstreams is the number of the new version's upstreams that failed calls.
func Judge(target, baseline Evidence, upstreams int) Reason {
	excess := rate(target.Fails, target.Runs) - rate(baseline.Fails, baseline.Runs)
	several := upstreams >= minFailedUpstreams || target.Fails >= minFailuresOfOneUpstream
	few := target.Fails >= fewFailures && excess > fewFailuresExcess
	many := target.Fails >= manyFailures && excess > manyFailuresExcess
	if several && (few || many) {
		return ReasonFails
	}
	if target.Slow >= minSlow && rate(target.Slow, target.Runs)-rate(baseline.Slow, baseline.Runs) > slowExcess {
		return ReasonSlow
	}
	if !hasStreams(target, baseline) && tailProbability(target.Slow, target.Runs, max(expectedSlowRate, rate(baseline.Slow, baseline.Runs))) < verdictSignificance {
		return ReasonSlow
	}
	if target.Paced >= minPaced && target.Quick < minQuickRate*target.Paced && baseline.Quick >= minBaselineQuickRate*baseline.Paced {
		return ReasonSlow
	}
	return ReasonNone
}

// Doubtful reports whether the answers of a new version are worse than those of
// the old one by more than chance easily gives. In a short rollout, or one of a
// service with few requests, that is all there is to learn before the end.
func Doubtful(target, baseline Evidence) bool {
	slow := expectedSlowRate
	if hasStreams(target, baseline) {
		slow = expectedStreamSlowRate
	}
	return tailProbability(target.Slow, target.Runs, max(slow, rate(baseline.Slow, baseline.Runs))) < doubtSignificance ||
		tailProbability(target.Fails, target.Runs, max(expectedFailureRate, rate(baseline.Fails, baseline.Runs))) < doubtSignificance
}

// hasStreams reports whether there are streams among the answers.
func hasStreams(target, baseline Evidence) bool {
	return target.Paced+baseline.Paced > 0
}

// tailProbability returns the probability of at least so many hits among the runs if
// each is one with the probability given.
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

func rate(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
