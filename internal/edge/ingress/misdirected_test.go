package ingress

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// servesModels returns an upstream that answers 421 to other models.
func servesModels(models ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(models, r.Header.Get("X-Model")) {
			echo(w, r)
			return
		}
		misdirect(w, r)
	}
}

// misdirect is an upstream that answers 421 to every request.
func misdirect(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// newModelIngress starts an ingress server in front of three upstreams, which answer 421 to
// models that they do not serve. Callers of the route named choose their model.
func newModelIngress(t *testing.T, served ...string) *testIngress {
	t.Helper()
	upstream := servesModels(served...)
	ti := newTestIngress(t, upstream, upstream, upstream)
	ti.setModels(2, "small", "large")
	return ti
}

// setModels puts a configuration into force in which the route sized has the models.
func (ti *testIngress) setModels(version catalog.Version, models ...tables.ModelID) {
	split := []catalog.Share{{Service: "s", Weight: 1}}
	service := catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, Models: []catalog.Model{{Name: "small"}, {Name: "large"}}}}
	ti.server.Dispatcher.SetCatalog(&catalog.Catalog{
		Version: version,
		Routes: []catalog.Route{
			{Name: "sized", Host: "h", PathPrefix: "/sized/", Kind: catalog.Safe, Timeout: time.Minute, Split: split, MaxAttempts: 3, Models: models},
			{Name: "named", Host: "h", PathPrefix: "/named/", Kind: catalog.Safe, Timeout: time.Minute, Split: split, MaxAttempts: 3},
		},
		Services: []catalog.Service{service},
	})
}

// ask sends a request that names a model and returns its status.
func (ti *testIngress) ask(t *testing.T, path, model string) int {
	t.Helper()
	request := ti.request(t, http.MethodGet, path, "")
	request.Header.Set("X-Model", model)
	response, _, err := ti.do(t, request)
	is.New(t).NoErr(err)
	return response.StatusCode
}

// TestMisdirectedRequestsLeaveUpstreamsInUse guards against upstreams that are taken out of
// use for all callers since they answered 421 to a model that they do not serve.
func TestMisdirectedRequestsLeaveUpstreamsInUse(t *testing.T) {
	const requests = 12
	t.Run("a caller names a model of the configuration before", func(t *testing.T) {
		is := is.New(t)
		ti := newModelIngress(t, "small", "large")
		for range requests {
			is.Equal(ti.ask(t, "/named/x", "former"), http.StatusServiceUnavailable)
			is.Equal(ti.ask(t, "/sized/x", "*"), http.StatusOK)
			is.Equal(ti.ask(t, "/named/x", "large"), http.StatusOK)
		}
	})
	t.Run("a caller names no model where it has to", func(t *testing.T) {
		is := is.New(t)
		ti := newModelIngress(t, "small", "large")
		for range requests {
			is.Equal(ti.ask(t, "/named/x", "*"), http.StatusServiceUnavailable)
			is.Equal(ti.ask(t, "/sized/x", "*"), http.StatusOK)
		}
	})
	t.Run("the instance names a model of the configuration before", func(t *testing.T) {
		is := is.New(t)
		ti := newModelIngress(t, "large")
		for range requests {
			is.Equal(ti.ask(t, "/sized/x", "*"), http.StatusServiceUnavailable)
		}
		ti.setModels(3, "large")
		is.Equal(ti.ask(t, "/sized/x", "*"), http.StatusOK)
	})
	t.Run("a plain service answers 421 to one request", func(t *testing.T) {
		is := is.New(t)
		upstream := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/safe/odd" {
				misdirect(w, r)
				return
			}
			echo(w, r)
		}
		ti := newTestIngress(t, upstream, upstream)
		for range requests {
			is.Equal(ti.ask(t, "/safe/odd", ""), http.StatusServiceUnavailable)
			is.Equal(ti.ask(t, "/safe/x", ""), http.StatusOK)
		}
	})
}

// TestUnknownModelReachesOneUpstream guards against callers that use up the budget for
// repeats with a model that no upstream of the service has.
func TestUnknownModelReachesOneUpstream(t *testing.T) {
	is := is.New(t)
	ti := newModelIngress(t, "small", "large")
	is.Equal(ti.ask(t, "/named/x", "former"), http.StatusServiceUnavailable)
	is.Equal(ti.runs.Load(), int64(1))
}

// TestReusedAddressIsAvoided guards against requests that go to an address at which another
// upstream answers.
func TestReusedAddressIsAvoided(t *testing.T) {
	t.Run("the other upstream does not say who it is", func(t *testing.T) {
		is := is.New(t)
		const requests = 40
		ti := newTestIngress(t, echo, misdirect)
		for range requests {
			is.Equal(ti.ask(t, "/unsafe/x", ""), http.StatusOK)
		}
		is.Equal(ti.runs.Load(), int64(requests+1))
	})
	t.Run("the other upstream says who it is, and there is no other", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Instance-Id", "u7")
			misdirect(w, r)
		})
		for range 4 {
			is.Equal(ti.ask(t, "/unsafe/x", ""), http.StatusServiceUnavailable)
		}
		is.Equal(ti.runs.Load(), int64(1))
	})
	t.Run("the upstream itself does not serve the model", func(t *testing.T) {
		is := is.New(t)
		ti := newTestIngress(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Instance-Id", "u0")
			servesModels("small", "large")(w, r)
		})
		ti.setModels(2, "small", "large")
		is.Equal(ti.ask(t, "/named/x", "former"), http.StatusServiceUnavailable)
		is.Equal(ti.ask(t, "/sized/x", "*"), http.StatusOK)
	})
}
