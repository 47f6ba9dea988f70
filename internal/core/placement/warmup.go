package placement

import (
	"time"

	"mimosayard/internal/core/pacing"
)

// A warmUp is what this instance knows of whether an upstream is cold. The zero value is an
// upstream that is not.
type warmUp struct {
	// limited is true while calls are limited since the upstream is cold or presumed to be.
	limited bool
	// duration is how long an upstream of the service is cold after its start.
	duration time.Duration
	// until is when the upstream is warm, by what this instance has seen itself, zero if it has
	// seen nothing.
	until time.Time
	// learnedUntil is the same without what the upstream says in answers, and learnedAt is when it
	// was last learned.
	learnedUntil, learnedAt time.Time
	// lostAt is when this instance last lost a call or could not connect, zero once the upstream
	// was reached since, by this instance or another. It may come back later, and cold.
	lostAt time.Time
	// lossCertain is true if a call was lost or the connection refused at lostAt or before.
	// failedConnections counts the other failures to connect since the upstream was last reached.
	lossCertain       bool
	failedConnections int
	// unreportedUntil is until when the upstream is presumed cold for what is not reported to other
	// instances: their own reports, or a loss that is not certain.
	unreportedUntil time.Time
	// connectedAt is when this instance last connected to the upstream while it was cold.
	connectedAt time.Time
	// credit is what this instance may send, by the callers of a generation.
	credit     pacing.Credit
	generation uint64
	// limitedAt is when the limit began.
	limitedAt time.Time
	reason    ColdReason
}

// A ColdReason is why an upstream is presumed cold.
type ColdReason string

// The reasons for which an upstream is presumed cold.
const (
	// ColdByEntry is an entry with a new incarnation or a remaining time.
	ColdByEntry ColdReason = "entry"
	// ColdByAnswer is what the upstream has said in an answer.
	ColdByAnswer ColdReason = "answer"
	// ColdByLoss is a call of this instance that was lost or did not reach the upstream.
	ColdByLoss ColdReason = "loss"
	// ColdByPeers is what other instances have seen.
	ColdByPeers ColdReason = "peers"
	// ColdByEvacuation is the end of an evacuation.
	ColdByEvacuation ColdReason = "evacuation"
)

const (
	// maxLossTime is how long after its last loss an upstream that nobody reaches is presumed to
	// come back cold. If it does so later, the others' next losses or its entry tell.
	maxLossTime = 30 * time.Second
	// peerReportTTL is how long another instance's presumption counts after its last report. Sums
	// arrive several times a second.
	peerReportTTL = time.Second
	// minFailedConnections is the number of failed connections in a row that are reported to other
	// instances. A single one may be due to the instance's own link.
	minFailedConnections = 2
	// reachedTime is how long an instance tells the others that it has reached an upstream.
	reachedTime = 2 * time.Second
	// minAwaitTime is the time after a loss in which the news that another instance has reached
	// the upstream may be older than the loss.
	minAwaitTime = time.Second
)

// PresumeCold presumes that the upstream is cold for a time from now on, unless it is already for
// longer.
func (u *Upstream) PresumeCold(now time.Time, wait time.Duration, reason ColdReason) {
	if u.warmUp.learn(now, now.Add(wait)) {
		u.warmUp.note(now, reason)
	}
}

// StateCold records how much longer the upstream says it is cold, in an answer to a call that was
// sent at the time. It replaces what was known before the call.
func (u *Upstream) StateCold(now time.Time, wait time.Duration, sentAt time.Time) {
	w := &u.warmUp
	if !w.lostAt.Before(sentAt) {
		// The answer may be of the life that ended.
		return
	}
	if !w.learnedAt.After(sentAt) {
		w.learnedUntil = time.Time{}
	}
	w.until = w.learnedUntil
	w.clearLoss()
	if until := now.Add(wait); wait > 0 && until.After(w.until) {
		w.until = until
		w.note(now, ColdByAnswer)
	}
}

// RecordLoss presumes that the upstream has crashed and comes back cold. The loss is certain if a
// call was lost or the connection refused. Other failed connections are reported to other instances
// only if several follow each other.
func (u *Upstream) RecordLoss(now time.Time, certain bool) {
	w := &u.warmUp
	w.lostAt = now
	if certain {
		w.lossCertain = true
	} else {
		w.failedConnections++
	}
	w.note(now, ColdByLoss)
}

// DiscountFailedConnections discounts the failed connections so far, since this instance's own link
// to the upstream is lost.
func (u *Upstream) DiscountFailedConnections() {
	u.warmUp.failedConnections = 0
}

// RecordConnected records that a call has reached the upstream. If it was lost before, it is cold
// from now on.
func (u *Upstream) RecordConnected(now time.Time) {
	if u.IsCold(now) {
		u.warmUp.connectedAt = now
		u.warmUp.reached(now)
	}
}

// SeenCold reports whether this instance presumes that the upstream is cold by what it has seen
// itself and reports to others, and whether it has reached it lately.
func (u *Upstream) SeenCold(now time.Time) (cold, reached bool) {
	w := &u.warmUp
	return now.Before(w.until) || w.lost(now) && w.reportsLoss(), !w.connectedAt.IsZero() && now.Sub(w.connectedAt) < reachedTime
}

// RecordPeerReports records what other instances have seen: whether the upstream is cold, and
// whether one has reached it.
func (u *Upstream) RecordPeerReports(now time.Time, cold, reached bool) {
	w := &u.warmUp
	if cold {
		w.presumeUnreported(now.Add(peerReportTTL))
		if !w.seen(now) {
			w.note(now, ColdByPeers)
		}
	}
	if reached && now.Sub(w.lostAt) > minAwaitTime {
		w.reached(now)
	}
}

