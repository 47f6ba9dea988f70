// Package sharedplatform holds stand-ins for two services of the shared
// platform: its metadata store, and an upstream that serves both event streams
// and plain responses. They implement only what the tests and the demo need.
package sharedplatform

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"mimosayard/internal/standin/httpserver"
)

// Store is a stand-in for the metadata store that keeps its objects in memory.
// The zero value is ready to use. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	objects  map[string]map[string]storedObject
	history  []storedEvent
	revision uint64
	// droppedRevision is the last revision whose event is no longer in the
	// history.
	droppedRevision uint64
	// changed is closed at the next change. It is nil while nobody waits.
	changed chan struct{}
	faults  storeFaults
	// calls is the number of calls to the object API, with refused ones.
	calls int64
	// restores is the number of times that a copy was restored.
	restores uint64
	backup   backup
}

// backup is a copy of the objects at a revision. The zero value is an empty store.
type backup struct {
	objects  map[string]map[string]storedObject
	revision uint64
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

// storeFaults are the faults that PUT /admin/faults injects. Each PUT replaces
// all of them.
type storeFaults struct {
	// RefusedHosts are the IP addresses whose calls get status 503. "*" stands
	// for all addresses.
	RefusedHosts []string `json:"refuse"`
	// DroppedResponses is the number of writes that still take effect but whose
	// connection is closed before the response.
	DroppedResponses int `json:"lose_answers"`
	// DropHistory drops all past events, so that older watches get status 410.
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

// eraHeader is the header of all answers that counts how often the store was restored
// from a copy.
const eraHeader = "Store-Era"

// Handler returns the object API of the store and the /admin routes that
// inject faults, count calls, and copy and restore the objects.
func (s *Store) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	routes.HandleFunc("/admin/counts", s.getCounts).Methods(http.MethodGet)
	routes.HandleFunc("/admin/backup", s.putBackup).Methods(http.MethodPut)
	routes.HandleFunc("/admin/restore", s.postRestore).Methods(http.MethodPost)
	routes.HandleFunc("/objects/{kind}", s.withFaults(s.list)).Methods(http.MethodGet)
	routes.HandleFunc("/objects/{kind}", s.withFaults(s.create)).Methods(http.MethodPost)
	routes.HandleFunc("/objects/{kind}/{name}", s.withFaults(s.putSpec)).Methods(http.MethodPut)
	routes.HandleFunc("/objects/{kind}/{name}/status", s.withFaults(s.putStatus)).Methods(http.MethodPut)
	routes.HandleFunc("/objects/{kind}/{name}", s.withFaults(s.remove)).Methods(http.MethodDelete)
	return routes
}

// withFaults counts a call and answers it with status 503 if its caller is
// refused.
func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		refused := s.isRefused(r)
		s.setEra(w)
		s.mutex.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// isRefused reports whether calls from the remote address of the request are
// refused. The mutex must be held.
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
	faults, ok := httpserver.Decode[storeFaults](w, r)
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

// setEra sets the header that tells the era. The mutex must be held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(1+s.restores, 10))
}

// putBackup copies the objects.
func (s *Store) putBackup(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backup = backup{objects: cloneObjects(s.objects), revision: s.revision}
	w.WriteHeader(http.StatusNoContent)
}

// postRestore replaces the objects by their copy. What was written since is lost, and its
// revisions are given out again.
func (s *Store) postRestore(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects, s.revision = cloneObjects(s.backup.objects), s.backup.revision
	s.history, s.droppedRevision = nil, s.revision
	s.restores++
	s.notifyWatches()
	w.WriteHeader(http.StatusNoContent)
}

func cloneObjects(objects map[string]map[string]storedObject) map[string]map[string]storedObject {
	clone := make(map[string]map[string]storedObject, len(objects))
	for kind, named := range objects {
		clone[kind] = maps.Clone(named)
	}
	return clone
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

// watch answers with the events after a revision, or with an empty list after
// wait_ms. It answers with status 410 if events after that revision were
// dropped or the store does not have that revision, also while it waits. It closes the connection if the caller becomes
// refused while it waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	afterRevision, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMillis, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		response, historyDropped, changed := s.eventsAfter(mux.Vars(r)["kind"], afterRevision), afterRevision < s.droppedRevision || afterRevision > s.revision, s.changeSignal()
		refused := s.isRefused(r)
		s.setEra(w)
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

// eventsAfter returns the events of a kind after a revision. The mutex must be
// held.
func (s *Store) eventsAfter(kind string, afterRevision uint64) watchResponse {
	response := watchResponse{Events: []storedEvent{}, AsOf: s.revision}
	for _, event := range s.history {
		if event.kind == kind && event.revision > afterRevision {
			response.Events = append(response.Events, event)
		}
	}
	return response
}

// create creates the object that is named in its metadata. It answers with status 409 if
// the object exists.
func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	object, ok := httpserver.Decode[storedObject](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := mux.Vars(r)["kind"], object.Metadata.Name
	if existing, exists := s.objects[kind][name]; exists {
		writeJSON(w, http.StatusConflict, existing)
		return
	}
	s.storeObject(w, kind, name, object)
}

// putSpec creates an object or replaces its spec. Unlike the real store, it
// doesn't require a revision, because only the operator of a test calls it.
func (s *Store) putSpec(w http.ResponseWriter, r *http.Request) {
	update, ok := httpserver.Decode[storedObject](w, r)
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

// putStatus replaces the status of an object. It answers with status 409 if
// the update names a revision other than the current one.
func (s *Store) putStatus(w http.ResponseWriter, r *http.Request) {
	update, ok := httpserver.Decode[storedObject](w, r)
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

// remove deletes an object, records the removal for watches, and answers with
// the deleted object.
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

// storeObject stores an object at a new revision and answers with it, or
// closes the connection if responses are to be dropped. The mutex must be held.
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

// notifyWatches wakes all waiting watches. The mutex must be held.
func (s *Store) notifyWatches() {
	close(s.changeSignal())
	s.changed = nil
}

// changeSignal returns the channel that is closed at the next change. The mutex
// must be held.
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
