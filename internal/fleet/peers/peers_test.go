package peers

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
)

// testPeer is a node with the minimal state that its functions need.
type testPeer struct {
	node       *Node
	generation atomic.Uint64
	// total is the fleet-wide demand that the node reported last.
	total atomic.Int64
	// partitioned puts the node on the other side of a network partition: it
	// uses another key, so that messages between the sides fail authentication.
	partitioned atomic.Bool
	cancel      context.CancelFunc
	group       *errgroup.Group
}

const (
	awaitTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var (
	demandKey  = aggregates.NewKey("demand")
	nextSubnet atomic.Int64
)

// newPeers starts nodes in three data centres. Node n contributes the demand
// n+1.
func newPeers(t testing.TB, count int) []*testPeer {
	t.Helper()
	subnet := fmt.Sprintf("127.%d.%d", 192+os.Getpid()%60, nextSubnet.Add(1))
	peers := make([]*testPeer, count)
	for n := range peers {
		peers[n] = newPeer(n, subnet)
		peers[n].start(t)
	}
	return peers
}

func newPeer(n int, subnet string) *testPeer {
	p := &testPeer{}
	p.generation.Store(1)
	p.node = &Node{
		Self: membership.Member{
			ID:         tables.InstanceID(fmt.Sprintf("node-%d", n)),
			Epoch:      1,
			Address:    fmt.Sprintf("%s.%d:9100", subnet, n+1),
			DataCenter: tables.DataCenterID(fmt.Sprintf("dc-%d", n%3)),
		},
		Key: func() []byte {
			if p.partitioned.Load() {
				return []byte("the other side of the cut")
			}
			return []byte("the key of the fleet")
		},
		Seeds:       func() []string { return []string{subnet + ".1:9100", subnet + ".2:9100"} },
		LocalValues: func(time.Time) aggregates.Values { return aggregates.Values{demandKey: float64(n + 1)} },
		OnTotals: func(_ time.Time, totals, _ aggregates.Values) {
			p.total.Store(int64(totals[demandKey]))
		},
		Generation:    p.generation.Load,
		EncodedConfig: func() []byte { return fmt.Appendf(nil, "%d", p.generation.Load()) },
		ApplyConfig: func(config []byte) {
			var generation uint64
			if _, err := fmt.Sscan(string(config), &generation); err == nil && generation > p.generation.Load() {
				p.generation.Store(generation)
			}
		},
		Progress:        func() []rollouts.Progress { return nil },
		MergeProgress:   func([]rollouts.Progress) {},
		StoreBillCopies: func(billing.Epoch, []billing.Bill, billing.Account) {},
		OnMemberDown:    func(membership.Member) {},
	}
	return p
}

func (p *testPeer) start(t testing.TB) {
	t.Helper()
	listener, err := net.Listen("tcp", p.node.Self.Address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group = &errgroup.Group{}
	p.group.Go(func() error { return p.node.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = p.group.Wait()
	})
}

// await polls a condition until it is true, and fails the test after
// awaitTimeout.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(awaitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("timed out after %s waiting for %s", awaitTimeout, what)
		case <-ticker.C:
		}
	}
}

// awaitView waits until each of the peers knows count members and has the total
// demand.
func awaitView(t testing.TB, peers []*testPeer, count int, total int64) {
	t.Helper()
	await(t, fmt.Sprintf("%d members with the total %d at every peer", count, total), func() bool {
		for _, p := range peers {
			if len(p.node.Members()) != count || p.total.Load() != total {
				return false
			}
		}
		return true
	})
}

// awaitGeneration waits until each of the peers has the generation of the
// configuration.
func awaitGeneration(t *testing.T, peers []*testPeer, generation uint64) {
	t.Helper()
	await(t, fmt.Sprintf("generation %d at every peer", generation), func() bool {
		for _, p := range peers {
			if p.generation.Load() != generation {
				return false
			}
		}
		return true
	})
}

// TestFleetConverges checks that members, sums and a configuration reach every
// peer. It guards against a stopped instance that stays a member or in the
// sums.
func TestFleetConverges(t *testing.T) {
	t.Parallel()
	peers := newPeers(t, 9)
	awaitView(t, peers, 9, 45)
	t.Run("configuration reaches every peer", func(t *testing.T) {
		peers[7].generation.Store(2)
		awaitGeneration(t, peers, 2)
	})
	t.Run("stopped peer is marked as down and its values expire", func(t *testing.T) {
		peers[8].cancel()
		_ = peers[8].group.Wait()
		awaitView(t, peers[:8], 8, 36)
	})
}

// TestNetworkPartitionHeals guards against a fleet that stays divided after a
// network partition. Each side must mark the other as down, and a configuration
// changed on one side must reach all members once the partition is healed.
func TestNetworkPartitionHeals(t *testing.T) {
	t.Parallel()
	peers := newPeers(t, 8)
	awaitView(t, peers, 8, 36)
	sideA, sideB := peers[:4], peers[4:]
	for _, p := range sideB {
		p.partitioned.Store(true)
	}
	awaitView(t, sideA, 4, 10)
	awaitView(t, sideB, 4, 26)
	sideA[3].generation.Store(2)
	awaitGeneration(t, sideA, 2)
	awaitGeneration(t, sideB, 1)
	for _, p := range sideB {
		p.partitioned.Store(false)
	}
	awaitView(t, peers, 8, 36)
	awaitGeneration(t, peers, 2)
}

