package processes

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

// TestEndToEnd guards against a program whose parts work alone but not
// together: it sends each kind of request from caller to upstream, checks
// refusals and bills, and stops the instances.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, nil)
	t.Run("chat answer is streamed completely", func(t *testing.T) {
		a := f.call(0, chatCall("when does the raft leave", nil))
		assertCompleteStream(t, a)
		is.New(t).Equal(a.header.Get("Content-Type"), "text/event-stream")
	})
	t.Run("chat is answered as JSON", func(t *testing.T) {
		is := is.New(t)
		c := chatCall("when does the raft leave", nil)
		c.body = strings.Replace(c.body, `"stream":true`, `"stream":false`, 1)
		a := f.call(1, c)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, `"object":"chat.completion"`))
	})
	t.Run("plain service is reached by path", func(t *testing.T) {
		a := f.call(1, call{http.MethodGet, "/services/" + plainService + "/reservations/7", teamDesk, "", nil})
		is.New(t).Equal(a.status, http.StatusOK)
	})
	t.Run("models are listed", func(t *testing.T) {
		a := f.call(0, call{http.MethodGet, "/v1/models", teamChat, "", nil})
		is.New(t).True(strings.Contains(a.body, `"id":"small"`))
	})
	t.Run("unknown credential is refused", func(t *testing.T) {
		c := chatCall("x", nil)
		c.team = "nobody"
		assertError(t, f.call(0, c), http.StatusUnauthorized, "unauthenticated", "no")
	})
	t.Run("model of another team is refused", func(t *testing.T) {
		c := chatCall("x", nil)
		c.team = teamDesk
		assertError(t, f.call(0, c), http.StatusForbidden, "not_allowed", "no")
	})
	t.Run("malformed body is refused", func(t *testing.T) {
		c := chatCall("x", nil)
		c.body = "{"
		assertError(t, f.call(0, c), http.StatusBadRequest, "bad_request", "no")
	})
	t.Run("each request is billed once", func(t *testing.T) {
		is := is.New(t)
		bills := f.awaitBills(3)
		is.Equal(bills[tables.TeamID(teamChat)].Requests, int64(2))
		is.Equal(bills[tables.TeamID(teamDesk)].Requests, int64(1))
		is.Equal(bills[tables.TeamID(teamDesk)].Cost, tables.MicroCost(7))
	})
	t.Run("graceful stop exits with code 0", func(t *testing.T) {
		is := is.New(t)
		for _, i := range f.instances {
			is.Equal(i.stop(), 0)
		}
	})
}
