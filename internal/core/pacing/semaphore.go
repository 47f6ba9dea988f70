package pacing

import (
	"slices"
	"time"
)

// A Semaphore bounds the calls that are open at an upstream to what it runs at once, for
// the callers of all instances. Callers wait in order of arrival. The zero value is free. It
// is not safe for concurrent use.
type Semaphore struct {
	// closed is true while no call may be opened.
	closed bool
	// limit is the number of calls that may be open at once, as of the latest call.
	limit, open int
	waiting     []*Permit
	// callTime is the mean time for which a call is open, zero before the first one.
	callTime time.Duration
	// usedAt is when a call last came or ended. rampStart is when the calls came after a
	// pause.
	usedAt, rampStart time.Time
	// tolerated is the number of rejections in a second that the upstream tolerates, rejected
	// are the times of those in the last second, oldest first.
	tolerated int
	rejected  []time.Time
	// ceiling is the number of calls at which the upstream last rejected one, as of
	// ceilingAt, which is zero before the first time.
	ceiling   int
	ceilingAt time.Time
}

// A Permit is the place of one call, which is either open or waits.
type Permit struct {
	semaphore *Semaphore
	onOpen    func()
	isOpen    bool
	openedAt  time.Time
}

const (
	// rampTime is the time in which a semaphore that was not used for that long comes to
	// its limit. Another instance may still have calls open.
	rampTime = 500 * time.Millisecond
	// rejectionWindow is the time in which an upstream tolerates a number of rejections.
	rejectionWindow = time.Second
	// raiseFraction is the fraction of the rejections that the upstream tolerates that finding
	// its limit again may cost.
	raiseFraction = 0.5
	// callTimeWeight is the weight of the latest call in the mean.
	callTimeWeight = 0.1
)

// SetTolerated sets the number of rejections in a second that the upstream tolerates.
func (s *Semaphore) SetTolerated(rejections int) {
	s.tolerated = rejections
}

// RecordRejection records that the upstream has rejected a call, so it may run fewer at once
// than the limit.
func (s *Semaphore) RecordRejection(now time.Time) {
	s.rejected = append(s.rejected, now)
	s.ceiling, s.ceilingAt = max(s.limit/2, s.open-1), now
}

// Acquire asks for a permit, given the number of calls that may be open at once. It calls
// onOpen once the call may be made, which may be before Acquire returns. It returns nil if that
// is not expected to be within the wait.
func (s *Semaphore) Acquire(now time.Time, limit int, wait time.Duration, onOpen func()) *Permit {
	if now.Sub(s.usedAt) > rampTime {
		s.rampStart = now
	}
	s.usedAt, s.limit = now, limit
	p := &Permit{semaphore: s, onOpen: onOpen}
	if len(s.waiting) == 0 && s.hasRoom(now) {
		s.start(now, p)
		return p
	}
	expected := time.Duration(len(s.waiting)+1) * s.callTime / time.Duration(max(1, limit))
	if wait <= 0 || expected > wait {
		return nil
	}
	s.waiting = append(s.waiting, p)
	return p
}

// Release gives a permit back, and lets those that wait go on as far as the limit allows.
func (p *Permit) Release(now time.Time) {
	s := p.semaphore
	s.usedAt = now
	if p.isOpen {
		p.isOpen = false
		s.open--
		s.observe(now.Sub(p.openedAt))
	} else {
		s.waiting = slices.DeleteFunc(s.waiting, func(w *Permit) bool { return w == p })
	}
	for len(s.waiting) > 0 && s.hasRoom(now) {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(now, next)
	}
}

// SetClosed lets no more calls be opened while it is set. Calls that wait get no room in time.
func (s *Semaphore) SetClosed(closed bool) {
	s.closed = closed
}

func (s *Semaphore) start(now time.Time, p *Permit) {
	s.open++
	p.isOpen, p.openedAt = true, now
	p.onOpen()
}

// hasRoom reports whether one more call may be open. After a rejection the upstream may reject
// all that are open.
func (s *Semaphore) hasRoom(now time.Time) bool {
	if s.closed {
		return false
	}
	s.rejected = slices.DeleteFunc(s.rejected, func(at time.Time) bool { return now.Sub(at) > rejectionWindow })
	if count := len(s.rejected); count > 0 && count+s.open >= s.tolerated {
		return false
	}
	return s.open < s.currentLimit(now)
}

// currentLimit returns the number of calls that may be open now. It is at least one, so that the
// end of a call lets the next one go on.
func (s *Semaphore) currentLimit(now time.Time) int {
	ramped := 1 + int(float64(s.limit)*float64(now.Sub(s.rampStart))/float64(rampTime))
	current := min(s.limit, ramped)
	if !s.ceilingAt.IsZero() {
		raised := raiseFraction * float64(s.tolerated) * now.Sub(s.ceilingAt).Seconds()
		current = min(current, s.ceiling+int(raised))
	}
	return max(1, current)
}

// observe adds the time for which a call was open to the mean.
func (s *Semaphore) observe(open time.Duration) {
	if s.callTime == 0 {
		s.callTime = open
		return
	}
	s.callTime += time.Duration(callTimeWeight * float64(open-s.callTime))
}
