package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/standin/sharedplatform"
	"mimosayard/internal/telemetry/logs"
)

// A testFleet is a store, upstreams and instances in one process.
type testFleet struct {
	t         *testing.T
	shared    settings.SharedPlatform
	subnet    string
	store     *httptest.Server
	upstreams []*httptest.Server
	standIns  []*sharedplatform.Upstream
	instances []*testInstance
	running   errgroup.Group
	requests  atomic.Int64
}

// A testInstance is an instance whose links to the upstreams can be cut.
type testInstance struct {
	*Instance
	callers string
	// stop begins the instance's shutdown.
	stop context.CancelFunc
	// cut connects in place of the own links while it is not nil.
	cut atomic.Pointer[connect.DialFunc]
}

// waitTimeout bounds each wait of a test. It ends only tests that have failed.
const waitTimeout = 10 * time.Second

// eventsPerStream is the number of events of a stream, one each 10 ms.
const eventsPerStream = 40

var fleetCount atomic.Int64

// refusedLink fails at once, as a link that a firewall rejects.
func refusedLink(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// hangingLink does not answer within the time for connecting.
func hangingLink(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
	case <-time.After(400 * time.Millisecond):
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// start starts an instance, which the end of the test stops.
func (f *testFleet) start(i *testInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	f.instances = append(f.instances, i)
	f.running.Go(func() error { return i.Run(ctx) })
}

// newTestFleet starts a store, upstreams and instances, and waits until all serve.
func newTestFleet(t *testing.T, instances, upstreams int) *testFleet {
	t.Helper()
	return newTestFleetWithGrace(t, instances, upstreams, 2)
}

// newTestFleetWithGrace is newTestFleet with the grace period of the instances.
func newTestFleetWithGrace(t *testing.T, instances, upstreams int, grace settings.Seconds) *testFleet {
	t.Helper()
	return newTestFleetWithSettings(t, instances, upstreams, settings.SharedPlatform{StopGrace: grace})
}

// newTestFleetWithSettings is newTestFleet with settings of the instances, without the addresses.
func newTestFleetWithSettings(t *testing.T, instances, upstreams int, shared settings.SharedPlatform) *testFleet {
	t.Helper()
	f := &testFleet{t: t, shared: shared, subnet: fmt.Sprintf("127.%d.%d", 192+os.Getpid()%60, fleetCount.Add(1))}
	f.store = httptest.NewServer((&sharedplatform.Store{}).Handler())
	t.Cleanup(f.store.CloseClientConnections)
	f.putObject("config", "main", `{"version":3,"routes":[`+testRoute("safe", "safe")+`,`+testRoute("unsafe", "unsafe")+`,`+testRoute("stream", "streaming")+`,
		{"name":"quick","hostname":"h","path_prefix":"/quick/","kind":"safe","timeout_ms":600,"target_latency_ms":100,"service":"s","max_attempts":3}],
		"services":[{"name":"s"}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576}}`)
	for n := range upstreams {
		id := fmt.Sprintf("i-%d", n)
		standIn := &sharedplatform.Upstream{ID: id, EventsPerStream: eventsPerStream, EventInterval: 10 * time.Millisecond}
		server := httptest.NewServer(standIn.Handler())
		f.standIns = append(f.standIns, standIn)
		t.Cleanup(server.CloseClientConnections)
		f.upstreams = append(f.upstreams, server)
		f.putObject("servers", id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc-0","version":"v1","slots":64,"state":"ready","born":7,"sequence":1}`,
			server.Listener.Addr()))
	}
	t.Cleanup(func() {
		for _, i := range f.instances {
			i.stop()
		}
		_ = f.running.Wait()
	})
	for n := range instances {
		f.start(f.newInstance(n))
	}
	for n, i := range f.instances {
		f.await(fmt.Sprintf("instance %d knows the others and serves", n), func() bool {
			return len(i.node.Members()) == instances && f.status(n, "GET", "/safe/x") == http.StatusOK
		})
	}
	return f
}

func testRoute(name, kind string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h","path_prefix":"/%s/","kind":%q,"timeout_ms":5000,"target_latency_ms":1000,
		"service":"s","max_attempts":3,"resumable":true}`, name, name, kind)
}

func (f *testFleet) newInstance(n int) *testInstance {
	f.t.Helper()
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", f.subnet, n+10, port) }
	shared := f.shared
	shared.StoreAddress, shared.ReadyAddress = f.store.Listener.Addr().String(), address(8083)
	data, err := json.Marshal(settings.Settings{
		Instance:         tables.InstanceID(fmt.Sprintf("entry-%d", n)),
		DataCenter:       tables.DataCenterID(fmt.Sprintf("dc-%d", n%2)),
		CallersAddress:   address(8080),
		OperatorsAddress: address(8081),
		PeersAddress:     address(8082),
		PeerKey:          []byte("a key for the tests of the links"),
		SeedPeers:        []string{f.subnet + ".10:8082", f.subnet + ".11:8082"},
		BalancerLag:      10,
		Shared:           &shared,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	s, err := settings.Load(file)
	if err != nil {
		f.t.Fatal(err)
	}
	i := &testInstance{Instance: New(s, file, logs.NewRing(), zap.NewNop()), callers: address(8080)}
	i.dialer.Direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut := i.cut.Load(); cut != nil {
			return (*cut)(ctx, network, address)
		}
		return connect.Direct(ctx, network, address)
	}
	return i
}

// cutLinks replaces the own links of an instance, or restores them if dial is nil.
func (i *testInstance) cutLinks(dial connect.DialFunc) {
	if dial == nil {
		i.cut.Store(nil)
		return
	}
	i.cut.Store(&dial)
}

func (f *testFleet) putObject(kind, name, spec string) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, f.store.URL+"/objects/"+kind+"/"+name,
		strings.NewReader(`{"metadata":{},"spec":`+spec+`}`))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	is.New(f.t).Equal(response.StatusCode, http.StatusOK)
}

// send sends a request with a new ID to an instance.
func (f *testFleet) send(index int, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.instances[index].callers+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("id-%d", f.requests.Add(1)))
	return http.DefaultClient.Do(request)
}

// status sends a request to an instance and returns the status, zero if the answer is
// not complete.
func (f *testFleet) status(index int, method, path string) int {
	response, err := f.send(index, method, path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// servedCount returns how many of the requests to an instance are served. It sends one
// in each interval.
func (f *testFleet) servedCount(index, requests int, interval time.Duration) int64 {
	return f.servedOn(index, requests, interval, "/safe/x", "/unsafe/x", "/stream/x")
}

// servedByEach returns how many of the requests to each instance are served. They go to the
// paths in turn.
func (f *testFleet) servedByEach(requests int, interval time.Duration, paths ...string) []int64 {
	group := &errgroup.Group{}
	served := make([]int64, len(f.instances))
	for n := range f.instances {
		group.Go(func() error {
			served[n] = f.servedOn(n, requests, interval, paths...)
			return nil
		})
	}
	_ = group.Wait()
	return served
}

// servedOn returns how many of the requests to an instance are served. They go to the paths
// in turn.
func (f *testFleet) servedOn(index, requests int, interval time.Duration, paths ...string) int64 {
	var served atomic.Int64
	group := &errgroup.Group{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := range requests {
		method, path := "GET", paths[n%len(paths)]
		group.Go(func() error {
			if f.status(index, method, path) == http.StatusOK {
				served.Add(1)
			}
			return nil
		})
		<-ticker.C
	}
	_ = group.Wait()
	return served.Load()
}

func (f *testFleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			f.t.Fatalf("timed out waiting until %s", what)
		case <-ticker.C:
		}
	}
}

// TestQuickCallsFindLostLinks guards against links that stay in use because all calls are
// given up before their connections time out.
func TestQuickCallsFindLostLinks(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 4)
	f.instances[0].cutLinks(hangingLink)
	f.await("quick calls are served", func() bool { return f.status(0, "GET", "/quick/x") == http.StatusOK })
	is.True(f.instances[0].dispatcher.Links().AllLost())
}

// TestStoppingPeerFinishesRelays guards against streams of a cut instance that break
// because the peer that carries them is stopped.
func TestStoppingPeerFinishesRelays(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 4)
	f.instances[0].cutLinks(refusedLink)
	f.await("streams go through the peer", func() bool {
		return f.status(0, "GET", "/stream/x") == http.StatusOK && f.instances[0].dispatcher.Links().AllLost()
	})
	f.await("those streams have ended", func() bool { return f.instances[1].node.Relays() == 0 })
	response, err := f.send(0, "GET", "/stream/x")
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(f.instances[1].node.Relays(), int64(1))
	f.instances[1].stop()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "id:"), eventsPerStream)
}

// TestCallersOfCutInstancesAreServed guards against callers that are turned away because
// they came to instances that have lost their own links to the upstreams.
func TestCallersOfCutInstancesAreServed(t *testing.T) {
	for name, link := range map[string]connect.DialFunc{"hanging": hangingLink, "refused": refusedLink} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const requests = 60
			f := newTestFleet(t, 4, 4)
			for _, i := range f.instances[:2] {
				i.cutLinks(link)
			}
			for n := range f.instances[:2] {
				f.servedCount(n, 30, 30*time.Millisecond)
				served := f.servedCount(n, requests, 10*time.Millisecond)
				t.Logf("instance %d served %d of %d", n, served, requests)
				is.New(t).True(served*3 >= requests*2)
			}
		})
	}
}
