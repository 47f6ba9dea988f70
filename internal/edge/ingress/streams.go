package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/net/budget"
)

const (
	// minStreamIdleTimeout is the lower bound of the gap between events after
	// which a stream is resumed at another upstream. streamIdleGapFactor is
	// that gap as a multiple of the route's target gap. Callers give up after
	// eight times the target gap.
	minStreamIdleTimeout = placement.MaxSilence
	streamIdleGapFactor  = 3
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	errPartialEvent  = errors.New("stream ended within an event")
	errAnswerHead    = errors.New("the head of an answer follows in the stream")
)

// relayStream relays a stream event by event. A partial event of an upstream
// that fails is not relayed, so that another upstream can resume the stream
// after the last complete event.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelCauseFunc, call *dispatch.Call, response *forward.Response) (dispatch.Result, bool, error) {
	idleTimeout := max(minStreamIdleTimeout, streamIdleGapFactor*x.route.GapTarget)
	var idleTimer *time.Timer
	if x.route.Resumable {
		idleTimer = time.AfterFunc(idleTimeout, func() { cancel(errStreamIdle) })
		defer idleTimer.Stop()
	}
	events := &eventReader{exchange: x, reader: bufio.NewReader(response.Body), onRead: func(at time.Time) {
		call.RecordSign(at)
		if idleTimer != nil {
			idleTimer.Reset(idleTimeout)
		}
	}, onEnd: func() {
		// The caller may take what was read ahead for longer than an upstream may be idle.
		if idleTimer != nil {
			idleTimer.Stop()
		}
	}}
	defer events.stop(func() { cancel(nil) })
	key := x.routeKey()
	lastEventAt := time.Time{}
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			x.writeStreamHeader(response)
			return dispatch.Served, true, nil
		}
		if err != nil {
			return x.classifyStreamError(ctx, err)
		}
		if !x.isNextEvent(event.id) {
			return dispatch.Mismatched, false, faults.New(faults.AnswerMismatched, "events are out of order")
		}
		now := event.arrived
		if lastEventAt.IsZero() {
			call.RecordFirstEvent(now)
		} else {
			call.RecordEvent(now, now.Sub(lastEventAt))
			x.server.Metrics.RecordTokenGap(key, now.Sub(lastEventAt))
		}
		lastEventAt = now
		events.beginWrite()
		err = x.writeEvent(response, event)
		events.endWrite()
		events.release(event)
		if err != nil {
			return dispatch.Abandoned, true, err
		}
	}
}

// classifyStreamError is classifyCallError for the errors of eventReader.
func (x *exchange) classifyStreamError(ctx context.Context, err error) (dispatch.Result, bool, error) {
	switch {
	case errors.Is(err, errAnswerHead):
		return dispatch.Mismatched, false, faults.New(faults.AnswerMismatched, err.Error())
	case errors.Is(err, errCallerSlow):
		return dispatch.Abandoned, true, errCallerDisconnected
	case errors.Is(err, budget.ErrShort):
		return dispatch.Abandoned, true, faults.New(faults.AnswerDropped, "")
	}
	return x.classifyCallError(ctx, err)
}

// event is a server-sent event.
type event struct {
	// raw holds the event as received, with the empty line that ends it.
	raw []byte
	// id is empty for an event without one.
	id string
	// arrived is when the event was read.
	arrived time.Time
}

// readEvent reads an event up to the empty line that ends it, with the empty lines before it.
// It claims the bytes before it keeps them. It returns io.EOF at the end of a complete stream,
// and any other error if the stream is incomplete.
func readEvent(reader *bufio.Reader, claim func(n int64) error) (event, error) {
	var e event
	// lineStart is where the current line begins, and begun is true after a line that is not
	// blank.
	lineStart, begun := 0, false
	for {
		part, err := reader.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if err := claim(int64(len(part))); err != nil {
			return event{}, err
		}
		e.raw = append(e.raw, part...)
		line := e.raw[lineStart:]
		if (err == nil || errors.Is(err, io.EOF)) && isHeadLine(line) {
			return event{}, errAnswerHead
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (begun || len(bytes.TrimSpace(line)) > 0):
			return event{}, errPartialEvent
		case err != nil:
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		lineStart = len(e.raw)
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(content) == 0 && begun {
			return e, nil
		}
		begun = begun || len(bytes.TrimSpace(content)) > 0
	}
}

// headFields are fields of the head of every answer, which no event has.
var headFields = [][]byte{[]byte("http/1."), []byte("content-length:"), []byte("transfer-encoding:"), []byte("connection:"), []byte("content-type:")}

// isHeadLine reports whether a line belongs to the head of an answer. A faulty upstream writes
// another answer behind a stream that ends with its connection.
func isHeadLine(line []byte) bool {
	return slices.ContainsFunc(headFields, func(field []byte) bool {
		return len(line) >= len(field) && bytes.EqualFold(line[:len(field)], field)
	})
}

// isNextEvent reports whether an event with the ID may follow the last one. IDs
// that are numbers must be consecutive, other IDs must differ. An event without
// an ID may always follow.
func (x *exchange) isNextEvent(id string) bool {
	previousID := x.lastEventID
	if previousID == "" {
		previousID = x.metadata.LastEventID
	}
	if id == "" || previousID == "" {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id != previousID
	}
	previous, err := strconv.ParseInt(previousID, 10, 64)
	return err != nil || number == previous+1
}

// writeEvent writes an event to the caller and flushes it. The first event is
// preceded by the response header.
func (x *exchange) writeEvent(response *forward.Response, e event) error {
	x.writeStreamHeader(response)
	x.setWriteDeadline()
	if _, err := x.writer.Write(e.raw); err != nil {
		return errCallerDisconnected
	}
	if err := x.controller.Flush(); err != nil {
		return errCallerDisconnected
	}
	if e.id != "" {
		x.lastEventID = e.id
	}
	return nil
}

// writeStreamHeader writes the response header of a stream, once.
func (x *exchange) writeStreamHeader(response *forward.Response) {
	if x.headerWritten {
		return
	}
	x.timeToFirstWrite = time.Since(x.arrived)
	x.copyHeader(response.Header)
	x.writer.Header().Del("Content-Length")
	x.headerWritten = true
	x.writer.WriteHeader(response.Status)
}
