// Command same plays the servers, the operator, the platform and the callers of case 14 of the review. The
// operator orders a rollout to the version that runs, and right after the ack all instances are killed
// and start again. Exit code 1 means that the rule RECOVER was broken, 0 that it held, and 2 that
// the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host        = "callers.example"
	key         = "raft-key"
	instances   = 3
	serversEach = 3
	slots       = 6
	workTime    = 15 * time.Millisecond
	// callInterval is the time between two requests of all callers together.
	callInterval = 25 * time.Millisecond
	// orderAt and length are counted from the start of traffic, which ends 8 s after recoverTime.
	orderAt, length = 4 * time.Second, 24500 * time.Millisecond
	// timeBudget is the duration_s of the order, and downTime how long the instances are down.
	timeBudget, downTime = 24 * time.Second, 500 * time.Millisecond
	// recoverTime is the bound of the rule, and servedShare the share that counts as recovered.
	recoverTime, servedShare = 12 * time.Second, 0.25
	setUpTime                = 15 * time.Second
)

// A world is what the stand-ins have seen.
type world struct {
	store string
	start time.Time

	mutex sync.Mutex
	out   io.Writer
	// calls are the requests of the callers.
	calls []sent
}

// A sent is a request of a caller, and the status of its answer, zero for none.
type sent struct {
	at     time.Time
	status int
}

func (w *world) printf(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.print(format, values...)
}

// print is printf for a caller that holds the mutex.
func (w *world) print(format string, values ...any) {
	_, _ = fmt.Fprintf(w.out, "%7.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	network := flag.String("net", "", "first three bytes of the loopback `ADDRESS`es")
	trouble := flag.Bool("trouble", true, "order a rollout to the version that runs")
	pids := flag.String("pids", "", "`DIRECTORY` of the files with the process IDs of the instances")
	out := flag.String("record", "record.txt", "`FILE` for what was sent, run and answered")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{store: "http://" + *network + ".1:7000/objects/", start: time.Now(), out: file}
	broken, err := w.run(*network, *pids, *trouble)
	code := 0
	switch {
	case err != nil:
		w.printf("could not run: %v", err)
		code = 2
	case broken:
		w.printf("RECOVER is broken")
		code = 1
	default:
		w.printf("RECOVER held")
	}
	_ = file.Close()
	os.Exit(code)
}

func (w *world) run(network, pids string, trouble bool) (bool, error) {
	if err := w.setUp(network); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	w.printf("traffic begins, a request each %s", callInterval)
	var callers sync.WaitGroup
	callers.Go(func() { w.callAll(ctx, network) })
	time.Sleep(orderAt)
	if trouble {
		if err := w.order("v1"); err != nil {
			return false, err
		}
		w.printf("the order is acknowledged")
	}
	fault := time.Now()
	for n := range instances {
		if err := kill(fmt.Sprintf("%s/pid-%d", pids, n)); err != nil {
			return false, err
		}
	}
	w.printf("all instances are killed, they start again %s later", downTime)
	callers.Wait()
	return w.judge(began, fault, fault.Add(downTime)), nil
}

// kill ends the process whose ID a file holds.
func kill(file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// judge applies the rule to what the callers have seen.
func (w *world) judge(began, fault, back time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	share := func(name string, from, to time.Time) float64 {
		served, count := 0, 0
		for _, s := range w.calls {
			if s.at.Before(from) || !s.at.Before(to) {
				continue
			}
			count++
			if s.status == http.StatusOK {
				served++
			}
		}
		w.print("%d of %d requests are served that were sent %s", served, count, name)
		return float64(served) / float64(max(1, count))
	}
	before := share("before the fault", began, fault)
	share("from the fault to recover_s after the instances are back", fault, back.Add(recoverTime))
	after := share("later than recover_s after the instances are back", back.Add(recoverTime), began.Add(length))
	return before >= servedShare && after < servedShare
}

// setUp writes the configuration, starts the servers of v1 and waits for the instances.
func (w *world) setUp(network string) error {
	config := fmt.Sprintf(`{"version":3,"routes":[{"name":"r-1","hostname":%q,"path_prefix":"/safe/","kind":"safe","timeout_ms":1500,`+
		`"target_latency_ms":100,"service":"s","max_attempts":2}],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"team","api_keys":[%q]}]}`, host, key)
	if err := await(func() error { return w.put("config/main", config) }); err != nil {
		return err
	}
	if err := w.startServers(network, "v1", 30); err != nil {
		return err
	}
	for n := range instances {
		err := await(func() error {
			return send(http.MethodGet, fmt.Sprintf("http://%s.%d:8220/readyz", network, 100+n), "")
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the servers of a version and registers them.
func (w *world) startServers(network, version string, firstHost int) error {
	for n := range serversEach {
		id, address := fmt.Sprintf("i-%s-%d", version, n), fmt.Sprintf("%s.%d:7400", network, firstHost+n)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: &server{world: w, id: id, version: version}, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
		if err := w.register(id, address, version, "ready"); err != nil {
			return err
		}
	}
	w.printf("the servers of %s are ready", version)
	return nil
}

func (w *world) register(id, address, version, state string) error {
	return w.put("servers/"+id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z-1","version":%q,"slots":%d,"state":%q,"born":7,"sequence":1}`,
		address, version, slots, state))
}

// order orders a rollout.
func (w *world) order(version string) error {
	w.printf("the operator orders %s", version)
	return w.put("rollouts/s", fmt.Sprintf(`{"service":"s","target":%q,"duration_s":%g}`, version, timeBudget.Seconds()))
}

func (w *world) put(path, spec string) error {
	return send(http.MethodPut, w.store+path, `{"metadata":{},"spec":`+spec+`}`)
}

// callAll sends requests until the context ends.
func (w *world) callAll(ctx context.Context, network string) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			w.call(fmt.Sprintf("http://%s.%d:8080/safe/x", network, 100+n%instances), fmt.Sprintf("a-%d", n))
		})
	}
}

// call sends one request.
func (w *world) call(url, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, sentAt := 0, time.Now()
	if request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody); err == nil {
		request.Host = host
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("X-Credential", key)
		request.Header.Set("X-Deadline-Ms", "1500")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			status = response.StatusCode
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls = append(w.calls, sent{sentAt, status})
	w.print("caller: %s is answered %d", id, status)
}

// A server is a server of one version.
type server struct {
	world       *world
	id, version string
	running     atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	running := s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(running, slots), slots))
	switch {
	case request.Header.Get("X-Expect-Instance") != s.id:
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case running > slots:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.world.printf("server: %s of %s runs %s", s.id, s.version, id)
	time.Sleep(workTime)
	w.Header().Set("X-Server-Stamp", s.id)
	_, _ = io.WriteString(w, "the lookup of "+s.id)
}

// await repeats an attempt until it succeeds or setUpTime has passed.
func await(attempt func() error) error {
	for end := time.Now().Add(setUpTime); ; time.Sleep(50 * time.Millisecond) {
		if err := attempt(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// send makes a call that has to succeed.
func send(method, url, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	return nil
}
