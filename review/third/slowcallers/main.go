// Command slowcallers plays callers that read slowly for case 12 of the review. It writes the
// configuration and the servers to the store, sends streams over kept channels to two instances,
// and tells whether each channel ended with a complete answer. Exit code 1 means that the rule
// was broken, 0 that it held, and 2 that the case could not run.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host = "callers.example"
	key  = "raft-key"
	// eventCount and eventBytes match the stand-in servers: a stream of about 50 kB in 2 s.
	eventCount, eventBytes = 200, 230
	// receiveBuffer is the window of a caller, which does not hold a whole stream.
	receiveBuffer = 8 << 10
	// steadyCallers and stoppedCallers are the numbers of channels to the instance that runs on
	// and to the one that is stopped. allowed is the number of channels that may be closed at
	// any time by the rule LOST.
	steadyCallers, stoppedCallers, allowed = 8, 4, 3
	steadyPause, stoppedPause              = 5 * time.Second, 4 * time.Second
	setUpTime                              = 15 * time.Second
	// servers is the number of servers and of instances.
	servers = 2
)

// recorder writes what is seen, with the time since the start.
type recorder struct {
	mutex sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *recorder) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	network := flag.String("net", "", "first three bytes of the loopback `ADDRESS`es")
	pid := flag.Int("stop", 0, "`PID` of the second instance")
	trouble := flag.Bool("trouble", true, "read slowly")
	out := flag.String("record", "record.txt", "`FILE` for what was sent and answered")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &recorder{start: time.Now(), out: io.MultiWriter(file, os.Stdout)}
	broken, err := run(r, *network, *pid, *trouble)
	code := 0
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		code = 2
	case broken:
		r.printf("LOST is broken")
		code = 1
	default:
		r.printf("LOST held")
	}
	_ = file.Close()
	os.Exit(code)
}

// run plays both parts of the case and reports whether the rule was broken.
func run(r *recorder, network string, pid int, trouble bool) (bool, error) {
	if err := setUp(network); err != nil {
		return false, err
	}
	pause := time.Duration(0)
	if trouble {
		pause = steadyPause
	}
	r.printf("part 1: %d kept channels to the first instance, pause in reading %s", steadyCallers, pause)
	lost, err := play(r, network+".100:8080", "steady", steadyCallers, pause, func() error { return nil })
	if err != nil {
		return false, err
	}
	r.printf("part 1: %d of %d channels ended without a complete answer; %d are allowed at any time", lost, steadyCallers, allowed)
	broken := lost > allowed
	if trouble {
		pause = stoppedPause
	}
	r.printf("part 2: %d kept channels to the second instance, which gets SIGTERM, pause in reading %s", stoppedCallers, pause)
	lost, err = play(r, network+".101:8080", "stopped", stoppedCallers, pause, func() error {
		r.printf("SIGTERM to the second instance")
		return syscall.Kill(pid, syscall.SIGTERM)
	})
	if err != nil {
		return false, err
	}
	r.printf("part 2: %d of %d channels ended without a complete answer; none is allowed around planned work", lost, stoppedCallers)
	return broken || lost > 0, recordRuns(r, network)
}

// recordRuns records what the servers have run.
func recordRuns(r *recorder, network string) error {
	for n := range servers {
		body, err := send(http.MethodGet, fmt.Sprintf("http://%s.%d:7400/admin/runs", network, 30+n), "")
		if err != nil {
			return err
		}
		r.printf("run by server i-%d: %s", n, bytes.TrimSpace(body))
	}
	return nil
}

// play opens the channels, calls begun once all streams have begun, and returns the number of
// channels that ended without a complete answer.
func play(r *recorder, address, name string, count int, pause time.Duration, begun func() error) (int, error) {
	var (
		group, started sync.WaitGroup
		mutex          sync.Mutex
		lost           int
		failure        error
	)
	started.Add(count)
	for n := range count {
		group.Go(func() {
			complete, err := call(r, address, fmt.Sprintf("%s-%d", name, n), pause, sync.OnceFunc(started.Done))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failure = err
			}
			if !complete {
				lost++
			}
		})
	}
	started.Wait()
	err := begun()
	group.Wait()
	return lost, errors.Join(failure, err)
}

