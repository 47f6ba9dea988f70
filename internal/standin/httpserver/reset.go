package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ResetAfter returns a handler that writes some bytes in place of a response and resets the
// connection, without reading the body of the request.
func ResetAfter(sent string) http.HandlerFunc {
	return TakeOver(func(conn net.Conn) {
		_, _ = io.WriteString(conn, sent)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
}

// A WriteFirstConn is the client's end of a connection that is reset while the request is
// written and after a part of the answer. A write gets the error of the reset, and returns it
// only once a read has seen the end of the data. Otherwise the order of the two is left to
// chance.
type WriteFirstConn struct {
	net.Conn

	init sync.Once
	// answered, failed and ended are closed after the first read, the first failed write
	// and the end of the data. closed is closed by Close.
	answered, failed, ended, closed signal
	// begun is true after the first write.
	begun bool
}

// DialWriteFirst connects to an address with a WriteFirstConn.
func DialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &WriteFirstConn{Conn: conn}, nil
}

// signal is a channel that may be closed more than once.
type signal struct {
	once    sync.Once
	channel chan struct{}
}

func (s *signal) close() { s.once.Do(func() { close(s.channel) }) }

// maxOrderWait bounds the waits of a WriteFirstConn.
const maxOrderWait = 2 * time.Second

// Read implements net.Conn.
func (c *WriteFirstConn) Read(buffer []byte) (int, error) {
	c.makeSignals()
	select {
	case <-c.answered.channel:
		c.await(&c.failed)
	default:
	}
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.answered.close()
	}
	if err != nil {
		c.ended.close()
	}
	return count, err
}

// Write implements net.Conn. It writes again and again until the reset has arrived, but for the
// first time.
func (c *WriteFirstConn) Write(data []byte) (int, error) {
	c.makeSignals()
	if !c.begun {
		c.begun = true
		return c.Conn.Write(data)
	}
	c.await(&c.answered)
	for start := time.Now(); time.Since(start) < maxOrderWait; time.Sleep(time.Millisecond) {
		if count, err := c.Conn.Write(data); err != nil {
			c.failed.close()
			c.await(&c.ended)
			return count, err
		}
	}
	return len(data), nil
}

// Close implements net.Conn.
func (c *WriteFirstConn) Close() error {
	c.makeSignals()
	c.closed.close()
	return c.Conn.Close()
}

func (c *WriteFirstConn) makeSignals() {
	c.init.Do(func() {
		for _, s := range []*signal{&c.answered, &c.failed, &c.ended, &c.closed} {
			s.channel = make(chan struct{})
		}
	})
}

func (c *WriteFirstConn) await(s *signal) {
	timer := time.NewTimer(maxOrderWait)
	defer timer.Stop()
	select {
	case <-s.channel:
	case <-c.closed.channel:
	case <-timer.C:
	}
}
