package operators

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestQuarantine guards against an operator who cannot see or release what an instance
// refuses, or who is told that it was released when it was not.
func TestQuarantine(t *testing.T) {
	entries := []string{"part"}
	server := &Server{
		Metrics:    http.NotFoundHandler(),
		Quarantine: func() any { return entries },
		Release: func(name string) bool {
			found := len(entries) > 0 && name == entries[0]
			if found {
				entries = []string{}
			}
			return found
		},
	}
	send := func(method, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
		return recorder
	}
	is := is.New(t)
	is.Equal(send("GET", "/quarantine").Body.String(), "[\n  \"part\"\n]\n")
	is.Equal(send("DELETE", "/quarantine/other").Code, http.StatusNotFound)
	is.Equal(send("DELETE", "/quarantine/part").Code, http.StatusNoContent)
	is.Equal(send("DELETE", "/quarantine/part").Code, http.StatusNotFound)
	is.Equal(send("GET", "/quarantine").Body.String(), "[]\n")
	server.Quarantine = nil
	is.Equal(send("GET", "/quarantine").Code, http.StatusNotFound)
}
