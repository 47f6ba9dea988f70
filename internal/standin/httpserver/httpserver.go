// Package httpserver holds the HTTP helpers that the stand-ins share.
package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const readHeaderTimeout = 5 * time.Second

// CloseAfter returns a handler that writes some bytes in place of a response and closes the
// connection.
func CloseAfter(sent string) http.HandlerFunc {
	return TakeOver(func(conn net.Conn) { _, _ = io.WriteString(conn, sent) })
}

// TakeOver returns a handler that lets a function use the connection of a request in place of a
// response, and then closes it.
func TakeOver(use func(conn net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		use(conn)
	}
}

// Decode decodes the JSON body of a request. If that fails, it answers with
// status 400 and returns false.
func Decode[T any](w http.ResponseWriter, request *http.Request) (T, bool) {
	var value T
	if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return value, false
	}
	return value, true
}

// Serve listens on an address and serves the handler in the group's goroutines
// until the context ends. It returns an error if it cannot listen. Errors while
// serving are returned by the group.
func Serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return trace.Wrap(err, "cannot listen on %s; is something else running there?", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return trace.Wrap(server.Close())
	})
	return nil
}

// WriteJSON answers with status 200 and a value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
