package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/platform"
)

// testIngress is an ingress server in front of test upstreams. runs counts the
// requests that reached an upstream.
type testIngress struct {
	upstreams []*httptest.Server
	*httptest.Server
	server *Server
	runs   atomic.Int64
}

// echo is a healthy upstream that returns the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Stamp", "stamp")
	_, _ = io.Copy(w, r.Body)
}

// newTestCatalog returns a catalog of a service with a route of each kind.
func newTestCatalog(version catalog.Version, bodyBytes int64) *catalog.Catalog {
	split := []catalog.Share{{Service: "s", Weight: 1}}
	return &catalog.Catalog{
		Version: version,
		Routes: []catalog.Route{
			{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: catalog.Unsafe, Timeout: time.Minute, Split: split, MaxAttempts: 1},
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: catalog.Safe, Timeout: time.Minute, Split: split, MaxAttempts: 3},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: catalog.Streaming, Resumable: true, Timeout: time.Minute, Split: split, MaxAttempts: 3},
			{Name: "brief", Host: "h", PathPrefix: "/brief/", Kind: catalog.Safe, Timeout: 50 * time.Millisecond, Split: split, MaxAttempts: 3},
			{Name: "open", Host: "h", PathPrefix: "/open/", Kind: catalog.Safe, Timeout: time.Minute, Split: split, MaxAttempts: 1, Public: true},
		},
		Services: []catalog.Service{{Name: "s"}},
		Teams:    []catalog.Team{{Name: "team", Credentials: []string{"key"}}, {Name: "other", Credentials: []string{"other key"}}},
		Limits:   catalog.Limits{HeaderBytes: 4096, BodyBytes: bodyBytes},
	}
}

// newTestIngress starts an ingress server in front of the upstreams. Routes are
// named after their kind.
func newTestIngress(t *testing.T, upstreams ...http.HandlerFunc) *testIngress {
	t.Helper()
	return newTestIngressWithDialer(t, connect.Direct, upstreams...)
}

// newTestIngressWithDialer is newTestIngress with a function that connects to upstreams.
func newTestIngressWithDialer(t *testing.T, dial connect.DialFunc, upstreams ...http.HandlerFunc) *testIngress {
	t.Helper()
	ti := &testIngress{}
	dispatcher := dispatch.New("here", dispatch.Limits{
		Retries: retries.Budget{Ratio: 10, Slack: 1000, Window: time.Second},
		Release: releases.Limits{MaxExposure: 0.15},
	}, rand.New(rand.NewPCG(1, 2)))
	dispatcher.SetCatalog(newTestCatalog(1, 1024))
	var entries []catalog.Upstream
	for i, handler := range upstreams {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ti.runs.Add(1)
			handler(w, r)
		}))
		t.Cleanup(server.CloseClientConnections)
		ti.upstreams = append(ti.upstreams, server)
		entries = append(entries, catalog.Upstream{
			ID: tables.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Version: "v1", Slots: 8, Ready: true,
			Address: server.Listener.Addr().String(),
		})
	}
	dispatcher.SetUpstreams(time.Now(), entries)
	ti.server = &Server{
		Dispatcher:     dispatcher,
		UpstreamClient: forward.New((&connect.Dialer{Direct: dial, Links: &links.Table{}, AcquireRoom: dispatcher.RoomFor}).DialContext),
		Log:            zap.NewNop(),
		SinceShutdown:  func() time.Duration { return 0 },
		AcceptWindow:   4 * time.Second,
		DrainWindow:    7 * time.Second,
	}
	ti.Server = httptest.NewServer(ti.server)
	ti.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	t.Cleanup(ti.CloseClientConnections)
	return ti
}

func (ti *testIngress) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, ti.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", "id-1")
	request.Header.Set("X-Credential", "key")
	return request
}

func (ti *testIngress) do(t *testing.T, request *http.Request) (*http.Response, string, error) {
	t.Helper()
	response, err := ti.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, string(body), err
}

