package peers

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"mimosayard/internal/core/links"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/sockets"
)

// relayOpen asks a peer to connect to an upstream and to relay the bytes of the
// connection both ways.
type relayOpen struct {
	Protocol int               `cbor:"1,keyasint"`
	From     tables.InstanceID `cbor:"2,keyasint"`
	Epoch    int64             `cbor:"3,keyasint"`
	// Sequence differs in all requests of a process, which protects against replayed
	// ones.
	Sequence uint64 `cbor:"4,keyasint"`
	// To and ToEpoch are the peer that is asked, and its process.
	To      tables.InstanceID `cbor:"5,keyasint"`
	ToEpoch int64             `cbor:"6,keyasint"`
	Address string            `cbor:"7,keyasint"`
	// Session is the random ID of the connection, which all of its messages carry.
	Session uint64 `cbor:"8,keyasint"`
	// WaitMs bounds the wait for room at the upstream, to which the peer admits the calls of
	// all instances. It is zero for a connection that needs no room.
	WaitMs int64 `cbor:"9,keyasint,omitempty"`
	// Rejected reports that the upstream has rejected a call that the peer admitted. No
	// connection is wanted then.
	Rejected bool `cbor:"10,keyasint,omitempty"`
}

// relayOpened answers a relayOpen.
type relayOpened struct {
	Session uint64      `cbor:"1,keyasint"`
	Status  relayStatus `cbor:"2,keyasint"`
}

// relayData carries bytes of a relayed connection.
type relayData struct {
	Session uint64 `cbor:"1,keyasint"`
	// Number counts the messages of one direction from 0.
	Number uint64 `cbor:"2,keyasint,omitempty"`
	// FromUpstream is the direction.
	FromUpstream bool   `cbor:"3,keyasint,omitempty"`
	Data         []byte `cbor:"4,keyasint,omitempty"`
	// End reports that the upstream closed the connection after the data, Broken that
	// the connection to it broke. Without either the end is the loss of the peer.
	End    bool `cbor:"5,keyasint,omitempty"`
	Broken bool `cbor:"6,keyasint,omitempty"`
}

// relayStatus is the result of a relayOpen.
type relayStatus int

const (
	relayConnected relayStatus = iota
	// relayRefused reports that the peer relays no such connection now.
	relayRefused
	// relayUnreachable reports that the peer could not connect to the upstream.
	relayUnreachable
)

const (
	// relayChunkBytes bounds the data of one message, so that it fits into DRPC's
	// buffers of 4 KiB.
	relayChunkBytes = 4<<10 - 128
	// relayConnectTimeout bounds a peer's time for connecting to the upstream. It is
	// several times the round-trip time within a region.
	relayConnectTimeout = 250 * time.Millisecond
	// relayOpenTimeout bounds the time until a peer has connected.
	relayOpenTimeout = 350 * time.Millisecond
	// maxRelayWait bounds the wait for room at an upstream.
	maxRelayWait = 10 * time.Second
	// defaultRelayLimit is the number of connections that an instance relays at once
	// if Node.RelayLimit is zero.
	defaultRelayLimit = 1024
)

// ErrRelayRefused is returned for a connection that a peer does not relay.
var ErrRelayRefused = errors.New("the peer relays no connection to the upstream")

// ErrRelayLate is returned for a connection to which a peer does not answer in time.
var ErrRelayLate = errors.New("the peer did not answer in time")

// RelayPeers returns the members that may relay connections.
func (n *Node) RelayPeers() []links.Peer {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var peers []links.Peer
	for _, m := range n.view.Live() {
		if m.ID != n.Self.ID && m.State == membership.Up && m.Address != "" {
			peers = append(peers, links.Peer{ID: m.ID, DataCenter: m.DataCenter})
		}
	}
	return peers
}

// RefuseRelays makes the node refuse further connections of its peers. Those that it
// relays continue.
func (n *Node) RefuseRelays() {
	n.relaysRefused.Store(true)
}

