package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
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
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/engine"
	"mimosayard/internal/standin/plainservice"
	"mimosayard/internal/standin/platform"
)

// A testFleet is a platform, upstreams and instances in one process.
type testFleet struct {
	t         *testing.T
	settings  settings.Settings
	platform  string
	instances []*testInstance
	// desk is the address of the plain service.
	desk string
	// engines and deskServer are the upstreams.
	engines    []*testUpstream
	deskServer *testUpstream
}

// A testInstance is an instance whose links to the upstreams can be cut.
type testInstance struct {
	*Instance
	callers string
	// stop begins the instance's shutdown.
	stop context.CancelFunc
	cut  atomic.Bool
}

const waitTimeout = 20 * time.Second

var fleetCount atomic.Int64

// startServer starts a stand-in and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// newTestFleet starts a platform, three engines, a plain service and instances, and waits
// until the instances know each other and serve.
func newTestFleet(t *testing.T, instances int) *testFleet {
	t.Helper()
	return newTestFleetWithSettings(t, instances, settings.Settings{BalancerLag: 10})
}

// newTestFleetWithSettings is newTestFleet with the settings of the instances. Addresses and
// names are filled in.
func newTestFleetWithSettings(t *testing.T, instances int, common settings.Settings) *testFleet {
	t.Helper()
	f := &testFleet{t: t, settings: common, platform: "http://" + startServer(t, (&platform.Server{}).Handler())}
	pool := tables.Pool{Name: "small", Service: "llm", Kind: tables.KindModel, Model: "small", Version: "v1", PromptCost: 1, AnswerCost: 1, Concurrency: 64}
	for n := range 3 {
		server := &testUpstream{Handler: (&engine.Server{Model: "small", Version: "v1", Quality: 1, Slots: 64, FirstTokenDelay: time.Millisecond, TokenInterval: 5 * time.Millisecond}).Handler()}
		f.engines = append(f.engines, server)
		address := startServer(t, server)
		pool.Upstreams = append(pool.Upstreams, tables.Upstream{Name: tables.UpstreamID(fmt.Sprintf("small-%d", n)), Address: address, DataCenter: "dc-0"})
	}
	f.deskServer = &testUpstream{Handler: (&plainservice.Server{}).Handler()}
	f.desk = startServer(t, f.deskServer)
	desk := tables.Pool{
		Name: "desk", Service: "orders", Kind: tables.KindPlain, CallCost: 1, Concurrency: 64,
		Upstreams: []tables.Upstream{{Name: "desk-0", Address: f.desk, DataCenter: "dc-0"}},
	}
	f.put(KeyPools, tables.PoolsTable{Pools: []tables.Pool{pool, desk}})
	f.put(KeyRoutes, tables.RoutesTable{Routes: []tables.Route{
		{Team: "team", Service: "llm", Class: "chat", Credentials: []string{tables.HashCredential("team")}, Pools: []tables.PoolID{"small"}, Deadline: 5000, Idempotent: true},
		{Team: "team", Service: "orders", Class: "place", Credentials: []string{tables.HashCredential("team")}, Methods: []string{"POST"}, Pools: []tables.PoolID{"desk"}, Deadline: 5000},
	}})
	group := &errgroup.Group{}
	t.Cleanup(func() {
		for _, i := range f.instances {
			i.stop()
		}
		_ = group.Wait()
	})
	subnet := fmt.Sprintf("127.%d.%d", 192+os.Getpid()%60, 100+fleetCount.Add(1))
	for n := range instances {
		ctx, cancel := context.WithCancel(context.Background())
		i := f.newInstance(n, subnet)
		i.stop = cancel
		f.instances = append(f.instances, i)
		group.Go(func() error { return i.Run(ctx) })
	}
	for n, i := range f.instances {
		f.await(fmt.Sprintf("instance %d knows the others and serves", n), func() bool {
			return len(i.node.Members()) == instances && f.chat(n) == http.StatusOK
		})
	}
	return f
}

func (f *testFleet) newInstance(n int, subnet string) *testInstance {
	f.t.Helper()
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", subnet, n+10, port) }
	s := f.settings
	s.Instance = tables.InstanceID(fmt.Sprintf("router-%d", n))
	s.DataCenter = "dc-0"
	s.CallersAddress, s.OperatorsAddress, s.PeersAddress = address(8080), address(8081), address(8082)
	s.PlatformURL = f.platform
	s.PeerKey = []byte("a key for the tests of the links")
	s.SeedPeers = []string{subnet + ".10:8082", subnet + ".11:8082"}
	data, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	s, err = settings.Parse("test", data)
	if err != nil {
		f.t.Fatal(err)
	}
	i := &testInstance{Instance: New(s, zap.NewNop()), callers: address(8080)}
	i.dialer.Direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if i.cut.Load() {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		return connect.Direct(ctx, network, address)
	}
	return i
}

func (f *testFleet) put(key objects.Key, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = (&objects.Client{BaseURL: f.platform}).Put(f.t.Context(), key, 0, data)
	is.New(f.t).NoErr(err)
}

// send sends a request to an instance.
func (f *testFleet) send(index int, path, body string) (*http.Response, error) {
	return f.sendOn(http.DefaultClient, index, path, body)
}

// sendOn sends a request to an instance on the connections of a client.
func (f *testFleet) sendOn(client *http.Client, index int, path, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.instances[index].callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer team")
	return client.Do(request)
}

// post sends a request to an instance and returns the status, zero if the answer is not
// complete.
func (f *testFleet) post(index int, path, body string) int {
	response, err := f.send(index, path, body)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (f *testFleet) chat(index int) int {
	return f.post(index, chatPath, chatBody)
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"llm","stream":true,"messages":[{"role":"user","content":"how do I dress this wheel"}]}`
)

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

// TestCallersOfCutInstancesAreServed guards against callers of the product's own interface
// that are turned away because they came to an instance that has lost its own links.
func TestCallersOfCutInstancesAreServed(t *testing.T) {
	const requests = 30
	f := newTestFleet(t, 3)
	f.instances[0].cut.Store(true)
	f.instances[0].upstreams.Reconnect()
	for name, send := range map[string]func() int{
		"models":         func() int { return f.chat(0) },
		"plain services": func() int { return f.post(0, "/services/orders/deposits", `{}`) },
	} {
		t.Run(name, func(t *testing.T) {
			served := 0
			for range requests {
				if status := send(); status == http.StatusOK || status == http.StatusCreated {
					served++
				}
			}
			t.Logf("served %d of %d", served, requests)
			is.New(t).True(served*3 >= requests*2)
		})
	}
}

// TestUnreachedCallsLeaveTheRetryBudget guards against requests that are given up because
// others used the retry budget for calls that reached no upstream.
func TestUnreachedCallsLeaveTheRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1)
	f.instances[0].cut.Store(true)
	f.instances[0].upstreams.Reconnect()
	for range 60 {
		is.True(f.chat(0) != http.StatusOK)
	}
	is.True(f.instances[0].router.AllowRetry(time.Now()))
}

// TestStoppingPeerFinishesRelays guards against streams of a cut instance that break
// because the peer that carries them is stopped.
func TestStoppingPeerFinishesRelays(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2)
	f.instances[0].cut.Store(true)
	f.instances[0].upstreams.Reconnect()
	f.await("chats go through the peer", func() bool { return f.chat(0) == http.StatusOK })
	response, err := f.send(0, chatPath, chatBody)
	is.NoErr(err)
	defer response.Body.Close()
	f.instances[1].stop()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
}
