package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/net/http1"
	"mimosayard/platform"
)

// bufferedResponse is an upstream's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// Cancellation causes of a call. Their texts become the details of faults.
var (
	errResponseTimeout = errors.New("upstream did not start to respond in time")
	errStreamIdle      = errors.New("upstream stream exceeded its idle timeout")
)

// maxResponseBytes bounds a response that is buffered in memory.
const maxResponseBytes = 16 << 20

// makeCall makes one call to an upstream. It reports whether the request is
// done, that is, whether no further call may follow.
func (x *exchange) makeCall(parent context.Context, call *dispatch.Call) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	var admission *connect.Admission
	if call.RoomWait > 0 {
		admission = &connect.Admission{Owner: call.Owner, Wait: call.RoomWait}
		defer admission.End()
	}
	result := dispatch.Abandoned
	defer func() {
		if result == dispatch.Broken || result == dispatch.Abandoned && !call.Started() || x.server.Dispatcher.SuspectsRequests() {
			// The dispatcher asks for it under its lock.
			x.contentPart()
		}
		x.server.Dispatcher.EndCall(time.Now(), x.task, call, result)
		if result == dispatch.Refused && call.Owner != "" && x.server.ReportRejection != nil {
			x.server.ReportRejection(call.Owner, call.Upstream.Address)
		}
		x.summarizeCall(call, result, err)
	}()
	stopTimer := func() {}
	response, sendErr := x.send(ctx, call, admission, func() { stopTimer = x.startResponseTimer(call, cancel) })
	stopTimer()
	result, done, err = x.receive(ctx, cancel, call, response, sendErr)
	return done, err
}

// startResponseTimer cancels a call with errResponseTimeout after its start
// timeout, unless stop is called before, or the dispatcher extends the timeout
// because the upstream is busy but alive. A timeout of zero sets no timer.
func (x *exchange) startResponseTimer(call *dispatch.Call, cancel context.CancelCauseFunc) (stop func()) {
	if call.StartTimeout <= 0 {
		return func() {}
	}
	var timer *time.Timer
	started := make(chan struct{})
	timer = time.AfterFunc(call.StartTimeout, func() {
		<-started
		if more := x.server.Dispatcher.ExtendStart(time.Now(), x.task, call); more > 0 {
			timer.Reset(more)
			return
		}
		cancel(errResponseTimeout)
	})
	close(started)
	return func() { timer.Stop() }
}

// send sends the request to the upstream of a call and returns the response once
// its header has arrived. It calls onConnected once there is a connection. If admission is
// not nil, it first asks for room.
func (x *exchange) send(ctx context.Context, call *dispatch.Call, admission *connect.Admission, onConnected func()) (*forward.Response, error) {
	overrides := platform.HeaderOverrides{
		Upstream:    call.Upstream.ID,
		Team:        x.teamName(),
		Timeout:     time.Until(x.task.Request.Deadline),
		Model:       call.Model,
		LastEventID: x.lastEventID,
		Urgency:     call.Urgency,
		CacheSource: call.CacheSource,
	}
	return x.server.UpstreamClient.Send(ctx, forward.Request{
		Address:   call.Upstream.Address,
		Method:    x.request.Method,
		Target:    x.request.RequestURI,
		Host:      x.request.Host,
		Header:    platform.ForwardHeader(x.request.Header, overrides),
		Body:      x.body,
		Admission: admission,
		OnConnected: func(through tables.InstanceID) {
			x.server.Dispatcher.RecordConnected(time.Now(), call, through)
			onConnected()
		},
	})
}

