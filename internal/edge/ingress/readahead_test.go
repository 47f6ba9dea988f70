package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
		r := &eventReader{exchange: x, reader: bufio.NewReader(upstream), onRead: func() {}}
		go func() {
			for n := range events {
				if _, err := fmt.Fprintf(sender, "id: %d\ndata: %s\n\n", n+1, strings.Repeat(".", eventBytes)); err != nil {
					return
				}
				sent++
			}
			_ = sender.Close()
		}()
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
