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
	// movedRequests are sent within config_ms after the acknowledgement of the config that
	// moves their route.
	movedRequests = 12
)

// playModels moves the route whose callers name a model to the service of the route with sizes.
// Its callers go on as the config before demands, within config_ms.
func playModels(w *world, trouble bool) error {
	c := &modelCase{world: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := c.startServers(); err != nil {
		return err
	}
	if err := c.configure("old-llm", nil); err != nil {
		return err
	}
	if _, err := w.startFleet(); err != nil {
		return err
	}
	time.Sleep(contact)
	for n := range fleetSize {
		if status := c.ask("before", n, "/named/1", oldModel).status; status != http.StatusOK {
			return fmt.Errorf("a request got status %d before the config changed", status)
		}
	}
	if trouble {
		if err := c.configure("new-llm", []string{"daka610000", "daka620000"}); err != nil {
			return err
		}
	}
	ack := time.Now()
	for n := range movedRequests {
		w.sleepUntil(ack.Add(time.Duration(n) * configBound / movedRequests))
		c.ask(fmt.Sprintf("caller that names a model, %d ms after the acknowledgement", time.Since(ack).Milliseconds()), n%fleetSize, "/named/1", oldModel)
	}
	time.Sleep(contact)
	return c.judgeStarved()
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

// ask sends a request with a prompt.
func (c *modelCase) ask(what string, instance int, target, model string) answer {
	return c.sendAndNote(c.client, what, call{instance, http.MethodPost, target, modelKey, 6 * time.Second, map[string]string{
		"X-Model": model, "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
	}})
}

// judgeStarved sends requests on the route with sizes and lookups for twenty seconds, and checks
// the rule Starved.
func (c *modelCase) judgeStarved() error {
	served, all, asked, sent := 0, 0, 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n := range fleetSize {
			asked, sent = asked+1, sent+2
			if c.ask("other caller", n, "/ask/1", "*").status == http.StatusOK {
				served, all = served+1, all+1
			}
			if c.sendAndNote(c.client, "lookup", call{n, http.MethodGet, "/view/1", modelKey, 1500 * time.Millisecond, nil}).status == http.StatusOK {
				all++
			}
		}
	}
	c.note("%d of %d requests on the route with sizes were served, %d of %d of all", served, asked, all, sent)
	if float64(served)/float64(asked) < float64(all)/float64(sent)/4 {
		return fmt.Errorf("%w: Starved: %d of %d requests on the route with sizes were served, %d of %d of all", errBroken, served, asked, all, sent)
	}
	return nil
}
