package service

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/instance/settings"
)

// A keptConnection is a caller's connection that stays open between requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to an instance.
func (f *testFleet) dial(index int) *keptConnection {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.instances[index].callers)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &keptConnection{conn, bufio.NewReader(conn)}
}

// deposit sends a request that must not be repeated.
func (c *keptConnection) deposit() (*http.Response, error) {
	const body = `{}`
	_, err := fmt.Fprintf(c, "POST /services/orders/deposits HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer team\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

// depositDuring sends a request, and calls act once it is in progress at the upstream.
func (f *testFleet) depositDuring(act func()) (*http.Response, error) {
	f.t.Helper()
	arrivals := f.deskServer.arrivals.Load()
	conn := f.dial(0)
	var response *http.Response
	group := &errgroup.Group{}
	group.Go(func() (err error) {
		response, err = conn.deposit()
		return err
	})
	f.await("the request is in progress", func() bool { return f.deskServer.arrivals.Load() > arrivals })
	act()
	err := group.Wait()
	return response, err
}

// TestKeptConnectionsAreServedDuringABalancersLag guards against connections that are closed
// at the signal to stop, while a caller sends a request on them.
func TestKeptConnectionsAreServedDuringABalancersLag(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithSettings(t, 1, settings.Settings{BalancerLag: 3000})
	conn := f.dial(0)
	response, err := conn.deposit()
	is.NoErr(err)
	is.Equal(response.Close, false)
	f.instances[0].stop()
	f.await("the instance stops", f.instances[0].stopping.Load)
	time.Sleep(50 * time.Millisecond)
	response, err = conn.deposit()
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
}

// TestAnswersAfterTheSignalCloseTheirConnections guards against a caller that sends its next
// request on a connection that is about to be closed, since the request before came in time.
func TestAnswersAfterTheSignalCloseTheirConnections(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithSettings(t, 1, settings.Settings{BalancerLag: 3000})
	f.deskServer.hang.Store(true)
	response, err := f.depositDuring(func() {
		f.instances[0].stop()
		f.await("the instance stops", f.instances[0].stopping.Load)
		f.deskServer.hang.Store(false)
	})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
}

// TestRequestsInProgressAtTheEndOfTheDrainAreAnswered guards against callers that do not learn
// that their request may have run, since the instance ended before its upstream answered.
func TestRequestsInProgressAtTheEndOfTheDrainAreAnswered(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithSettings(t, 1, settings.Settings{BalancerLag: 10, DrainTimeout: 300})
	f.deskServer.hang.Store(true)
	response, err := f.depositDuring(f.instances[0].stop)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
}
