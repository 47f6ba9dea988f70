// Package routing chooses the upstream for a call from delayed load reports,
// the instance's own in-flight calls, prefix-cache locality and distance.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// Call describes a call for the choice of an upstream.
type Call struct {
	// PromptTokens and AnswerTokens are the expected sizes of the prompt and
	// the answer.
	PromptTokens tables.Tokens
	AnswerTokens tables.Tokens
	// PrefixHash is the hash of the first block of the prompt, zero for none.
	PrefixHash uint64
	// Avoid names an upstream that already failed this request, or is empty.
	Avoid tables.UpstreamID
}

// Choice is an upstream with its expected wait.
type Choice struct {
	Upstream *Upstream
	// ExpectedWait is the expected time to the first token.
	ExpectedWait time.Duration

	// expectedSeconds is the wait expected from load, prompt and distance,
	// without the lateness of the upstream.
	expectedSeconds float64
	// slotFree is true if the upstream was expected to have a free slot.
	slotFree bool
}

// LoadReport is an upstream's report of its load.
type LoadReport struct {
	// Running is the number of calls running and queued.
	Running int
	// WaitingTokens is the work of these calls, in tokens.
	WaitingTokens tables.Tokens
	// TakenAt is the time that the report describes.
	TakenAt time.Time
}

// UpstreamSet holds an instance's state of the upstreams of one pool. It is not
// safe for concurrent use.
type UpstreamSet struct {
	Pool *tables.Pool
	// HomeDataCenter is the instance's own data centre.
	HomeDataCenter tables.DataCenterID
	// Policy replaces the choice of an upstream. If it is nil, Choose minimizes
	// ExpectedWait.
	Policy func(s *UpstreamSet, now time.Time, call Call, random *rand.Rand) *Upstream

	upstreams []*Upstream
	hints     prefixHints
	// idleFirstTokenSeconds is the mean time to the first token at an upstream
	// with a free slot, meanServiceSeconds the mean time that a call occupies
	// its slot. Both are zero before the first observation.
	idleFirstTokenSeconds float64
	meanServiceSeconds    float64
	// meanLateSeconds is the mean lateness of first tokens over all upstreams.
	meanLateSeconds float64
	// reportedRunningSum is the sum of Running over the latest report of each
	// upstream, reportedCount the number of these reports.
	reportedRunningSum int
	reportedCount      int
}

const (
	// defaultFirstTokenSeconds and defaultServiceSeconds are used until there
	// are observations.
	defaultFirstTokenSeconds = 0.1
	defaultServiceSeconds    = 1.0
	// prefillTokensPerSecond is the assumed speed of reading a prompt.
	prefillTokensPerSecond = 20000.0
	// prefixHitSaving is the fraction of the prompt's work that a prefix-cache
	// hit saves.
	prefixHitSaving = 0.7
	// fullLoadSlowdown is the relative increase of the time to the first token
	// when all slots are in use.
	fullLoadSlowdown = 1.0
	// remotePenaltySeconds is added for an upstream in another data centre.
	remotePenaltySeconds = 0.005
	// sampleSize is the number of upstreams drawn at random for a choice.
	sampleSize = 8
	// reportDecayRate is the exponential decay rate of a report's difference
	// from the mean, per service time.
	reportDecayRate = 2.0
	// serviceTimeGain is the weight of one observation in the mean service
	// time. idleFallGain and idleRiseGain are the weights of observations below
	// and above the mean idle time to the first token. Falling faster than it
	// rises, this mean follows the low observations.
	serviceTimeGain = 0.05
	idleFallGain    = 0.2
	idleRiseGain    = 0.005
	// meanLateGain is the weight of one observation in the mean lateness. An
	// upstream counts as slow if its lateness is over slowLatenessRatio times
	// the mean plus minSlowLatenessSeconds.
	meanLateGain           = 0.01
	slowLatenessRatio      = 2.0
	minSlowLatenessSeconds = 0.2
)

