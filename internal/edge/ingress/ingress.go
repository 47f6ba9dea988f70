// Package ingress is the HTTP server for callers of a shared platform. It
// buffers each request, asks the dispatcher for an upstream, and relays the
// upstream's response unchanged. The platform's load balancer spreads callers
// over the instances.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/net/sockets"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

// Server handles callers' requests. Its fields must be set before it serves.
type Server struct {
	Dispatcher     *dispatch.Dispatcher
	UpstreamClient *forward.Client
	// ReportRejection tells the instance that admitted a call that the upstream at the
	// address has rejected it. It must not block, and may be nil in a fleet of one.
	ReportRejection func(owner tables.InstanceID, address string)
	Metrics         *metrics.Recorder
	Log             *zap.Logger
	// SinceShutdown returns the time since the instance began to shut down,
	// zero if it has not.
	SinceShutdown func() time.Duration
	// MaySend reports whether requests may be sent to upstreams. Until it does, requests are
	// refused as NotReady. It may be nil.
	MaySend func() bool
	// AcceptWindow is the time after the start of shutdown during which new
	// requests are still accepted.
	AcceptWindow time.Duration
	// DrainWindow is the time after the start of shutdown at which requests in
	// progress end.
	DrainWindow time.Duration
	// Budget bounds what requests and answers hold. It may be nil.
	Budget *budget.Budget

	inFlight atomic.Int64
}

// exchange holds the state of one caller's request and its response.
type exchange struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	arrived    time.Time

	metadata platform.RequestMetadata
	// index is the configuration in force when the request arrived, nil if the
	// instance had none.
	index *catalog.Index
	// route is nil until the route has been found.
	route *catalog.Route
	// team is nil if the request needs no credential or was not authenticated.
	team *catalog.Team
	body []byte
	// bodyClaim and answerClaim are what the request's body and a buffered answer hold.
	bodyClaim, answerClaim budget.Claim
	// bodyPending is true if the body has not been read to its end.
	bodyPending bool
	// contentPart returns the part that stands for all requests with this one's content. It
	// hashes the body once, when it is first called.
	contentPart func() quarantine.PartID
	// task is nil until the dispatcher has admitted the request.
	task *dispatch.Task

	// headerWritten is true once the response header has been written to the
	// caller. The response can then no longer be replaced by an error.
	headerWritten bool
	// lastEventID is the ID of the last event written to the caller, empty for
	// none.
	lastEventID string
	// timeToFirstWrite is the time from the request's arrival to the response
	// header.
	timeToFirstWrite time.Duration
	// upstreamFailure is the latest 5xx response of an upstream. The caller
	// gets it if no other upstream succeeds.
	upstreamFailure *bufferedResponse
	// callSummaries describe the calls made, for the log.
	callSummaries []string
}

const (
	// callerIOTimeout bounds the read of the request body, and each write of a
	// part of the response.
	callerIOTimeout = 10 * time.Second
	// balancerWindow is the time after the start of shutdown during which all
	// requests are accepted. By its end the load balancer sends new connections
	// to other instances.
	balancerWindow = 2800 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of an instance without a
	// configuration or the evacuations. Loading them takes a few store calls of
	// some milliseconds each.
	notReadyRetryAfter = 250 * time.Millisecond
	// shuttingDownRetryAfter is the Retry-After of an instance that is shutting
	// down. It is short, since another instance handles the retry.
	shuttingDownRetryAfter = 50 * time.Millisecond
)

// errCallerDisconnected ends an exchange whose caller closed its connection.
var errCallerDisconnected = errors.New("caller disconnected")

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{
		server:     s,
		writer:     w,
		request:    request,
		controller: http.NewResponseController(w),
		arrived:    time.Now(),
		metadata:   platform.ParseRequestHeader(request.Header),
	}
	x.bodyPending = request.Body != nil && request.Body != http.NoBody
	x.bodyClaim.Init(s.Budget, budget.BodyFloor)
	x.answerClaim.Init(s.Budget, budget.AnswerFloor)
	defer x.answerClaim.Release()
	defer x.bodyClaim.Release()
	x.finish(x.serve())
}

