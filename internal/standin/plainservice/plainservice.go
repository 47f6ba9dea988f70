// Package plainservice is a stand-in for a plain service with calls that are
// not idempotent, such as taking a deposit or dispatching an order. It counts
// how often each call is executed.
package plainservice

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"mimosayard/internal/standin/httpserver"
)

// Server is a stand-in for a plain service. The zero value is ready to use. It is
// safe for concurrent use.
type Server struct {
	mutex sync.Mutex
	// runsByID counts how often each request ID was executed.
	runsByID map[string]int
	// runsByContent counts how often calls with the same method, path and body
	// were executed, by the hash of these. Calls without a body aren't counted.
	runsByContent map[uint64]int
	faults        faultSettings
}

// faultSettings are the faults that PUT /admin/faults injects. Each PUT replaces
// all of them.
type faultSettings struct {
	// CutAfterRun executes the call and closes the connection before the
	// response.
	CutAfterRun bool `json:"cut_after_run"`
	// HangAfterRun executes the call and never answers.
	HangAfterRun bool `json:"silent_after_run"`
	// Fail answers with status 500 without executing the call.
	Fail bool `json:"fail"`
	// AnswerBytes is the number of bytes added to answers for paths with "/large".
	AnswerBytes int `json:"answer_bytes"`
}

type runsResponse struct {
	Runs map[string]int `json:"runs"`
	// MaxRuns is the highest number of executions of the same content. More
	// than one shows a duplicated call.
	MaxRuns int `json:"most_effects"`
	// DistinctContents is the number of different contents executed.
	DistinctContents int `json:"effects"`
}

const maxBodyBytes = 1 << 20

// Handler returns the HTTP interface of the service and the /admin routes.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/admin/runs", s.getRuns).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.run)
	return router
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := runsResponse{Runs: s.runsByID, DistinctContents: len(s.runsByContent)}
	for _, count := range s.runsByContent {
		response.MaxRuns = max(response.MaxRuns, count)
	}
	httpserver.WriteJSON(w, response)
}

func (s *Server) putFaults(w http.ResponseWriter, request *http.Request) {
	faults, ok := httpserver.Decode[faultSettings](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *Server) run(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	faults := s.execute(id, request.Method+request.URL.Path, body)
	if faults.Fail {
		http.Error(w, "desk failed", http.StatusInternalServerError)
		return
	}
	if faults.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	if faults.HangAfterRun {
		<-request.Context().Done()
		return
	}
	w.Header().Set("X-Request-Id", id)
	status := "done"
	if strings.Contains(request.URL.Path, "/large") {
		status += strings.Repeat(" ", faults.AnswerBytes)
	}
	httpserver.WriteJSON(w, map[string]string{"status": status, "request_id": id})
}

// execute counts a call and returns the faults that apply to its response.
func (s *Server) execute(id, call string, body []byte) faultSettings {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Fail {
		return s.faults
	}
	if s.runsByID == nil {
		s.runsByID = map[string]int{}
		s.runsByContent = map[uint64]int{}
	}
	s.runsByID[id]++
	if len(body) > 0 {
		s.runsByContent[xxhash.Sum64(append([]byte(call), body...))]++
	}
	return s.faults
}
