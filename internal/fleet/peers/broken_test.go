package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/standin/httpserver"
)

// TestMalformedAnswersThroughPeers guards against a peer whose relay hides a fault in the head of
// an upstream's answer.
func TestMalformedAnswersThroughPeers(t *testing.T) {
	t.Parallel()
	p := newRelayPair(t, nil)
	client := forward.New(func(ctx context.Context, _, address string) (net.Conn, error) {
		return p.from.node.DialThrough(ctx, p.through.node.Self.ID, address)
	})
	send := func(t *testing.T, answer string) error {
		t.Helper()
		group := newTestGroup(t, func() {})
		group.Go(func() error {
			conn := <-p.upstream
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return err
			}
			_, err := io.WriteString(conn, answer)
			return err
		})
		response, err := client.Send(t.Context(), forward.Request{Address: p.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		is.New(t).NoErr(group.Wait())
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	is.New(t).NoErr(send(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Field: value\r\n", "HTTP/1.1 200 OK\r\nX-Field: value\r\n folded\r\n"} {
		t.Run(head, func(t *testing.T) {
			is.New(t).True(send(t, head+"Content-Length: 4\r\n\r\nbody") != nil)
		})
	}
}

// TestPeersWithoutEndAreBounded guards against a process at a peer's address that sends bytes
// without end, which an instance keeps in its memory.
func TestPeersWithoutEndAreBounded(t *testing.T) {
	t.Parallel()
	// maxTaken is twice DRPC's bound on a message, as its buffer grows by doubling.
	const maxTaken = 8 << 20
	served := newPeers(t, 1)[0]
	dialServed := func() (conn net.Conn, err error) {
		await(t, "the peer listens", func() bool {
			conn, err = net.Dial("tcp", served.node.Self.Address)
			return err == nil
		})
		return conn, err
	}
	for name, sent := range map[string]struct{ head, piece string }{
		"bytes that are no message": {"", "x"},
		"zeros":                     {"", "\x00"},
		// A frame of a message with a length of 2^35 - 1, and frames of a message that
		// has no last one.
		"a frame":  {"\x06\x01\x01\xff\xff\xff\xff\x7f", "x"},
		"frames":   {"", "\x06\x01\x01\x40" + strings.Repeat("x", 0x40)},
		"messages": {"", "\x07\x01\x01\x40" + strings.Repeat("x", 0x40)},
	} {
		t.Run("a call to a peer receives "+name, func(t *testing.T) {
			is := is.New(t)
			endless := &httpserver.Endless{Head: sent.head, Piece: sent.piece}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			group := newTestGroup(t, func() { _ = listener.Close() })
			group.Go(func() error {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return nil
					}
					endless.SendTo(conn)
					_ = conn.Close()
				}
			})
			var counters trafficCounters
			c := &client{address: listener.Addr().String(), encoding: macEncoding{key: func() []byte { return []byte("key") }}, counters: &counters}
			start := time.Now()
			is.True(c.call(t.Context(), rpcConfig, &emptyMessage{}, &configMessage{}) != nil)
			c.close()
			is.True(time.Since(start) < 2*callTimeout)
			is.True(counters.receivedBytes.Load() <= maxTaken)
		})
		t.Run("a peer receives "+name, func(t *testing.T) {
			is := is.New(t)
			endless := &httpserver.Endless{Head: sent.head, Piece: sent.piece}
			conn, err := dialServed()
			is.NoErr(err)
			defer conn.Close()
			// The peer may stop reading and leave the connection open.
			is.NoErr(conn.SetDeadline(time.Now().Add(callTimeout)))
			before := served.node.counters.receivedBytes.Load()
			endless.SendTo(conn)
			is.True(served.node.counters.receivedBytes.Load()-before <= maxTaken)
		})
	}
}
