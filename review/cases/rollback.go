package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// rolloutTime is the duration_s of the rollouts, in seconds.
	rolloutTime = 16
	// drainAfter is how long after the rollback the servers of the bad version drain.
	drainAfter = 7 * time.Second
	// orderAfter is how long after the rollback the next version is ordered.
	orderAfter = time.Second
	// badAnswers and rollbackBound are the figures of the rule EXPOSURE.
	badAnswers    = 50
	rollbackBound = 5 * time.Second
	exposureShare = 0.15
	exposureSlack = 30
	// sendPause is the time between two requests of a caller.
	sendPause = 100 * time.Millisecond
	callers   = 12
)

// A rolloutCase holds the servers of the service by version.
type rolloutCase struct {
	*world
	servers map[string][]*server
	count   int
}

// playRollback rolls out a version of which each fifth answer is a failure, and once it was
// rolled back another version. Without the disruption there is no second rollout.
func playRollback(w *world, trouble bool) error {
	const key = "n2ctnfzs989anu6wsjnb"
	c := &rolloutCase{world: w, servers: map[string][]*server{}}
	if err := c.startVersion("v1", nil); err != nil {
		return err
	}
	err := w.putConfig([]string{key}, []any{map[string]any{"name": "desk", "max_connections": 110}}, map[string]any{
		"name": "book", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 100,
		"max_attempts": 1, "priority": 2, "service": "desk",
	})
	if err != nil {
		return err
	}
	if _, err := w.startFleet(); err != nil {
		return err
	}
	time.Sleep(contact)

	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { w.keepBooking(n%3, key, stop) })
	}
	defer func() {
		close(stop)
		group.Wait()
	}()
	time.Sleep(2 * time.Second)
	if err := c.startVersion("v2", func(n int) bool { return n%5 == 4 }); err != nil {
		return err
	}
	if err := w.order("v2"); err != nil {
		return err
	}
	ordered := time.Now()
	if err := c.replaceBadVersion(trouble); err != nil {
		return err
	}
	w.sleepUntil(ordered.Add(rolloutTime * time.Second))
	return c.judgeExposure(ordered)
}

// startVersion starts three servers of a version.
func (c *rolloutCase) startVersion(version string, fails func(n int) bool) error {
	for range 3 {
		c.count++
		s := &server{id: fmt.Sprintf("i-%d", c.count), service: "desk", version: version, work: shortWork, fails: fails}
		if err := c.startServer(c.count, s); err != nil {
			return err
		}
		c.servers[version] = append(c.servers[version], s)
	}
	return nil
}

// replaceBadVersion waits until the bad version is rolled back, and orders the next version,
// whose servers are started beside the others. The servers of the bad version drain some seconds
// after the rollback.
func (c *rolloutCase) replaceBadVersion(again bool) error {
	if err := c.await("v2 is rolled back", func() bool { return c.rolloutState() == "rolled_back" }); err != nil {
		return err
	}
	c.note("v2 is rolled back")
	time.AfterFunc(drainAfter, func() {
		for _, s := range c.servers["v2"] {
			_ = s.register("draining")
		}
	})
	if !again {
		return nil
	}
	time.Sleep(orderAfter)
	if err := c.startVersion("v3", nil); err != nil {
		return err
	}
	return c.order("v3")
}

// keepBooking sends bookings until stop is closed.
func (w *world) keepBooking(instance int, key string, stop chan struct{}) {
	client := keptChannel()
	for {
		w.sendAndNote(client, "booking", call{instance, http.MethodPost, "/book/1", key, 1500 * time.Millisecond, nil})
		select {
		case <-stop:
			return
		case <-time.After(sendPause):
		}
	}
}

// order writes a rollout, as the operator does.
func (w *world) order(target string) error {
	w.note("the operator orders the rollout of %s", target)
	return w.put("rollouts", "desk", map[string]any{"service": "desk", "target": target, "duration_s": rolloutTime})
}

// rolloutState returns the state in the status of the rollout, empty if there is none.
func (w *world) rolloutState() string {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+w.storeAddress()+"/objects/rollouts", nil)
	if err != nil {
		return ""
	}
	response, err := w.client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Items []struct {
			Status struct {
				State string `json:"state"`
			} `json:"status"`
		} `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&list) != nil || len(list.Items) == 0 {
		return ""
	}
	return list.Items[0].Status.State
}

// judgeExposure checks the rule EXPOSURE for the bad version.
func (c *rolloutCase) judgeExposure(ordered time.Time) error {
	until := ordered.Add(rolloutTime * time.Second)
	reached := map[string]int{}
	var failedAt []time.Time
	for version, servers := range c.servers {
		for _, s := range servers {
			for _, r := range s.allRuns() {
				if r.at.After(ordered) && r.at.Before(until) {
					reached[version]++
				}
				if r.failed {
					failedAt = append(failedAt, r.at)
				}
			}
		}
	}
	all := reached["v1"] + reached["v2"] + reached["v3"]
	allowed := exposureShare*float64(all) + exposureSlack
	c.note("of %d requests between the order of v2 and its time budget, %d reached v1, %d v2, %d v3; allowed for v2 are %.0f", all, reached["v1"], reached["v2"], reached["v3"], allowed)
	late := c.lateRuns(failedAt)
	c.note("%d bad answers of v2; %d requests reached it over %v after the %dth", len(failedAt), late, rollbackBound, badAnswers)
	if float64(reached["v2"]) > allowed || late > 0 {
		return fmt.Errorf("%w: EXPOSURE: the bad version got %d of %d requests, allowed are %.0f, and %d over %v after its %dth bad answer", errBroken, reached["v2"], all, allowed, late, rollbackBound, badAnswers)
	}
	return nil
}

// lateRuns returns the number of requests that the bad version got too long after its bad
// answers.
func (c *rolloutCase) lateRuns(failedAt []time.Time) int {
	if len(failedAt) < badAnswers {
		return 0
	}
	slices.SortFunc(failedAt, time.Time.Compare)
	bound := failedAt[badAnswers-1].Add(rollbackBound)
	late := 0
	for _, s := range c.servers["v2"] {
		for _, r := range s.allRuns() {
			if r.at.After(bound) {
				late++
			}
		}
	}
	return late
}
