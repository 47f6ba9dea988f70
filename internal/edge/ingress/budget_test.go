package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/net/budget"
)

// setBudget sets the budget and the limit on a body, and bounds the connections.
func (ti *testIngress) setBudget(bytes, bodyBytes int64) {
	changed := *ti.server.Dispatcher.Index().Catalog
	changed.Version++
	changed.Limits.BodyBytes = bodyBytes
	ti.server.Dispatcher.SetCatalog(&changed)
	ti.server.Budget = budget.New(bytes)
}

// slowReader returns a reader of size bytes in pieces with a pause after each.
func slowReader(size, pieces int, pause time.Duration) io.Reader {
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		for range pieces {
			_, _ = writer.Write(make([]byte, size/pieces))
			time.Sleep(pause)
		}
		return writer.Close()
	})
	return reader
}

// TestLargestBodyIsServedInCalm guards against a budget that refuses a single request
// within the limits. The budget is that of an instance with 144 MB.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	const size = 4 << 20
	for _, length := range []int64{size, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			is := is.New(t)
			ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				is.NoErr(err)
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				_, _ = fmt.Fprint(w, len(body))
			})
			ti.setBudget(35<<20, size)
			request := ti.request(t, http.MethodPost, "/unsafe/x", "")
			request.Body, request.ContentLength = io.NopCloser(slowReader(size, 32, 40*time.Millisecond)), length
			response, body, err := ti.do(t, request)
			assertStatus(t, response, err, http.StatusOK)
			is.Equal(body, strconv.Itoa(size))
			is.Equal(ti.server.Budget.Held(), int64(0))
			is.Equal(ti.server.Budget.Counts(), budget.Counts{})
		})
	}
}

// TestLackOfMemory guards against refusals that break their promise where a body or an
// answer has no room: a body's request must not run and says so, an answer's has run and
// does not claim otherwise.
func TestLackOfMemory(t *testing.T) {
	const large = 200 << 10
	answer := func(size int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			_, _ = w.Write(make([]byte, size))
		}
	}
	t.Run("for a body", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, answer(1))
		ti.setBudget(100<<10, 1<<20)
		response, body, err := ti.do(t, ti.request(t, http.MethodPost, "/unsafe/x", strings.Repeat("b", large)))
		assertStatus(t, response, err, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"run":"no"`))
		is.True(response.Close)
		is.True(response.Header.Get("Retry-After") != "")
		is.Equal(ti.runs.Load(), int64(0))
		response, _, err = ti.do(t, ti.request(t, http.MethodPost, "/unsafe/x", "small"))
		assertStatus(t, response, err, http.StatusOK)
		is.Equal(ti.server.Budget.Held(), int64(0))
	})
	t.Run("for an answer", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, answer(large))
		ti.setBudget(100<<10, 1<<20)
		response, body, err := ti.do(t, ti.request(t, http.MethodPost, "/safe/x", "small"))
		assertStatus(t, response, err, http.StatusBadGateway)
		is.True(strings.Contains(body, `"kind":"answer_dropped","run":"unknown"`))
		is.Equal(ti.runs.Load(), int64(1))
		is.Equal(ti.server.Budget.Held(), int64(0))
	})
	t.Run("for a body that stalls", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, answer(1))
		ti.setBudget(100<<10, 1<<20)
		conn, err := net.Dial("tcp", ti.Listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Credential: key\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("b", 59999))
		is.NoErr(err)
		for ti.server.Budget.Held() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * budget.BodyPatience)
		response, _, err := ti.do(t, ti.request(t, http.MethodPost, "/unsafe/x", strings.Repeat("b", 60000)))
		assertStatus(t, response, err, http.StatusOK)
		response, err = http.ReadResponse(bufio.NewReader(conn), nil)
		assertStatus(t, response, err, http.StatusRequestTimeout)
		is.True(response.Close)
		is.Equal(ti.runs.Load(), int64(1))
	})
}
