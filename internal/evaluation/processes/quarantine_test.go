package processes

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// callWithParts sends a request with a prompt of two parts, of which others may share the
// first, and returns the status, zero if there is no answer.
func (f *sharedFleet) callWithParts(index int, shared, own string) int {
	f.t.Helper()
	request := f.newRequest(index, "GET", "/stream/x", validKey)
	request.Header.Set("X-Prompt-Prefix", shared+":100,"+own+":10")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// quarantinedNames returns the names of the quarantined objects in the store.
func (f *sharedFleet) quarantinedNames() []string {
	f.t.Helper()
	var list struct {
		Items []struct {
			Metadata struct {
				Name string `json:"name"`
			} `json:"metadata"`
		} `json:"items"`
	}
	var names []string
	if f.getJSON(f.platformURL()+"/objects/quarantine", &list) {
		for _, item := range list.Items {
			names = append(names, item.Metadata.Name)
		}
	}
	return names
}

// startUpstreamsAnew registers new incarnations of the upstreams and sets their faults.
func (f *sharedFleet) startUpstreamsAnew(born int, faults string) {
	f.t.Helper()
	for n, id := range []string{"i-1", "i-2"} {
		f.putObject("servers", id, fmt.Sprintf(
			`{"service":"s","address":"%s.%d:7400","zone":"dc-1","version":"v1","slots":8,"state":"ready","born":%d,"sequence":1}`, f.subnet, 29+n, born))
		f.setFaults(id, faults)
	}
}

// TestQuarantineOutlivesTheFleet guards against a prompt part, or a request that its caller
// repeats, that crashes upstreams again after all instances have died.
func TestQuarantineOutlivesTheFleet(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// own returns the last part of a request's prompt.
		own func(count int) string
		// stored reports whether an object has the name of what is quarantined.
		stored func(object string) bool
	}{
		"a part of different requests": {
			own:    func(count int) string { return "own" + strconv.Itoa(count) },
			stored: func(object string) bool { return object == "bad" },
		},
		"a repeated request": {
			own:    func(int) string { return "own" },
			stored: func(object string) bool { return strings.HasPrefix(object, "request-") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newSharedFleet(t, 2, 2)
			born, count := 8, 0
			callBad := func(index int) int {
				count++
				return f.callWithParts(index, "bad", c.own(count))
			}
			f.await("it is refused by both instances", func() bool {
				f.startUpstreamsAnew(born, `{"lose_answers":true}`)
				born++
				return callBad(0) == http.StatusServiceUnavailable && callBad(1) == http.StatusServiceUnavailable
			})
			f.await("the store has it", func() bool {
				names := f.quarantinedNames()
				return len(names) == 1 && c.stored(names[0])
			})
			for _, i := range f.instances {
				i.kill()
			}
			f.startUpstreamsAnew(born, `{}`)
			for n := range f.instances {
				f.instances[n] = f.startSharedInstance(n, false)
			}
			for n := range f.instances {
				f.await("a sound prompt is served", func() bool { return f.callWithParts(n, "sound", "own") == http.StatusOK })
				f.await("it is refused", func() bool { return callBad(n) == http.StatusServiceUnavailable })
				is.Equal(callBad(n), http.StatusServiceUnavailable)
			}
		})
	}
}
