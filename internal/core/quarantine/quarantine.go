// Package quarantine finds parts of prompts that crash the upstreams which begin to
// answer them, and decides which requests reach no upstream for that reason.
//
// The evidence is a call whose connection was lost before its answer got past its
// beginning. The crash of an upstream loses all calls that run there, so each crash
// is evidence against many parts, and an answer clears the parts of its prompt. A
// part is quarantined once several requests with it were lost on several lives of
// upstreams without an answer in between. The counts are summed over the fleet.
//
// A request that its caller repeats is one more part, known by its content. It is
// quarantined after several lives, whatever else is lost.
package quarantine

import (
	"math"
	"slices"
	"strings"
	"time"
)

// A Life is one process of an upstream, from its start to its end.
type Life string

// A Table is the evidence and the quarantined parts that one instance knows. The zero
// value is empty. It is not safe for concurrent use.
type Table struct {
	// losses are this instance's latest losses, oldest first.
	losses []loss
	// answered holds when this instance last saw an answer to a prompt with the part.
	answered map[PartID]time.Time
	// sharedAnswers are the parts that this instance saw an answer to and that the fleet
	// has losses of.
	sharedAnswers map[PartID]bool
	// quarantined are the parts in quarantine, as far as this instance has met them.
	quarantined map[PartID]*quarantineState
	// changes are the changes of quarantined that ApplyTotals has not returned yet.
	changes []Change
	fleet   fleetCounts
	// calls counts this instance's recent calls.
	calls callCounts
	// tallies caches the counts of losses by part. It is nil after a change of what
	// they depend on.
	tallies map[PartID]*tally
}

// callCounts are counts of calls that decay with callHalfLife.
type callCounts struct {
	lost, answered float64
	decayedAt      time.Time
}

// A tally holds the lives and requests of a part's losses at this instance.
type tally struct {
	lives    map[Life]bool
	requests map[string]bool
	latest   time.Time
}

// A loss is a call that was lost before its answer got past its beginning.
type loss struct {
	at      time.Time
	life    Life
	request string
	parts   []PartID
}

// A quarantineState is the state of a part in quarantine.
type quarantineState struct {
	since time.Time
	// nextTrial is when the next request with the part may be sent, by the instance
	// that is in charge of the part. trialDelay is the wait after it.
	nextTrial  time.Time
	trialDelay time.Duration
}

// A Decision is how to treat a request.
type Decision int

// The decisions.
const (
	// Allowed requests are served as usual.
	Allowed Decision = iota
	// Suspect requests get no further call after a loss.
	Suspect
	// Refused requests are not sent.
	Refused
)

// A Change is a part that was quarantined or released, with the fleet's counts of lost
// requests and of the lives of upstreams on which they were lost.
type Change struct {
	Part     PartID
	Released bool
	// Reason is why the part was released.
	Reason ReleaseReason
	// Decided is true if this instance decided on the change, and false if it follows
	// others.
	Decided  bool
	Lives    float64
	Requests float64
}

// A ReleaseReason is why a part was released.
type ReleaseReason string

// The reasons.
const (
	// ReleasedByAnswer is an answer to a request with the part, at this instance or another.
	ReleasedByAnswer   ReleaseReason = "answered here"
	ReleasedByPeer     ReleaseReason = "answered or released elsewhere"
	ReleasedByOperator ReleaseReason = "operator"
	ReleasedByAge      ReleaseReason = "expired"
	// ReleasedForRoom is the removal of the oldest part, since there are too many.
	ReleasedForRoom ReleaseReason = "too many parts"
)

