package crowds

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosayard/internal/standin/httpserver"
)

// A faultyProxy stands before a stand-in. Once it is faulty, it answers some requests without
// end. ID in the head of that answer stands for the request's ID.
type faultyProxy struct {
	endless httpserver.Endless
	// answers reports whether the proxy answers a request itself while it is faulty.
	answers func(r *http.Request) bool

	faulty atomic.Bool
	target *httputil.ReverseProxy
	server *httptest.Server
}

// faultTime is how long a proxy is faulty before an ordinary request is sent.
const faultTime = 4 * time.Second

// startAt starts the proxy before a stand-in's address and returns its own address.
func (p *faultyProxy) startAt(t *testing.T) func(address string) string {
	return func(address string) string {
		p.target = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		p.server = httptest.NewServer(p)
		t.Cleanup(p.server.CloseClientConnections)
		return p.server.Listener.Addr().String()
	}
}

// begin makes the proxy faulty and cuts its connections, so that all that wait for answers ask
// again.
func (p *faultyProxy) begin() {
	p.faulty.Store(true)
	p.server.CloseClientConnections()
}

// ServeHTTP implements http.Handler.
func (p *faultyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.faulty.Load() || !p.answers(r) {
		p.target.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Attempt-Id") + r.Header.Get("X-Request-Id")
	endless := httpserver.Endless{Head: strings.Replace(p.endless.Head, "ID", id, 1), Piece: p.endless.Piece}
	endless.ServeHTTP(w, r)
}

// endlessLists are answers of a store or platform without end.
var endlessLists = map[string]httpserver.Endless{
	"a list":    {Head: "HTTP/1.1 200 OK\r\n\r\n{\"events\":[", Piece: "{},"},
	"a text":    {Head: "HTTP/1.1 200 OK\r\n\r\n{\"x\":\"", Piece: "x"},
	"chunks":    {Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "400\r\n" + strings.Repeat(" ", 0x400) + "\r\n"},
	"announced": {Head: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", Piece: "x"},
	"a field":   {Head: "HTTP/1.1 200 OK\r\nX-Field: ", Piece: "x"},
}

// playEndlessLists plays a crowd of one caller while all lists and watches are without end.
func playEndlessLists(t *testing.T, newDoor func(t *testing.T, listsAt func(string) string) *door) {
	for name, endless := range endlessLists {
		t.Run(name, func(t *testing.T) {
			proxy := &faultyProxy{endless: endless, answers: func(*http.Request) bool { return true }}
			play(t, func(t *testing.T) *door { return newDoor(t, proxy.startAt(t)) }, crowd{
				callers: 1,
				first: func(*door, int) string {
					proxy.begin()
					time.Sleep(faultTime)
					return "\r\n"
				},
			})
		})
	}
}

// TestStoreWithoutEnd guards against an instance that runs out of memory since the store sends
// bytes without end to all of its watches and lists at once.
func TestStoreWithoutEnd(t *testing.T) {
	playEndlessLists(t, func(t *testing.T, storeAt func(string) string) *door {
		return newSharedDoorBehind(t, storeAt, direct)
	})
}

// TestPlatformWithoutEnd guards against the same at the product's own interface.
func TestPlatformWithoutEnd(t *testing.T) {
	playEndlessLists(t, func(t *testing.T, platformAt func(string) string) *door {
		return newOwnInterfaceBehind(t, platformAt, direct, direct)
	})
}

// endlessAnswers are answers of an upstream without end.
var endlessAnswers = map[string]httpserver.Endless{
	"a body":         {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", Piece: "x"},
	"an event":       {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\ndata: ", Piece: "x"},
	"lines of event": {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n", Piece: "data: x\n"},
	"a field":        {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Field: ", Piece: "x"},
}

// TestUpstreamsWithoutEnd guards against an instance that runs out of memory since an upstream
// answers many requests without end at once.
func TestUpstreamsWithoutEnd(t *testing.T) {
	for name, endless := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			proxy := &faultyProxy{endless: endless, answers: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/large") }}
			play(t, func(t *testing.T) *door { return newSharedDoorBehind(t, direct, proxy.startAt(t)) }, crowd{
				callers: 100,
				first: func(d *door, caller int) string {
					proxy.faulty.Store(true)
					return d.withLength([]string{d.large, d.stream}[caller%2], 5)
				},
				last: text("small"),
			})
		})
	}
}

// TestUpstreamsWithoutEndAtOwnInterface guards against the same there.
func TestUpstreamsWithoutEndAtOwnInterface(t *testing.T) {
	for name, endless := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			endless.Head = strings.Replace(endless.Head, "X-Attempt-Id", "X-Request-Id", 1)
			proxyFor := func(suffix string) *faultyProxy {
				return &faultyProxy{endless: endless, answers: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, suffix) }}
			}
			engine, desk := proxyFor("/completions"), proxyFor("/large")
			play(t, func(t *testing.T) *door { return newOwnInterfaceBehind(t, direct, engine.startAt(t), desk.startAt(t)) }, crowd{
				callers: 100,
				first: func(d *door, caller int) string {
					engine.faulty.Store(true)
					desk.faulty.Store(true)
					if caller%2 == 0 {
						return d.withLength(d.large, 5)
					}
					return d.withLength(d.stream, len(d.streamBody))
				},
				last: func(d *door, caller int) string {
					if caller%2 == 0 {
						return "small"
					}
					return d.streamBody
				},
			})
		})
	}
}
