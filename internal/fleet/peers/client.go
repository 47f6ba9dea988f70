package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"
)

// client makes calls to one peer over one connection, one at a time. A call
// that fails or times out closes the connection and the next call opens a new
// one, so an unresponsive connection is not reused.
type client struct {
	mutex    sync.Mutex
	address  string
	encoding macEncoding
	counters *trafficCounters
	conn     *drpcconn.Conn
	// sent is the state sent over the current connection. It is reset for each
	// new connection.
	sent sentState
}

// callTimeout limits one call, or one exchange with the synchronization that
// follows it, including the time to connect.
const callTimeout = 1500 * time.Millisecond

// call makes one call and opens a connection if there is none.
func (c *client) call(ctx context.Context, rpc string, in, out any) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.callLocked(ctx, rpc, in, out)
}

// callLocked is call for a caller that holds the mutex.
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

// closeLocked closes the connection, if any, and resets the sent state. The
// caller holds the mutex.
func (c *client) closeLocked() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
	c.sent = sentState{}
}

// connect opens a connection unless there is an open one. The caller holds the
// mutex.
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