// getAs sends a request with a credential.
func (ti *testIngress) getAs(t *testing.T, credential, path string) (*http.Response, string, error) {
	t.Helper()
	request := ti.request(t, http.MethodGet, path, "")
	request.Header.Set("X-Credential", credential)
	return ti.do(t, request)
}

func (ti *testIngress) get(t *testing.T, path string) (*http.Response, string, error) {
	t.Helper()
	return ti.do(t, ti.request(t, http.MethodGet, path, ""))
}

func assertStatus(t *testing.T, response *http.Response, err error, status int) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(err)
	is.Equal(response.StatusCode, status)
}

// TestForwarding guards against changes to a request or response on its way
// through the router.
func TestForwarding(t *testing.T) {
	t.Run("method, path, query and body are forwarded unchanged", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.RequestURI, "/unsafe/%2F../x?a=b;c")
			is.Equal(r.Method, http.MethodPut)
			is.Equal(r.Host, "h")
			is.Equal(r.Header.Get("X-Tenant"), "team")
			is.Equal(r.Header.Get("X-Credential"), "")
			is.Equal(r.Header.Get("X-Expect-Instance"), "u0")
			echo(w, r)
		})
		request := ti.request(t, http.MethodPut, "/unsafe/x", "body")
		request.URL.Opaque = "/unsafe/%2F../x?a=b;c"
		response, body, err := ti.do(t, request)
		assertStatus(t, response, err, http.StatusOK)
		is.Equal(body, "body")
		is.Equal(response.Header.Get("X-Server-Stamp"), "stamp")
	})
	t.Run("an upstream's own failure is relayed unchanged", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Server-Stamp", "failed")
			w.WriteHeader(http.StatusInternalServerError)
		})
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusInternalServerError)
		is.Equal(response.Header.Get("X-Server-Stamp"), "failed")
		is.Equal(ti.runs.Load(), int64(1))
	})
	t.Run("a safe request is retried at another upstream after a failure", func(t *testing.T) {
		is := is.New(t)
		var failed atomic.Bool
		failOnce := func(w http.ResponseWriter, r *http.Request) {
			if failed.CompareAndSwap(false, true) {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			echo(w, r)
		}
		ti := newTestIngress(t, failOnce, failOnce)
		response, _, err := ti.get(t, "/safe/x")
		assertStatus(t, response, err, http.StatusOK)
		is.Equal(ti.runs.Load(), int64(2))
	})
}

// TestErrorResponses guards against a status which guarantees that a request
// did not run although an upstream may have run it, and against responses that
// must not reach the caller.
func TestErrorResponses(t *testing.T) {
	for _, c := range []struct {
		name, path, credential string
		status                 int
	}{
		{"no route", "/none/x", "key", http.StatusNotFound},
		{"no credential", "/safe/x", "", http.StatusUnauthorized},
		{"an unknown credential", "/safe/x", "other", http.StatusUnauthorized},
		{"a public route needs no credential", "/open/x", "", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			ti := newTestIngress(t, echo)
			request := ti.request(t, http.MethodGet, c.path, "")
			request.Header.Set("X-Credential", c.credential)
			response, _, err := ti.do(t, request)
			assertStatus(t, response, err, c.status)
		})
	}
	t.Run("a body above the limit", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, echo)
		response, _, err := ti.do(t, ti.request(t, http.MethodPost, "/safe/x", strings.Repeat("x", 2000)))
		assertStatus(t, response, err, http.StatusRequestEntityTooLarge)
		is.Equal(ti.runs.Load(), int64(0))
	})
	t.Run("a header above the limit", func(t *testing.T) {
		ti := newTestIngress(t, echo)
		request := ti.request(t, http.MethodGet, "/safe/x", "")
		request.Header.Set("X-Long", strings.Repeat("x", 5000))
		response, _, err := ti.do(t, request)
		assertStatus(t, response, err, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("no upstream yields run=no and a Retry-After header", func(t *testing.T) {
		ti := newTestIngress(t)
		response, body, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusServiceUnavailable)
		is := is.New(t)
		is.True(response.Header.Get("Retry-After") != "")
		is.True(strings.Contains(body, `"run":"no"`))
	})
	t.Run("a call rejected with X-Not-Executed yields 503", func(t *testing.T) {
		ti := newTestIngress(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusServiceUnavailable)
	})
	t.Run("a 503 without X-Not-Executed yields 502", func(t *testing.T) {
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
	})
	t.Run("a response to another request is not relayed", func(t *testing.T) {
		ti := newTestIngress(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Attempt-Id", "other")
			_, _ = w.Write([]byte("secret"))
		})
		response, body, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
		is.New(t).True(!strings.Contains(body, "secret"))
	})
	t.Run("a truncated response is not relayed and yields run=unknown", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		})
		response, body, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
		is.True(strings.Contains(body, `"run":"unknown"`))
		is.Equal(ti.runs.Load(), int64(1))
	})
	t.Run("a response above the size limit is not relayed in part", func(t *testing.T) {
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			_, _ = w.Write(make([]byte, maxResponseBytes+1))
		})
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
	})
	t.Run("the route's timeout yields 504", func(t *testing.T) {
		ti := newTestIngress(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		response, _, err := ti.get(t, "/brief/x")
		assertStatus(t, response, err, http.StatusGatewayTimeout)
	})
}

