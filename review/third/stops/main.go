// Command stops plays the server, the platform and the callers of case 12 of the review. The settings
// of an instance change, among them the time that a stop may take, and the instance is stopped with
// that time. Exit code 1 means that the rule was broken, 0 that it held, and 2 that the case could
// not run.
package main

import (
	"bufio"
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
	host      = "callers.example"
	instances = 2
	servers   = 2
	setUpTime = 15 * time.Second
	// callers is the number of kept channels. The callers send a request each, one callInterval after
	// the other, the first half of one after SIGTERM, so that none is sent at the edge of excusedTime.
	callers, callInterval = 18, 200 * time.Millisecond
	// workTime is how long a request runs, and callerTime the time budget of its caller.
	workTime, callerTime = 1200 * time.Millisecond, 1500 * time.Millisecond
	// oldGrace and newGrace are grace_s before and after the change of the settings.
	oldGrace, newGrace = 8 * time.Second, 4 * time.Second
	// excusedTime is the time after SIGTERM up to which requests that are at work at the end of the
	// grace are not counted.
	excusedTime = 3 * time.Second
	// reloadTime is the time between the change of the settings and the stop.
	reloadTime = 4 * time.Second
	// contactTime is longer than contact_ms, 3 s.
	contactTime = 3500 * time.Millisecond
	key         = "raft-key"
)

// A run is a request as a server ran it.
type run struct {
	server, id string
	// whole is true if the server has answered it.
	whole bool
}

// A world is what the stand-ins have seen.
type world struct {
	start time.Time
	out   io.Writer
	mutex sync.Mutex
	runs  []run
}

func (w *world) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(w.out, "%7.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	network := flag.String("net", "", "first three bytes of the loopback `ADDRESS`es")
	pid := flag.Int("pid", 0, "`PID` of the instance that is stopped")
	settings := flag.String("settings", "", "its settings `FILE`")
	trouble := flag.Bool("trouble", true, "change the settings before the stop")
	out := flag.String("record", "record.txt", "`FILE` for what was sent, run and answered")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{start: time.Now(), out: io.MultiWriter(file, os.Stdout)}
	broken, err := w.play(*network, *pid, *settings, *trouble)
	code := 0
	switch {
	case err != nil:
		w.printf("could not run: %v", err)
		code = 2
	case broken:
		w.printf("LOST is broken")
		code = 1
	default:
		w.printf("LOST held")
	}
	_ = file.Close()
	os.Exit(code)
}

// play changes the settings, stops the instance and reports whether the rule was broken.
func (w *world) play(network string, pid int, settings string, trouble bool) (bool, error) {
	if err := w.setUp(network); err != nil {
		return false, err
	}
	// From here on the instances are in touch.
	time.Sleep(contactTime)
	grace := oldGrace
	if trouble {
		grace = newGrace
		if err := w.changeSettings(pid, settings); err != nil {
			return false, err
		}
	}
	time.Sleep(reloadTime)
	results := make([]result, callers)
	var kept, group sync.WaitGroup
	stopped := make(chan struct{})
	kept.Add(callers)
	for n := range results {
		group.Go(func() {
			results[n] = w.call(network+".100:8080", fmt.Sprintf("a-%d", n), kept.Done, func() {
				<-stopped
				time.Sleep(time.Duration(n)*callInterval + callInterval/2)
			})
		})
	}
	kept.Wait()
	w.printf("platform: SIGTERM, and SIGKILL %s later", grace)
	if err := syscall.Kill(pid, syscall.SIGTERM); err != nil {
		return false, err
	}
	at := time.Now()
	close(stopped)
	timer := time.AfterFunc(grace, func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	defer timer.Stop()
	group.Wait()
	return w.judge(results, at)
}

// changeSettings replaces the settings file by one with another grace_s, and sends SIGHUP.
func (w *world) changeSettings(pid int, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	graceIn := func(grace time.Duration) string { return fmt.Sprintf(`"grace_s": %g,`, grace.Seconds()) }
	changed := strings.Replace(string(content), graceIn(oldGrace), graceIn(newGrace), 1)
	if changed == string(content) {
		return errors.New("the settings have no grace_s")
	}
	if err := os.WriteFile(file+".new", []byte(changed), 0o600); err != nil { //nolint:gosec // The script names the file.
		return err
	}
	if err := os.Rename(file+".new", file); err != nil {
		return err
	}
	w.printf("platform: the settings file has grace_s %g, SIGHUP", newGrace.Seconds())
	return syscall.Kill(pid, syscall.SIGHUP)
}

// judge applies the rule.
func (w *world) judge(results []result, stoppedAt time.Time) (bool, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ran := map[string]bool{}
	for _, r := range w.runs {
		w.printf("server: %s ran %s, answered %t", r.server, r.id, r.whole)
		ran[r.id] = true
	}
	lost := 0
	for n, r := range results {
		if r.err != nil {
			return false, r.err
		}
		id, sentAfter := fmt.Sprintf("a-%d", n), r.sentAt.Sub(stoppedAt)
		counts := !r.complete && r.sent && ran[id] && sentAfter > excusedTime && r.endedAt.Sub(r.sentAt) < callerTime
		if counts {
			lost++
		}
		w.printf("caller: %s, sent %.2f s after SIGTERM, %t, got %d, complete %t, after %.2f s, passed on %t, counts %t",
			id, sentAfter.Seconds(), r.sent, r.status, r.complete, r.endedAt.Sub(r.sentAt).Seconds(), ran[id], counts)
	}
	w.printf("%d requests that had been passed on ended without an answer and are not excused", lost)
	return lost > 0, nil
}

// A result is what a caller got for its request.
type result struct {
	status          int
	complete        bool
	sent            bool
	sentAt, endedAt time.Time
	// err is why the case could not run.
	err error
}

// call sends a short request, calls kept, waits, and sends a longer one over the same channel.
func (w *world) call(address, id string, kept, wait func()) result {
	keptOnce := sync.OnceFunc(kept)
	defer keptOnce()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if first := exchange(conn, reader, "/unsafe/short", id+"-first"); !first.complete {
		return result{err: fmt.Errorf("the first request of %s was answered %d", id, first.status)}
	}
	keptOnce()
	wait()
	return exchange(conn, reader, "/unsafe/long", id)
}

// exchange sends a request and reads the whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, path, id string) (r result) {
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	_ = conn.SetDeadline(r.sentAt.Add(2 * callerTime))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nContent-Length: 9\r\n\r\na deposit",
		path, host, id, callerTime.Milliseconds(), key)
	r.sent = err == nil
	if err != nil {
		return r
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return r
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	r.status, r.complete = response.StatusCode, err == nil
	return r
}

