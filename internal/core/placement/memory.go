package placement

import "mimosayard/internal/core/tables"

// memoryState is what the fleet's calls take of the memory of an upstream that states its pace.
// The zero value has no bound.
type memoryState struct {
	// capacity is the number of tokens that may be sent to it, zero for any.
	capacity tables.Tokens
	// own are the tokens of this instance's calls in flight, others those of the rest of the
	// fleet.
	own, others tables.Tokens
}

// usableMemory is the part of an engine's memory that the fleet fills. The rest is for calls that
// others send before the sums tell of them.
const usableMemory = 0.85

// SetMemory sets the tokens that the upstream can hold, zero if that is not known, and those of
// the calls in flight of the rest of the fleet.
func (u *Upstream) SetMemory(capacity, others tables.Tokens) {
	u.memory.capacity = tables.Tokens(usableMemory * float64(capacity))
	u.memory.others = others
}

// AddTokens adds the tokens of a call in flight from this instance, fewer if negative.
func (u *Upstream) AddTokens(tokens tables.Tokens) {
	u.memory.own = max(0, u.memory.own+tokens)
}

// OwnTokens returns the tokens of the calls in flight from this instance.
func (u *Upstream) OwnTokens() tables.Tokens {
	return u.memory.own
}

// holds reports whether the upstream can hold a call with so many tokens beside the others.
func (u *Upstream) holds(tokens tables.Tokens) bool {
	m := &u.memory
	return m.capacity <= 0 || m.own+m.others+tokens <= m.capacity
}
