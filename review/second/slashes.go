package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// sentRequest is a request as its client sent it.
type sentRequest struct {
	method, target, body string
}

// runSlashes sends requests of which some have a path that begins with two slashes, which no route
// of the first configuration takes. With the disruption, the next one adds a route for all paths.
func runSlashes(l *lab, trouble bool) (int, error) {
	var mutex sync.Mutex
	sent, broken, served := map[string]sentRequest{}, 0, 0
	answer := func(server string) func(conn net.Conn, request *http.Request, body []byte) {
		return func(conn net.Conn, request *http.Request, body []byte) {
			time.Sleep(15 * time.Millisecond)
			id := request.Header.Get("X-Attempt-Id")
			ran := sentRequest{request.Method, request.RequestURI, string(body)}
			l.note("server %s ran %s %s %s for host %s", server, id, ran.method, ran.target, request.Host)
			mutex.Lock()
			want, known := sent[id]
			if !known || want != ran {
				broken++
				l.note("UNASKED: %s was sent as %s %s", id, want.method, want.target)
			}
			mutex.Unlock()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Length: 4\r\n\r\ndone", id, server, id)
		}
	}
	for n, zone := range zones {
		id := fmt.Sprintf("i-%d", n+1)
		if err := l.startUpstream(id, "desk", zone, answer(id)); err != nil {
			return 0, err
		}
	}
	routes := []routeEntry{
		{Name: "r-lookup", Hostname: host, PathPrefix: "/lookup/", Kind: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 3, Service: "desk"},
		{Name: "r-deposit", Hostname: host, PathPrefix: "/deposit/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 1, Service: "desk"},
	}
	if err := l.putConfig([]string{"desk"}, routes...); err != nil {
		return 0, err
	}
	instances, err := l.startInstances()
	if err != nil {
		return 0, err
	}
	l.awaitContact()
	begins := time.Now()
	var change sync.Once
	var changeErr error
	steadily(6*time.Second, 20*time.Millisecond, func(n int) {
		if trouble && time.Since(begins) > 2*time.Second {
			change.Do(func() {
				all := routeEntry{Name: "r-all", Hostname: host, PathPrefix: "/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 1, Service: "desk"}
				changeErr = l.putConfig([]string{"desk"}, append(routes, all)...)
			})
		}
		id, request := fmt.Sprintf("b%015x", n), sentRequest{http.MethodGet, fmt.Sprintf("/lookup/%d?day=%d", n, n%7), ""}
		switch n % 4 {
		case 1:
			request = sentRequest{http.MethodPost, fmt.Sprintf("/deposit/%d", n), fmt.Sprintf("deposit %d", n)}
		case 2:
			request = sentRequest{http.MethodPost, fmt.Sprintf("//deposit/%d?day=%d", n, n%7), fmt.Sprintf("deposit %d", n)}
		}
		mutex.Lock()
		sent[id] = request
		mutex.Unlock()
		r := send(instances[n%len(instances)].callers, request.method, request.target, id, map[string]string{"X-Deadline-Ms": "1500"}, []byte(request.body))
		l.note("client: %s %s %s -> %d, %v", id, request.method, request.target, r.status, r.err)
		if r.status == http.StatusOK {
			mutex.Lock()
			served++
			mutex.Unlock()
		}
	})
	mutex.Lock()
	defer mutex.Unlock()
	if changeErr == nil && served == 0 {
		return 0, errNothingShown
	}
	return broken, changeErr
}
