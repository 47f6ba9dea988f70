package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestRequestsInProgressAtTheEndOfTheDrainAreAnswered guards against callers that do not learn
// that their request may have run, since the instance ended before its upstream answered.
func TestRequestsInProgressAtTheEndOfTheDrainAreAnswered(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 1)
	f.setFaults(0, `{"work_ms":4000}`)
	start := time.Now()
	var response *http.Response
	group := &errgroup.Group{}
	group.Go(func() (err error) {
		response, err = f.send(0, "POST", "/unsafe/x")
		return err
	})
	f.await("the request is in progress", func() bool { return f.standIns[0].ArrivalsSince(start) > 0 })
	f.instances[0].stop()
	is.NoErr(group.Wait())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.True(strings.Contains(string(body), `"run":"unknown"`))
}
