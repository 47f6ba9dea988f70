// Command versions plays the servers, the operator and the callers of case 14 of the review. A
// bad version is rolled out and rolled back, and the operator orders the next one at once, while
// the servers of the bad one still run. It tells whether the rule EXPOSURE held. Exit code 1 means
// that the rule was broken, 0 that it held, and 2 that the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host         = "callers.example"
	key          = "raft-key"
	instances    = 3
	serversEach  = 3
	slots        = 6
	workTime     = 15 * time.Millisecond
	failingShare = 0.24
	// callInterval is the time between two requests of all callers together.
	callInterval = time.Second / 120
	// firstOrderAt and length are counted from the start of traffic.
	firstOrderAt, length = 3 * time.Second, 24 * time.Second
	// timeBudget is the duration_s of each order. The servers of a version that was rolled back
	// begin to drain after drainAfter, and end after drainTime more.
	timeBudget            = 12 * time.Second
	drainAfter, drainTime = 6 * time.Second, 3 * time.Second
	setUpTime             = 15 * time.Second
	// The bounds of the rule.
	exposureShare, exposureSlack = 0.15, 30
	rollbackTime, badAnswers     = 5 * time.Second, 50
)

// A world is what the stand-ins have seen.
type world struct {
	store string
	start time.Time

	mutex sync.Mutex
	out   io.Writer
	// arrivals holds the time of each request that reached a server, by version.
	arrivals map[string][]time.Time
	// fiftieth is the time of the 50th bad answer of v2, and late the number of requests that
	// were sent to it more than rollbackTime after that.
	bad      int
	fiftieth time.Time
	late     int
	answers  map[int]int
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
	trouble := flag.Bool("trouble", true, "order the next version as soon as the bad one is rolled back")
	out := flag.String("record", "record.txt", "`FILE` for what was sent, run and answered")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{
		store: "http://" + *network + ".1:7000/objects/", start: time.Now(), out: file,
		arrivals: map[string][]time.Time{}, answers: map[int]int{},
	}
	broken, err := w.run(*network, *trouble)
	code := 0
	switch {
	case err != nil:
		w.printf("could not run: %v", err)
		code = 2
	case broken:
		w.printf("EXPOSURE is broken")
		code = 1
	default:
		w.printf("EXPOSURE held")
	}
	_ = file.Close()
	os.Exit(code)
}

func (w *world) run(network string, trouble bool) (bool, error) {
	if err := w.setUp(network); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	w.printf("traffic begins, a request each %s", callInterval)
	var callers sync.WaitGroup
	callers.Go(func() { w.callAll(ctx, network) })
	time.Sleep(firstOrderAt)
	if err := w.startServers(network, "v2", 40); err != nil {
		return false, err
	}
	ordered := time.Now()
	if err := w.order("v2"); err != nil {
		return false, err
	}
	if err := w.awaitRollback(ctx); err != nil {
		return false, err
	}
	w.printf("the system has rolled v2 back")
	if trouble {
		if err := w.startServers(network, "v3", 50); err != nil {
			return false, err
		}
		if err := w.order("v3"); err != nil {
			return false, err
		}
	}
	time.Sleep(drainAfter)
	if err := w.endServers(network, "v2", 40); err != nil {
		return false, err
	}
	callers.Wait()
	w.printf("traffic ends after %.1f s", time.Since(began).Seconds())
	return w.judge(ordered), nil
}

// judge applies the rule to what the servers have seen.
func (w *world) judge(ordered time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	all, bad := 0, 0
	for version, times := range w.arrivals {
		within := 0
		for _, at := range times {
			if !at.Before(ordered) && at.Before(ordered.Add(timeBudget)) {
				within++
			}
		}
		w.print("%s got %d requests, %d of them within the time budget of v2", version, len(times), within)
		all += within
		if version == "v2" {
			bad = within
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	w.print("answers to callers by status: %v", w.answers)
	w.print("v2 got %d of %d requests within its time budget, allowed %.0f; %d later than %s after its 50th bad answer", bad, all, allowed, w.late, rollbackTime)
	return float64(bad) > allowed || w.late > 0
}

// setUp writes the configuration, starts the servers of v1 and waits for the instances.
func (w *world) setUp(network string) error {
	config := fmt.Sprintf(`{"version":3,"routes":[{"name":"r-1","hostname":%q,"path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":1500,`+
		`"target_latency_ms":100,"service":"s","max_attempts":1}],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
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
			_, err := send(http.MethodGet, fmt.Sprintf("http://%s.%d:8220/readyz", network, 100+n), "")
			return err
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

// endServers lets the servers of a version drain, and removes them.
func (w *world) endServers(network, version string, firstHost int) error {
	w.printf("the servers of %s drain", version)
	for n := range serversEach {
		if err := w.register(fmt.Sprintf("i-%s-%d", version, n), fmt.Sprintf("%s.%d:7400", network, firstHost+n), version, "draining"); err != nil {
			return err
		}
	}
	time.Sleep(drainTime)
	for n := range serversEach {
		if _, err := send(http.MethodDelete, fmt.Sprintf("%sservers/i-%s-%d", w.store, version, n), ""); err != nil {
			return err
		}
	}
	w.printf("the servers of %s are gone", version)
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

// awaitRollback waits until the system has rolled v2 back.
func (w *world) awaitRollback(ctx context.Context) error {
	for ctx.Err() == nil {
		body, err := send(http.MethodGet, w.store+"rollouts", "")
		if err != nil {
			return err
		}
		var list struct {
			Items []struct {
				Status struct {
					State  string `json:"state"`
					Target string `json:"target"`
				} `json:"status"`
			} `json:"items"`
		}
		if err := json.Unmarshal(body, &list); err != nil {
			return err
		}
		for _, item := range list.Items {
			if item.Status.State == "rolled_back" && item.Status.Target == "v2" {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("v2 was not rolled back")
}

func (w *world) put(path, spec string) error {
	_, err := send(http.MethodPut, w.store+path, `{"metadata":{},"spec":`+spec+`}`)
	return err
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
			w.call(fmt.Sprintf("http://%s.%d:8080/unsafe/x", network, 100+n%instances), fmt.Sprintf("a-%d", n))
		})
	}
}

// call sends one request.
func (w *world) call(url, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status := 0
	if request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("a booking")); err == nil {
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
	w.answers[status]++
	w.print("caller: %s is answered %d", id, status)
}

// A server is a server of one version. A part of the answers of v2 are failures.
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
	fails := s.version == "v2" && rand.Float64() < failingShare
	s.world.record(s, id, fails)
	time.Sleep(workTime)
	w.Header().Set("X-Server-Stamp", s.id)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "the booking of "+s.id)
}

// record records a request that a server runs.
func (w *world) record(s *server, id string, fails bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.arrivals[s.version] = append(w.arrivals[s.version], now)
	w.print("server: %s runs %s, fails %t", s.id, id, fails)
	if s.version == "v2" && !w.fiftieth.IsZero() && now.Sub(w.fiftieth) > rollbackTime {
		w.late++
	}
	if fails {
		if w.bad++; w.bad == badAnswers {
			w.fiftieth = now
		}
	}
}

// await repeats an attempt until it succeeds or setUpTime has passed.
func await(attempt func() error) error {
	for end := time.Now().Add(setUpTime); ; time.Sleep(50 * time.Millisecond) {
		if err := attempt(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// send returns the body of a successful answer.
func send(method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	return io.ReadAll(response.Body)
}
