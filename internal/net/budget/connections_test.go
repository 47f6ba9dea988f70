package budget

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testServer is a server with bounded connections. Requests for /wait are passed on and
// answered after answer is closed, those for /body are read.
type testServer struct {
	address string
	passed  chan struct{}
	answer  chan struct{}
}

func newTestServer(t *testing.T, connections *Connections) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: listener.Addr().String(), passed: make(chan struct{}, 10), answer: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if ConnOf(request).Pass() == nil && request.URL.Path == "/wait" {
			s.passed <- struct{}{}
			<-s.answer
		}
	})}
	connections.Attach(server)
	go func() { _ = server.Serve(connections.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial opens a connection and sends bytes on it.
func (s *testServer) dial(t *testing.T, data string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(data)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads an answer and returns its status, zero if the connection was closed and -1
// if neither happens.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return -1
	}
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const (
	waitRequest  = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	quickRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// TestConnectionsAreClosedInOrder guards against a connection that is closed although its
// request was passed on, and against new callers that are kept out by connections
// without a whole request.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	is := is.New(t)
	connections := &Connections{Limit: 3}
	s := newTestServer(t, connections)
	waiting := s.dial(t, waitRequest)
	<-s.passed
	head := s.dial(t, "GET / HTTP/1.1\r\n")
	idle := s.dial(t, quickRequest)
	is.Equal(status(idle), http.StatusOK)
	time.Sleep(2 * headPatience)
	is.Equal(status(s.dial(t, quickRequest)), http.StatusOK) // Takes the place of the idle one.
	is.Equal(status(idle), 0)
	second := s.dial(t, waitRequest) // Takes the place of the one that is idle now.
	<-s.passed
	third := s.dial(t, waitRequest) // Takes the place of the head.
	<-s.passed
	is.Equal(status(head), 0)
	is.Equal(status(s.dial(t, quickRequest)), 0) // All others were passed on.
	open, refused, evicted := connections.Counts()
	is.Equal([]int64{int64(open), refused, evicted}, []int64{3, 1, 3})
	close(s.answer)
	for _, conn := range []net.Conn{waiting, second, third} {
		is.Equal(status(conn), http.StatusOK)
	}
}

// TestHeads guards against heads that hold more than the budget, and against ordinary heads
// that are refused since others do.
func TestHeads(t *testing.T) {
	is := is.New(t)
	connections := &Connections{Budget: New(200 << 10)}
	s := newTestServer(t, connections)
	large := "GET / HTTP/1.1\r\nHost: h\r\nLarge: " + strings.Repeat("a", 30<<10)
	for range 5 {
		s.dial(t, large)
	}
	is.Equal(status(s.dial(t, quickRequest)), http.StatusOK)
	time.Sleep(2 * headPatience)
	is.Equal(status(s.dial(t, large+"\r\n\r\n")), http.StatusOK)
	is.True(connections.Budget.Held() <= 200<<10)
}

// TestHeadTimeout guards against a head that goes on beyond the configuration's time for
// it, on a new connection and on one that was idle.
func TestHeadTimeout(t *testing.T) {
	is := is.New(t)
	connections := &Connections{HeadTimeout: func() time.Duration { return 100 * time.Millisecond }}
	s := newTestServer(t, connections)
	fresh := s.dial(t, "GET / HTTP/1.1\r\n")
	kept := s.dial(t, quickRequest)
	is.Equal(status(kept), http.StatusOK)
	time.Sleep(200 * time.Millisecond)
	_, err := kept.Write([]byte(quickRequest)) // Idle for longer than a head may take.
	is.NoErr(err)
	is.Equal(status(kept), http.StatusOK)
	_, err = kept.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	is.Equal(status(fresh), 0)
	is.Equal(status(kept), 0)
}

// TestEvictedHeadsDoNotRun guards against a request that is passed on although its connection
// was closed just before its head was whole.
func TestEvictedHeadsDoNotRun(t *testing.T) {
	is := is.New(t)
	connections, server := &Connections{Budget: New(1 << 20)}, &http.Server{}
	ran := false
	server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true })
	connections.Attach(server)
	serve := func(c *Conn) (aborted any) {
		defer func() { aborted = recover() }()
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		server.Handler.ServeHTTP(httptest.NewRecorder(), request.WithContext(server.ConnContext(t.Context(), c)))
		return nil
	}
	for _, lost := range []bool{false, true} {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		c := connections.add(ours, time.Now())
		go func() { _, _ = io.WriteString(theirs, strings.Repeat("a", 2*headFloor)) }()
		_, err := io.ReadFull(c, make([]byte, 2*headFloor))
		is.NoErr(err)
		if lost {
			is.True(connections.Budget.evictStalled(nil, 1, time.Now().Add(headPatience)))
		}
		ran = false
		aborted := serve(c)
		is.Equal(ran, !lost)
		var want any
		if lost {
			want = http.ErrAbortHandler
		}
		is.Equal(aborted, want)
	}
}
