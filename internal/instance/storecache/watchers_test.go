package storecache

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"mimosayard/internal/fleet/peers"
	"mimosayard/platform"
)

// TestWatchersAreSpreadOverTheFleet guards against a fleet with few or neighbouring watchers,
// which one lost data centre could take away, and against a small fleet that relies on them. After
// the loss of any half in a row, enough watchers are left for those that rely on them.
func TestWatchersAreSpreadOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 1000).Draw(t, "count")
		lost := rapid.IntRange(0, count-1).Draw(t, "first lost")
		var positions []int
		left := 0
		for position := range count {
			var w Watchers
			w.Update(position, count, watcherCount)
			if !w.Serves() {
				continue
			}
			positions = append(positions, position)
			if position < lost || position >= lost+count/2 {
				left++
			}
		}
		is := is.New(t)
		if count < minWatchedFleet {
			is.Equal(len(positions), count)
			return
		}
		is.Equal(len(positions), watcherCount)
		for n := 1; n < len(positions); n++ {
			is.True(positions[n]-positions[n-1] >= count/watcherCount)
		}
		is.True(left >= minOtherWatchers)
	})
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
