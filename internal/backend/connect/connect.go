// Package connect opens connections to upstreams: over the instance's own links, or
// through a peer while those are lost.
//
// Nothing above it sees the difference, so that one instance decides on a request,
// counts and bills it. A connection that is returned reaches the upstream, and with an
// error the upstream has received nothing.
package connect

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/links"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/sockets"
)

// A DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A Dialer connects to upstreams. It is safe for concurrent use.
type Dialer struct {
	// Direct connects over the own link. It bounds the time that it takes.
	Direct DialFunc
	Links  *links.Table
	// Candidates returns the peers through which connections may go. If it is nil,
	// none does.
	Candidates func() []links.Peer
	// Through connects through a peer.
	Through func(ctx context.Context, peer tables.InstanceID, address string) (net.Conn, error)
	// ThroughOwner connects through a peer once that has room for a call to the upstream. It
	// returns ErrNoRoom if it has none within the wait, and ErrOwnerLate if it does not answer.
	ThroughOwner func(ctx context.Context, owner tables.InstanceID, address string, wait time.Duration) (net.Conn, error)
	// SendRejection tells an owner that the upstream has rejected a call that it admitted.
	SendRejection func(ctx context.Context, owner tables.InstanceID, address string)
	// AcquireRoom asks for room for a call to an upstream. It calls onOpen, which does not
	// block, once there is room, and returns a function that gives the room up or ends the
	// wait, or nil if there is none within the wait. It is nil where no calls are admitted.
	AcquireRoom func(address string, wait time.Duration, onOpen func()) (release func())
	// Peers spreads the connections over the peers.
	Peers links.Peers

	// probes are the probes of own links that are not over.
	probes errgroup.Group
	// reports are the reports of rejections that are not over.
	reports errgroup.Group
}

const (
	// directTimeout bounds connecting over the own link. It is several times the
	// round-trip time within a region, and shorter than the one second after which TCP
	// retransmits a lost SYN.
	directTimeout = 250 * time.Millisecond
	// probeHeadStart is how long a probe of the own link may delay the connection
	// through a peer.
	probeHeadStart = 20 * time.Millisecond
	// maxPeers bounds the peers that are asked for one connection.
	maxPeers = 3
	// maxUnreachable is how many peers must fail to reach an upstream before the upstream
	// counts as failed and not the own link.
	maxUnreachable = 2
)

// ErrOwnLinkLost is returned for a peer's connection over a link that is lost.
var ErrOwnLinkLost = errors.New("the own link to the upstream is lost")

// errNoPeer is returned if no peer may carry a connection.
var errNoPeer = errors.New("no peer can be asked for a connection")

// Direct connects over the own link within directTimeout.
func Direct(ctx context.Context, network, address string) (net.Conn, error) {
	return sockets.Dialer(directTimeout).DialContext(ctx, network, address)
}

// Through returns the peer that carries a connection, empty for a direct one.
func Through(conn net.Conn) tables.InstanceID {
	// HTTP clients wrap the connections that DialContext returns.
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = c.NetConn()
	}
	if c, ok := conn.(*peerConn); ok {
		return c.peer
	}
	return ""
}

// DialContext connects to an upstream.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if admission, ok := ctx.Value(admissionKey{}).(*Admission); ok {
		return d.admitted(ctx, network, address, admission)
	}
	return d.dial(ctx, network, address)
}

// dial connects to an upstream, over the own link or through a peer.
func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch d.Links.Path(time.Now(), links.Address(address)) {
	case links.Relayed:
		return d.relayed(ctx, network, address)
	case links.Probe:
		return d.probe(ctx, network, address)
	case links.Direct:
	}
	conn, err := d.direct(ctx, network, address)
	if err == nil || ctx.Err() != nil {
		return conn, trace.Wrap(err)
	}
	now := time.Now()
	switch {
	case d.Links.Lost(now, links.Address(address)):
		return d.throughPeer(ctx, address, maxUnreachable)
	case d.Links.ShouldAskPeer(now, links.Address(address)):
		return d.throughPeer(ctx, address, 1)
	}
	return nil, trace.Wrap(err)
}

