// Package sums adds up values over the fleet along a tree of instances. Each
// instance sends the sum of its subtree to its parent and gets the total of
// the fleet back, so the cost for an instance does not grow with the fleet.
package sums

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Board is the state of one instance in the tree. The zero value works.
// It is not safe for concurrent use.
type Board struct {
	local    Values
	children map[string]child
	// total is the last total that the parent told, nil for the root.
	total           Values
	totalReceivedAt time.Time
	// reported is the subtree sum that total contains.
	reportedSubtree Values
}

// A Key names a value. It is the hash of its parts.
type Key uint64

// Values holds one number for each key. A missing key counts as zero.
type Values map[Key]float64

type change struct {
	key   Key
	value float64
	// weight is the size of the change against the total.
	relativeSize float64
}

type child struct {
	values     Values
	receivedAt time.Time
}

// Expiry is how long a child's values count without being heard again, and
// how long a parent's total is used.
const ValueTTL = 3 * time.Second

// relativeChange is the least change of a value that is worth a message.
const minRelativeChange = 0.02

// exactBit marks keys whose every change is sent.
const exactBit = 1

// ExactKeyOf returns the key for the parts of a name whose every change is
// told. Use it for counters that are compared with each other.
func ExactKeyOf(parts ...string) Key {
	return hashParts(parts) | exactBit
}

// KeyOf returns the key for the parts of a name whose small changes may be
// told late or not at all.
func KeyOf(parts ...string) Key {
	return hashParts(parts) &^ exactBit
}

// Delta returns the values of now that differ from before by enough to send:
// all changes of exact keys, and up to limit of the other changes, those that
// are largest against the totals first. Keys gone from now are sent as zero.
func Delta(current, previous, totals Values, limit int) Values {
	delta := Values{}
	var changes []change
	addChange := func(key Key, value, old float64) {
		switch {
		case value == old:
		case key.isExact():
			delta[key] = value
		case differsSignificantly(value, old):
			relativeSize := math.Abs(value-old) / max(math.Abs(totals[key]), math.Abs(value))
			changes = append(changes, change{key, value, relativeSize})
		}
	}
	for key, value := range current {
		addChange(key, value, previous[key])
	}
	for key, old := range previous {
		if _, ok := current[key]; !ok {
			addChange(key, 0, old)
		}
	}
	if len(changes) > limit {
		slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(b.relativeSize, a.relativeSize) })
		changes = changes[:limit]
	}
	for _, c := range changes {
		delta[c.key] = c.value
	}
	return delta
}

// Forget drops a child at once.
func (b *Board) Forget(id string) {
	delete(b.children, id)
}

// HearChild takes changed values of a child's subtree. Full values replace
// all that the child said before.
func (b *Board) HearChild(now time.Time, id string, values Values, full bool) {
	if b.children == nil {
		b.children = map[string]child{}
	}
	state := b.children[id]
	if full || state.values == nil {
		state.values = Values{}
	}
	state.values.apply(values)
	state.receivedAt = now
	b.children[id] = state
}

// HearParent takes the fleet's total from the parent. The subtree is the sum
// that this instance had sent before the total was told.
func (b *Board) HearParent(now time.Time, values Values, full bool, subtree Values) {
	if full || b.total == nil {
		b.total = Values{}
	}
	b.total.apply(values)
	b.totalReceivedAt = now
	b.reportedSubtree = subtree
}

// LoseParent forgets the parent's total.
func (b *Board) LoseParent() {
	b.total, b.reportedSubtree = nil, nil
}

// Own returns this instance's own values. The caller does not change them.
func (b *Board) Own() Values {
	return b.local
}

// SetOwn replaces this instance's own values.
func (b *Board) SetOwn(values Values) {
	b.local = values
}

// Subtree returns the sum of this instance and its live children.
func (b *Board) Subtree(now time.Time) Values {
	sum := make(Values, len(b.local))
	sum.add(b.local, 1)
	for id, state := range b.children {
		if now.Sub(state.receivedAt) > ValueTTL {
			delete(b.children, id)
			continue
		}
		sum.add(state.values, 1)
	}
	return sum
}

// Total returns the best known sum over the fleet: the parent's total, put
// right by what the own subtree has changed since it was told.
func (b *Board) Total(now time.Time) Values {
	subtree := b.Subtree(now)
	if b.total == nil || now.Sub(b.totalReceivedAt) > ValueTTL {
		return subtree
	}
	sum := make(Values, len(b.total))
	sum.add(b.total, 1)
	sum.add(b.reportedSubtree, -1)
	sum.add(subtree, 1)
	for key, value := range sum {
		sum[key] = max(value, subtree[key])
	}
	return sum
}

// Clone returns a copy.
func (v Values) Clone() Values {
	sum := make(Values, len(v))
	sum.add(v, 1)
	return sum
}

// Sum returns the sum of all values.
func Sum(all []Values) Values {
	sum := Values{}
	for _, values := range all {
		sum.add(values, 1)
	}
	return sum
}

// Keys returns the keys in order.
func (v Values) Keys() []Key {
	keys := make([]Key, 0, len(v))
	for key := range v {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (v Values) add(other Values, sign float64) {
	for key, value := range other {
		v[key] += sign * value
	}
}

func (v Values) apply(delta Values) {
	for key, value := range delta {
		if value == 0 {
			delete(v, key)
			continue
		}
		v[key] = value
	}
}

func (k Key) isExact() bool {
	return k&exactBit != 0
}

func hashParts(parts []string) Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

func differsSignificantly(a, b float64) bool {
	return math.Abs(a-b) > minRelativeChange*max(math.Abs(a), math.Abs(b))
}