// IsCold reports whether the upstream is cold or presumed to be.
func (u *Upstream) IsCold(now time.Time) bool {
	return u.warmUp.limited && u.warmUp.cold(now)
}

// ColdReason returns why the upstream is presumed cold.
func (u *Upstream) ColdReason() ColdReason {
	return u.warmUp.reason
}

// MayBeCold reports whether anything is known by which the upstream may be cold.
func (u *Upstream) MayBeCold() bool {
	w := &u.warmUp
	return w.limited || !w.until.IsZero() || !w.lostAt.IsZero() || !w.unreportedUntil.IsZero()
}

// UpdateWarmUp limits the calls to the upstream if it is cold and ends the limit if it is not. The
// duration is how long upstreams of the service are cold after their start. Share returns the rate
// of this instance, which changes only with the generation. It reports whether the limit began or
// ended.
func (u *Upstream) UpdateWarmUp(now time.Time, duration time.Duration, generation uint64, share func() pacing.Rate) bool {
	w := &u.warmUp
	w.duration = duration
	if !w.cold(now) {
		ended := w.limited
		*w = warmUp{duration: duration}
		u.UpdateLimited()
		return ended
	}
	began := !w.limited
	switch {
	case began:
		w.limited, w.limitedAt, w.generation = true, now, generation
		w.credit.Start(now, share())
		u.UpdateLimited()
	case w.generation != generation:
		w.generation = generation
		w.credit.SetShare(now, share())
	}
	return began
}

// DropWarmUp ends the limit on calls because the upstream is cold, and forgets that it is.
func (u *Upstream) DropWarmUp() {
	u.warmUp = warmUp{}
	u.UpdateLimited()
}

// IDHash returns the hash of the ID of the upstream.
func (u *Upstream) IDHash() uint64 {
	return u.idHash
}

// WarmUpShare returns the rate at which this instance calls the upstream while it is cold.
func (u *Upstream) WarmUpShare() pacing.Rate {
	return u.warmUp.credit.Share()
}

// PacedShare returns the rate at which this instance may call an upstream that names a limit or is
// cold, false if it is neither.
func (u *Upstream) PacedShare(now time.Time) (share pacing.Rate, paced bool) {
	_, named := u.Limit.Named()
	switch {
	case named && u.IsCold(now):
		return min(u.Limit.Share(), u.WarmUpShare()), true
	case named:
		return u.Limit.Share(), true
	}
	return u.WarmUpShare(), u.IsCold(now)
}

// ReturnColdCall takes back a call, recorded at a time, that does not count for a cold upstream. One
// from before its calls were limited has not been counted.
func (u *Upstream) ReturnColdCall(recordedAt time.Time) {
	if u.warmUp.limited && !recordedAt.Before(u.warmUp.limitedAt) {
		u.warmUp.credit.ReturnCall()
	}
}

// note records why the upstream is presumed cold, if it was not yet.
func (w *warmUp) note(now time.Time, reason ColdReason) {
	if !w.limited || !w.cold(now) || w.reason == "" {
		w.reason = reason
	}
}

// reached ends the wait for an upstream that was lost. It is cold from now on.
func (w *warmUp) reached(now time.Time) {
	if w.lostAt.IsZero() {
		return
	}
	until := now.Add(w.duration)
	if !w.reportsLoss() {
		w.presumeUnreported(until)
	} else {
		w.learn(now, until)
	}
	w.clearLoss()
}

// learn presumes until a time that the upstream is cold, and reports whether that is longer than
// before.
func (w *warmUp) learn(now, until time.Time) bool {
	w.learnedAt = now
	if until.After(w.learnedUntil) {
		w.learnedUntil = until
	}
	longer := until.After(w.until)
	if longer {
		w.until = until
	}
	return longer
}

// presumeUnreported presumes until a time that the upstream is cold, and does not report it.
func (w *warmUp) presumeUnreported(until time.Time) {
	if until.After(w.unreportedUntil) {
		w.unreportedUntil = until
	}
}

// reportsLoss reports whether the last loss is reported to other instances.
func (w *warmUp) reportsLoss() bool {
	return w.lossCertain || w.failedConnections >= minFailedConnections
}

// clearLoss ends the wait for an upstream that was lost.
func (w *warmUp) clearLoss() {
	w.lostAt, w.lossCertain, w.failedConnections = time.Time{}, false, 0
}

// lost reports whether the upstream was lost and may come back cold.
func (w *warmUp) lost(now time.Time) bool {
	return !w.lostAt.IsZero() && now.Sub(w.lostAt) < maxLossTime
}

// seen reports whether the upstream is cold by what this instance has seen.
func (w *warmUp) seen(now time.Time) bool {
	return now.Before(w.until) || w.lost(now)
}

func (w *warmUp) cold(now time.Time) bool {
	return w.seen(now) || now.Before(w.unreportedUntil)
}

// allows reports whether one more call is within the limit of a cold upstream.
func (w *warmUp) allows(now time.Time) bool {
	return !w.limited || !w.cold(now) || w.credit.Allows(now)
}

// allowsAt returns when one more call is within the limit, or the upstream is warm, zero if that
// is not known.
func (w *warmUp) allowsAt(now time.Time) time.Time {
	if w.allows(now) {
		return now
	}
	at := w.credit.AllowsAt(now)
	warm := w.until
	switch {
	case !w.lostAt.IsZero():
		return at
	case w.unreportedUntil.After(warm):
		warm = w.unreportedUntil
	}
	if at.IsZero() || warm.Before(at) {
		return warm
	}
	return at
}
