package storecache

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/fleet/peers"
	"mimosayard/platform"
)

// fakeStore responds to a list with list, and to each watch with the next
// element of watches.
type fakeStore struct {
	mutex   sync.Mutex
	list    string
	watches []string
	// listed receives a value for each list, if it is not nil.
	listed chan struct{}
	// watched receives the revision of each watch, if it is not nil.
	watched chan string
}

func (f *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.URL.Query().Get("watch") == "" {
		if f.listed != nil {
			f.listed <- struct{}{}
		}
		_, _ = w.Write([]byte(f.list))
		return
	}
	if f.watched != nil {
		f.watched <- r.URL.Query().Get("watch")
	}
	if len(f.watches) == 0 {
		// There are no more changes, so the watch does not return.
		f.mutex.Unlock()
		<-r.Context().Done()
		f.mutex.Lock()
		return
	}
	answer := f.watches[0]
	f.watches = f.watches[1:]
	if answer == "gone" {
		w.WriteHeader(http.StatusGone)
		return
	}
	_, _ = w.Write([]byte(answer))
}

// awaitChanges starts a cache, waits until it has published a number of
// changes, and returns the objects of the last.
func awaitChanges(t *testing.T, store *fakeStore, changes int) ([]platform.Object, *Cache) {
	t.Helper()
	published, c := startCache(t, store)
	var last []platform.Object
	for range changes {
		last = <-published
	}
	return last, c
}

// startCache starts a cache with the store and returns the channel to which
// it publishes changes.
func startCache(t *testing.T, store *fakeStore) (<-chan []platform.Object, *Cache) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	published := make(chan []platform.Object, 16)
	c := newCache(&platform.Store{BaseURL: server.URL, HTTPClient: server.Client()}, published)
	var group errgroup.Group
	ctx := t.Context()
	group.Go(func() error { return c.Run(ctx) })
	return published, c
}

func newCache(store *platform.Store, published chan []platform.Object) *Cache {
	return &Cache{
		Kind:          platform.KindServers,
		Store:         store,
		Log:           zap.NewNop(),
		OnChange:      func(objects []platform.Object, _ time.Duration) { published <- objects },
		NotifyPeers:   func() {},
		FleetPosition: func() (int, int) { return 0, 1 },
	}
}

func itemJSON(name string, revision string) string {
	return `{"metadata":{"name":"` + name + `","revision":` + revision + `},"spec":{}}`
}

func names(objects []platform.Object) string {
	var all []string
	for _, o := range objects {
		all = append(all, o.Name)
	}
	return strings.Join(all, " ")
}

// TestRun guards against missed changes when a watch fails, does not return or
// loses its history, and against changes that are applied out of order.
func TestRun(t *testing.T) {
	t.Run("lists, then watches", func(t *testing.T) {
		objects, _ := awaitChanges(t, &fakeStore{
			list: `{"items":[` + itemJSON("a", "3") + `],"as_of":9}`,
			watches: []string{
				`{"events":[{"object":` + itemJSON("b", "10") + `}],"as_of":10}`,
				`{"events":[{"removed":true,"object":` + itemJSON("a", "11") + `}],"as_of":11}`,
			},
		}, 3)
		is.New(t).Equal(names(objects), "b")
	})
	t.Run("lists again when a watch does not return in time", func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{
			list:   `{"items":[` + itemJSON("a", "3") + `],"as_of":9}`,
			listed: make(chan struct{}, 4),
		}
		published, _ := startCache(t, store)
		<-store.listed
		is.Equal(names(<-published), "a")
		store.mutex.Lock()
		store.list = `{"items":[` + itemJSON("b", "10") + `],"as_of":10}`
		store.mutex.Unlock()
		// The watch never returns.
		<-store.listed
		is.Equal(names(<-published), "b")
	})
	t.Run("lists again when the history is gone", func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{
			list:    `{"items":[` + itemJSON("a", "3") + `],"as_of":9}`,
			watches: []string{"gone"},
			listed:  make(chan struct{}, 8),
		}
		_, c := awaitChanges(t, store, 1)
		for range 2 {
			<-store.listed
		}
		_, known := c.DocumentVersion()
		is.True(known)
	})
	t.Run("an old change does not undo a newer one", func(t *testing.T) {
		objects, _ := awaitChanges(t, &fakeStore{
			list: `{"items":[` + itemJSON("a", "8") + `],"as_of":9}`,
			watches: []string{
				`{"events":[{"object":` + itemJSON("a", "5") + `},{"object":` + itemJSON("c", "10") + `}],"as_of":10}`,
			},
		}, 2)
		is.New(t).Equal(objects[0].Revision, platform.Revision(8))
	})
}