// call sends a short request and then a stream over one channel, and reports whether the stream's
// answer was complete. It calls began once the stream has begun.
func call(r *recorder, address, id string, pause time.Duration, began func()) (complete bool, err error) {
	defer began()
	conn, err := dial(address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 256)
	first, err := exchange(conn, reader, "/safe/x", id+"-first", func() {})
	if err != nil || first.status != http.StatusOK {
		return false, fmt.Errorf("the first request of %s was answered %d: %w", id, first.status, errors.Join(err, errFirst))
	}
	r.printf("%s: the channel is kept after %d and %d bytes", id, first.status, len(first.body))
	sentAt := time.Now()
	got, err := exchange(conn, reader, "/stream/large", id, func() {
		began()
		time.Sleep(pause)
	})
	events := bytes.Count(got.body, []byte("\n\n"))
	complete = err == nil && events == eventCount
	r.printf("%s: %d, stamp %q, %d of %d events, %d bytes, complete %t, %v, after %.1f s", id, got.status,
		got.stamp, events, eventCount, len(got.body), complete, err, time.Since(sentAt).Seconds())
	return complete, nil
}

// errFirst is the error of a first request that was not served, for which the case cannot run.
var errFirst = errors.New("the channel is not kept")

// answer is what a caller got. Its zero value is no answer.
type answer struct {
	status int
	stamp  string
	body   []byte
}

// exchange sends a request and reads the whole answer. It calls headRead after the head.
func exchange(conn net.Conn, reader *bufio.Reader, path, id string, headRead func()) (answer, error) {
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Credential: %s\r\n\r\n", path, host, id, key)
	if err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	headRead()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Server-Stamp"), body}, err
}

// dial opens a channel with a small window.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, set)
	}}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// setUp writes the configuration and the servers, and waits until both instances are ready.
func setUp(network string) error {
	store := "http://" + network + ".1:7000/objects/"
	route := func(kind, prefix string) string {
		return fmt.Sprintf(`{"name":"r-%s","hostname":%q,"path_prefix":%q,"kind":%q,"timeout_ms":20000,"target_latency_ms":1000,`+
			`"service":"s","max_attempts":3,"resumable":true,"gap_aim_ms":500}`, kind, host, prefix, kind)
	}
	config := fmt.Sprintf(`{"version":3,"routes":[%s,%s],"services":[{"name":"s"}],"limits":{"max_header_bytes":16384,`+
		`"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"team","api_keys":[%q]}]}`,
		route("safe", "/safe/"), route("streaming", "/stream/"), key)
	if err := await(func() error { return put(store+"config/main", `{"metadata":{},"spec":`+config+`}`) }); err != nil {
		return err
	}
	for n := range servers {
		address := fmt.Sprintf("%s.%d:7400", network, 30+n)
		entry := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z-1","version":"v1","slots":48,"state":"ready","born":7,"sequence":1}`, address)
		if err := put(fmt.Sprintf("%sservers/i-%d", store, n), `{"metadata":{},"spec":`+entry+`}`); err != nil {
			return err
		}
		if err := await(func() error {
			return put("http://"+address+"/admin/faults", fmt.Sprintf(`{"event_bytes":%d}`, eventBytes))
		}); err != nil {
			return err
		}
	}
	for n := range servers {
		if err := await(func() error {
			_, err := send(http.MethodGet, fmt.Sprintf("http://%s.%d:8220/readyz", network, 100+n), "")
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// await repeats an attempt until it succeeds or setUpTime has passed.
func await(attempt func() error) error {
	for end := time.Now().Add(setUpTime); ; time.Sleep(50 * time.Millisecond) {
		if err := attempt(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

func put(url, body string) error {
	_, err := send(http.MethodPut, url, body)
	return err
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
