package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/settings"
)

// A sharedFleet is a set of instances on a shared platform, which consists of a
// store and the upstreams that the store lists.
type sharedFleet struct {
	*fleet
	// configVersion is the version of the configuration written last.
	configVersion int
	// program is the program of the instances that are started.
	program string
	// requestCount numbers the requests, for their IDs.
	requestCount atomic.Int64
}

const (
	sharedHost = "fleet.example"
	// validKey stays valid throughout a test.
	validKey = "raft-key"
	// revocableKey is valid until a test revokes it.
	revocableKey = "desk-key"
	// present is the program of the present code.
	present = "mimosayard"
)

// newSharedFleet starts a store, two upstreams and a number of instances, and
// waits until all serve. Only the first withStore instances can reach the store.
func newSharedFleet(t *testing.T, instances, withStore int) *sharedFleet {
	t.Helper()
	return newSharedFleetOf(t, present, instances, withStore)
}

// newSharedFleetOf is newSharedFleet with the program of the instances.
func newSharedFleetOf(t *testing.T, program string, instances, withStore int) *sharedFleet {
	t.Helper()
	f := &sharedFleet{program: program, fleet: &fleet{
		t:         t,
		subnet:    fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, nextSubnet.Add(1)),
		directory: t.TempDir(),
		upstreams: map[string]*process{},
	}}
	f.platform = f.startProgram("standins", "store", "-address", f.platformAddress())
	f.awaitHTTP(f.platformURL() + "/admin/counts")
	f.putConfiguration(validKey, revocableKey)
	for _, id := range []string{"i-1", "i-2"} {
		address := fmt.Sprintf("%s.%d:7400", f.subnet, 29+len(f.upstreams))
		f.upstreams[id] = f.startProgram("standins", "server", "-address", address, "-id", id, "-events", "8", "-pause", "20ms")
		f.awaitHTTP("http://" + address + "/admin/runs")
		f.putObject("servers", id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"dc-1","version":"v1","slots":8,"state":"ready","born":7,"sequence":1}`, address))
	}
	for n := range instances {
		f.instances = append(f.instances, f.startSharedInstance(n, n >= withStore))
	}
	for n := range instances {
		f.await(fmt.Sprintf("router %d is ready", n), func() bool { return f.callStatus(n, "GET", "/safe/x", validKey) == http.StatusOK })
	}
	return f
}

// startSharedInstance starts an instance and returns without waiting for it to
// be ready.
func (f *sharedFleet) startSharedInstance(index int, storeUnreachable bool) *instance {
	f.t.Helper()
	storeAddress := f.platformAddress()
	if storeUnreachable {
		storeAddress = f.subnet + ".9:7000"
	}
	s := settings.Settings{
		Instance:         tables.InstanceID(fmt.Sprintf("shared-%d", index+1)),
		DataCenter:       tables.DataCenterID(fmt.Sprintf("dc-%d", index%2)),
		CallersAddress:   f.address(index, 8080),
		OperatorsAddress: f.address(index, 8081),
		PeersAddress:     f.address(index, 8082),
		PeerKey:          []byte("a key for the tests of the peers"),
		SeedPeers:        []string{f.address(0, 8082)},
		Shared:           &settings.SharedPlatform{StoreAddress: storeAddress, ReadyAddress: f.address(index, 8083), StopGrace: 4},
	}
	file := f.writeJSON(string(s.Instance)+".json", s)
	return &instance{f.startProgram(f.program, "serve", "-settings", file), s}
}

// putConfiguration writes a new version of the configuration with the API keys
// of the only team.
func (f *sharedFleet) putConfiguration(keys ...string) {
	f.t.Helper()
	f.putObject("config", "main", f.nextConfiguration(keys...))
}

// nextConfiguration returns a new version of the configuration with the API keys of
// the only team.
func (f *sharedFleet) nextConfiguration(keys ...string) string {
	f.t.Helper()
	f.configVersion += 3
	keysJSON, err := json.Marshal(keys)
	if err != nil {
		f.t.Fatal(err)
	}
	route := func(kind string) string {
		return fmt.Sprintf(`{"name":"r-%s","hostname":%q,"path_prefix":"/%s/","kind":%q,"timeout_ms":20000,
			"target_latency_ms":1000,"service":"s","max_attempts":3,"resumable":true}`, kind, sharedHost, kind, kind)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"s"}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"team","api_keys":%s}]}`,
		f.configVersion, route("safe"), route("unsafe"), strings.Replace(route("streaming"), "/streaming/", "/stream/", 1), keysJSON)
}

// putObject writes an object to the store.
func (f *sharedFleet) putObject(kind, name, spec string) {
	f.t.Helper()
	f.put(f.objectURL(kind, name), `{"metadata":{},"spec":`+spec+`}`)
}