// TestShutdown guards against requests that are accepted too late in the
// shutdown to finish, and checks that connections are closed.
func TestShutdown(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		elapsed time.Duration
		status  int
		refused bool
	}{
		{"a request just after the start of shutdown", "/unsafe/x", time.Millisecond, http.StatusOK, false},
		{"a request too late to finish", "/unsafe/x", 5 * time.Second, http.StatusServiceUnavailable, true},
		{"a stream too late to finish", "/stream/x", 3 * time.Second, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ti := newTestIngress(t, echo)
			ti.server.SinceShutdown = func() time.Duration { return c.elapsed }
			response, _, err := ti.get(t, c.path)
			assertStatus(t, response, err, c.status)
			is.True(response.Close)
			is.Equal(response.Header.Get("Retry-After") != "", c.refused)
		})
	}
}

// TestCallerDisconnect guards against upstreams that keep working for a caller
// that disconnected.
func TestCallerDisconnect(t *testing.T) {
	t.Run("the upstream call is canceled when the caller disconnects", func(t *testing.T) {
		started, ended := make(chan struct{}), make(chan struct{})
		ti := newTestIngress(t, func(_ http.ResponseWriter, r *http.Request) {
			// net/http detects a closed connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			close(started)
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		request := ti.request(t, http.MethodPost, "/unsafe/x", "body").WithContext(ctx)
		var group errgroup.Group
		group.Go(func() error {
			_, _, err := ti.do(t, request)
			return err
		})
		<-started
		cancel()
		<-ended
		is.New(t).True(errors.Is(group.Wait(), context.Canceled))
	})
}

// sendEvents writes the events with IDs from through to.
func sendEvents(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

// startEvents writes the headers of an event stream.
func startEvents(w http.ResponseWriter, r *http.Request, stamp string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Stamp", stamp)
}

// TestStreaming guards against gaps, repeats and reordering of events, against
// buffering, and against incomplete streams that look complete.
func TestStreaming(t *testing.T) {
	wantEvents := func(last int) string {
		var text strings.Builder
		for i := 1; i <= last; i++ {
			_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
		}
		return text.String()
	}
	t.Run("a stream that breaks within an event is resumed at another upstream without gap or repeat", func(t *testing.T) {
		is := is.New(t)
		var broken atomic.Bool
		upstream := func(w http.ResponseWriter, r *http.Request) {
			if broken.CompareAndSwap(false, true) {
				startEvents(w, r, "first")
				sendEvents(w, 1, 3)
				_, _ = w.Write([]byte("id: 4\ndata: pie"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			is.Equal(r.Header.Get("Last-Event-Id"), "3")
			startEvents(w, r, "second")
			sendEvents(w, 4, 6)
		}
		ti := newTestIngress(t, upstream, upstream)
		response, body, err := ti.get(t, "/stream/x")
		assertStatus(t, response, err, http.StatusOK)
		is.Equal(body, wantEvents(6))
		is.Equal(response.Header.Get("X-Server-Stamp"), "first")
	})
	t.Run("an event out of order is not relayed", func(t *testing.T) {
		is := is.New(t)
		upstream := func(w http.ResponseWriter, r *http.Request) {
			startEvents(w, r, "x")
			if r.Header.Get("Last-Event-Id") == "" {
				sendEvents(w, 1, 2)
			}
			sendEvents(w, 7, 8)
		}
		ti := newTestIngress(t, upstream, upstream, upstream)
		_, body, err := ti.get(t, "/stream/x")
		is.True(err != nil)
		is.Equal(body, wantEvents(2))
	})
	t.Run("a stream that cannot be resumed does not look complete", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			startEvents(w, r, "x")
			if r.Header.Get("Last-Event-Id") == "" {
				sendEvents(w, 1, 1)
			}
			panic(http.ErrAbortHandler)
		})
		_, _, err := ti.get(t, "/stream/x")
		is.True(err != nil)
	})
	t.Run("events are relayed as they arrive", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			startEvents(w, r, "x")
			sendEvents(w, 1, 1)
			<-release
			sendEvents(w, 2, 2)
		})
		response, err := ti.Client().Do(ti.request(t, http.MethodGet, "/stream/x", ""))
		is.NoErr(err)
		reader := bufio.NewReader(response.Body)
		line, err := reader.ReadString('\n')
		is.NoErr(err)
		is.Equal(line, "id: 1\n")
		close(release)
		_, err = io.ReadAll(reader)
		is.NoErr(err)
	})
}

