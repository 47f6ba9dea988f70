// Package shared holds small stand-ins that speak the protocol of the users'
// platform: its metadata store, and an upstream that is engine and plain
// service in one. They do as little as the tests and the demo need.
package shared

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mimosayard/internal/standin/admin"
)

// A Store is the stand-in for the metadata store. The zero value works.
type Store struct {
	mutex    sync.Mutex
	objects  map[string]map[string]storedObject
	history  []storedEvent
	revision uint64
	// forgotten is the revision up to which the history is dropped.
	droppedRevision uint64
	changed         chan struct{}
	faults          storeFaults
	calls           int64
}

type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedEvent struct {
	Object   storedObject `json:"object"`
	Removed  bool         `json:"removed"`
	kind     string
	revision uint64
}

// storeFaults are the failures that are switched on.
type storeFaults struct {
	// Refuse answers calls from these IP numbers with 503; "*" is for all.
	RefusedHosts []string `json:"refuse"`
	// LoseAnswers is the number of writes whose answers are cut off.
	DroppedResponses int `json:"lose_answers"`
	// Forget drops the history so far.
	DropHistory bool `json:"forget"`
}

type listResponse struct {
	Items   []storedObject `json:"items"`
	HasMore bool           `json:"has_more"`
	AsOf    uint64         `json:"as_of"`
}

type watchResponse struct {
	Events []storedEvent `json:"events"`
	AsOf   uint64        `json:"as_of"`
}

// Handler returns the store's calls, and switches for its failures.
func (s *Store) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	routes.HandleFunc("/admin/counts", s.getCounts).Methods(http.MethodGet)
	routes.HandleFunc("/objects/{kind}", s.withFaults(s.list)).Methods(http.MethodGet)
	routes.HandleFunc("/objects/{kind}/{name}", s.withFaults(s.putSpec)).Methods(http.MethodPut)
	routes.HandleFunc("/objects/{kind}/{name}/status", s.withFaults(s.putStatus)).Methods(http.MethodPut)
	routes.HandleFunc("/objects/{kind}/{name}", s.withFaults(s.remove)).Methods(http.MethodDelete)
	return routes
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		refused := s.isRefused(r)
		s.mutex.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// refused reports whether the caller is refused. The caller of this function
// holds the mutex.
func (s *Store) isRefused(r *http.Request) bool {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return slices.Contains(s.faults.RefusedHosts, host) || slices.Contains(s.faults.RefusedHosts, "*")
}

func (s *Store) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]int64{"calls": s.calls})
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := admin.Decode[storeFaults](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.DropHistory {
		s.history = nil
		s.droppedRevision = s.revision
	}
	s.notifyWatches()
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "" {
		s.watch(w, r)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := listResponse{Items: []storedObject{}, AsOf: s.revision}
	for _, object := range s.objects[mux.Vars(r)["kind"]] {
		response.Items = append(response.Items, object)
	}
	writeJSON(w, http.StatusOK, response)
}

// watch waits for events. A watch whose history is dropped while it waits is
// cut off, as is one of a refused caller.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	afterRevision, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMillis, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		response, historyDropped, changed := s.eventsAfter(mux.Vars(r)["kind"], afterRevision), afterRevision < s.droppedRevision, s.changeSignal()
		refused := s.isRefused(r)
		s.mutex.Unlock()
		switch {
		case refused:
			panic(http.ErrAbortHandler)
		case historyDropped:
			w.WriteHeader(http.StatusGone)
			return
		case len(response.Events) > 0:
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, response)
			return
		case <-changed:
		}
	}
}

func (s *Store) eventsAfter(kind string, afterRevision uint64) watchResponse {
	response := watchResponse{Events: []storedEvent{}, AsOf: s.revision}
	for _, event := range s.history {
		if event.kind == kind && event.revision > afterRevision {
			response.Events = append(response.Events, event)
		}
	}
	return response
}

// put creates an object or replaces its spec. Unlike the real store it asks
// for no revision, since only the tests' operator uses it.
func (s *Store) putSpec(w http.ResponseWriter, r *http.Request) {
	update, ok := admin.Decode[storedObject](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	object := s.objects[kind][name]
	object.Spec = update.Spec
	s.storeObject(w, kind, name, object)
}

func (s *Store) putStatus(w http.ResponseWriter, r *http.Request) {
	update, ok := admin.Decode[storedObject](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	object, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case update.Metadata.Revision != 0 && update.Metadata.Revision != object.Metadata.Revision:
		writeJSON(w, http.StatusConflict, object)
	default:
		object.Status = update.Status
		s.storeObject(w, kind, name, object)
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	object, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, storedEvent{Object: object, Removed: true, kind: kind, revision: s.revision})
	s.notifyWatches()
	writeJSON(w, http.StatusOK, object)
}

// write stores an object and answers with it, or cuts the answer off. The
// caller holds the mutex.
func (s *Store) storeObject(w http.ResponseWriter, kind, name string, object storedObject) {
	s.revision++
	object.Metadata.Name = name
	object.Metadata.Revision = s.revision
	if object.Metadata.Created == 0 {
		object.Metadata.Created = s.revision
	}
	if s.objects == nil {
		s.objects = map[string]map[string]storedObject{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	s.objects[kind][name] = object
	s.history = append(s.history, storedEvent{Object: object, kind: kind, revision: s.revision})
	s.notifyWatches()
	if s.faults.DroppedResponses > 0 {
		s.faults.DroppedResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, object)
}

// wake ends the waits of all watches. The caller holds the mutex.
func (s *Store) notifyWatches() {
	close(s.changeSignal())
	s.changed = nil
}

func (s *Store) changeSignal() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
