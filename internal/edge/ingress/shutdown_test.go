package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsThatMayOutlastTheDrainAreRejected guards against requests that are passed on
// late in the shutdown and cut off at its end, though they could have run elsewhere.
func TestRequestsThatMayOutlastTheDrainAreRejected(t *testing.T) {
	for _, c := range []struct {
		name       string
		path       string
		elapsed    time.Duration
		deadlineMs string
		runs       int64
	}{
		{"an unsafe request whose deadline is after the drain", "/unsafe/x", 3300 * time.Millisecond, "10000", 0},
		{"a safe request whose deadline is after the drain", "/safe/x", 3300 * time.Millisecond, "10000", 0},
		{"a request without a deadline of its caller", "/unsafe/x", 3300 * time.Millisecond, "", 0},
		{"a request that ends within the drain", "/unsafe/x", 3300 * time.Millisecond, "1500", 1},
		{"a request while the balancer still sends connections", "/unsafe/x", 2 * time.Second, "10000", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ti := newTestIngress(t, echo)
			ti.server.SinceShutdown = func() time.Duration { return c.elapsed }
			request := ti.request(t, http.MethodPost, c.path, "")
			request.Header.Set("X-Deadline-Ms", c.deadlineMs)
			response, _, err := ti.do(t, request)
			if c.runs == 0 {
				assertStatus(t, response, err, http.StatusServiceUnavailable)
				is.True(response.Header.Get("Retry-After") != "")
			} else {
				assertStatus(t, response, err, http.StatusOK)
			}
			is.Equal(ti.runs.Load(), c.runs)
		})
	}
}

// TestLateRequestsEndWithinTheDrain guards against requests that come when the load balancer has
// moved its connections, at the latest 3 s after the signal, and reach an upstream though they
// may last longer than the instance. It draws the moment, the deadline, the kind and the limits.
func TestLateRequestsEndWithinTheDrain(t *testing.T) {
	const (
		requests = 400
		// movedAfter is when the load balancer has moved its connections for certain.
		movedAfter = 3 * time.Second
		// routeTimeout is that of the routes of the ingress server.
		routeTimeout = time.Minute
	)
	random := rand.New(rand.NewPCG(1, 2))
	ti := newTestIngress(t, echo)
	reachedLate := 0
	for range requests {
		is := is.New(t)
		grace := time.Duration(2+random.IntN(28)) * time.Second
		drainEnd := grace - time.Second
		elapsed := time.Duration(random.Int64N(int64(grace)))
		deadline := time.Duration(1+random.IntN(2*int(grace.Seconds()))) * time.Second
		path := []string{"/unsafe/x", "/safe/x", "/stream/x"}[random.IntN(3)]
		ti.server.SinceShutdown = func() time.Duration { return elapsed }
		ti.server.AcceptWindow, ti.server.DrainWindow = grace/2, drainEnd
		before := ti.runs.Load()
		request := ti.request(t, http.MethodPost, path, "")
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		response, _, err := ti.do(t, request)
		is.NoErr(err)
		reached := ti.runs.Load() > before
		is.Equal(reached, response.StatusCode != http.StatusServiceUnavailable)
		if reached && elapsed > movedAfter {
			reachedLate++
			// The request was sent a little after the moment that the server takes for now.
			const slack = 500 * time.Millisecond
			is.True(elapsed+min(deadline, routeTimeout) <= drainEnd+slack)
		}
	}
	is.New(t).True(reachedLate > 0)
}

// TestCallsThatMayOutlastTheDrainAreNotBegun guards against requests that came in time, are
// sent late in the shutdown after a refusal, and are cut off at its end.
func TestCallsThatMayOutlastTheDrainAreNotBegun(t *testing.T) {
	for _, c := range []struct {
		name, deadlineMs string
		status           int
	}{
		{"the deadline is after the drain", "10000", http.StatusServiceUnavailable},
		{"the deadline is within the drain", "1500", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var elapsed atomic.Int64
			elapsed.Store(int64(2 * time.Second))
			refuseFirst := func(w http.ResponseWriter, r *http.Request) {
				if elapsed.CompareAndSwap(int64(2*time.Second), int64(3300*time.Millisecond)) {
					w.Header().Set("X-Not-Executed", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				echo(w, r)
			}
			ti := newTestIngress(t, refuseFirst, refuseFirst)
			ti.server.SinceShutdown = func() time.Duration { return time.Duration(elapsed.Load()) }
			request := ti.request(t, http.MethodPost, "/unsafe/x", "")
			request.Header.Set("X-Deadline-Ms", c.deadlineMs)
			response, _, err := ti.do(t, request)
			assertStatus(t, response, err, c.status)
			is.Equal(ti.runs.Load() == 1, c.status == http.StatusServiceUnavailable)
		})
	}
}

// TestAnswersAreNotDroppedLateInAStop guards against a stream that is dropped for a larger
// model's, which is then cut at the end of the drain.
func TestAnswersAreNotDroppedLateInAStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		model   string
	}{
		{"a usual time", 0, "large"},
		{"late in a stop", 3300 * time.Millisecond, "small"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var elapsed atomic.Int64
			ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
				elapsed.Store(int64(c.elapsed))
				w.Header().Set("X-Confidence", "0")
				startEvents(w, r, r.Header.Get("X-Model"))
				sendEvents(w, 1, 3)
			})
			ti.setModels(2, "small", "large")
			ti.server.SinceShutdown = func() time.Duration { return time.Duration(elapsed.Load()) }
			request := ti.request(t, http.MethodPost, "/sized/x", "")
			request.Header.Set("X-Model", "*")
			request.Header.Set("X-Token-Count", "100,10")
			response, _, err := ti.do(t, request)
			assertStatus(t, response, err, http.StatusOK)
			is.New(t).Equal(response.Header.Get("X-Server-Stamp"), c.model)
		})
	}
}

// TestAnswersAfterTheSignalCloseTheirConnections guards against a caller that sends its next
// request on a connection that is about to be closed, since the request before came in time.
func TestAnswersAfterTheSignalCloseTheirConnections(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"an answer": echo,
		"a stream":  func(w http.ResponseWriter, r *http.Request) { startEvents(w, r, "stamp"); sendEvents(w, 1, 3) },
		"a failure": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var elapsed atomic.Int64
			ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
				elapsed.Store(int64(time.Millisecond))
				handler(w, r)
			})
			ti.server.SinceShutdown = func() time.Duration { return time.Duration(elapsed.Load()) }
			response, _, err := ti.get(t, "/unsafe/x")
			is.NoErr(err)
			is.True(response.Close)
		})
	}
}
