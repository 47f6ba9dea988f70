package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
)

// A process is one program under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     *bytes.Buffer
	done    chan struct{}
}

// An instance is a router process with its settings.
type instance struct {
	*process
	settings settings.Settings
}

// A fleet is a set of routers before stand-ins, each a process on an address
// of its own.
type fleet struct {
	t         *testing.T
	subnet    string
	directory string
	platform  *process
	rater     *process
	upstreams map[string]*process
	instances []*instance
	// platformRelay is where the routers reach the platform, if not directly.
	platformRelay string
	// changeSettings changes the settings of routers, if set.
	changeSettings func(*settings.Settings)
	// relayTargets holds the addresses of upstreams that are reached by a relay.
	relayTargets map[tables.UpstreamID]string
	routes       tables.RoutesTable
	pools        tables.PoolsTable
}

const (
	// waitTimeout bounds the wait for an event. It is far above what any event
	// takes, so that it only ends a test that has failed.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	teamChat     = "raft-keepers"
	teamDesk     = "tourist-desks"
	modelService = "valodas-modelis"
	deskService  = "rezerv-serviss"
	poolSmallV1  = "small-v1"
	poolSmallV2  = "small-v2"
	poolLargeV1  = "large-v1"
	poolDesk     = "desk"
	dataCenter   = "daugavas-krasts"
)

var (
	binaryDirectory string
	nextSubnet      atomic.Int64
	httpClient      = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "mimosayard-processes-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaryDirectory = directory
	for _, name := range []string{"mimosayard", "standins"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, name), "mimosayard/cmd/"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n%s", name, err, output)
			return 1
		}
	}
	return m.Run()
}

// newFleet starts the stand-ins and a number of routers, applies the tables
// and waits until every router is ready and knows the others.
func newFleet(t *testing.T, instanceCount int, configure func(f *fleet)) *fleet {
	t.Helper()
	f := &fleet{
		t:            t,
		subnet:       fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, nextSubnet.Add(1)),
		directory:    t.TempDir(),
		upstreams:    map[string]*process{},
		relayTargets: map[tables.UpstreamID]string{},
	}
	f.fillTables()
	if configure != nil {
		configure(f)
	}
	f.platform = f.startProgram("standins", "platform", "-address", f.platformAddress())
	f.rater = f.startProgram("standins", "rater", "-address", f.subnet+".2:7300", "-delay", "50ms", "-share", "1")
	for _, pool := range f.pools.Pools {
		for _, upstream := range pool.Upstreams {
			if address, ok := f.relayTargets[upstream.Name]; ok {
				upstream.Address = address
			}
			f.upstreams[string(upstream.Name)] = f.startUpstream(pool, upstream)
		}
	}
	f.awaitHTTP("http://" + f.platformAddress() + "/admin/counts")
	var members []string
	for n := range instanceCount {
		members = append(members, fmt.Sprintf(`{"name":"router-%d","role":"entry","address":"%s"}`, n+1, f.address(n, 8082)))
	}
	f.put("http://"+f.platformAddress()+"/admin/instances", "["+strings.Join(members, ",")+"]")
	for n := range instanceCount {
		f.instances = append(f.instances, f.startInstance(n))
	}
	f.apply()
	for _, i := range f.instances {
		f.awaitStatus(i, func(s service.Status) bool { return s.Ready && len(s.Members) == instanceCount })
	}
	return f
}

