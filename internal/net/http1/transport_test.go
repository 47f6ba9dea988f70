package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/standin/httpserver"
)

// get returns the answer of a process that sends some bytes and closes its connection.
func get(t *testing.T, sent string) (*http.Response, string, error) {
	t.Helper()
	server := httptest.NewServer(httpserver.CloseAfter(sent))
	defer server.Close()
	response, err := (&http.Client{Transport: &Transport{}}).Get(server.URL)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestProperHeadsAreAccepted guards against answers that are refused though HTTP allows their
// heads.
func TestProperHeadsAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"a length":                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"no length":                 "HTTP/1.1 200 OK\r\n\r\n",
		"no reason":                 "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n",
		"an empty reason":           "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n",
		"a reason of several words": "HTTP/1.1 200 No Problem: 100%\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.0":                  "HTTP/1.0 200 OK\r\n\r\n",
		"bare line feeds":           "HTTP/1.1 200 OK\nContent-Length: 4\n\n",
		"a status without a name":   "HTTP/1.1 299 x\r\nContent-Length: 4\r\n\r\n",
		"interim answers":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"unusual fields":            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: \t \xe4 \"x\"\t\r\nX-Empty:\r\nContent-Length:4 \r\n\r\n",
		"a long field":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Field: " + strings.Repeat("x", MaxHeadBytes-100) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, body, err := get(t, head+"body")
			is.NoErr(err)
			is.Equal(response.StatusCode/100, 2)
			is.Equal(body, "body")
		})
	}
}

// assertNoAnswer checks that what a process sends is no answer.
func assertNoAnswer(t *testing.T, sent string) {
	t.Helper()
	if response, body, err := get(t, sent); err == nil {
		t.Errorf("response %v, body %q after %q", response, body, sent)
	}
}

// TestMalformedStatusLines guards against status lines that net/http accepts though they have no
// meaning.
func TestMalformedStatusLines(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/9.9 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 2000 OK",
	} {
		t.Run(line, func(t *testing.T) {
			assertNoAnswer(t, line+"\r\nContent-Length: 4\r\n\r\nbody")
			assertNoAnswer(t, "HTTP/1.1 100 Continue\r\n\r\n"+line+"\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// TestMalformedFields guards against lines of a head that are no fields, also of an interim
// answer.
func TestMalformedFields(t *testing.T) {
	for _, line := range []string{
		"X Field: value", "X-Field : value", " X-Field: value", "\tX-Field: value", "X\tField: value", "X\x00Field: value",
		"X\x1fField: value", "X\x7fField: value", "X\xe4Field: value", "X(Field): value", "X\rField: value", ": value", "X-Field",
		"X-Field: a\x00b", "X-Field: a\x01b", "X-Field: a\rb", "X-Field: a\x7fb", " ",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			for _, fields := range []string{line + "\r\nContent-Length: 4\r\n", "Content-Length: 4\r\n" + line + "\r\n", "Content-Length: 4\n" + line + "\n"} {
				assertNoAnswer(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\nbody")
			}
			assertNoAnswer(t, "HTTP/1.1 100 Continue\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// TestHeadsInPieces guards against a head that is not checked since it arrives in pieces.
func TestHeadsInPieces(t *testing.T) {
	const proper = "HTTP/1.1 100 Continue\r\nX-Field: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: b\r\n\r\n"
	for size := 1; size <= len(proper)+1; size++ {
		is := is.New(t)
		checker, rest := &headChecker{}, proper+"\x00body"
		for len(rest) > 0 {
			piece := rest[:min(size, len(rest))]
			passed, err := checker.check([]byte(piece))
			is.NoErr(err)
			rest = rest[len(piece):]
			is.Equal(checker.complete, len(rest) <= len("\x00body"))
			is.True(passed == len(piece) || checker.complete)
		}
		checker, rest = &headChecker{}, strings.Replace(proper, "200", "000", 1)
		var err error
		for received := ""; len(rest) > 0 && err == nil; rest = rest[min(size, len(rest)):] {
			piece := rest[:min(size, len(rest))]
			var passed int
			passed, err = checker.check([]byte(piece))
			received += piece[:passed]
			is.True(strings.HasPrefix(strings.Replace(proper, "200", "000", 1), received))
			is.True(!strings.Contains(received, "000 OK\r\n"))
		}
		is.True(errors.Is(err, ErrMalformed))
	}
}

// TestReusedConnections guards against answers on a reused connection that are not checked, and
// against requests that are sent again since their answer was malformed.
func TestReusedConnections(t *testing.T) {
	is := is.New(t)
	var requests, connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 3 {
			httpserver.CloseAfter("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody")(w, r)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	transport := &Transport{}
	client := &http.Client{Transport: transport}
	for range 3 {
		response, err := client.Get(server.URL)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	_, err := client.Get(server.URL)
	is.True(errors.Is(err, ErrMalformed))
	is.Equal(requests.Load(), int64(4))
	is.Equal(connections.Load(), int64(1))
	transport.CloseIdleConnections()
}

// TestAnswerBeforeItsRequest guards against bytes that a process sends behind an answer and that
// are taken for the answer to the next request on the connection.
func TestAnswerBeforeItsRequest(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := &checkedConn{Conn: near}
	conn.expectHead()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	var writing errgroup.Group
	writing.Go(func() error {
		_, err := io.WriteString(far, answer+answer)
		return err
	})
	_, err := io.ReadFull(conn, make([]byte, 2*len(answer)))
	is.NoErr(err)
	is.NoErr(writing.Wait())
	is.True(!conn.awaitsHead())
	conn.expectHead()
	is.True(conn.awaitsHead())
}
