package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/standin/httpserver"
)

// TestAnswersCutInTheirHeadAreNotWhole guards against callers that get a whole empty answer,
// since their upstream closed the connection within the head of its answer or right after it.
func TestAnswersCutInTheirHeadAreNotWhole(t *testing.T) {
	for _, c := range []struct{ name, path, fields string }{
		{"an answer with a length", "/unsafe/x", "Content-Length: 4\r\n"},
		{"an answer in chunks", "/unsafe/x", "Transfer-Encoding: chunked\r\n"},
		{"an answer without a length", "/unsafe/x", ""},
		{"a stream without a length", "/stream/x", "Content-Type: text/event-stream\r\n"},
		{"a stream in chunks", "/stream/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n" + c.fields + "\r\n"
			for _, lineEnd := range []string{"\r\n", "\n"} {
				sent := strings.ReplaceAll(head, "\r\n", lineEnd)
				for length := range len(sent) + 1 {
					assertNotWhole(t, c.path, sent[:length])
				}
			}
		})
	}
}

// TestAnswersWithoutALengthAreWhole guards against answers that count as cut though they end
// with their connection, or have no body by their nature.
func TestAnswersWithoutALengthAreWhole(t *testing.T) {
	const head = "X-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n"
	for _, c := range []struct {
		name, method, path, sent, body string
		status                         int
	}{
		{"an answer that ends with its connection", http.MethodGet, "/unsafe/x", "HTTP/1.1 200 OK\r\n" + head + "\r\nbody", "body", http.StatusOK},
		{"a stream that ends with its connection", http.MethodGet, "/stream/x", "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", http.StatusOK},
		{"an empty answer that says so", http.MethodGet, "/unsafe/x", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n", "", http.StatusOK},
		{"an answer to HEAD", http.MethodHead, "/unsafe/x", "HTTP/1.1 200 OK\r\n" + head + "\r\n", "", http.StatusOK},
		{"a status without content", http.MethodGet, "/unsafe/x", "HTTP/1.1 204 No Content\r\n" + head + "\r\n", "", http.StatusNoContent},
	} {
		t.Run(c.name, func(t *testing.T) {
			ti := newTestIngress(t, httpserver.CloseAfter(c.sent))
			response, body, err := ti.do(t, ti.request(t, c.method, c.path, ""))
			assertStatus(t, response, err, c.status)
			is.New(t).Equal(body, c.body)
		})
	}
}

// assertNotWhole checks that a caller gets no success if all upstreams close their connections
// after some bytes.
func assertNotWhole(t *testing.T, path, sent string) {
	t.Helper()
	is := is.New(t)
	ti := newTestIngress(t, httpserver.CloseAfter(sent))
	response, body, err := ti.get(t, path)
	is.NoErr(err)
	if response.StatusCode < http.StatusMultipleChoices {
		t.Errorf("status %d, body %q after %q", response.StatusCode, body, sent)
	}
}
