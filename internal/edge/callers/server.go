// Package callers serves the HTTP API for callers: chat completions in the
// OpenAI format, the list of models, and plain services by path.
package callers

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"mimosayard/internal/backend/raters"
	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/sessions"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
)

// A Server serves the callers' HTTP API. All exported fields must be set
// before Handler is called.
type Server struct {
	Router         *router.Router
	UpstreamClient *upstreams.Client
	Metrics        *metrics.Recorder
	Log            *zap.Logger
	// NewID returns a request ID that is unique in the fleet.
	NewID func() string
	// SessionKeys returns the keys that sign and verify session tokens.
	SessionKeys func() *sessions.KeyRing
	// StoreBill stores the bill of a request. It returns once the bill survives
	// the loss of this instance, or once that has proved impossible.
	StoreBill func(bill billing.Bill)
	// SubmitForRating queues an answer for rating. It does not block.
	SubmitForRating func(answer raters.Answer)
	// AcquireKey acquires the idempotency key of a request that must not run
	// twice.
	AcquireKey AcquireKeyFunc
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// ClientIOTimeout is the timeout for reading the body of a request and for
	// each write of its response.
	ClientIOTimeout time.Duration
	// RefusalFault returns the fault with which all new requests are refused,
	// or nil if requests are admitted.
	RefusalFault func() *faults.Error
	// Stopping reports whether the instance is to stop. Answers then close their
	// connections. It may be nil.
	Stopping func() bool
	// IsLinkLost reports whether this instance's own link to an upstream's address is
	// lost. It may be nil.
	IsLinkLost func(address string) bool

	// Budget bounds what requests and answers hold. It may be nil.
	Budget *budget.Budget

	inFlight atomic.Int64
}

// exchange is one caller's request and its response.
type exchange struct {
	server    *Server
	writer    http.ResponseWriter
	request   *http.Request
	requestID string
	arrivedAt time.Time
	team      tables.TeamID
	// index holds the tables by which the request is routed.
	index *tables.Index
	// route is the key of the route, zero until the route has been found.
	route tables.RouteKey

	// firstTokenLatency is the time from the arrival of the request until its
	// answer was accepted, zero before and for a plain service.
	firstTokenLatency time.Duration
	// escalated is true if a stage's answer was not accepted.
	escalated bool
	// cost is the cost of the calls made so far, without failed ones.
	cost tables.MicroCost
	// responseStarted is true once a part of the response has been written.
	// From then on the request can't be retried and its status can't change.
	responseStarted bool
	// bodyClaim and answerClaim are what the request's body and its answer hold.
	bodyClaim, answerClaim budget.Claim
	// bodyPending is true if the body has not been read to its end.
	bodyPending bool
}

const (
	headerClass       = "X-Mimosayard-Class"
	headerCaller      = "X-Mimosayard-Caller"
	headerIdempotency = "Idempotency-Key"
	headerReplayed    = "Idempotency-Replayed"
	headerRequestID   = "X-Request-Id"
	headerSession     = "X-Mimosayard-Session"

	// newSession is the value of the session header that requests a new
	// session token.
	newSession = "new"
	// maxAttempts is the maximum number of failed calls to upstreams for a
	// request. Escalations to the next stage do not count.
	maxAttempts = 3
)

// Handler returns the handler of the callers' HTTP API.
func (s *Server) Handler() http.Handler {
	routes := mux.NewRouter().UseEncodedPath().SkipClean(true)
	routes.HandleFunc("/v1/chat/completions", s.handle((*exchange).serveChat)).Methods(http.MethodPost)
	routes.HandleFunc("/v1/models", s.handle((*exchange).serveModels)).Methods(http.MethodGet)
	routes.PathPrefix("/services/{service}").HandlerFunc(s.handle((*exchange).servePlain))
	routes.NotFoundHandler = s.handle(func(*exchange) error {
		return faults.New(faults.UnknownRoute, "no such path")
	})
	routes.MethodNotAllowedHandler = s.handle(func(*exchange) error {
		return faults.New(faults.BadRequest, "the path does not take this method")
	})
	return routes
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// handle returns a handler that assigns the request ID, authenticates the
// caller, calls serve, and reports the error of either to the caller.
func (s *Server) handle(serve func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		x := &exchange{
			server:    s,
			writer:    w,
			request:   request,
			requestID: s.NewID(),
			arrivedAt: time.Now(),
		}
		x.bodyPending = request.Body != nil && request.Body != http.NoBody
		x.bodyClaim.Init(s.Budget, budget.BodyFloor)
		x.answerClaim.Init(s.Budget, budget.AnswerFloor)
		defer x.answerClaim.Release()
		defer x.bodyClaim.Release()
		w.Header().Set(headerRequestID, x.requestID)
		err := x.authenticate()
		if err == nil {
			err = serve(x)
		}
		x.finish(err)
	}
}