// Relays returns the number of connections that this instance relays for its peers.
func (n *Node) Relays() int64 {
	return n.relays.Load()
}

// DialThrough connects to an upstream through a peer. The context bounds connecting
// only. The error is links.ErrUnreachable if the peer could not reach the upstream.
// With any error, the upstream has received nothing.
func (n *Node) DialThrough(ctx context.Context, id tables.InstanceID, address string) (net.Conn, error) {
	return n.DialThroughOwner(ctx, id, address, 0)
}

// DialThroughOwner is like DialThrough, but the peer first waits for room for a call to the
// upstream. It returns ErrRelayRefused if there is none in that time, and ErrRelayLate if the
// peer does not answer.
func (n *Node) DialThroughOwner(ctx context.Context, id tables.InstanceID, address string, wait time.Duration) (net.Conn, error) {
	return n.openRelay(ctx, id, relayOpen{Address: address, WaitMs: wait.Milliseconds()})
}

// ReportRejection tells the instance that admitted a call that the upstream has rejected it.
func (n *Node) ReportRejection(ctx context.Context, id tables.InstanceID, address string) {
	conn, err := n.openRelay(ctx, id, relayOpen{Address: address, Rejected: true})
	if err == nil {
		// The peer's build ignores the report and has connected.
		_ = conn.Close()
	}
}

// openRelay sends a request for a relayed connection to a peer, and returns the connection.
func (n *Node) openRelay(ctx context.Context, id tables.InstanceID, request relayOpen) (net.Conn, error) {
	n.init()
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, relayOpenTimeout+time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	n.mutex.Lock()
	peer, ok := n.view.Get(id)
	n.mutex.Unlock()
	if !ok {
		return nil, trace.NotFound("peer %s is not known", id)
	}
	raw, err := sockets.Dialer(relayOpenTimeout).DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		var network net.Error
		if caller.Err() == nil && errors.As(err, &network) && network.Timeout() {
			err = ErrRelayLate
		}
		return nil, trace.Wrap(err)
	}
	c := &relayConn{raw: raw, conn: drpcconn.New(countingConn{Conn: raw, counters: &n.counters}), encoding: n.encoding(), session: newSession()}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	request.Protocol, request.Session = protocolVersion, c.session
	request.From, request.Epoch, request.Sequence = n.Self.ID, n.Self.Epoch, n.relaySequence.Add(1)
	request.To, request.ToEpoch = peer.ID, peer.Epoch
	err = c.open(context.WithoutCancel(ctx), &request)
	if !stop() {
		// The close of the connection at the end of ctx may be the error.
		err = cmp.Or(caller.Err(), ErrRelayLate)
	}
	if err != nil {
		_ = c.Close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// newSession returns a random ID.
func newSession() uint64 {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return binary.BigEndian.Uint64(id[:])
}

// relayConn is a connection to an upstream through a peer.
type relayConn struct {
	raw      net.Conn
	conn     *drpcconn.Conn
	stream   drpc.Stream
	encoding macEncoding
	session  uint64

	// unread are received bytes, ended is true after the last ones. Only Read uses
	// them and received.
	unread   []byte
	ended    bool
	received uint64
	// sent is the number of messages sent. Only Write uses it.
	sent uint64
}

// open asks the peer to connect.
func (c *relayConn) open(ctx context.Context, request *relayOpen) error {
	stream, err := c.conn.NewStream(ctx, rpcRelay, c.encoding)
	if err != nil {
		return trace.Wrap(err)
	}
	c.stream = stream
	if err := stream.MsgSend(request, c.encoding); err != nil {
		return trace.Wrap(err)
	}
	var answer relayOpened
	if err := stream.MsgRecv(&answer, c.encoding); err != nil {
		return trace.Wrap(err)
	}
	switch {
	case answer.Session != c.session:
		return trace.AccessDenied("answer to another relay request")
	case answer.Status == relayUnreachable:
		return links.ErrUnreachable
	case answer.Status != relayConnected:
		return ErrRelayRefused
	}
	return nil
}

// Read implements net.Conn. It returns io.EOF if the upstream closed the connection,
// io.ErrUnexpectedEOF if the connection to it broke, and links.ErrPeerLost if the
// connection to the peer did.
func (c *relayConn) Read(buffer []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var message relayData
		if err := c.stream.MsgRecv(&message, c.encoding); err != nil {
			return 0, trace.Wrap(errors.Join(links.ErrPeerLost, errors.New(err.Error())))
		}
		if message.Session != c.session || message.Number != c.received || !message.FromUpstream {
			return 0, trace.AccessDenied("relayed data is out of sequence")
		}
		if message.Broken {
			return 0, io.ErrUnexpectedEOF
		}
		c.received++
		c.unread, c.ended = message.Data, message.End
	}
	count := copy(buffer, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

// Write implements net.Conn.
func (c *relayConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(len(data), written+relayChunkBytes)]
		if err := c.stream.MsgSend(&relayData{Session: c.session, Number: c.sent, Data: chunk}, c.encoding); err != nil {
			return written, trace.Wrap(errors.Join(links.ErrPeerLost, errors.New(err.Error())))
		}
		c.sent++
		written += len(chunk)
	}
	return written, nil
}

