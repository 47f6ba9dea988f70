package links

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

// newTable returns a table with working links to the addresses.
func newTable(addresses ...Address) *Table {
	t := &Table{}
	for _, a := range addresses {
		t.RecordSuccess(start, a)
	}
	return t
}

func assertPath(t *testing.T, table *Table, at time.Duration, address Address, want Path) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(table.Path(after(at), address), want)
}

// TestLostLinksAreNotTakenForFailedUpstreams guards against both mistakes: lost links
// that count as failed upstreams, and failed upstreams that count as lost links.
func TestLostLinksAreNotTakenForFailedUpstreams(t *testing.T) {
	t.Run("one upstream that fails is not a lost link", func(t *testing.T) {
		table := newTable("a", "b", "c", "d")
		for i := range 20 {
			table.RecordFailure(after(time.Duration(i)*100*time.Millisecond), "a")
		}
		is.New(t).True(!table.AllLost())
		assertPath(t, table, 3*time.Second, "a", Direct)
		assertPath(t, table, 3*time.Second, "b", Direct)
	})
	t.Run("several that fail while others work are not lost links", func(t *testing.T) {
		table := newTable("a", "b", "c", "d")
		for i := range 20 {
			at := after(time.Duration(i) * 100 * time.Millisecond)
			table.RecordFailure(at, "a")
			table.RecordFailure(at, "b")
			table.RecordSuccess(at, "c")
		}
		is.New(t).True(!table.AllLost())
		assertPath(t, table, 3*time.Second, "a", Direct)
	})
	t.Run("several that fail with none that works are lost links", func(t *testing.T) {
		table := newTable("a", "b", "c", "d", "e")
		for _, a := range []Address{"a", "b", "c"} {
			is.New(t).True(!table.AllLost())
			table.RecordFailure(after(time.Second), a)
		}
		is.New(t).True(table.AllLost())
		assertPath(t, table, time.Second, "a", Relayed)
		assertPath(t, table, time.Second, "d", Relayed)
		assertPath(t, table, time.Second, "unknown", Relayed)
	})
	t.Run("all of a few that fail are lost links", func(t *testing.T) {
		table := newTable("a", "b")
		table.RecordFailure(after(time.Second), "a")
		is.New(t).True(!table.AllLost())
		table.RecordFailure(after(time.Second), "b")
		is.New(t).True(table.AllLost())
	})
	t.Run("an upstream that a peer reaches is behind a lost link", func(t *testing.T) {
		table := newTable("a", "b", "c", "d")
		table.RecordFailure(after(time.Second), "a")
		is.New(t).True(!table.ShouldAskPeer(after(time.Second), "a"))
		table.RecordFailure(after(time.Second), "a")
		is.New(t).True(table.ShouldAskPeer(after(time.Second), "a"))
		table.RecordRelayed(after(time.Second), "a", true)
		is.New(t).True(table.Lost(after(2*time.Second), "a"))
		is.New(t).True(!table.Lost(after(2*time.Second), "b"))
		is.New(t).True(!table.Lost(after(9*time.Second), "a"))
		table.RecordSuccess(after(2*time.Second), "a")
		is.New(t).True(!table.Lost(after(2*time.Second), "a"))
	})
	t.Run("an upstream that no peer reaches has failed", func(t *testing.T) {
		table := newTable("a", "b", "c", "d")
		table.RecordFailure(after(time.Second), "a")
		table.RecordRelayed(after(time.Second), "a", true)
		table.RecordRelayed(after(time.Second), "a", false)
		is.New(t).True(!table.Lost(after(time.Second), "a"))
	})
	t.Run("peers are asked about a failed upstream now and then", func(t *testing.T) {
		table := newTable("a", "b", "c", "d")
		asked := 0
		for i := range 100 {
			at := after(time.Duration(i) * 100 * time.Millisecond)
			table.RecordFailure(at, "a")
			if table.ShouldAskPeer(at, "a") {
				asked++
			}
		}
		is.New(t).Equal(asked, 10)
	})
}

