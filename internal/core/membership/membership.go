// Package membership holds one instance's view of the fleet's membership and the
// aggregation tree derived from it.
//
// A view is a join of member records, so records may arrive late, repeatedly
// and in any order. The tree depends on the view alone: in every view, a
// parent's hash is smaller than its child's, so no cycle can form while views
// differ.
package membership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// A Member is a record about one instance.
type Member struct {
	ID tables.InstanceID `cbor:"1,keyasint"`
	// Epoch is the start of the process in Unix milliseconds. A record with a
	// later epoch replaces any with an earlier one.
	Epoch int64 `cbor:"2,keyasint"`
	// Incarnation is the instance's incarnation number within the epoch. The
	// instance increments it when it refutes a false report of its state and
	// when it changes its own state.
	Incarnation uint32 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint,omitempty"`
	// Address is where the instance serves its peers.
	Address    string              `cbor:"5,keyasint,omitempty"`
	DataCenter tables.DataCenterID `cbor:"6,keyasint,omitempty"`
}

// A State is the state of a member. Of two records with the same epoch and
// incarnation, the one with the higher state supersedes the other.
type State uint8

// A View holds the latest record of each member that one instance has received.
// It is not safe for concurrent use.
type View struct {
	self    tables.InstanceID
	records map[tables.InstanceID]record
	// version counts the changes to the view.
	version uint64
	// live caches the live members in tree order; nil means stale.
	live []Member
}

// record is a member's record with the view's bookkeeping.
type record struct {
	Member
	// hash is the hash of the ID, which orders the tree.
	hash uint64
	// version is the view's version when the record last changed.
	version uint64
}

// The states of a member.
const (
	// Up members own subjects and hold copies.
	Up State = iota
	// Leaving members remain in the tree, but own no subjects and hold no
	// copies.
	Leaving
	// Down members are not in the tree.
	Down
)

// Fanout is the maximum number of children of an instance within its data
// centre. The local roots of the data centres form a tree with the same fanout,
// so a local root has at most twice as many children.
const Fanout = 2

// NewView returns a view that holds only the instance's own record.
func NewView(self Member) *View {
	v := &View{self: self.ID, records: map[tables.InstanceID]record{}}
	v.Merge(self)
	return v
}

// ChangesSince returns the records that changed after a version of the view, in
// no order, and the current version.
func (v *View) ChangesSince(since uint64) ([]Member, uint64) {
	var changed []Member
	for _, r := range v.records {
		if r.version > since {
			changed = append(changed, r.Member)
		}
	}
	return changed, v.version
}

// Digest returns a hash of all records that does not depend on their order.
// Views with the same digest are taken to hold the same records.
func (v *View) Digest() uint64 {
	var digest uint64
	for _, r := range v.records {
		var hash xxhash.Digest
		hash.Reset()
		_, _ = fmt.Fprintf(&hash, "%s %d %d %d %s", r.ID, r.Epoch, r.Incarnation, r.State, r.Address)
		digest ^= hash.Sum64()
	}
	return digest
}

// Get returns the record of a member and whether the view has one.
func (v *View) Get(id tables.InstanceID) (Member, bool) {
	r, ok := v.records[id]
	return r.Member, ok
}

// BackupHolder returns the member that keeps copies for an owner, chosen by
// rendezvous hashing among the members that are up: those of other data
// centres, or of this one if there are none. It returns false if no other
// member is up.
func (v *View) BackupHolder(owner string) (Member, bool) {
	self := v.records[v.self]
	var best Member
	var bestHash uint64
	bestIsRemote := false
	found := false
	for _, m := range v.Live() {
		if m.ID == v.self || m.State != Up {
			continue
		}
		remote := m.DataCenter != self.DataCenter
		hash := xxhash.Sum64String(owner + "\x00" + string(m.ID))
		if !found || (remote && !bestIsRemote) || (remote == bestIsRemote && hash > bestHash) {
			best, bestHash, bestIsRemote, found = m, hash, remote, true
		}
	}
	return best, found
}

