package peers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"mimosayard/internal/core/links"
	"mimosayard/internal/standin/httpserver"
)

// relayPair are two peers, of which the second relays connections to an upstream.
type relayPair struct {
	from, through *testPeer
	// upstream receives the connections that arrive at the upstream.
	upstream chan net.Conn
	address  string
}

// newRelayPair starts two peers and an upstream. dial connects the second peer to the
// upstream; nil stands for a usual connection.
func newRelayPair(t testing.TB, dial func(ctx context.Context, address string) (net.Conn, error)) *relayPair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &relayPair{upstream: make(chan net.Conn, 16), address: listener.Addr().String()}
	group := newTestGroup(t, func() { _ = listener.Close() })
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			p.upstream <- conn
		}
	})
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	peers := newPeers(t, 2)
	awaitView(t, peers, 2, 3)
	peers[1].node.RelayDial = func(ctx context.Context, address string, _ time.Duration) (net.Conn, error) {
		return dial(ctx, address)
	}
	p.from, p.through = peers[0], peers[1]
	return p
}

// dial connects to the upstream through the second peer.
func (p *relayPair) dial(t *testing.T) (net.Conn, error) {
	t.Helper()
	return p.from.node.DialThrough(t.Context(), p.through.node.Self.ID, p.address)
}

// connect returns both ends of a relayed connection.
func (p *relayPair) connect(t *testing.T) (client, upstream net.Conn) {
	t.Helper()
	client, err := p.dial(t)
	if err != nil {
		t.Fatal(err)
	}
	upstream = <-p.upstream
	t.Cleanup(func() {
		_ = client.Close()
		_ = upstream.Close()
	})
	return client, upstream
}

func assertRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	buffer := make([]byte, len(want))
	_, err := io.ReadFull(conn, buffer)
	is.NoErr(err)
	is.Equal(string(buffer), want)
}

