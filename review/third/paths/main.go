// Command paths plays the servers and the callers of case 11 of the review. Callers send requests
// whose paths begin with two slashes, and the servers record what they run. Exit code 1 means that
// a rule was broken, 0 that it held, and 2 that the case could not run.
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
	"time"
)

const (
	host      = "callers.example"
	instances = 2
	servers   = 2
	setUpTime = 15 * time.Second
)

// A sent is a request as its caller sent it.
type sent struct {
	id, method, target, body string
	// got is the status of the answer, zero for none.
	got int
}

// A run is a request as a server ran it.
type run struct {
	server, id, method, target, path, query, host, body, tenant string
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
	trouble := flag.Bool("trouble", true, "send paths that begin with two slashes")
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
		w.printf("UNASKED is broken")
		code = 1
	default:
		w.printf("UNASKED held")
	}
	_ = file.Close()
	os.Exit(code)
}

// play sends the requests and compares them with what the servers have run.
func (w *world) play(network string, trouble bool) (bool, error) {
	if err := w.setUp(network); err != nil {
		return false, err
	}
	lead := "/"
	if trouble {
		lead = "//"
	}
	requests := []sent{
		{id: "a-1", method: http.MethodPost, target: lead + "notes/7?copy=2", body: "a note"},
		{id: "a-2", method: http.MethodGet, target: lead + "notes/7"},
		{id: "a-3", method: http.MethodPost, target: lead + "x/pay/7", body: "a deposit, without a key"},
	}
	for n := range requests {
		s := &requests[n]
		address := fmt.Sprintf("%s.%d:8080", network, 100+n%instances)
		w.printf("caller: %s sends %s %s", s.id, s.method, s.target)
		status, err := send(address, s)
		if err != nil {
			return false, err
		}
		s.got = status
		w.printf("caller: %s is answered %d", s.id, status)
	}
	return w.judge(requests), nil
}

// judge applies the rule to what the servers have run.
func (w *world) judge(requests []sent) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	broken := false
	for _, r := range w.runs {
		w.printf("server: %s ran %s: %s %s, that is path %q and query %q at host %q, tenant %q", r.server, r.id, r.method, r.target, r.path, r.query, r.host, r.tenant)
		for _, s := range requests {
			path, query, _ := strings.Cut(s.target, "?")
			if s.id == r.id && (r.method != s.method || r.path != path || r.query != query || r.body != s.body) {
				w.printf("the caller of %s had sent %s %s", s.id, s.method, s.target)
				broken = true
			}
		}
	}
	return broken
}

// send sends a request without a key over a channel of its own, and returns the status.
func send(address string, s *sent) (int, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		s.method, s.target, host, s.id, len(s.body), s.body)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// setUp starts the servers, writes the configuration and waits for the instances. All paths of the
// host are public, but for those below /pay/.
func (w *world) setUp(network string) error {
	store := "http://" + network + ".1:7000/objects/"
	route := func(name, prefix, public string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,`+
			`"service":"s","max_attempts":1,"public":%s}`, name, host, prefix, public)
	}
	config := fmt.Sprintf(`{"version":3,"routes":[%s,%s],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"team","api_keys":["raft-key"]}]}`, route("r-all", "/", "true"), route("r-pay", "/pay/", "false"))
	if err := await(func() error { return call(http.MethodPut, store+"config/main", `{"metadata":{},"spec":`+config+`}`) }); err != nil {
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
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.runs = append(w.runs, run{
			server: id, id: attempt, method: request.Method, target: request.RequestURI, path: request.URL.EscapedPath(),
			query: request.URL.RawQuery, host: request.Host, body: string(body), tenant: request.Header.Get("X-Tenant"),
		})
		w.mutex.Unlock()
		writer.Header().Set("X-Server-Stamp", id)
		_, _ = io.WriteString(writer, "done by "+id)
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
