package crowds

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/programs"
	"mimosayard/internal/instance/settings"
)

// A door is an instance with the address that its callers use.
type door struct {
	t       *testing.T
	process *programs.Process
	address string
	// head holds the host and the credential of every request, as lines.
	head string
	// plain, large and stream are the request lines and, for a chat, the body of
	// requests for a small answer, a large one and a long stream.
	plain, large, stream string
	streamBody           string
}

const (
	// memoryMB is the memory of the instance. The Go heap may take 70% of it.
	// The smallest that leaves room for the program's text, about 15 MB.
	memoryMB = 96
	// descriptors is the limit on the open files of the instance.
	descriptors = 400
	// maxBodyBytes is the limit on a body.
	maxBodyBytes = 1 << 20
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

var (
	runCrowds = flag.Bool("crowds", false, "run the tests with crowds of callers")
	// binaryDirectory holds the programs that TestMain built.
	binaryDirectory string
	subnetCount     int
	client          = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
)

// TestMain builds the programs before the tests and removes them afterwards.
func TestMain(m *testing.M) {
	flag.Parse()
	if !*runCrowds {
		os.Exit(m.Run())
	}
	os.Exit(programs.RunTests(m, &binaryDirectory))
}

// nextSubnet returns the first three bytes of the addresses of a test.
func nextSubnet() string {
	subnetCount++
	return fmt.Sprintf("127.%d.%d", 32+os.Getpid()%32, subnetCount)
}

// newSharedDoor starts an instance on a shared platform with one upstream, whose
// answers are large for the paths with "/large".
func newSharedDoor(t *testing.T) *door {
	t.Helper()
	return newSharedDoorBehind(t, direct, direct)
}

// direct returns an address as it is.
func direct(address string) string { return address }

// newSharedDoorBehind is newSharedDoor with functions that return the addresses at which the
// instance reaches the store and the upstream, given their own.
func newSharedDoorBehind(t *testing.T, storeAt, upstreamAt func(address string) string) *door {
	t.Helper()
	subnet := nextSubnet()
	store, upstream := subnet+".1:7000", subnet+".2:7400"
	startStandIn(t, "store", "-address", store)
	startStandIn(t, "server", "-address", upstream, "-id", "i-1", "-events", "400", "-pause", "1ms")
	await(t, "http://"+store+"/admin/counts")
	await(t, "http://"+upstream+"/admin/runs")
	put(t, "http://"+upstream+"/admin/faults", fmt.Sprintf(`{"answer_bytes":%d,"event_bytes":%d}`, 4<<20, 16<<10))
	put(t, "http://"+store+"/objects/config/main", fmt.Sprintf(`{"metadata":{},"spec":{"version":1,"routes":[
		{"name":"r","hostname":"h.example","path_prefix":"/safe/","kind":"safe","timeout_ms":20000,"service":"s","max_attempts":3},
		{"name":"t","hostname":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":20000,"service":"s","max_attempts":3}],
		"services":[{"name":"s"}],"tenants":[{"name":"team","api_keys":["key"]}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}`, maxBodyBytes))
	put(t, "http://"+store+"/objects/servers/i-1", fmt.Sprintf(
		`{"metadata":{},"spec":{"service":"s","address":%q,"zone":"dc-1","version":"v1","slots":256,"state":"ready","born":7,"sequence":1}}`, upstreamAt(upstream)))
	d := &door{
		t: t, address: subnet + ".100:8080", head: "Host: h.example\r\nX-Attempt-Id: id\r\nX-Credential: key\r\n",
		plain: "POST /safe/x", large: "POST /safe/large", stream: "POST /stream/large",
	}
	d.start(settings.Settings{
		Instance: "shared-1", DataCenter: "dc-1",
		CallersAddress: d.address, OperatorsAddress: subnet + ".100:8081", PeersAddress: subnet + ".100:8082",
		Shared: &settings.SharedPlatform{StoreAddress: storeAt(store), ReadyAddress: subnet + ".100:8083", MemoryMB: memoryMB},
	})
	return d
}

// newOwnInterface starts an instance with the product's own interface, with one engine,
// whose answers are large, and one plain service.
func newOwnInterface(t *testing.T) *door {
	t.Helper()
	return newOwnInterfaceBehind(t, direct, direct, direct)
}

// newOwnInterfaceBehind is newOwnInterface with functions that return the addresses at which the
// instance reaches the platform, the engine and the plain service, given their own.
func newOwnInterfaceBehind(t *testing.T, platformAt, engineAt, deskAt func(address string) string) *door {
	t.Helper()
	subnet := nextSubnet()
	platform, engine, desk := subnet+".1:7000", subnet+".2:7100", subnet+".3:7200"
	startStandIn(t, "platform", "-address", platform)
	startStandIn(t, "engine", "-address", engine, "-slots", "256", "-first-token", "1ms", "-between-tokens", "1ms")
	startStandIn(t, "desk", "-address", desk)
	for _, address := range []string{platform, engine, desk} {
		await(t, "http://"+address+"/admin/counts")
	}
	put(t, "http://"+engine+"/admin/faults", fmt.Sprintf(`{"token_bytes":%d}`, 256<<10))
	put(t, "http://"+desk+"/admin/faults", fmt.Sprintf(`{"answer_bytes":%d}`, 4<<20))
	d := &door{
		t: t, address: subnet + ".100:8080", head: "Host: h.example\r\nAuthorization: Bearer team\r\n",
		plain: "POST /services/desk/x", large: "POST /services/desk/large", stream: "POST /v1/chat/completions",
		streamBody: `{"model":"chat","stream":true,"messages":[{"role":"user","content":"say much"}]}`,
	}
	put(t, "http://"+platform+"/admin/instances", fmt.Sprintf(`[{"name":"router-1","role":"entry","address":"%s.100:8082"}]`, subnet))
	d.start(settings.Settings{
		Instance: "router-1", DataCenter: "dc-1",
		CallersAddress: d.address, OperatorsAddress: subnet + ".100:8081", PeersAddress: subnet + ".100:8082",
		PlatformURL: "http://" + platformAt(platform), PeerKey: []byte("a key for the tests of the peers"),
		MaxBodyBytes: maxBodyBytes, SlowClientTimeout: 10000,
	})
	team := []string{tables.HashCredential("team")}
	routes := writeJSON(t, tables.RoutesTable{Routes: []tables.Route{
		{Team: "team", Service: "chat", Class: "chat", Credentials: team, Pools: []tables.PoolID{"small"}, QualityTarget: 0.5, Deadline: 30000, Idempotent: true},
		{Team: "team", Service: "desk", Class: "desk", Credentials: team, Pools: []tables.PoolID{"desk"}, Deadline: 30000, Idempotent: true},
	}})
	pools := writeJSON(t, tables.PoolsTable{Pools: []tables.Pool{
		{
			Name: "small", Service: "chat", Kind: tables.KindModel, Model: "small", Version: "v1", PromptCost: 1, AnswerCost: 1, Concurrency: 256,
			Upstreams: []tables.Upstream{{Name: "small-a", Address: engineAt(engine), DataCenter: "dc-1"}},
		},
		{
			Name: "desk", Service: "desk", Kind: tables.KindPlain, CallCost: 1, Concurrency: 256,
			Upstreams: []tables.Upstream{{Name: "desk-a", Address: deskAt(desk), DataCenter: "dc-1"}},
		},
	}})
	apply := exec.Command(filepath.Join(binaryDirectory, "mimosayard"), "apply", "-platform", "http://"+platform, "-routes", routes, "-pools", pools)
	if output, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, output)
	}
	return d
}

