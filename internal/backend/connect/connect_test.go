package connect

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/links"
	"mimosayard/internal/core/tables"
)

// testNetwork are the links of an instance and of its peers. Connections are pipes.
type testNetwork struct {
	mutex sync.Mutex
	// direct fails connections over the own link, nil to let them succeed. delay is how
	// long they take.
	direct error
	delay  time.Duration
	// peers fails connections through the peers, nil to let them succeed.
	peers map[tables.InstanceID]error

	directDials, peerDials int
	opened, closed         atomic.Int64
}

// testConn counts the connections that are closed.
type testConn struct {
	net.Conn
	network *testNetwork
}

func (c testConn) Close() error {
	c.network.closed.Add(1)
	return nil
}

var errRefused = errors.New("refused")

func (n *testNetwork) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

func (n *testNetwork) dialer() *Dialer {
	return &Dialer{
		Links: &links.Table{},
		Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
			n.mutex.Lock()
			n.directDials++
			err, delay := n.direct, n.delay
			n.mutex.Unlock()
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return n.connect(err)
		},
		Candidates: func() []links.Peer {
			var peers []links.Peer
			for id := range n.peers {
				peers = append(peers, links.Peer{ID: id})
			}
			return peers
		},
		Through: func(_ context.Context, peer tables.InstanceID, _ string) (net.Conn, error) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.peerDials++
			return n.connect(n.peers[peer])
		},
	}
}

func (n *testNetwork) connect(err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	n.opened.Add(1)
	return testConn{network: n}, nil
}

// dial connects to an address and returns the peer that carries the connection.
func dial(t *testing.T, d *Dialer, address string) (through tables.InstanceID, err error) {
	t.Helper()
	conn, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return Through(conn), nil
}

func assertThrough(t *testing.T, d *Dialer, address string, want tables.InstanceID) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	through, err := dial(t, d, address)
	is.NoErr(err)
	is.Equal(through, want)
}

// loseLinks makes connections over the own links fail until they count as lost.
func loseLinks(t *testing.T, n *testNetwork, d *Dialer) {
	t.Helper()
	n.set(func() { n.direct = errRefused })
	for _, address := range []string{"a", "b", "c"} {
		_, _ = dial(t, d, address)
	}
	is.New(t).True(d.Links.AllLost())
}

// TestLostLinksAreBypassed guards against connections that fail although a peer could
// carry them, and against ones that burden peers although the own link works.
func TestLostLinksAreBypassed(t *testing.T) {
	t.Run("direct while the own links work", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil}}
		d := n.dialer()
		for range 10 {
			assertThrough(t, d, "a", "")
		}
		is.New(t).Equal(n.peerDials, 0)
	})
	t.Run("through a peer while they are lost", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil}}
		d := n.dialer()
		loseLinks(t, n, d)
		for range 10 {
			assertThrough(t, d, "d", "p")
		}
	})
	t.Run("through another peer if one refuses", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil, "q": errRefused, "r": errRefused}}
		d := n.dialer()
		loseLinks(t, n, d)
		for range 20 {
			assertThrough(t, d, "d", "p")
		}
	})
	t.Run("one lost link among others that work", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil}}
		d := n.dialer()
		for _, address := range []string{"a", "b", "c", "d"} {
			assertThrough(t, d, address, "")
		}
		n.set(func() { n.direct = errRefused })
		_, err := dial(t, d, "a")
		is.New(t).True(err != nil)
		assertThrough(t, d, "a", "p")
		n.set(func() { n.direct = nil })
		assertThrough(t, d, "b", "")
		is.New(t).True(!d.Links.AllLost())
	})
	t.Run("no peer", func(t *testing.T) {
		n := &testNetwork{}
		d := n.dialer()
		loseLinks(t, n, d)
		_, err := dial(t, d, "d")
		is.New(t).True(errors.Is(err, errNoPeer))
		n.set(func() { n.direct = nil })
		assertThrough(t, d, "d", "")
	})
	t.Run("all peers refuse", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": errRefused, "q": errRefused}}
		d := n.dialer()
		loseLinks(t, n, d)
		n.set(func() { n.direct = nil })
		for range 10 {
			assertThrough(t, d, "d", "")
		}
	})
	t.Run("peers that reach no upstream", func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": links.ErrUnreachable, "q": links.ErrUnreachable}}
		d := n.dialer()
		loseLinks(t, n, d)
		dials := n.directDials
		for range 10 {
			_, err := dial(t, d, "d")
			is.New(t).True(errors.Is(err, links.ErrUnreachable))
		}
		is.New(t).Equal(n.directDials, dials)
	})
}

