// Command streams plays the servers and the callers of case 13 of the review. The events of a stream
// have increasing IDs that are not consecutive, as an ID that counts tokens is. Exit code 1 means
// that the rule was broken, 0 that it held, and 2 that the case could not run.
package main

import (
	"bufio"
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
	"time"
)

const (
	host      = "callers.example"
	instances = 2
	servers   = 2
	setUpTime = 15 * time.Second
	// callers is the number of kept channels, and allowed that of those which may be closed without
	// an answer.
	callers, allowed = 8, 3
	// eventCount is the number of events in a stream, and tokensPerEvent what an ID counts in each.
	eventCount, tokensPerEvent = 12, 3
	eventPause                 = 20 * time.Millisecond
	// contactTime is longer than contact_ms, 3 s.
	contactTime = 3500 * time.Millisecond
	key         = "raft-key"
)

// A run is a request as a server ran it, after the event with the ID last.
type run struct {
	server, id, last string
	// whole is true if the server has sent the stream to its end.
	whole bool
}

// A world is what the stand-ins have seen.
type world struct {
	start time.Time
	out   io.Writer
	mutex sync.Mutex
	runs  []run
	// step is the difference of two IDs.
	step int
}

func (w *world) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(w.out, "%7.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() {
	network := flag.String("net", "", "first three bytes of the loopback `ADDRESS`es")
	trouble := flag.Bool("trouble", true, "let IDs increase by more than one")
	out := flag.String("record", "record.txt", "`FILE` for what was sent, run and answered")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{start: time.Now(), out: io.MultiWriter(file, os.Stdout)}
	broken, err := w.play(*network, *trouble)
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

// play sends the streams and reports whether the rule was broken.
func (w *world) play(network string, trouble bool) (bool, error) {
	w.step = 1
	if trouble {
		w.step = tokensPerEvent
	}
	if err := w.setUp(network); err != nil {
		return false, err
	}
	// From here on the instances are in touch.
	time.Sleep(contactTime)
	var group sync.WaitGroup
	results := make([]result, callers)
	for n := range results {
		group.Go(func() {
			results[n] = w.call(fmt.Sprintf("%s.%d:8080", network, 100+n%instances), fmt.Sprintf("a-%d", n))
		})
	}
	group.Wait()
	lost := 0
	for n, r := range results {
		if r.err != nil {
			return false, r.err
		}
		w.printf("caller: a-%d got %d, stamp %q, %d events with the IDs %v, complete %t", n, r.status, r.stamp, len(r.ids), r.ids, r.complete)
		if !r.complete {
			lost++
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, r := range w.runs {
		w.printf("server: %s ran %s from the ID %q, whole %t", r.server, r.id, r.last, r.whole)
	}
	w.printf("%d of %d kept channels were closed without a complete answer, %d are allowed", lost, callers, allowed)
	return lost > allowed, nil
}

// A result is what a caller got for its stream.
type result struct {
	status   int
	stamp    string
	ids      []string
	complete bool
	// err is why the case could not run.
	err error
}

// call sends a short request and then a stream over one channel.
func (w *world) call(address, id string) result {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	if first := exchange(conn, reader, "/safe/x", id+"-first"); first.status != http.StatusOK || !first.complete {
		return result{err: fmt.Errorf("the first request of %s was answered %d", id, first.status)}
	}
	return exchange(conn, reader, "/stream/x", id)
}

// exchange sends a request and reads the whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, path, id string) result {
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nX-Credential: %s\r\n\r\n", path, host, id, key)
	if err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return result{}
	}
	defer func() { _ = response.Body.Close() }()
	r := result{status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp")}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if eventID, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			r.ids = append(r.ids, eventID)
		}
	}
	r.complete = lines.Err() == nil && r.stamp != ""
	return r
}

// configure writes the configuration, with a route for streams that may be resumed.
func (w *world) configure(network string) error {
	route := func(kind, prefix string) string {
		return fmt.Sprintf(`{"name":"r-%s","hostname":%q,"path_prefix":%q,"kind":%q,"timeout_ms":8000,"target_latency_ms":1000,`+
			`"gap_aim_ms":500,"service":"s","max_attempts":3,"resumable":true,"public":false}`, kind, host, prefix, kind)
	}
	config := fmt.Sprintf(`{"version":3,"routes":[%s,%s],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"team","api_keys":[%q]}]}`, route("safe", "/safe/"), route("streaming", "/stream/"), key)
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
		entry := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z-1","version":"v1","slots":6,"state":"ready","born":7,"sequence":1}`, address)
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
		writer.Header().Set("X-Server-Stamp", id)
		if strings.HasPrefix(request.URL.Path, "/stream/") {
			w.stream(writer, id, attempt, request.Header.Get("Last-Event-Id"))
			return
		}
		_, _ = io.WriteString(writer, "done by "+id)
	})
}

// stream sends the events after the last one that the caller has, each with an increasing ID.
func (w *world) stream(writer http.ResponseWriter, server, attempt, last string) {
	w.mutex.Lock()
	n := len(w.runs)
	w.runs = append(w.runs, run{server: server, id: attempt, last: last})
	w.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(last)
	controller := http.NewResponseController(writer)
	for eventID := from + w.step; eventID <= eventCount*w.step; eventID += w.step {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: tokens up to %d\n\n", eventID, eventID); err != nil || controller.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[n].whole = true
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
