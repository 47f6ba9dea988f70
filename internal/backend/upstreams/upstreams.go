// Package upstreams is the HTTP client for upstreams: streamed chat completions
// of model engines, calls to plain services, load reports and orders.
//
// Every answer to a caller's request must echo the request's ID and be
// complete. An answer of a plain service with a 5xx status may lack the ID. A
// connection without progress is closed, together with the idle connections
// to the same upstream, so that the next call opens a new connection.
package upstreams

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/net/sockets"
)

// A Client calls upstreams. Its zero value is ready to use, and it is safe for
// concurrent use.
type Client struct {
	// FirstByteTimeout is the timeout from the start of a call to the first
	// part of its answer. ProgressTimeout is the timeout between two lines of a
	// stream, and for the body of a plain response. Zero means the default.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// Dial connects to upstreams. If it is nil, connections are direct.
	Dial connect.DialFunc

	mutex sync.Mutex
	// transports holds one transport for each address.
	transports map[string]*http1.Transport
}

// A Usage is an engine's report of the tokens of a call: of the prompt, of the
// answer, and of the part of the prompt that it found in its cache.
type Usage struct {
	PromptTokens tables.Tokens
	AnswerTokens tables.Tokens
	CachedTokens tables.Tokens
}

// attempt is a call in progress.
type attempt struct {
	cancel context.CancelCauseFunc
	// timer cancels the call with errNoProgress.
	timer *time.Timer
	// connected is true once the call has got a connection. From then on the
	// upstream may have seen the request.
	connected atomic.Bool
}

const (
	defaultFirstByteTimeout = 20 * time.Second
	defaultProgressTimeout  = 10 * time.Second
	// loadTimeout is the timeout for FetchLoad.
	loadTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxLimit bounds the limit that an upstream names.
	maxLimit                = 1e9
	maxIdleConnsPerUpstream = 64

	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLoadRunning = "X-Load-Running"
	headerLoadWaiting = "X-Load-Waiting-Tokens"
	headerLoadLimit   = "X-Load-Limit"
)

var errNoProgress = errors.New("no progress before the timeout")

// ParseLoadReport returns the load report in the header of an answer, received
// at the time now. It returns false if the header has no valid report.
func ParseLoadReport(header http.Header, now time.Time) (routing.LoadReport, bool) {
	running, err := strconv.Atoi(header.Get(headerLoadRunning))
	if err != nil {
		return routing.LoadReport{}, false
	}
	waiting, err := strconv.ParseInt(header.Get(headerLoadWaiting), 10, 64)
	if err != nil {
		return routing.LoadReport{}, false
	}
	return routing.LoadReport{Running: running, WaitingTokens: tables.Tokens(waiting), TakenAt: now}, true
}

// A LimitFunc receives what an answer says of the upstream's limit on its calls. Named is
// false if it names none.
type LimitFunc func(rate pacing.Rate, named bool)

// report passes the limit in the header of an answer to the request on. A limit that is no
// number, or negative, is ignored.
func (f LimitFunc) report(header http.Header, requestID string) {
	text := header.Get(headerLoadLimit)
	rate, err := strconv.ParseFloat(text, 64)
	switch {
	case f == nil, header.Get(headerRequestID) != requestID:
	case text == "":
		f(0, false)
	case err == nil && rate >= 0:
		f(pacing.Rate(min(rate, maxLimit)), true)
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}

// Reconnect closes all idle connections. Those that are in use are not used again, so that
// new calls open new ones.
func (c *Client) Reconnect() {
	c.mutex.Lock()
	former := c.transports
	c.transports = nil
	c.mutex.Unlock()
	for _, transport := range former {
		transport.CloseIdleConnections()
	}
}

// FetchLoad fetches the load report of an upstream within one second. It
// returns false if the call fails or the answer has no valid report.
func (c *Client) FetchLoad(ctx context.Context, address string) (routing.LoadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return routing.LoadReport{}, false
	}
	response, err := c.transport(address).RoundTrip(request)
	if err != nil {
		c.closeIdle(address)
		return routing.LoadReport{}, false
	}
	_ = response.Body.Close()
	return ParseLoadReport(response.Header, time.Now())
}

// beginAttempt returns a context that is canceled with errNoProgress unless
// the attempt's timer is reset in time. The caller must call end.
func (c *Client) beginAttempt(ctx context.Context) (context.Context, *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{cancel: cancel}
	a.timer = time.AfterFunc(c.firstByteTimeout(), func() { cancel(errNoProgress) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return ctx, a
}

// classifyError returns the fault for a failed call. It is a timeout if the
// call made no progress or reached its deadline, an interruption if the instance
// stops, a cancellation if the context ended for another reason, and otherwise a
// failure of the upstream. The fault's run state is RunNo only if the call never got
// a connection. An upstream that gives a malformed answer, or one without end, lives on,
// so its connection does not count as lost. A timeout also closes the idle connections to
// the address, which may be dead too.
func (c *Client) classifyError(ctx context.Context, a *attempt, address string, err error) *faults.Error {
	kind := faults.UpstreamFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errNoProgress), errors.Is(cause, context.DeadlineExceeded):
		kind = faults.UpstreamTimeout
		c.closeIdle(address)
	case errors.Is(cause, sockets.ErrRequestsEnded):
		kind = faults.Interrupted
	case cause != nil:
		kind = faults.Canceled
	}
	fault := faults.New(kind, err.Error())
	lives := errors.Is(err, http1.ErrMalformed) || errors.Is(err, errEventTooLarge)
	fault.ConnectionLost = kind == faults.UpstreamFailed && a.connected.Load() && !lives
	if !a.connected.Load() {
		fault.Run = faults.RunNo
	}
	return fault
}

func (c *Client) firstByteTimeout() time.Duration {
	if c.FirstByteTimeout > 0 {
		return c.FirstByteTimeout
	}
	return defaultFirstByteTimeout
}

// closeIdle closes the idle connections to an address.
func (c *Client) closeIdle(address string) {
	c.transport(address).CloseIdleConnections()
}

func (c *Client) progressTimeout() time.Duration {
	if c.ProgressTimeout > 0 {
		return c.ProgressTimeout
	}
	return defaultProgressTimeout
}

// transport returns the transport for an address, which it creates on first
// use.
func (c *Client) transport(address string) *http1.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	transport := c.transports[address]
	if transport == nil {
		if c.transports == nil {
			c.transports = map[string]*http1.Transport{}
		}
		transport = c.newTransport()
		c.transports[address] = transport
	}
	return transport
}

// end stops the timer and releases the context of the attempt.
func (a *attempt) end() {
	a.timer.Stop()
	a.cancel(nil)
}
