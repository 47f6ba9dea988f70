package sockets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// ErrRequestsEnded is the cause with which the contexts of requests are canceled at the
// end of a drain.
var ErrRequestsEnded = errors.New("the instance ended its requests")

// answerTimeout bounds the answers to requests that were ended.
const answerTimeout = 300 * time.Millisecond

// A Drainer shuts a server down.
type Drainer struct {
	server      *http.Server
	endRequests context.CancelCauseFunc
}

// NewDrainer returns a drainer of a server, which must not serve yet.
func NewDrainer(server *http.Server) *Drainer {
	ctx, cancel := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return &Drainer{server: server, endRequests: cancel}
}

// Shutdown closes the server's listeners and idle connections, and waits for the
// requests in progress. If ctx ends before, it calls onTimeout, ends the requests with
// ErrRequestsEnded and waits a short time for their answers.
func (d *Drainer) Shutdown(ctx context.Context, onTimeout func()) {
	if d.server.Shutdown(ctx) != nil {
		onTimeout()
		d.endRequests(ErrRequestsEnded)
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		_ = d.server.Shutdown(answerCtx)
	}
	d.endRequests(nil)
}
