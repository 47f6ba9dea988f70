package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/instance/settings"
)

// stopSeeds is the number of drawn stops that TestStopsLoseNoRequest plays.
var stopSeeds = flag.Int("stops", 6, "number of drawn stops")

// A stopCase is a stop of an instance whose callers keep their connections open until the
// instance has ended.
type stopCase struct {
	*testFleet
	random *rand.Rand
	grace  time.Duration
	// work is the longest time that an upstream takes.
	work time.Duration

	mutex    sync.Mutex
	outcomes []stopOutcome
}

// A stopOutcome is the end of one request.
type stopOutcome struct {
	id, path string
	sentAt   time.Time
	// status is zero if the connection ended before the head of an answer, whole is false if
	// it ended before the end of it.
	status int
	whole  bool
	// interrupted is true if the instance ended the request.
	interrupted bool
}

// callersPerStop is the number of callers, each with one connection.
const callersPerStop = 24

// newStopCase draws the grace period and the time that each upstream needs for a request.
func newStopCase(t *testing.T, seed uint64) *stopCase {
	t.Helper()
	c := &stopCase{random: rand.New(rand.NewPCG(seed, 1))}
	seconds := 2 + 8*c.random.Float64()
	c.grace = time.Duration(seconds * float64(time.Second))
	c.testFleet = newTestFleetWithGrace(t, 1, 3, settings.Seconds(seconds))
	for n := range c.upstreams {
		// From 10 ms to 4.5 s, as often short as long.
		work := time.Duration(10*math.Pow(450, c.random.Float64())) * time.Millisecond
		c.setFaults(n, fmt.Sprintf(`{"work_ms":%d}`, work.Milliseconds()))
		c.work = max(c.work, work)
	}
	return c
}

// runCaller sends requests on one connection until it can open none.
func (c *stopCase) runCaller(ctx context.Context, number int, random *rand.Rand) error {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"/safe/x", "/unsafe/x", "/stream/x"}[random.IntN(3)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instances[0].callers+path, nil)
		if err != nil {
			return err
		}
		request.Host = "h"
		o := stopOutcome{id: fmt.Sprintf("stop-%d-%d", number, n), path: path, sentAt: time.Now()}
		request.Header.Set("X-Attempt-Id", o.id)
		request.Header.Set("X-Deadline-Ms", strconv.Itoa(200<<random.IntN(6)))
		if response, err := client.Do(request); err == nil {
			o.status = response.StatusCode
			body, err := io.ReadAll(response.Body)
			o.whole, o.interrupted = err == nil, strings.Contains(string(body), `"kind":"interrupted"`)
			_ = response.Body.Close()
		}
		c.mutex.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mutex.Unlock()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return nil
}

// runs returns how often the upstreams ran each request.
func (c *stopCase) runs() map[string]int {
	c.t.Helper()
	sum := map[string]int{}
	for _, u := range c.upstreams {
		response, err := http.Get(u.URL + "/admin/runs")
		if err != nil {
			c.t.Fatal(err)
		}
		counts := map[string]int{}
		if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
			c.t.Fatal(err)
		}
		_ = response.Body.Close()
		for id, count := range counts {
			sum[id] += count
		}
	}
	return sum
}

// TestStopsLoseNoRequest guards against requests that an instance passes on and leaves without
// an answer when it is stopped, and against refusals of requests that have run. It draws the
// grace period, the callers' requests and the times that the upstreams take.
func TestStopsLoseNoRequest(t *testing.T) {
	for seed := range *stopSeeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			c := newStopCase(t, uint64(seed))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			group := &errgroup.Group{}
			for n := range callersPerStop {
				group.Go(func() error { return c.runCaller(ctx, n, rand.New(rand.NewPCG(uint64(seed), uint64(n+2)))) })
			}
			time.Sleep(time.Second)
			stoppedAt := time.Now()
			c.instances[0].stop()
			time.Sleep(time.Until(stoppedAt.Add(c.grace)))
			cancel()
			is.New(t).NoErr(group.Wait())
			// Calls run to their end at the upstreams after the instance has ended.
			time.Sleep(c.work + 500*time.Millisecond)
			c.assertNoneLost(stoppedAt)
		})
	}
}

// assertNoneLost checks the outcomes of a stop. A stream may be cut that was sent early in the
// stop, if it still ran in the last sixth of the grace period. What was sent later is not passed
// on if it may not end in time, so that the instance need not end it.
func (c *stopCase) assertNoneLost(stoppedAt time.Time) {
	c.t.Helper()
	const excusedTime = 3 * time.Second
	runs := c.runs()
	for _, o := range c.outcomes {
		after := o.sentAt.Sub(stoppedAt)
		mayBeCut := o.path == "/stream/x" && after <= min(excusedTime, c.grace/2)
		switch ran := runs[o.id] > 0; {
		case ran && !o.whole && !mayBeCut:
			c.t.Errorf("%s %s, sent %v after the stop, ran and has no whole answer (status %d)", o.id, o.path, after, o.status)
		case o.interrupted && after > excusedTime:
			c.t.Errorf("%s %s, sent %v after the stop, was passed on and then ended", o.id, o.path, after)
		case ran && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && o.path == "/unsafe/x":
			c.t.Errorf("%s %s, sent %v after the stop, ran and was refused with %d", o.id, o.path, after, o.status)
		case runs[o.id] > 1 && o.path == "/unsafe/x":
			c.t.Errorf("%s ran %d times", o.id, runs[o.id])
		}
	}
}