// receive handles the header of a response, or the error of the call, and then
// reads and relays the body. It reports the result for the dispatcher and
// whether the request is done.
func (x *exchange) receive(ctx context.Context, cancel context.CancelCauseFunc, call *dispatch.Call, response *forward.Response, sendErr error) (dispatch.Result, bool, error) {
	if errors.Is(sendErr, syscall.ECONNREFUSED) {
		call.MarkConnectionRefused()
		x.server.Dispatcher.RecordConnectionRefused(time.Now(), call)
	}
	if call.Owner != "" {
		x.recordOwner(ctx, call, sendErr)
	}
	if sendErr != nil {
		return x.classifyCallError(ctx, sendErr)
	}
	defer func() { _ = response.Body.Close() }()
	meta := platform.ParseResponse(response.Status, response.Header)
	x.recordUpstreamState(call, meta)
	switch {
	case meta.ID != "" && meta.ID != x.metadata.ID:
		// It may be an earlier refusal, while the upstream runs this request.
		return dispatch.Mismatched, false, faults.New(faults.AnswerMismatched, "")
	case response.Status == http.StatusMisdirectedRequest && meta.Upstream != "" && meta.Upstream != call.Upstream.ID:
		return dispatch.AddressReused, false, faults.NotRun(faults.NoUpstream, "the address belongs to another upstream")
	case response.Status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected, false, faults.NotRun(faults.NoUpstream, fmt.Sprintf("the upstream does not serve model %q", cmp.Or(call.Model, x.metadata.Model)))
	case meta.NotExecuted:
		return dispatch.Refused, false, faults.NotRun(faults.NoUpstream, "the upstream rejected the call without running it")
	case meta.ID != x.metadata.ID:
		return dispatch.Mismatched, false, faults.New(faults.AnswerMismatched, "")
	case x.headerWritten && (response.Status != http.StatusOK || !meta.Stream):
		return dispatch.Failed, false, faults.New(faults.AnswerIncomplete, "the stream could not be resumed")
	case response.Status >= http.StatusMultipleChoices:
		return x.receiveFailure(ctx, response)
	case !x.startAnswer(call, meta):
		cancel(nil)
		return dispatch.Abandoned, false, faults.New(faults.UpstreamFailed, "a larger model is asked")
	case meta.Stream:
		return x.relayStream(ctx, cancel, call, response)
	}
	buffered, err := x.bufferResponse(response)
	if errors.Is(err, budget.ErrShort) {
		return dispatch.Abandoned, true, faults.New(faults.AnswerDropped, "")
	}
	if err != nil {
		return x.classifyCallError(ctx, err)
	}
	return dispatch.Served, true, x.writeBuffered(buffered)
}

// recordOwner records whether the instance that admits the call has answered.
func (x *exchange) recordOwner(ctx context.Context, call *dispatch.Call, sendErr error) {
	switch {
	case errors.Is(sendErr, connect.ErrOwnerLost):
		x.server.Dispatcher.RecordOwnerLost(time.Now(), call)
	case errors.Is(sendErr, connect.ErrOwnerLate):
		x.server.Dispatcher.RecordOwnerLate(time.Now(), call)
	case ctx.Err() == nil:
		x.server.Dispatcher.RecordOwnerAnswer(call)
	}
}

// recordUpstreamState records what the upstream says of itself. An answer from another
// upstream at the address, or to another request, says nothing of it.
func (x *exchange) recordUpstreamState(call *dispatch.Call, meta platform.ResponseMetadata) {
	if meta.ID != x.metadata.ID {
		return
	}
	state := dispatch.UpstreamState{
		Leaving: meta.Leaving, RetryAfter: meta.RetryAfter, MaxRejections: meta.MaxRejections,
		NamesLimit: meta.NamesLimit, MaxRate: pacing.Rate(meta.MaxRate),
		StatesCold: meta.StatesCold, ColdFor: meta.ColdFor,
	}
	if meta.Load != nil {
		state.Load = &placement.ReportedLoad{Running: meta.Load.Running, Waiting: meta.Load.Waiting, Slots: meta.Load.Slots, Pace: meta.Load.Pace}
	}
	x.server.Dispatcher.RecordUpstreamState(time.Now(), call, state)
	if state.Leaving || state.RetryAfter > 0 {
		x.callSummaries = append(x.callSummaries, fmt.Sprintf("%s leaving %t retry after %d", call.Upstream.ID, state.Leaving, state.RetryAfter.Milliseconds()))
	}
	if meta.NamesLimit {
		x.callSummaries = append(x.callSummaries, fmt.Sprintf("%s limit %g", call.Upstream.ID, meta.MaxRate))
	}
}

