package callers

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
)

// A KeyAcquisition is the result of acquiring an idempotency key. The request
// may run unless HeldByOtherRequest is true.
type KeyAcquisition struct {
	// HeldByOtherRequest is true if an earlier request holds the key.
	HeldByOtherRequest bool
	// Answer is the stored answer to the earlier request, nil if there is
	// none.
	Answer *upstreams.PlainResponse
	// DifferentRequest is true if the earlier request has another fingerprint.
	DifferentRequest bool
	// StoreAnswer stores the answer, to be replayed to later requests with the
	// key. It is nil if HeldByOtherRequest is true.
	StoreAnswer func(answer upstreams.PlainResponse)
	// Release makes the key available again. It is called if the request did
	// not run. It is nil if HeldByOtherRequest is true.
	Release func()
}

// A KeyRequest identifies a request and the idempotency key that it acquires.
type KeyRequest struct {
	Team      tables.TeamID
	Service   tables.ServiceID
	Key       string
	RequestID string
	// Fingerprint is a hash of the request's method, path, query and body.
	Fingerprint uint64
}

// An AcquireKeyFunc acquires an idempotency key. It is safe for concurrent use.
// At any time, at most one request in the fleet holds a key.
type AcquireKeyFunc func(ctx context.Context, request KeyRequest) (KeyAcquisition, error)

// maxIdempotencyKeyBytes is the maximum size of an idempotency key.
const maxIdempotencyKeyBytes = 255

// forwardedHeaders lists the request headers forwarded to a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", headerIdempotency}

// servePlain forwards a request to a plain service.
func (x *exchange) servePlain() error {
	service, path := x.splitServicePath()
	entry := x.index.PlainRoute(x.team, service, x.request.Method, path)
	if entry == nil {
		return faults.New(faults.UnknownRoute, string(service))
	}
	x.route = entry.Key()
	body, err := x.readBody()
	if err != nil {
		return err
	}
	task, fault := x.server.Router.Admit(x.arrivedAt, router.Request{
		Route:     x.route,
		Caller:    x.request.Header.Get(headerCaller),
		RequestID: x.requestID,
		ArrivedAt: x.arrivedAt,

		ContentPart: x.contentPart(body),
	})
	if fault != nil {
		return fault
	}
	defer func() { x.server.Router.FinishTask(time.Now(), task) }()
	ctx, cancel := context.WithDeadline(x.request.Context(), task.Deadline())
	defer cancel()
	call := upstreams.PlainCall{
		RequestID:  x.requestID,
		Priority:   entry.Route.Priority,
		Method:     x.request.Method,
		Path:       path,
		Header:     x.forwardedHeader(),
		Body:       body,
		AtMostOnce: !entry.Route.Idempotent,
		ReadBody:   x.answerClaim.Read,
	}
	if x.request.URL.RawQuery != "" {
		call.Path += "?" + x.request.URL.RawQuery
	}
	key := x.request.Header.Get(headerIdempotency)
	if !call.AtMostOnce || key == "" {
		answer, err := x.callPlain(ctx, task, call)
		if err != nil {
			return err
		}
		return x.billAndWritePlain(task, answer)
	}
	return x.callWithIdempotencyKey(ctx, task, call, key)
}

// callPlain calls upstreams until one answers, within maxAttempts and the
// retry budget. A call that must not be sent twice is retried only if no
// upstream can have seen it.
func (x *exchange) callPlain(ctx context.Context, task *router.Task, call upstreams.PlainCall) (upstreams.PlainResponse, error) {
	var failedUpstream tables.UpstreamID
	var history attemptHistory
	for attempt := 1; ; attempt++ {
		step, fault := x.startStep(task, failedUpstream)
		if fault != nil {
			return upstreams.PlainResponse{}, history.refusal(fault)
		}
		call.Address = step.Choice.Upstream.Config.Address
		call.OnLimit = x.limitRecorder(step)
		answer, err := x.server.UpstreamClient.CallPlain(ctx, call)
		outcome := router.Outcome{Failed: err != nil, Answered: err == nil}
		if err != nil {
			outcome.Failed = x.isUpstreamFailure(call.Address, faults.FromError(err))
			outcome.Aborted = !outcome.Failed
		} else {
			x.server.Router.RecordFirstToken(time.Now(), step)
		}
		x.finishStep(task, step, outcome, err)
		if err == nil {
			return answer, nil
		}
		fault = history.recordFailure(faults.FromError(err))
		retryable := !call.AtMostOnce || fault.Run == faults.RunNo
		if !retryable || fault.Kind == faults.AnswerDropped || attempt >= maxAttempts || ctx.Err() != nil || !x.allowsRetry(fault) {
			return upstreams.PlainResponse{}, fault
		}
		failedUpstream = step.Choice.Upstream.Config.Name
	}
}