// TestApplySnapshot guards against a peer's old or invalid snapshot replacing
// newer objects, and against removed objects coming back.
func TestApplySnapshot(t *testing.T) {
	content := func(objects ...platform.Object) []byte {
		text, err := json.Marshal(objects)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	t.Run("applies only a newer snapshot from a peer", func(t *testing.T) {
		is := is.New(t)
		published := make(chan []platform.Object, 4)
		c := newCache(nil, published)
		is.True(c.ApplySnapshot(peers.DocumentVersion{Revision: 8, Digest: 1}, content(platform.Object{Name: "a", Revision: 8})))
		is.True(!c.ApplySnapshot(peers.DocumentVersion{Revision: 5, Digest: 2}, content(platform.Object{Name: "old", Revision: 5})))
		is.Equal(names(<-published), "a")
		version, known := c.DocumentVersion()
		is.True(known)
		is.Equal(version.Revision, uint64(8))
	})
	t.Run("an old change does not restore an object that a peer's snapshot lacks", func(t *testing.T) {
		is := is.New(t)
		published := make(chan []platform.Object, 4)
		c := newCache(nil, published)
		is.True(c.ApplySnapshot(peers.DocumentVersion{Revision: 20}, content()))
		is.True(!c.applyChanges([]platform.Change{{Object: platform.Object{Name: "a", Revision: 15}}}, platform.Position{Revision: 15}, 0))
	})
	t.Run("an invalid snapshot changes nothing", func(t *testing.T) {
		is.New(t).True(!newCache(nil, nil).ApplySnapshot(peers.DocumentVersion{Revision: 8}, []byte("{")))
	})
}

// TestWatchOfAnEarlierEra guards against a watch from a revision that was given out again since
// the store was restored, which misses what was written up to there.
func TestWatchOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	var listed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "2")
		if r.URL.Query().Get("watch") != "" {
			<-r.Context().Done()
			return
		}
		listed.Add(1)
		_, _ = w.Write([]byte(`{"items":[` + itemJSON("b", "7") + `],"as_of":8}`))
	}))
	t.Cleanup(server.CloseClientConnections)
	published := make(chan []platform.Object, 4)
	c := newCache(&platform.Store{BaseURL: server.URL, HTTPClient: server.Client()}, published)
	c.applyList([]platform.Object{{Name: "a", Revision: 3}}, platform.Position{Era: 1, Revision: 4}, 0)
	c.watchPosition = platform.Position{Era: 1, Revision: 4}
	is.Equal(names(<-published), "a")
	// Another call has met the later era.
	_, _, err := c.Store.List(t.Context(), platform.KindConfig)
	is.NoErr(err)
	is.NoErr(c.listOrWatch(t.Context()))
	is.Equal(listed.Load(), int64(2))
	is.Equal(names(<-published), "b")
}

// TestSnapshotsOfEarlierBuilds guards against an instance that has lost the store and does not
// follow peers of an earlier build, which tell no era, and against one that takes a state of
// before a restore from them.
func TestSnapshotsOfEarlierBuilds(t *testing.T) {
	is := is.New(t)
	c := newCache(nil, make(chan []platform.Object, 8))
	snapshot := func(era, revision uint64, name string) bool {
		version := peers.DocumentVersion{Era: era, Revision: revision, Digest: revision}
		known, _ := c.DocumentVersion()
		return version.After(known) && c.ApplySnapshot(version, []byte(`[{"name":"`+name+`","revision":1}]`))
	}
	c.applyList(nil, platform.Position{Era: 3, Revision: 10}, 0)
	is.True(snapshot(0, 12, "a"))
	is.True(!snapshot(0, 11, "b"))
	is.True(snapshot(4, 8, "c"))
	is.True(!snapshot(0, 20, "d"))
	is.True(!snapshot(3, 30, "e"))
	is.True(snapshot(4, 9, "f"))
	is.Equal(names(c.sortedObjects()), "f")

	// Writes conditional on an object need the era in which it was read.
	c = newCache(nil, make(chan []platform.Object, 8))
	c.applyList(nil, platform.Position{Era: 3, Revision: 10}, 0)
	is.True(snapshot(0, 12, "a"))
	is.Equal(c.objects["a"].Era, platform.Era(3))

	// The store goes before what a peer told first, which may be of before a restore.
	c = newCache(nil, make(chan []platform.Object, 8))
	restores := 0
	c.OnRestore = func() { restores++ }
	is.True(c.ApplySnapshot(peers.DocumentVersion{Revision: 50}, []byte(`[{"name":"a","revision":50}]`)))
	c.applyList([]platform.Object{{Name: "b", Era: 3, Revision: 5}}, platform.Position{Era: 3, Revision: 10}, 0)
	is.Equal(names(c.sortedObjects()), "b")
	is.Equal(restores, 0)
	is.True(snapshot(0, 12, "c"))
}

