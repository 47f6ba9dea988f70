package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// An Endless is a faulty server. It answers each request with Head, and then with Piece again and
// again until the caller closes the connection.
type Endless struct {
	Head, Piece string
}

// maxEndlessBytes bounds what an Endless sends on a connection.
const maxEndlessBytes = 256 << 20

// ServeHTTP implements http.Handler.
func (e *Endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	TakeOver(e.SendTo)(w, r)
}

// SendTo sends on a connection.
func (e *Endless) SendTo(conn net.Conn) {
	if _, err := io.WriteString(conn, e.Head); err != nil {
		return
	}
	const blockBytes = 64 << 10
	block := bytes.Repeat([]byte(e.Piece), blockBytes/len(e.Piece)+1)
	for sent := 0; sent < maxEndlessBytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// A ReadCounter counts the bytes that are read from the connections that it opens. The kernel's
// buffers may hold tens of MiB beyond that.
type ReadCounter struct {
	read atomic.Int64
}

// DialContext connects to an address.
func (c *ReadCounter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: c}, nil
}

// Read returns the number of bytes read.
func (c *ReadCounter) Read() int64 {
	return c.read.Load()
}

type countedConn struct {
	net.Conn
	counter *ReadCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counter.read.Add(int64(count))
	return count, err
}
