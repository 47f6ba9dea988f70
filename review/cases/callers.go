package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// A call is a request of a caller.
type call struct {
	instance int
	method   string
	// target is the path and the query.
	target   string
	key      string
	deadline time.Duration
	headers  map[string]string
}

// An answer is what a caller got. Status is zero if the channel ended without a complete
// answer.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	sentAt time.Time
	took   time.Duration
	err    error
}

// keptChannel returns a client that keeps one channel open.
func keptChannel() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
}

// send sends a request over a client and returns its answer.
func (w *world) send(client *http.Client, c call) answer {
	a := answer{id: w.nextID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(w.ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+w.address(c.instance, 8227)+"/", strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	request.URL.Opaque = c.target
	if strings.HasPrefix(c.target, "//") {
		// Such a path would be taken for a host.
		request.URL.Opaque = ""
		request.URL.Path, request.URL.RawQuery, _ = strings.Cut(c.target, "?")
	}
	request.Host = callerHost
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Credential", c.key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.took = time.Since(a.sentAt)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(data)
	return a
}

// sendAndNote sends a request and records its answer.
func (w *world) sendAndNote(client *http.Client, what string, c call) answer {
	a := w.send(client, c)
	if a.status == 0 {
		w.note("%s: request %s to edge-%d %s: the channel ended without an answer after %d ms: %v", what, a.id, c.instance+1, c.target, a.took.Milliseconds(), a.err)
		return a
	}
	w.note("%s: request %s to edge-%d %s: status %d, stamp %q, after %d ms", what, a.id, c.instance+1, c.target, a.status, a.stamp, a.took.Milliseconds())
	return a
}
