// Package ingress answers the callers of a shared platform, whose balancer
// sends them to the instance: it reads a request whole, asks the decisions
// where it goes, and passes the upstream's answer on as it is.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

// A Server answers callers. Its fields are set before it serves.
type Server struct {
	Dispatcher *dispatch.Dispatcher
	Upstreams  *forward.Client
	Metrics    *metrics.Recorder
	Log        *zap.Logger
	// Stopping returns how long the instance has been stopping, zero if it is
	// not.
	Stopping func() time.Duration
	// LastCall is how long after the order to stop a new request is still
	// taken. It must leave the time that a plain call needs.
	LastCall time.Duration

	inFlight atomic.Int64
}

// exchange is one caller's request and its answer.
type exchange struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	arrived    time.Time

	metadata platform.Call
	index    *catalog.Index
	route    *catalog.Route
	team     *catalog.Team
	body     []byte
	task     *dispatch.Task

	// started says that a part of the answer has been written.
	headerWritten bool
	// lastEvent is the ID of the last event that the caller got, empty for
	// none.
	lastEventID      string
	timeToFirstWrite time.Duration
	// kept is an upstream's own failure, to be told if no other upstream does
	// better.
	upstreamFailure *bufferedResponse
	// steps are what the log tells of the calls.
	callSummaries []string
}

const (
	// callerIOTimeout bounds the wait for a caller to send or take a part.
	callerIOTimeout = 10 * time.Second
	// streamAcceptWindow is how long after the order to stop a new stream is still
	// taken. The balancer sends new connections elsewhere by then, and a stream
	// that is cut at the end of the grace may be resumed.
	streamAcceptWindow = 2800 * time.Millisecond
	// notReadyRetryAfter is when a caller may come back that met an instance without
	// a configuration: it needs a few calls of some milliseconds each.
	notReadyRetryAfter = 250 * time.Millisecond
	// shuttingDownRetryAfter is when a caller may come back that an instance at its end
	// has refused: at once, since another instance takes it.
	shuttingDownRetryAfter = 50 * time.Millisecond
)

// errCallerDisconnected ends an exchange whose caller has closed its connection.
var errCallerDisconnected = errors.New("the caller went away")

// InFlight returns the number of requests in progress.
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
		metadata:   platform.ReadCall(request.Header),
	}
	if s.Stopping() > 0 {
		w.Header().Set("Connection", "close")
	}
	x.finish(x.serve())
}

func (x *exchange) serve() error {
	if err := x.resolveRoute(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if x.server.rejectsNewRequests(x.route.Kind) {
		fault := faults.New(faults.ShuttingDown, "")
		fault.RetryAfter = shuttingDownRetryAfter
		return fault
	}
	task, fault := x.server.Dispatcher.Begin(x.arrived, x.dispatchRequest())
	if fault != nil {
		return fault
	}
	x.task = task
	ctx, cancel := context.WithDeadline(x.request.Context(), task.Request.Deadline)
	defer cancel()
	return x.callUpstreams(ctx)
}

// tooLate reports whether the instance stops too soon for a new request. By
// then the balancer sends new connections elsewhere.
func (s *Server) rejectsNewRequests(kind catalog.Kind) bool {
	stopping := s.Stopping()
	if kind == catalog.Streaming {
		return stopping > min(streamAcceptWindow, s.LastCall)
	}
	return stopping > s.LastCall
}

// resolve finds the route and the team.
func (x *exchange) resolveRoute() error {
	x.index = x.server.Dispatcher.Index()
	if x.index == nil {
		fault := faults.New(faults.NotReady, "")
		fault.RetryAfter = notReadyRetryAfter
		return fault
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

// read reads the whole body. A request is either read whole or not run.
func (x *exchange) readBody() error {
	limit := x.index.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return faults.New(faults.TooLarge, "")
	}
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return nil
	}
	_ = x.controller.SetReadDeadline(time.Now().Add(callerIOTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	_ = x.controller.SetReadDeadline(time.Time{})
	var (
		tooLarge *http.MaxBytesError
		network  net.Error
	)
	switch {
	case errors.As(err, &tooLarge):
		return faults.New(faults.TooLarge, "")
	case errors.As(err, &network) && network.Timeout():
		return faults.New(faults.SlowRequest, "")
	case err != nil:
		return faults.New(faults.BadRequest, "the body was cut off")
	}
	x.body = data
	return nil
}

// defaultBodyBytes bounds a body where the operator sets no limit.
const defaultBodyBytes = 4 << 20

func (x *exchange) dispatchRequest() dispatch.Request {
	timeout := x.route.Timeout
	if x.metadata.Wait > 0 && (timeout <= 0 || x.metadata.Wait < timeout) {
		timeout = x.metadata.Wait
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	return dispatch.Request{
		ID:       x.metadata.ID,
		Route:    x.route,
		Session:  x.metadata.Session,
		Model:    x.metadata.Model,
		Prompt:   x.metadata.Prompt,
		Shared:   sharedPrefixHash(x.metadata.Parts),
		Arrived:  x.arrived,
		Deadline: x.arrived.Add(timeout),
	}
}

// defaultRequestTimeout bounds a request where neither the caller nor the route does.
const defaultRequestTimeout = 30 * time.Second

// run makes calls until one is answered or the decisions allow no other.
func (x *exchange) callUpstreams(ctx context.Context) error {
	var lastErr error
	for {
		call, fault := x.server.Dispatcher.Next(time.Now(), x.task)
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

// giveUp returns how a request ends that gets no other call.
func (x *exchange) giveUp(fault *faults.Error, lastErr error) error {
	if x.upstreamFailure != nil && !x.headerWritten {
		return x.writeBuffered(x.upstreamFailure)
	}
	if x.task.Runs == 0 {
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

// finish tells the error, if any, and records the request. An answer that ends
// early must not look whole, so its connection is cut off.
func (x *exchange) finish(err error) {
	x.record(err)
	switch {
	case err == nil:
	case errors.Is(err, errCallerDisconnected), x.headerWritten:
		panic(http.ErrAbortHandler)
	default:
		x.writeError(faults.Of(err))
	}
}

func (x *exchange) routeKey() tables.RouteKey {
	key := tables.RouteKey{}
	if x.team != nil {
		key.Team = x.team.Name
	}
	if x.route != nil {
		key.Class = x.route.Class()
		key.Service = x.route.Split[0].Service
	}
	return key
}

// headerSize returns the size of a request's header as it came.
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