// startAnswer records the start of a successful response, and reports whether it
// is relayed. Otherwise a larger model is asked.
func (x *exchange) startAnswer(call *dispatch.Call, meta platform.ResponseMetadata) bool {
	accepted := x.server.Dispatcher.StartAnswer(time.Now(), x.task, call, x.escalationConfidence(meta))
	x.server.Metrics.RecordStart(x.routeKey(), call.ExpectedStart, call.StartLatency())
	return accepted
}

// escalationConfidence returns the confidence by which the dispatcher decides
// whether to escalate to a larger model. It is -1 if the response is kept in any
// case, since the caller already has a part of it, or since that of a larger model
// might be cut at the end of the drain.
func (x *exchange) escalationConfidence(meta platform.ResponseMetadata) int {
	if x.headerWritten || x.outlastsDrain() {
		return -1
	}
	return meta.Confidence
}

// receiveFailure handles a response with a status of 300 or more. A status
// below 500 is written to the caller as it is, unless it implies that the
// request did not run. A 5xx response is kept while another upstream may still
// succeed.
func (x *exchange) receiveFailure(ctx context.Context, response *forward.Response) (dispatch.Result, bool, error) {
	buffered, err := x.bufferResponse(response)
	if errors.Is(err, budget.ErrShort) {
		return dispatch.Abandoned, true, faults.New(faults.AnswerDropped, "")
	}
	if err != nil {
		return x.classifyCallError(ctx, err)
	}
	switch {
	case impliesNotRun(response.Status):
		// Callers take these statuses as a guarantee that the request did not
		// run, which the upstream has not given.
		return dispatch.Failed, false, faults.New(faults.UpstreamFailed, "the upstream rejected the call without confirming that it did not run")
	case response.Status < http.StatusInternalServerError:
		return dispatch.Served, true, x.writeBuffered(buffered)
	}
	if earlier := x.upstreamFailure; earlier != nil {
		_ = x.answerClaim.Grow(-int64(cap(earlier.body)))
	}
	x.upstreamFailure = buffered
	return dispatch.Failed, false, faults.New(faults.UpstreamFailed, "the upstream answered with a failure")
}

// classifyCallError returns the result and fault of a call without a complete
// response, and whether the request is done.
func (x *exchange) classifyCallError(ctx context.Context, err error) (dispatch.Result, bool, error) {
	switch {
	case x.interrupted() && errors.Is(err, forward.ErrNotConnected):
		return dispatch.NoRoom, false, faults.NotRun(faults.ShuttingDown, "")
	case x.interrupted():
		return dispatch.Abandoned, false, faults.New(faults.Interrupted, "")
	case x.request.Context().Err() != nil:
		return dispatch.Abandoned, true, errCallerDisconnected
	case errors.Is(err, connect.ErrNoRoom), errors.Is(err, connect.ErrOwnerLost):
		return dispatch.NoRoom, false, faults.NotRun(faults.Overloaded, roomFailure(err))
	case errors.Is(err, forward.ErrNotConnected):
		return dispatch.Unreachable, false, faults.NotRun(faults.UpstreamFailed, "the upstream could not be reached: "+connectFailure(err))
	case errors.Is(context.Cause(ctx), errResponseTimeout), errors.Is(context.Cause(ctx), errStreamIdle):
		return dispatch.TimedOut, false, faults.New(faults.UpstreamTimeout, context.Cause(ctx).Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.Abandoned, true, faults.New(faults.UpstreamTimeout, "the time is over")
	case errors.Is(err, http1.ErrMalformed), errors.As(err, new(*http.MaxBytesError)), errors.Is(err, errEventTooLarge):
		return dispatch.Mismatched, false, faults.New(faults.UpstreamFailed, err.Error())
	case errors.Is(err, links.ErrPeerLost):
		return dispatch.LinkLost, false, faults.New(faults.AnswerIncomplete, links.ErrPeerLost.Error())
	}
	return dispatch.Broken, false, faults.New(faults.AnswerIncomplete, "")
}

// connectFailure returns why no connection was established, for the log.
func connectFailure(err error) string {
	var network net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.As(err, &network) && network.Timeout():
		return "connection timed out"
	}
	return "no connection"
}