// TestMalformedRequests sends malformed and smuggled requests. The server must
// respond with an HTTP status or close the connection, and must not forward
// them.
func TestMalformedRequests(t *testing.T) {
	const head = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Credential: key\r\n"
	for _, c := range []struct {
		name, text string
		// maxRuns is the maximum number of requests that may be forwarded.
		maxRuns int64
	}{
		{"two different Content-Length headers", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 0},
		{"an invalid Content-Length", head + "Content-Length: +4\r\n\r\nabcd", 0},
		{"an invalid chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 0},
		{"an unknown transfer encoding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 0},
		{"a space before the colon", head + "Content-Length : 4\r\n\r\nabcd", 0},
		{"a folded header", head + "X-Long: a\r\n b\r\nContent-Length: 0\r\n\r\n", 1},
		{"a body that ends early", head + "Content-Length: 10\r\n\r\nabc", 0},
		{"two Host headers", head + "Host: other\r\nContent-Length: 0\r\n\r\n", 0},
		{"no HTTP version", "GET /unsafe/x\r\n\r\n", 0},
		{"a request in the body of another", head + "Content-Length: 44\r\n\r\nGET /unsafe/smuggled HTTP/1.1\r\nHost: h\r\n\r\n12", 1},
		{"a request behind a chunked body with a length", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /unsafe/smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(r.RequestURI, "smuggled") {
					t.Error("a smuggled request was forwarded")
				}
				echo(w, r)
			})
			conn, err := net.Dial("tcp", ti.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte(c.text))
			is.NoErr(err)
			tcp, ok := conn.(*net.TCPConn)
			is.True(ok)
			is.NoErr(tcp.CloseWrite())
			answer, _ := io.ReadAll(conn)
			if len(answer) > 0 {
				is.True(strings.HasPrefix(string(answer), "HTTP/1.1 "))
			}
			is.True(ti.runs.Load() <= c.maxRuns)
		})
	}
}

