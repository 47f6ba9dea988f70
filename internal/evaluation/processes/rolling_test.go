package processes

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A persistentCaller sends requests to one instance and keeps its connection as
// long as it stays open. Callers do so when a load balancer does not move their
// connections to other instances.
type persistentCaller struct {
	fleet         *sharedFleet
	instanceIndex int
	client        *http.Client
	outcomes      *outcomes
}

// outcomes collects the results of requests. It is safe for concurrent use.
type outcomes struct {
	served atomic.Int64
	mutex  sync.Mutex
	// answered holds the IDs of the non-idempotent requests that were answered.
	// Each must have run once.
	answered []string
	// notRun holds the IDs of the requests that were refused, or whose
	// connection failed before an answer. None may have run.
	notRun []string
}

func (o *outcomes) recordAnswered(id string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answered = append(o.answered, id)
}

func (o *outcomes) recordNotRun(id string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.notRun = append(o.notRun, id)
}

// run sends requests until done is closed. It returns an error at the first
// answer that is incomplete or wrong.
func (c *persistentCaller) run(done <-chan struct{}) error {
	requests := []struct{ method, path, want string }{
		{http.MethodGet, "/safe/x", "/safe/x for team: "},
		{http.MethodPost, "/unsafe/x", "/unsafe/x for team: "},
		{http.MethodGet, "/stream/x", completeEventStream()},
	}
	for n := 0; ; n++ {
		select {
		case <-done:
			return nil
		default:
		}
		request := requests[n%len(requests)]
		if err := c.call(request.method, request.path, request.want); err != nil {
			return err
		}
	}
}

// call sends a request and records its outcome.
func (c *persistentCaller) call(method, path, want string) error {
	request := c.fleet.newRequest(c.instanceIndex, method, path, validKey)
	id := request.Header.Get("X-Attempt-Id")
	response, err := c.client.Do(request)
	if err != nil {
		// The instance is stopped, or it closed the connection as the request
		// was sent.
		c.outcomes.recordNotRun(id)
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return fmt.Errorf("%s %s was cut after %d bytes: %w", method, path, len(body), err)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Server-Stamp") == "":
		c.outcomes.recordNotRun(id)
	case response.StatusCode != http.StatusOK || string(body) != want:
		return fmt.Errorf("%s %s: status %d, body %q", method, path, response.StatusCode, body)
	default:
		c.outcomes.served.Add(1)
		if method == http.MethodPost {
			c.outcomes.recordAnswered(id)
		}
	}
	return nil
}

// startCallers starts callers that send requests to each instance, and returns their outcomes
// and a function that stops them and returns the first wrong answer.
func (f *sharedFleet) startCallers(perInstance int) (results []*outcomes, stop func() error) {
	done := make(chan struct{})
	group := newGroup()
	for n := range f.instances {
		results = append(results, &outcomes{})
		for range perInstance {
			c := &persistentCaller{f, n, &http.Client{Transport: &http.Transport{}}, results[n]}
			group.Go(func() error { return c.run(done) })
		}
	}
	return results, func() error {
		close(done)
		return group.Wait()
	}
}

// assertExecutions checks that answered requests have run once and the others have not.
func (f *sharedFleet) assertExecutions(results []*outcomes) {
	f.t.Helper()
	is := is.New(f.t)
	executions := f.executionCounts()
	for _, o := range results {
		for _, id := range o.answered {
			is.Equal(executions[id], 1)
		}
		for _, id := range o.notRun {
			is.Equal(executions[id], 0)
		}
	}
}

// completeEventStream returns the body of a complete answer of the streaming
// route.
func completeEventStream() string {
	var text strings.Builder
	for i := 1; i <= 8; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// TestRollingRestart guards against requests that a rolling restart interrupts
// or runs twice. Each instance is stopped in turn while callers keep sending on
// their open connections until the process has exited. Answers must be
// complete, and refused requests must not have run.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	const instances, callersPerInstance = 3, 4
	f := newSharedFleet(t, instances, instances)
	results, stop := f.startCallers(callersPerInstance)
	is := is.New(t)
	for n := range instances {
		servedBefore := results[n].served.Load()
		f.await(fmt.Sprintf("traffic flows at router %d", n), func() bool { return results[n].served.Load() > servedBefore+20 })
		is.Equal(f.instances[n].stop(), 0)
		f.instances[n] = f.startSharedInstance(n, false)
		servedBefore = results[n].served.Load()
		f.await(fmt.Sprintf("router %d serves again", n), func() bool { return results[n].served.Load() > servedBefore+20 })
	}
	is.NoErr(stop())
	f.assertExecutions(results)
}

// TestRecoveryAfterAllInstancesAreKilled guards against a fleet that does not
// recover when all instances are killed at once, or that accepts a key which
// was revoked while no instance was running. No running peer has the
// configuration, so the instances start from the store alone.
func TestRecoveryAfterAllInstancesAreKilled(t *testing.T) {
	t.Parallel()
	const instances = 3
	f := newSharedFleet(t, instances, instances)
	for _, i := range f.instances {
		i.kill()
	}
	f.putConfiguration(validKey)
	for n := range instances {
		f.instances[n] = f.startSharedInstance(n, false)
	}
	for n := range instances {
		f.await(fmt.Sprintf("router %d serves again", n), func() bool {
			return f.callStatus(n, http.MethodPost, "/unsafe/x", validKey) == http.StatusOK
		})
		is.New(t).Equal(f.callStatus(n, http.MethodGet, "/safe/x", revocableKey), http.StatusUnauthorized)
	}
}
