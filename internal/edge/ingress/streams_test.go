package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/standin/httpserver"
)

// TestErrorsDoNotReachABegunStream guards against callers that get an error of the next
// upstream, or the head of an answer, in the middle of a stream that broke off, and against
// a stream that then looks complete.
func TestErrorsDoNotReachABegunStream(t *testing.T) {
	breakOff := func(w http.ResponseWriter, r *http.Request) {
		startEvents(w, r, "x")
		sendEvents(w, 1, 3)
		panic(http.ErrAbortHandler)
	}
	for name, failure := range failedAnswers() {
		for _, first := range []string{"first", "second"} {
			t.Run(name+", "+first, func(t *testing.T) {
				is := is.New(t)
				ti := newTestIngress(t, breakOff, failure)
				if first == "second" {
					ti = newTestIngress(t, failure, breakOff)
				}
				for range 4 {
					_, body, err := ti.get(t, "/stream/x")
					if strings.HasPrefix(body, "id: 1") {
						is.True(err != nil) // It looks complete.
						assertWholeEvents(t, body)
					}
				}
			})
		}
	}
}

// failedAnswers returns upstreams whose answers are no streams of events, or end with something
// else.
func failedAnswers() map[string]http.HandlerFunc {
	// The end of the connection is the end of the stream.
	const unframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	const head = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id-1\r\nContent-Length: 6\r\n\r\nfailed"
	failures := map[string]http.HandlerFunc{}
	for _, status := range []int{200, 204, 301, 400, 404, 421, 429, 500, 503} {
		failures[strconv.Itoa(status)] = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.WriteHeader(status)
			if status != http.StatusNoContent {
				_, _ = w.Write([]byte("failed"))
			}
		}
	}
	for name, after := range map[string]string{
		"a head at the end":            "",
		"a head after the next event":  "id: 4\ndata: piece 4\n\n",
		"a head within the next event": "id: 4\ndata: pie",
	} {
		failures[name] = httpserver.CloseAfter(unframedHead + after + head)
	}
	return failures
}

// assertWholeEvents asserts that a body consists of the first events of a stream.
func assertWholeEvents(t *testing.T, body string) {
	t.Helper()
	want := ""
	for n := 1; len(want) < len(body); n++ {
		want = fmt.Sprintf("%sid: %d\ndata: piece %d\n\n", want, n, n)
	}
	is.New(t).Equal(body, want)
}
