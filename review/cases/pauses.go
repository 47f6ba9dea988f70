package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of a whole stream, eventPause the time between them.
	streamEvents = 8
	eventPause   = 50 * time.Millisecond
	// delayedAfter is the number of events of a run after which long prompts delay it, and
	// delayedFor how long that lasts.
	delayedAfter = 2
	delayedFor   = 2500 * time.Millisecond
	// patience is the gap after which callers abandon a stream: the longest of two seconds,
	// four times the objective and eight times the pause of the sheet.
	patience = 4 * time.Second
	streams  = 9
)

// A modelServer is a stand-in of a sound model server. While it is busy, long prompts delay
// each run once.
type modelServer struct {
	world *world
	id    string
	busy  bool

	mutex sync.Mutex
	runs  map[string]int
}

// ServeHTTP implements http.Handler. It streams the events after the one that Last-Event-Id
// names.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	s.world.note("server %s runs request %s after event %d", s.id, id, last)
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= streamEvents; n++ {
		pause := eventPause
		if s.busy && n == last+delayedAfter+1 {
			s.world.note("server %s reads long prompts beside request %s after event %d", s.id, id, n-1)
			pause = delayedFor
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			s.world.note("server %s: the channel of request %s was closed after event %d", s.id, id, n-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// playPauses sends streams to an instance around a SIGHUP, while the model servers read long
// prompts, so that each run pauses for less than callers wait.
func playPauses(w *world, trouble bool) error {
	const key = "n2ctnfzs989anu6wsjnb"
	var servers []*modelServer
	for n := range 6 {
		s := &modelServer{world: w, id: fmt.Sprintf("i-%d", n+1), busy: trouble, runs: map[string]int{}}
		entry := &server{world: w, id: s.id, service: "llm", version: "v1"}
		if err := w.listen(n, entry, s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	err := w.putConfig([]string{key}, []any{map[string]any{"name": "llm", "max_connections": 310}}, map[string]any{
		"name": "chat", "path_prefix": "/chat/", "kind": "streaming", "resumable": true, "timeout_ms": 25000, "target_latency_ms": 1000,
		"gap_aim_ms": 500, "max_attempts": 3, "priority": 0, "service": "llm",
	})
	if err != nil {
		return err
	}
	fleet, err := w.startFleet()
	if err != nil {
		return err
	}
	time.Sleep(contact)
	w.note("edge-1 gets SIGHUP")
	if err := fleet[0].command.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	lost := make([]bool, streams)
	var group sync.WaitGroup
	for n := range streams {
		time.Sleep(configBound / 2 / streams)
		group.Go(func() { lost[n] = w.readStream(n, key) })
	}
	group.Wait()
	count := 0
	for _, l := range lost {
		if l {
			count++
		}
	}
	runs := 0
	for _, s := range servers {
		for _, n := range s.runs {
			runs += n
		}
	}
	w.note("%d of %d streams ended without a complete answer, after %d runs", count, streams, runs)
	if count > 0 {
		return fmt.Errorf("%w: LOST: %d of %d streams were passed on to sound servers and ended without a complete answer", errBroken, count, streams)
	}
	return nil
}

// readStream sends a request for a stream over a channel of its own that is kept, and reports
// whether the channel ended without a complete answer before the caller's patience did.
func (w *world) readStream(number int, key string) (lost bool) {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address(0, 8227)+"/chat/1", strings.NewReader(""))
	if err != nil {
		return false
	}
	id := w.nextID()
	request.Host = callerHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "25000")
	request.Header.Set("X-Model", "daka510000")
	request.Header.Set("X-Token-Count", "1460,80")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,91bd3f%02x:660", number))
	abandon := time.AfterFunc(patience, cancel)
	defer abandon.Stop()
	response, err := keptChannel().Do(request)
	if err != nil {
		w.note("stream %s: no answer: %v", id, err)
		return ctx.Err() == nil
	}
	defer func() { _ = response.Body.Close() }()
	lines, last, at := bufio.NewScanner(response.Body), 0, time.Now()
	longest := time.Duration(0)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
			longest, at = max(longest, time.Since(at)), time.Now()
			abandon.Reset(patience)
		}
	}
	w.note("stream %s: status %d, %d of %d events, longest gap %d ms, waited %d ms at the end, end: %v", id, response.StatusCode, last, streamEvents, longest.Milliseconds(), time.Since(at).Milliseconds(), lines.Err())
	return ctx.Err() == nil && (lines.Err() != nil || last < streamEvents)
}
