package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRefusalsOfOtherRequestsAreNotBelieved guards against a caller that is told that its
// request has not run, or a second run of it, because the upstream wrote the refusal of
// another request once more.
func TestRefusalsOfOtherRequestsAreNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			refuse := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Attempt-Id", "another")
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(status)
			}
			ti := newTestIngress(t, refuse, refuse)
			response, body, err := ti.get(t, "/unsafe/x")
			assertStatus(t, response, err, http.StatusBadGateway)
			is.True(strings.Contains(body, `"run":"unknown"`))
			is.Equal(ti.runs.Load(), int64(1))
		})
	}
}

// TestRefusalsWithoutAnIDAreBelieved guards against requests that count as run although the
// upstream could not even read their ID. Each call has a connection of its own, on which no
// refusal of another request can wait.
func TestRefusalsWithoutAnIDAreBelieved(t *testing.T) {
	ti := newTestIngress(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	}, echo)
	for range 4 {
		response, _, err := ti.get(t, "/unsafe/x")
		assertStatus(t, response, err, http.StatusOK)
	}
}
