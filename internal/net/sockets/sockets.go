// Package sockets opens TCP sockets that notice a peer that has gone silent,
// and serves HTTP on them.
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
	// silence is how long bytes may stay without acknowledgement, or a probe
	// without an answer, until a connection counts as lost. A network loses
	// single packets for less than that.
	ackTimeout = 3 * time.Second
	// probeAfter and probeEvery are the pauses before and between probes of a
	// connection without traffic.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer returns a dialer with a bound on the time to connect.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Listen listens on an IP number and port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	return listener, nil
}

// Limits bound what a caller of a server may send.
type Limits struct {
	// Header bounds the time to send a header, Idle the time between requests.
	Header time.Duration
	Idle   time.Duration
	// HeaderBytes bounds the size of a header.
	HeaderBytes int
}

// NewServer returns an HTTP server that logs its errors.
func NewServer(handler http.Handler, limits Limits, logger *zap.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.Header,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// Serve serves a listener until the server is closed.
func Serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// control bounds the wait for acknowledgements. A socket without the option
// is still of use, since calls have deadlines of their own.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}
