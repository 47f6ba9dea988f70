// Package storecache caches objects of the platform's store in an instance. Each
// kind of objects is kept up to date by a list and watch of the store, and by
// snapshots from the other instances, so that an instance that cannot reach the
// store still gets changes.
package storecache

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/telemetry/events"
	"mimosayard/platform"
)

// Cache caches the objects of one kind. Its fields must be set before use.
// Its methods DocumentVersion, Snapshot and ApplySnapshot are safe for
// concurrent use.
type Cache struct {
	Kind  platform.Kind
	Store *platform.Store
	Log   *zap.Logger
	// OnChange is called with all objects of the kind after each change. age is
	// the longest time for which the store may already have had the change. It
	// is zero for a change that a waiting watch returned, and for one from a
	// peer.
	OnChange func(objects []platform.Object, age time.Duration)
	// FleetPosition returns the instance's position among the live instances of
	// the fleet, starting at zero, and their number.
	FleetPosition func() (position, count int)
	// BatchDelay is the delay between a change and the next watch, so that
	// changes in quick succession cost one call. It must be short compared to
	// the time in which a change has to take effect. Zero means the default.
	BatchDelay time.Duration
	// FollowerBatchDelay is the BatchDelay of instances after the first few in
	// the fleet, which get most changes from their peers. It is used if it is
	// longer than BatchDelay. Zero means the default.
	FollowerBatchDelay time.Duration
	// RenewalFactor multiplies the renewal interval of watches, for a kind
	// whose changes may take effect later. Values below one mean one.
	RenewalFactor int
	// IgnoreCopies keeps what is known of an object whose entry in a restored store is one that
	// was changed or removed before, until its owner writes it again.
	IgnoreCopies bool
	// OnRestore is called when the store was restored from a copy. It must not block, and may
	// be nil.
	OnRestore func()
	// NotifyPeers is called after a change from the store, to notify the peers
	// at once.
	NotifyPeers func()
	// Watchers tells whether others watch for this instance. If it is nil, each instance
	// watches.
	Watchers *Watchers

	// watchPosition is the position from which to watch. If it is zero, the
	// objects are listed first. Only Run uses it.
	watchPosition platform.Position
	// historyGoneAt is when the store last lacked the history of a watch. Only Run uses it.
	historyGoneAt time.Time
	// historyLost is true until the objects are listed after the store lacked the history. Only
	// Run uses it.
	historyLost bool
	// following is true if the objects are known and the store has answered the latest call.
	following atomic.Bool

	mutex   sync.Mutex
	objects map[string]platform.Object
	version peers.DocumentVersion
	// replaced are the objects that were changed or removed in this process's life.
	replaced objectHistory
	// firstEra is the era of the first state.
	firstEra uint64
	// peerPosition is the latest position of the snapshots applied from peers.
	peerPosition platform.Position
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
	// BatchDelay or FollowerBatchDelay is zero.
	defaultBatchDelay = 250 * time.Millisecond
	// batchLeaders is the number of instances that watch without
	// FollowerBatchDelay.
	batchLeaders = 4
	// longPollThreshold is the duration above which a call counts as one that
	// waited for a change.
	longPollThreshold = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the mean delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// RenewalFactorFor returns the RenewalFactor with which a change that all watches missed is found
// within a time, at least one.
func RenewalFactorFor(limit time.Duration) int {
	return max(1, int(limit/watchRenewalInterval))
}

// Run lists and watches the objects until the context ends. It retries failed
// calls with exponential backoff, and always returns nil.
func (c *Cache) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		switch err := c.listOrWatch(ctx); {
		case ctx.Err() != nil:
		case err == nil:
			c.recordStoreStatus(nil)
			backoff = minBackoff
		case errors.Is(err, platform.ErrHistoryGone):
			c.watchPosition, c.historyLost = platform.Position{}, true
			events.WatchHistoryExpired.Log(c.Log, zap.String("kind", string(c.Kind)))
			if time.Since(c.historyGoneAt) < maxBackoff {
				delay.Sleep(ctx, delay.WithJitter(maxBackoff/2))
			}
			c.historyGoneAt = time.Now()
		default:
			c.recordStoreStatus(err)
			delay.Sleep(ctx, delay.WithJitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

// DocumentVersion returns the revision and digest of the objects, to be
// compared with those of peers. It returns false if the objects are not known
// yet.
func (c *Cache) DocumentVersion() (peers.DocumentVersion, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.hasState
}

// Snapshot returns a snapshot of the objects, encoded for peers, and its
// version. It returns false if the objects are not known yet.
func (c *Cache) Snapshot() ([]byte, peers.DocumentVersion, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hasState {
		return nil, peers.DocumentVersion{}, false
	}
	content, err := json.Marshal(c.sortedObjects())
	if err != nil {
		return nil, peers.DocumentVersion{}, false
	}
	return content, c.version, true
}

// ApplySnapshot replaces the objects by a peer's snapshot if that is later
// or no objects are known yet, and reports whether it did.
func (c *Cache) ApplySnapshot(version peers.DocumentVersion, content []byte) bool {
	var objects []platform.Object
	if err := json.Unmarshal(content, &objects); err != nil {
		events.ObjectUndecodable.Log(c.Log, zap.String("kind", string(c.Kind)), zap.Error(err))
		return false
	}
	c.mutex.Lock()
	newer := !c.hasState || version.After(c.version) && (version.Era != 0 || c.version.Era == c.firstEra)
	if newer {
		if version.Era == 0 {
			// The peer's build does not tell eras.
			version.Era = c.version.Era
			for n := range objects {
				objects[n].Era = platform.Era(version.Era)
			}
		}
		c.replaceObjects(objects, version)
		c.peerPosition = platform.Position{Era: platform.Era(version.Era), Revision: platform.Revision(version.Revision)}
	}
	c.mutex.Unlock()
	if newer {
		c.publish("peer", 0)
	}
	return newer
}

// listOrWatch makes one call to the store: a list if there is no revision to
// watch from, otherwise a watch.
func (c *Cache) listOrWatch(ctx context.Context) error {
	isRenewal := c.awaitTurn(ctx)
	started := time.Now()
	if c.watchPosition.Era < c.Store.Era() {
		c.watchPosition = platform.Position{}
	}
	if c.watchPosition == (platform.Position{}) {
		objects, position, err := c.Store.List(ctx, c.Kind)
		if err != nil {
			return trace.Wrap(err)
		}
		c.watchPosition, c.historyLost = position, false
		c.applyList(objects, position, c.changeAge(started))
		return nil
	}
	c.skipToPeers()
	wait := c.watchWait(started)
	if isRenewal {
		wait = renewalWait
	}
	changes, position, err := c.Store.Watch(ctx, c.Kind, c.watchPosition, wait)
	if err != nil {
		if time.Since(started) >= wait {
			// The watch did not return in time, and may have missed changes.
			c.watchPosition = platform.Position{}
		}
		return trace.Wrap(err)
	}
	c.watchPosition = later(c.watchPosition, position)
	age := c.changeAge(started)
	if isRenewal {
		// Another instance has looked for missed changes since the last turn of this one.
		age = min(age, c.slotLength())
	}
	if c.applyChanges(changes, position, age) {
		delay.Sleep(ctx, c.batchDelay())
	}
	return nil
}

// skipToPeers continues the watch after the changes that a peer has told of, so
// that the store need not be called for them again.
func (c *Cache) skipToPeers() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchPosition = later(c.watchPosition, c.peerPosition)
}

// later returns the later of two positions.
func later(a, b platform.Position) platform.Position {
	if b.After(a) {
		return b
	}
	return a
}

// batchDelay returns the delay between a change and the next watch.
func (c *Cache) batchDelay() time.Duration {
	batchDelay := cmp.Or(c.BatchDelay, defaultBatchDelay)
	if position, _ := c.FleetPosition(); position >= batchLeaders {
		return max(batchDelay, cmp.Or(c.FollowerBatchDelay, defaultBatchDelay))
	}
	return batchDelay
}

// changeAge returns the longest time for which the store may already have had
// the changes that a call returned: the time between the last response and the
// start of the call, or zero if the call waited for the changes.
func (c *Cache) changeAge(started time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastResponseAt.IsZero() || time.Since(started) > longPollThreshold {
		return 0
	}
	return started.Sub(c.lastResponseAt)
}

// watchWait returns how long a watch waits: until the next slot of the instance.
func (c *Cache) watchWait(now time.Time) time.Duration {
	return min(c.untilSlot(now), maxWatchWait)
}

// untilSlot returns the time until the next slot of the instance. Slots are aligned to the wall
// clock, one instance after the other. If the clocks of instances differ, renewals are only
// spread less evenly.
func (c *Cache) untilSlot(now time.Time) time.Duration {
	position, count := c.FleetPosition()
	slots := min(maxSlots, max(minSlots, count))
	slotLength := c.slotLength()
	cycle := time.Duration(slots) * slotLength
	slotOffset := time.Duration(position%slots) * slotLength
	sinceCycleStart := time.Duration(now.UnixNano()) % cycle
	wait := (slotOffset - sinceCycleStart + cycle) % cycle
	if wait < slotLength/2 {
		wait += cycle
	}
	return wait
}

// slotLength returns the time between two renewals of watches in the whole fleet.
func (c *Cache) slotLength() time.Duration {
	return watchRenewalInterval * time.Duration(max(1, c.RenewalFactor))
}

// applyList applies the result of a list, unless a peer's snapshot is newer.
func (c *Cache) applyList(objects []platform.Object, position platform.Position, age time.Duration) {
	c.mutex.Lock()
	version := peers.DocumentVersion{Era: uint64(position.Era), Revision: uint64(position.Revision)}
	eraWasUnknown := c.version.Era == 0 && version.Era != 0
	newer := !c.hasState || version.After(c.version) || eraWasUnknown
	previousDigest := c.version.Digest
	first := !c.hasState
	if newer {
		c.replaceObjects(objects, version)
	}
	changed := first || c.version.Digest != previousDigest
	c.mutex.Unlock()
	if newer && changed {
		c.publish("store", age)
		c.NotifyPeers()
	}
}

// applyChanges applies the result of a watch and reports whether any object
// changed. Changes older than the state are ignored.
func (c *Cache) applyChanges(changes []platform.Change, position platform.Position, age time.Duration) bool {
	if len(changes) == 0 {
		return false
	}
	c.mutex.Lock()
	if uint64(position.Era) != c.version.Era {
		// A peer's snapshot is of a later era.
		changes = nil
	}
	changed := false
	for _, change := range changes {
		current, ok := c.objects[change.Object.Name]
		switch {
		case ok && change.Object.Revision < current.Revision:
			continue
		case change.Removed && !ok:
			continue
		case change.Removed:
			c.replaced.add(current)
			delete(c.objects, change.Object.Name)
		case !ok && uint64(change.Object.Revision) <= c.version.Revision:
			// A newer snapshot of a peer does not have the object, so it was
			// removed since.
			continue
		default:
			if ok && stateOf(current) != stateOf(change.Object) {
				c.replaced.add(current)
			}
			c.objects[change.Object.Name] = change.Object
		}
		changed = true
	}
	if changed {
		c.version.Revision = max(c.version.Revision, uint64(position.Revision))
		c.version.Digest = c.digest()
	}
	c.mutex.Unlock()
	if changed {
		c.publish("store", age)
		c.NotifyPeers()
	}
	return changed
}

// replaceObjects replaces all objects by those of a version, and sets the version's digest.
// The caller must hold the mutex.
func (c *Cache) replaceObjects(objects []platform.Object, version peers.DocumentVersion) {
	switch {
	case !c.hasState, c.version.Era == 0:
		c.hasState, c.firstEra = true, version.Era
	case version.Era > c.version.Era:
		events.StoreRestored.Log(c.Log, zap.String("kind", string(c.Kind)), zap.Uint64("era", version.Era),
			zap.Uint64("revision", version.Revision), zap.Uint64("known", c.version.Revision))
		if c.OnRestore != nil {
			c.OnRestore()
		}
	}
	known := c.objects
	c.objects = make(map[string]platform.Object, len(objects))
	for _, object := range objects {
		current, ok := known[object.Name]
		switch {
		case !c.IgnoreCopies || !c.replaced.has(object):
			c.objects[object.Name] = object
		case ok:
			c.objects[object.Name] = current
		}
	}
	if version.Era == c.version.Era {
		for name, object := range known {
			if stateOf(c.objects[name]) != stateOf(object) {
				c.replaced.add(object)
			}
		}
	}
	c.version = version
	c.version.Digest = c.digest()
}

// publish logs a change and calls OnChange. It holds the mutex, so calls of
// OnChange do not overlap.
func (c *Cache) publish(source string, age time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	events.ObjectsChanged.Log(c.Log,
		zap.String("kind", string(c.Kind)),
		zap.String("source", source),
		zap.Uint64("era", c.version.Era),
		zap.Uint64("revision", c.version.Revision),
		zap.Int("objects", len(c.objects)),
	)
	c.OnChange(c.sortedObjects(), age)
}

// recordStoreStatus records whether a call to the store succeeded, and logs
// when the store becomes unavailable or available again.
func (c *Cache) recordStoreStatus(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch {
	case err != nil && !c.storeDown:
		c.storeDown = true
		fields := []zap.Field{zap.String("kind", string(c.Kind)), zap.Error(err), zap.Uint64("revision", c.version.Revision)}
		if !c.lastResponseAt.IsZero() {
			fields = append(fields, zap.Duration("age", now.Sub(c.lastResponseAt)))
		}
		events.PlatformUnavailable.Log(c.Log, fields...)
	case err == nil && c.storeDown:
		c.storeDown = false
		events.PlatformAvailable.Log(c.Log, zap.String("kind", string(c.Kind)), zap.Uint64("revision", c.version.Revision))
	}
	if err == nil {
		c.lastResponseAt = now
	}
	c.following.Store(err == nil && c.hasState)
}

// sortedObjects returns the objects sorted by name. The caller must hold the
// mutex.
func (c *Cache) sortedObjects() []platform.Object {
	objects := make([]platform.Object, 0, len(c.objects))
	for _, object := range c.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return objects
}

// digest returns a hash of the names, specs and statuses of the objects. The
// caller must hold the mutex.
func (c *Cache) digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, object := range c.sortedObjects() {
		_, _ = digest.WriteString(object.Name)
		_, _ = digest.Write(object.Spec)
		_, _ = digest.Write(object.Status)
	}
	return digest.Sum64()
}
