package connect

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/links"
	"mimosayard/internal/core/tables"
)

// An Admission asks the instance that admits the calls to an upstream for room for one call.
type Admission struct {
	// Owner is that instance, empty for this one.
	Owner tables.InstanceID
	// Wait bounds the wait for room.
	Wait time.Duration

	mutex sync.Mutex
	// release gives up the room that this instance has given, nil if it has not.
	release func()
	ended   bool
}

// Errors of calls that were not admitted. The upstream has received nothing.
var (
	// ErrNoRoom is returned if there was no room in time.
	ErrNoRoom = errors.New("the upstream has no room in time")
	// ErrOwnerLost is returned if the instance that admits the calls could not be reached.
	ErrOwnerLost = errors.New("the instance that admits the calls could not be reached")
	// ErrOwnerLate is the ErrNoRoom of a call to which the instance that admits the calls did
	// not answer in time.
	ErrOwnerLate = fmt.Errorf("the instance that admits the calls did not answer in time: %w", ErrNoRoom)
)

type admissionKey struct{}

// WithAdmission returns a context in which DialContext connects only once there is room.
func WithAdmission(ctx context.Context, a *Admission) context.Context {
	return context.WithValue(ctx, admissionKey{}, a)
}

// End gives up the room of a call of this instance. It is called once the outcome of the call
// is recorded, since the next call must not be sent before a rejection is known.
func (a *Admission) End() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	if a.release != nil {
		a.release()
	}
}

// hold keeps the room of a call until its end, which may be over already.
func (a *Admission) hold(release func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		release()
		return
	}
	a.release = release
}

// admitted connects to an upstream once there is room for one more call.
func (d *Dialer) admitted(ctx context.Context, network, address string, a *Admission) (net.Conn, error) {
	if a.Owner == "" {
		release := d.awaitRoom(ctx, address, a.Wait)
		if release == nil {
			return nil, trace.Wrap(ErrNoRoom)
		}
		a.hold(release)
		return d.dial(ctx, network, address)
	}
	conn, err := d.ThroughOwner(ctx, a.Owner, address, a.Wait)
	switch {
	case err == nil:
		return &peerConn{Conn: conn, peer: a.Owner, closed: func() {}}, nil
	case ctx.Err() != nil, errors.Is(err, ErrNoRoom), errors.Is(err, links.ErrUnreachable):
		return nil, trace.Wrap(err)
	}
	return nil, trace.Wrap(errors.Join(ErrOwnerLost, err))
}

// DialAdmitted connects to an upstream for a peer like DialForPeer, once this instance, which
// admits the calls to the upstream, has room for one more. The room is given up when the
// connection is closed.
func (d *Dialer) DialAdmitted(ctx context.Context, address string, wait time.Duration) (net.Conn, error) {
	release := d.awaitRoom(ctx, address, wait)
	if release == nil {
		return nil, trace.Wrap(ErrNoRoom)
	}
	conn, err := d.DialForPeer(ctx, address)
	if err != nil {
		release()
		return nil, trace.Wrap(err)
	}
	return &admittedConn{Conn: conn, release: sync.OnceFunc(release)}, nil
}

// ReportRejection tells the instance that admitted a call that the upstream has rejected it. It
// does not wait.
func (d *Dialer) ReportRejection(owner tables.InstanceID, address string) {
	d.reports.Go(func() error {
		d.SendRejection(context.Background(), owner, address)
		return nil
	})
}

// awaitRoom returns once there is room, with a function that gives it up, or nil if there is
// none within the wait.
func (d *Dialer) awaitRoom(ctx context.Context, address string, wait time.Duration) (release func()) {
	if d.AcquireRoom == nil {
		return nil
	}
	opened := make(chan struct{})
	release = d.AcquireRoom(address, wait, func() { close(opened) })
	if release == nil {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-opened:
		return release
	case <-timer.C:
	case <-ctx.Done():
	}
	release()
	return nil
}

// admittedConn is a connection for a peer for which room was given.
type admittedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *admittedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