const (
	// minLives and minRequests are the numbers of lives and of requests from which
	// a part is quarantined. Several requests are needed because one request, sent
	// again and again, may only have been unlucky.
	minLives    = 3
	minRequests = 3
	// maxChance is the probability that as many requests with a sound part are lost in
	// a row, up to which the part is quarantined. Where upstreams crash for other
	// reasons, more requests than minRequests are needed.
	maxChance    = 0.001
	callHalfLife = 10 * time.Second
	// priorLost and priorAnswered are added to the counts of recent calls, so that a
	// fleet that has just started expects few losses.
	priorLost     = 1
	priorAnswered = 49
	// suspectLives is the number of lives from which a part is suspect.
	suspectLives = 2
	// answerMemory is how long an answer clears the parts of its prompt.
	answerMemory = 15 * time.Second
	// lossMemory is how long a loss counts.
	lossMemory = 10 * time.Minute
	// firstTrialDelay is the time in quarantine before the first trial.
	// trialDelayFactor lengthens it after each trial.
	firstTrialDelay  = time.Minute
	trialDelayFactor = 4
	// quarantineTTL is how long a part that no request has stays in quarantine.
	quarantineTTL = 48 * time.Hour
	// The bounds of the memory that the table takes.
	maxLosses      = 128
	maxAnswered    = 4096
	maxQuarantined = 256
)

// Check returns how to treat a request with the parts, and the part that decides. A request
// with a quarantined part may be sent as a trial if this instance is in charge of the part.
func (t *Table) Check(now time.Time, parts []PartID) (decision Decision, decisive PartID) {
	if !t.HasEvidence() {
		return Allowed, ""
	}
	for _, part := range parts {
		s := t.quarantined[part]
		if s == nil && t.fleet.isQuarantined(part) && !t.isAnswered(now, part) {
			s = t.quarantine(now, part, false)
		}
		switch {
		case s != nil && t.startTrial(now, part, s):
			decision, decisive = Suspect, part
		case s != nil:
			return Refused, part
		case t.lives(part) >= suspectLives && !t.isAnswered(now, part):
			decision, decisive = Suspect, part
		}
	}
	return decision, decisive
}

// RecordLoss records a call that was lost before its answer got past its beginning.
// It quarantines the parts for which that is the last evidence needed.
func (t *Table) RecordLoss(now time.Time, life Life, request string, parts []PartID) {
	t.calls.decay(now)
	t.calls.lost++
	l := loss{at: now, life: life, request: strings.Clone(request)}
	for _, part := range parts {
		if part.IsRequest() {
			l.request = string(part)
		}
		if at, known := t.answered[part]; !known || now.Sub(at) >= answerMemory {
			l.parts = append(l.parts, PartID(strings.Clone(string(part))))
		}
	}
	if len(l.parts) == 0 {
		return
	}
	if len(t.losses) >= maxLosses {
		t.losses = t.losses[1:]
	}
	t.losses = append(t.losses, l)
	t.tallies = nil
	t.quarantineWorst(now)
}

// RecordAnswer records an answer that got past its beginning. It clears the parts of
// its prompt, and the life of its upstream from losses before the call was sent, which
// that life outlasted.
func (t *Table) RecordAnswer(now time.Time, life Life, sentAt time.Time, parts []PartID) {
	t.calls.decay(now)
	t.calls.answered++
	t.removeLosses(func(l loss) bool { return l.life == life && l.at.Before(sentAt) })
	for _, part := range parts {
		if part.IsRequest() && !t.isSuspected(part) {
			continue
		}
		if _, known := t.answered[part]; !known {
			t.makeRoom(now)
			part = PartID(strings.Clone(string(part)))
		}
		t.answered[part] = now
		t.clear(part)
		if t.fleet.isQuarantined(part) || t.quarantined[part] != nil || t.fleet.lives(part) > 0 {
			t.shareAnswer(part)
		}
	}
}

// Quarantined returns the number of quarantined parts that this instance knows.
func (t *Table) Quarantined() int {
	return len(t.quarantined)
}

// HasEvidence reports whether any instance remembers losses or quarantined parts. Without
// it no request is suspect.
func (t *Table) HasEvidence() bool {
	return len(t.quarantined) > 0 || len(t.losses) > 0 || t.fleet.hasEvidence()
}

// isSuspected reports whether any instance has lost a request with the part, or refuses it.
func (t *Table) isSuspected(part PartID) bool {
	return t.tally()[part] != nil || t.quarantined[part] != nil || t.fleet.lives(part) > 0 || t.fleet.isQuarantined(part)
}