// TestUpstreamState guards against calls to an upstream that has said in an answer that
// it is leaving or wants none for a while.
func TestUpstreamState(t *testing.T) {
	t.Run("an upstream that asks for a pause gets no calls, and the caller learns how long", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Not-Executed", "1")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 5 {
			response, _, err := ti.get(t, "/safe/")
			assertStatus(t, response, err, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 20 && wait <= 30)
		}
		is.Equal(ti.runs.Load(), int64(1))
	})
	t.Run("an upstream that is leaving gets no further requests", func(t *testing.T) {
		is := is.New(t)
		var leaving atomic.Int64
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			leaving.Add(1)
			w.Header().Set("Server-Leaving", "1")
			echo(w, r)
		}, echo, echo)
		for range 60 {
			response, _, err := ti.get(t, "/unsafe/")
			assertStatus(t, response, err, http.StatusOK)
		}
		is.Equal(leaving.Load(), int64(1))
	})
	t.Run("an answer to another request says nothing of the upstream", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Attempt-Id", "another")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 2 {
			_, _, err := ti.get(t, "/unsafe/")
			is.NoErr(err)
		}
		is.Equal(ti.runs.Load(), int64(2))
	})
}

// TestConnectFailureIsNamed guards against a log that does not tell refused
// connections from those that timed out.
func TestConnectFailureIsNamed(t *testing.T) {
	for want, err := range map[string]error{
		"connection refused":   &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
		"connection timed out": &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		"no connection":        errors.New("other"),
	} {
		t.Run(want, func(t *testing.T) {
			is.New(t).Equal(connectFailure(errors.Join(forward.ErrNotConnected, err)), want)
		})
	}
}

// TestLackOfRoomIsNamed guards against a log that does not tell an upstream without room from
// an instance that does not admit calls to it.
func TestLackOfRoomIsNamed(t *testing.T) {
	for want, err := range map[string]error{
		"no room in time":                connect.ErrNoRoom,
		"the admitting instance is late": connect.ErrOwnerLate,
		"the admitting instance is lost": connect.ErrOwnerLost,
	} {
		t.Run(want, func(t *testing.T) {
			is.New(t).Equal(roomFailure(errors.Join(forward.ErrNotConnected, err)), want)
		})
	}
}

// TestUnconnectedCallsHaveNotRun guards against callers that are told a request may have
// run although no connection to an upstream was established in time.
func TestUnconnectedCallsHaveNotRun(t *testing.T) {
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ti := newTestIngressWithDialer(t, hang, echo)
	response, body, err := ti.get(t, "/brief/x")
	assertStatus(t, response, err, http.StatusServiceUnavailable)
	is.New(t).True(strings.Contains(body, `"run":"no"`))
}

// lossyPeer returns a function that connects to upstreams through a peer that is lost once
// an answer has brought the number of bytes. Later connections are direct.
func lossyPeer(limit int) connect.DialFunc {
	var lost atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := connect.Direct(ctx, network, address)
		if err != nil || lost.Swap(true) {
			return conn, err
		}
		return &lostConn{Conn: conn, left: limit}, nil
	}
}

// lostConn is a connection that is lost with its peer after some bytes.
type lostConn struct {
	net.Conn
	left int
}

func (c *lostConn) Read(buffer []byte) (int, error) {
	if c.left <= 0 {
		return 0, links.ErrPeerLost
	}
	count, err := c.Conn.Read(buffer[:min(len(buffer), c.left)])
	c.left -= count
	return count, err
}

