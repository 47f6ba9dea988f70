// Package beliefs keeps what an instance believes of the platform's store up
// to date: one watch for each kind of objects, and the other instances as the
// second source while the store does not answer this one.
package beliefs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/pauses"
	"mimosayard/internal/telemetry/events"
	"mimosayard/platform"
)

// A Keeper keeps the objects of one kind. Its fields are set before use.
type Keeper struct {
	Kind  platform.Kind
	Store *platform.Store
	Log   *zap.Logger
	// Changed takes all objects of the kind, after each change. Age is how long
	// the store may have had the change already; a change that a waiting watch
	// told has none.
	Changed func(objects []platform.Object, age time.Duration)
	// Place returns the instance's place among the live instances of the fleet
	// and their number.
	Place func() (position, count int)
	// Gather is the pause after a change before the next watch, so that changes
	// in quick succession cost one call. It must be small against the time in
	// which a change has to be in force. Zero takes the default.
	Gather time.Duration
	// Patience stretches the turns of a kind that may be learned of late.
	Patience int
	// News is called after a change that came from the store, so that the
	// peers hear of it at once.
	News func()

	// watching is the revision to go on from, zero to list. Only Run uses it.
	watchRevision platform.Revision

	mutex          sync.Mutex
	objects        map[string]platform.Object
	mark           peers.Mark
	hasState       bool
	storeDown      bool
	lastResponseAt time.Time
}

