package membership

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

func drawMember(t *rapid.T) Member {
	id := rapid.IntRange(0, 40).Draw(t, "id")
	return Member{
		ID:          tables.InstanceID(fmt.Sprintf("node-%d", id)),
		Epoch:       rapid.Int64Range(1, 3).Draw(t, "epoch"),
		Incarnation: rapid.Uint32Range(0, 3).Draw(t, "beat"),
		State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		Address:     fmt.Sprintf("127.0.0.%d:1", id),
		DataCenter:  tables.DataCenterID(fmt.Sprintf("dc-%d", id%5)),
	}
}

// Views that got the same records in another order, or repeatedly, must be
// equal. Otherwise instances keep different views of the fleet.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawMember), 1, 60).Draw(t, "records")
		order := rapid.Permutation(records).Draw(t, "order")
		a, b := NewView(Member{ID: "a", Epoch: 1}), NewView(Member{ID: "a", Epoch: 1})
		for _, m := range records {
			a.Merge(m)
		}
		for _, m := range append(order, order...) {
			b.Merge(m)
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("views differ after merging the same records in another order")
		}
	})
}

// A parent with a hash at or above its child's could form a cycle, in which
// sums never reach the root. The tree must have one root and bounded fanout.
func TestTreeHasNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawMember), 1, 60).Draw(t, "records")
		view := NewView(Member{ID: "self", Epoch: 1, DataCenter: "dc-1"})
		for _, m := range records {
			view.Merge(m)
		}
		roots := 0
		children := map[tables.InstanceID]int{}
		for _, m := range view.Live() {
			parent, ok := view.ParentOf(m.ID)
			if !ok {
				roots++
				continue
			}
			children[parent.ID]++
			if xxhash.Sum64String(string(parent.ID)) >= xxhash.Sum64String(string(m.ID)) {
				t.Fatalf("hash of parent %s is not smaller than that of %s", parent.ID, m.ID)
			}
		}
		if roots != 1 {
			t.Fatalf("tree has %d roots, want 1", roots)
		}
		for id, count := range children {
			if count > 2*Fanout {
				t.Fatalf("%s has %d children, want at most 2*Fanout", id, count)
			}
		}
	})
}

// A false report that a live instance is down must not stay in any view: the
// instance refutes it with a higher incarnation number.
func TestFalseDownReportIsRefuted(t *testing.T) {
	is := is.New(t)
	self := Member{ID: "self", Epoch: 5}
	view := NewView(self)
	self.State = Down
	is.True(view.Merge(self))
	is.Equal(view.Self().State, Up)
	is.Equal(view.Self().Incarnation, uint32(1))
	other := NewView(Member{ID: "other", Epoch: 1})
	other.Merge(self)
	other.Merge(view.Self())
	is.Equal(len(other.Live()), 2)
}

// Copies in the owner's data centre would be lost with it, so a holder there is
// used only while no other data centre has a member that is up.
func TestHolderPrefersAnotherDataCenter(t *testing.T) {
	is := is.New(t)
	view := NewView(Member{ID: "self", Epoch: 1, DataCenter: "here"})
	_, ok := view.BackupHolder("self@1")
	is.True(!ok)
	view.Merge(Member{ID: "near", Epoch: 1, DataCenter: "here"})
	holder, ok := view.BackupHolder("self@1")
	is.True(ok)
	is.Equal(holder.ID, tables.InstanceID("near"))
	view.Merge(Member{ID: "far", Epoch: 1, DataCenter: "there"})
	holder, _ = view.BackupHolder("self@1")
	is.Equal(holder.ID, tables.InstanceID("far"))
	view.MarkDown("far")
	holder, _ = view.BackupHolder("self@1")
	is.Equal(holder.ID, tables.InstanceID("near"))
}
