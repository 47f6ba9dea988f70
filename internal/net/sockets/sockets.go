// Package sockets opens TCP sockets that detect dead peers, and serves HTTP on
// them.
package sockets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long sent data or a keep-alive probe may stay
	// unacknowledged before the kernel closes the connection. TCP recovers from
	// the loss of single packets in less than that. The kernel applies it to
	// keep-alive in place of keepAliveProbes.
	ackTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
	// keepAliveIdle is the time without traffic before the first keep-alive
	// probe, and keepAliveInterval the time between probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes.
	keepAliveProbes = 2
)

// Dialer returns a dialer with a timeout for connecting. Its connections
// detect dead peers.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Listen listens on a TCP address, an IP address and a port. The connections
// it accepts detect dead peers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	return userTimeoutListener{listener}, nil
}

// userTimeoutListener sets the user timeout of each accepted connection, which does not
// take it over from a listening socket with Multipath TCP, Go's default.
type userTimeoutListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l userTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			_ = setUserTimeout("", "", raw)
		}
	}
	return conn, nil
}

// Limits bound the time and size of the requests that clients send to a
// server.
type Limits struct {
	// ReadHeaderTimeout is the timeout for reading the header of a request.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the timeout for the next request on a connection.
	IdleTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a header in bytes.
	MaxHeaderBytes int
}

// NewServer returns an HTTP server with the limits. The server's own messages
// are dropped: they are logged at info level to a logger whose level is raised
// to error.
func NewServer(handler http.Handler, limits Limits, logger *zap.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// Serve serves HTTP on a listener until the server is closed, and then returns
// nil.
func Serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setUserTimeout sets the socket's TCP user timeout to ackTimeout. A failure to
// set it is ignored, since calls have deadlines of their own.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}
