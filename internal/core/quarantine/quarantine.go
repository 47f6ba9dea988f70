// Package quarantine finds parts of prompts that crash the upstreams which begin to
// answer them, and decides which requests reach no upstream for that reason.
//
// The evidence is a call whose connection was lost before its answer got past its
// beginning. The crash of an upstream loses all calls that run there, so each crash
// is evidence against many parts, and an answer clears the parts of its prompt. A loss
// is no evidence any more once its upstream has given any instance a sign of life after
// it: then only an answer was lost. A part is quarantined once several requests with it
// were lost on several lives of upstreams without an answer in between. The counts are
// summed over the fleet.
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
	// withdrawn holds when this instance withdrew the quarantine of a part.
	withdrawn map[PartID]time.Time
	// ended holds when this instance learned of the end of a life.
	ended map[Life]time.Time
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
	lives map[Life]bool
	// ended are the lives that are known to have ended.
	ended    map[Life]bool
	requests map[string]bool
	latest   time.Time
}

// A loss is a call that was lost before its answer got past its beginning.
type loss struct {
	at      time.Time
	life    Life
	request string
	parts   []PartID
	// outlived is true if the life has given a sign after the loss, so that the loss counts
	// no more. ended is true if the life is known to have ended, so that no sign that looks
	// like its own counts.
	outlived, ended bool
	// outlivedAt is the time of that sign.
	outlivedAt time.Time
}

// A quarantineState is the state of a part in quarantine.
type quarantineState struct {
	since time.Time
	// nextTrial is when the next request with the part may be sent, by the instance
	// that is in charge of the part. trialDelay is the wait after it.
	nextTrial  time.Time
	trialDelay time.Duration
	// nextPromptTrial is when the next prompt trial may be sent, promptTrials their number.
	nextPromptTrial time.Time
	promptTrials    int
	// trialDeadline is when the last trial ends at the latest, zero if it has ended.
	trialDeadline time.Time
	// decided is true if this instance decided on the quarantine, stored once it has had it
	// stored.
	decided, stored bool
}

// A Decision is how to treat a request.
type Decision int

// The decisions.
const (
	// Allowed requests are served as usual.
	Allowed Decision = iota
	// Suspect requests get no further call after a loss.
	Suspect
	// Trial requests are suspect, too. Their quarantined parts may be tried: StartTrial must
	// be called when they are sent.
	Trial
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
	Decided bool
	// Confirmed marks another change, which says that this instance, which decided on the
	// quarantine, has to store it: at once that of a request, later that of a shared part if
	// nothing has contradicted it. Stored is true for the release of a part for which there
	// was such a change.
	Confirmed, Stored bool
	Lives             float64
	Requests          float64
}

// A ReleaseReason is why a part was released.
type ReleaseReason string

// The reasons.
const (
	// ReleasedByLives is that upstreams live on which the part seemed to have ended.
	ReleasedByLives ReleaseReason = "upstreams live on"
	// ReleasedByAnswer is an answer to a request with the part, at this instance or another.
	ReleasedByAnswer   ReleaseReason = "answered here"
	ReleasedByPeer     ReleaseReason = "answered or released elsewhere"
	ReleasedByOperator ReleaseReason = "operator"
	ReleasedByAge      ReleaseReason = "expired"
	// ReleasedForRoom is the removal of the oldest part, since there are too many.
	ReleasedForRoom ReleaseReason = "too many parts"
)

// SignWindow is how long a sign of a life is told to the fleet.
const SignWindow = 500 * time.Millisecond

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
	// minEndedLives is the number of lives known to have ended from which a part is quarantined
	// whatever else is lost: a bad part itself raises the rate of lost calls.
	minEndedLives = 4
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
	// outlivedMemory is how long a loss is kept after its life gave a sign.
	outlivedMemory = 15 * time.Second
	// signGrace is the time after a loss for which events of the same process may still be
	// read, though it has ended: they wait in buffers, and for a small instance's processor.
	signGrace = 300 * time.Millisecond
	// signDelay is the time after a loss from which on the fleet's signs of the life count. A
	// sign from before the end of a life is shared for SignWindow and takes up to a second
	// through the tree.
	signDelay = 2 * time.Second
	// endDelay is how much later than a loss an instance may learn of the end of the life:
	// entries come up to some seconds late.
	endDelay = 6 * time.Second
	// endMemory is how long an instance tells the fleet that a life has ended.
	endMemory = 10 * time.Second
	// confirmDelay is the time after which a quarantine that nothing has contradicted is
	// stored, and confirmLives the number of lives known to have ended from which it is at once.
	confirmDelay = 2500 * time.Millisecond
	confirmLives = 2
	// withdrawalMemory is how long an instance tells the fleet of a withdrawal: until all
	// have heard of it and their own sums of the quarantine are gone.
	withdrawalMemory = 4 * time.Second
	// firstTrialDelay is the time in quarantine before the first trial.
	// trialDelayFactor lengthens it after each trial.
	firstTrialDelay  = time.Minute
	trialDelayFactor = 4
	// promptTrialDelay is the time in quarantine before the first of at most maxPromptTrials
	// prompt trials. Each is promptTrialFactor times as late as the one before.
	promptTrialDelay  = 2 * time.Second
	promptTrialFactor = 3
	maxPromptTrials   = 3
	// quarantineTTL is how long a part that no request has stays in quarantine.
	quarantineTTL = 48 * time.Hour
	// The bounds of the memory that the table takes.
	maxLosses      = 128
	maxAnswered    = 4096
	maxQuarantined = 256
)

