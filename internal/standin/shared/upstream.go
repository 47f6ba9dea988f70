package shared

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mimosayard/internal/standin/admin"
)

// An Upstream is the stand-in for a server: it streams events below /stream/
// and answers whole elsewhere. Its fields are set before Handler is used.
type Upstream struct {
	// ID is the server's ID in the store.
	ID string
	// Events is the number of events of a stream, Pause the time between two.
	EventsPerStream int
	EventInterval   time.Duration

	mutex         sync.Mutex
	runsByAttempt map[string]int
	faults        upstreamFaults
}

// upstreamFaults are the failures that are switched on.
type upstreamFaults struct {
	// Full answers that the server is full and has not run the request.
	Full bool `json:"full"`
	// BreakAfter cuts streams within the event behind so many, zero for never.
	BreakAfterEvents int `json:"break_after"`
	// LoseAnswers runs requests and cuts the connection.
	DropResponses bool `json:"lose_answers"`
}

// Handler returns the server's calls, and switches for its failures.
func (u *Upstream) Handler() http.Handler {
	u.runsByAttempt = map[string]int{}
	routes := mux.NewRouter().SkipClean(true)
	routes.HandleFunc("/admin/faults", u.putFaults).Methods(http.MethodPut)
	routes.HandleFunc("/admin/runs", u.getRuns).Methods(http.MethodGet)
	routes.NotFoundHandler = http.HandlerFunc(u.serve)
	return routes
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := admin.Decode[upstreamFaults](w, r)
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
	u.mutex.Unlock()
	attemptID := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attemptID)
	switch {
	case r.Header.Get("X-Expect-Instance") != u.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Full:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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
	_, _ = fmt.Fprintf(w, "%s for %s: %s", r.URL.Path, r.Header.Get("X-Tenant"), body)
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, faults upstreamFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("X-Model") != "" {
		w.Header().Set("X-Confidence", "90")
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for i := lastEventID + 1; i <= u.EventsPerStream; i++ {
		if faults.BreakAfterEvents > 0 && i > faults.BreakAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: hal", i)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
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
