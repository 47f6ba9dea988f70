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
	"mimosayard/internal/evaluation/programs"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
)

// A process is a started program, either an instance or a stand-in.
type process struct {
	t       *testing.T
	command *exec.Cmd
	// log holds what the program wrote to standard error.
	log *bytes.Buffer
	// done is closed when the program has exited.
	done <-chan struct{}
}

// An instance is a process of the program under test, with its settings.
type instance struct {
	*process
	settings settings.Settings
}

// A fleet is a set of instances and the stand-ins that they use. Each is a
// process with its own loopback address.
type fleet struct {
	t *testing.T
	// subnet is the first three bytes of the fleet's addresses.
	subnet string
	// directory holds the files of settings and tables.
	directory string
	platform  *process
	rater     *process
	// upstreams holds the processes of upstreams by name.
	upstreams map[string]*process
	instances []*instance
	// platformRelay is the address at which instances reach the platform.
	// Empty stands for the platform's own address.
	platformRelay string
	// changeSettings changes the settings of an instance before it starts. It
	// may be nil.
	changeSettings func(*settings.Settings)
	// relayTargets holds the listen addresses of upstreams that instances
	// reach through a relay.
	relayTargets map[tables.UpstreamID]string
	routes       tables.RoutesTable
	pools        tables.PoolsTable
}

const (
	// waitTimeout bounds each wait. It is far longer than any event takes, so
	// that it ends only tests that have failed.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	teamChat     = "raft-keepers"
	teamDesk     = "tourist-desks"
	modelService = "valodas-modelis"
	plainService = "rezerv-serviss"
	poolSmallV1  = "small-v1"
	poolSmallV2  = "small-v2"
	poolLargeV1  = "large-v1"
	poolDesk     = "desk"
	dataCenter   = "daugavas-krasts"
)

var (
	// binaryDirectory holds the programs that TestMain built.
	binaryDirectory string
	// nextSubnet numbers the fleets, which run in parallel.
	nextSubnet atomic.Int64
	// httpClient opens a connection for each request.
	httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
)

// TestMain builds the programs before the tests and removes them afterwards.
func TestMain(m *testing.M) {
	os.Exit(programs.RunTests(m, &binaryDirectory))
}

// newFleet starts the stand-ins and the given number of instances, applies the
// tables and waits until every instance is ready and lists all as members.
// configure may be nil; it is called before anything starts.
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

// fillTables sets up tables with a small model, a large model and a plain
// service.
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
			Name: poolDesk, Service: plainService, Kind: tables.KindPlain, CallCost: 7, Concurrency: 64,
			Upstreams: []tables.Upstream{{Name: "desk-a", Address: f.subnet + ".50:7200", DataCenter: dataCenter}},
		},
	}
	f.routes.Routes = []tables.Route{
		{
			Team: teamChat, Service: modelService, Class: "chat", Credentials: []string{tables.HashCredential(teamChat)},
			Pools: []tables.PoolID{poolSmallV1, poolLargeV1}, QualityTarget: 0.8, Deadline: 30000, Idempotent: true,
		},
		{
			Team: teamDesk, Service: plainService, Class: "deposits", Credentials: []string{tables.HashCredential(teamDesk)},
			Methods: []string{"POST"}, Pools: []tables.PoolID{poolDesk}, Deadline: 30000,
		},
		{
			Team: teamDesk, Service: plainService, Class: "lookup", Credentials: []string{tables.HashCredential(teamDesk)},
			Pools: []tables.PoolID{poolDesk}, Deadline: 30000, Idempotent: true,
		},
	}
}

// address returns the address of an instance's port.
func (f *fleet) address(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, 100+index, port)
}

func (f *fleet) platformAddress() string {
	return f.subnet + ".1:7000"
}

func (f *fleet) platformURL() string {
	return "http://" + f.platformAddress()
}

// instancesPlatformURL returns the URL at which instances reach the platform.
func (f *fleet) instancesPlatformURL() string {
	if f.platformRelay != "" {
		return "http://" + f.platformRelay
	}
	return f.platformURL()
}

// apply writes the fleet's tables to the platform with the apply command and
// returns the command's output.
func (f *fleet) apply(extraArgs ...string) string {
	f.t.Helper()
	output, code := f.tryApply(extraArgs...)
	if code != 0 {
		f.t.Fatalf("apply exited with code %d:\n%s", code, output)
	}
	return output
}

// tryApply runs the apply command and returns its output and exit code.
func (f *fleet) tryApply(extraArgs ...string) (string, int) {
	f.t.Helper()
	routes, pools := f.writeJSON("routes.json", f.routes), f.writeJSON("pools.json", f.pools)
	args := append([]string{"apply", "-platform", f.platformURL(), "-routes", routes, "-pools", pools}, extraArgs...)
	command := exec.Command(filepath.Join(binaryDirectory, "mimosayard"), args...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// await polls until a condition holds. It fails the test after waitTimeout.
func (f *fleet) await(event string, condition func() bool) {
	f.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			f.t.Fatalf("timed out after %s waiting for: %s", waitTimeout, event)
		case <-ticker.C:
		}
	}
}

