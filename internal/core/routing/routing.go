// Package routing chooses the upstream for a call from lagging load reports,
// the instance's own calls in progress, prefix-cache locality and distance.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// A Call is what the choice needs to know of a request.
type Call struct {
	Prompt tables.Tokens
	Answer tables.Tokens
	// Prefix is the hash of the first block of the prompt, zero for none.
	Prefix uint64
	// Avoid names an upstream that failed this request already.
	Avoid tables.UpstreamID
}

// A Choice is an upstream with the wait expected there.
type Choice struct {
	Upstream *Upstream
	// Wait is the expected time to the first token.
	Wait time.Duration

	// expected is the wait by load alone, in seconds.
	expectedSeconds float64
	// idle says that a slot was expected to be free.
	slotFree bool
}

// A Report is what an upstream says of its load.
type Report struct {
	// Running is the number of calls running and queued.
	Running int
	// Waiting is their work, in tokens.
	Waiting tables.Tokens
	// Taken is when the upstream took the report.
	Taken time.Time
}

// A Set is the upstreams of one pool as one instance sees them. It is not
// safe for concurrent use.
type Set struct {
	Pool *tables.Pool
	// Home is the instance's own data centre.
	HomeDataCenter tables.DataCenterID
	// Policy selects how an upstream is chosen. Nil chooses by Wait.
	Policy func(s *Set, now time.Time, call Call, random *rand.Rand) *Upstream

	upstreams []*Upstream
	hints     prefixHints
	// idleFirst is the time to the first token of an upstream without a
	// queue, and service the time that a call keeps its slot, in seconds.
	idleFirstTokenSeconds float64
	meanServiceSeconds    float64
	// usualLate is the mean lateness of first tokens over all upstreams, in
	// seconds.
	meanLateSeconds float64
	// reportedSum and reportedCount give the mean of the latest reports.
	reportedRunningSum int
	reportedCount      int
}

const (
	// assumedFirst and assumedService hold until there are observations, in
	// seconds.
	defaultFirstTokenSeconds = 0.1
	defaultServiceSeconds    = 1.0
	// prefillRate is the speed of reading a prompt, in tokens a second.
	prefillTokensPerSecond = 20000.0
	// cachedShare is the part of a prompt that a prefix hit saves.
	prefixHitSaving = 0.7
	// crowding is the rise of the time to the first token when all slots are
	// in use.
	fullLoadSlowdown = 1.0
	// hopPenalty is added for an upstream in another data centre, in seconds.
	remotePenaltySeconds = 0.005
	// sampled is the number of upstreams drawn at random for a choice.
	sampleSize = 8
	// reportFade is how often within a service time what a report says falls
	// to an e-th part.
	reportDecayRate = 2.0
	// serviceGain is the weight of one observation of the service time, and
	// fallGain and riseGain those of the idle time to the first token, which
	// follows the low observations.
	serviceTimeGain = 0.05
	idleFallGain    = 0.2
	idleRiseGain    = 0.005
	// usualGain is the weight of one observation of the usual lateness. An
	// upstream is held to be slow if its lateness is unusualLateness times
	// the usual one and leastLateness seconds more.
	meanLateGain           = 0.01
	slowLatenessRatio      = 2.0
	minSlowLatenessSeconds = 0.2
)

// NewSet returns the set for a pool. State of upstreams that were in the
// earlier set, which may be nil, is kept.
func NewSet(pool *tables.Pool, home tables.DataCenterID, previous *Set) *Set {
	s := &Set{Pool: pool, HomeDataCenter: home}
	known := map[tables.UpstreamID]*Upstream{}
	if previous != nil {
		s.Policy = previous.Policy
		s.hints = previous.hints
		s.idleFirstTokenSeconds, s.meanServiceSeconds, s.meanLateSeconds = previous.idleFirstTokenSeconds, previous.meanServiceSeconds, previous.meanLateSeconds
		for _, u := range previous.upstreams {
			known[u.Row.Name] = u
		}
	}
	for _, row := range pool.Upstreams {
		u := known[row.Name]
		if u == nil || u.Row.Address != row.Address {
			u = &Upstream{hash: xxhash.Sum64String(string(row.Name))}
		}
		u.Row = row
		s.upstreams = append(s.upstreams, u)
		if u.hasReport {
			s.reportedRunningSum += u.report.Running
			s.reportedCount++
		}
	}
	return s
}

// PrefixHash returns the hash of the first block of a prompt, zero for a
// prompt too short to be worth a place.
func PrefixHash(prompt string) uint64 {
	const block = 256
	if len(prompt) < block {
		return 0
	}
	return xxhash.Sum64String(prompt[:block])
}