// NewUpstreamSet returns the set for a pool. It keeps the policy, means and
// hints of the previous set, which may be nil, and the state of those upstreams
// that had the same name and address there. Calls that were started with the
// previous set may still be ended with it, as both sets share these upstreams.
func NewUpstreamSet(pool *tables.Pool, home tables.DataCenterID, previous *UpstreamSet) *UpstreamSet {
	s := &UpstreamSet{Pool: pool, HomeDataCenter: home}
	known := map[tables.UpstreamID]*Upstream{}
	if previous != nil {
		s.Policy = previous.Policy
		s.hints = previous.hints
		s.idleFirstTokenSeconds, s.meanServiceSeconds, s.meanLateSeconds = previous.idleFirstTokenSeconds, previous.meanServiceSeconds, previous.meanLateSeconds
		for _, u := range previous.upstreams {
			known[u.Config.Name] = u
		}
	}
	for _, row := range pool.Upstreams {
		u := known[row.Name]
		if u == nil || u.Config.Address != row.Address {
			u = &Upstream{hash: xxhash.Sum64String(string(row.Name))}
		}
		u.Config = row
		s.upstreams = append(s.upstreams, u)
		if u.hasReport {
			s.reportedRunningSum += u.report.Running
			s.reportedCount++
		}
	}
	return s
}

// PrefixHash returns the hash of the first block of a prompt. It returns zero
// for a prompt shorter than a block, whose prefix is not worth an entry.
func PrefixHash(prompt string) uint64 {
	const block = 256
	if len(prompt) < block {
		return 0
	}
	return xxhash.Sum64String(prompt[:block])
}

// Choose returns the upstream with the shortest expected wait among the two
// that the prefix selects and a random sample, or false if there is none.
//
// A sample is better than all upstreams, because all instances see the same
// delayed reports and would choose the same upstream.
func (s *UpstreamSet) Choose(now time.Time, call Call, random *rand.Rand) (Choice, bool) {
	if s.Policy != nil {
		u := s.Policy(s, now, call, random)
		if u == nil {
			return Choice{}, false
		}
		return s.evaluate(now, u, call), true
	}
	var best Choice
	if call.PrefixHash != 0 {
		best = s.shorterWait(now, best, s.upstreamByName(s.hints.get(call.PrefixHash)), call)
		best = s.shorterWait(now, best, s.rendezvousUpstream(now, call), call)
	}
	if len(s.upstreams) > 0 {
		for range sampleSize {
			best = s.shorterWait(now, best, s.upstreams[random.IntN(len(s.upstreams))], call)
		}
	}
	for i := 0; best.Upstream == nil && i < len(s.upstreams); i++ {
		best = s.shorterWait(now, best, s.upstreams[i], call)
	}
	if best.Upstream == nil {
		return s.chooseInCooldown(now, call)
	}
	return best, true
}

// RecordFailure counts a failure of an upstream and starts its cooldown.
func (s *UpstreamSet) RecordFailure(now time.Time, choice Choice, random *rand.Rand) {
	choice.Upstream.recordFailure(now, random)
}

// RecordFinish records the end of a call that RecordStart counted. Service is
// the time that the call occupied its slot, zero if it is not known.
func (s *UpstreamSet) RecordFinish(now time.Time, choice Choice, service time.Duration) {
	choice.Upstream.recordFinish(now)
	if service <= 0 {
		return
	}
	if s.meanServiceSeconds == 0 {
		s.meanServiceSeconds = service.Seconds()
	}
	s.meanServiceSeconds += serviceTimeGain * (service.Seconds() - s.meanServiceSeconds)
}

