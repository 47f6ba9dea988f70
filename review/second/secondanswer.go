package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// troubleTime is how long two of four servers are faulty.
	troubleTime = 5 * time.Second
	// spoiledEvery is the number of answers of such a server of which one is spoiled, less than 3 in 100.
	spoiledEvery = 34
)

// ledger remembers the body that a server has made for each request.
type ledger struct {
	mutex  sync.Mutex
	bodies map[string][]byte
	spoils int
}

// runSecondAnswer has two of four servers send 1 in 34 of their answers without a length. With the
// disruption a second answer, that to the request before, follows on the same channel.
func runSecondAnswer(l *lab, trouble bool) (int, error) {
	book := &ledger{bodies: map[string][]byte{}}
	if err := l.putConfig([]string{"desk"},
		routeEntry{Name: "r-lookup", Hostname: host, PathPrefix: "/lookup/", Kind: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 3, Service: "desk"},
		routeEntry{Name: "r-deposit", Hostname: host, PathPrefix: "/deposit/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 1, Service: "desk"},
	); err != nil {
		return 0, err
	}
	begins := time.Now().Add(time.Hour)
	var mutex sync.Mutex
	active := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return time.Now().After(begins) && time.Since(begins) < troubleTime
	}
	for n, zone := range append(zones, zones[2]) {
		id := fmt.Sprintf("i-%d", n+1)
		if err := l.startUpstream(id, "desk", zone, book.answers(l, id, func() bool { return n < 2 && active() }, trouble)); err != nil {
			return 0, err
		}
	}
	instances, err := l.startInstances()
	if err != nil {
		return 0, err
	}
	l.awaitContact()
	mutex.Lock()
	begins = time.Now().Add(2 * time.Second)
	mutex.Unlock()
	broken, served := 0, 0
	steadily(9*time.Second, 15*time.Millisecond, func(n int) {
		id, method, target, body := fmt.Sprintf("a%015x", n), http.MethodGet, fmt.Sprintf("/lookup/%d", n), []byte(nil)
		if n%3 > 0 {
			method, target, body = http.MethodPost, fmt.Sprintf("/deposit/%d", n), []byte(fmt.Sprintf("deposit %d", n))
		}
		r := send(instances[n%len(instances)].callers, method, target, id, map[string]string{"X-Deadline-Ms": "1500"}, body)
		l.note("client: %s %s %s -> %d, %d bytes, %v", id, method, target, r.status, len(r.body), r.err)
		if r.err != nil || r.status/100 != 2 {
			return
		}
		mutex.Lock()
		served++
		mutex.Unlock()
		whole := book.body(id)
		if !bytes.Equal(whole, r.body) || r.header.Get("X-Server-Stamp") == "" {
			l.note("MIXED: %s got %q, and the server's body is %q", id, r.body, whole)
			mutex.Lock()
			broken++
			mutex.Unlock()
		}
	})
	l.note("answers without a length: %d", book.spoils)
	if served == 0 || book.spoils == 0 {
		return 0, errNothingShown
	}
	return broken, nil
}

// answers returns the answer of a server, which spoils some while it is faulty.
func (b *ledger) answers(l *lab, server string, faulty func() bool, second bool) func(conn net.Conn, request *http.Request, body []byte) {
	var mutex sync.Mutex
	count, previousID, previous := 0, "", []byte(nil)
	return func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(15 * time.Millisecond)
		id := request.Header.Get("X-Attempt-Id")
		content := []byte(fmt.Sprintf("%s %s by %s: %s %s", request.Method, request.RequestURI, server, body, strings.Repeat(".", 700)))
		mutex.Lock()
		spoil := false
		if faulty() {
			count++
			spoil = count%spoiledEvery == 0
		}
		lastID, last := previousID, previous
		previousID, previous = id, content
		mutex.Unlock()
		b.mutex.Lock()
		b.bodies[id] = content
		if spoil {
			b.spoils++
		}
		b.mutex.Unlock()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%s\r\n%s"
		length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
		answer := fmt.Sprintf(head, id, server+"."+id, length, content)
		if spoil {
			answer = fmt.Sprintf(head, id, server+"."+id, "", content)
		}
		if spoil && second {
			answer += fmt.Sprintf(head, lastID, server+"."+lastID, fmt.Sprintf("Content-Length: %d\r\n", len(last)), last)
		}
		l.note("server %s ran %s %s %s, without a length %t, a second answer %t", server, id, request.Method, request.RequestURI, spoil, spoil && second)
		_, _ = conn.Write([]byte(answer))
	}
}

// body returns the body that a server has made for a request.
func (b *ledger) body(id string) []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bodies[id]
}
