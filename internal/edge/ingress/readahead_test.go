package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/net/budget"
)

// deadlineRecorder is a response whose write deadline can be set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestSlowReaders guards against an upstream that is not read while a caller takes its time,
// and cuts its answer off, and against a caller that takes nothing and holds more than its
// bound or the process's.
func TestSlowReaders(t *testing.T) {
	const eventBytes = 1 << 10
	// play lets the upstream send events while the first is written for a second, and
	// returns how many the upstream has got rid of, those that the caller then gets, the
	// error that follows, and whether the caller's connection was cut off.
	play := func(t *testing.T, bytes int64, events int) (sent, got int, err error, cut bool) {
		t.Helper()
		upstream, sender := io.Pipe()
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		x := &exchange{controller: http.NewResponseController(recorder)}
		x.answerClaim.Init(budget.New(bytes), 0)
		r := &eventReader{exchange: x, reader: bufio.NewReader(upstream), onRead: func(time.Time) {}, onEnd: func() {}}
		var group errgroup.Group
		group.Go(func() error {
			for n := range events {
				if _, err := fmt.Fprintf(sender, "id: %d\ndata: %s\n\n", n+1, strings.Repeat(".", eventBytes)); err != nil {
					return err
				}
				sent++
			}
			return sender.Close()
		})
		first, err := r.next()
		is.New(t).NoErr(err)
		is.New(t).Equal(first.id, "1")
		r.beginWrite()
		time.Sleep(time.Second)
		synctest.Wait()
		sentMeanwhile := sent
		r.endWrite()
		r.release(first)
		got = 1
		for {
			e, err := r.next()
			if err != nil {
				r.stop(func() { _ = upstream.Close() })
				_ = upstream.Close()
				x.answerClaim.Release()
				return sentMeanwhile, got, err, recorder.deadline.Equal(past)
			}
			got++
			is.New(t).Equal(e.id, strconv.Itoa(got))
			r.beginWrite()
			r.endWrite()
			r.release(e)
		}
	}
	t.Run("the upstream is read on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const events = maxUnreadBytes / eventBytes * 3 / 4
			sent, got, err, cut := play(t, 1<<20, events)
			is.New(t).True(errors.Is(err, io.EOF))
			is.New(t).Equal([]int{sent, got}, []int{events, events})
			is.New(t).True(!cut)
		})
	})
	for name, bytes := range map[string]int64{"beyond the bound of a connection": 1 << 20, "beyond that of the process": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, got, err, cut := play(t, bytes, 2*maxUnreadBytes/eventBytes)
				is.New(t).True(errors.Is(err, errCallerSlow))
				is.New(t).True(got > 50 && got <= sent && sent < maxUnreadBytes/eventBytes+10)
				is.New(t).True(cut)
			})
		})
	}
}

// stuckRecorder is a response whose first write takes a time.
type stuckRecorder struct {
	*deadlineRecorder
	wait time.Duration
}

// Write implements http.ResponseWriter.
func (s *stuckRecorder) Write(p []byte) (int, error) {
	time.Sleep(s.wait)
	s.wait = 0
	return s.deadlineRecorder.Write(p)
}

// startSlowRelay relays a stream to a caller that takes the first event only after a time. It
// returns the dispatcher, the task, the call, the upstream's end of the stream and the result.
func startSlowRelay(t *testing.T, wait time.Duration) (*dispatch.Dispatcher, *dispatch.Task, *dispatch.Call, *io.PipeWriter, <-chan dispatch.Result) {
	t.Helper()
	is := is.New(t)
	d := dispatch.New("here", dispatch.Limits{}, rand.New(rand.NewPCG(1, 2)))
	route := &catalog.Route{Name: "stream", Kind: catalog.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 1, Split: []catalog.Share{{Service: "s", Weight: 1}}}
	d.SetUpstreams(time.Now(), []catalog.Upstream{{ID: "u", Service: "s", Address: "a", Version: "v1", Slots: 1, Ready: true}})
	task, fault := d.Admit(time.Now(), dispatch.Request{ID: "r", Route: route, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute)})
	is.True(fault == nil)
	call, fault := d.NextCall(time.Now(), task)
	is.True(fault == nil)
	writer := &stuckRecorder{&deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}, wait}
	ctx, cancel := context.WithCancelCause(t.Context())
	x := &exchange{
		server: &Server{Dispatcher: d, SinceShutdown: func() time.Duration { return 0 }},
		writer: writer, controller: http.NewResponseController(writer), route: route, task: task,
		request: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody),
	}
	upstream, sender := io.Pipe()
	result := make(chan dispatch.Result, 1)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel(nil)
		defer func() { _ = upstream.Close() }()
		r, _, _ := x.relayStream(ctx, cancel, call, &forward.Response{Status: http.StatusOK, Header: http.Header{}, Body: upstream})
		result <- r
		return nil
	})
	return d, task, call, sender, result
}

// TestUpstreamThatIsReadOnIsAlive guards against an upstream that counts as silent while a caller
// does not take its events.
func TestUpstreamThatIsReadOnIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const events = 5
		d, task, call, sender, result := startSlowRelay(t, (events+1)*time.Second)
		for n := range events {
			_, err := fmt.Fprintf(sender, "id: %d\ndata: x\n\n", n+1)
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		is.True(d.ExtendStart(time.Now(), task, call) > 0)
		is.NoErr(sender.Close())
		is.Equal(<-result, dispatch.Served)
	})
}

// TestBrokenStreamOfASlowCallerIsNotTimedOut guards against a crash of an upstream that is taken
// for a silent upstream, since the caller takes the events before it slowly.
func TestBrokenStreamOfASlowCallerIsNotTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, _, sender, result := startSlowRelay(t, 2*minStreamIdleTimeout)
		_, err := fmt.Fprint(sender, "id: 1\ndata: x\n\n")
		is.NoErr(err)
		time.Sleep(2 * readAheadDelay)
		is.NoErr(sender.CloseWithError(io.ErrUnexpectedEOF))
		is.Equal(<-result, dispatch.Broken)
	})
}
