package sockets

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestUserTimeoutAllowsAllProbes guards against a user timeout that closes connections
// before all keep-alive probes are lost, or long after: where it is set, it decides when
// probing ends, whatever the number of probes.
func TestUserTimeoutAllowsAllProbes(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			userTimeout := time.Duration(socketOption(t, conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond
			idle, interval := socketOption(t, conn, unix.TCP_KEEPIDLE), socketOption(t, conn, unix.TCP_KEEPINTVL)
			probes := socketOption(t, conn, unix.TCP_KEEPCNT)
			is.True(probes > 1)
			is.Equal(userTimeout, time.Duration(idle+probes*interval)*time.Second)
		})
	}
}

func socketOption(t *testing.T, conn net.Conn, option int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
