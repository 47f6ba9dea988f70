package processes

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	soakSeeds  = flag.Int("soaks", 2, "number of drawn soaks")
	firstSoak  = flag.Int("first-soak", 0, "seed of the first drawn soak")
	soakLength = flag.Duration("soak-length", 12*time.Second, "time in which a soak disturbs the fleet")
)

// A soak is a fleet under load that is disturbed by a plan drawn from a seed. Callers keep
// their connections until the instance has ended.
type soak struct {
	*sharedFleet
	seed    uint64
	plan    []disturbance
	callers int
	states  []*instanceState
	// breaking are the times in which upstreams break streams off.
	breaking []interval

	mutex    sync.Mutex
	requests []soakRequest
}

// A disturbance is one step of a plan. Target is the number of an instance or an upstream.
type disturbance struct {
	at     time.Duration
	kind   string
	target int
	length time.Duration
	// startedAt is when it was carried out.
	startedAt time.Time
}

// upstream returns the upstream that is the target.
func (d disturbance) upstream() string {
	return []string{"i-1", "i-2"}[d.target%2]
}

// An instanceState is what the soak has done to an instance.
type instanceState struct {
	// restartAt is when the instance is started again, zero while it runs.
	restartAt time.Time
	// resumeAt is when a paused instance goes on, zero while it is not paused.
	resumeAt time.Time
	// stopping is true from SIGTERM until the process has ended.
	stopping bool
	// interrupted are the times in which the instance may cut its callers off: it was
	// killed or paused, or not running.
	interrupted []interval
	// untouchedSince is when the latest disturbance of the instance ended.
	untouchedSince time.Time
}

type interval struct{ from, to time.Time }

// A soakRequest is a request and its outcome as the caller sees it.
type soakRequest struct {
	id, kind       string
	instance       int
	sentAt, doneAt time.Time
	// status is zero if there was no head of an answer. Whole is false if the answer broke
	// off, right if a successful one is what the upstream sends.
	status       int
	whole, right bool
	stamped      bool
}

const (
	soakInstances = 3
	// soakContact is the time for which an instance must be undisturbed until bounds hold.
	soakContact = 3 * time.Second
	// soakConfigBound is the time in which a configuration is in force.
	soakConfigBound = 2 * time.Second
	// soakSettling is the time after the last disturbance until a last edit, of which each
	// instance must have been undisturbed for soakContact.
	soakSettling = 2 * soakContact
	// soakBodyLimit is the limit on bodies in the configuration.
	soakBodyLimit = 65536
	soakTick      = 10 * time.Millisecond
)

// soakKinds are the kinds of disturbances: of instances, of upstreams, of the store and of the
// configuration.
var soakKinds = []string{
	"stop", "stop", "kill", "pause", "hup", "drop answers", "break streams", "full", "refuse", "lose writes", "forget", "edit",
}

// drawPlan draws disturbances, of which some come in series and others overlap.
func drawPlan(random *rand.Rand, length time.Duration) []disturbance {
	var plan []disturbance
	for at := time.Duration(0); at < length; {
		kind := soakKinds[random.IntN(len(soakKinds))]
		for range 1 + random.IntN(3) {
			plan = append(plan, disturbance{
				at: at, kind: kind, target: random.IntN(soakInstances), length: time.Duration(100+random.IntN(1200)) * time.Millisecond,
			})
			at += time.Duration(random.IntN(500)) * time.Millisecond
		}
		at += time.Duration(random.IntN(700)) * time.Millisecond
	}
	return plan
}

// TestSoak guards against promises that fail under disturbances in series and overlapping: a
// request that must not be repeated runs once, one that is refused has not run, answers are
// whole and the right ones, a stop loses nothing, and edits are in force in time.
func TestSoak(t *testing.T) {
	for n := range *soakSeeds {
		seed := *firstSoak + n
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			s := &soak{sharedFleet: newSharedFleet(t, soakInstances, soakInstances), seed: uint64(seed), plan: drawPlan(random, *soakLength), callers: 4 + random.IntN(5)}
			for range soakInstances {
				s.states = append(s.states, &instanceState{untouchedSince: time.Now()})
			}
			done := make(chan struct{})
			group := &errgroup.Group{}
			for n := range soakInstances * s.callers {
				group.Go(func() error {
					s.runCaller(n, done)
					return nil
				})
			}
			s.run()
			close(done)
			_ = group.Wait()
			s.check()
		})
	}
}