// Check returns how to treat a request with the parts, and the part that decides. A request
// with a quarantined part may be sent as a trial if this instance is in charge of the part.
// That uses no trial up until StartTrial.
func (t *Table) Check(now time.Time, parts []PartID) (decision Decision, decisive PartID) {
	if !t.HasEvidence() {
		return Allowed, ""
	}
	for _, part := range parts {
		s := t.quarantined[part]
		if s == nil && t.fleet.isQuarantined(part) && !t.isAnswered(now, part) && !t.isWithdrawn(part) {
			s = t.quarantine(now, part, false)
		}
		switch {
		case s != nil && (t.allowsPromptTrial(now, part, s) || t.allowsLateTrial(now, part, s)):
			decision, decisive = Trial, part
		case s != nil:
			return Refused, part
		case decision != Trial && t.lives(part) >= suspectLives && !t.isAnswered(now, part):
			decision, decisive = Suspect, part
		}
	}
	return decision, decisive
}

// RecordSign records the latest sign of a life, at: an event or an answer of any call. The
// losses before it were not its end, unless it is known to have ended.
func (t *Table) RecordSign(life Life, at time.Time) {
	t.outlive(at, func(l loss) bool { return l.life == life && at.Sub(l.at) > signGrace })
}

// WantsSigns reports whether this instance has losses that a sign of their lives would outlive.
func (t *Table) WantsSigns() bool {
	return slices.ContainsFunc(t.losses, func(l loss) bool { return !l.outlived && !l.ended })
}

// SharesSignsOf reports whether any instance lacks a sign of the life, or word of its end.
func (t *Table) SharesSignsOf(life Life) bool {
	return t.fleet.totals[lostKey(life)] > 0
}

// RecordEnd records that a life has ended: its upstream refuses connections, or is registered
// as another process. A sign that followed a loss shortly before came from the next process.
func (t *Table) RecordEnd(now time.Time, life Life) {
	if !t.HasEvidence() {
		return
	}
	if t.ended == nil {
		t.ended = map[Life]time.Time{}
	}
	if _, known := t.ended[life]; !known && len(t.ended) < maxLosses {
		t.ended[life] = now
	}
	t.endLosses(now, life)
}

// endLosses marks the losses on a life that has ended.
func (t *Table) endLosses(now time.Time, life Life) {
	for i, l := range t.losses {
		if l.life == life && !l.ended && (!l.outlived || now.Sub(l.at) < endDelay) {
			t.losses[i].ended, t.losses[i].outlived = true, false
			t.tallies = nil
		}
	}
}

// outlive marks the losses that match as outlived, by a sign of the time at, but for those on
// lives that have ended.
func (t *Table) outlive(at time.Time, match func(loss) bool) {
	for i, l := range t.losses {
		if l.outlived || l.ended || !match(l) {
			continue
		}
		t.losses[i].outlived, t.losses[i].outlivedAt = true, at
		t.tallies = nil
	}
}

// RecordLoss records a call that was lost before its answer got past its beginning.
// It quarantines the parts for which that is the last evidence needed.
func (t *Table) RecordLoss(now time.Time, life Life, request string, parts []PartID) {
	t.calls.decay(now)
	t.calls.lost++
	l := loss{at: now, life: life, request: strings.Clone(request)}
	_, l.ended = t.ended[life]
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
		dropped := max(0, slices.IndexFunc(t.losses, func(l loss) bool { return l.outlived }))
		t.losses = slices.Delete(t.losses, dropped, dropped+1)
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
	t.RecordBeginning(now, life, sentAt, parts)
}