const (
	// renewal is the time between two renewals of a watch in the whole fleet. A
	// watch may miss a change without an error, and shows it only when it is
	// renewed; the instance that renews first tells its peers, so that a change
	// that all watches missed is in force within two seconds.
	watchRenewalInterval = 700 * time.Millisecond
	// leastTurns and mostTurns bound the number of turns in a round.
	minSlots = 3
	maxSlots = 40
	// longestWait bounds the wait of one watch. The store allows 30 seconds.
	maxWatchWait = 25 * time.Second
	// gather is the pause after a change before the next watch of a keeper that
	// sets none of its own.
	defaultBatchDelay = 250 * time.Millisecond
	// waited is the time from which a call counts as one that waited for news.
	longPollThreshold = 200 * time.Millisecond
	// firstPause and longestPause bound the pauses between failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Run lists and watches until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		switch err := k.listOrWatch(ctx); {
		case ctx.Err() != nil:
		case err == nil:
			k.recordStoreStatus(nil)
			backoff = minBackoff
		case errors.Is(err, platform.ErrHistoryGone):
			k.watchRevision = 0
			events.HistoryGone.Log(k.Log, zap.String("kind", string(k.Kind)))
		default:
			k.recordStoreStatus(err)
			pauses.Sleep(ctx, pauses.Jittered(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

// Mark returns the mark of the objects for the peers, and false if none are
// known yet.
func (k *Keeper) Mark() (peers.Mark, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.mark, k.hasState
}

// Content returns the objects as the peers tell them to each other.
func (k *Keeper) Content() ([]byte, peers.Mark, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.hasState {
		return nil, peers.Mark{}, false
	}
	content, err := json.Marshal(k.sortedObjects())
	if err != nil {
		return nil, peers.Mark{}, false
	}
	return content, k.mark, true
}

// Take takes the objects from a peer if they are newer, and reports whether
// they were.
func (k *Keeper) Take(mark peers.Mark, content []byte) bool {
	var objects []platform.Object
	if err := json.Unmarshal(content, &objects); err != nil {
		events.BeliefUnreadable.Log(k.Log, zap.String("kind", string(k.Kind)), zap.Error(err))
		return false
	}
	k.mutex.Lock()
	newer := !k.hasState || mark.Revision > k.mark.Revision
	if newer {
		k.replaceObjects(objects, mark.Revision)
	}
	k.mutex.Unlock()
	if newer {
		k.publish("peer", 0)
	}
	return newer
}

// follow makes one call: a list if there is nothing to go on from, else a
// watch.
func (k *Keeper) listOrWatch(ctx context.Context) error {
	started := time.Now()
	if k.watchRevision == 0 {
		objects, revision, err := k.Store.List(ctx, k.Kind)
		if err != nil {
			return trace.Wrap(err)
		}
		k.watchRevision = revision
		k.applyList(objects, revision, k.changeAge(started))
		return nil
	}
	wait := k.watchWait(started)
	changes, revision, err := k.Store.Watch(ctx, k.Kind, k.watchRevision, wait)
	if err != nil {
		if time.Since(started) >= wait {
			// The watch was silent, and may have missed changes.
			k.watchRevision = 0
		}
		return trace.Wrap(err)
	}
	k.watchRevision = max(k.watchRevision, revision)
	if k.applyChanges(changes, revision, k.changeAge(started)) {
		pauses.Sleep(ctx, cmp.Or(k.Gather, defaultBatchDelay))
	}
	return nil
}

// ageOf returns how long the store may have had what a call has told: since the
// last answer before, unless the call had to wait for it.
func (k *Keeper) changeAge(started time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.lastResponseAt.IsZero() || time.Since(started) > longPollThreshold {
		return 0
	}
	return started.Sub(k.lastResponseAt)
}

// watchWait returns how long a watch waits: until the instance's next turn. The
// instances take turns by the time of day. Where their clocks differ, turns
// only come less evenly.
func (k *Keeper) watchWait(now time.Time) time.Duration {
	position, count := k.Place()
	slots := min(maxSlots, max(minSlots, count))
	slotLength := watchRenewalInterval * time.Duration(max(1, k.Patience))
	cycle := time.Duration(slots) * slotLength
	slotOffset := time.Duration(position%slots) * slotLength
	sinceCycleStart := time.Duration(now.UnixNano()) % cycle
	wait := (slotOffset - sinceCycleStart + cycle) % cycle
	if wait < slotLength/2 {
		wait += cycle
	}
	return min(wait, maxWatchWait)
}

func (k *Keeper) applyList(objects []platform.Object, revision platform.Revision, age time.Duration) {
	k.mutex.Lock()
	newer := !k.hasState || uint64(revision) > k.mark.Revision
	previousDigest := k.mark.Digest
	first := !k.hasState
	if newer {
		k.replaceObjects(objects, uint64(revision))
	}
	changed := first || k.mark.Digest != previousDigest
	k.mutex.Unlock()
	if newer && changed {
		k.publish("store", age)
		k.News()
	}
}

func (k *Keeper) applyChanges(changes []platform.Change, revision platform.Revision, age time.Duration) bool {
	if len(changes) == 0 {
		return false
	}
	k.mutex.Lock()
	changed := false
	for _, change := range changes {
		current, ok := k.objects[change.Object.Name]
		switch {
		case ok && change.Object.Revision < current.Revision:
			continue
		case change.Removed && !ok:
			continue
		case change.Removed:
			delete(k.objects, change.Object.Name)
		case !ok && uint64(change.Object.Revision) <= k.mark.Revision:
			// A peer has told that the object is gone since.
			continue
		default:
			k.objects[change.Object.Name] = change.Object
		}
		changed = true
	}
	if changed {
		k.mark.Revision = max(k.mark.Revision, uint64(revision))
		k.mark.Digest = k.digest()
	}
	k.mutex.Unlock()
	if changed {
		k.publish("store", age)
		k.News()
	}
	return changed
}

// replace takes a whole state. The caller holds the mutex.
func (k *Keeper) replaceObjects(objects []platform.Object, revision uint64) {
	k.hasState = true
	k.objects = make(map[string]platform.Object, len(objects))
	for _, object := range objects {
		k.objects[object.Name] = object
	}
	k.mark = peers.Mark{Revision: revision, Digest: k.digest()}
}

// tell hands the objects on. Hand-overs of one keeper do not overlap.
func (k *Keeper) publish(source string, age time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	events.BeliefChanged.Log(k.Log,
		zap.String("kind", string(k.Kind)),
		zap.String("source", source),
		zap.Uint64("revision", k.mark.Revision),
		zap.Int("objects", len(k.objects)),
	)
	k.Changed(k.sortedObjects(), age)
}

// note logs when the store stops and starts to answer.
func (k *Keeper) recordStoreStatus(err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	switch {
	case err != nil && !k.storeDown:
		k.storeDown = true
		fields := []zap.Field{zap.String("kind", string(k.Kind)), zap.Error(err), zap.Uint64("revision", k.mark.Revision)}
		if !k.lastResponseAt.IsZero() {
			fields = append(fields, zap.Duration("age", now.Sub(k.lastResponseAt)))
		}
		events.PlatformLost.Log(k.Log, fields...)
	case err == nil && k.storeDown:
		k.storeDown = false
		events.PlatformBack.Log(k.Log, zap.String("kind", string(k.Kind)), zap.Uint64("revision", k.mark.Revision))
	}
	if err == nil {
		k.lastResponseAt = now
	}
}

func (k *Keeper) sortedObjects() []platform.Object {
	objects := make([]platform.Object, 0, len(k.objects))
	for _, object := range k.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return objects
}

func (k *Keeper) digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, object := range k.sortedObjects() {
		_, _ = digest.WriteString(object.Name)
		_, _ = digest.Write(object.Spec)
		_, _ = digest.Write(object.Status)
	}
	return digest.Sum64()
}
