package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// setFaults replaces the faults of an upstream.
func (f *testFleet) setFaults(index int, faults string) {
	f.t.Helper()
	is := is.New(f.t)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, f.upstreams[index].URL+"/admin/faults", strings.NewReader(faults))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// TestUpstreamGetsMoreThanItsNamedLimit guards against instances that together send an
// upstream more than the limit that it has named to them.
func TestUpstreamGetsMoreThanItsNamedLimit(t *testing.T) {
	t.Parallel()
	const (
		limit    = 2.0
		window   = 4 * time.Second
		settling = time.Second
		interval = 50 * time.Millisecond
	)
	is := is.New(t)
	f := newTestFleet(t, 4, 4)
	f.setFaults(0, fmt.Sprintf(`{"limit":%g}`, limit))
	begin := time.Now()
	requests := int((settling + window) / interval)
	served := f.servedByEach(requests, interval, "/safe/x", "/unsafe/x", "/stream/x")
	arrivals := f.standIns[0].ArrivalsSince(begin.Add(settling))
	t.Logf("the upstream got %d requests, the callers were served %v of %d", arrivals, served, requests)
	is.True(float64(arrivals) <= 1.5*limit*window.Seconds()+5)
	is.True(arrivals > 0)
	for _, count := range served {
		is.True(count*10 >= int64(requests)*9)
	}
}
