package ingress

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/standin/httpserver"
)

// malformedAnswers are answers that end with their connection and have one fault in their head.
func malformedAnswers(statusLine, field string) map[string]string {
	const head = "X-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n"
	return map[string]string{
		"/unsafe/x": statusLine + "\r\n" + head + field + "\r\nbody",
		"/safe/x":   statusLine + "\r\n" + head + field + "Content-Length: 4\r\n\r\nbody",
		"/stream/x": statusLine + "\r\n" + head + field + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
	}
}

// assertBadGateway checks that a caller gets a failure of this instance, whole and without a
// server's stamp, if all upstreams send some bytes and close their connections.
func assertBadGateway(t *testing.T, path, sent string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	ti := newTestIngress(t, httpserver.CloseAfter(sent))
	response, body, err := ti.get(t, path)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusBadGateway || response.Header.Get("X-Server-Stamp") != "" {
		t.Errorf("status %d, header %v, body %q", response.StatusCode, response.Header, body)
	}
}

// TestInvalidStatusesAreFailures guards against callers that get an answer, or a connection
// that is closed without one, for a status that HTTP does not have.
func TestInvalidStatusesAreFailures(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+20", "101", "600", "999"} {
		for path, sent := range malformedAnswers("HTTP/1.1 "+status+" OK", "") {
			t.Run(status+" "+path, func(t *testing.T) { assertBadGateway(t, path, sent) })
		}
	}
}

// TestInvalidFieldNamesAreFailures guards against callers that get an answer with a line of its
// head that is no field, or with a body whose length or chunks were not understood.
func TestInvalidFieldNamesAreFailures(t *testing.T) {
	for _, field := range []string{
		"X Field: value", "X-Field : value", " X-Field: value", "\tX-Field: value", "X\tField: value", "X-Field\t: value",
		"X\x00Field: value", "X\x01Field: value", "X\x7fField: value", "X\rField: value", ": value", "X-Field",
		"Content-Length : 2", " Content-Length: 2", "Content Length: 2", "Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked",
	} {
		for path, sent := range malformedAnswers("HTTP/1.1 200 OK", field+"\r\n") {
			t.Run(strings.TrimSpace(field)+" "+path, func(t *testing.T) { assertBadGateway(t, path, sent) })
		}
	}
}

// TestChunksInHTTP10AreFailures guards against callers that get the framing of chunks as a body.
func TestChunksInHTTP10AreFailures(t *testing.T) {
	const chunks = "HTTP/1.0 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) { assertBadGateway(t, path, chunks) })
	}
}

// TestMalformedAnswersAreNoCrashes guards against a request that is refused as one that crashes
// upstreams since several of them, which live on, gave malformed answers to it.
func TestMalformedAnswersAreNoCrashes(t *testing.T) {
	const head = "X-Attempt-Id: id-1\r\nX-Server-Stamp: stamp\r\n"
	for _, c := range []struct{ name, path, sent string }{
		{"an invalid status", "/safe/x", "HTTP/1.1 000 OK\r\n" + head + "\r\nbody"},
		{"an invalid field", "/safe/x", "HTTP/1.1 200 OK\r\n" + head + "X Field: value\r\n\r\nbody"},
		{"bytes that are no answer", "/safe/x", strings.Repeat("x", 1<<10) + "\r\n"},
		{"bytes without end", "/safe/x", strings.Repeat("x", 1<<20)},
		{"a body that is too large", "/safe/x", "HTTP/1.1 200 OK\r\n" + head + "\r\n" + strings.Repeat("x", maxResponseBytes+1)},
		{"an event that is too large", "/stream/x", "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat("data: x\n", maxEventBytes/4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sound atomic.Bool
			upstreams := make([]http.HandlerFunc, 6)
			for n := range upstreams {
				upstreams[n] = func(w http.ResponseWriter, r *http.Request) {
					if sound.Load() {
						startEvents(w, r, "x")
						sendEvents(w, 1, 1)
						return
					}
					httpserver.CloseAfter(c.sent)(w, r)
				}
			}
			ti := newTestIngress(t, upstreams...)
			for range 6 {
				response, _, err := ti.get(t, c.path)
				assertStatus(t, response, err, http.StatusBadGateway)
			}
			is.New(t).True(ti.runs.Load() >= 6)
			sound.Store(true)
			response, _, err := ti.get(t, c.path)
			assertStatus(t, response, err, http.StatusOK)
		})
	}
}