// runCaller sends requests on one connection to an instance until the soak is over.
func (s *soak) runCaller(number int, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, uint64(number+2)))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		kind := []string{"safe", "unsafe", "stream"}[random.IntN(3)]
		body := strings.Repeat("x", random.IntN(64))
		if random.IntN(50) == 0 {
			body = strings.Repeat("x", soakBodyLimit)
		}
		r := s.send(client, number%soakInstances, kind, body)
		s.mutex.Lock()
		s.requests = append(s.requests, r)
		s.mutex.Unlock()
	}
}

// send sends a request and reads its answer to the end.
func (s *soak) send(client *http.Client, index int, kind, body string) soakRequest {
	path := "/" + kind + "/x"
	request := s.newRequest(index, http.MethodPost, path, validKey)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	r := soakRequest{id: request.Header.Get("X-Attempt-Id"), kind: kind, instance: index, sentAt: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		var received []byte
		received, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		want := fmt.Sprintf("%s for team: %s", path, body)
		if kind == "stream" {
			want = completeEventStream()
		}
		r.status, r.whole, r.right = response.StatusCode, err == nil, string(received) == want
		r.stamped = response.Header.Get("X-Server-Stamp") != ""
	}
	r.doneAt = time.Now()
	return r
}

// run carries the plan out, lets the fleet settle and edits the configuration once more.
func (s *soak) run() {
	start := time.Now()
	s.plan = append(s.plan, disturbance{at: *soakLength + soakSettling, kind: "edit"})
	var ends []disturbance
	var edits []time.Time
	for n := 0; time.Since(start) < *soakLength+soakSettling+soakConfigBound+time.Second; time.Sleep(soakTick) {
		now := time.Now()
		for ; n < len(s.plan) && now.Sub(start) >= s.plan[n].at; n++ {
			d := s.plan[n]
			if d.kind == "edit" {
				s.edit(fmt.Sprintf("edit-%d", len(edits)))
				edits = append(edits, time.Now())
				continue
			}
			d.startedAt = now
			s.begin(d)
			d.at += d.length
			ends = append(ends, d)
		}
		ends = slices.DeleteFunc(ends, func(d disturbance) bool {
			isOver := now.Sub(start) >= d.at
			if isOver {
				s.end(d)
			}
			return isOver
		})
		for index := range s.states {
			s.advance(index, now)
		}
		s.checkEdits(edits)
	}
}

// edit writes a configuration with one more key, again if the answer is lost.
func (s *soak) edit(key string) {
	const attempts = 6
	object := `{"metadata":{},"spec":` + s.nextConfiguration(validKey, key) + `}`
	var err error
	for range attempts {
		if err = s.tryPut(s.objectURL("config", "main"), object); err == nil {
			return
		}
	}
	s.t.Fatal(err)
}

// begin starts a disturbance. One of an instance that is being stopped or is not running is
// left out.
func (s *soak) begin(d disturbance) {
	state := s.states[d.target]
	switch d.kind {
	case "drop answers":
		s.setFaults(d.upstream(), `{"lose_answers":true}`)
	case "break streams":
		s.setFaults(d.upstream(), `{"break_after":3}`)
	case "full":
		s.setFaults(d.upstream(), `{"full":true}`)
	case "refuse":
		s.touch()
		s.put(s.platformURL()+"/admin/faults", fmt.Sprintf(`{"refuse":[%q]}`, strings.Split(s.address(d.target, 0), ":")[0]))
	case "lose writes":
		s.touch()
		s.put(s.platformURL()+"/admin/faults", `{"lose_answers":2}`)
	case "forget":
		s.put(s.platformURL()+"/admin/faults", `{"forget":true}`)
	}
	if !state.restartAt.IsZero() || state.stopping || !state.resumeAt.IsZero() {
		return
	}
	now := time.Now()
	switch d.kind {
	case "stop":
		state.stopping = true
		_ = s.instances[d.target].command.Process.Signal(syscall.SIGTERM)
	case "kill":
		state.interrupted = append(state.interrupted, interval{now, now.Add(time.Hour)})
		s.instances[d.target].kill()
		state.restartAt = now.Add(d.length)
	case "pause":
		state.interrupted = append(state.interrupted, interval{now, now.Add(time.Hour)})
		s.instances[d.target].pause()
		state.resumeAt = now.Add(d.length)
	case "hup":
		_ = s.instances[d.target].command.Process.Signal(syscall.SIGHUP)
	}
}

// end ends a disturbance of an upstream or of the store. Those of instances end in advance.
func (s *soak) end(d disturbance) {
	switch d.kind {
	case "drop answers", "break streams", "full":
		s.setFaults(d.upstream(), `{}`)
	case "refuse", "lose writes", "forget":
		s.put(s.platformURL()+"/admin/faults", `{}`)
		s.touch()
	}
	if d.kind == "break streams" {
		s.breaking = append(s.breaking, interval{d.startedAt, time.Now()})
	}
}

