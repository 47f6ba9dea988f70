// Package forward sends a caller's request to one upstream over HTTP as it
// came, and reads the answer.
//
// Each call has a connection of its own. So no call is sent twice by the HTTP
// library, none is lost on a connection that the upstream has just closed, and
// what an upstream sends after the end of an answer meets no other request.
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
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/net/sockets"
)

// A Client sends calls. The zero value is not usable; New makes one.
type Client struct {
	transport *http.Transport
}

// A Request is a request for one upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// An Response is the start of an upstream's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ErrNotConnected is returned for a call of which the upstream got nothing.
var ErrNotConnected = errors.New("upstream was not reached")

const (
	// connectTimeout is several times a round trip within a region. The packet
	// that opens a connection is sent again only after a second.
	connectTimeout = 400 * time.Millisecond
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 64 << 10
)

// New returns a client.
func New() *Client {
	return &Client{transport: &http.Transport{
		DialContext:            sockets.Dialer(connectTimeout).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Send sends a call and returns the start of its answer. The call ends with
// the context. ErrUnreached says that the upstream cannot have seen it.
func (c *Client) Send(ctx context.Context, call Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
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
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // The caller closes the answer's body.
	switch {
	case err == nil:
		return &Response{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
	case connected.Load():
		return nil, trace.Wrap(err)
	default:
		return nil, trace.Wrap(errors.Join(ErrNotConnected, err))
	}
}