// configure writes the configuration.
func (w *world) configure(network string) error {
	config := fmt.Sprintf(`{"version":3,"routes":[{"name":"r-unsafe","hostname":%q,"path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":1500,`+
		`"target_latency_ms":100,"service":"s","max_attempts":1,"public":false}],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"team","api_keys":[%q]}]}`, host, key)
	return call(http.MethodPut, "http://"+network+".1:7000/objects/config/main", `{"metadata":{},"spec":`+config+`}`)
}

// setUp starts the servers, writes the first configuration and waits for the instances.
func (w *world) setUp(network string) error {
	store := "http://" + network + ".1:7000/objects/"
	if err := await(func() error { return w.configure(network) }); err != nil {
		return err
	}
	for n := range servers {
		id, address := fmt.Sprintf("i-%d", n), fmt.Sprintf("%s.%d:7400", network, 30+n)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			return err
		}
		s := &http.Server{Handler: w.handler(id), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = s.Serve(listener) }()
		entry := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z-1","version":"v1","slots":24,"state":"ready","born":7,"sequence":1}`, address)
		if err := call(http.MethodPut, store+"servers/"+id, `{"metadata":{},"spec":`+entry+`}`); err != nil {
			return err
		}
	}
	for n := range instances {
		ready := fmt.Sprintf("http://%s.%d:8220/readyz", network, 100+n)
		if err := await(func() error { return call(http.MethodGet, ready, "") }); err != nil {
			return err
		}
	}
	return nil
}

// handler returns a server that runs each request once it has its body.
func (w *world) handler(id string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("X-Attempt-Id")
		writer.Header().Set("X-Attempt-Id", attempt)
		if request.Header.Get("X-Expect-Instance") != id {
			writer.Header().Set("X-Instance-Id", id)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		w.mutex.Lock()
		n := len(w.runs)
		w.runs = append(w.runs, run{server: id, id: attempt})
		w.mutex.Unlock()
		if request.URL.Path == "/unsafe/long" {
			time.Sleep(workTime)
		}
		writer.Header().Set("X-Server-Stamp", id)
		_, err := io.WriteString(writer, "done by "+id)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.runs[n].whole = err == nil
	})
}

// await repeats an attempt until it succeeds or setUpTime has passed.
func await(attempt func() error) error {
	for end := time.Now().Add(setUpTime); ; time.Sleep(50 * time.Millisecond) {
		if err := attempt(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// call makes a call that has to succeed.
func call(method, url, body string) error {
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
