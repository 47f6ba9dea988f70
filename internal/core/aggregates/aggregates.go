// Package aggregates sums values over the fleet along a tree of instances. Each
// instance sends the sum of its subtree to its parent and receives the fleet's
// total, so the cost per instance does not grow with the fleet.
package aggregates

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A TreeNode is one instance's node in the aggregation tree. The zero value is
// ready to use. It is not safe for concurrent use.
type TreeNode struct {
	// local holds this instance's own values.
	local Values
	// children holds the children by instance ID.
	children map[string]child
	// total is the fleet's total received from the parent, nil for the root.
	total           Values
	totalReceivedAt time.Time
	// reportedSubtree is the sum of this subtree that total contains.
	reportedSubtree Values
}

// A Key identifies a value. It is the hash of the parts of the value's name.
type Key uint64

// Values holds one number for each key. A missing key counts as zero.
type Values map[Key]float64

// change is a changed value that may be left out of a message.
type change struct {
	key   Key
	value float64
	// relativeSize is the size of the change relative to the total.
	relativeSize float64
}

// child is the last known sum of a child's subtree.
type child struct {
	values     Values
	receivedAt time.Time
}

// ValueTTL is how long a child's values and the parent's total are used after
// the last message from it.
const ValueTTL = 3 * time.Second

// minRelativeChange is the change of a value, relative to the larger of the old
// and the new one, above which it is sent.
const minRelativeChange = 0.02

// exactBit marks keys of which every change is sent.
const exactBit = 1

// NewExactKey returns the key for the parts of a name, of which every change is
// sent. Use it for counters that are compared with each other.
func NewExactKey(parts ...string) Key {
	return hashParts(parts) | exactBit
}

// NewKey returns the key for the parts of a name, of which small changes may be
// sent late or not at all.
func NewKey(parts ...string) Key {
	return hashParts(parts) &^ exactBit
}

// Offset returns the key of the element with an index of a list of values, whose first one
// has this key.
func (k Key) Offset(index int) Key {
	return k + Key(index)<<1
}

// Delta returns the values of current to send to a receiver that has previous:
// all changes of exact keys, and of the other changes above minRelativeChange
// up to limit, those largest relative to the totals first. Keys that are not in
// current any more are sent as zero.
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

// RemoveChild removes a child and its values.
func (n *TreeNode) RemoveChild(id string) {
	delete(n.children, id)
}

// UpdateChild applies changed values of a child's subtree. With full set, they
// replace all earlier values of the child.
func (n *TreeNode) UpdateChild(now time.Time, id string, values Values, full bool) {
	if n.children == nil {
		n.children = map[string]child{}
	}
	entry := n.children[id]
	if full || entry.values == nil {
		entry.values = Values{}
	}
	entry.values.apply(values)
	entry.receivedAt = now
	n.children[id] = entry
}

// UpdateTotal applies changed values of the fleet's total from the parent. With
// full set, they replace the earlier total. The subtree is the sum of this
// subtree that the parent's total contains.
func (n *TreeNode) UpdateTotal(now time.Time, values Values, full bool, subtree Values) {
	if full || n.total == nil {
		n.total = Values{}
	}
	n.total.apply(values)
	n.totalReceivedAt = now
	n.reportedSubtree = subtree
}

// ClearTotal discards the parent's total.
func (n *TreeNode) ClearTotal() {
	n.total, n.reportedSubtree = nil, nil
}

// LocalValues returns this instance's own values. The caller must not change
// them.
func (n *TreeNode) LocalValues() Values {
	return n.local
}

// SetLocalValues replaces this instance's own values. The caller must not
// change them afterwards.
func (n *TreeNode) SetLocalValues(values Values) {
	n.local = values
}

// SubtreeSum returns the sum of this instance's values and its children's, and
// removes children whose values have expired.
func (n *TreeNode) SubtreeSum(now time.Time) Values {
	sum := make(Values, len(n.local))
	sum.add(n.local, 1)
	for id, entry := range n.children {
		if now.Sub(entry.receivedAt) > ValueTTL {
			delete(n.children, id)
			continue
		}
		sum.add(entry.values, 1)
	}
	return sum
}

// Total returns the best known sum over the fleet: the parent's total,
// corrected by the changes of this subtree since, or the sum of this subtree if
// there is no parent's total or it has expired. No value is lower than in the
// sum of this subtree.
func (n *TreeNode) Total(now time.Time) Values {
	subtree := n.SubtreeSum(now)
	if n.total == nil || now.Sub(n.totalReceivedAt) > ValueTTL {
		return subtree
	}
	sum := make(Values, len(n.total))
	sum.add(n.total, 1)
	sum.add(n.reportedSubtree, -1)
	sum.add(subtree, 1)
	for key, value := range sum {
		sum[key] = max(value, subtree[key])
	}
	return sum
}

// Others returns a value of the fleet's total without the part of it that one instance
// has reported. It is not negative, since a total and a report may be of different
// times.
func (v Values) Others(reported Values, key Key) float64 {
	return max(0, v[key]-reported[key])
}

// Clone returns a copy of the values.
func (v Values) Clone() Values {
	sum := make(Values, len(v))
	sum.add(v, 1)
	return sum
}

// Sum returns the sum of all the values for each key.
func Sum(all []Values) Values {
	sum := Values{}
	for _, values := range all {
		sum.add(values, 1)
	}
	return sum
}

// Keys returns the keys in ascending order.
func (v Values) Keys() []Key {
	keys := make([]Key, 0, len(v))
	for key := range v {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// add adds sign times the other values.
func (v Values) add(other Values, sign float64) {
	for key, value := range other {
		v[key] += sign * value
	}
}

// apply sets the changed values. A zero removes its key.
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

// hashParts hashes the parts, each followed by a zero byte, so that the same
// characters split differently give another key.
func hashParts(parts []string) Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

// differsSignificantly reports whether two values differ by more than
// minRelativeChange of the larger one.
func differsSignificantly(a, b float64) bool {
	return math.Abs(a-b) > minRelativeChange*max(math.Abs(a), math.Abs(b))
}