// RecordFirstToken records the observed wait for the first token of a call.
func (s *UpstreamSet) RecordFirstToken(now time.Time, choice Choice, observed time.Duration) {
	seconds := observed.Seconds()
	lateSeconds := max(0, seconds-choice.expectedSeconds)
	choice.Upstream.recordFirstToken(now, lateSeconds)
	s.meanLateSeconds += meanLateGain * (lateSeconds - s.meanLateSeconds)
	switch {
	case s.idleFirstTokenSeconds == 0:
		s.idleFirstTokenSeconds = min(seconds, defaultFirstTokenSeconds)
	case seconds < s.idleFirstTokenSeconds:
		s.idleFirstTokenSeconds += idleFallGain * (seconds - s.idleFirstTokenSeconds)
	case choice.slotFree:
		// A wait in a queue is no observation of an idle upstream.
		s.idleFirstTokenSeconds += idleRiseGain * (seconds - s.idleFirstTokenSeconds)
	}
}

// RecordReport records a load report. It ignores reports of unknown upstreams,
// and those that are not newer than the latest one.
func (s *UpstreamSet) RecordReport(name tables.UpstreamID, report LoadReport) {
	u := s.upstreamByName(name)
	if u == nil || (u.hasReport && !report.TakenAt.After(u.report.TakenAt)) {
		return
	}
	if u.hasReport {
		s.reportedRunningSum -= u.report.Running
		s.reportedCount--
	}
	s.reportedRunningSum += report.Running
	s.reportedCount++
	u.report = report
	u.hasReport = true
}

// RecordCachedTokens records how many prompt tokens of a call the upstream
// found in its prefix cache. A hint that led to a cache miss is dropped.
// Otherwise the upstream, which has the prefix in its cache now, becomes the
// hint.
func (s *UpstreamSet) RecordCachedTokens(prefix uint64, u *Upstream, cached tables.Tokens) {
	if prefix == 0 {
		return
	}
	if cached == 0 && s.hints.get(prefix) == u.Config.Name {
		s.hints.drop(prefix)
		return
	}
	s.hints.put(prefix, u.Config.Name)
}

// SetLeaving marks the upstreams that are leaving according to the platform's
// list. They get no calls.
func (s *UpstreamSet) SetLeaving(leaving map[tables.UpstreamID]bool) {
	for _, u := range s.upstreams {
		u.leaving = leaving[u.Config.Name]
	}
}

// RecordStart counts a call as sent.
func (s *UpstreamSet) RecordStart(now time.Time, choice Choice) {
	choice.Upstream.recordStart(now)
}

// Upstreams returns the upstreams in table order. The caller must not change
// the slice.
func (s *UpstreamSet) Upstreams() []*Upstream {
	return s.upstreams
}

// ExpectedWait returns the expected time to the first token of a call at an
// upstream.
func (s *UpstreamSet) ExpectedWait(now time.Time, u *Upstream, call Call) time.Duration {
	return s.evaluate(now, u, call).ExpectedWait
}

// shorterWait returns the choice of an upstream if it accepts the call and has
// a shorter expected wait than the best so far, otherwise the best so far. The
// upstream may be nil.
func (s *UpstreamSet) shorterWait(now time.Time, best Choice, u *Upstream, call Call) Choice {
	if u == nil || u == best.Upstream || !u.accepts(now, call) {
		return best
	}
	choice := s.evaluate(now, u, call)
	if best.Upstream == nil || choice.ExpectedWait < best.ExpectedWait {
		return choice
	}
	return best
}

