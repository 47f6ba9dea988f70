package peers

import (
	"net"
	"sync/atomic"
)

// Stats counts what an instance has sent to and received from its peers.
type Stats struct {
	SentBytes     int64
	ReceivedBytes int64
	// Segments is the number of writes and reads, each of which stands for a
	// segment on the wire with a header of its own.
	Segments  int64
	Exchanges int64
}

type countingConn struct {
	net.Conn
	counters *trafficCounters
}

type countingListener struct {
	net.Listener
	counters *trafficCounters
}

type trafficCounters struct {
	sentBytes, receivedBytes, segments, exchanges atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, counters: l.counters}, nil
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.receivedBytes.Add(int64(n))
	c.counters.segments.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.sentBytes.Add(int64(n))
	c.counters.segments.Add(1)
	return n, err
}

func (t *trafficCounters) stats() Stats {
	return Stats{
		SentBytes:     t.sentBytes.Load(),
		ReceivedBytes: t.receivedBytes.Load(),
		Segments:      t.segments.Load(),
		Exchanges:     t.exchanges.Load(),
	}
}