// TestMessagesAreAuthenticated guards against messages that are accepted
// although they were made with another key, altered, or empty.
func TestMessagesAreAuthenticated(t *testing.T) {
	is := is.New(t)
	encoding := macEncoding{key: func() []byte { return []byte("ours") }}
	otherEncoding := macEncoding{key: func() []byte { return []byte("theirs") }}
	encoded, err := encoding.Marshal(&exchange{Protocol: 1, Generation: 7})
	is.NoErr(err)
	var decoded exchange
	is.NoErr(encoding.Unmarshal(encoded, &decoded))
	is.Equal(decoded.Generation, uint64(7))
	is.True(otherEncoding.Unmarshal(encoded, &decoded) != nil)
	encoded[len(encoded)-1] ^= 1
	is.True(encoding.Unmarshal(encoded, &decoded) != nil)
	is.True(encoding.Unmarshal(nil, &decoded) != nil)
}

// TestReplayedMessagesAreRejected guards against replayed messages: one with a
// sequence number that was received before, and one of an earlier epoch of the
// process.
func TestReplayedMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	p := newPeer(0, "127.0.0")
	p.node.init()
	message := &exchange{Protocol: 1, From: membership.Member{ID: "x", Epoch: 5}, FromChild: true, Full: true, Sequence: 3}
	_, err := p.node.serveExchange(t.Context(), message)
	is.NoErr(err)
	_, err = p.node.serveExchange(t.Context(), message)
	is.True(err != nil)
	message.From.Epoch, message.Sequence = 4, 9
	_, err = p.node.serveExchange(t.Context(), message)
	is.True(err != nil)
}

// TestRemovedChildMustSendAllValues guards against sums that lack a child's
// values after it was removed by the failure timeout. A child that then sends
// only changes over its old connection must get an error, so that it opens a
// new one and sends all values.
func TestRemovedChildMustSendAllValues(t *testing.T) {
	is := is.New(t)
	p := newPeer(0, "127.0.0")
	p.node.init()
	message := exchange{Protocol: 1, From: membership.Member{ID: "x", Epoch: 5, Address: "127.0.0.1:1"}, FromChild: true, Full: true, Sequence: 1}
	message.Keys, message.Values = packValues(aggregates.Values{demandKey: 7})
	_, err := p.node.serveExchange(t.Context(), &message)
	is.NoErr(err)
	p.node.expireChildren(time.Now())
	p.node.children["x"].lastHeard = time.Now().Add(-2 * failureTimeout)
	p.node.expireChildren(time.Now())
	message.Full, message.Keys, message.Values, message.Sequence = false, nil, nil, 2
	_, err = p.node.serveExchange(t.Context(), &message)
	is.True(err != nil)
}

// TestProtocolVersions checks that versions that differ by one are accepted,
// which rolling upgrades need, and that a later one is rejected.
func TestProtocolVersions(t *testing.T) {
	p := newPeer(0, "127.0.0")
	p.node.init()
	for version, accepted := range map[int]bool{
		protocolVersion - 1: true, protocolVersion: true, protocolVersion + 1: true, protocolVersion + 2: false,
	} {
		message := &exchange{Protocol: version, From: membership.Member{ID: tables.InstanceID(strconv.Itoa(version)), Epoch: 1}, Sequence: 1}
		_, err := p.node.serveExchange(t.Context(), message)
		is.New(t).Equal(err == nil, accepted)
	}
}

// TestGossipDelay guards against an instance that joins late when it starts
// while the store does not respond: it must call its seeds at short intervals.
// Once it knows a member, or without seeds, the interval must be the usual one.
func TestGossipDelay(t *testing.T) {
	newNode := func(seeds ...string) *Node {
		p := newPeer(0, "127.0.0")
		p.node.Seeds = func() []string { return seeds }
		p.node.init()
		return p.node
	}
	assertDelay := func(t *testing.T, n *Node, minDelay, maxDelay time.Duration) {
		t.Helper()
		for range 100 {
			if delay := n.gossipDelay(); delay < minDelay || delay > maxDelay {
				t.Fatalf("delay is %v, want %v to %v", delay, minDelay, maxDelay)
			}
		}
	}
	t.Run("short while no member is known", func(t *testing.T) {
		assertDelay(t, newNode("127.0.0.9:1"), 0, maxJoinInterval)
	})
	t.Run("long with members", func(t *testing.T) {
		n := newNode("127.0.0.9:1")
		n.view.Merge(membership.Member{ID: "other", Epoch: 1})
		assertDelay(t, n, gossipInterval/2, gossipInterval*3/2)
	})
	t.Run("long without seeds", func(t *testing.T) {
		assertDelay(t, newNode(), gossipInterval/2, gossipInterval*3/2)
	})
}
