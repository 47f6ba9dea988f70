package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/quarantine"
)

// TestReleaseReachesTheFleet guards against a part that some instances go on refusing after
// an operator has released it at another one.
func TestReleaseReachesTheFleet(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 2)
	for _, i := range f.instances {
		i.dispatcher.RestoreQuarantine(time.Now(), []quarantine.PartID{"bad"})
	}
	statusWithPart := func(index int) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.instances[index].callers+"/safe/x", http.NoBody)
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set("X-Attempt-Id", "with-part")
		request.Header.Set("X-Prompt-Prefix", "bad:10,own:5")
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(statusWithPart(0), http.StatusServiceUnavailable)
	is.Equal(statusWithPart(1), http.StatusServiceUnavailable)
	operators := strings.Replace(f.instances[1].callers, ":8080", ":8081", 1)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+operators+"/quarantine/bad", http.NoBody)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNoContent)
	f.await("both serve the part", func() bool {
		return statusWithPart(0) == http.StatusOK && statusWithPart(1) == http.StatusOK
	})
	is.Equal(len(f.instances[0].dispatcher.Quarantine()), 0)
}
