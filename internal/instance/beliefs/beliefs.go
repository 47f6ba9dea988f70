// Package beliefs caches objects of the platform's store in an instance. Each
// kind of objects is kept up to date by a list and watch of the store, and by
// snapshots from the other instances, so that an instance that cannot reach the
// store still gets changes.
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

// Keeper caches the objects of one kind. Its fields must be set before use.
// Its methods Mark, Content and Take are safe for concurrent use.
type Keeper struct {
	Kind  platform.Kind
	Store *platform.Store
	Log   *zap.Logger
	// Changed is called with all objects of the kind after each change. age is
	// the longest time for which the store may already have had the change. It
	// is zero for a change that a waiting watch returned, and for one from a
	// peer.
	Changed func(objects []platform.Object, age time.Duration)
	// Place returns the instance's position among the live instances of the
	// fleet, starting at zero, and their number.
	Place func() (position, count int)
	// Gather is the delay between a change and the next watch, so that changes
	// in quick succession cost one call. It must be short compared to the time
	// in which a change has to take effect. Zero means the default.
	Gather time.Duration
	// Patience multiplies the renewal interval of watches, for a kind whose
	// changes may take effect later. Values below one mean one.
	Patience int
	// News is called after a change from the store, to notify the peers at
	// once.
	News func()

	// watchRevision is the revision from which to watch. If it is zero, the
	// objects are listed first. Only Run uses it.
	watchRevision platform.Revision

	mutex   sync.Mutex
	objects map[string]platform.Object
	mark    peers.Mark
	// hasState is true once the objects are known from the store or a peer.
	hasState bool
	// storeDown is true while calls to the store fail.
	storeDown bool
	// lastResponseAt is the time of the last successful call to the store.
	lastResponseAt time.Time
}

const (
	// watchRenewalInterval is the time between two renewals of watches in the
	// whole fleet. A watch may miss a change without an error, until it is
	// renewed. The instance that renews first notifies its peers, so that a
	// change that all watches missed takes effect within two seconds.
	watchRenewalInterval = 700 * time.Millisecond
	// minSlots and maxSlots bound the number of renewal slots in a cycle.
	minSlots = 3
	maxSlots = 40
	// maxWatchWait bounds the wait of a watch. The store allows 30 seconds.
	maxWatchWait = 25 * time.Second
	// defaultBatchDelay is the delay between a change and the next watch if
	// Gather is zero.
	defaultBatchDelay = 250 * time.Millisecond
	// longPollThreshold is the duration above which a call counts as one that
	// waited for a change.
	longPollThreshold = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the mean delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Run lists and watches the objects until the context ends. It retries failed
// calls with exponential backoff, and always returns nil.
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

// Mark returns the revision and digest of the objects, to be compared with
// those of peers. It returns false if the objects are not known yet.
func (k *Keeper) Mark() (peers.Mark, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.mark, k.hasState
}

// Content returns a snapshot of the objects, encoded for peers, and its mark.
// It returns false if the objects are not known yet.
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

// Take replaces the objects by a peer's snapshot if that has a higher revision,
// and reports whether it did.
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

// listOrWatch makes one call to the store: a list if there is no revision to
// watch from, otherwise a watch.
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
			// The watch did not return in time, and may have missed changes.
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

// changeAge returns the longest time for which the store may already have had
// the changes that a call returned: the time between the last response and the
// start of the call, or zero if the call waited for the changes.
func (k *Keeper) changeAge(started time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.lastResponseAt.IsZero() || time.Since(started) > longPollThreshold {
		return 0
	}
	return started.Sub(k.lastResponseAt)
}

// watchWait returns how long a watch waits: until the next slot of the
// instance. Slots are aligned to the wall clock, one instance after the other.
// If the clocks of instances differ, renewals are only spread less evenly.
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

// applyList applies the result of a list, unless a peer's snapshot is newer.
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

// applyChanges applies the result of a watch and reports whether any object
// changed. Changes older than the state are ignored.
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
			// A newer snapshot of a peer does not have the object, so it was
			// removed since.
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

// replaceObjects replaces all objects. The caller must hold the mutex.
func (k *Keeper) replaceObjects(objects []platform.Object, revision uint64) {
	k.hasState = true
	k.objects = make(map[string]platform.Object, len(objects))
	for _, object := range objects {
		k.objects[object.Name] = object
	}
	k.mark = peers.Mark{Revision: revision, Digest: k.digest()}
}

// publish logs a change and calls Changed. It holds the mutex, so calls of
// Changed do not overlap.
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

// recordStoreStatus records whether a call to the store succeeded, and logs
// when the store becomes unavailable or available again.
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

// sortedObjects returns the objects sorted by name. The caller must hold the
// mutex.
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

// digest returns a hash of the names, specs and statuses of the objects. The
// caller must hold the mutex.
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