// Choose returns the upstream with the least expected wait among those the
// prefix points to and a few drawn at random, or false if there is none.
//
// A few random ones are better than all of them: instances that look at the
// same late reports would all pick the same upstream.
func (s *Set) Choose(now time.Time, call Call, random *rand.Rand) (Choice, bool) {
	if s.Policy != nil {
		u := s.Policy(s, now, call, random)
		if u == nil {
			return Choice{}, false
		}
		return s.evaluate(now, u, call), true
	}
	var best Choice
	if call.Prefix != 0 {
		best = s.shorterWait(now, best, s.upstreamByName(s.hints.get(call.Prefix)), call)
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

// Failed counts a failure of an upstream and closes it for a while.
func (s *Set) RecordFailure(now time.Time, choice Choice, random *rand.Rand) {
	choice.Upstream.recordFailure(now, random)
}

// Finish ends a call that Start began. Service is the time that the call kept
// its slot, zero if it is not known.
func (s *Set) RecordFinish(now time.Time, choice Choice, service time.Duration) {
	choice.Upstream.recordFinish(now)
	if service <= 0 {
		return
	}
	if s.meanServiceSeconds == 0 {
		s.meanServiceSeconds = service.Seconds()
	}
	s.meanServiceSeconds += serviceTimeGain * (service.Seconds() - s.meanServiceSeconds)
}

// FirstToken takes the observed wait for the first token of a call.
func (s *Set) RecordFirstToken(now time.Time, choice Choice, observed time.Duration) {
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
		// A wait in a queue says nothing about an idle upstream.
		s.idleFirstTokenSeconds += idleRiseGain * (seconds - s.idleFirstTokenSeconds)
	}
}

// Hear takes a load report. Reports older than the known one are ignored.
func (s *Set) RecordReport(name tables.UpstreamID, report Report) {
	u := s.upstreamByName(name)
	if u == nil || (u.hasReport && !report.Taken.After(u.report.Taken)) {
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

// HearCached takes what an answer said of the prefix cache: a hint that did
// not hold is dropped.
func (s *Set) HearCached(prefix uint64, u *Upstream, cached tables.Tokens) {
	if prefix == 0 {
		return
	}
	if cached == 0 && s.hints.get(prefix) == u.Row.Name {
		s.hints.drop(prefix)
		return
	}
	s.hints.put(prefix, u.Row.Name)
}

// SetLeaving marks the upstreams that the platform's list says are leaving.
func (s *Set) SetLeaving(leaving map[tables.UpstreamID]bool) {
	for _, u := range s.upstreams {
		u.leaving = leaving[u.Row.Name]
	}
}

// Start counts a call as sent.
func (s *Set) RecordStart(now time.Time, choice Choice) {
	choice.Upstream.recordStart(now)
}

// Upstreams returns the upstreams in table order.
func (s *Set) Upstreams() []*Upstream {
	return s.upstreams
}

// Wait returns the expected time to the first token of a call at an upstream.
func (s *Set) Wait(now time.Time, u *Upstream, call Call) time.Duration {
	return s.evaluate(now, u, call).Wait
}

func (s *Set) shorterWait(now time.Time, best Choice, u *Upstream, call Call) Choice {
	if u == nil || u == best.Upstream || !u.accepts(now, call) {
		return best
	}
	choice := s.evaluate(now, u, call)
	if best.Upstream == nil || choice.Wait < best.Wait {
		return choice
	}
	return best
}

func (s *Set) upstreamByName(name tables.UpstreamID) *Upstream {
	if name == "" {
		return nil
	}
	for _, u := range s.upstreams {
		if u.Row.Name == name {
			return u
		}
	}
	return nil
}

// chooseClosed returns the closed upstream that opens first. With no upstream
// open, trying one beats refusing all requests until its pause is over.
func (s *Set) chooseInCooldown(now time.Time, call Call) (Choice, bool) {
	var best *Upstream
	for _, u := range s.upstreams {
		if u.Row.Leaving || u.leaving || u.Row.Name == call.Avoid {
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

func (s *Set) evaluate(now time.Time, u *Upstream, call Call) Choice {
	slots := float64(max(1, s.Pool.Concurrency))
	load := s.estimateLoad(now, u)
	expectedSeconds := s.firstTokenSeconds() * (1 + fullLoadSlowdown*min(1, load/slots))
	if queued := load - slots + 1; queued > 0 {
		expectedSeconds += queued / slots * s.serviceSeconds()
	}
	promptTokens := float64(call.Prompt)
	if call.Prefix != 0 && s.hints.get(call.Prefix) == u.Row.Name {
		promptTokens *= 1 - prefixHitSaving
	}
	expectedSeconds += promptTokens / prefillTokensPerSecond
	if u.Row.DataCenter != s.HomeDataCenter {
		expectedSeconds += remotePenaltySeconds
	}
	excessLateSeconds := max(0, u.lateness(now)-slowLatenessRatio*s.meanLateSeconds-minSlowLatenessSeconds)
	wait := max(expectedSeconds+excessLateSeconds, u.stalledSeconds(now))
	return Choice{u, time.Duration(wait * float64(time.Second)), expectedSeconds, load+1 <= slots}
}

func (s *Set) firstTokenSeconds() float64 {
	if s.idleFirstTokenSeconds == 0 {
		return defaultFirstTokenSeconds
	}
	return s.idleFirstTokenSeconds
}

// loadOf estimates the calls at an upstream. What a report says beyond the
// mean of all reports fades within the time that calls take, since queues
// drain and fill in that time. Own calls sent after the report are added.
func (s *Set) estimateLoad(now time.Time, u *Upstream) float64 {
	inFlight := float64(u.InFlight)
	if !u.hasReport {
		return inFlight
	}
	meanRunning := float64(s.reportedRunningSum) / float64(s.reportedCount)
	decay := math.Exp(-reportDecayRate * max(0, now.Sub(u.report.Taken).Seconds()) / s.serviceSeconds())
	load := meanRunning + (float64(u.report.Running)-meanRunning)*decay + float64(u.sentSince(u.report.Taken))
	return max(load, inFlight)
}

// rendezvous returns the open upstream that every instance prefers for a
// prefix nobody has seen.
func (s *Set) rendezvousUpstream(now time.Time, call Call) *Upstream {
	var best *Upstream
	var bestHash uint64
	for _, u := range s.upstreams {
		hash := (u.hash ^ call.Prefix) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
		if (best == nil || hash > bestHash) && u.accepts(now, call) {
			best, bestHash = u, hash
		}
	}
	return best
}

func (s *Set) serviceSeconds() float64 {
	if s.meanServiceSeconds == 0 {
		return defaultServiceSeconds
	}
	return s.meanServiceSeconds
}