// authenticate sets the tables and the team of the request. It returns a fault
// if the server refuses new requests or has no tables yet, or if the credential
// is missing or unknown.
func (x *exchange) authenticate() error {
	if fault := x.server.RefusalFault(); fault != nil {
		return fault
	}
	x.index = x.server.Router.Index()
	if x.index == nil {
		return faults.New(faults.NotReady, "")
	}
	scheme, credential, _ := strings.Cut(x.request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return faults.New(faults.Unauthenticated, "")
	}
	team, ok := x.index.TeamByCredential(strings.TrimSpace(credential))
	if !ok {
		return faults.New(faults.Unauthenticated, "")
	}
	x.team = team
	return nil
}

// readBody returns the whole request body. A body over MaxBodyBytes is a
// TooLarge fault, one that ends early or arrives too slowly a BadRequest. One that the
// budget has no room for is Overloaded, or SlowRequest if it lost its place.
func (x *exchange) readBody() ([]byte, error) {
	x.setReadDeadline()
	data, err := x.bodyClaim.ReadBody(x.writer, x.request, x.server.MaxBodyBytes)
	if err == nil {
		err = budget.ConnOf(x.request).Pass()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.bodyPending = false
		return data, nil
	case errors.Is(err, budget.ErrShort):
		return nil, faults.New(faults.Overloaded, "there is no room for the body")
	case errors.Is(err, budget.ErrEvicted):
		return nil, faults.New(faults.SlowRequest, "the body stalled while there was no room for others")
	case errors.As(err, &tooLarge):
		return nil, faults.New(faults.TooLarge, "")
	}
	return nil, faults.New(faults.BadRequest, "the body was cut off")
}

// boundRest bounds the rest of a body that was not read to its end, which net/http reads
// before the next request. It is not read after a body that was refused on its way.
func (x *exchange) boundRest(fault *faults.Error) {
	switch {
	case !x.bodyPending:
	case fault.Kind == faults.Overloaded, fault.Kind == faults.SlowRequest:
		x.writer.Header().Set("Connection", "close")
	default:
		x.setReadDeadline()
	}
}

// finish records the request in the metrics and the log, and writes the fault
// of a failed request to the caller.
func (x *exchange) finish(err error) {
	sample := metrics.Sample{
		Route:      x.route,
		FirstToken: x.firstTokenLatency,
		Total:      time.Since(x.arrivedAt),
		Cost:       x.cost,
		Escalated:  x.escalated,
	}
	fields := []zap.Field{
		zap.String("request_id", x.requestID),
		zap.String("team", string(x.team)),
		zap.String("service", string(x.route.Service)),
		zap.String("class", string(x.route.Class)),
	}
	if err == nil {
		x.server.Metrics.RecordRequest(sample)
		events.RequestServed.Log(x.server.Log, fields...)
		return
	}
	fault := faults.FromError(err)
	sample.Fault = fault
	x.server.Metrics.RecordRequest(sample)
	events.RequestFailed.Log(x.server.Log, append(fields, zap.String("kind", string(fault.Kind)), zap.String("detail", fault.Detail))...)
	x.writeFault(fault)
}

func (x *exchange) setReadDeadline() {
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(x.server.ClientIOTimeout))
}

// prepareWrite sets the deadline of a write. If the response has not begun and the
// instance is to stop, the response closes its connection.
func (x *exchange) prepareWrite() {
	if !x.responseStarted && x.server.Stopping != nil && x.server.Stopping() {
		x.writer.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(x.server.ClientIOTimeout))
}
