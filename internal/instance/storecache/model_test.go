package storecache

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mimosayard/internal/fleet/peers"
	"mimosayard/platform"
)

// A moment is the state of the store at one time.
type moment struct {
	position platform.Position
	// state is sorted by name.
	state []platform.Object
	// changes are those of the era so far.
	changes []platform.Change
}

// TestStateNeverRegresses applies lists, changes and peers' snapshots of one
// history in any order, late and repeatedly. The store is restored from copies, after which
// revisions are given out again. An object must never go back to an older state of the
// store, and older data must not restore an object that was removed.
func TestStateNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := randomHistory(t)
		published := make(chan []platform.Object, 64)
		c := newCache(nil, published)
		newest := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			index := rapid.IntRange(1, len(history)-1).Draw(t, "moment")
			if applyMoment(t, c, history[index], newest > 0) && history[index].position.After(history[newest].position) {
				newest = index
			}
			for len(published) > 0 {
				<-published
			}
			assertState(t, c, history[newest])
		}
	})
}

// TestReplacedStatesDoNotComeBack guards against objects that go back to a state from before,
// or come back after they were removed, since the store was restored from a copy.
func TestReplacedStatesDoNotComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := randomHistory(t)
		published := make(chan []platform.Object, 64)
		c := newCache(nil, published)
		c.IgnoreCopies = true
		o := replacementObserver{cache: c}
		for index := 1; index < len(history); index += rapid.IntRange(0, 2).Draw(t, "pass") {
			applyMoment(t, c, history[index], o.before != nil)
			for len(published) > 0 {
				<-published
			}
			o.observe(t)
		}
	})
}

// replacementObserver remembers which states of objects a cache has replaced in one era.
type replacementObserver struct {
	cache  *Cache
	era    uint64
	before map[string]platform.Object
	gone   objectHistory
}

// observe fails the test if the cache has an object that was replaced before.
func (o *replacementObserver) observe(t *rapid.T) {
	t.Helper()
	for name, object := range o.before {
		if o.era == o.cache.version.Era && stateOf(o.cache.objects[name]) != stateOf(object) {
			o.gone.add(object)
		}
	}
	for name, object := range o.cache.objects {
		if o.gone.has(object) {
			t.Fatalf("%s is %v again", name, object)
		}
	}
	o.era, o.before = o.cache.version.Era, maps.Clone(o.cache.objects)
}

// applyMoment applies a moment to the cache as a list, a peer's snapshot or
// changes, and reports whether it did. A watch returns all changes of an era up to a
// revision, possibly some of them again, and none before a list of that era.
func applyMoment(t *rapid.T, c *Cache, m moment, listed bool) bool {
	switch rapid.SampledFrom([]string{"list", "peer", "changes"}).Draw(t, "source") {
	case "list":
		c.applyList(m.state, m.position, 0)
	case "peer":
		content, err := json.Marshal(m.state)
		if err != nil {
			t.Fatal(err)
		}
		version := peers.DocumentVersion{Era: uint64(m.position.Era), Revision: uint64(m.position.Revision)}
		c.ApplySnapshot(version, content)
	case "changes":
		version, _ := c.DocumentVersion()
		sameEra := version.Era == uint64(m.position.Era)
		if !listed || !sameEra && version.Era < uint64(m.position.Era) {
			return false
		}
		c.applyChanges(m.changes, m.position, 0)
		return sameEra
	}
	return true
}

func assertState(t *rapid.T, c *Cache, want moment) {
	t.Helper()
	if got := names(c.sortedObjects()); got != names(want.state) {
		t.Fatalf("at %v the objects are %q, want %q", want.position, got, names(want.state))
	}
	for _, object := range want.state {
		if got := c.objects[object.Name]; got.Revision != object.Revision || string(got.Spec) != string(object.Spec) {
			t.Fatalf("at %v, %s is %v, want %v", want.position, object.Name, got, object)
		}
	}
}

// randomHistory returns the moments of a store that is changed and restored from copies. The
// first is before the first change.
func randomHistory(t *rapid.T) []moment {
	history := []moment{{position: platform.Position{Era: 1}}}
	for n := range rapid.IntRange(1, 20).Draw(t, "length") {
		last := history[len(history)-1]
		if n > 0 && rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
			restored := history[rapid.IntRange(0, len(history)-1).Draw(t, "copy")]
			restored.position.Era, restored.changes = last.position.Era+1, nil
			history = append(history, restored)
			continue
		}
		position := platform.Position{Era: last.position.Era, Revision: last.position.Revision + 1}
		change := platform.Change{
			Object: platform.Object{
				Name: fmt.Sprintf("o%d", rapid.IntRange(0, 2).Draw(t, "object")), Revision: position.Revision,
				Spec: json.RawMessage(fmt.Sprintf("[%d,%d]", position.Era, n)),
			},
			Removed: rapid.Bool().Draw(t, "removed"),
		}
		history = append(history, moment{position, changedState(last.state, change), append(slices.Clip(last.changes), change)})
	}
	return history
}

// changedState returns the state after a change.
func changedState(state []platform.Object, change platform.Change) []platform.Object {
	changed := slices.DeleteFunc(slices.Clone(state), func(o platform.Object) bool { return o.Name == change.Object.Name })
	if !change.Removed {
		changed = append(changed, change.Object)
	}
	slices.SortFunc(changed, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return changed
}
