// Package http1 calls other processes over HTTP/1.1 and checks what they answer. It reads
// answers with net/http, which accepts heads that have no meaning in HTTP and must not reach a
// caller.
package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"mimosayard/internal/net/sockets"
)

// A Transport is an http.RoundTripper that returns ErrMalformed for an answer whose head is
// malformed. Its zero value is ready to use, and it is safe for concurrent use. Its fields must
// not change after the first call. Answers over TLS are not checked.
type Transport struct {
	// Dial connects. If it is nil, connections are direct.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Proxy returns the proxy for a request. If it is nil, there is none.
	Proxy func(*http.Request) (*url.URL, error)
	// DisableKeepAlives gives each call a connection of its own.
	DisableKeepAlives bool
	// DisableCompression asks for bodies as they are.
	DisableCompression bool
	// MaxIdleConnsPerHost and IdleConnTimeout bound the idle connections, as those of
	// http.Transport do.
	MaxIdleConnsPerHost int
	IdleConnTimeout     time.Duration

	initBase sync.Once
	base     http.Transport
}

// MaxHeadBytes bounds the head of an answer, together with the interim answers before it.
const MaxHeadBytes = 64 << 10

// ErrMalformed is returned for an answer whose head is malformed.
var ErrMalformed = errors.New("the head of the answer is malformed")

// DefaultTransport and DefaultClient are for calls that need no settings of their own.
var (
	DefaultTransport = &Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: time.Minute}
	DefaultClient    = &http.Client{Transport: DefaultTransport}
)

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.initBase.Do(t.init)
	var used atomic.Pointer[checkedConn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ := info.Conn.(*checkedConn)
			if conn != nil {
				conn.expectHead()
			}
			used.Store(conn)
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	conn := used.Load()
	switch {
	case err != nil && conn != nil && conn.headError() != nil:
		// net/http may have another error for the part of the head that it has seen.
		return nil, conn.headError()
	case err != nil:
		return nil, err
	case conn != nil && conn.awaitsHead():
		// The head was received before the request was sent.
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: the answer belongs to no request", ErrMalformed)
	default:
		return response, nil
	}
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.initBase.Do(t.init)
	t.base.CloseIdleConnections()
}

func (t *Transport) init() {
	dial := t.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: &sockets.Conn{Conn: conn}, dialed: conn}, nil
	}
	t.base.Proxy = t.Proxy
	t.base.DisableKeepAlives = t.DisableKeepAlives
	t.base.DisableCompression = t.DisableCompression
	t.base.MaxIdleConnsPerHost = t.MaxIdleConnsPerHost
	t.base.IdleConnTimeout = t.IdleConnTimeout
	// It bounds the heads of answers over TLS. Others reach the bound of headChecker first.
	t.base.MaxResponseHeaderBytes = 2 * MaxHeadBytes
}

// checkedConn is a connection that checks the head of the answer to each request.
type checkedConn struct {
	net.Conn
	// dialed is the connection that Dial has returned.
	dialed net.Conn

	mutex sync.Mutex
	// head checks the head that is being received, nil while none is expected.
	head *headChecker
	// malformed is the error of the head, after which nothing more is read.
	malformed error
}

// NetConn returns the connection that Dial has returned.
func (c *checkedConn) NetConn() net.Conn {
	return c.dialed
}

// Read implements net.Conn. Of a malformed head, it returns what precedes the end of the first
// malformed line, and then an error. If it returned nothing, net/http would take the connection
// for an idle one that was closed, and might send the request again.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.head == nil {
		return count, err
	}
	passed, headErr := c.head.check(buffer[:count])
	switch {
	case headErr != nil:
		c.malformed = headErr
		if passed == 0 {
			return 0, headErr
		}
		return passed, nil
	case c.head.complete:
		c.head = nil
	}
	return count, err
}

// expectHead makes the connection check what it receives from now on as the head of an answer.
func (c *checkedConn) expectHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = &headChecker{}
}

// awaitsHead reports whether the head of the answer was not received completely.
func (c *checkedConn) awaitsHead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head != nil
}

func (c *checkedConn) headError() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.malformed
}
