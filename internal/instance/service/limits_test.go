package service

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestUpstreamGetsMoreThanItsNamedLimit guards against instances that together send an
// upstream more than the limit that it has named to them, and against requests that are held
// or not answered where no other upstream is left.
func TestUpstreamGetsMoreThanItsNamedLimit(t *testing.T) {
	t.Parallel()
	const (
		window   = 4 * time.Second
		interval = 50 * time.Millisecond
		most     = 1.5*2*4 + 5
	)
	f := newTestFleet(t, 3)
	limit := "2"
	// play sends requests to all instances for the window, once the limit is known, and
	// returns the number of calls and of each status.
	play := func(t *testing.T, server *testUpstream, send func(index int) int) (int64, map[int]int) {
		t.Helper()
		server.limit.Store(&limit)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := range 20 {
			send(n % len(f.instances))
			<-ticker.C
		}
		before := server.arrivals.Load()
		statuses := make(chan int, 1000)
		group := &errgroup.Group{}
		for n := range int(window / interval) {
			group.Go(func() error {
				statuses <- send(n % len(f.instances))
				return nil
			})
			<-ticker.C
		}
		_ = group.Wait()
		close(statuses)
		counts := map[int]int{}
		for status := range statuses {
			counts[status]++
		}
		return server.arrivals.Load() - before, counts
	}
	t.Run("models", func(t *testing.T) {
		arrivals, statuses := play(t, f.engines[0], f.chat)
		t.Logf("%d calls, statuses %v", arrivals, statuses)
		is.New(t).True(arrivals <= most)
		is.New(t).Equal(statuses[http.StatusOK], int(window/interval))
	})
	t.Run("the only plain service", func(t *testing.T) {
		arrivals, statuses := play(t, f.deskServer, func(index int) int { return f.post(index, "/services/orders/deposits", `{}`) })
		t.Logf("%d calls, statuses %v", arrivals, statuses)
		is.New(t).True(arrivals <= most && arrivals > 0)
		is.New(t).Equal(int64(statuses[http.StatusOK]), arrivals)
		is.New(t).Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], int(window/interval))
	})
}