// assertResetIsNoEnd checks that a reset of an upstream during a write breaks the relayed
// connection. wait is that for room at the upstream, zero for a connection that needs none.
func assertResetIsNoEnd(t *testing.T, wait time.Duration) {
	t.Helper()
	is := is.New(t)
	p := newRelayPair(t, func(ctx context.Context, address string) (net.Conn, error) {
		return httpserver.DialWriteFirst(ctx, "tcp", address)
	})
	client, err := p.from.node.DialThroughOwner(t.Context(), p.through.node.Self.ID, p.address, wait)
	is.NoErr(err)
	defer client.Close()
	upstream := <-p.upstream
	_, err = client.Write([]byte("request"))
	is.NoErr(err)
	assertRead(t, upstream, "request")
	_, err = upstream.Write([]byte("part"))
	is.NoErr(err)
	is.NoErr(upstream.(*net.TCPConn).SetLinger(0))
	is.NoErr(upstream.Close())
	_, err = client.Write([]byte("more"))
	is.NoErr(err)
	data, err := io.ReadAll(client)
	is.Equal(string(data), "part")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestRelayedConnection guards against a relay that changes what it carries, or that
// lets a broken connection look like one that the upstream has closed.
func TestRelayedConnection(t *testing.T) {
	t.Parallel()
	p := newRelayPair(t, nil)
	t.Run("bytes arrive both ways as they are written", func(t *testing.T) {
		is := is.New(t)
		client, upstream := p.connect(t)
		large := bytes.Repeat([]byte("0123456789abcdef"), 20000)
		group := newTestGroup(t, func() {})
		group.Go(func() error { _, err := client.Write(large); return err })
		assertRead(t, upstream, string(large))
		is.NoErr(group.Wait())
		_, err := upstream.Write([]byte("id: 1\n\n"))
		is.NoErr(err)
		assertRead(t, client, "id: 1\n\n")
	})
	t.Run("a closed connection ends with io.EOF", func(t *testing.T) {
		is := is.New(t)
		client, upstream := p.connect(t)
		_, err := upstream.Write([]byte("all"))
		is.NoErr(err)
		is.NoErr(upstream.Close())
		data, err := io.ReadAll(client)
		is.NoErr(err)
		is.Equal(string(data), "all")
	})
	t.Run("a reset connection does not end with io.EOF", func(t *testing.T) {
		is := is.New(t)
		client, upstream := p.connect(t)
		_, err := upstream.Write([]byte("part"))
		is.NoErr(err)
		assertRead(t, client, "part")
		is.NoErr(upstream.(*net.TCPConn).SetLinger(0))
		is.NoErr(upstream.Close())
		_, err = client.Read(make([]byte, 1))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
	t.Run("a reset that a write meets does not end with io.EOF", func(t *testing.T) {
		assertResetIsNoEnd(t, 0)
	})
	t.Run("a reset that a write meets does not end an admitted connection with io.EOF", func(t *testing.T) {
		assertResetIsNoEnd(t, time.Second)
	})
	t.Run("closing it closes the connection to the upstream", func(t *testing.T) {
		is := is.New(t)
		client, upstream := p.connect(t)
		is.NoErr(client.Close())
		_, err := bufio.NewReader(upstream).ReadByte()
		is.True(err != nil)
		await(t, "no connection is relayed", func() bool { return p.through.node.Relays() == 0 })
	})
	t.Run("a peer that ends breaks the connection", func(t *testing.T) {
		is := is.New(t)
		client, upstream := p.connect(t)
		_, err := upstream.Write([]byte("part"))
		is.NoErr(err)
		assertRead(t, client, "part")
		p.through.cancel()
		_, err = client.Read(make([]byte, 1))
		is.True(errors.Is(err, links.ErrPeerLost))
		is.True(!errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF))
	})
}

// TestRelayRefusals guards against a peer that relays more than it may, and against a
// refusal that is taken for an upstream's failure.
func TestRelayRefusals(t *testing.T) {
	t.Parallel()
	t.Run("over the limit", func(t *testing.T) {
		is := is.New(t)
		p := newRelayPair(t, nil)
		p.through.node.RelayLimit = 1
		client, _ := p.connect(t)
		_, err := p.dial(t)
		is.True(err != nil && !errors.Is(err, links.ErrUnreachable))
		is.NoErr(client.Close())
		await(t, "there is room again", func() bool { return p.through.node.Relays() == 0 })
		p.connect(t)
	})
	t.Run("by the instance", func(t *testing.T) {
		p := newRelayPair(t, func(context.Context, string) (net.Conn, error) { return nil, ErrRelayRefused })
		_, err := p.dial(t)
		is.New(t).True(errors.Is(err, ErrRelayRefused))
	})
	t.Run("an upstream that cannot be reached", func(t *testing.T) {
		p := newRelayPair(t, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
		_, err := p.dial(t)
		is.New(t).True(errors.Is(err, links.ErrUnreachable))
		is.New(t).Equal(p.through.node.Relays(), int64(0))
	})
	t.Run("an upstream that hangs", func(t *testing.T) {
		p := newRelayPair(t, func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() })
		began := time.Now()
		_, err := p.dial(t)
		is.New(t).True(errors.Is(err, links.ErrUnreachable))
		is.New(t).True(time.Since(began) < relayOpenTimeout)
	})
	t.Run("an instance that is leaving", func(t *testing.T) {
		is := is.New(t)
		p := newRelayPair(t, nil)
		client, upstream := p.connect(t)
		p.through.node.Leave(t.Context())
		_, err := p.dial(t)
		is.True(errors.Is(err, ErrRelayRefused))
		_, err = upstream.Write([]byte("more"))
		is.NoErr(err)
		assertRead(t, client, "more")
	})
	t.Run("an instance without relays", func(t *testing.T) {
		p := newRelayPair(t, nil)
		p.through.node.RelayDial = nil
		_, err := p.dial(t)
		is.New(t).True(errors.Is(err, ErrRelayRefused))
	})
	t.Run("with another key", func(t *testing.T) {
		p := newRelayPair(t, nil)
		p.through.partitioned.Store(true)
		_, err := p.dial(t)
		is.New(t).True(err != nil)
		is.New(t).Equal(len(p.upstream), 0)
	})
}

// TestReplayedRelayRequestsAreRefused guards against connections that somebody opens with
// a recorded request.
func TestReplayedRelayRequestsAreRefused(t *testing.T) {
	t.Parallel()
	p := newRelayPair(t, nil)
	open := func(request *relayOpen) error {
		raw, err := net.Dial("tcp", p.through.node.Self.Address)
		if err != nil {
			t.Fatal(err)
		}
		c := &relayConn{raw: raw, conn: drpcconn.New(raw), encoding: p.from.node.encoding(), session: request.Session}
		defer c.Close()
		return c.open(t.Context(), request)
	}
	self := p.through.node.Self
	request := relayOpen{Protocol: protocolVersion, From: "x", Epoch: 2, Sequence: 5, To: self.ID, ToEpoch: self.Epoch, Address: p.address, Session: 9}
	is := is.New(t)
	is.NoErr(open(&request))
	is.True(open(&request) != nil)
	earlier := request
	earlier.Sequence = 4
	is.NoErr(open(&earlier))
	is.True(open(&earlier) != nil)
	oldProcess := request
	oldProcess.Epoch, oldProcess.Sequence = 1, 9
	is.True(open(&oldProcess) != nil)
	otherPeer := request
	otherPeer.Sequence, otherPeer.ToEpoch = 10, self.Epoch+1
	is.True(open(&otherPeer) != nil)
}

// TestReplayWindow guards against numbers that are accepted twice or, in the window,
// never.
func TestReplayWindow(t *testing.T) {
	t.Run("each number once, in any order", func(t *testing.T) {
		w := &replayWindow{}
		for _, n := range []uint64{1, 3, 2, 70, 65, 200, 199, 1000, 131, 1001} {
			is.New(t).True(w.accept(n))
			is.New(t).True(!w.accept(n))
		}
	})
	t.Run("all of a long run", func(t *testing.T) {
		w := &replayWindow{}
		for n := uint64(1); n < 5000; n++ {
			is.New(t).True(w.accept(n))
		}
		for n := uint64(1); n < 5000; n++ {
			is.New(t).True(!w.accept(n))
		}
	})
	t.Run("none below the window", func(t *testing.T) {
		w := &replayWindow{}
		is.New(t).True(w.accept(1 << 40))
		is.New(t).True(!w.accept(1<<40 - 64*replayWindowWords))
		is.New(t).True(w.accept(1<<40 - 64*replayWindowWords + 1))
	})
}

// newTestGroup returns a group whose goroutines end before the test does, after stop.
func newTestGroup(t testing.TB, stop func()) *errgroup.Group {
	t.Helper()
	group := &errgroup.Group{}
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return group
}

// TestRelaysFitInMemory guards against relayed connections that take more memory than the
// limit on their number allows for.
func TestRelaysFitInMemory(t *testing.T) {
	const (
		connections = 200
		// maxBytes is the memory for both ends of a connection, in one process here.
		maxBytes = 128 << 10
	)
	is := is.New(t)
	p := newRelayPair(t, nil)
	client, upstream := p.connect(t)
	_, err := client.Write([]byte("warm up"))
	is.NoErr(err)
	assertRead(t, upstream, "warm up")
	before := memoryInUse()
	for range connections {
		client, upstream := p.connect(t)
		_, err := client.Write(make([]byte, relayChunkBytes))
		is.NoErr(err)
		assertRead(t, upstream, string(make([]byte, relayChunkBytes)))
		_, err = upstream.Write(make([]byte, relayChunkBytes))
		is.NoErr(err)
		assertRead(t, client, string(make([]byte, relayChunkBytes)))
	}
	perConnection := (memoryInUse() - before) / connections
	t.Logf("%d bytes for both ends of a connection", perConnection)
	is.True(perConnection < maxBytes)
}

// memoryInUse returns the bytes of the heap and the stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkRelayedStream measures a call through a peer: the connection, a request of 1 KiB
// and an answer of 100 events of 64 bytes, at both ends.
func BenchmarkRelayedStream(b *testing.B) {
	const (
		events     = 100
		eventBytes = 64
		headBytes  = 1024
	)
	p := newRelayPair(b, nil)
	before := p.from.node.Stats()
	buffer := make([]byte, headBytes)
	for b.Loop() {
		client, err := p.from.node.DialThrough(b.Context(), p.through.node.Self.ID, p.address)
		if err != nil {
			b.Fatal(err)
		}
		upstream := <-p.upstream
		if _, err := client.Write(buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(upstream, buffer); err != nil {
			b.Fatal(err)
		}
		for range events {
			if _, err := upstream.Write(buffer[:eventBytes]); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(client, buffer[:eventBytes]); err != nil {
				b.Fatal(err)
			}
		}
		_ = upstream.Close()
		_ = client.Close()
	}
	after := p.from.node.Stats()
	b.ReportMetric(float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes)/float64(b.N), "bytes/op")
}

// TestLatePeersAreNotTakenForLost guards against a peer that counts as lost since it has not
// connected to the upstream in time.
func TestLatePeersAreNotTakenForLost(t *testing.T) {
	t.Run("the peer does not connect in time", func(t *testing.T) {
		p := newRelayPair(t, func(context.Context, string) (net.Conn, error) {
			time.Sleep(2 * relayOpenTimeout)
			return nil, ErrRelayRefused
		})
		_, err := p.dial(t)
		is.New(t).True(errors.Is(err, ErrRelayLate))
	})
	t.Run("the caller leaves before", func(t *testing.T) {
		is := is.New(t)
		p := newRelayPair(t, func(context.Context, string) (net.Conn, error) {
			time.Sleep(2 * relayOpenTimeout)
			return nil, ErrRelayRefused
		})
		ctx, cancel := context.WithTimeout(t.Context(), relayOpenTimeout/4)
		defer cancel()
		_, err := p.from.node.DialThrough(ctx, p.through.node.Self.ID, p.address)
		is.True(err != nil)
		is.True(!errors.Is(err, ErrRelayLate))
	})
}