// RoomAt returns when the first of the upstreams at their limits takes another call, zero if
// none is at its limit.
func (s *UpstreamSet) RoomAt(now time.Time) time.Time {
	earliest := time.Time{}
	for _, u := range s.upstreams {
		at := u.Limit.AllowsAt(now)
		if at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// upstreamByName returns the upstream with a name, or nil.
func (s *UpstreamSet) upstreamByName(name tables.UpstreamID) *Upstream {
	if name == "" {
		return nil
	}
	for _, u := range s.upstreams {
		if u.Config.Name == name {
			return u
		}
	}
	return nil
}

// chooseInCooldown returns the upstream whose cooldown ends first, or false if
// all are draining, leaving, avoided or at their limits. If no upstream accepts the call, trying
// one is better than refusing all requests until a cooldown ends.
func (s *UpstreamSet) chooseInCooldown(now time.Time, call Call) (Choice, bool) {
	var best *Upstream
	for _, u := range s.upstreams {
		if u.Config.Draining || u.leaving || u.Config.Name == call.Avoid || !u.Limit.Allows(now) {
			continue
		}
		if best == nil || u.cooldownUntil.Before(best.cooldownUntil) {
			best = u
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return s.evaluate(now, best, call), true
}

// evaluate returns an upstream with its expected wait: the larger of the
// estimate from load, prompt, distance and lateness, and of the time that its
// calls have made no progress.
func (s *UpstreamSet) evaluate(now time.Time, u *Upstream, call Call) Choice {
	slots := float64(max(1, s.Pool.Concurrency))
	load := s.estimateLoad(now, u)
	expectedSeconds := s.firstTokenSeconds() * (1 + fullLoadSlowdown*min(1, load/slots))
	if queued := load - slots + 1; queued > 0 {
		expectedSeconds += queued / slots * s.serviceSeconds()
	}
	promptTokens := float64(call.PromptTokens)
	if call.PrefixHash != 0 && s.hints.get(call.PrefixHash) == u.Config.Name {
		promptTokens *= 1 - prefixHitSaving
	}
	expectedSeconds += promptTokens / prefillTokensPerSecond
	if u.Config.DataCenter != s.HomeDataCenter {
		expectedSeconds += remotePenaltySeconds
	}
	excessLateSeconds := max(0, u.lateness(now)-slowLatenessRatio*s.meanLateSeconds-minSlowLatenessSeconds)
	wait := max(expectedSeconds+excessLateSeconds, u.stalledSeconds(now))
	return Choice{u, time.Duration(wait * float64(time.Second)), expectedSeconds, load+1 <= slots}
}

// firstTokenSeconds returns the expected time to the first token at an idle
// upstream.
func (s *UpstreamSet) firstTokenSeconds() float64 {
	if s.idleFirstTokenSeconds == 0 {
		return defaultFirstTokenSeconds
	}
	return s.idleFirstTokenSeconds
}

// estimateLoad estimates the number of calls at an upstream. The difference of
// its report from the mean of all reports decays within about a service time,
// because queues drain and fill in that time. The instance's own calls sent
// after the report are added.
func (s *UpstreamSet) estimateLoad(now time.Time, u *Upstream) float64 {
	inFlight := float64(u.InFlight)
	if !u.hasReport {
		return inFlight
	}
	meanRunning := float64(s.reportedRunningSum) / float64(s.reportedCount)
	decay := math.Exp(-reportDecayRate * max(0, now.Sub(u.report.TakenAt).Seconds()) / s.serviceSeconds())
	load := meanRunning + (float64(u.report.Running)-meanRunning)*decay + float64(u.sentSince(u.report.TakenAt))
	return max(load, inFlight)
}

// rendezvousUpstream returns the upstream that rendezvous hashing selects for a
// prefix among those that accept the call. Without hints, all instances thus
// send a new prefix to the same upstream.
func (s *UpstreamSet) rendezvousUpstream(now time.Time, call Call) *Upstream {
	var best *Upstream
	var bestHash uint64
	for _, u := range s.upstreams {
		hash := (u.hash ^ call.PrefixHash) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
		if (best == nil || hash > bestHash) && u.accepts(now, call) {
			best, bestHash = u, hash
		}
	}
	return best
}

// serviceSeconds returns the expected time that a call occupies its slot.
func (s *UpstreamSet) serviceSeconds() float64 {
	if s.meanServiceSeconds == 0 {
		return defaultServiceSeconds
	}
	return s.meanServiceSeconds
}