// fillTables fills in small tables with two versions of a small model, a large one
// and a plain service.
func (f *fleet) fillTables() {
	modelPool := func(name, model, version string, firstHost int) tables.Pool {
		return tables.Pool{
			Name: tables.PoolID(name), Service: modelService, Kind: tables.KindModel,
			Model: tables.ModelID(model), Version: tables.VersionID(version),
			PromptCost: 100, AnswerCost: 100, Concurrency: 64,
			Upstreams: []tables.Upstream{
				{Name: tables.UpstreamID(name + "-a"), Address: fmt.Sprintf("%s.%d:7100", f.subnet, firstHost), DataCenter: dataCenter},
				{Name: tables.UpstreamID(name + "-b"), Address: fmt.Sprintf("%s.%d:7100", f.subnet, firstHost+1), DataCenter: dataCenter},
			},
		}
	}
	large := modelPool(poolLargeV1, "large", "v1", 40)
	large.PromptCost, large.AnswerCost = 1000, 1000
	f.pools.Pools = []tables.Pool{
		modelPool(poolSmallV1, "small", "v1", 30),
		large,
		{
			Name: poolDesk, Service: deskService, Kind: tables.KindPlain, CallCost: 7, Concurrency: 64,
			Upstreams: []tables.Upstream{{Name: "desk-a", Address: f.subnet + ".50:7200", DataCenter: dataCenter}},
		},
	}
	f.routes.Routes = []tables.Route{
		{
			Team: teamChat, Service: modelService, Class: "chat", Credentials: []string{tables.HashCredential(teamChat)},
			Pools: []tables.PoolID{poolSmallV1, poolLargeV1}, QualityTarget: 0.8, Deadline: 30000, Idempotent: true,
		},
		{
			Team: teamDesk, Service: deskService, Class: "deposits", Credentials: []string{tables.HashCredential(teamDesk)},
			Methods: []string{"POST"}, Pools: []tables.PoolID{poolDesk}, Deadline: 30000,
		},
		{
			Team: teamDesk, Service: deskService, Class: "lookup", Credentials: []string{tables.HashCredential(teamDesk)},
			Pools: []tables.PoolID{poolDesk}, Deadline: 30000, Idempotent: true,
		},
	}
}

func (f *fleet) address(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, 100+index, port)
}

func (f *fleet) platformAddress() string {
	return f.subnet + ".1:7000"
}

func (f *fleet) platformURL() string {
	return "http://" + f.platformAddress()
}

func (f *fleet) routersPlatformURL() string {
	if f.platformRelay != "" {
		return "http://" + f.platformRelay
	}
	return f.platformURL()
}

// apply writes the fleet's tables with the program itself.
func (f *fleet) apply(extraArgs ...string) string {
	f.t.Helper()
	output, code := f.tryApply(extraArgs...)
	if code != 0 {
		f.t.Fatalf("apply ended with %d:\n%s", code, output)
	}
	return output
}

func (f *fleet) tryApply(extraArgs ...string) (string, int) {
	f.t.Helper()
	routes, pools := f.writeJSON("routes.json", f.routes), f.writeJSON("pools.json", f.pools)
	args := append([]string{"apply", "-platform", f.platformURL(), "-routes", routes, "-pools", pools}, extraArgs...)
	command := exec.Command(filepath.Join(binaryDirectory, "mimosayard"), args...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// await waits until a condition holds.
func (f *fleet) await(event string, condition func() bool) {
	f.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			f.t.Fatalf("did not happen: %s", event)
		case <-ticker.C:
		}
	}
}

func (f *fleet) awaitHTTP(url string) {
	f.t.Helper()
	f.await(url+" answers", func() bool {
		response, err := httpClient.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode < http.StatusInternalServerError
	})
}

func (f *fleet) awaitStatus(i *instance, condition func(service.Status) bool) {
	f.t.Helper()
	var last service.Status
	f.await(string(i.settings.Instance)+" shows the status wanted", func() bool {
		last = service.Status{}
		return f.getJSON("http://"+i.settings.Operators+"/status", &last) && condition(last)
	})
}

// awaitBills waits until the accounts in the store hold a number of requests,
// and returns their sum by team.
func (f *fleet) awaitBills(want int64) map[tables.TeamID]billing.Total {
	f.t.Helper()
	var totals map[tables.TeamID]billing.Total
	f.await(fmt.Sprintf("%d requests are billed", want), func() bool {
		var count int64
		totals, count = f.billedTotals()
		return count >= want
	})
	return totals
}

func (f *fleet) billedTotals() (map[tables.TeamID]billing.Total, int64) {
	var list struct {
		Changes []struct {
			Value []byte `json:"value"`
		} `json:"changes"`
	}
	totals := map[tables.TeamID]billing.Total{}
	var count int64
	if !f.getJSON(f.platformURL()+"/v1/objects?prefix=bills/", &list) {
		return totals, 0
	}
	for _, change := range list.Changes {
		var account billing.Account
		if json.Unmarshal(change.Value, &account) != nil {
			continue
		}
		for team, total := range account.Totals {
			teamTotal := totals[team]
			teamTotal.Requests += total.Requests
			teamTotal.Cost += total.Cost
			totals[team] = teamTotal
			count += total.Requests
		}
	}
	return totals, count
}

func (f *fleet) getJSON(url string, result any) bool {
	response, err := httpClient.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(result) == nil
}

func (f *fleet) put(url, body string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("%s answered %s", url, response.Status)
	}
}

