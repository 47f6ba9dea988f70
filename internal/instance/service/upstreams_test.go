package service

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mimosayard/internal/standin/httpserver"
)

// A testUpstream is an upstream that may name a limit on its calls, and that ends when it
// runs a request with a certain text. It does not reject calls beyond its limit.
type testUpstream struct {
	http.Handler
	limit    atomic.Pointer[string]
	arrivals atomic.Int64
	// crashes counts the requests that ended the upstream, and backAt is when it has
	// started again, in Unix nanoseconds.
	crashes, backAt atomic.Int64
	// work is how long each request takes. It must be set before the first one.
	work time.Duration
	// hang is true while the upstream answers no request, unless its caller leaves.
	hang atomic.Bool
	// broken are the bytes that the upstream sends in place of each answer, but for load
	// reports, unless nil. ID stands for the request's ID.
	broken atomic.Pointer[string]
}

const (
	// crashingText is the text of a request that ends the upstreams that run it.
	crashingText = "crash"
	// rejectedText is the text of a request that upstreams reject as one that they do not
	// understand.
	rejectedText = "odd"
	restartTime  = 200 * time.Millisecond
)

func (s *testUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/load" {
		s.arrivals.Add(1)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || time.Now().UnixNano() < s.backAt.Load() {
		panic(http.ErrAbortHandler)
	}
	if bytes.Contains(body, []byte(crashingText)) {
		s.crashes.Add(1)
		s.backAt.Store(time.Now().Add(restartTime).UnixNano())
		panic(http.ErrAbortHandler)
	}
	for s.hang.Load() && r.URL.Path != "/v1/load" {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
	if r.URL.Path != "/v1/load" {
		time.Sleep(s.work)
	}
	if sent := s.broken.Load(); sent != nil && r.URL.Path != "/v1/load" {
		httpserver.CloseAfter(strings.ReplaceAll(*sent, "ID", r.Header.Get("X-Request-Id")))(w, r)
		return
	}
	if bytes.Contains(body, []byte(rejectedText)) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if limit := s.limit.Load(); limit != nil {
		w.Header().Set("X-Load-Limit", *limit)
	}
	s.Handler.ServeHTTP(w, r)
}
