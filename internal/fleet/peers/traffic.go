package peers

import (
	"net"
	"sync/atomic"
)

// Stats counts the traffic between an instance and its peers since it started.
// The field names are part of the JSON status.
type Stats struct {
	SentBytes     int64
	ReceivedBytes int64
	// Segments is the number of reads and writes. It approximates the number of
	// TCP segments, each of which has a header.
	Segments int64
	// Exchanges is the number of successful Exchange calls made to peers.
	Exchanges int64
}

// countingConn counts the traffic of a connection.
type countingConn struct {
	net.Conn
	counters *trafficCounters
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *trafficCounters
}

// trafficCounters are the counters behind Stats. They are safe for concurrent
// use.
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
