package storecache

import (
	"context"
	"sync"
	"time"

	"mimosayard/internal/instance/delay"
)

// Watchers tells an instance whether enough others watch the objects of a kind for it, from
// which it hears of changes. The zero value knows of none, so that the instance watches itself.
// It is safe for concurrent use.
type Watchers struct {
	mutex sync.Mutex
	// isWatcher is true if this instance is one of those that watch for the fleet.
	isWatcher bool
	// others is the number of other instances that watch and that the store answers.
	others int
	// tooFew is closed when the instance has to watch itself, nil while nobody waits for that.
	tooFew chan struct{}
}

const (
	// watcherCount is the number of instances that watch for the fleet. They are spread over
	// its members, so that a data centre, or half of the instances, may be lost.
	watcherCount = 8
	// minOtherWatchers is the number of others below which an instance watches itself.
	minOtherWatchers = 4
	// minWatchedFleet is the size of a fleet from which instances rely on watchers. Below it
	// they would save few calls.
	minWatchedFleet = 4 * watcherCount
	// meanTakeoverDelay spreads the calls of instances that find the watchers to be too few.
	meanTakeoverDelay = 150 * time.Millisecond
	// renewalWait is the wait of a watch that only looks for changes that all others missed.
	renewalWait = 50 * time.Millisecond
)

// Update sets the instance's position in the fleet, the size of the fleet, and the number of
// other instances that watch and that the store answers.
func (w *Watchers) Update(position, count, others int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isWatcher = count < minWatchedFleet || position*watcherCount%count < watcherCount
	w.others = others
	if w.tooFew != nil && !w.areEnough() {
		close(w.tooFew)
		w.tooFew = nil
	}
}

// Serves reports whether this instance is one of those that watch for the fleet.
func (w *Watchers) Serves() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.isWatcher
}

// areEnough reports whether the instance need not watch. The caller must hold the mutex.
func (w *Watchers) areEnough() bool {
	return !w.isWatcher && w.others >= minOtherWatchers
}

// awaitTooFew returns a channel that is closed when the instance has to watch itself, nil if it
// has to now.
func (w *Watchers) awaitTooFew() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.areEnough() {
		return nil
	}
	if w.tooFew == nil {
		w.tooFew = make(chan struct{})
	}
	return w.tooFew
}

// IsFollowing reports whether the objects are known and the store has answered the latest call.
func (c *Cache) IsFollowing() bool {
	return c.following.Load()
}

// awaitTurn waits while others watch for this instance, until its turn to look for changes that
// all of them have missed. It returns false if the instance has to watch itself.
func (c *Cache) awaitTurn(ctx context.Context) (isRenewal bool) {
	if c.Watchers == nil || c.historyLost || !c.isKnown() {
		return false
	}
	tooFew := c.Watchers.awaitTooFew()
	if tooFew == nil {
		return false
	}
	timer := time.NewTimer(c.untilSlot(time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-tooFew:
		delay.Sleep(ctx, delay.WithJitter(meanTakeoverDelay))
	case <-ctx.Done():
	}
	return false
}

// isKnown reports whether the objects are known from the store or a peer.
func (c *Cache) isKnown() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hasState
}
