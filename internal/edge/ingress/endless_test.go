package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/standin/httpserver"
)

// overheadBytes is more than the head of an answer, what is read ahead, and the framing of chunks
// take beside what is kept.
const overheadBytes = 1 << 20

// TestAnswersWithoutEndAreBounded guards against an instance that keeps all of an answer without
// end in its memory, and against callers that wait until their deadline for one.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n"
	const events = head + "Content-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct {
		name, path, head, piece string
		// kept is what the instance may keep.
		kept int64
	}{
		{"a status line", "/safe/x", "HTTP/1.1 200 ", "x", 0},
		{"bytes that are no answer", "/safe/x", "", "x", 0},
		{"a field", "/safe/x", head + "X-Field: ", "x", 0},
		{"fields", "/safe/x", head, "X-Field: value\r\n", 0},
		{"interim answers", "/safe/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"a body", "/safe/x", head + "\r\n", "x", maxResponseBytes},
		{"a body with a length", "/safe/x", head + "Content-Length: 1000000000\r\n\r\n", "x", maxResponseBytes},
		{"a body in chunks", "/safe/x", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", maxResponseBytes},
		{"the size of a chunk", "/safe/x", head + "Transfer-Encoding: chunked\r\n\r\n4;", "x", 0},
		{"trailers", "/safe/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-Field: value\r\n", 0},
		{"a failure", "/safe/x", "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id-1\r\n\r\n", "x", maxResponseBytes},
		{"a rejection", "/safe/x", "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n\r\n", "x", 0},
		{"a line of an event", "/stream/x", events + "data: ", "x", maxEventBytes},
		{"lines of an event", "/stream/x", events, "data: x\n", maxEventBytes},
		{"lines of an event in chunks", "/stream/x", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\ndata: x\n\r\n", maxEventBytes},
		{"comments", "/stream/x", events, ":\n", maxEventBytes},
		{"empty lines", "/stream/x", events, "\n", maxEventBytes},
		{"empty lines after an event", "/stream/x", events + "id: 1\ndata: a\n\n", "\r\n", maxEventBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			endless := &httpserver.Endless{Head: c.head, Piece: c.piece}
			taken := &httpserver.ReadCounter{}
			ti := newTestIngressWithDialer(t, taken.DialContext, endless.ServeHTTP)
			start := time.Now()
			response, body, err := ti.get(t, c.path)
			if err == nil && response.StatusCode < http.StatusMultipleChoices {
				t.Errorf("status %d with %d bytes", response.StatusCode, len(body))
			}
			// Each call of the request may have taken as much.
			if taken.Read() > ti.runs.Load()*(c.kept+overheadBytes) {
				t.Errorf("%d bytes were taken in %d calls, %d may be kept", taken.Read(), ti.runs.Load(), c.kept)
			}
			if time.Since(start) > 20*time.Second {
				t.Errorf("the caller waited for %s", time.Since(start))
			}
		})
	}
}

// TestUnfinishedEventsCount guards against events that take memory beyond the budget as long as
// they have no end.
func TestUnfinishedEventsCount(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
		startEvents(w, r, "x")
		sendEvents(w, 1, 1)
		for range 20 {
			_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 10<<10)+"\n")
		}
		_ = http.NewResponseController(w).Flush()
		<-ended
	})
	defer close(ended)
	ti.setBudget(100<<10, 1<<20)
	start := time.Now()
	_, body, err := ti.get(t, "/stream/x")
	is.True(err != nil) // It looks complete.
	is.True(strings.HasPrefix(body, "id: 1"))
	is.True(time.Since(start) < minStreamIdleTimeout)
	is.Equal(ti.runs.Load(), int64(1))
	is.Equal(ti.server.Budget.Counts().Refused, int64(1))
	is.Equal(ti.server.Budget.Held(), int64(0))
}