// quarantineWorst quarantines the requests whose evidence suffices, and then the part with
// the most lives if its evidence does. It takes one part at a time, because its lives then
// no longer count against the others.
func (t *Table) quarantineWorst(now time.Time) {
	for range maxQuarantined {
		request := t.worstPart(now, true)
		if request == "" || t.lives(request) < minLives {
			break
		}
		t.quarantine(now, request, true)
	}
	worst := t.worstPart(now, false)
	if worst == "" || t.lives(worst) < minLives {
		return
	}
	requests := t.requests(worst)
	if requests >= minRequests && math.Pow(t.lossRate(now), requests) <= maxChance {
		t.quarantine(now, worst, true)
	}
}

// worstPart returns the part with the most lives, of those that are requests or of the
// others, empty if there is none.
func (t *Table) worstPart(now time.Time, isRequest bool) PartID {
	worst, most := PartID(""), 0.0
	for part := range t.tally() {
		if part.IsRequest() != isRequest || t.quarantined[part] != nil || t.isAnswered(now, part) {
			continue
		}
		if lives := t.lives(part); lives > most || lives == most && part < worst {
			worst, most = part, lives
		}
	}
	return worst
}

// lossRate returns the rate of the fleet's recent calls that were lost.
func (t *Table) lossRate(now time.Time) float64 {
	t.calls.decay(now)
	lost := priorLost + t.calls.lost + t.fleet.othersOf(lostCallsKey)
	answered := priorAnswered + t.calls.answered + t.fleet.othersOf(answeredCallsKey)
	return lost / (lost + answered)
}

// decay reduces the counts for the time since the last call of decay.
func (c *callCounts) decay(now time.Time) {
	if elapsed := now.Sub(c.decayedAt); !c.decayedAt.IsZero() && elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(callHalfLife))
		c.lost *= factor
		c.answered *= factor
	}
	c.decayedAt = now
}

// Restore quarantines parts that were quarantined before the instance started.
func (t *Table) Restore(now time.Time, parts []PartID) {
	for _, part := range parts {
		if t.quarantined[part] == nil && !t.isAnswered(now, part) {
			t.quarantine(now, part, false)
		}
	}
}

// quarantine puts a part into quarantine.
func (t *Table) quarantine(now time.Time, part PartID, decided bool) *quarantineState {
	if t.quarantined == nil {
		t.quarantined = map[PartID]*quarantineState{}
	}
	if len(t.quarantined) >= maxQuarantined {
		t.dropOldest()
	}
	part = PartID(strings.Clone(string(part)))
	s := &quarantineState{since: now, nextTrial: now.Add(firstTrialDelay), trialDelay: trialDelayFactor * firstTrialDelay}
	t.changes = append(t.changes, Change{Part: part, Decided: decided, Lives: t.lives(part), Requests: t.requests(part)})
	t.quarantined[part] = s
	t.tallies = nil
	return s
}

// release takes a part out of quarantine. The instance that saw an answer to it, or else
// the one in charge of it, decides.
func (t *Table) release(part PartID, decided bool, reason ReleaseReason) {
	delete(t.quarantined, part)
	t.tallies = nil
	t.changes = append(t.changes, Change{Part: part, Released: true, Reason: reason, Decided: decided})
}

// startTrial reports whether a request with a quarantined part may be sent now.
func (t *Table) startTrial(now time.Time, part PartID, s *quarantineState) bool {
	if now.Before(s.nextTrial) || !t.fleet.inCharge(part) {
		return false
	}
	s.nextTrial = now.Add(s.trialDelay)
	s.trialDelay *= trialDelayFactor
	return true
}

// dropOldest drops the part that is longest in quarantine.
func (t *Table) dropOldest() {
	var oldest PartID
	for part, s := range t.quarantined {
		if oldest == "" || s.since.Before(t.quarantined[oldest].since) {
			oldest = part
		}
	}
	t.release(oldest, false, ReleasedForRoom)
}

// lives returns the number of lives of upstreams, over the fleet, on which requests with
// the part were lost. A life on which two instances lost calls may count twice.
func (t *Table) lives(part PartID) float64 {
	lives, own := t.fleet.others(keyLives, part), t.tally()[part]
	if own != nil {
		lives += float64(len(own.lives))
	}
	if part.IsRequest() && lives >= suspectLives {
		lives = t.distinctLives(part, own)
	}
	return lives
}