// TestLinksComeBackByFewProbes guards against instances that all return to their links
// at once, and against links that stay unused once they work.
func TestLinksComeBackByFewProbes(t *testing.T) {
	lostTable := func() *Table {
		table := newTable("a", "b", "c", "d", "e")
		for _, a := range []Address{"a", "b", "c"} {
			table.RecordFailure(after(time.Second), a)
		}
		return table
	}
	t.Run("few probes while the links are lost", func(t *testing.T) {
		table := lostTable()
		probes := 0
		for i := range 1000 {
			at := after(time.Second + time.Duration(i)*10*time.Millisecond)
			address := []Address{"a", "b", "c", "d", "e"}[i%5]
			if table.Path(at, address) == Probe {
				probes++
				table.RecordFailure(at, address)
			}
		}
		is.New(t).True(probes > 10 && probes <= 41)
	})
	t.Run("back after a few links work", func(t *testing.T) {
		var changes []bool
		table := lostTable()
		table.OnChange = func(lost bool, _ int) { changes = append(changes, lost) }
		at := 2 * time.Second
		for _, a := range []Address{"a", "b"} {
			table.RecordSuccess(after(at), a)
			is.New(t).True(table.AllLost())
			assertPath(t, table, at, a, Direct)
		}
		table.RecordSuccess(after(at), "c")
		is.New(t).True(!table.AllLost())
		assertPath(t, table, at, "e", Direct)
		is.New(t).Equal(changes, []bool{false})
	})
	t.Run("a flapping link does not bring the others back", func(t *testing.T) {
		table := lostTable()
		for i := range 10 {
			at := after(2*time.Second + time.Duration(i)*time.Second)
			table.RecordSuccess(at, "a")
			table.RecordFailure(at, "b")
		}
		is.New(t).True(table.AllLost())
	})
}

// TestUnusedLinksAreForgotten guards against state that grows with all upstreams that
// ever were.
func TestUnusedLinksAreForgotten(t *testing.T) {
	table := &Table{}
	for i := range 1000 {
		table.RecordFailure(after(time.Duration(i)*time.Second), Address(strconv.Itoa(i)))
	}
	is.New(t).True(len(table.links) < 200)
}

// TestPeersShareTheConnections guards against one peer that carries most connections,
// and against peers that are asked again at once after they took none.
func TestPeersShareTheConnections(t *testing.T) {
	home := []Peer{{"p1", "here"}, {"p2", "here"}, {"p3", "here"}}
	away := []Peer{{"q1", "there"}, {"q2", "there"}}
	all := append(append([]Peer(nil), away...), home...)
	t.Run("peers of the home data centre share them", func(t *testing.T) {
		p := &Peers{Home: "here"}
		for range 300 {
			i, ok := p.Choose(start, all)
			is.New(t).True(ok)
			p.Opened(all[i].ID)
		}
		for _, peer := range home {
			open := p.openConnections(peer.ID)
			is.New(t).True(open > 80 && open < 120)
		}
	})
	t.Run("a peer that took none is avoided for a while", func(t *testing.T) {
		p := &Peers{Home: "here"}
		for _, peer := range home {
			p.Refused(start, peer.ID)
		}
		i, ok := p.Choose(after(avoidTime/2), all)
		is.New(t).True(ok)
		is.New(t).Equal(all[i].DataCenter, tables.DataCenterID("there"))
		i, _ = p.Choose(after(2*avoidTime), all)
		is.New(t).Equal(all[i].DataCenter, tables.DataCenterID("here"))
	})
	t.Run("avoided peers are better than none", func(t *testing.T) {
		p := &Peers{Home: "here"}
		p.Refused(start, "p1")
		_, ok := p.Choose(start, home[:1])
		is.New(t).True(ok)
		_, ok = p.Choose(start, nil)
		is.New(t).True(!ok)
	})
	t.Run("peers without connections are forgotten", func(t *testing.T) {
		p := &Peers{Home: "here"}
		p.Opened("p1")
		p.Closed("p1")
		is.New(t).Equal(len(p.known), 0)
	})
}

// TestWorkingLinksCostNoMemory guards against garbage for each connection while all links
// work.
func TestWorkingLinksCostNoMemory(t *testing.T) {
	table := newTable("a", "b")
	allocations := testing.AllocsPerRun(100, func() { table.RecordSuccess(after(time.Second), "a") })
	is.New(t).Equal(allocations, 0.0)
}
