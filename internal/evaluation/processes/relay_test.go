package processes

import (
	"io"
	"net"
	"sync"
	"testing"
)

// A relay forwards TCP connections to a target. Connections that are open when
// silence is called stay open but carry no more data; later ones work.
type relay struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	connections []*relayedConn
}

// A relayedConn is a connection through a relay.
type relayedConn struct {
	client, server net.Conn
	mutex          sync.Mutex
	silent         bool
}

// newRelay starts a relay, which is closed at the end of the test.
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
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			r.forward(client, group.Go)
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
	for _, c := range r.connections {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

// forward connects a client to the target. It runs the two copying loops with
// start.
func (r *relay) forward(client net.Conn, start func(func() error)) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayedConn{client: client, server: server}
	r.mutex.Lock()
	r.connections = append(r.connections, c)
	r.mutex.Unlock()
	start(func() error { return c.copy(client, server) })
	start(func() error { return c.copy(server, client) })
}

// connectionCount returns the number of connections opened so far.
func (r *relay) connectionCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.connections)
}

// silence discards all further data on the connections opened so far, without
// closing them, and returns their number.
func (r *relay) silence() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.connections {
		c.mutex.Lock()
		c.silent = true
		c.mutex.Unlock()
	}
	return len(r.connections)
}

// copy forwards data in one direction until an end closes or the connection is
// silenced.
func (c *relayedConn) copy(source, destination net.Conn) error {
	buffer := make([]byte, 4096)
	for {
		count, err := source.Read(buffer)
		c.mutex.Lock()
		silent := c.silent
		c.mutex.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, source)
			return nil
		}
		if err != nil {
			_ = destination.Close()
			return nil
		}
		if _, err := destination.Write(buffer[:count]); err != nil {
			_ = source.Close()
			return nil
		}
	}
}
