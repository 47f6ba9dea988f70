package processes

import (
	"io"
	"net"
	"sync"
	"testing"
)

// A relay passes connections on. Those that are open when it is silenced stay
// open and carry nothing any more; new ones work.
type relay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	open     []*relayedConn
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
}

func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	group := newGroup()
	group.Go(func() error {
		for {
			near, err := listener.Accept()
			if err != nil {
				return nil
			}
			r.pass(near, group.Go)
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		r.close()
		_ = group.Wait()
	})
	return r
}

func (r *relay) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.open {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}

func (r *relay) pass(near net.Conn, start func(func() error)) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &relayedConn{near: near, far: far}
	r.mutex.Lock()
	r.open = append(r.open, c)
	r.mutex.Unlock()
	start(func() error { return c.copy(near, far) })
	start(func() error { return c.copy(far, near) })
}

// opened returns the number of connections that were opened.
func (r *relay) opened() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.open)
}

// silence makes all open connections carry nothing any more.
func (r *relay) silence() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.open {
		c.mutex.Lock()
		c.silent = true
		c.mutex.Unlock()
	}
	return len(r.open)
}

func (c *relayedConn) copy(from, to net.Conn) error {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		c.mutex.Lock()
		silent := c.silent
		c.mutex.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return nil
		}
		if err != nil {
			_ = to.Close()
			return nil
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return nil
		}
	}
}