// TestLostHistoryIsNotAskedForAgainAtOnce guards against calls without a pause to a store that
// does not have the position of each watch.
func TestLostHistoryIsNotAskedForAgainAtOnce(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.URL.Query().Get("watch") != "" {
			w.WriteHeader(http.StatusGone)
			return
		}
		_, _ = w.Write([]byte(`{"items":[],"as_of":8}`))
	}))
	t.Cleanup(server.CloseClientConnections)
	c := newCache(&platform.Store{BaseURL: server.URL, HTTPClient: server.Client()}, make(chan []platform.Object, 4))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(c.Run(ctx))
	is.True(calls.Load() >= 4)
	is.True(calls.Load() <= 20)
}

// TestObjectHistory guards against a history that grows without bound, or forgets its latest
// states.
func TestObjectHistory(t *testing.T) {
	is := is.New(t)
	var h objectHistory
	state := func(n int) platform.Object {
		return platform.Object{Name: "a", Revision: platform.Revision(n)}
	}
	for n := range 3 * maxHistory {
		h.add(state(n))
	}
	is.Equal(len(h.states), maxHistory)
	is.Equal(len(h.order), maxHistory)
	for n := 2 * maxHistory; n < 3*maxHistory; n++ {
		is.True(h.has(state(n)))
	}
	is.True(!h.has(state(2*maxHistory - 1)))
	is.True(!h.has(platform.Object{Name: "b", Revision: 3*maxHistory - 1}))
}

// TestBatchDelay guards against a store call of each instance for each change of
// a burst: while an instance waits for more changes, its peers tell it of them,
// and its next watch begins after those.
func TestBatchDelay(t *testing.T) {
	newChangedStore := func() *fakeStore {
		return &fakeStore{
			list:    `{"items":[` + itemJSON("a", "3") + `],"as_of":9}`,
			watches: []string{`{"events":[{"object":` + itemJSON("b", "10") + `}],"as_of":10}`},
			watched: make(chan string, 8),
		}
	}
	t.Run("a watch begins after the changes that a peer has told of", func(t *testing.T) {
		is := is.New(t)
		store := newChangedStore()
		_, c := awaitChanges(t, store, 2)
		is.True(c.ApplySnapshot(peers.DocumentVersion{Revision: 20, Digest: 1}, []byte("[]")))
		is.Equal(<-store.watched, "9")
		is.Equal(<-store.watched, "20")
	})
	t.Run("an older snapshot of a peer does not set the watch back", func(t *testing.T) {
		is := is.New(t)
		store := newChangedStore()
		_, c := awaitChanges(t, store, 2)
		is.True(!c.ApplySnapshot(peers.DocumentVersion{Revision: 7, Digest: 1}, []byte("[]")))
		is.Equal(<-store.watched, "9")
		is.Equal(<-store.watched, "10")
	})
	t.Run("instances after the first few wait longer for more changes", func(t *testing.T) {
		is := is.New(t)
		c := newCache(nil, nil)
		c.BatchDelay, c.FollowerBatchDelay = 600*time.Millisecond, time.Second
		is.Equal(c.batchDelay(), 600*time.Millisecond)
		c.FleetPosition = func() (int, int) { return batchLeaders, 9 }
		is.Equal(c.batchDelay(), time.Second)
	})
	t.Run("a short delay is that of the first few only", func(t *testing.T) {
		is := is.New(t)
		c := newCache(nil, nil)
		c.BatchDelay = time.Millisecond
		is.Equal(c.batchDelay(), time.Millisecond)
		c.FleetPosition = func() (int, int) { return batchLeaders, 9 }
		is.Equal(c.batchDelay(), defaultBatchDelay)
	})
}

// TestWatchWait guards against slots in which no instance renews its watch. A
// change that all watches missed is found in the next slot of an instance that
// can reach the store.
func TestWatchWait(t *testing.T) {
	const fleetSize = 9
	now := time.Unix(1000, 123456789)
	is := is.New(t)
	var renewals []time.Duration
	for position := range fleetSize {
		c := newCache(nil, nil)
		c.FleetPosition = func() (int, int) { return position, fleetSize }
		wait := c.watchWait(now)
		is.True(wait > 0)
		is.True(wait <= 2*fleetSize*watchRenewalInterval)
		renewals = append(renewals, wait%(fleetSize*watchRenewalInterval))
	}
	for slot := range fleetSize {
		found := false
		for _, renewal := range renewals {
			found = found || int(renewal/watchRenewalInterval) == slot
		}
		is.True(found)
	}
}
