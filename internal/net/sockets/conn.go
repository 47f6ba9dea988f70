package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// A Conn is a connection whose reads tell its reset from its end also while something is
// written. The kernel reports a reset once: if a write gets the error, reads see the end of
// the data.
type Conn struct {
	net.Conn

	// writing is held during a write, and guards broken.
	writing sync.Mutex
	// broken is true once a write has failed for another reason than its deadline.
	broken bool
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.broken = true
	}
	return count, err
}

// Read implements net.Conn. It returns io.ErrUnexpectedEOF in place of io.EOF once a write has
// failed. After io.EOF, nothing more can be written.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && c.endWrites() {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// endWrites lets all further writes fail, and reports whether one has failed before. It does not
// wait for the other side: a write in progress has either met the reset or is ended by the deadline.
func (c *Conn) endWrites() (failed bool) {
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}
