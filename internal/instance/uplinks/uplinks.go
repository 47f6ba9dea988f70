// Package uplinks connects an instance to the upstreams, over its own links or its
// peers', and lets the peers use its links.
package uplinks

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/telemetry/events"
)

// Options are the parts of an instance that its links concern.
type Options struct {
	// Node is the instance's node, which must not serve yet.
	Node  *peers.Node
	Links *links.Table
	// HasUpstream reports whether the address is that of an upstream. Connections to
	// other addresses are not relayed.
	HasUpstream func(address string) bool
	// AcquireRoom asks for room at an upstream whose calls this instance admits. It is nil
	// where no calls are admitted.
	AcquireRoom func(address string, wait time.Duration, onOpen func()) (release func())
	// OnChange is called when the own links are lost and when they are back. It may be
	// nil.
	OnChange func()
	// MemoryMB is the memory of the instance in MiB, zero if there is no limit.
	MemoryMB int64
	Log      *zap.Logger
}

// relaysPerMB bounds the connections that an instance relays by its memory, of which
// they may take about a quarter.
const relaysPerMB = 4

// NewDialer returns the dialer of an instance, and sets up its node to relay the
// connections of peers.
func NewDialer(o Options) *connect.Dialer {
	o.Node.RelayLimit = int(o.MemoryMB) * relaysPerMB
	dialer := &connect.Dialer{
		Direct:     connect.Direct,
		Links:      o.Links,
		Candidates: o.Node.RelayPeers,
		Through:    o.Node.DialThrough,

		AcquireRoom:   o.AcquireRoom,
		SendRejection: o.Node.ReportRejection,
		Peers:         links.Peers{Home: o.Node.Self.DataCenter},
	}
	dialer.ThroughOwner = func(ctx context.Context, owner tables.InstanceID, address string, wait time.Duration) (net.Conn, error) {
		conn, err := o.Node.DialThroughOwner(ctx, owner, address, wait)
		switch {
		case errors.Is(err, peers.ErrRelayRefused):
			return nil, connect.ErrNoRoom
		case errors.Is(err, peers.ErrRelayLate):
			return nil, connect.ErrOwnerLate
		}
		return conn, err
	}
	o.Links.OnChange = func(lost bool, failing int) {
		if lost {
			events.LinksLost.Log(o.Log, zap.Int("upstreams", failing))
		} else {
			events.LinksBack.Log(o.Log)
		}
		if o.OnChange != nil {
			o.OnChange()
		}
	}
	o.Node.RelayDial = func(ctx context.Context, address string, wait time.Duration) (net.Conn, error) {
		if !o.HasUpstream(address) {
			return nil, peers.ErrRelayRefused
		}
		dial := dialer.DialForPeer
		if wait > 0 {
			dial = func(ctx context.Context, address string) (net.Conn, error) {
				return dialer.DialAdmitted(ctx, address, wait)
			}
		}
		conn, err := dial(ctx, address)
		if errors.Is(err, connect.ErrOwnLinkLost) || errors.Is(err, connect.ErrNoRoom) {
			return nil, peers.ErrRelayRefused
		}
		return conn, err
	}
	return dialer
}
