package storecache

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mimosayard/internal/fleet/peers"
	"mimosayard/platform"
)

// TestStateNeverRegresses applies lists, changes and peers' snapshots of one
// history in any order, late and repeatedly. An object must never go back to an
// older revision, and older data must not restore an object that was removed.
func TestStateNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states, changes := randomHistory(t)
		published := make(chan []platform.Object, 64)
		c := newCache(nil, published)
		newest := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := rapid.IntRange(1, len(states)-1).Draw(t, "revision")
			if applyState(t, c, states[revision], changes[1:revision+1], newest > 0) {
				newest = max(newest, revision)
			}
			for len(published) > 0 {
				<-published
			}
			assertState(t, c, newest, states[newest])
		}
	})
}

// applyState applies a state to the cache as a list, a peer's snapshot or
// changes, and reports whether it did. A watch returns all changes up to a
// revision, possibly some of them again, and none before the first list.
func applyState(t *rapid.T, c *Cache, state []platform.Object, changes []platform.Change, listed bool) bool {
	revision := platform.Revision(len(changes))
	switch rapid.SampledFrom([]string{"list", "peer", "changes"}).Draw(t, "source") {
	case "list":
		c.applyList(state, revision, 0)
	case "peer":
		content, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		c.ApplySnapshot(peers.DocumentVersion{Revision: uint64(revision), Digest: uint64(revision)}, content)
	case "changes":
		if !listed {
			return false
		}
		c.applyChanges(changes, revision, 0)
	}
	return true
}

func assertState(t *rapid.T, c *Cache, revision int, want []platform.Object) {
	t.Helper()
	if got := names(c.sortedObjects()); got != names(want) {
		t.Fatalf("at revision %d the objects are %q, want %q", revision, got, names(want))
	}
	for _, object := range want {
		if got := c.objects[object.Name].Revision; got != object.Revision {
			t.Fatalf("at revision %d, %s has revision %d, want %d", revision, object.Name, got, object.Revision)
		}
	}
}

// randomHistory returns the state at each revision, sorted by name, and the
// change that led to it. The state and the change at index zero are empty.
func randomHistory(t *rapid.T) ([][]platform.Object, []platform.Change) {
	length := rapid.IntRange(1, 12).Draw(t, "length")
	states := make([][]platform.Object, 1, length+1)
	changes := make([]platform.Change, 1, length+1)
	for revision := 1; revision <= length; revision++ {
		name := fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "object"))
		change := platform.Change{
			Object:  platform.Object{Name: name, Revision: platform.Revision(revision)},
			Removed: rapid.Bool().Draw(t, "removed"),
		}
		var state []platform.Object
		for _, object := range states[revision-1] {
			if object.Name < name {
				state = append(state, object)
			}
		}
		if !change.Removed {
			state = append(state, change.Object)
		}
		for _, object := range states[revision-1] {
			if object.Name > name {
				state = append(state, object)
			}
		}
		states = append(states, state)
		changes = append(changes, change)
	}
	return states, changes
}
