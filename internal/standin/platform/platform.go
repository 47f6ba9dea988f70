// Package platform is a stand-in for the platform's services: the object API
// and the list of instances. Its /admin routes inject faults.
package platform

import (
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

// Server is a stand-in for the platform that keeps its objects in memory. The
// zero value is ready to use. It is safe for concurrent use.
type Server struct {
	mutex    sync.Mutex
	objects  map[string]object
	revision uint64
	// changed is closed at the next write. It is nil until the first write or
	// watch.
	changed   chan struct{}
	instances []instance
	faults    faultSettings
	calls     callCounts
}

type callCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Lists   int64 `json:"lists"`
}

type change struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type instance struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	Leaving    bool   `json:"leaving"`
}

// faultSettings are the faults that PUT /admin/faults injects. Each PUT replaces
// all of them.
type faultSettings struct {
	// Outage answers every call with status 503. It doesn't interrupt a watch
	// that is already waiting.
	Outage bool `json:"outage"`
	// DroppedResponses is the number of writes that still take effect but whose
	// connection is closed before the response.
	DroppedResponses int `json:"lose_answers"`
	// DelayMillis is the delay before each call is processed, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// StaleReads answers reads of a single object with the value that the last
	// write before the fault replaced, if there was one. Lists and watches
	// still return the current state.
	StaleReads bool `json:"stale_reads"`
}

type object struct {
	Value   []byte
	Version uint64
	// Previous holds at most one value: the one that StaleReads returns.
	Previous []versionedValue
}

type versionedValue struct {
	value   []byte
	version uint64
}

type watchResponse struct {
	Revision uint64   `json:"revision"`
	Changes  []change `json:"changes"`
}

const maxValueBytes = 1 << 20

// Handler returns the HTTP interface of the platform and the /admin routes.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/admin/faults", s.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/admin/counts", s.getCounts).Methods(http.MethodGet)
	router.HandleFunc("/admin/instances", s.putInstances).Methods(http.MethodPut)
	router.HandleFunc("/v1/instances", s.withFaults(s.getInstances)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects", s.withFaults(s.listObjects)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key}", s.withFaults(s.getObject)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key}", s.withFaults(s.putObject)).Methods(http.MethodPut)
	return router
}

// withFaults applies the delay and the outage to a call.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		s.mutex.Unlock()
		if faults.DelayMillis > 0 {
			select {
			case <-request.Context().Done():
				return
			case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
			}
		}
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, request)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	httpserver.WriteJSON(w, s.calls)
}

func (s *Server) getInstances(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls.Lists++
	httpserver.WriteJSON(w, map[string]any{"instances": s.instances})
}

func (s *Server) getObject(w http.ResponseWriter, request *http.Request) {
	key := objectKey(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls.Reads++
	stored, exists := s.objects[key]
	if !exists {
		http.NotFound(w, request)
		return
	}
	value, version := stored.Value, stored.Version
	if s.faults.StaleReads && len(stored.Previous) > 0 {
		value, version = stored.Previous[0].value, stored.Previous[0].version
	}
	w.Header().Set("ETag", etag(version))
	_, _ = w.Write(value)
}

func (s *Server) listObjects(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix := query.Get("prefix")
	if !query.Has("after") {
		s.mutex.Lock()
		s.calls.Reads++
		response := s.changesAfter(prefix, 0)
		s.mutex.Unlock()
		httpserver.WriteJSON(w, response)
		return
	}
	afterRevision, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	s.watch(w, request, prefix, afterRevision, time.Duration(waitMillis)*time.Millisecond)
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

func (s *Server) putInstances(w http.ResponseWriter, request *http.Request) {
	instances, ok := httpserver.Decode[[]instance](w, request)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances = instances
}

func (s *Server) putObject(w http.ResponseWriter, request *http.Request) {
	key := objectKey(request)
	value, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mutex.Lock()
	s.calls.Writes++
	version, ok := s.put(key, request.Header, value)
	dropResponse := ok && s.faults.DroppedResponses > 0
	if dropResponse {
		s.faults.DroppedResponses--
	}
	s.mutex.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag(version))
}

// put writes an object if the If-Match and If-None-Match headers allow it. It
// returns the new version and whether the object was written. The mutex must be
// held.
func (s *Server) put(key string, header http.Header, value []byte) (uint64, bool) {
	if s.objects == nil {
		s.objects = map[string]object{}
	}
	current, exists := s.objects[key]
	if header.Get("If-None-Match") == "*" && exists {
		return 0, false
	}
	if match := header.Get("If-Match"); match != "" && (!exists || match != etag(current.Version)) {
		return 0, false
	}
	s.revision++
	next := object{Value: value, Version: s.revision, Previous: current.Previous}
	if exists && !s.faults.StaleReads {
		next.Previous = []versionedValue{{current.Value, current.Version}}
	}
	s.objects[key] = next
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	return next.Version, true
}

// changesAfter returns the objects below a prefix that changed after a revision,
// ordered by version. The mutex must be held.
func (s *Server) changesAfter(prefix string, afterRevision uint64) watchResponse {
	response := watchResponse{Revision: s.revision, Changes: []change{}}
	for key, stored := range s.objects {
		if strings.HasPrefix(key, prefix) && stored.Version > afterRevision {
			response.Changes = append(response.Changes, change{key, stored.Version, stored.Value})
		}
	}
	sort.Slice(response.Changes, func(i, j int) bool { return response.Changes[i].Version < response.Changes[j].Version })
	return response
}

// watch answers with the changes after a revision as soon as there are any, or
// with an empty list when the wait is over.
func (s *Server) watch(w http.ResponseWriter, request *http.Request, prefix string, afterRevision uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mutex.Lock()
	s.calls.Watches++
	for {
		response := s.changesAfter(prefix, afterRevision)
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		outage := s.faults.Outage
		s.mutex.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(response.Changes) > 0 {
			httpserver.WriteJSON(w, response)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timer.C:
			httpserver.WriteJSON(w, response)
			return
		case <-changed:
		}
		s.mutex.Lock()
	}
}

// objectKey returns the object key of a request. The router leaves encoded
// slashes in it as they are.
func objectKey(request *http.Request) string {
	key := mux.Vars(request)["key"]
	return strings.ReplaceAll(key, "%2F", "/")
}

// etag formats a version as an ETag.
func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}
