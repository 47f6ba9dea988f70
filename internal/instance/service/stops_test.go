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

// A stopOutcome is the end of one request that must not be repeated.
type stopOutcome struct {
	sentAt time.Time
	// status is zero if the connection ended before the end of an answer.
	status int
	body   string
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
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			lag, drain := 100+random.IntN(400), 200+random.IntN(1200)
			f := newTestFleetWithSettings(t, 1, settings.Settings{BalancerLag: tables.Millis(lag), DrainTimeout: tables.Millis(drain)})
			f.deskServer.work = time.Duration(10<<random.IntN(8)) * time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var mutex sync.Mutex
			var outcomes []stopOutcome
			before := f.deskServer.arrivals.Load()
			group := &errgroup.Group{}
			for n := range callers {
				pauses := rand.New(rand.NewPCG(uint64(seed), uint64(n+2)))
				group.Go(func() error {
					client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
					defer client.CloseIdleConnections()
					for ctx.Err() == nil {
						o := stopOutcome{sentAt: time.Now()}
						if response, err := f.sendOn(client, 0, "/services/orders/deposits", `{}`); err == nil {
							var body []byte
							if body, err = io.ReadAll(response.Body); err == nil {
								o.status, o.body = response.StatusCode, string(body)
							}
							_ = response.Body.Close()
						}
						mutex.Lock()
						outcomes = append(outcomes, o)
						mutex.Unlock()
						time.Sleep(time.Duration(pauses.IntN(200)) * time.Millisecond)
					}
					return nil
				})
			}
			time.Sleep(300 * time.Millisecond)
			f.instances[0].stop()
			time.Sleep(time.Duration(lag+drain+600) * time.Millisecond)
			cancel()
			is.NoErr(group.Wait())
			ran := f.deskServer.arrivals.Load() - before
			answered := int64(0)
			for _, o := range outcomes {
				mayHaveRun := o.status != 0 && !strings.Contains(o.body, `"run":"no"`)
				if mayHaveRun {
					answered++
				}
			}
			t.Logf("lag %d ms, drain %d ms, work %v: %d requests ran", lag, drain, f.deskServer.work, ran)
			is.Equal(answered, ran)
		})
	}
}
