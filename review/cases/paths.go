package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPaths sends requests whose path begins with two slashes on a route that has all paths of
// its host.
func playPaths(w *world, trouble bool) error {
	const key = "n2ctnfzs989anu6wsjnb"
	s := &server{id: "i-1", service: "desk", version: "v1", work: shortWork}
	if err := w.startServer(0, s); err != nil {
		return err
	}
	err := w.putConfig([]string{key}, []any{map[string]any{"name": "desk", "max_connections": 110}}, map[string]any{
		"name": "all", "path_prefix": "/", "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 100,
		"max_attempts": 1, "priority": 2, "service": "desk",
	})
	if err != nil {
		return err
	}
	if _, err := w.startFleet(); err != nil {
		return err
	}
	target := "/accounts/17/close?now=1"
	if trouble {
		target = "//accounts/17/close?now=1"
	}
	a := w.sendAndNote(keptChannel(), "booking", call{0, http.MethodPost, target, key, 1500 * time.Millisecond, nil})
	for _, r := range s.allRuns() {
		if r.id == a.id && (r.target != target || r.host != callerHost) {
			return fmt.Errorf("%w: UNASKED: the caller sent %s to host %s, the server ran %s of host %s", errBroken, target, callerHost, r.target, r.host)
		}
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("the request got status %d", a.status)
	}
	return nil
}
