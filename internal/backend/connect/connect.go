// Package connect opens the connections to upstreams and records which of them succeed.
package connect

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/links"
	"mimosayard/internal/net/sockets"
)

// A DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A Dialer connects to upstreams. It is safe for concurrent use.
type Dialer struct {
	// Direct connects over the own link. It bounds the time that it takes.
	Direct DialFunc
	Links  *links.Table
}

// directTimeout bounds connecting over the own link. It is several times the
// round-trip time within a region, and shorter than the one second after which TCP
// retransmits a lost SYN.
const directTimeout = 400 * time.Millisecond

// Direct connects over the own link within directTimeout.
func Direct(ctx context.Context, network, address string) (net.Conn, error) {
	return sockets.Dialer(directTimeout).DialContext(ctx, network, address)
}

// DialContext connects to an upstream.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Direct(ctx, network, address)
	switch {
	case err == nil:
		d.Links.RecordSuccess(time.Now(), links.Address(address))
	case !errors.Is(ctx.Err(), context.Canceled):
		d.Links.RecordFailure(time.Now(), links.Address(address))
	}
	return conn, trace.Wrap(err)
}
