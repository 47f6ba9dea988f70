package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playDrain stops an instance while its callers keep sending bookings on kept channels. A
// booking runs for a few seconds, well within its route's timeout.
func playDrain(w *world, trouble bool) error {
	const (
		key  = "n2ctnfzs989anu6wsjnb"
		long = 4200 * time.Millisecond
	)
	servers := []*server{}
	for n := range 3 {
		s := &server{id: fmt.Sprintf("i-%d", n+1), service: "desk", version: "v1", work: func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.RequestURI, "/book/long") {
				return long
			}
			return shortWork(r)
		}}
		if err := w.startServer(n, s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	err := w.putConfig([]string{key}, []any{map[string]any{"name": "desk", "max_connections": 110}}, map[string]any{
		"name": "book", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 10000, "target_latency_ms": 5000,
		"max_attempts": 1, "priority": 2, "service": "desk",
	})
	if err != nil {
		return err
	}
	fleet, err := w.startFleet()
	if err != nil {
		return err
	}
	time.Sleep(contact)

	// Each caller opens its channel with a short booking, and sends a long one on it later.
	offsets := []float64{-1, 0.2, 1.2, 2.2, 3.3, 3.5}
	channels := make([]*http.Client, len(offsets))
	for n := range channels {
		channels[n] = keptChannel()
		if a := w.sendAndNote(channels[n], "short booking", call{0, http.MethodPost, "/book/short", key, 10 * time.Second, nil}); a.status != http.StatusOK {
			return fmt.Errorf("a short booking got status %d", a.status)
		}
	}
	stopAt := time.Now().Add(1500 * time.Millisecond)
	answers := make([]answer, len(offsets))
	var group sync.WaitGroup
	for n, offset := range offsets {
		group.Go(func() {
			w.sleepUntil(stopAt.Add(time.Duration(offset * float64(time.Second))))
			answers[n] = w.sendAndNote(channels[n], fmt.Sprintf("booking sent %.1f s after the stop", offset), call{0, http.MethodPost, "/book/long", key, 10 * time.Second, nil})
		})
	}
	w.sleepUntil(stopAt)
	if trouble {
		w.note("edge-1 gets SIGTERM")
		w.stop(fleet[0])
	}
	group.Wait()

	return w.judgeLost(answers, servers, stopAt)
}

// judgeLost checks the rule LOST for the requests that were sent later than three seconds after
// the stop.
func (w *world) judgeLost(answers []answer, servers []*server, stopAt time.Time) error {
	ran := map[string]bool{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			ran[r.id] = true
		}
	}
	lost := 0
	for _, a := range answers {
		if a.status == 0 && ran[a.id] && a.sentAt.After(stopAt.Add(3*time.Second)) {
			lost++
			w.note("request %s was passed on to a server, and its channel ended without an answer %d ms after it was sent", a.id, a.took.Milliseconds())
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d bookings were passed on and never answered", errBroken, lost)
	}
	return nil
}