// start starts the instance with the limit on open files and on the Go heap, and
// waits until it answers an ordinary request. The shell is replaced by the
// program, which keeps its process ID.
func (d *door) start(s settings.Settings) {
	d.t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" serve -settings "$1"`, descriptors)
	command := exec.Command("sh", "-c", script, filepath.Join(binaryDirectory, "mimosayard"), writeJSON(d.t, s))
	command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%d", memoryMB*7<<20/10))
	d.process = programs.Start(d.t, command)
}

// ordinary sends a small request on a connection of its own and returns the status,
// zero if there is no answer.
func (d *door) ordinary() int {
	method, path, _ := strings.Cut(d.plain, " ")
	request, err := http.NewRequest(method, "http://"+d.address+path, strings.NewReader("small"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(strings.TrimSpace(d.head), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	request.Host = request.Header.Get("Host")
	request.Header.Del("Host")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func startStandIn(t *testing.T, args ...string) {
	t.Helper()
	programs.Start(t, exec.Command(filepath.Join(binaryDirectory, "standins"), args...))
}

// await waits until a URL answers.
func await(t *testing.T, url string) {
	t.Helper()
	awaitThat(t, url+" answers", func() bool {
		response, err := client.Get(url)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
}

// awaitThat polls until a condition holds. It fails the test after waitTimeout.
func awaitThat(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", event)
		}
	}
}

// put sends a PUT request and fails the test unless the status is 200.
func put(t *testing.T, url, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("PUT %s: status %s", url, response.Status)
	}
}

// writeJSON writes a value to a file and returns its path.
func writeJSON(t *testing.T, value any) string {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