// relayed connects through a peer, or over the own link, although it counts as lost, if
// no peer can be asked.
func (d *Dialer) relayed(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.throughPeer(ctx, address, maxUnreachable)
	if err == nil || ctx.Err() != nil || errors.Is(err, links.ErrUnreachable) {
		return conn, err
	}
	conn, directErr := d.direct(ctx, network, address)
	if directErr != nil {
		return nil, trace.Wrap(errors.Join(err, directErr))
	}
	return conn, nil
}

// DialForPeer connects to an upstream for a peer, over the own link only, so that no
// connection makes more than one hop. It returns ErrOwnLinkLost without a try if that
// link is lost.
func (d *Dialer) DialForPeer(ctx context.Context, address string) (net.Conn, error) {
	if d.Links.Lost(time.Now(), links.Address(address)) {
		return nil, trace.Wrap(ErrOwnLinkLost)
	}
	conn, err := d.direct(ctx, "tcp", address)
	if err != nil && d.Links.Lost(time.Now(), links.Address(address)) {
		return nil, trace.Wrap(ErrOwnLinkLost)
	}
	return conn, trace.Wrap(err)
}

// direct connects over the own link and records whether that succeeds.
func (d *Dialer) direct(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Direct(ctx, network, address)
	switch {
	case err == nil:
		d.Links.RecordSuccess(time.Now(), links.Address(address))
	case !errors.Is(ctx.Err(), context.Canceled):
		d.Links.RecordFailure(time.Now(), links.Address(address))
	}
	return conn, err
}

// probe connects over the own link, or through a peer if that takes longer than
// probeHeadStart. The outcome on the own link is recorded in either case.
func (d *Dialer) probe(ctx context.Context, network, address string) (net.Conn, error) {
	connected, abandoned := make(chan net.Conn), make(chan struct{})
	d.probes.Go(func() error {
		conn, err := d.direct(context.WithoutCancel(ctx), network, address)
		select {
		case connected <- conn:
		case <-abandoned:
			if err == nil {
				_ = conn.Close()
			}
		}
		return nil
	})
	defer close(abandoned)
	timer := time.NewTimer(probeHeadStart)
	defer timer.Stop()
	select {
	case conn := <-connected:
		if conn != nil {
			return conn, nil
		}
		return d.throughPeer(ctx, address, maxUnreachable)
	case <-timer.C:
	}
	conn, err := d.throughPeer(ctx, address, maxUnreachable)
	if err == nil {
		return conn, nil
	}
	select {
	case conn := <-connected:
		if conn != nil {
			return conn, nil
		}
	case <-ctx.Done():
	}
	return nil, err
}

// throughPeer connects through a peer. It asks others if one takes no connection, or
// cannot reach the upstream, up to the given number of the latter.
func (d *Dialer) throughPeer(ctx context.Context, address string, unreachableLimit int) (net.Conn, error) {
	if d.Candidates == nil {
		return nil, trace.Wrap(errNoPeer)
	}
	var failures []error
	candidates := d.Candidates()
	unreachable := 0
	for range maxPeers {
		n, ok := d.Peers.Choose(time.Now(), candidates)
		if !ok {
			break
		}
		peer := candidates[n].ID
		candidates = slices.Delete(candidates, n, n+1)
		conn, err := d.Through(ctx, peer, address)
		if err == nil {
			d.Links.RecordRelayed(time.Now(), links.Address(address), true)
			d.Peers.Opened(peer)
			return &peerConn{Conn: conn, peer: peer, closed: sync.OnceFunc(func() { d.Peers.Closed(peer) })}, nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, links.ErrUnreachable) {
			d.Peers.Refused(time.Now(), peer)
			continue
		}
		if unreachable++; unreachable == unreachableLimit {
			d.Links.RecordRelayed(time.Now(), links.Address(address), false)
			break
		}
	}
	if len(failures) == 0 {
		return nil, trace.Wrap(errNoPeer)
	}
	return nil, trace.Wrap(errors.Join(failures...))
}

// peerConn is a connection through a peer.
type peerConn struct {
	net.Conn
	peer   tables.InstanceID
	closed func()
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
