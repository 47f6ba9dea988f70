// Package links tells an instance's own lost links to upstreams from upstreams that
// have failed, and decides which connections go through a peer.
//
// One connection that fails shows neither. The own links are lost if connections to
// several upstreams fail and none succeeds in between, or, for a single upstream, if a
// peer reaches it while connections from here fail.
package links

import (
	"sync"
	"time"
)

// An Address is the host and port of an upstream.
type Address string

// A Path is how to connect to an upstream.
type Path int

// The paths.
const (
	// Direct is a connection over the own link.
	Direct Path = iota
	// Relayed is a connection through a peer.
	Relayed
	// Probe is a connection over the own link, or through a peer if that does not
	// succeed at once.
	Probe
)

// A Table is what one instance knows of its links. The zero value takes all links to
// work. It is safe for concurrent use.
type Table struct {
	// OnChange is called when the own links are lost and when they are back. It may
	// be nil.
	OnChange func(lost bool, failing int)

	mutex sync.Mutex
	links map[Address]*link
	// lost is true while the own links count as lost. lostAt is when that began.
	lost   bool
	lostAt time.Time
	// failing are the addresses to which connections have failed since the latest
	// success, working those to which they have succeeded since the latest failure.
	failing, working map[Address]bool
	// nextProbe is the earliest time of the next probe of any link.
	nextProbe time.Time
	prunedAt  time.Time
}

// link is the state of the link to one address.
type link struct {
	// usedAt is the latest time at which a connection over the link ended its attempt.
	usedAt time.Time
	// connectedAt is the latest success. failingSince is the first failure after it,
	// zero if there is none.
	connectedAt, failingSince time.Time
	// relayedAt is when a peer last reached the upstream, zero if the latest one that
	// tried did not.
	relayedAt time.Time
	// nextProbe is the earliest time of the next probe of this link, nextPeerCheck that
	// at which a peer may be asked whether it reaches the upstream.
	nextProbe, nextPeerCheck time.Time
	// failures counts the failures since the latest success.
	failures int
}

const (
	// minLinks is the number of links that decide on all: so many fail before the
	// links count as lost, and so many work before they count as back.
	minLinks = 3
	// minFailures is the number of failures in a row from which a peer is asked whether
	// it reaches an upstream, and peerCheckInterval the time between two such checks.
	minFailures       = 2
	peerCheckInterval = time.Second
	// relayTTL is how long it counts that a peer has reached an upstream.
	relayTTL = 5 * time.Second
	// probeInterval is the time between two probes. It is shorter after probes that
	// succeeded.
	probeInterval = 250 * time.Millisecond
	// maxProbeInterval bounds the time between two probes of one link.
	maxProbeInterval = 2 * time.Second
	// linkTTL is how long the state of an unused link is kept.
	linkTTL = time.Minute
)

// Path returns how to connect to an address now.
func (t *Table) Path(now time.Time, address Address) Path {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := t.links[address]
	if !t.isLost(now, l) {
		return Direct
	}
	if now.Before(t.nextProbe) || (l != nil && now.Before(l.nextProbe)) {
		return Relayed
	}
	t.nextProbe = now.Add(probeInterval / time.Duration(1+len(t.working)))
	if l != nil {
		l.nextProbe = now.Add(min(maxProbeInterval, probeInterval<<min(l.failures, 8)))
	}
	return Probe
}

// Lost reports whether the own link to an address is lost.
func (t *Table) Lost(now time.Time, address Address) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isLost(now, t.links[address])
}

// AllLost reports whether the own links are lost as a whole.
func (t *Table) AllLost() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lost
}

// RecordSuccess records that a connection over the own link was established.
func (t *Table) RecordSuccess(now time.Time, address Address) {
	t.mutex.Lock()
	l := t.touch(now, address)
	l.connectedAt, l.failingSince, l.failures = now, time.Time{}, 0
	clear(t.failing)
	back := false
	if t.lost {
		t.working[address] = true
		back = len(t.working) >= t.decisiveLinks()
		t.lost = !back
	}
	t.mutex.Unlock()
	if back && t.OnChange != nil {
		t.OnChange(false, 0)
	}
}

// RecordFailure records that a connection over the own link could not be
// established.
func (t *Table) RecordFailure(now time.Time, address Address) {
	t.mutex.Lock()
	l := t.touch(now, address)
	l.failures++
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	t.failing[address] = true
	clear(t.working)
	failing := len(t.failing)
	lost := !t.lost && failing >= t.decisiveLinks()
	if lost {
		t.lost, t.lostAt = true, now
		t.nextProbe = now.Add(probeInterval)
	}
	t.mutex.Unlock()
	if lost && t.OnChange != nil {
		t.OnChange(true, failing)
	}
}

// ShouldAskPeer reports whether a peer is to be asked now whether it reaches an address,
// since connections from here fail.
func (t *Table) ShouldAskPeer(now time.Time, address Address) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := t.links[address]
	if l == nil || l.failures < minFailures || now.Before(l.nextPeerCheck) {
		return false
	}
	l.nextPeerCheck = now.Add(peerCheckInterval)
	return true
}

// RecordRelayed records whether a peer has reached an address.
func (t *Table) RecordRelayed(now time.Time, address Address, reached bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := t.links[address]
	switch {
	case l == nil:
	case reached:
		l.relayedAt = now
	default:
		l.relayedAt = time.Time{}
	}
}

// isLost reports whether the own link to an address is lost. The link is nil if
// nothing is known of it. The caller holds the mutex.
func (t *Table) isLost(now time.Time, l *link) bool {
	if t.lost {
		return l == nil || !l.failingSince.IsZero() || !l.connectedAt.After(t.lostAt)
	}
	if l == nil || l.failingSince.IsZero() {
		return false
	}
	return l.relayedAt.After(l.connectedAt) && now.Sub(l.relayedAt) < relayTTL
}

// decisiveLinks returns the number of links that decide on all. It is less than
// minLinks if fewer are in use. The caller holds the mutex.
func (t *Table) decisiveLinks() int {
	return min(minLinks, len(t.links))
}

// touch returns the link to an address after its use, and forgets links that are
// not used any more. The caller holds the mutex.
func (t *Table) touch(now time.Time, address Address) *link {
	if t.links == nil {
		t.links, t.failing, t.working = map[Address]*link{}, map[Address]bool{}, map[Address]bool{}
		t.prunedAt = now
	}
	if now.Sub(t.prunedAt) > linkTTL {
		t.prunedAt = now
		for known, l := range t.links {
			if now.Sub(l.usedAt) > linkTTL {
				delete(t.links, known)
				delete(t.failing, known)
				delete(t.working, known)
			}
		}
	}
	l := t.links[address]
	if l == nil {
		l = &link{}
		t.links[address] = l
	}
	l.usedAt = now
	return l
}