func (f *fleet) startProgram(program string, args ...string) *process {
	f.t.Helper()
	p := &process{t: f.t, log: &bytes.Buffer{}, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaryDirectory, program), args...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	ended := make(chan struct{})
	group := newGroup()
	group.Go(func() error {
		defer close(ended)
		return p.command.Wait()
	})
	p.done = ended
	f.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-ended
		if f.t.Failed() {
			f.t.Logf("%s %v:\n%s", program, args, tail(p.log.String()))
		}
	})
	return p
}

func (f *fleet) startInstance(index int) *instance {
	f.t.Helper()
	s := settings.Settings{
		Instance:   tables.InstanceID(fmt.Sprintf("router-%d", index+1)),
		DataCenter: tables.DataCenterID(fmt.Sprintf("dc-%d", index%3)),
		Callers:    f.address(index, 8080),
		Operators:  f.address(index, 8081),
		Peers:      f.address(index, 8082),
		Platform:   f.routersPlatformURL(),
		Raters:     "http://" + f.subnet + ".2:7300",
		PeerKey:    []byte("a key for the tests of the peers"),
		SeedPeers:  []string{f.address(0, 8082), f.address(1, 8082)},
		LogLevel:   "debug",
		FirstByte:  2000, Progress: 2000, BalancerLag: 200, Settle: 500,
	}
	if f.changeSettings != nil {
		f.changeSettings(&s)
	}
	file := f.writeJSON(string(s.Instance)+".json", s)
	return &instance{f.startProgram("mimosayard", "serve", "-settings", file), s}
}

func (f *fleet) startUpstream(pool tables.Pool, upstream tables.Upstream) *process {
	if pool.Kind == tables.KindPlain {
		return f.startProgram("standins", "desk", "-address", upstream.Address)
	}
	quality := "0.9"
	if pool.Model == "large" {
		quality = "0.99"
	}
	ignoreFencing := "-ignore-fencing=" + strconv.FormatBool(pool.Fencing == tables.FencingIgnored)
	return f.startProgram("standins", "engine", ignoreFencing, "-address", upstream.Address, "-model", string(pool.Model),
		"-version", string(pool.Version), "-quality", quality, "-first-token", "2ms", "-between-tokens", "1ms")
}

func (f *fleet) writeJSON(name string, value any) string {
	f.t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.directory, name)
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// kill ends a process without warning.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// pause freezes a process until resume.
func (p *process) pause() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// stop asks a process to end and returns its exit code.
func (p *process) stop() int {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// An answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// A call is a request of a caller.
type call struct {
	method, path, team, body string
	header                   map[string]string
}

func (f *fleet) call(index int, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+f.address(index, 8080)+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.team)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

// chatCall returns a call for a streamed answer to a prompt.
func chatCall(prompt string, header map[string]string) call {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, modelService, prompt)
	return call{http.MethodPost, "/v1/chat/completions", teamChat, body, header}
}

// depositCall returns a call that must not run twice.
func depositCall(body, key string) call {
	return call{http.MethodPost, "/services/" + deskService + "/deposits", teamDesk, body, map[string]string{"Idempotency-Key": key}}
}

// isCompleteStream reports whether a streamed answer came to its end mark.
func (a answer) isCompleteStream() bool {
	return a.err == nil && a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

// errorTypeAndRun returns the kind and the run state of an error answer.
func (a answer) errorTypeAndRun() (errorType, run string) {
	var body struct {
		Error struct {
			Type string `json:"type"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Error.Type, body.Error.Run
}

// assertError checks an error answer.
func assertError(t *testing.T, a answer, status int, errorType, run string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	gotType, gotRun := a.errorTypeAndRun()
	is.Equal(a.status, status)
	is.Equal(gotType, errorType)
	is.Equal(gotRun, run)
}

// assertCompleteStream checks a streamed answer.
func assertCompleteStream(t *testing.T, a answer) {
	t.Helper()
	if !a.isCompleteStream() {
		t.Fatalf("answer is not whole: status %d, error %v, body:\n%s", a.status, a.err, tail(a.body))
	}
}

// answeringModel returns the model and version that a streamed answer names.
func answeringModel(body string) string {
	_, rest, _ := strings.Cut(body, `"model":"`)
	model, _, _ := strings.Cut(rest, `"`)
	return model
}

func tail(text string) string {
	const maxBytes = 4000
	if len(text) > maxBytes {
		return "..." + text[len(text)-maxBytes:]
	}
	return text
}
