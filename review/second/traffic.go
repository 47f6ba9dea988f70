package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a stand-in for a server. It takes one request on each connection.
type upstream struct {
	id       string
	listener net.Listener
	// answer writes the answer to a request that the server runs.
	answer func(conn net.Conn, request *http.Request, body []byte)
}

// startUpstream starts a server and registers it.
func (l *lab) startUpstream(id, service, zone string, answer func(conn net.Conn, request *http.Request, body []byte)) error {
	listener, err := (&net.ListenConfig{}).Listen(l.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &upstream{id: id, listener: listener, answer: answer}
	go u.accept()
	return l.put("servers", id, upstreamEntry{
		Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: 6, State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
	})
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.Header.Get("X-Expect-Instance") != u.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		return
	}
	u.answer(conn, request, body)
}

// reply is an answer as a client sees it.
type reply struct {
	status int
	header http.Header
	body   []byte
	// err is set if there is no whole answer.
	err error
}

// send sends a request on a new connection and reads the answer.
func send(address, method, target, id string, header map[string]string, body []byte) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx,gosec // The timeout bounds it, and the address is a loopback one.
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\n", method, target, host, id, key)
	for name, value := range header {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if len(body) > 0 {
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	head.Write(body)
	if _, err := conn.Write(head.Bytes()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: content, err: err}
}

// group runs clients and waits for them.
type group struct {
	sync.WaitGroup
}

// steadily calls one of the functions at each interval until the time is over, and waits for all.
func steadily(duration, interval time.Duration, call func(n int)) {
	var g group
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		g.Go(func() { call(n) })
		<-ticker.C
	}
	g.Wait()
}
