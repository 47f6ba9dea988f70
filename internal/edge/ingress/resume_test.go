package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestStreamResume breaks streams after any number of events, between two
// events or within one. The caller must get each event once and in order, and
// an incomplete response must not look complete.
func TestStreamResume(t *testing.T) {
	const eventCount = 9
	var (
		// breaks holds one number for each call whose stream breaks. Half of it,
		// rounded down, is the number of complete events that the call sends. If
		// it is odd, a part of another event follows.
		breaks atomic.Pointer[[]int]
		calls  atomic.Int64
	)
	upstream := func(w http.ResponseWriter, r *http.Request) {
		plan := *breaks.Load()
		call := int(calls.Add(1)) - 1
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		startEvents(w, r, "x")
		end := eventCount
		if call < len(plan) {
			end = min(eventCount, from+plan[call]/2)
		}
		if end > from {
			sendEvents(w, from+1, end)
		}
		if call >= len(plan) {
			return
		}
		if plan[call]%2 == 1 && end < eventCount {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pi", end+1)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
	ti := newTestIngress(t, upstream, upstream, upstream)
	// An answer after a break shows that the request, which is repeated below, is sound.
	breaks.Store(&[]int{0})
	if _, body, err := ti.get(t, "/stream/x"); err != nil || strings.Count(body, "id: ") != eventCount {
		t.Fatalf("a stream that broke once was not resumed: %q, %v", body, err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, 12), 0, 4).Draw(rt, "breaks")
		breaks.Store(&plan)
		calls.Store(0)
		_, body, err := ti.get(t, "/stream/x")
		var want strings.Builder
		count := strings.Count(body, "id: ")
		for i := 1; i <= count; i++ {
			_, _ = fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
		}
		switch {
		case int(calls.Load()) > 3:
			rt.Fatalf("%d calls, the route allows 3", calls.Load())
		case err == nil && count == 0 && len(plan) > 2:
			// The request failed before the first event.
		case body != want.String() && count > 0:
			rt.Fatalf("the caller got %q", body)
		case err == nil && count > 0 && count < eventCount:
			rt.Fatalf("%d of %d events look complete", count, eventCount)
		case len(plan) < 3 && count != eventCount:
			rt.Fatalf("%d of %d events though an upstream could resume the stream", count, eventCount)
		}
	})
}
