package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"
)

// client keeps one connection to a peer. A call that fails or times out
// closes it, so a connection that went silent is replaced by the next call.
type client struct {
	mutex    sync.Mutex
	address  string
	encoding macEncoding
	counters *trafficCounters
	conn     *drpcconn.Conn
	// Sent is what the peer has been told over this connection. It starts
	// empty on each new one.
	sent sentState
}

const callTimeout = 1500 * time.Millisecond

// call makes one call, over a new connection if there is none. The prepare
// function sees whether the connection is new.
func (c *client) call(ctx context.Context, rpc string, in, out any) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.callLocked(ctx, rpc, in, out)
}

func (c *client) callLocked(ctx context.Context, rpc string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := c.conn.Invoke(ctx, rpc, c.encoding, in, out); err != nil {
		c.closeLocked()
		return trace.Wrap(err)
	}
	return nil
}

func (c *client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeLocked()
}

func (c *client) closeLocked() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
	c.sent = sentState{}
}

func (c *client) connect(ctx context.Context) error {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
			c.closeLocked()
		default:
			return nil
		}
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return trace.Wrap(err)
	}
	c.conn = drpcconn.New(countingConn{Conn: raw, counters: c.counters})
	c.sent = sentState{}
	return nil
}
