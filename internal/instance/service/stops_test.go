package service

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/settings"
)

// stopSeeds is the number of drawn stops that TestStopsLoseNoRequest plays.
var stopSeeds = flag.Int("stops", 3, "number of drawn stops")

// A stopCase is a stop of an instance whose callers keep their connections open until the
// instance has ended.
type stopCase struct {
	*testFleet
	seed uint64
	// lag and drain are the settings of the stop.
	lag, drain tables.Millis

	mutex sync.Mutex
	// answered is the number of requests of which the caller knows that they may have run.
	answered int64
}

// newStopCase draws the settings of the stop and the time that the upstream takes.
func newStopCase(t *testing.T, seed uint64) *stopCase {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	c := &stopCase{seed: seed, lag: tables.Millis(100 + random.IntN(400)), drain: tables.Millis(200 + random.IntN(1200))}
	c.testFleet = newTestFleetWithSettings(t, 1, settings.Settings{BalancerLag: c.lag, DrainTimeout: c.drain})
	c.deskServer.work = time.Duration(10<<random.IntN(8)) * time.Millisecond
	return c
}

// runCaller sends requests that must not be repeated on one connection.
func (c *stopCase) runCaller(ctx context.Context, number int) error {
	pauses := rand.New(rand.NewPCG(c.seed, uint64(number+2)))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if response, err := c.sendOn(client, 0, "/services/orders/deposits", `{}`); err == nil {
			c.countAnswer(response)
		}
		time.Sleep(time.Duration(pauses.IntN(200)) * time.Millisecond)
	}
	return nil
}

// countAnswer counts an answer, unless it is cut or says that the request has not run.
func (c *stopCase) countAnswer(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || strings.Contains(string(body), `"run":"no"`) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answered++
}

// TestStopsLoseNoRequest guards against requests that an instance passes on and leaves without
// an answer when it is stopped, and against refusals of requests that have run. It draws the
// settings of the stop, the callers' requests and the time that the upstream takes.
func TestStopsLoseNoRequest(t *testing.T) {
	const callers = 16
	for seed := range *stopSeeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newStopCase(t, uint64(seed))
			before := c.deskServer.arrivals.Load()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			group := &errgroup.Group{}
			for n := range callers {
				group.Go(func() error { return c.runCaller(ctx, n) })
			}
			time.Sleep(300 * time.Millisecond)
			c.instances[0].stop()
			time.Sleep(c.lag.Duration() + c.drain.Duration() + 600*time.Millisecond)
			cancel()
			is.NoErr(group.Wait())
			ran := c.deskServer.arrivals.Load() - before
			t.Logf("lag %v, drain %v, work %v: %d requests ran", c.lag.Duration(), c.drain.Duration(), c.deskServer.work, ran)
			is.Equal(c.answered, ran)
		})
	}
}