// TestFailedUpstreamsCostPeersLittle guards against an upstream that has failed and of
// which peers are asked with every call.
func TestFailedUpstreamsCostPeersLittle(t *testing.T) {
	n := &testNetwork{peers: map[tables.InstanceID]error{"p": links.ErrUnreachable, "q": links.ErrUnreachable}}
	d := n.dialer()
	for _, address := range []string{"a", "b", "c", "d"} {
		assertThrough(t, d, address, "")
	}
	n.set(func() { n.direct = errRefused })
	for range 50 {
		_, err := dial(t, d, "a")
		is.New(t).True(err != nil)
	}
	is.New(t).Equal(n.peerDials, 1)
	is.New(t).True(!d.Links.AllLost())
}

// TestPeersUseOwnLinksOnly guards against connections that go around between instances.
func TestPeersUseOwnLinksOnly(t *testing.T) {
	is := is.New(t)
	n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil}}
	d := n.dialer()
	_, err := d.DialForPeer(t.Context(), "a")
	is.NoErr(err)
	loseLinks(t, n, d)
	before, through := n.directDials, n.peerDials
	_, err = d.DialForPeer(t.Context(), "a")
	is.True(errors.Is(err, ErrOwnLinkLost))
	is.Equal(n.directDials, before)
	is.Equal(n.peerDials, through)
}

// TestProbes guards against callers that wait for the probe of a link that hangs, and
// against links that are not used again once they work.
func TestProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": nil}}
		d := n.dialer()
		loseLinks(t, n, d)
		n.set(func() { n.delay = directTimeout })
		dials := n.directDials
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			assertThrough(t, d, "a", "p")
			is.True(time.Since(began) <= probeHeadStart)
		}
		is.True(n.directDials > dials)
		n.set(func() { n.direct = nil })
		time.Sleep(maxProbeWait)
		assertThrough(t, d, "b", "p")
		synctest.Wait()
		time.Sleep(directTimeout)
		synctest.Wait()
		is.Equal(n.opened.Load(), n.closed.Load())
		n.set(func() { n.delay = 0 })
		for _, address := range []string{"b", "c", "d"} {
			time.Sleep(maxProbeWait)
			assertThrough(t, d, address, "")
		}
		is.True(!d.Links.AllLost())
	})
}

// TestProbesDoWithoutPeers guards against calls that fail although their own link has come
// back and only answers slowly, since no peer carries them.
func TestProbesDoWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{peers: map[tables.InstanceID]error{"p": errRefused}}
		d := n.dialer()
		loseLinks(t, n, d)
		n.set(func() { n.direct, n.delay = nil, directTimeout/2 })
		time.Sleep(maxProbeWait)
		is.New(t).Equal(d.Links.Path(time.Now(), "other"), links.Probe)
		time.Sleep(maxProbeWait)
		assertThrough(t, d, "a", "")
	})
}

// maxProbeWait is longer than the time between two probes of a link.
const maxProbeWait = 3 * time.Second

// TestCanceledConnectionsAreNoFailures guards against links that count as lost because
// callers left while connections were being established.
func TestCanceledConnectionsAreNoFailures(t *testing.T) {
	n := &testNetwork{delay: time.Hour}
	d := n.dialer()
	for _, address := range []string{"a", "b", "c", "d"} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := d.DialContext(ctx, "tcp", address)
		is.New(t).True(err != nil)
	}
	is.New(t).True(!d.Links.AllLost())
}
