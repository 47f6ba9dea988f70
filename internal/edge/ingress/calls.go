package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/platform"
)

// wholeAnswer is an upstream's answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Causes for the end of a call.
var (
	errSlowStart = errors.New("the upstream did not start to answer")
	errSilent    = errors.New("the upstream's stream went silent")
)

// errAnswerTooLarge is an answer that cannot be held until it is whole.
var errAnswerTooLarge = errors.New("the answer is too large")

// mostAnswer bounds an answer that is kept in memory, in bytes.
const mostAnswer = 16 << 20

// try makes one call. It reports whether the request is done.
func (x *exchange) try(parent context.Context, call *dispatch.Call) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	result := dispatch.Dropped
	defer func() {
		x.server.Dispatcher.Ended(time.Now(), x.task, call, result)
		x.note(call, result, err)
	}()
	stopWaiting := boundStart(call.Start, cancel)
	answer, sendErr := x.send(ctx, call)
	stopWaiting()
	result, done, err = x.receive(ctx, cancel, call, answer, sendErr)
	return done, err
}

// boundStart cancels a call that does not start to answer in time, unless the
// function that it returns is called before. Zero is no bound.
func boundStart(bound time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	if bound <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(bound, func() { cancel(errSlowStart) })
	return func() { timer.Stop() }
}

func (x *exchange) send(ctx context.Context, call *dispatch.Call) (*forward.Answer, error) {
	set := platform.Forwarded{
		Upstream:  call.Upstream.ID,
		Left:      time.Until(x.task.Request.Deadline),
		Model:     call.Model,
		LastEvent: x.lastEvent,
		Urgency:   call.Urgency,
		Fetch:     call.Fetch,
	}
	if x.team != nil {
		set.Team = x.team.Name
	}
	return x.server.Upstreams.Send(ctx, forward.Call{
		Address: call.Upstream.Address,
		Method:  x.request.Method,
		Target:  x.request.RequestURI,
		Host:    x.request.Host,
		Header:  platform.ForwardHeader(x.request.Header, set),
		Body:    x.body,
	})
}

// receive takes the start of an answer, or the error in its place, and goes on
// with the rest.
func (x *exchange) receive(ctx context.Context, cancel context.CancelCauseFunc, call *dispatch.Call, answer *forward.Answer, sendErr error) (dispatch.Result, bool, error) {
	if sendErr != nil {
		return x.unanswered(ctx, sendErr)
	}
	defer func() { _ = answer.Body.Close() }()
	reported := platform.ReadReported(answer.Status, answer.Header)
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return dispatch.Misnamed, false, faults.NotRun(faults.NoUpstream, "another upstream has the address")
	case reported.NotRun:
		return dispatch.Refused, false, faults.NotRun(faults.NoUpstream, "the upstream is full")
	case reported.ID != x.call.ID:
		return dispatch.Broken, false, faults.New(faults.AnswerMismatched, "")
	case x.started && (answer.Status != http.StatusOK || !reported.Stream):
		return dispatch.Failed, false, faults.New(faults.AnswerIncomplete, "the stream could not be resumed")
	case answer.Status >= http.StatusMultipleChoices:
		return x.takeFailure(ctx, answer)
	case !x.server.Dispatcher.Started(time.Now(), x.task, call, x.confidenceOf(reported)):
		cancel(nil)
		return dispatch.Dropped, false, faults.New(faults.UpstreamFailed, "a larger model is asked")
	case reported.Stream:
		return x.relay(ctx, cancel, call, answer)
	}
	whole, err := readWhole(answer)
	if err != nil {
		return x.unanswered(ctx, err)
	}
	return dispatch.Served, true, x.deliver(whole)
}

// confidenceOf returns the confidence that an answer may be dropped for, -1 if
// the caller has a part of it already.
func (x *exchange) confidenceOf(reported platform.Reported) int {
	if x.started {
		return -1
	}
	return reported.Confidence
}

// takeFailure takes an answer that is not a success. It is told to the caller
// as it is unless another upstream may do better.
func (x *exchange) takeFailure(ctx context.Context, answer *forward.Answer) (dispatch.Result, bool, error) {
	whole, err := readWhole(answer)
	if err != nil {
		return x.unanswered(ctx, err)
	}
	switch {
	case promisesNotRun(answer.Status):
		// The upstream has not said that it did not run the request, so these
		// statuses would promise too much.
		return dispatch.Failed, false, faults.New(faults.UpstreamFailed, "the upstream refused without saying that nothing ran")
	case answer.Status < http.StatusInternalServerError:
		return dispatch.Served, true, x.deliver(whole)
	}
	x.kept = whole
	return dispatch.Failed, false, faults.New(faults.UpstreamFailed, "the upstream answered with a failure")
}

// unanswered says how a call ended that has no whole answer.
func (x *exchange) unanswered(ctx context.Context, err error) (dispatch.Result, bool, error) {
	switch {
	case x.request.Context().Err() != nil:
		return dispatch.Dropped, true, errGone
	case errors.Is(err, forward.ErrUnreached) && ctx.Err() == nil:
		return dispatch.Unreached, false, faults.NotRun(faults.UpstreamFailed, "the upstream could not be reached")
	case errors.Is(context.Cause(ctx), errSlowStart), errors.Is(context.Cause(ctx), errSilent):
		return dispatch.Silent, false, faults.New(faults.UpstreamTimeout, context.Cause(ctx).Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.Dropped, true, faults.New(faults.UpstreamTimeout, "the time is over")
	}
	return dispatch.Broken, false, faults.New(faults.AnswerIncomplete, "")
}

// deliver passes a whole answer on.
func (x *exchange) deliver(answer *wholeAnswer) error {
	x.firstPart = time.Since(x.arrived)
	x.copyHeader(answer.header)
	x.started = true
	x.setWriteDeadline()
	x.writer.WriteHeader(answer.status)
	if _, err := x.writer.Write(answer.body); err != nil {
		return errGone
	}
	return nil
}

// copyHeader sets the headers of an upstream's answer. The library adds none
// of its own.
func (x *exchange) copyHeader(from http.Header) {
	header := x.writer.Header()
	for name, values := range platform.AnswerHeader(from) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if from[name] == nil {
			header[name] = nil
		}
	}
}

func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(slowCaller))
}

func readWhole(answer *forward.Answer) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, mostAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > mostAnswer {
		return nil, errAnswerTooLarge
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// promisesNotRun reports whether callers take a status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sharedHash returns the hash of the parts of a prompt that other prompts may
// share: all but the last, which belongs to the request.
func sharedHash(parts []platform.Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts[:len(parts)-1] {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
	}
	return digest.Sum64() | 1
}