// Live returns the members that are not down, in tree order, which is by hash
// of the ID. The caller must not change the slice.
func (v *View) Live() []Member {
	if v.live != nil {
		return v.live
	}
	for _, r := range v.records {
		if r.State != Down {
			v.live = append(v.live, r.Member)
		}
	}
	slices.SortFunc(v.live, func(a, b Member) int {
		return compareByHash(v.records[a.ID], v.records[b.ID])
	})
	return v.live
}

// MarkDown marks another member as down and reports whether the view changed.
func (v *View) MarkDown(id tables.InstanceID) bool {
	r, ok := v.records[id]
	if !ok || r.State == Down || id == v.self {
		return false
	}
	member := r.Member
	member.State = Down
	return v.Merge(member)
}

// Merge adds a record unless the view has the same or a superseding one, and
// reports whether the view changed. A record that gives this instance a higher
// state than its own is refuted: the view keeps the instance's own record, with
// a higher incarnation number.
func (v *View) Merge(member Member) bool {
	current, ok := v.records[member.ID]
	if ok && !supersedes(member, current.Member) {
		return false
	}
	if ok && member.ID == v.self && member.State > current.State {
		refuted := current.Member
		refuted.Epoch = max(refuted.Epoch, member.Epoch)
		refuted.Incarnation = member.Incarnation + 1
		member = refuted
	}
	v.version++
	v.records[member.ID] = record{member, xxhash.Sum64String(string(member.ID)), v.version}
	v.live = nil
	return true
}

// Others returns all other members, live or down, sorted by ID.
func (v *View) Others() []Member {
	others := make([]Member, 0, len(v.records))
	for id, r := range v.records {
		if id != v.self {
			others = append(others, r.Member)
		}
	}
	slices.SortFunc(others, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return others
}

// IsOwner reports whether this instance is responsible for a subject, by
// rendezvous hashing among the members that are up.
func (v *View) IsOwner(subject string) bool {
	var owner tables.InstanceID
	var ownerHash uint64
	for _, m := range v.Live() {
		if m.State != Up {
			continue
		}
		hash := xxhash.Sum64String(subject + "\x00" + string(m.ID))
		if owner == "" || hash > ownerHash {
			owner, ownerHash = m.ID, hash
		}
	}
	return owner == v.self
}

// ParentOf returns a live member's parent in the tree, or false for the root.
// Each data centre has a tree of its members; the first member of each data
// centre is its local root, and the local roots form a tree too.
func (v *View) ParentOf(id tables.InstanceID) (Member, bool) {
	live := v.Live()
	child := v.records[id]
	var local, localRoots []Member
	for _, m := range live {
		if m.DataCenter == child.DataCenter {
			local = append(local, m)
		}
		if !slices.ContainsFunc(localRoots, func(root Member) bool { return root.DataCenter == m.DataCenter }) {
			localRoots = append(localRoots, m)
		}
	}
	if index := indexOf(local, id); index > 0 {
		return local[(index-1)/Fanout], true
	}
	if index := indexOf(localRoots, id); index > 0 {
		return localRoots[(index-1)/Fanout], true
	}
	return Member{}, false
}

// DataCenterPosition returns the instance's position among the live members of
// its data centre in tree order, from 0.
func (v *View) DataCenterPosition() int {
	self := v.records[v.self]
	position := 0
	for _, m := range v.Live() {
		if m.ID == v.self {
			break
		}
		if m.DataCenter == self.DataCenter {
			position++
		}
	}
	return position
}

// Self returns the instance's own record.
func (v *View) Self() Member {
	return v.records[v.self].Member
}

// SetState changes the instance's own state and increments its incarnation
// number.
func (v *View) SetState(state State) {
	self := v.records[v.self].Member
	self.State = state
	self.Incarnation++
	v.version++
	v.records[v.self] = record{self, v.records[v.self].hash, v.version}
	v.live = nil
}

// compareByHash orders records by hash, then by ID.
func compareByHash(a, b record) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

func indexOf(list []Member, id tables.InstanceID) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// supersedes reports whether record a replaces record b of the same member.
func supersedes(a, b Member) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}