func (f *sharedFleet) objectURL(kind, name string) string {
	return fmt.Sprintf("%s/objects/%s/%s", f.platformURL(), kind, name)
}

// newRequest returns a request to an instance, with a new ID.
func (f *sharedFleet) newRequest(index int, method, path, key string) *http.Request {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address(index, 8080)+path, strings.NewReader(""))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = sharedHost
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("id-%d", f.requestCount.Add(1)))
	request.Header.Set("X-Credential", key)
	return request
}

// callStatus sends a request and returns the status, zero if there is no answer.
func (f *sharedFleet) callStatus(index int, method, path, key string) int {
	f.t.Helper()
	response, err := httpClient.Do(f.newRequest(index, method, path, key))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// setFaults replaces the injected faults of an upstream.
func (f *sharedFleet) setFaults(id, faults string) {
	f.t.Helper()
	f.put(f.upstreamURL(id)+"/admin/faults", faults)
}

// upstreamURL returns the URL of an upstream.
func (f *sharedFleet) upstreamURL(id string) string {
	return fmt.Sprintf("http://%s.%d:7400", f.subnet, map[string]int{"i-1": 29, "i-2": 30}[id])
}

// executionCounts returns how often the upstreams have run each request, by
// request ID.
func (f *sharedFleet) executionCounts() map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for upstream := range f.upstreams {
		upstreamCounts := map[string]int{}
		if !f.getJSON(f.upstreamURL(upstream)+"/admin/runs", &upstreamCounts) {
			f.t.Fatalf("upstream %s does not report its execution counts", upstream)
		}
		for id, count := range upstreamCounts {
			counts[id] += count
		}
	}
	return counts
}

// TestSharedPlatform guards against failures of instances on a shared platform:
// one that cannot reach the store and keeps an old configuration, a store that
// has lost its history of changes, upstreams that break streams or lose answers,
// and a graceful stop with open streams.
func TestSharedPlatform(t *testing.T) {
	t.Parallel()
	f := newSharedFleet(t, 2, 1)
	t.Run("an instance that cannot reach the store learns of a revoked key", func(t *testing.T) {
		is := is.New(t)
		is.Equal(f.callStatus(1, "GET", "/safe/x", revocableKey), http.StatusOK)
		f.putConfiguration(validKey)
		f.await("the key is refused", func() bool { return f.callStatus(1, "GET", "/safe/x", revocableKey) == http.StatusUnauthorized })
		is.Equal(f.callStatus(1, "GET", "/safe/x", validKey), http.StatusOK)
	})
	t.Run("a broken stream is resumed at another upstream", func(t *testing.T) {
		f.setFaults("i-1", `{"break_after":3}`)
		assertEventStream(t, f, 1, func() {})
		f.setFaults("i-1", `{}`)
	})
	t.Run("a non-idempotent request is not retried after a lost answer", func(t *testing.T) {
		is := is.New(t)
		for _, id := range []string{"i-1", "i-2"} {
			f.setFaults(id, `{"lose_answers":true}`)
		}
		request := f.newRequest(0, "POST", "/unsafe/x", validKey)
		response, err := httpClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusBadGateway)
		for _, id := range []string{"i-1", "i-2"} {
			f.setFaults(id, `{}`)
		}
		is.Equal(f.executionCounts()[request.Header.Get("X-Attempt-Id")], 1)
	})
	t.Run("a change arrives although the store has lost its history", func(*testing.T) {
		f.put(f.platformURL()+"/admin/faults", `{"forget":true}`)
		f.putConfiguration(validKey, "third-key")
		f.await("the new key is accepted", func() bool { return f.callStatus(1, "GET", "/safe/x", "third-key") == http.StatusOK })
	})
	t.Run("a graceful stop interrupts no stream", func(t *testing.T) {
		is := is.New(t)
		const streams = 4
		group := newGroup()
		began := make(chan struct{}, streams)
		for range streams {
			group.Go(func() error {
				assertEventStream(t, f, 0, func() { began <- struct{}{} })
				return nil
			})
		}
		for range streams {
			<-began
		}
		is.Equal(f.instances[0].stop(), 0)
		is.NoErr(group.Wait())
	})
}

// assertEventStream reads a stream to its end and checks that it is complete. It
// calls began once, after the first read or on failure.
func assertEventStream(t *testing.T, f *sharedFleet, index int, began func()) {
	t.Helper()
	signalBegan := sync.OnceFunc(began)
	defer signalBegan()
	response, err := httpClient.Do(f.newRequest(index, "GET", "/stream/x", validKey))
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := response.Body.Read(buffer)
		text.Write(buffer[:count])
		signalBegan()
		if err != nil {
			break
		}
	}
	if text.String() != completeEventStream() {
		t.Errorf("incomplete or wrong event stream: %q", text.String())
	}
}
