// Package upstreams speaks HTTP with the upstreams: streamed chat completions
// of model engines, calls to plain services, load reports and orders.
//
// Every answer is checked: it must echo the request's ID, and it must be
// whole. A connection without progress is closed, together with the idle ones
// to the same upstream, so that the next call gets a new one.
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

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// A Client calls upstreams. The zero value works.
type Client struct {
	// FirstByte bounds the wait for the first byte of an answer, and
	// Progress the wait between two parts of it. Zero takes the defaults.
	FirstByte time.Duration
	Progress  time.Duration

	mutex      sync.Mutex
	transports map[string]*http.Transport
}

// A Usage is what an engine says that a call used.
type Usage struct {
	Prompt tables.Tokens
	Answer tables.Tokens
	Cached tables.Tokens
}

// attempt is one call in progress.
type attempt struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// connected says that a connection was had, so that bytes of the request
	// may have been seen.
	connected atomic.Bool
}

const (
	defaultFirstByteTimeout = 20 * time.Second
	defaultProgressTimeout  = 10 * time.Second
	dialTimeout             = time.Second
	idleTimeout             = 30 * time.Second
	maxIdleConnsPerUpstream = 64

	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLoadRunning = "X-Load-Running"
	headerLoadWaiting = "X-Load-Waiting-Tokens"
)

var errNoProgress = errors.New("no progress")

// ReportOf returns the load report in the header of an answer, if any.
func ParseLoadReport(header http.Header, now time.Time) (routing.Report, bool) {
	running, err := strconv.Atoi(header.Get(headerLoadRunning))
	if err != nil {
		return routing.Report{}, false
	}
	waiting, err := strconv.ParseInt(header.Get(headerLoadWaiting), 10, 64)
	if err != nil {
		return routing.Report{}, false
	}
	return routing.Report{Running: running, Waiting: tables.Tokens(waiting), Taken: now}, true
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, transport := range c.transports {
		transport.CloseIdleConnections()
	}
}

// Load asks an upstream for its load report.
func (c *Client) Load(ctx context.Context, address string) (routing.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return routing.Report{}, false
	}
	response, err := c.transport(address).RoundTrip(request)
	if err != nil {
		c.closeIdle(address)
		return routing.Report{}, false
	}
	_ = response.Body.Close()
	return ParseLoadReport(response.Header, time.Now())
}

// begin returns a context that ends when the call makes no progress.
func (c *Client) beginAttempt(ctx context.Context) (context.Context, *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{cancel: cancel}
	a.timer = time.AfterFunc(c.firstByteTimeout(), func() { cancel(errNoProgress) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return ctx, a
}

// fault says what a failed call means to the caller.
func (c *Client) classifyError(ctx context.Context, a *attempt, address string, err error) *faults.Error {
	kind := faults.UpstreamFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errNoProgress), errors.Is(cause, context.DeadlineExceeded):
		kind = faults.UpstreamTimeout
		c.closeIdle(address)
	case cause != nil:
		kind = faults.Canceled
	}
	fault := faults.New(kind, err.Error())
	if !a.connected.Load() {
		fault.Run = faults.RunNo
	}
	return fault
}

func (c *Client) firstByteTimeout() time.Duration {
	if c.FirstByte > 0 {
		return c.FirstByte
	}
	return defaultFirstByteTimeout
}

// forget closes the idle connections to an address.
func (c *Client) closeIdle(address string) {
	c.transport(address).CloseIdleConnections()
}

func (c *Client) progressTimeout() time.Duration {
	if c.Progress > 0 {
		return c.Progress
	}
	return defaultProgressTimeout
}

func (c *Client) transport(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	transport := c.transports[address]
	if transport == nil {
		if c.transports == nil {
			c.transports = map[string]*http.Transport{}
		}
		transport = newTransport()
		c.transports[address] = transport
	}
	return transport
}

func (a *attempt) end() {
	a.timer.Stop()
	a.cancel(nil)
}
