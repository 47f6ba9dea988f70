package budget

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Connections bounds the connections of a server and what their heads hold. Its
// exported fields must be set before Attach is called.
type Connections struct {
	// Limit is the number of connections, zero for no bound.
	Limit int
	// Budget is what heads beyond headFloor count on. It may be nil.
	Budget *Budget
	// HeadTimeout returns how long the head of a request may take from its first byte,
	// zero for the server's own timeout. It may be nil.
	HeadTimeout func() time.Duration
	// SendBuffer is the size to which the kernel's buffer of unread answers is bounded, zero
	// for the kernel's own bound.
	SendBuffer int

	mutex sync.Mutex
	conns map[*Conn]struct{}
	// refused and evicted count connections since the start.
	refused, evicted int64
}

// A Conn is a connection of a caller. A nil Conn has no bound.
type Conn struct {
	net.Conn
	connections *Connections
	phase       atomic.Int32
	// since is when the phase began. It is guarded by the mutex of the connections.
	since time.Time

	// head is what the head of the request holds. It is released with the request.
	head Claim
	// evictHead closes the connection of a head that has lost its place.
	evictHead func()
	// headDeadline is the deadline of a head that has begun, zero before, in
	// nanoseconds since 1970.
	headDeadline atomic.Int64
}

// Phases of a connection, in the order in which they are closed for want of room.
const (
	// phaseIdle is that of a connection that waits for its next request.
	phaseIdle int32 = iota
	// phaseHead is that of a connection on which no whole head has come yet.
	phaseHead
	// phaseBody is that of a request that is being read.
	phaseBody
	// phasePassed is that of a request which may have been passed on. Its connection
	// is never closed.
	phasePassed
	// phaseClosed is that of a connection that was closed for want of room.
	phaseClosed
)

const (
	// headFloor is what every head may hold outside of the budget. It is that of a head of 3 kB
	// in 30 fields.
	headFloor = 16 << 10
	// headBytesCost and headLineCost are what a head takes for each byte and line: the
	// strings and the map of its fields, of which some may wait for the garbage
	// collector. A head of fields of a few bytes takes 25 times its size.
	headBytesCost = 3
	headLineCost  = 200
	// headPatience is how long a head may stall while others need its place.
	headPatience = 250 * time.Millisecond
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Attach makes a server, which must not serve yet, follow the connections of the
// listeners that Listener returns.
func (s *Connections) Attach(server *http.Server) {
	s.conns = map[*Conn]struct{}{}
	server.ConnState = s.setState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if c := ConnOf(request); c != nil && (c.head.Keep() != nil || !c.enter(phaseBody)) {
			// The connection was closed for want of room, so the request must not run.
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, request)
	})
}

// Listener returns a listener whose connections are bounded.
func (s *Connections) Listener(listener net.Listener) net.Listener {
	return boundedListener{listener, s}
}

// ConnOf returns the connection of a request, nil if its server has none.
func ConnOf(request *http.Request) *Conn {
	conn, _ := request.Context().Value(connKey{}).(*Conn)
	return conn
}

// Pass records that the request is about to be passed on. From then on its connection is
// not closed for want of room. Pass returns ErrEvicted if it has been closed.
func (c *Conn) Pass() error {
	if c == nil || c.enter(phasePassed) {
		return nil
	}
	return ErrEvicted
}

// Counts returns the number of connections now, and of those that were refused and closed
// for want of room since the start.
func (s *Connections) Counts() (open int, refused, evicted int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns), s.refused, s.evicted
}

// boundedListener accepts connections within the bound.
type boundedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.connections.add(conn, time.Now()); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// add returns the connection with its bounds, or nil if there is no room for it.
func (s *Connections) add(conn net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: conn, connections: s, since: now}
	c.phase.Store(phaseHead)
	c.head.Init(s.Budget, headFloor)
	c.evictHead = func() { _ = conn.Close() }
	s.mutex.Lock()
	var victim *Conn
	if s.Limit > 0 && len(s.conns) >= s.Limit {
		if victim = s.findVictim(now); victim == nil {
			s.refused++
			s.mutex.Unlock()
			return nil
		}
		s.evicted++
		victim.phase.Store(phaseClosed)
		delete(s.conns, victim)
	}
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	if tcp, ok := conn.(*net.TCPConn); ok && s.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(s.SendBuffer)
	}
	return c
}

// findVictim returns the connection to close for another one: the one that has been
// idle longest, else the one with the oldest head or body that is not whole. The
// caller holds the mutex.
func (s *Connections) findVictim(now time.Time) *Conn {
	var victim *Conn
	for c := range s.conns {
		phase := c.phase.Load()
		switch age := now.Sub(c.since); {
		case phase >= phasePassed, phase == phaseHead && age < headPatience, phase == phaseBody && age < BodyPatience:
			continue
		}
		if victim == nil || phase < victim.phase.Load() || phase == victim.phase.Load() && c.since.Before(victim.since) {
			victim = c
		}
	}
	return victim
}

// setState follows the states that net/http gives to a connection. After its first request,
// a connection is idle until the next head begins.
func (s *Connections) setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.head.Release()
		c.headDeadline.Store(0)
		c.enter(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		s.mutex.Lock()
		delete(s.conns, c)
		s.mutex.Unlock()
		c.head.Release()
	}
}

// enter changes the phase, and reports whether the connection is still open.
func (c *Conn) enter(phase int32) bool {
	if c == nil {
		return true
	}
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	if c.phase.Load() == phaseClosed {
		return false
	}
	c.phase.Store(phase)
	c.since = time.Now()
	return true
}

// Read implements net.Conn. While a head is read, it counts what the head takes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.phase.Load() {
	case phaseIdle:
		c.enter(phaseHead)
	case phaseHead:
	default:
		return n, err
	}
	if c.headDeadline.Load() == 0 {
		c.beginHead()
	}
	cost := headBytesCost*int64(n) + headLineCost*int64(bytes.Count(p[:n], []byte{'\n'}))
	if c.head.Grow(cost) != nil {
		// The head cannot be answered before it was read.
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// beginHead bounds the time of a head that has begun.
func (c *Conn) beginHead() {
	now := time.Now()
	c.head.Watch(now, headPatience, c.evictHead)
	deadline := now.Add(time.Hour)
	if c.connections.HeadTimeout != nil {
		if timeout := c.connections.HeadTimeout(); timeout > 0 {
			deadline = now.Add(timeout)
			_ = c.Conn.SetReadDeadline(deadline)
		}
	}
	c.headDeadline.Store(deadline.UnixNano())
}

// CloseWrite lets net/http end its side of a connection first, so that an answer is not
// lost by the reset for bytes that were not read.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. net/http sets a deadline of its own when a head has
// begun on a connection that was idle.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if begun := c.headDeadline.Load(); begun != 0 && c.phase.Load() == phaseHead && !t.IsZero() && t.UnixNano() > begun {
		t = time.Unix(0, begun)
	}
	return c.Conn.SetReadDeadline(t)
}
