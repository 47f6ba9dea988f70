package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowness is how some clients read.
type slowness struct {
	// answerBytes is the size of the answers, timeoutMs the time budget of the clients and the
	// timeout of the route.
	answerBytes, timeoutMs int
	// pause is how long a client does not read once it has the head of an answer, rate the bytes that
	// it reads in a second then, zero for as many as come.
	pause time.Duration
	rate  int
}

const (
	// slowReaders is the number of clients that read slowly, quickReaders that of the others.
	slowReaders, quickReaders = 12, 28
	// tolerated is the number of channels that the rule allows to be closed without an answer.
	tolerated = 3
	// readInterval is the time between two reads of a client that reads steadily.
	readInterval = 50 * time.Millisecond
	// windowBytes bounds what a client's side takes unread.
	windowBytes = 64 << 10
)

// runPausingReaders has clients that do not read for four seconds, and then read on.
func runPausingReaders(l *lab, trouble bool) (int, error) {
	return runSlowReaders(l, trouble, slowness{answerBytes: 256 << 10, timeoutMs: 10000, pause: 4 * time.Second})
}

// runSteadyReaders has clients that read without a pause, but so slowly that an answer takes them
// nineteen seconds.
func runSteadyReaders(l *lab, trouble bool) (int, error) {
	return runSlowReaders(l, trouble, slowness{answerBytes: 1536 << 10, timeoutMs: 25000, rate: 80 << 10})
}

// runSlowReaders sends two requests on each client's channel: one with a small answer, and one with a
// large answer, which some clients read slowly.
func runSlowReaders(l *lab, trouble bool, slow slowness) (int, error) {
	answer := func(server string) func(conn net.Conn, request *http.Request, body []byte) {
		return func(conn net.Conn, request *http.Request, _ []byte) {
			time.Sleep(15 * time.Millisecond)
			id, size := request.Header.Get("X-Attempt-Id"), 800
			if strings.HasPrefix(request.RequestURI, "/export/") {
				size = slow.answerBytes
			}
			l.note("server %s runs %s %s", server, id, request.RequestURI)
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
				id, server, id, size, strings.Repeat(".", size))
			l.note("server %s has sent its whole answer to %s, %v", server, id, err)
		}
	}
	for n, zone := range zones {
		id := fmt.Sprintf("i-%d", n+1)
		if err := l.startUpstream(id, "desk", zone, answer(id)); err != nil {
			return 0, err
		}
	}
	if err := l.putConfig([]string{"desk"},
		routeEntry{Name: "r-lookup", Hostname: host, PathPrefix: "/lookup/", Kind: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 2, MaxAttempts: 3, Service: "desk"},
		routeEntry{Name: "r-export", Hostname: host, PathPrefix: "/export/", Kind: "unsafe", TimeoutMs: slow.timeoutMs, TargetMs: 1000, Priority: 2, MaxAttempts: 1, Service: "desk"},
	); err != nil {
		return 0, err
	}
	instances, err := l.startInstances()
	if err != nil {
		return 0, err
	}
	l.awaitContact()
	var (
		clients     sync.WaitGroup
		mutex       sync.Mutex
		lost, whole int
	)
	for n := range slowReaders + quickReaders {
		reading := slowness{timeoutMs: slow.timeoutMs}
		if trouble && n < slowReaders {
			reading = slow
		}
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			ended := l.readSlowly(instances[n%len(instances)].callers, n, reading)
			mutex.Lock()
			defer mutex.Unlock()
			switch ended {
			case endedEarly:
				lost++
			case endedWhole:
				whole++
			case endedOtherwise:
			}
		})
	}
	clients.Wait()
	l.note("channels closed without a whole answer: %d, of which the rule allows %d", lost, tolerated)
	if whole+lost < quickReaders {
		return 0, errNothingShown
	}
	return max(0, lost-tolerated), nil
}

// ending is how the second answer to a client ended.
type ending int

const (
	// endedWhole is a whole answer, endedEarly a channel that was closed before its end, within the
	// client's time budget. endedOtherwise counts as neither.
	endedWhole ending = iota
	endedEarly
	endedOtherwise
)

// readSlowly makes the requests of one client, and returns how the answer to the second one ended.
func (l *lab) readSlowly(address string, n int, reading slowness) ending {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(l.ctx, "tcp", address)
	if err != nil {
		l.note("client %d cannot connect: %v", n, err)
		return endedOtherwise
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes)
	}
	reader := bufio.NewReader(conn)
	first := l.request(conn, reader, fmt.Sprintf("GET /lookup/%d", n), fmt.Sprintf("c0000000%08x", n), "", slowness{timeoutMs: 1500})
	if first != endedWhole {
		return endedOtherwise
	}
	return l.request(conn, reader, fmt.Sprintf("POST /export/%d", n), fmt.Sprintf("c0000001%08x", n), "Content-Length: 0\r\n", reading)
}

// request sends a request on a client's channel and reads the answer.
func (l *lab) request(conn net.Conn, reader *bufio.Reader, line, id, fields string, reading slowness) ending {
	begins := time.Now()
	early := func() ending {
		if time.Since(begins) >= time.Duration(reading.timeoutMs)*time.Millisecond {
			return endedOtherwise
		}
		return endedEarly
	}
	_, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", line, host, id, key, reading.timeoutMs, fields)
	if err != nil {
		l.note("client: %s cannot be sent: %v", id, err)
		return endedOtherwise
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		l.note("client: no answer to %s: %v", id, err)
		return early()
	}
	defer func() { _ = response.Body.Close() }()
	count, err := readAt(response.Body, reading)
	l.note("client: %s %d, %d of %d bytes after %.1f s, %v", id, response.StatusCode, count, response.ContentLength, time.Since(begins).Seconds(), err)
	switch {
	case response.StatusCode != http.StatusOK:
		return endedOtherwise
	case err == nil:
		return endedWhole
	}
	l.note("the channel was closed in the answer to %s", id)
	return early()
}

// readAt reads a body to its end after the pause, and at the rate.
func readAt(body io.Reader, pace slowness) (count int, err error) {
	time.Sleep(pace.pause)
	size := 32 << 10
	if pace.rate > 0 {
		size = int(float64(pace.rate) * readInterval.Seconds())
	}
	buffer := make([]byte, size)
	for {
		n, err := readFully(body, buffer)
		count += n
		if err != nil || n < size {
			return count, err
		}
		if pace.rate > 0 {
			time.Sleep(readInterval)
		}
	}
}

// readFully fills the buffer, or reads to the end of the body, which is no error.
func readFully(body io.Reader, buffer []byte) (count int, err error) {
	for count < len(buffer) {
		n, err := body.Read(buffer[count:])
		count += n
		if errors.Is(err, io.EOF) {
			return count, nil
		}
		if err != nil {
			return count, err
		}
	}
	return count, nil
}
