// Package desk is a small stand-in for a plain service some of whose calls may
// not be repeated, such as taking a deposit or dispatching an order.
package desk

import (
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"mimosayard/internal/standin/admin"
)

// A Server is the stand-in. The zero value works.
type Server struct {
	mutex sync.Mutex
	// runs counts how often each request ID has run.
	runsByID map[string]int
	// effects counts how often the same content was carried out.
	runsByContent map[uint64]int
	faults        faultSettings
}

// faultSettings are the failures that are switched on.
type faultSettings struct {
	// CutAfterRun carries the call out and cuts the connection before the
	// answer.
	CutAfterRun bool `json:"cut_after_run"`
	// SilentAfterRun carries the call out and never answers.
	HangAfterRun bool `json:"silent_after_run"`
	// Fail answers with status 500 before anything is carried out.
	Fail bool `json:"fail"`
}

type runsResponse struct {
	Runs map[string]int `json:"runs"`
	// MostEffects is the highest number of runs of the same content.
	MaxRuns          int `json:"most_effects"`
	DistinctContents int `json:"effects"`
}

const maxBodyBytes = 1 << 20

// Handler returns the HTTP interface.
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
	admin.WriteJSON(w, response)
}

func (s *Server) putFaults(w http.ResponseWriter, request *http.Request) {
	faults, ok := admin.Decode[faultSettings](w, request)
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
	admin.WriteJSON(w, map[string]string{"status": "done", "request_id": id})
}

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