// RecordBeginning records an answer that has got past its beginning and has not ended. It
// clears what RecordAnswer clears.
func (t *Table) RecordBeginning(now time.Time, life Life, sentAt time.Time, parts []PartID) {
	t.outlive(now, func(l loss) bool { return l.life == life && l.at.Before(sentAt) })
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
	if requests >= minRequests && (t.endedLives(worst) >= minEndedLives || math.Pow(t.lossRate(now), requests) <= maxChance) {
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
	s := &quarantineState{
		since: now, nextTrial: now.Add(firstTrialDelay), trialDelay: trialDelayFactor * firstTrialDelay,
		nextPromptTrial: now.Add(promptTrialDelay), decided: decided,
	}
	t.changes = append(t.changes, Change{Part: part, Decided: decided, Lives: t.lives(part), Requests: t.requests(part)})
	t.quarantined[part] = s
	t.tallies = nil
	if decided && part.IsRequest() {
		// A fleet that loses power right after the verdict would otherwise lose as many lives again.
		t.confirmPart(part, s)
	}
	return s
}

// release takes a part out of quarantine. The instance that saw an answer to it, or else
// the one in charge of it, decides.
func (t *Table) release(part PartID, decided bool, reason ReleaseReason) {
	// A part that is only forgotten for room stays in the store.
	stored := t.quarantined[part].stored && reason != ReleasedForRoom
	delete(t.quarantined, part)
	t.tallies = nil
	t.changes = append(t.changes, Change{Part: part, Released: true, Reason: reason, Decided: decided, Stored: stored})
}

// StartTrial records that a request with the parts is sent, which Check has allowed as a trial and
// which ends at the deadline at the latest. It returns the parts that are tried. The request may be
// sent again without another trial.
func (t *Table) StartTrial(now time.Time, parts []PartID, deadline time.Time) []PartID {
	var tried []PartID
	for _, part := range parts {
		s := t.quarantined[part]
		switch {
		case s == nil:
			continue
		case t.allowsPromptTrial(now, part, s):
			s.promptTrials++
			s.nextPromptTrial = s.since.Add(now.Sub(s.since) * promptTrialFactor)
		default:
			s.nextTrial = now.Add(s.trialDelay)
			s.trialDelay *= trialDelayFactor
		}
		s.trialDeadline = deadline
		tried = append(tried, part)
	}
	return tried
}

// ContinueTrial records that the trial of the parts is sent again.
func (t *Table) ContinueTrial(parts []PartID, deadline time.Time) {
	for _, part := range parts {
		if s := t.quarantined[part]; s != nil {
			s.trialDeadline = deadline
		}
	}
}

// EndTrial records that a call of the trial of the parts has ended that its upstream took.
func (t *Table) EndTrial(parts []PartID) {
	t.ContinueTrial(parts, time.Time{})
}

// allowsLateTrial reports whether a request with a quarantined part may be sent now, since no other
// one was sent for long.
func (t *Table) allowsLateTrial(now time.Time, part PartID, s *quarantineState) bool {
	return t.fleet.inCharge(part) && !now.Before(s.nextTrial) && !now.Before(s.trialDeadline)
}

// allowsPromptTrial reports whether a part may have a trial now, before firstTrialDelay. One that has
// just enough evidence may, one after the other: it may have been unlucky, and one more life is within what a bad one
// may cost. A request may cost no more than minLives, and nothing is known of a restored part.
func (t *Table) allowsPromptTrial(now time.Time, part PartID, s *quarantineState) bool {
	return t.fleet.inCharge(part) && s.promptTrials < maxPromptTrials && !now.Before(s.nextPromptTrial) && !now.Before(s.trialDeadline) &&
		now.Sub(s.since) < firstTrialDelay && !part.IsRequest() && t.lives(part) == minLives
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
// the part were lost, where no two count as one, at least. Several instances may have lost
// calls on one life.
func (t *Table) lives(part PartID) float64 {
	lives, own := t.fleet.others(keyLives, part), t.tally()[part]
	if own != nil {
		lives += float64(len(own.lives))
	}
	if lives < suspectLives {
		return lives
	}
	others := t.fleet.lifeBuckets(part)
	seen := others.seen
	if own != nil {
		for life := range own.lives {
			seen.add(string(life))
		}
	}
	return seen.count() + others.untold
}

// endedLives returns the number of lives on which requests with the part were lost and that are
// known to have ended, which instances may have counted several times.
func (t *Table) endedLives(part PartID) float64 {
	ended := t.fleet.others(keyEnded, part)
	if own := t.tally()[part]; own != nil {
		ended += float64(len(own.ended))
	}
	return min(ended, t.lives(part))
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
		if l.outlived {
			continue
		}
		if t.hasQuarantined(l) || t.fleet.isAttributed(l.life) {
			attributed[l.life] = true
		}
	}
	t.tallies = map[PartID]*tally{}
	for _, l := range t.losses {
		if !l.outlived {
			t.countLoss(l, attributed[l.life])
		}
	}
	return t.tallies
}

// countLoss adds a loss to the counts of its parts. Attributed is true if the loss of a
// quarantined part explains the end of the life.
func (t *Table) countLoss(l loss, attributed bool) {
	for _, part := range l.parts {
		if attributed && !part.IsRequest() && t.quarantined[part] == nil && !t.hasQuarantinedRequest(l) {
			continue
		}
		own := t.tallies[part]
		if own == nil {
			own = &tally{lives: map[Life]bool{}, ended: map[Life]bool{}, requests: map[string]bool{}}
			t.tallies[part] = own
		}
		if l.ended {
			own.ended[l.life] = true
		}
		own.lives[l.life], own.requests[l.request], own.latest = true, true, l.at
	}
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

// outlivedLives returns the lives that this instance has outlived losses of, by part. The parts
// are those in quarantine.
func (t *Table) outlivedLives() map[PartID]map[Life]bool {
	outlived := map[PartID]map[Life]bool{}
	for _, l := range t.losses {
		for _, part := range l.parts {
			if !l.outlived || t.quarantined[part] == nil {
				continue
			}
			if outlived[part] == nil {
				outlived[part] = map[Life]bool{}
			}
			outlived[part][l.life] = true
		}
	}
	return outlived
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
