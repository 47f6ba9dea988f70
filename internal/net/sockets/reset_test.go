package sockets

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// connectedPair returns both ends of a TCP connection, of which the near one is a Conn.
func connectedPair(t *testing.T) (near *Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return &Conn{Conn: dialed}, accepted.(*net.TCPConn)
}

// writeUntilFailure writes until that fails.
func writeUntilFailure(conn net.Conn) {
	for {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
}

// TestResetIsNoEnd guards against a reset that looks like the end of the connection, since a
// write has taken its error from the kernel.
func TestResetIsNoEnd(t *testing.T) {
	is := is.New(t)
	near, far := connectedPair(t)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	writeUntilFailure(near)
	data, err := io.ReadAll(near)
	is.Equal(string(data), "part")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestEndDuringAWrite guards against an end that counts as a reset, or is not noticed, since the
// other side has ended its direction and reads nothing more.
func TestEndDuringAWrite(t *testing.T) {
	is := is.New(t)
	near, far := connectedPair(t)
	var writing errgroup.Group
	writing.Go(func() error {
		writeUntilFailure(near)
		return nil
	})
	_, err := io.WriteString(far, "all")
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	data, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(data), "all")
	is.NoErr(writing.Wait())
}
