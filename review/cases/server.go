package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// A server is a stand-in of a server of the users' pages, which is sound unless a field says
// otherwise.
type server struct {
	world   *world
	id      string
	service string
	version string
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// fails reports whether the n-th request ends with status 500. It may be nil.
	fails func(n int) bool
	// models are the models that the server has. Others get status 421. Without any, the
	// header is not looked at.
	models []string

	address string
	mutex   sync.Mutex
	runs    []serverRun
}

// A serverRun is a request that a server ran.
type serverRun struct {
	id     string
	target string
	host   string
	at     time.Time
	failed bool
}

// startServer starts a stand-in of a server at an address of its own and registers it.
func (w *world) startServer(number int, s *server) error {
	s.world = w
	return w.listen(number, s, s)
}

// listen serves a handler at the address of a server and registers the server.
func (w *world) listen(number int, s *server, handler http.Handler) error {
	s.address = fmt.Sprintf("%s.%d:7400", w.subnet, 10+number)
	listener, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.listeners = append(w.listeners, listener)
	w.mutex.Unlock()
	go func() {
		_ = (&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}).Serve(listener)
	}()
	return s.register("ready")
}

// register writes the entry of the server to the store.
func (s *server) register(state string) error {
	w := s.world
	w.note("server %s (%s %s) at %s reports %s", s.id, s.service, s.version, s.address, state)
	return w.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-1", "version": s.version, "slots": 48,
		"state": state, "cold_remaining_ms": 0, "born": w.start.UnixMilli(), "sequence": 1,
	})
}

// allRuns returns the requests that the server ran.
func (s *server) allRuns() []serverRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.runs)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	model := r.Header.Get("X-Model")
	wrongModel := len(s.models) > 0 && !slices.Contains(s.models, model)
	if expected := r.Header.Get("X-Expect-Instance"); (expected != "" && expected != s.id) || wrongModel {
		s.world.note("server %s answers 421 to request %s for model %q", s.id, id, model)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	n := len(s.runs)
	failed := s.fails != nil && s.fails(n)
	work := s.work(r)
	s.runs = append(s.runs, serverRun{id: id, target: r.RequestURI, host: r.Host, at: time.Now(), failed: failed})
	s.mutex.Unlock()
	s.world.note("server %s runs request %s: %s %s, host %s", s.id, id, r.Method, r.RequestURI, r.Host)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.world.note("server %s: the channel of request %s was closed", s.id, id)
		return
	}
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, strings.Repeat("answer ", 115))
}

// shortWork is the usual time for which a request runs.
func shortWork(*http.Request) time.Duration {
	return 15 * time.Millisecond
}
