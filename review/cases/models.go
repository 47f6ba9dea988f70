package main

import (
	"fmt"
	"net/http"
	"time"
)

// A modelCase has a route whose callers name a model, and a route with sizes, on two services of
// model servers, and a plain service.
type modelCase struct {
	*world
	client *http.Client
}

const (
	modelKey = "n2ctnfzs989anu6wsjnb"
	oldModel = "daka510000"
	// askPause is the time between two requests of the callers that name a model.
	askPause = 200 * time.Millisecond
)

// playModels moves the route whose callers name a model to the service of the route with sizes,
// and all machines lose power right after that config was acknowledged. The callers of the route
// go on as the config before demands, within config_ms.
func playModels(w *world, trouble bool) error {
	c := &modelCase{world: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := c.startServers(); err != nil {
		return err
	}
	if err := c.configure("old-llm", nil); err != nil {
		return err
	}
	fleet, err := w.startFleet()
	if err != nil {
		return err
	}
	time.Sleep(contact)
	for n := range fleetSize {
		if status := c.ask("caller that names a model, before", n).status; status != http.StatusOK {
			return fmt.Errorf("a request got status %d before the config changed", status)
		}
	}
	question := call{0, http.MethodPost, "/ask/1", modelKey, 6 * time.Second, promptHeaders("*")}
	before := w.servedShare("before", question)
	if trouble {
		if err := c.configure("new-llm", []string{"daka610000", "daka620000"}); err != nil {
			return err
		}
	}
	ack := time.Now()
	if err := w.powerOff(fleet, func() error { return nil }); err != nil {
		return err
	}
	back := time.Now()
	for time.Since(ack) < configBound-askPause {
		for n := range fleetSize {
			c.ask(fmt.Sprintf("caller that names a model, %d ms after the acknowledgement", time.Since(ack).Milliseconds()), n)
		}
		time.Sleep(askPause)
	}
	return w.judgeRecovery(before, back, question)
}

// startServers starts three servers of the old service, six of the new one, and a plain one.
func (c *modelCase) startServers() error {
	for n := range 10 {
		s := &server{id: fmt.Sprintf("i-%d", n+1), service: "new-llm", version: "v1", work: shortWork, models: []string{"daka610000", "daka620000"}}
		switch {
		case n < 3:
			s.service, s.models = "old-llm", []string{oldModel}
		case n == 9:
			s.service, s.models = "desk", nil
		}
		if err := c.startServer(n, s); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a config in which the route whose callers named a model is on a service.
func (c *modelCase) configure(service string, sizes []string) error {
	engine := func(models ...string) map[string]any {
		var list []any
		for _, model := range models {
			list = append(list, map[string]any{"name": model, "cost": 0.1})
		}
		return map[string]any{"slots": 48, "kv_capacity": 660384, "stride": 3, "models": list}
	}
	services := []any{
		map[string]any{"name": "old-llm", "max_connections": 310, "engine": engine(oldModel)},
		map[string]any{"name": "new-llm", "max_connections": 310, "engine": engine("daka610000", "daka620000")},
		map[string]any{"name": "desk", "max_connections": 110},
	}
	named := map[string]any{
		"name": "named", "path_prefix": "/named/", "kind": "safe", "timeout_ms": 6000, "target_latency_ms": 1000,
		"max_attempts": 3, "priority": 0, "service": service, "sticky": true,
	}
	if sizes != nil {
		named["sizes"] = sizes
	}
	return c.putConfig([]string{modelKey}, services, named, map[string]any{
		"name": "ask", "path_prefix": "/ask/", "kind": "safe", "timeout_ms": 6000, "target_latency_ms": 1000,
		"sizes": []string{"daka610000", "daka620000"}, "max_attempts": 3, "priority": 0, "service": "new-llm", "sticky": true,
	}, map[string]any{
		"name": "view", "path_prefix": "/view/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 100,
		"max_attempts": 2, "priority": 2, "service": "desk",
	})
}

// ask sends a request that names a model.
func (c *modelCase) ask(what string, instance int) answer {
	return c.sendAndNote(c.client, what, call{instance, http.MethodPost, "/named/1", modelKey, 6 * time.Second, promptHeaders(oldModel)})
}

// promptHeaders returns the headers of a request with a prompt.
func promptHeaders(model string) map[string]string {
	return map[string]string{"X-Model": model, "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660"}
}