// serve validates the request, admits it and calls upstreams. It returns the
// fault with which the request failed, or errCallerDisconnected.
func (x *exchange) serve() error {
	if err := x.resolveRoute(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if budget.ConnOf(x.request).Pass() != nil {
		return errCallerDisconnected
	}
	if x.isRejected() {
		return shuttingDownFault()
	}
	task, fault := x.server.Dispatcher.Admit(time.Now(), x.dispatchRequest())
	if fault != nil {
		return fault
	}
	x.task = task
	ctx, cancel := context.WithDeadline(x.request.Context(), task.Request.Deadline)
	defer cancel()
	return x.callUpstreams(ctx)
}

// isRejected reports whether the instance has been shutting down for too long to
// finish the request, which has just come. The load balancer then sends new
// connections to other instances, where the request can run.
func (x *exchange) isRejected() bool {
	isLateStream := x.route.Kind == catalog.Streaming && x.server.isDraining()
	return isLateStream || x.server.SinceShutdown() > x.server.AcceptWindow || x.outlastsDrain()
}

// outlastsDrain reports whether a call that begins now may last longer than the
// instance, while the load balancer sends new connections to others.
func (x *exchange) outlastsDrain() bool {
	return x.server.isDraining() && time.Until(x.deadline()) > x.server.DrainWindow-x.server.SinceShutdown()
}

// isDraining reports whether the load balancer sends new connections to other
// instances, since this one is shutting down.
func (s *Server) isDraining() bool {
	return s.SinceShutdown() > min(balancerWindow, s.AcceptWindow)
}

// notReadyFault returns the fault for a request that came before the instance knows what it needs.
func notReadyFault(detail string) *faults.Error {
	fault := faults.New(faults.NotReady, detail)
	fault.RetryAfter = notReadyRetryAfter
	return fault
}

// shuttingDownFault returns the fault for a request that has not run here.
func shuttingDownFault() *faults.Error {
	fault := faults.New(faults.ShuttingDown, "")
	fault.RetryAfter = shuttingDownRetryAfter
	return fault
}

// interrupted reports whether the instance has ended its requests at the end of
// the drain.
func (x *exchange) interrupted() bool {
	return errors.Is(context.Cause(x.request.Context()), sockets.ErrRequestsEnded)
}

// resolveRoute finds the route of the request and, unless the route is public,
// authenticates the team.
func (x *exchange) resolveRoute() error {
	x.index = x.server.Dispatcher.Index()
	switch {
	case x.index == nil:
		return notReadyFault("")
	case x.server.MaySend != nil && !x.server.MaySend():
		return notReadyFault("the evacuations are not known yet")
	}
	limits := x.index.Catalog.Limits
	if limits.HeaderBytes > 0 && headerSize(x.request) > limits.HeaderBytes {
		return faults.New(faults.HeadersTooLarge, "")
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.index.Route(x.request.Host, path)
	if x.route == nil {
		return faults.New(faults.UnknownRoute, "")
	}
	if x.route.Public || len(x.index.Catalog.Teams) == 0 {
		return nil
	}
	x.team = x.index.Team(x.metadata.Credential)
	if x.team == nil {
		return faults.New(faults.Unauthenticated, "")
	}
	return nil
}

// readBody buffers the request body. A request is forwarded only if its body
// was read completely.
func (x *exchange) readBody() error {
	limit := x.index.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return faults.New(faults.TooLarge, "")
	}
	if !x.bodyPending {
		return nil
	}
	_ = x.controller.SetReadDeadline(time.Now().Add(callerIOTimeout))
	data, err := x.bodyClaim.ReadBody(x.writer, x.request, limit)
	_ = x.controller.SetReadDeadline(time.Time{})
	var (
		tooLarge *http.MaxBytesError
		network  net.Error
	)
	switch {
	case err == nil:
		x.body, x.bodyPending = data, false
		return nil
	case errors.Is(err, budget.ErrShort):
		return faults.New(faults.Overloaded, "there is no room for the body")
	case errors.Is(err, budget.ErrEvicted):
		return faults.New(faults.SlowRequest, "the body stalled while there was no room for others")
	case errors.As(err, &tooLarge):
		return faults.New(faults.TooLarge, "")
	case errors.As(err, &network) && network.Timeout():
		return faults.New(faults.SlowRequest, "")
	}
	return faults.New(faults.BadRequest, "the request body ended early")
}

// defaultBodyBytes bounds a request body if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// deadline returns the time at which the request must be answered. It is the
// earlier of the deadlines of the caller and the route.
func (x *exchange) deadline() time.Time {
	timeout := x.route.Timeout
	if x.metadata.Timeout > 0 && (timeout <= 0 || x.metadata.Timeout < timeout) {
		timeout = x.metadata.Timeout
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	return x.arrived.Add(timeout)
}

// dispatchRequest returns the request for the dispatcher.
func (x *exchange) dispatchRequest() dispatch.Request {
	x.contentPart = sync.OnceValue(x.hashContent)
	return dispatch.Request{
		ID:              x.metadata.ID,
		Route:           x.route,
		Session:         x.metadata.Session,
		Team:            x.teamName(),
		Model:           x.metadata.Model,
		PromptTokens:    x.metadata.PromptTokens,
		SharedTokens:    sharedPrefixTokens(x.metadata.PromptParts),
		SharedPartsHash: sharedPrefixHash(x.metadata.PromptParts),
		SharedParts:     sharedPartIDs(x.metadata.PromptParts),
		ContentPart:     x.contentPart,
		ArrivedAt:       x.arrived,
		Deadline:        x.deadline(),
		Rank:            x.rank(),
	}
}

// rank returns the priority of the team if it has one of its own, else that of the route.
func (x *exchange) rank() int {
	if x.team != nil && x.team.Priority != nil {
		return *x.team.Priority
	}
	return x.route.Priority
}

// defaultRequestTimeout applies if neither the caller nor the route sets one.
const defaultRequestTimeout = 30 * time.Second

// callUpstreams makes calls until one succeeds or the dispatcher allows no
// more.
func (x *exchange) callUpstreams(ctx context.Context) error {
	var lastErr error
	for {
		if x.interrupted() {
			return x.giveUp(shuttingDownFault(), lastErr)
		}
		call, fault := x.nextCall(ctx)
		if fault != nil {
			return x.giveUp(fault, lastErr)
		}
		done, err := x.makeCall(ctx, call)
		if done {
			return err
		}
		lastErr = err
	}
}

// nextCall returns the next call of the task, for which it may wait until an upstream has
// room, or the reason why there is none.
func (x *exchange) nextCall(ctx context.Context) (*dispatch.Call, *faults.Error) {
	if x.server.Dispatcher.SuspectsRequests() {
		// The dispatcher asks for it under its lock.
		x.contentPart()
	}
	for {
		if x.task.PossibleRuns == 0 && !x.headerWritten && x.outlastsDrain() {
			x.server.Dispatcher.StopWaiting(x.task)
			return nil, shuttingDownFault()
		}
		call, fault := x.server.Dispatcher.NextCall(time.Now(), x.task)
		if fault == nil {
			return call, nil
		}
		wait := x.server.Dispatcher.WaitForRoom(time.Now(), x.task, fault)
		if wait <= 0 || !delay.Sleep(ctx, wait) {
			x.server.Dispatcher.StopWaiting(x.task)
			return nil, fault
		}
	}
}

// giveUp ends a request that gets no further call. It writes the upstream's own
// failure if there is one, and otherwise returns the error for the caller.
// fault is the dispatcher's reason, lastErr the error of the last call.
func (x *exchange) giveUp(fault *faults.Error, lastErr error) error {
	if x.upstreamFailure != nil && !x.headerWritten {
		return x.writeBuffered(x.upstreamFailure)
	}
	if x.task.PossibleRuns == 0 {
		if fault.Run != faults.RunNo {
			fault = faults.New(faults.NoUpstream, fault.Detail)
		}
		return fault
	}
	var lastFault *faults.Error
	if errors.As(lastErr, &lastFault) && lastFault.Run == faults.RunUnknown {
		return lastFault
	}
	if fault.Run == faults.RunNo {
		return faults.New(faults.UpstreamFailed, fault.Detail)
	}
	return fault
}

// finish records the request and writes the error response, if any. A response
// that ends early must not look complete, so finish aborts its connection.
func (x *exchange) finish(err error) {
	x.record(err)
	switch {
	case err == nil:
	case errors.Is(err, errCallerDisconnected), x.headerWritten:
		panic(http.ErrAbortHandler)
	default:
		x.writeError(faults.FromError(err))
	}
}

// routeKey returns the key of the request in the metrics. Its fields are empty
// while the team or the route is not known.
func (x *exchange) routeKey() tables.RouteKey {
	key := tables.RouteKey{Team: x.teamName()}
	if x.route != nil {
		key.Class = x.route.Class()
		key.Service = x.route.Split[0].Service
	}
	return key
}

// headerSize returns the size in bytes of a request's header as received.
func headerSize(request *http.Request) int64 {
	const lineOverhead = int64(len(": \r\n"))
	size := int64(len(request.Method)+len(request.RequestURI)+len(request.Host)) + 2*lineOverhead
	for name, values := range request.Header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + lineOverhead
		}
	}
	return size
}