// touch records a disturbance of the store, which all instances use.
func (s *soak) touch() {
	for _, state := range s.states {
		state.untouchedSince = time.Now()
	}
}

// advance starts an instance again that has ended, and resumes one that is paused.
func (s *soak) advance(index int, now time.Time) {
	state := s.states[index]
	if state.stopping {
		state.untouchedSince = now
		select {
		case <-s.instances[index].done:
			state.stopping, state.restartAt = false, now.Add(200*time.Millisecond)
			state.interrupted = append(state.interrupted, interval{now.Add(-soakTick), now.Add(time.Hour)})
		default:
		}
	}
	if !state.restartAt.IsZero() || !state.resumeAt.IsZero() {
		state.untouchedSince = now
	}
	if !state.restartAt.IsZero() && now.After(state.restartAt) {
		s.instances[index] = s.startSharedInstance(index, false)
		state.restartAt = time.Time{}
		state.interrupted[len(state.interrupted)-1].to = now
	}
	if !state.resumeAt.IsZero() && now.After(state.resumeAt) {
		s.instances[index].resume()
		state.resumeAt = time.Time{}
		// Requests of the pause are answered after it.
		state.interrupted[len(state.interrupted)-1].to = now
	}
}

// checkEdits checks that the key of the latest edit works, and that of the one before does not,
// at the instances that have been undisturbed since well before the edit.
func (s *soak) checkEdits(edits []time.Time) {
	latest := len(edits) - 1
	if latest < 0 || time.Since(edits[latest]) < soakConfigBound {
		return
	}
	for index, state := range s.states {
		if edits[latest].Sub(state.untouchedSince) < soakContact {
			continue
		}
		if status := s.callStatus(index, http.MethodGet, "/safe/x", fmt.Sprintf("edit-%d", latest)); status == http.StatusUnauthorized {
			s.t.Errorf("instance %d refuses the key of edit %d, %v after it", index, latest, time.Since(edits[latest]))
		}
		if latest == 0 {
			continue
		}
		if status := s.callStatus(index, http.MethodGet, "/safe/x", fmt.Sprintf("edit-%d", latest-1)); status == http.StatusOK {
			s.t.Errorf("instance %d takes a revoked key, %v after edit %d", index, time.Since(edits[latest]), latest)
		}
	}
}

// check checks the outcomes of all requests.
func (s *soak) check() {
	s.t.Helper()
	counts := s.executionCounts()
	served, latest := 0, time.Now().Add(-soakContact)
	servedLately := make([]int, soakInstances)
	for _, r := range s.requests {
		if fault := s.faultOf(r, counts[r.id]); fault != "" {
			s.t.Errorf("request %s (%s) to instance %d, sent %v after its seed's first, status %d, ran %d times: %s",
				r.id, r.kind, r.instance, r.sentAt.Sub(s.requests[0].sentAt), r.status, counts[r.id], fault)
		}
		if r.status == http.StatusOK && r.whole {
			served++
			if r.sentAt.After(latest) {
				servedLately[r.instance]++
			}
		}
	}
	for index, count := range servedLately {
		if count == 0 {
			s.t.Errorf("instance %d serves nothing after the disturbances", index)
		}
	}
	s.t.Logf("%d disturbances, %d callers at each instance, %d of %d requests served", len(s.plan), s.callers, served, len(s.requests))
}

// faultOf returns which promise the outcome of a request breaks, empty for none.
func (s *soak) faultOf(r soakRequest, runs int) string {
	isRefusal := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	switch {
	case r.kind == "unsafe" && runs > 1:
		return "it must not be repeated"
	case r.kind == "unsafe" && isRefusal && runs > 0:
		return "its refusal says that it has not run"
	case r.status == http.StatusOK && r.whole && (!r.right || !r.stamped):
		return "its answer is not what the upstream sent"
	case r.status == http.StatusUnauthorized, r.status == http.StatusForbidden, r.status == http.StatusNotFound:
		return "its key and route are valid"
	case r.kind == "stream" && overlaps(s.breaking, r):
		// The upstream has broken the stream off, all attempts may be used up.
	case runs > 0 && !r.whole && !overlaps(s.states[r.instance].interrupted, r):
		return "it ran, and its instance cut it off though it was not killed"
	}
	return ""
}

// overlaps reports whether the request was in progress in one of the intervals.
func overlaps(intervals []interval, r soakRequest) bool {
	return slices.ContainsFunc(intervals, func(n interval) bool { return r.sentAt.Before(n.to) && r.doneAt.After(n.from) })
}
