package ingress

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/standin/httpserver"
)

// TestResetDuringAnUploadIsAFailure guards against callers that get a part of an answer as a
// whole one, since the upstream reset the connection while their request was being sent.
func TestResetDuringAnUploadIsAFailure(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n"
	for _, c := range []struct{ name, path, sent string }{
		{"a plain answer", "/unsafe/x", head + "\r\npart"},
		{"a plain answer that may be repeated", "/safe/x", head + "\r\npart"},
		{"a stream", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"},
		{"an answer with a length", "/unsafe/x", head + "Content-Length: 8\r\n\r\npart"},
		{"an answer in chunks", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bodyBytes := 16<<10 + rand.IntN(1<<20)
			t.Logf("%d bytes are sent", bodyBytes)
			ti := newTestIngressWithDialer(t, httpserver.DialWriteFirst, httpserver.ResetAfter(c.sent))
			ti.server.Dispatcher.SetCatalog(newTestCatalog(2, int64(bodyBytes)))
			response, body, err := ti.do(t, ti.request(t, http.MethodPost, c.path, strings.Repeat("x", bodyBytes)))
			if err == nil && response.StatusCode < http.StatusMultipleChoices {
				t.Errorf("status %d, body %q as a whole answer", response.StatusCode, body)
			}
			is.New(t).True(ti.runs.Load() > 0)
		})
	}
}

// TestEarlyAnswersAreWhole guards against an answer that counts as cut since its upstream, which
// ended it in order, has not read the whole request.
func TestEarlyAnswersAreWhole(t *testing.T) {
	const head, bodyBytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n", 32 << 20
	for _, c := range []struct{ name, path, sent, body string }{
		{"without a length", "/unsafe/x", head + "\r\nall", "all"},
		{"with a length", "/unsafe/x", head + "Content-Length: 3\r\n\r\nall", "all"},
		{"a stream", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", "id: 1\ndata: a\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			defer close(ended)
			ti := newTestIngress(t, httpserver.TakeOver(func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.sent)
				_ = conn.(*net.TCPConn).CloseWrite()
				<-ended
			}))
			ti.server.Dispatcher.SetCatalog(newTestCatalog(2, bodyBytes))
			start := time.Now()
			response, body, err := ti.do(t, ti.request(t, http.MethodPost, c.path, strings.Repeat("x", bodyBytes)))
			assertStatus(t, response, err, http.StatusOK)
			is.Equal(body, c.body)
			is.True(time.Since(start) < 10*time.Second)
		})
	}
}
