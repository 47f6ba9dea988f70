// Package operators serves the HTTP API for operators: health, readiness,
// metrics and the status of the instance.
package operators

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// A Server serves the operators' HTTP API. Its fields must be set before
// Handler is called.
type Server struct {
	// Metrics serves the metrics page.
	Metrics http.Handler
	// CheckReady returns nil if the instance may get new requests, and otherwise
	// an error with the reason.
	CheckReady func() error
	// Status returns the status of the instance, to be encoded as JSON.
	Status func() any
	// Quarantine returns what the instance refuses since upstreams crashed on it, to be
	// encoded as JSON, and Release releases one entry by its name. They may be nil.
	Quarantine func() any
	Release    func(name string) bool
}

// Handler returns the handler of the operators' HTTP API.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/status", s.status).Methods(http.MethodGet)
	if s.Quarantine != nil {
		router.HandleFunc("/quarantine", s.quarantine).Methods(http.MethodGet)
		router.HandleFunc("/quarantine/{name}", s.release).Methods(http.MethodDelete)
	}
	return router
}

// health answers that the process serves HTTP. It checks nothing else.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready answers with status 503 and the reason if the instance should get no
// new requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// status answers with the status of the instance as JSON.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Status())
}

// quarantine answers with what the instance refuses as JSON.
func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Quarantine())
}

// release releases an entry of the quarantine. It answers with status 404 if no instance
// refuses it.
func (s *Server) release(w http.ResponseWriter, request *http.Request) {
	if !s.Release(mux.Vars(request)["name"]) {
		http.Error(w, "no instance refuses it", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
