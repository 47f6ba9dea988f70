package links

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"mimosayard/internal/core/tables"
)

// Errors of connections through a peer.
var (
	// ErrUnreachable is returned if the peer could not reach the upstream either.
	ErrUnreachable = errors.New("the peer could not reach the upstream")
	// ErrPeerLost is returned if the connection to the peer broke.
	ErrPeerLost = errors.New("the connection to the peer broke")
)

// A Peer is an instance through which connections may go.
type Peer struct {
	ID         tables.InstanceID
	DataCenter tables.DataCenterID
}

// Peers spreads connections over peers. The zero value is ready to use. It is safe
// for concurrent use.
type Peers struct {
	// Home is the data centre whose peers are preferred.
	Home tables.DataCenterID

	mutex sync.Mutex
	known map[tables.InstanceID]*peerState
}

// peerState is what is known of a peer.
type peerState struct {
	// open is the number of this instance's connections through the peer.
	open int
	// avoidUntil is when a peer that took no connection may be asked again.
	avoidUntil time.Time
}

// avoidTime is how long a peer that took no connection is avoided.
const avoidTime = time.Second

// Choose returns the index of the candidate for the next connection, or false if
// there is none. A peer of the home data centre goes first, and one that took no
// connection lately goes last. Of two random ones of the same rank, the one with
// fewer connections from here is chosen.
func (p *Peers) Choose(now time.Time, candidates []Peer) (int, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bestRank := 0
	var best []int
	for i, c := range candidates {
		rank := p.rank(now, c)
		if len(best) == 0 || rank < bestRank {
			bestRank, best = rank, best[:0]
		}
		if rank == bestRank {
			best = append(best, i)
		}
	}
	if len(best) == 0 {
		return 0, false
	}
	first, second := best[rand.IntN(len(best))], best[rand.IntN(len(best))]
	if p.openConnections(candidates[second].ID) < p.openConnections(candidates[first].ID) {
		return second, true
	}
	return first, true
}

// Opened records a connection through a peer. The caller calls Closed at its end.
func (p *Peers) Opened(id tables.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state(id).open++
}

// Closed records the end of a connection through a peer.
func (p *Peers) Closed(id tables.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.state(id)
	s.open--
	if s.open <= 0 && s.avoidUntil.IsZero() {
		delete(p.known, id)
	}
}

// Refused records that a peer took no connection.
func (p *Peers) Refused(now time.Time, id tables.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for known, s := range p.known {
		if s.open <= 0 && now.After(s.avoidUntil) {
			delete(p.known, known)
		}
	}
	p.state(id).avoidUntil = now.Add(avoidTime)
}

// rank returns the rank of a candidate, the lowest first. The caller holds the
// mutex.
func (p *Peers) rank(now time.Time, c Peer) int {
	s := p.known[c.ID]
	switch {
	case s != nil && now.Before(s.avoidUntil):
		return 2
	case c.DataCenter == p.Home:
		return 0
	}
	return 1
}

// openConnections returns the number of connections through a peer. The caller
// holds the mutex.
func (p *Peers) openConnections(id tables.InstanceID) int {
	if s := p.known[id]; s != nil {
		return s.open
	}
	return 0
}

// state returns the state of a peer, which it creates if there is none. The caller
// holds the mutex.
func (p *Peers) state(id tables.InstanceID) *peerState {
	if p.known == nil {
		p.known = map[tables.InstanceID]*peerState{}
	}
	s := p.known[id]
	if s == nil {
		s = &peerState{}
		p.known[id] = s
	}
	return s
}
