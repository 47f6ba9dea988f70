package ingress

import (
	"bufio"
	"errors"
	"sync"
	"time"

	"mimosayard/internal/net/budget"
)

const (
	// readAheadDelay is how long a write to the caller may take before the upstream is read
	// on meanwhile. Callers that read take an event in less.
	readAheadDelay = 100 * time.Millisecond
	// maxUnreadBytes bounds the events that wait for a caller, beside a single one of any
	// size. A stream of 56 events has about 10 kB.
	maxUnreadBytes = 256 << 10
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// errCallerSlow ends a stream whose caller takes too little for the bound on its unread
// events.
var errCallerSlow = errors.New("the caller does not read the stream")

// eventReader reads the events of a stream. While the caller does not take an event, a
// goroutine reads on, since upstreams cut off answers that stay unread. Streams of
// callers that read need no such goroutine.
type eventReader struct {
	exchange *exchange
	reader   *bufio.Reader
	// onRead is called after each event that was read, with the time.
	onRead func(at time.Time)
	// onEnd is called when readAhead has come to the end of the stream or to an error.
	onEnd func()

	// timer starts readAhead if a write lasts, nil before the first write.
	timer *time.Timer
	mutex sync.Mutex
	// writing is true while an event is written to the caller.
	writing bool
	// ahead is true once readAhead has taken the reader over, until the end.
	ahead bool
	// unread are the events that wait for the caller, and unreadBytes their size.
	unread      []event
	unreadBytes int
	// err follows the unread events, if it is not nil.
	err error
	// arrived has an element if there may be something new for next.
	arrived chan struct{}
	// done is closed at the end of readAhead.
	done chan struct{}
}

// next returns the next event, or the error that ends the stream. The event counts on the
// exchange's budget until release is called.
func (r *eventReader) next() (event, error) {
	r.mutex.Lock()
	ahead := r.ahead
	r.mutex.Unlock()
	if !ahead {
		return r.read(r.exchange.answerClaim.Grow)
	}
	for {
		r.mutex.Lock()
		if len(r.unread) > 0 {
			e := r.unread[0]
			r.unread[0] = event{}
			r.unread = r.unread[1:]
			r.unreadBytes -= len(e.raw)
			r.mutex.Unlock()
			return e, nil
		}
		err := r.err
		r.mutex.Unlock()
		if err != nil {
			return event{}, err
		}
		<-r.arrived
	}
}

// release gives back what an event holds.
func (r *eventReader) release(e event) {
	_ = r.tryClaim(-int64(len(e.raw)))
}

// tryClaim claims bytes without a wait, also less than none.
func (r *eventReader) tryClaim(n int64) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.exchange.answerClaim.TryGrow(n)
}

// read reads an event from the upstream and claims its bytes as they arrive. It gives back those
// of an event that it does not return.
func (r *eventReader) read(claim func(n int64) error) (event, error) {
	claimed := int64(0)
	e, err := readEvent(r.reader, func(n int64) error {
		err := claim(n)
		if err == nil {
			claimed += n
		}
		return err
	})
	if err != nil {
		_ = r.tryClaim(-claimed)
		return e, err
	}
	e.arrived = time.Now()
	r.onRead(e.arrived)
	return e, nil
}

// beginWrite lets the upstream be read on if the write that follows lasts.
func (r *eventReader) beginWrite() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writing = true
	switch {
	case r.ahead:
	case r.timer == nil:
		r.arrived, r.done = make(chan struct{}, 1), make(chan struct{})
		r.timer = time.AfterFunc(readAheadDelay, r.readAhead)
	default:
		r.timer.Reset(readAheadDelay)
	}
}

// endWrite follows a write.
func (r *eventReader) endWrite() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writing = false
	r.timer.Stop()
}

// readAhead reads the rest of the stream, unless the write that it was started for has
// ended. If the caller leaves too much unread, its connection is cut off.
func (r *eventReader) readAhead() {
	r.mutex.Lock()
	if !r.writing || r.ahead {
		r.mutex.Unlock()
		return
	}
	r.ahead = true
	r.mutex.Unlock()
	defer close(r.done)
	for more := true; more; {
		e, err := r.read(r.tryClaim)
		if err != nil {
			r.onEnd()
		}
		more = r.append(e, err)
	}
}

// append adds an event or the end of the stream to what waits for the caller. It reports
// whether the stream goes on.
func (r *eventReader) append(e event, err error) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	overBound := err == nil && r.unreadBytes > 0 && r.unreadBytes+len(e.raw) > maxUnreadBytes
	if overBound || errors.Is(err, budget.ErrShort) {
		err = errCallerSlow
		_ = r.exchange.controller.SetWriteDeadline(past)
	}
	if err == nil {
		r.unread = append(r.unread, e)
		r.unreadBytes += len(e.raw)
	}
	r.err = err
	select {
	case r.arrived <- struct{}{}:
	default:
	}
	return err == nil
}

// stop ends the reading. closeUpstream must make a read that waits for the upstream return.
func (r *eventReader) stop(closeUpstream func()) {
	r.mutex.Lock()
	ahead := r.ahead
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mutex.Unlock()
	if ahead {
		closeUpstream()
		<-r.done
	}
}