// limitRecorder returns a function that records what the answer to a call says of the limit of
// its upstream.
func (x *exchange) limitRecorder(step *router.Step) upstreams.LimitFunc {
	return func(rate pacing.Rate, named bool) { x.server.Router.RecordLimit(time.Now(), step, rate, named) }
}

// callWithIdempotencyKey acquires the idempotency key of a call that must not
// run twice, and makes the call. If an earlier request holds the key, its
// stored answer is replayed. The key is released only if the call failed
// without having run.
func (x *exchange) callWithIdempotencyKey(ctx context.Context, task *router.Task, call upstreams.PlainCall, key string) error {
	if len(key) > maxIdempotencyKeyBytes {
		return faults.New(faults.BadRequest, "the idempotency key is too long")
	}
	acquisition, err := x.server.AcquireKey(ctx, KeyRequest{
		Team:        x.team,
		Service:     x.route.Service,
		Key:         key,
		RequestID:   x.requestID,
		Fingerprint: xxhash.Sum64(append([]byte(call.Method+" "+call.Path+"\n"), call.Body...)),
	})
	switch {
	case err != nil:
		return faults.New(faults.PlatformUnavailable, err.Error())
	case acquisition.DifferentRequest:
		return faults.NotRun(faults.BadRequest, "the idempotency key was used for another request")
	case acquisition.HeldByOtherRequest && acquisition.Answer != nil:
		x.writer.Header().Set(headerReplayed, "true")
		return x.writePlainResponse(*acquisition.Answer)
	case acquisition.HeldByOtherRequest:
		return faults.New(faults.DuplicateRequest, "")
	}
	answer, err := x.callPlain(ctx, task, call)
	if err != nil {
		if faults.FromError(err).Run == faults.RunNo {
			acquisition.Release()
		}
		return err
	}
	acquisition.StoreAnswer(answer)
	return x.billAndWritePlain(task, answer)
}

// billAndWritePlain bills the request and then writes its response.
func (x *exchange) billAndWritePlain(task *router.Task, answer upstreams.PlainResponse) error {
	x.cost = task.Cost
	x.server.StoreBill(billing.Bill{RequestID: x.requestID, Team: x.team, Cost: task.Cost})
	return x.writePlainResponse(answer)
}

// forwardedHeader returns the headers to forward to a plain service.
func (x *exchange) forwardedHeader() http.Header {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if values := x.request.Header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	return header
}

// splitServicePath splits the escaped path /services/NAME/REST into NAME and
// /REST.
func (x *exchange) splitServicePath() (tables.ServiceID, string) {
	trimmed := strings.TrimPrefix(x.request.URL.EscapedPath(), "/services/")
	service, path, _ := strings.Cut(trimmed, "/")
	return tables.ServiceID(service), "/" + path
}

// writePlainResponse writes the response of a plain service with its content
// type, ETag and location. Its other headers are dropped.
func (x *exchange) writePlainResponse(answer upstreams.PlainResponse) error {
	header := x.writer.Header()
	for _, name := range []string{"Content-Type", "Etag", "Location"} {
		if value := answer.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	x.prepareWrite()
	x.responseStarted = true
	x.writer.WriteHeader(answer.Status)
	return x.writePart(answer.Body)
}