// Close implements net.Conn. The peer then closes the connection to the upstream.
func (c *relayConn) Close() error {
	return c.conn.Close()
}

// LocalAddr implements net.Conn.
func (c *relayConn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn. It is the address of the peer.
func (c *relayConn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn. A deadline that passes ends the connection.
func (c *relayConn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// SetReadDeadline implements net.Conn, like SetDeadline.
func (c *relayConn) SetReadDeadline(t time.Time) error { return c.raw.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn, like SetDeadline.
func (c *relayConn) SetWriteDeadline(t time.Time) error { return c.raw.SetWriteDeadline(t) }

// serveRelay connects to an upstream for a peer and relays the bytes both ways until
// either side closes.
func (n *Node) serveRelay(stream drpc.Stream) error {
	encoding := n.encoding()
	var request relayOpen
	if err := stream.MsgRecv(&request, encoding); err != nil {
		return trace.Wrap(err)
	}
	if err := n.acceptRelay(&request); err != nil {
		return err
	}
	if request.Rejected {
		if n.OnRejection != nil {
			n.OnRejection(request.Address)
		}
		return trace.Wrap(stream.MsgSend(&relayOpened{Session: request.Session, Status: relayRefused}, encoding))
	}
	upstream, status := n.connectForPeer(stream.Context(), request.Address, time.Duration(request.WaitMs)*time.Millisecond)
	if upstream != nil {
		upstream = &sockets.Conn{Conn: upstream}
		defer func() { _ = upstream.Close() }()
		defer n.relays.Add(-1)
	}
	if err := stream.MsgSend(&relayOpened{Session: request.Session, Status: status}, encoding); err != nil || upstream == nil {
		return trace.Wrap(err)
	}
	// The peer has gone once the context ends, and the upstream need not go on.
	stop := context.AfterFunc(stream.Context(), func() { _ = upstream.Close() })
	defer stop()
	r := relayedStream{stream: stream, encoding: encoding, session: request.Session, upstream: upstream}
	forwarding := &errgroup.Group{}
	forwarding.Go(r.forwardToUpstream)
	err := r.forwardFromUpstream()
	_ = upstream.Close()
	// The peer reads the end of the connection before it closes the stream.
	_ = forwarding.Wait()
	return trace.Wrap(err)
}

// acceptRelay returns an error for a request of another protocol version, for
// another process, or one that was received before.
func (n *Node) acceptRelay(request *relayOpen) error {
	switch {
	case request.Protocol < protocolVersion-1 || request.Protocol > protocolVersion+1:
		return trace.BadParameter("peer protocol %d is not understood", request.Protocol)
	case request.To != n.Self.ID || request.ToEpoch != n.Self.Epoch:
		return trace.AccessDenied("relay request is for another process")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	window := n.relayCallers[request.From]
	if window == nil || request.Epoch > window.epoch {
		window = &replayWindow{epoch: request.Epoch}
		n.relayCallers[request.From] = window
	}
	if request.Epoch < window.epoch || !window.accept(request.Sequence) {
		return trace.AccessDenied("relay request of %s was received before", request.From)
	}
	return nil
}

// connectForPeer connects to an upstream and counts the relay. It returns nil if
// there is no connection.
func (n *Node) connectForPeer(ctx context.Context, address string, wait time.Duration) (net.Conn, relayStatus) {
	limit := int64(n.RelayLimit)
	if limit <= 0 {
		limit = defaultRelayLimit
	}
	if n.RelayDial == nil || n.relaysRefused.Load() {
		return nil, relayRefused
	}
	if n.relays.Add(1) > limit {
		n.relays.Add(-1)
		return nil, relayRefused
	}
	wait = min(max(wait, 0), maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, relayConnectTimeout+wait)
	defer cancel()
	conn, err := n.RelayDial(ctx, address, wait)
	if err == nil {
		return conn, relayConnected
	}
	n.relays.Add(-1)
	if errors.Is(err, ErrRelayRefused) {
		return nil, relayRefused
	}
	return nil, relayUnreachable
}

// relayedStream is the peer's end of a relayed connection.
type relayedStream struct {
	stream   drpc.Stream
	encoding macEncoding
	session  uint64
	upstream net.Conn
}

// forwardFromUpstream sends what the upstream sends, up to its end or the break of the
// connection to it.
func (r *relayedStream) forwardFromUpstream() error {
	buffer := make([]byte, relayChunkBytes)
	for number := uint64(0); ; number++ {
		count, err := r.upstream.Read(buffer)
		ended := errors.Is(err, io.EOF)
		message := &relayData{Session: r.session, Number: number, FromUpstream: true, Data: buffer[:count], End: ended, Broken: err != nil && !ended}
		if sendErr := r.stream.MsgSend(message, r.encoding); sendErr != nil || err != nil {
			return trace.Wrap(sendErr)
		}
	}
}

// forwardToUpstream sends what the peer sends to the upstream, and closes the
// connection when the peer closes its end or sends what it must not.
func (r *relayedStream) forwardToUpstream() error {
	defer func() { _ = r.upstream.Close() }()
	for number := uint64(0); ; number++ {
		var message relayData
		if err := r.stream.MsgRecv(&message, r.encoding); err != nil {
			return trace.Wrap(err)
		}
		if message.Session != r.session || message.Number != number || message.FromUpstream {
			return trace.AccessDenied("relayed data is out of sequence")
		}
		if _, err := r.upstream.Write(message.Data); err != nil {
			return trace.Wrap(err)
		}
	}
}

// replayWindow tells sequence numbers that were received before from new ones. Numbers
// may arrive out of order within the window (RFC 4303, section 3.4.3).
type replayWindow struct {
	epoch int64
	// highest is the highest number received. Bit i of seen is set if highest-i was
	// received.
	highest uint64
	seen    [replayWindowWords]uint64
}

// replayWindowWords is the length of a replay window in words of 64 bits.
const replayWindowWords = 16

// accept reports whether a number is new, and marks it as received. Numbers below
// the window are not new.
func (w *replayWindow) accept(number uint64) bool {
	if number > w.highest {
		w.shift(number - w.highest)
		w.highest = number
	}
	offset := w.highest - number
	if offset >= 64*replayWindowWords {
		return false
	}
	word, bit := &w.seen[offset/64], uint64(1)<<(offset%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// shift moves the window up.
func (w *replayWindow) shift(by uint64) {
	words, bits := by/64, by%64
	for i := replayWindowWords - 1; i >= 0; i-- {
		var value uint64
		if from := i - int(min(words, replayWindowWords)); from >= 0 {
			value = w.seen[from] << bits
			if from > 0 && bits > 0 {
				value |= w.seen[from-1] >> (64 - bits)
			}
		}
		w.seen[i] = value
	}
}
