package main

import (
	"fmt"
	"net/http"
	"time"
)

// oddEntries is the number of entries that another writer leaves.
const oddEntries = 4

// playEntries lets all machines lose power. Meanwhile another writer leaves entries of servers
// that lack fields.
func playEntries(w *world, trouble bool) error {
	const key = "n2ctnfzs989anu6wsjnb"
	for n := range 3 {
		if err := w.startServer(n, &server{id: fmt.Sprintf("i-%d", n+1), service: "desk", version: "v1", work: shortWork}); err != nil {
			return err
		}
	}
	err := w.putConfig([]string{key}, []any{map[string]any{"name": "desk", "max_connections": 110}}, map[string]any{
		"name": "view", "path_prefix": "/view/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 100,
		"max_attempts": 2, "priority": 2, "service": "desk",
	})
	if err != nil {
		return err
	}
	fleet, err := w.startFleet()
	if err != nil {
		return err
	}
	time.Sleep(contact)
	lookup := call{0, http.MethodGet, "/view/1", key, 1500 * time.Millisecond, nil}
	before := w.servedShare("before", lookup)
	err = w.powerOff(fleet, func() error {
		if !trouble {
			return nil
		}
		return w.leaveOddEntries()
	})
	if err != nil {
		return err
	}
	return w.judgeRecovery(before, time.Now(), lookup)
}

// leaveOddEntries writes entries without zone, slots, cold_remaining_ms, sequence and born.
func (w *world) leaveOddEntries() error {
	for n := range oddEntries {
		entry := map[string]any{"service": "desk", "address": fmt.Sprintf("%s.%d:7400", w.subnet, 60+n), "version": "1", "state": "ready"}
		w.note("another writer leaves the entry odd-%d: %v", n+1, entry)
		if err := w.put("servers", fmt.Sprintf("odd-%d", n+1), entry); err != nil {
			return err
		}
	}
	return nil
}