// distinctLives returns the number of lives of which no two count as one, at least, on
// which copies of a request were lost. Callers may send copies to several instances at
// once, which lose them on the same life.
func (t *Table) distinctLives(part PartID, own *tally) float64 {
	var seen buckets
	if own != nil {
		for life := range own.lives {
			seen.add(string(life))
		}
	}
	return t.fleet.countBuckets(partKey(keyLifeBuckets, part), &seen)
}

// requests returns the number of different requests with the part, over the fleet, that
// were lost, at least.
func (t *Table) requests(part PartID) float64 {
	var seen buckets
	if own := t.tally()[part]; own != nil {
		for request := range own.requests {
			seen.add(request)
		}
	}
	return t.fleet.countBuckets(partKey(keyRequestBuckets, part), &seen)
}

// tally returns the counts of this instance's losses by part. Losses on a life on which
// a quarantined part was lost, here or at another instance, count for that part and for
// requests only, and for what it was lost with if that part is a request.
func (t *Table) tally() map[PartID]*tally {
	if t.tallies != nil {
		return t.tallies
	}
	attributed := map[Life]bool{}
	for _, l := range t.losses {
		if t.hasQuarantined(l) || t.fleet.isAttributed(l.life) {
			attributed[l.life] = true
		}
	}
	t.tallies = map[PartID]*tally{}
	for _, l := range t.losses {
		for _, part := range l.parts {
			if attributed[l.life] && !part.IsRequest() && t.quarantined[part] == nil && !t.hasQuarantinedRequest(l) {
				continue
			}
			own := t.tallies[part]
			if own == nil {
				own = &tally{lives: map[Life]bool{}, requests: map[string]bool{}}
				t.tallies[part] = own
			}
			own.lives[l.life], own.requests[l.request], own.latest = true, true, l.at
		}
	}
	return t.tallies
}

// hasQuarantined reports whether a quarantined part is among those of the loss.
func (t *Table) hasQuarantined(l loss) bool {
	for _, part := range l.parts {
		if t.quarantined[part] != nil {
			return true
		}
	}
	return false
}

// hasQuarantinedRequest reports whether the loss is that of a quarantined request.
func (t *Table) hasQuarantinedRequest(l loss) bool {
	return t.quarantined[PartID(l.request)] != nil
}

// isAnswered reports whether any instance saw an answer to a prompt with the part
// within answerMemory.
func (t *Table) isAnswered(now time.Time, part PartID) bool {
	at, known := t.answered[part]
	return known && now.Sub(at) < answerMemory || t.fleet.others(keyAnswers, part) > 0
}

// clear removes the part from this instance's losses.
func (t *Table) clear(part PartID) {
	for i, l := range t.losses {
		if l.has(part) {
			t.losses[i].parts = slices.DeleteFunc(l.parts, func(other PartID) bool { return other == part })
			t.tallies = nil
		}
	}
	t.removeLosses(func(l loss) bool { return len(l.parts) == 0 })
}

// removeLosses removes the losses that match.
func (t *Table) removeLosses(match func(loss) bool) {
	before := len(t.losses)
	t.losses = slices.DeleteFunc(t.losses, match)
	if len(t.losses) < before {
		t.tallies = nil
	}
}

// makeRoom removes answers that no longer count if there are maxAnswered, and all of
// them if each still counts.
func (t *Table) makeRoom(now time.Time) {
	if t.answered == nil {
		t.answered = map[PartID]time.Time{}
	}
	if len(t.answered) < maxAnswered {
		return
	}
	for part, at := range t.answered {
		if now.Sub(at) >= answerMemory {
			delete(t.answered, part)
		}
	}
	if len(t.answered) >= maxAnswered {
		clear(t.answered)
	}
}

// shareAnswer makes the instance tell the fleet of its answer to a part.
func (t *Table) shareAnswer(part PartID) {
	if t.sharedAnswers == nil {
		t.sharedAnswers = map[PartID]bool{}
	}
	t.sharedAnswers[part] = true
}

// has reports whether the part is among those of the loss.
func (l loss) has(part PartID) bool {
	return slices.Contains(l.parts, part)
}