// roomFailure returns why a call was not admitted, for the log.
func roomFailure(err error) string {
	switch {
	case errors.Is(err, connect.ErrOwnerLost):
		return "the admitting instance is lost"
	case errors.Is(err, connect.ErrOwnerLate):
		return "the admitting instance is late"
	}
	return "no room in time"
}

// writeBuffered writes a buffered response to the caller.
func (x *exchange) writeBuffered(response *bufferedResponse) error {
	x.timeToFirstWrite = time.Since(x.arrived)
	x.copyHeader(response.header)
	x.headerWritten = true
	x.setWriteDeadline()
	x.writer.WriteHeader(response.status)
	if x.answerClaim.WriteAnswer(x.writer, response.body) != nil {
		return errCallerDisconnected
	}
	return nil
}

// copyHeader copies the headers of an upstream's response, right before they are
// written. Setting Content-Type and Date to nil keeps net/http from adding its own.
func (x *exchange) copyHeader(from http.Header) {
	header := x.writer.Header()
	for name, values := range platform.ResponseHeader(from) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if from[name] == nil {
			header[name] = nil
		}
	}
	x.closeIfStopping()
}

// closeIfStopping makes the response, whose header is about to be written, close the
// connection if the instance is shutting down.
func (x *exchange) closeIfStopping() {
	if x.server.SinceShutdown() > 0 {
		x.writer.Header().Set("Connection", "close")
	}
}

func (x *exchange) setWriteDeadline() {
	_ = x.controller.SetWriteDeadline(time.Now().Add(callerIOTimeout))
}

// bufferResponse reads a response completely. It returns an http.MaxBytesError if
// the body exceeds maxResponseBytes, and budget.ErrShort if there is no room for it.
func (x *exchange) bufferResponse(response *forward.Response) (*bufferedResponse, error) {
	held := x.answerClaim.Held()
	length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 || x.request.Method == http.MethodHead {
		length = -1
	}
	body, err := x.answerClaim.Read(http.MaxBytesReader(nil, response.Body, maxResponseBytes), length)
	if err != nil {
		_ = x.answerClaim.Grow(held - x.answerClaim.Held())
		return nil, err
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, nil
}

// impliesNotRun reports whether callers take a status as a guarantee that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sharedParts returns the prompt parts that other prompts may share: all but the
// last, which belongs to this request or its session only.
func sharedParts(parts []platform.PromptPart) []platform.PromptPart {
	return parts[:max(0, len(parts)-1)]
}

// sharedPartIDs returns the IDs of the first shared parts, up to maxPartIDs. Those that a
// caller has named like a request are left out.
func sharedPartIDs(parts []platform.PromptPart) []quarantine.PartID {
	shared := sharedParts(parts)
	var ids []quarantine.PartID
	for _, part := range shared[:min(len(shared), maxPartIDs)] {
		if id := quarantine.PartID(part.ID); !id.IsRequest() {
			ids = append(ids, id)
		}
	}
	return ids
}

// hashContent returns the part that stands for all requests of the team with the content of
// this one, whatever their IDs, deadlines and sessions are, and whichever credential the team
// uses.
func (x *exchange) hashContent() quarantine.PartID {
	content := []string{
		string(x.teamName()),
		x.request.Method, x.request.Host, x.request.RequestURI, string(x.body), string(x.metadata.Model),
		strconv.FormatInt(int64(x.metadata.PromptTokens), 10), strconv.FormatInt(int64(x.metadata.AnswerTokens), 10),
	}
	for _, part := range x.metadata.PromptParts {
		content = append(content, part.ID)
	}
	return quarantine.NewRequestPart(content...)
}

// teamName returns the name of the team, empty for a request that needs no credential.
func (x *exchange) teamName() tables.TeamID {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// maxPartIDs bounds the prompt parts of a request that can be quarantined.
const maxPartIDs = 32

// sharedPrefixHash returns a hash of the shared parts. It is zero if there are none,
// and never zero otherwise.
func sharedPrefixHash(parts []platform.PromptPart) uint64 {
	shared := sharedParts(parts)
	if len(shared) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range shared {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
	}
	return digest.Sum64() | 1
}

// sharedPrefixTokens returns the number of tokens in the shared parts.
func sharedPrefixTokens(parts []platform.PromptPart) tables.Tokens {
	var tokens tables.Tokens
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}
