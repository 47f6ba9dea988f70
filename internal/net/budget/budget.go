// Package budget bounds what the requests of callers take of a process: the bytes
// that heads, bodies and answers hold, and the connections.
package budget

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// A Budget is a number of bytes that claims share. A nil Budget has no bound. It is
// safe for concurrent use.
type Budget struct {
	limit int64

	mutex sync.Mutex
	// held is the sum of the claims beyond their floors.
	held int64
	// evicting is the part of held of claims that have lost their place and are not yet
	// released.
	evicting int64
	// watched are the claims that may lose their place.
	watched map[*Claim]struct{}
	// released is closed at the next release, nil if nothing waits for one.
	released chan struct{}
	counts   Counts
}

// Counts are numbers since the start of the process.
type Counts struct {
	// Refused is the number of claims that were not extended for want of bytes.
	Refused int64
	// Evicted is the number of claims that lost their place.
	Evicted int64
}

// A Claim is what one request or answer holds of a budget. Init makes the zero value
// ready. A claim is used by one goroutine at a time.
type Claim struct {
	budget *Budget
	// floor is the number of bytes that count as none.
	floor int64

	// The fields below are guarded by the budget's mutex once the claim holds more
	// than its floor.
	held     int64
	evict    func()
	patience time.Duration
	evicted  bool
	// progressAt is when the claim last completed progressStep bytes of progress,
	// and progress the number of bytes since.
	progressAt time.Time
	progress   int64
	// waitingSince is when the claim began to wait for bytes, zero while it does not.
	waitingSince time.Time
}

var (
	// ErrShort is returned if the budget has no room.
	ErrShort = errors.New("no room in the budget")
	// ErrEvicted is returned if the claim has lost its place.
	ErrEvicted = errors.New("lost its place in the budget")
)

const (
	// progressStep is the progress below which a claim counts as stalled, so that a
	// byte now and then does not keep a place. The slowest body of 4 MiB that
	// callers need 10 s for takes 40 ms for a step.
	progressStep = 16 << 10
	// evictionWait bounds the wait for the bytes of a claim that has lost its
	// place, whose connection only has to notice.
	evictionWait = time.Second
)

// New returns a budget of a number of bytes, or nil for zero.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, watched: map[*Claim]struct{}{}}
}

// Held returns the number of bytes held beyond the floors.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Counts returns the numbers since the start.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.counts
}

// Init makes a claim ready. The first floor bytes of it count as none.
func (c *Claim) Init(b *Budget, floor int64) {
	c.budget, c.floor = b, floor
}

// Watch lets the claim lose its place if the budget is short and the claim has made no
// progress for the patience. evict is then called once, while the budget is locked:
// it makes the claim's owner notice and must not block.
func (c *Claim) Watch(now time.Time, patience time.Duration, evict func()) {
	if c.budget == nil {
		return
	}
	if c.held > c.floor {
		c.budget.mutex.Lock()
		defer c.budget.mutex.Unlock()
	}
	c.patience, c.evict = patience, evict
	c.progressAt, c.progress = now, 0
	if c.held > c.floor && !c.evicted {
		c.budget.watched[c] = struct{}{}
	}
}

// Keep lets the claim keep its place until its release. It returns ErrEvicted if it has
// lost it.
func (c *Claim) Keep() error {
	if c.budget == nil || c.held <= c.floor {
		c.evict = nil
		return nil
	}
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	c.evict = nil
	delete(c.budget.watched, c)
	if c.evicted {
		return ErrEvicted
	}
	return nil
}

// Grow extends the claim by n bytes, also by less than none. If the budget is short, the
// claims that have stalled longest lose their places, and Grow waits for their bytes. If
// all that have stalled do not hold enough, none does, and Grow returns ErrShort.
func (c *Claim) Grow(n int64) error {
	if c.budget == nil || c.held+n <= c.floor && c.held <= c.floor {
		c.held += n
		return nil
	}
	var timeout <-chan time.Time
	for {
		released, err := c.budget.grow(c, n, time.Now())
		if released == nil {
			return err
		}
		if timeout == nil {
			timeout = time.After(evictionWait)
		}
		select {
		case <-released:
		case <-timeout:
			return c.budget.refuse(c)
		}
	}
}

