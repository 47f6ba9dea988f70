// Command keys plays the servers, the operator and the callers of case 11 of the review. The operator
// takes the only tenant out of the configuration, and callers go on with its key, with keys that
// never were in a configuration, and with none. Exit code 1 means that the rule was broken, 0 that
// it held, and 2 that the case could not run.
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
	// settleTime is longer than config_ms, 2 s, after which a version is in force.
	settleTime = 4 * time.Second
	teamKey    = "raft-key"
	unknownKey = "no-such-key"
	team       = `{"name":"team","api_keys":["raft-key"]}`
)

// A run is a request as a server ran it.
type run struct {
	server, id, tenant string
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
	trouble := flag.Bool("trouble", true, "take the tenant out of the configuration")
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
		w.printf("ROUTE is broken")
		code = 1
	default:
		w.printf("ROUTE held")
	}
	_ = file.Close()
	os.Exit(code)
}

// play changes the configuration and reports whether requests ran whose key no configuration held.
func (w *world) play(network string, trouble bool) (bool, error) {
	if err := w.setUp(network); err != nil {
		return false, err
	}
	if err := w.sendAll(network, "before"); err != nil {
		return false, err
	}
	tenants := team
	if trouble {
		tenants = ""
	}
	w.printf("operator: version 6 has the tenants [%s]", tenants)
	if err := w.configure(network, 6, tenants); err != nil {
		return false, err
	}
	w.printf("operator: version 6 is acknowledged")
	time.Sleep(settleTime)
	if err := w.sendAll(network, "after"); err != nil {
		return false, err
	}
	return w.judge(trouble), nil
}

// sendAll sends a request with each kind of key to each instance.
func (w *world) sendAll(network, phase string) error {
	for n := range instances {
		for _, key := range []string{teamKey, unknownKey, ""} {
			id := fmt.Sprintf("%s-%d-%s", phase, n, key)
			status, err := send(fmt.Sprintf("%s.%d:8080", network, 100+n), id, key)
			if err != nil {
				return err
			}
			w.printf("caller: %s with the key %q is answered %d", id, key, status)
		}
	}
	return nil
}

// judge applies the rule to what the servers have run.
func (w *world) judge(trouble bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	unknown, dropped := 0, 0
	for _, r := range w.runs {
		w.printf("server: %s ran %s, tenant %q", r.server, r.id, r.tenant)
		switch {
		case !strings.HasSuffix(r.id, teamKey):
			unknown++
		case trouble && strings.HasPrefix(r.id, "after"):
			dropped++
		}
	}
	w.printf("%d requests ran whose key no configuration ever held, %d with a key that was dropped %s before", unknown, dropped, settleTime)
	return unknown > 0
}

// send sends a request over a channel of its own, and returns the status.
func send(address, id, key string) (int, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	credential := ""
	if key != "" {
		credential = "X-Credential: " + key + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /pay/7 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n%sContent-Length: 9\r\n\r\na deposit",
		host, id, credential)
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

// configure writes a version of the configuration with a route that is not public.
func (w *world) configure(network string, version int, tenants string) error {
	config := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-pay","hostname":%q,"path_prefix":"/pay/","kind":"unsafe","timeout_ms":1500,`+
		`"target_latency_ms":100,"service":"s","max_attempts":1,"public":false}],"services":[{"name":"s","health_path":"/healthz","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}`,
		version, host, tenants)
	return call(http.MethodPut, "http://"+network+".1:7000/objects/config/main", `{"metadata":{},"spec":`+config+`}`)
}

// setUp starts the servers, writes the first configuration and waits for the instances.
func (w *world) setUp(network string) error {
	store := "http://" + network + ".1:7000/objects/"
	if err := await(func() error { return w.configure(network, 3, team) }); err != nil {
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
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		w.mutex.Lock()
		w.runs = append(w.runs, run{server: id, id: attempt, tenant: request.Header.Get("X-Tenant")})
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
