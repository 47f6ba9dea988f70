package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// An Endless is a faulty server. It answers each request with Head, and then with Piece again and
// again until the caller closes the connection.
type Endless struct {
	Head, Piece string

	// sent is the number of bytes sent.
	sent atomic.Int64
}

// maxEndlessBytes bounds what an Endless sends on a connection.
const maxEndlessBytes = 256 << 20

// ServeHTTP implements http.Handler.
func (e *Endless) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	e.SendTo(conn)
}

// SendTo sends on a connection and closes it.
func (e *Endless) SendTo(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, e.Head); err != nil {
		return
	}
	const blockBytes = 64 << 10
	block := bytes.Repeat([]byte(e.Piece), blockBytes/len(e.Piece)+1)
	for sent := 0; sent < maxEndlessBytes; sent += len(block) {
		count, err := conn.Write(block)
		e.sent.Add(int64(count))
		if err != nil {
			return
		}
	}
}

// Sent returns the number of bytes sent after the heads, which includes those that the caller's
// kernel holds unread.
func (e *Endless) Sent() int64 {
	return e.sent.Load()
}
