package service

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
)

// TestRejectedRequestsCountAgainstNoVersion guards against versions that are withdrawn, and
// upstreams that get no calls for a while, since a caller sends requests that engines reject
// as ones that they do not understand.
func TestRejectedRequestsCountAgainstNoVersion(t *testing.T) {
	const requests = 12
	is := is.New(t)
	f := newTestFleet(t, 1)
	arrivals := func() (sum int64) {
		for _, e := range f.engines {
			sum += e.arrivals.Load()
		}
		return sum
	}
	before := arrivals()
	odd := strings.Replace(chatBody, "how do I", rejectedText+" how do I", 1)
	for range requests {
		is.Equal(f.post(0, chatPath, odd), http.StatusBadRequest)
	}
	is.Equal(arrivals()-before, int64(requests))
	values := f.instances[0].router.Contribution(time.Now().Add(time.Hour))
	is.Equal(values[aggregates.NewExactKey("version", "small", "errors")], 0.0)
	for range requests {
		is.Equal(f.chat(0), http.StatusOK)
	}
}
