package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/settings"
	"mimosayard/platform"
)

// evacuationBound is the time after which an evacuated data centre must get no requests.
const evacuationBound = 5 * time.Second

// evacuated reports whether all instances evacuate the data centres, and no other.
func (f *testFleet) evacuated(dataCenters ...tables.DataCenterID) bool {
	for _, i := range f.instances {
		if fmt.Sprint(i.dispatcher.Evacuations()) != fmt.Sprint(dataCenters) {
			return false
		}
	}
	return true
}

// addRefusedInstance starts an instance that the store refuses, and waits until it serves.
func (f *testFleet) addRefusedInstance() {
	f.t.Helper()
	store := f.store
	f.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	f.t.Cleanup(f.store.Close)
	n := len(f.instances)
	i := f.newInstance(n)
	f.store = store
	f.start(i)
	f.await("the refused instance serves", func() bool { return f.status(n, http.MethodGet, "/safe/x") == http.StatusOK })
}

// TestEvacuationIsInForceEverywhere guards against calls to an evacuated data centre, from any
// instance, also one that the store refuses, and against an older document that ends the
// evacuation.
func TestEvacuationIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithSettings(t, 2, 2, settings.SharedPlatform{StopGrace: 2, EvacuateMS: float64(evacuationBound.Milliseconds())})
	f.putObject("servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc-1","version":"v1","slots":64,"state":"ready","born":7,"sequence":2}`,
		f.upstreams[1].Listener.Addr()))
	f.addRefusedInstance()
	old, oldVersion, ok := f.instances[0].snapshot(string(platform.KindEvacuations))
	is.True(ok)

	f.putObject("evacuations", "dc-1", `{}`)
	acknowledged := time.Now()
	f.await("the evacuation is in force everywhere", func() bool { return f.evacuated("dc-1") })
	is.True(time.Since(acknowledged) <= evacuationBound)
	inForce := time.Now()
	for n := range 60 {
		is.Equal(f.status(n%3, http.MethodGet, "/safe/x"), http.StatusOK)
	}
	is.Equal(f.standIns[1].ArrivalsSince(inForce), 0)

	for _, i := range f.instances {
		i.applyDocument(string(platform.KindEvacuations), oldVersion, old)
	}
	is.True(f.evacuated("dc-1"))

	f.putObject("evacuations", "dc-0", `{}`)
	f.await("both are evacuated", func() bool { return f.evacuated("dc-0", "dc-1") })
	for n := range f.instances {
		response, err := f.send(n, http.MethodGet, "/safe/x")
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
	}
	for _, dataCenter := range []string{"dc-0", "dc-1"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, f.store.URL+"/objects/evacuations/"+dataCenter, http.NoBody)
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	f.await("the evacuations have ended", func() bool { return f.evacuated() && f.allServe("/safe/x") })
}

// startWithoutEvacuations starts a fleet of one, where dc-1 is evacuated and the store refuses to
// list the evacuations until refused is false. The instance knows all else.
func startWithoutEvacuations(t *testing.T, started time.Time) (f *testFleet, refused *atomic.Bool) {
	t.Helper()
	f = newTestFleetWithSettings(t, 0, 2, settings.SharedPlatform{StopGrace: 2, EvacuateMS: float64(evacuationBound.Milliseconds())})
	f.putObject("servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc-1","version":"v1","slots":64,"state":"ready","born":7,"sequence":2}`,
		f.upstreams[1].Listener.Addr()))
	f.putObject("evacuations", "dc-1", `{}`)
	refused = &atomic.Bool{}
	refused.Store(true)
	handler := f.store.Config.Handler
	f.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if refused.Load() && strings.Contains(request.URL.Path, string(platform.KindEvacuations)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, request)
	}))
	t.Cleanup(f.store.CloseClientConnections)
	i := f.newInstance(0)
	i.started = started
	f.start(i)
	f.await("the instance knows the configuration and the upstreams", func() bool {
		return i.dispatcher.Index() != nil && i.dispatcher.UsableUpstreamCount() == 2 && f.status(0, http.MethodGet, "/safe/x") > 0
	})
	return f, refused
}

// TestInstanceWaitsForTheEvacuations guards against calls to an evacuated data centre after all
// instances have started anew, while the store does not list the evacuations.
func TestInstanceWaitsForTheEvacuations(t *testing.T) {
	is := is.New(t)
	f, refused := startWithoutEvacuations(t, time.Now())
	is.True(f.instances[0].checkReady() != nil)
	for range 20 {
		is.Equal(f.status(0, http.MethodGet, "/safe/x"), http.StatusServiceUnavailable)
	}
	refused.Store(false)
	f.await("the instance serves", func() bool { return f.status(0, http.MethodGet, "/safe/x") == http.StatusOK })
	is.NoErr(f.instances[0].checkReady())
	is.True(f.evacuated("dc-1"))
	is.Equal(f.standIns[1].ArrivalsSince(time.Time{}), 0)
}

// TestInstanceServesWithoutTheEvacuations guards against a fleet that stays out of service as long
// as the store does not list the evacuations.
func TestInstanceServesWithoutTheEvacuations(t *testing.T) {
	f, _ := startWithoutEvacuations(t, time.Now().Add(-evacuationBound))
	is.New(t).NoErr(f.instances[0].checkReady())
	is.New(t).Equal(f.status(0, http.MethodGet, "/safe/x"), http.StatusOK)
}
