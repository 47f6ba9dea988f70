package http1

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// receivedConn is a connection that has received some bytes and was then closed.
type receivedConn struct {
	net.Conn
	received *bytes.Reader
}

func (c receivedConn) Read(buffer []byte) (int, error) { return c.received.Read(buffer) }

// FuzzHeads guards against an answer that net/http returns though its status or one of its
// fields is malformed.
func FuzzHeads(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 000 OK\n\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 +20\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A : b\r\n c\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\tX: y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		conn := &checkedConn{Conn: receivedConn{received: bytes.NewReader(received)}}
		conn.expectHead()
		reader := bufio.NewReader(conn)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if response.StatusCode < 100 || response.StatusCode > 599 {
				t.Errorf("status %q", response.Status)
			}
			for name := range response.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Errorf("field %q", name)
				}
			}
			if response.StatusCode >= 200 {
				return
			}
		}
	})
}
