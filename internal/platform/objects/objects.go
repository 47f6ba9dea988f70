// Package objects is the HTTP client of the platform's object API: versioned
// objects, conditional updates and watches.
package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/net/http1"
)

// A Client calls the object API. Only BaseURL must be set before use. It is
// safe for concurrent use.
type Client struct {
	// BaseURL is the base URL of the API, such as http://127.0.0.1:7000.
	BaseURL string
	// HTTPClient is the HTTP client to use, http1.DefaultClient if nil.
	HTTPClient *http.Client

	// callCounts is indexed by callRead, callWrite and callWatch.
	callCounts [3]atomic.Int64
}

// A Key is the key of an object.
type Key string

// An Object is the value of a key with its version.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// A Version is the version of an object. It rises with each write. Version
// zero means that the object does not exist.
type Version uint64

// CallCounts holds the number of calls made, by kind. A call that failed counts
// too.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

const (
	callRead = iota
	callWrite
	callWatch
)

const (
	// callTimeout is the timeout for all calls but watches.
	callTimeout = 3 * time.Second
	// watchMargin is added to the wait of a watch to get the call's timeout.
	watchMargin = 1500 * time.Millisecond
)

// ErrConflict is returned if the object doesn't have the expected version.
var ErrConflict = errors.New("object was changed by another writer")

// listResponse is the response to a list or a watch.
type listResponse struct {
	Revision uint64         `json:"revision"`
	Changes  []listedObject `json:"changes"`
}

type listedObject struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Counts returns the number of calls made.
func (c *Client) Counts() CallCounts {
	return CallCounts{
		Reads:   c.callCounts[callRead].Load(),
		Writes:  c.callCounts[callWrite].Load(),
		Watches: c.callCounts[callWatch].Load(),
	}
}

// Get returns an object. If the object does not exist, Get returns version
// zero and no error.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.do(ctx, callRead, http.MethodGet, c.objectURL(key), nil, nil)
	if err != nil {
		return Object{}, trace.Wrap(err)
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{Key: key}, nil
	default:
		return Object{}, statusError(response)
	}
	http1.RequireBody(response)
	value, err := http1.ReadBody(response, MaxValueBytes)
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "cannot read the value of object %q", key)
	}
	version, err := parseVersion(response)
	return Object{Key: key, Version: version, Value: value}, trace.Wrap(err)
}

// List returns the objects whose keys have the prefix.
func (c *Client) List(ctx context.Context, prefix Key) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := c.queryObjects(ctx, callRead, url.Values{"prefix": {string(prefix)}})
	return objects, trace.Wrap(err)
}

// Put writes an object if it has the given version, which is zero for an object
// that does not exist yet, and returns its new version. It returns ErrConflict
// if the object has another version. After any other error from the API the
// write may have taken effect.
func (c *Client) Put(ctx context.Context, key Key, version Version, value []byte) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, trace.LimitExceeded("object %q has %d bytes, the maximum is %d", key, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", quoteVersion(version))
	}
	response, err := c.do(ctx, callWrite, http.MethodPut, c.objectURL(key), header, value)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if _, err := http1.ReadBody(response, http1.MaxBodyBytes); err != nil {
			return 0, trace.ConnectionProblem(err, "cannot read the answer to the write of object %q", key)
		}
		written, err := parseVersion(response)
		return written, trace.Wrap(err)
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	}
	return 0, statusError(response)
}

// Update reads an object, applies change to its value and writes it back. On a
// conflict with another writer it starts again. After eight conflicts it
// returns ErrConflict. The change function gets a nil value for an object that
// does not exist, and returns nil if nothing is to be written. It must be
// idempotent, since a value may already hold its own earlier write.
func (c *Client) Update(ctx context.Context, key Key, change func(value []byte) ([]byte, error)) (Object, error) {
	const maxAttempts = 8
	var lastErr error
	for range maxAttempts {
		object, err := c.Get(ctx, key)
		if err != nil {
			return Object{}, trace.Wrap(err)
		}
		value, err := change(object.Value)
		if err != nil || value == nil {
			return object, trace.Wrap(err)
		}
		version, err := c.Put(ctx, key, object.Version, value)
		if err == nil {
			return Object{Key: key, Version: version, Value: value}, nil
		}
		if !errors.Is(err, ErrConflict) {
			return Object{}, trace.Wrap(err)
		}
		lastErr = err
	}
	return Object{}, trace.Wrap(lastErr)
}

// Watch waits until an object whose key has the prefix changes after a
// revision, or until the wait has passed. It returns the objects changed since
// the revision and the current revision, from which the next watch continues.
func (c *Client) Watch(ctx context.Context, prefix Key, revision uint64, wait time.Duration) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return c.queryObjects(ctx, callWatch, url.Values{
		"prefix":  {string(prefix)},
		"after":   {strconv.FormatUint(revision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	})
}

// do makes a call and counts it by its kind, which is callRead, callWrite or
// callWatch. The caller must close the body of the response.
func (c *Client) do(ctx context.Context, kind int, method, target string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := c.HTTPClient
	if client == nil {
		client = http1.DefaultClient
	}
	c.callCounts[kind].Add(1)
	response, err := client.Do(request)
	if err != nil {
		// The other idle connections may be dead too.
		client.CloseIdleConnections()
		return nil, trace.ConnectionProblem(err, "the platform's object API does not answer")
	}
	return response, nil
}

func (c *Client) objectURL(key Key) string {
	return c.BaseURL + "/v1/objects/" + url.PathEscape(string(key))
}

// queryObjects fetches a list of objects and the revision at which it was
// taken.
func (c *Client) queryObjects(ctx context.Context, kind int, values url.Values) ([]Object, uint64, error) {
	response, err := c.do(ctx, kind, http.MethodGet, c.BaseURL+"/v1/objects?"+values.Encode(), nil, nil)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return nil, 0, statusError(response)
	}
	var answer listResponse
	if err := http1.DecodeJSON(response, &answer); err != nil {
		return nil, 0, trace.ConnectionProblem(err, "cannot decode the list of objects")
	}
	objects := make([]Object, 0, len(answer.Changes))
	for _, change := range answer.Changes {
		objects = append(objects, Object(change))
	}
	return objects, answer.Revision, nil
}

// drainAndClose reads the rest of a response, up to a bound, so that its
// connection can be reused, and closes its body.
func drainAndClose(response *http.Response) {
	const maxBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, response.Body, maxBytes)
	_ = response.Body.Close()
}

// quoteVersion returns a version as an ETag.
func quoteVersion(version Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

func statusError(response *http.Response) error {
	return trace.ConnectionProblem(nil, "the platform's object API answered %s", response.Status)
}

// parseVersion returns the version in the ETag of a response.
func parseVersion(response *http.Response) (Version, error) {
	text, err := strconv.Unquote(response.Header.Get("ETag"))
	if err != nil {
		return 0, trace.ConnectionProblem(err, "the platform's object API answered with the invalid version %q", response.Header.Get("ETag"))
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, trace.ConnectionProblem(err, "the platform's object API answered with the invalid version %q", text)
	}
	return Version(number), nil
}