// TestLostPeer guards against an answer that looks complete, a request that runs twice, and
// a stream with a gap, when the peer that carries the connection is lost.
func TestLostPeer(t *testing.T) {
	stream := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for id := first + 1; id <= 20; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: some text\n\n", id)
			_ = http.NewResponseController(w).Flush()
		}
	}
	t.Run("a stream is resumed after its last event", func(t *testing.T) {
		for _, limit := range []int{1, 150, 300, 400} {
			is := is.New(t)
			ti := newTestIngressWithDialer(t, lossyPeer(limit), stream)
			response, body, err := ti.get(t, "/stream/x")
			assertStatus(t, response, err, http.StatusOK)
			var want strings.Builder
			for id := range 20 {
				_, _ = fmt.Fprintf(&want, "id: %d\ndata: some text\n\n", id+1)
			}
			is.Equal(body, want.String())
			is.Equal(ti.runs.Load(), int64(2))
		}
	})
	t.Run("a request that must not run twice may have run", func(t *testing.T) {
		ti := newTestIngressWithDialer(t, lossyPeer(10), echo)
		response, body, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
		is.New(t).True(strings.Contains(body, `"run":"unknown"`))
		is.New(t).Equal(ti.runs.Load(), int64(1))
	})
	t.Run("an answer without a length does not look complete", func(t *testing.T) {
		unframed := httpserver.CloseAfter("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n\r\n" + strings.Repeat("x", 1000))
		ti := newTestIngressWithDialer(t, lossyPeer(500), unframed)
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusBadGateway)
	})
}

// TestShortSilencesAreNoFailures guards against streams that are cut and run again although
// their upstream is sound and only silent for a moment.
func TestShortSilencesAreNoFailures(t *testing.T) {
	const silence = 1600 * time.Millisecond
	pausing := func(before int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			for id := 1; id <= 5; id++ {
				if id == before {
					select {
					case <-time.After(silence):
					case <-r.Context().Done():
						return
					}
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
				_ = http.NewResponseController(w).Flush()
			}
		}
	}
	for name, before := range map[string]int{"before the first event": 1, "between events": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ti := newTestIngress(t, pausing(before), pausing(before))
			response, body, err := ti.get(t, "/stream/x")
			assertStatus(t, response, err, http.StatusOK)
			is.Equal(strings.Count(body, "id:"), 5)
			is.Equal(ti.runs.Load(), int64(1))
		})
	}
}

// TestBrittleUpstreamsRejectFewCalls guards against an instance that goes on sending calls to
// an upstream that has said how few rejections it tolerates.
func TestBrittleUpstreamsRejectFewCalls(t *testing.T) {
	is := is.New(t)
	ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Server-Brittle", "8")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, _, err := ti.get(t, "/unsafe/x")
	is.NoErr(err)
	group := &errgroup.Group{}
	for range 10 {
		group.Go(func() error {
			response, body, err := ti.get(t, "/unsafe/x")
			if err != nil {
				return err
			}
			if response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) || response.Header.Get("Retry-After") == "" {
				return fmt.Errorf("status %d, %s", response.StatusCode, body)
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	// All calls are made within a second.
	is.True(ti.runs.Load() <= 8)
}

// TestContentIsHashedOnce guards against a hash of the whole body for each call, or for
// requests of which nothing is suspect.
func TestContentIsHashedOnce(t *testing.T) {
	is := is.New(t)
	x := &exchange{request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), body: []byte("body"), route: &catalog.Route{}}
	request := x.dispatchRequest()
	first := request.ContentPart()
	x.body = []byte("other")
	is.Equal(request.ContentPart(), first)
	is.True(x.dispatchRequest().ContentPart() != first)
	x.body, x.metadata = []byte("body"), platform.RequestMetadata{ID: "another", Session: "another", Credential: "another", Timeout: time.Second}
	is.Equal(x.dispatchRequest().ContentPart(), first)
	x.request.Method = http.MethodPut
	is.True(x.dispatchRequest().ContentPart() != first)
}

// TestCallersCannotNameRequests guards against a caller whose prompt has a part with the ID
// of another's request, which its own crashes would quarantine.
func TestCallersCannotNameRequests(t *testing.T) {
	victim := string(quarantine.NewRequestPart("of another team"))
	parts := []platform.PromptPart{{ID: "5c1e07a2"}, {ID: victim}, {ID: "own"}}
	is.New(t).Equal(sharedPartIDs(parts), []quarantine.PartID{"5c1e07a2"})
}
