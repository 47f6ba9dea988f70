package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/net/budget"
	"mimosayard/platform"
)

// TestOtherCallersAnswersClearARepeatedRequest guards against a request that ends upstream
// after upstream because callers of another team are answered the same one, and against
// these callers being refused for it.
func TestOtherCallersAnswersClearARepeatedRequest(t *testing.T) {
	is := is.New(t)
	var ended atomic.Int64
	upstreams := make([]http.HandlerFunc, 8)
	for n := range upstreams {
		var down atomic.Bool
		upstreams[n] = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			switch {
			case down.Load():
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case r.Header.Get("X-Tenant") == "team":
				down.Store(true)
				ended.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
	}
	ti := newTestIngress(t, upstreams...)
	served := 0
	for range 6 {
		_, _, err := ti.getAs(t, "key", "/safe/x")
		is.NoErr(err)
		response, _, err := ti.getAs(t, "other key", "/safe/x")
		is.NoErr(err)
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	is.Equal(ended.Load(), int64(3))
	is.Equal(served, 6)
}

// TestCallerLeavesBeforeItsUpstreamEnds guards against an instance that does not connect the
// end of an upstream with the request whose caller left just before.
func TestCallerLeavesBeforeItsUpstreamEnds(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	ti := newTestIngress(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	})
	ctx, leave := context.WithCancel(t.Context())
	group := &errgroup.Group{}
	group.Go(func() error {
		_, _, err := ti.do(t, ti.request(t, http.MethodGet, "/safe/x", "").WithContext(ctx))
		return err
	})
	<-running
	leave()
	is.True(errors.Is(group.Wait(), context.Canceled))
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for ti.server.InFlight() > 0 {
		<-ticker.C
	}
	ti.upstreams[0].Close()
	response, _, err := ti.get(t, "/safe/another")
	assertStatus(t, response, err, http.StatusServiceUnavailable)
	is.True(ti.server.Dispatcher.SuspectsRequests())
}

// TestBodiesAreNotHashedUnderTheDispatchersLock guards against an instance that stands still while
// it hashes large bodies of answered requests, since upstreams have crashed during their calls.
func TestBodiesAreNotHashedUnderTheDispatchersLock(t *testing.T) {
	is := is.New(t)
	ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	})
	d := ti.server.Dispatcher
	sent := httptest.NewRequest(http.MethodGet, "http://h/safe/x", nil)
	sent.Header.Set("X-Attempt-Id", "id")
	x := &exchange{
		server: ti.server, writer: httptest.NewRecorder(), request: sent,
		arrived: time.Now(), metadata: platform.ParseRequestHeader(sent.Header),
		route: &catalog.Route{Name: "safe", Kind: catalog.Safe, Timeout: time.Minute, MaxAttempts: 1, Split: []catalog.Share{{Service: "s", Weight: 1}}},
	}
	x.controller = http.NewResponseController(x.writer)
	x.answerClaim.Init(ti.server.Budget, budget.AnswerFloor)
	request := x.dispatchRequest()
	hashed, underLock := 0, false
	x.contentPart = sync.OnceValue(func() quarantine.PartID {
		hashed++
		free := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			defer close(free)
			d.SuspectsRequests()
			return nil
		})
		select {
		case <-free:
		case <-time.After(time.Second):
			underLock = true
		}
		return x.hashContent()
	})
	request.ContentPart = x.contentPart
	task, fault := d.Admit(time.Now(), request)
	is.Equal(fault, nil)
	x.task = task
	call, fault := d.NextCall(time.Now(), task)
	is.Equal(fault, nil)
	d.RestoreQuarantine(time.Now(), []quarantine.PartID{"another"})
	_, err := x.makeCall(t.Context(), call)
	is.NoErr(err)
	is.Equal(hashed, 1)
	is.True(!underLock)
}