// awaitHTTP waits until a URL answers with a status below 500.
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

// awaitStatus waits until an instance's status meets a condition.
func (f *fleet) awaitStatus(i *instance, condition func(service.Status) bool) {
	f.t.Helper()
	var last service.Status
	f.await(string(i.settings.Instance)+" reports the expected status", func() bool {
		last = service.Status{}
		return f.getJSON("http://"+i.settings.OperatorsAddress+"/status", &last) && condition(last)
	})
}

// awaitBills waits until the accounts in the store hold at least the given
// number of requests, and returns their totals by team.
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

// billedTotals returns the totals by team of the accounts in the store, and the
// number of requests in them.
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

// getJSON decodes an answer into result and reports whether the answer had
// status 200 and was valid JSON.
func (f *fleet) getJSON(url string, result any) bool {
	response, err := httpClient.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(result) == nil
}

// put sends a PUT request and fails the test unless the status is 200.
func (f *fleet) put(url, body string) {
	f.t.Helper()
	if err := f.tryPut(url, body); err != nil {
		f.t.Fatal(err)
	}
}

// tryPut sends a PUT request and returns an error unless the status is 200.
func (f *fleet) tryPut(url, body string) error {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s: status %s", url, response.Status)
	}
	return nil
}

// startProgram starts a program, which is killed at the end of the test. The
// end of its log is printed if the test failed.
func (f *fleet) startProgram(program string, args ...string) *process {
	f.t.Helper()
	started := programs.Start(f.t, exec.Command(filepath.Join(binaryDirectory, program), args...))
	return &process{t: f.t, command: started.Command, log: started.Log, done: started.Done}
}

// startInstance starts an instance and returns without waiting for it to be
// ready.
func (f *fleet) startInstance(index int) *instance {
	f.t.Helper()
	s := settings.Settings{
		Instance:         tables.InstanceID(fmt.Sprintf("router-%d", index+1)),
		DataCenter:       tables.DataCenterID(fmt.Sprintf("dc-%d", index%3)),
		CallersAddress:   f.address(index, 8080),
		OperatorsAddress: f.address(index, 8081),
		PeersAddress:     f.address(index, 8082),
		PlatformURL:      f.instancesPlatformURL(),
		RatersURL:        "http://" + f.subnet + ".2:7300",
		PeerKey:          []byte("a key for the tests of the peers"),
		SeedPeers:        []string{f.address(0, 8082), f.address(1, 8082)},
		LogLevel:         "debug",
		FirstByteTimeout: 2000, ProgressTimeout: 2000, BalancerLag: 200, SettleInterval: 500,
	}
	if f.changeSettings != nil {
		f.changeSettings(&s)
	}
	file := f.writeJSON(string(s.Instance)+".json", s)
	return &instance{f.startProgram("mimosayard", "serve", "-settings", file), s}
}

// startUpstream starts the stand-in for an upstream of a pool.
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

// writeJSON writes a value to a file in the fleet's directory and returns the
// file's path.
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

// kill ends a process with SIGKILL and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// pause stops a process with SIGSTOP until resume is called.
func (p *process) pause() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// stop sends SIGTERM to a process, waits for its exit and returns the exit code.
func (p *process) stop() int {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// An answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// A call is a request of a caller. The name of the team is also its credential.
type call struct {
	method, path, team, body string
	header                   map[string]string
}

// call sends a call to an instance and reads the whole answer.
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

// chatCall returns a call of the chat service that asks for a streamed answer.
func chatCall(prompt string, header map[string]string) call {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, modelService, prompt)
	return call{http.MethodPost, "/v1/chat/completions", teamChat, body, header}
}

// depositCall returns a non-idempotent call with an idempotency key.
func depositCall(body, key string) call {
	return call{http.MethodPost, "/services/" + plainService + "/deposits", teamDesk, body, map[string]string{"Idempotency-Key": key}}
}

// isCompleteStream reports whether a streamed answer ends with its end marker.
func (a answer) isCompleteStream() bool {
	return a.err == nil && a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

// errorTypeAndRun returns the type of an error answer and its run state, which
// states whether the request has run. Both are empty for other answers.
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

// assertError checks the status, type and run state of an error answer.
func assertError(t *testing.T, a answer, status int, errorType, run string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	gotType, gotRun := a.errorTypeAndRun()
	is.Equal(a.status, status)
	is.Equal(gotType, errorType)
	is.Equal(gotRun, run)
}

// assertCompleteStream checks that a streamed answer is complete.
func assertCompleteStream(t *testing.T, a answer) {
	t.Helper()
	if !a.isCompleteStream() {
		t.Fatalf("incomplete stream: status %d, error %v, body:\n%s", a.status, a.err, tail(a.body))
	}
}

// answeringModel returns the model and version that a streamed answer names.
func answeringModel(body string) string {
	_, rest, _ := strings.Cut(body, `"model":"`)
	model, _, _ := strings.Cut(rest, `"`)
	return model
}

// tail returns the last bytes of a long text.
func tail(text string) string {
	const maxBytes = 4000
	if len(text) > maxBytes {
		return "..." + text[len(text)-maxBytes:]
	}
	return text
}
