package storecache

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/fleet/peers"
	"mimosayard/platform"
)

// TestWatchersAreSpreadOverTheFleet guards against a fleet with few or neighbouring watchers,
// which one lost data centre could take away, and against a small fleet that relies on them.
func TestWatchersAreSpreadOverTheFleet(t *testing.T) {
	for _, count := range []int{1, 9, 31, 32, 66, 81, 95, 300, 1000} {
		var positions []int
		for position := range count {
			var w Watchers
			w.Update(position, count, watcherCount)
			if w.Serves() {
				positions = append(positions, position)
			}
		}
		is := is.New(t)
		if count < minWatchedFleet {
			is.Equal(len(positions), count)
			continue
		}
		is.Equal(len(positions), watcherCount)
		for n := 1; n < len(positions); n++ {
			is.True(positions[n]-positions[n-1] >= count/watcherCount)
		}
	}
}

// TestInstanceWatchesOnceWatchersAreTooFew guards against an instance that calls the store for
// each change although others watch for it, and against one that hears of no change when they
// are lost.
func TestInstanceWatchesOnceWatchersAreTooFew(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{list: `{"items":[` + itemJSON("a", "3") + `],"as_of":9}`, watched: make(chan string, 4)}
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	published := make(chan []platform.Object, 16)
	c := newCache(&platform.Store{BaseURL: server.URL, HTTPClient: server.Client()}, published)
	c.FleetPosition = func() (int, int) { return 1, 100 }
	c.RenewalFactor = 10
	c.Watchers = &Watchers{}
	c.Watchers.Update(1, 100, watcherCount)
	var group errgroup.Group
	ctx := t.Context()
	group.Go(func() error { return c.Run(ctx) })
	is.Equal(names(<-published), "a")
	is.True(c.ApplySnapshot(peers.DocumentVersion{Revision: 20, Digest: 1}, []byte(`[{"name":"b","revision":20}]`)))
	is.Equal(names(<-published), "b")
	for c.Watchers.waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(store.watched), 0)
	c.Watchers.Update(1, 100, minOtherWatchers-1)
	// The watch goes on after what the peer has told.
	is.Equal(<-store.watched, "20")
}

// waiting returns 1 while an instance waits for the watchers to become too few, else 0.
func (w *Watchers) waiting() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.tooFew == nil {
		return 0
	}
	return 1
}
