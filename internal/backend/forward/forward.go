// Package forward is an HTTP client that forwards callers' requests to
// upstreams unchanged.
//
// Each call uses its own connection. This way net/http does not retry calls by
// itself, no call fails because the upstream has just closed an idle
// connection, and data that an upstream sends after the end of a response does
// not become part of another response.
package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/gravitational/trace"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/http1"
)

// Client sends calls to upstreams. It must be created with New; the zero value
// is not usable.
type Client struct {
	transport *http1.Transport
}

// Request is a request to one upstream.
type Request struct {
	// Address is the upstream's host and port.
	Address string
	Method  string
	// Target is the request target, that is path and query, as the caller sent
	// it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Admission, if it is not nil, asks for room at the upstream before the call.
	Admission *connect.Admission
	// OnConnected is called once there is a connection, with the peer that carries it,
	// empty for a direct one. It may be nil.
	OnConnected func(through tables.InstanceID)
}

// Response is an upstream's response of which only the header has been read.
// Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ErrNotConnected is returned for a call that failed before a connection was
// established. The upstream cannot have received any of it.
var ErrNotConnected = errors.New("could not connect to upstream")

// New returns a client that connects with dial.
func New(dial connect.DialFunc) *Client {
	return &Client{transport: &http1.Transport{Dial: dial, DisableCompression: true, DisableKeepAlives: true}}
}

// Send sends a request and returns the response once its header has arrived.
// Canceling ctx ends the call, including reads of the body. The error is
// ErrNotConnected if the upstream cannot have received any of the request.
func (c *Client) Send(ctx context.Context, call Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			if call.OnConnected != nil {
				call.OnConnected(connect.Through(info.Conn))
			}
		},
	})
	if call.Admission != nil {
		ctx = connect.WithAdmission(ctx, call.Admission)
	}
	var body io.ReadCloser = http.NoBody
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	request := (&http.Request{
		Method:        call.Method,
		URL:           &url.URL{Scheme: "http", Host: call.Address, Opaque: call.Target},
		Host:          call.Host,
		Header:        call.Header,
		Body:          body,
		ContentLength: int64(len(call.Body)),
	}).WithContext(ctx)
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // The caller closes the response body.
	switch {
	case err == nil:
		http1.RequireBody(response)
		return &Response{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
	case connected.Load():
		return nil, trace.Wrap(err)
	default:
		return nil, trace.Wrap(errors.Join(ErrNotConnected, err))
	}
}
