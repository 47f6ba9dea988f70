package sharedplatform

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mimosayard/internal/standin/httpserver"
)

// Upstream is a stand-in for a server of the shared platform. It streams events
// for paths below /stream/ and sends a single response for all other paths. Its
// exported fields must be set before Handler is called.
type Upstream struct {
	// ID is the server's ID in the store. A request that expects another ID
	// gets status 421.
	ID string
	// EventsPerStream is the number of events in a stream.
	EventsPerStream int
	// EventInterval is the pause after each event of a stream.
	EventInterval time.Duration

	mutex sync.Mutex
	// runsByAttempt counts how often each attempt ID was executed.
	runsByAttempt map[string]int
	// arrivals are the times at which requests arrived, oldest first.
	arrivals []time.Time
	// rejections are the times of the requests that were rejected for want of a slot.
	rejections []time.Time
	running    int
	faults     upstreamFaults
}

// upstreamFaults are the faults that PUT /admin/faults injects. Each PUT
// replaces all of them.
type upstreamFaults struct {
	// Full answers with status 503 and X-Not-Executed, without executing the
	// request.
	Full bool `json:"full"`
	// BreakAfterEvents is the ID of the last event that a stream sends whole.
	// The connection is closed within the next event. Zero means never.
	BreakAfterEvents int `json:"break_after"`
	// DropResponses executes requests and closes the connection before the
	// response.
	DropResponses bool `json:"lose_answers"`
	// Limit is the number of requests a second that the server names as its limit in
	// each response, nil for none. It does not reject those beyond it.
	Limit *float64 `json:"limit"`
	// Slots is the number of requests that the server runs at once, WorkMs how long each
	// runs. It rejects the others. Zero means any number, which run at once.
	Slots  int `json:"slots"`
	WorkMs int `json:"work_ms"`
	// Brittle is the number of rejections in a second that the server says it tolerates, zero
	// if it says nothing.
	Brittle int `json:"brittle"`
	// AnswerBytes and EventBytes are appended to responses and to events for paths with
	// "/large".
	AnswerBytes int `json:"answer_bytes"`
	EventBytes  int `json:"event_bytes"`
}

// ArrivalsSince returns the number of requests that have arrived since a time.
func (u *Upstream) ArrivalsSince(start time.Time) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	first := sort.Search(len(u.arrivals), func(n int) bool { return !u.arrivals[n].Before(start) })
	return len(u.arrivals) - first
}

// MostRejections returns the largest number of requests that were rejected for want of a slot in
// a second after a time.
func (u *Upstream) MostRejections(start time.Time) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	first := sort.Search(len(u.rejections), func(n int) bool { return !u.rejections[n].Before(start) })
	most := 0
	for n := first; n < len(u.rejections); n++ {
		for u.rejections[n].Sub(u.rejections[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// occupySlot takes a slot, and reports whether there was one.
func (u *Upstream) occupySlot() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.faults.Slots > 0 && u.running >= u.faults.Slots {
		u.rejections = append(u.rejections, time.Now())
		return false
	}
	u.running++
	return true
}

func (u *Upstream) freeSlot() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
}

// Handler returns the HTTP interface of the server and the /admin routes that
// inject faults and count executions. It resets the counts.
func (u *Upstream) Handler() http.Handler {
	u.runsByAttempt = map[string]int{}
	routes := mux.NewRouter().SkipClean(true)
	routes.HandleFunc("/admin/faults", u.putFaults).Methods(http.MethodPut)
	routes.HandleFunc("/admin/runs", u.getRuns).Methods(http.MethodGet)
	routes.NotFoundHandler = http.HandlerFunc(u.serve)
	return routes
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := httpserver.Decode[upstreamFaults](w, r)
	if !ok {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.faults = faults
}

func (u *Upstream) getRuns(w http.ResponseWriter, _ *http.Request) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	writeJSON(w, http.StatusOK, u.runsByAttempt)
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mutex.Lock()
	faults := u.faults
	u.arrivals = append(u.arrivals, time.Now())
	u.mutex.Unlock()
	if faults.Limit != nil {
		w.Header().Set("Server-Limit", strconv.FormatFloat(*faults.Limit, 'g', -1, 64))
	}
	if faults.Brittle > 0 {
		w.Header().Set("Server-Brittle", strconv.Itoa(faults.Brittle))
	}
	attemptID := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attemptID)
	switch {
	case r.Header.Get("X-Expect-Instance") != u.ID:
		w.Header().Set("X-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Full, !u.occupySlot():
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.WorkMs) * time.Millisecond)
	u.freeSlot()
	u.mutex.Lock()
	u.runsByAttempt[attemptID]++
	u.mutex.Unlock()
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", u.ID)
	w.Header().Set("X-Server-Load", "1,0,8")
	if len(r.URL.Path) > 8 && r.URL.Path[:8] == "/stream/" {
		u.stream(w, r, faults)
		return
	}
	if !strings.Contains(r.URL.Path, "/large") {
		faults.AnswerBytes = 0
	}
	_, _ = fmt.Fprintf(w, "%s for %s: %s%s", r.URL.Path, r.Header.Get("X-Tenant"), body, strings.Repeat(" ", faults.AnswerBytes))
}

// stream sends the events after the one that Last-Event-Id names.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, faults upstreamFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("X-Model") != "" {
		w.Header().Set("X-Confidence", "90")
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	padding := ""
	if strings.Contains(r.URL.Path, "/large") {
		padding = strings.Repeat(".", faults.EventBytes)
	}
	for i := lastEventID + 1; i <= u.EventsPerStream; i++ {
		if faults.BreakAfterEvents > 0 && i > faults.BreakAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: hal", i)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d%s\n\n", i, i, padding)
		if controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(u.EventInterval):
		}
	}
}