// TryGrow is Grow without a wait.
func (c *Claim) TryGrow(n int64) error {
	if c.budget == nil || c.held+n <= c.floor && c.held <= c.floor {
		c.held += n
		return nil
	}
	released, err := c.budget.grow(c, n, time.Now())
	if released != nil {
		return c.budget.refuse(c)
	}
	return err
}

// Held returns the number of bytes that the claim holds, with those of its floor.
func (c *Claim) Held() int64 {
	return c.held
}

// Progress records that the owner of the claim has moved on by n bytes.
func (c *Claim) Progress(n int) {
	if c.budget == nil || c.held <= c.floor {
		return
	}
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	c.progress += int64(n)
	if c.progress >= progressStep {
		c.progressAt, c.progress = time.Now(), 0
	}
}

// Release gives the claim back. It may be used again.
func (c *Claim) Release() {
	if c.budget == nil || c.held <= c.floor {
		c.held, c.evict = 0, nil
		return
	}
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.watched, c)
	b.held -= c.shared()
	if c.evicted {
		b.evicting -= c.shared()
	}
	c.held, c.evict, c.evicted = 0, nil, false
	b.announce()
}

// shared returns the bytes of the claim beyond its floor.
func (c *Claim) shared() int64 {
	return max(0, c.held-c.floor)
}

// grow extends a claim. If the bytes of other claims will be released soon, it returns a
// channel that is closed at the next release.
func (b *Budget) grow(c *Claim, n int64, now time.Time) (<-chan struct{}, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c.evicted {
		return nil, ErrEvicted
	}
	more := max(0, c.held+n-c.floor) - c.shared()
	if more > 0 && b.held+more > b.limit {
		if !b.evictStalled(c, b.held-b.evicting+more-b.limit, now) {
			c.endWait(now)
			b.counts.Refused++
			return nil, ErrShort
		}
		if c.waitingSince.IsZero() {
			c.waitingSince = now
		}
		if b.released == nil {
			b.released = make(chan struct{})
		}
		return b.released, nil
	}
	c.endWait(now)
	c.held += n
	b.held += more
	switch {
	case c.shared() == 0:
		delete(b.watched, c)
	case c.evict != nil:
		b.watched[c] = struct{}{}
	}
	if more < 0 {
		b.announce()
	}
	return nil, nil
}

// endWait ends a wait for bytes, in which the claim could make no progress. The caller holds the
// budget's mutex.
func (c *Claim) endWait(now time.Time) {
	if c.waitingSince.IsZero() {
		return
	}
	c.progressAt = c.progressAt.Add(now.Sub(c.waitingSince))
	c.waitingSince = time.Time{}
}

// refuse counts a refusal of a claim and returns its error.
func (b *Budget) refuse(c *Claim) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c.endWait(time.Now())
	b.counts.Refused++
	return ErrShort
}

// evictStalled takes the places of the claims that have stalled longest, other than the
// one that asks, until they hold the missing bytes. If all that have stalled hold less, it
// takes none and returns false. A claim that waits for bytes itself has not stalled.
func (b *Budget) evictStalled(asking *Claim, missing int64, now time.Time) bool {
	if missing <= 0 {
		return true
	}
	var stalled []*Claim
	held := int64(0)
	for c := range b.watched {
		if c != asking && c.waitingSince.IsZero() && now.Sub(c.progressAt) >= c.patience {
			stalled = append(stalled, c)
			held += c.shared()
		}
	}
	if held < missing {
		return false
	}
	slices.SortFunc(stalled, func(a, b *Claim) int { return a.progressAt.Compare(b.progressAt) })
	for _, victim := range stalled {
		if missing <= 0 {
			break
		}
		delete(b.watched, victim)
		victim.evicted = true
		b.evicting += victim.shared()
		missing -= victim.shared()
		b.counts.Evicted++
		victim.evict()
	}
	return true
}

// announce wakes those who wait for a release.
func (b *Budget) announce() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
