// Package objects speaks HTTP with the platform's object API: versioned
// objects, conditional updates and watches.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// A Client calls the object API. The zero value with a Base works.
type Client struct {
	// Base is the address of the API, such as http://127.0.0.1:7000.
	Base string
	// HTTP is the client used, http.DefaultClient if nil.
	HTTP *http.Client

	callCounts [3]atomic.Int64
}

// A Key names an object.
type Key string

// An Object is a value with its version.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// A Version is the version of an object. It rises with each write. Zero stands
// for an object that does not exist.
type Version uint64

// Counts says how many calls of each sort were made.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// MaxValueBytes bounds a value.
const MaxValueBytes = 1 << 20

const (
	callRead = iota
	callWrite
	callWatch
)

const (
	callTimeout = 3 * time.Second
	// watchSlack is added to the time that a watch may wait.
	watchMargin = 1500 * time.Millisecond
)

// ErrConflict is returned by Put if the object has another version.
var ErrConflict = errors.New("object was changed by another writer")

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
func (c *Client) Counts() Counts {
	return Counts{
		Reads:   c.callCounts[callRead].Load(),
		Writes:  c.callCounts[callWrite].Load(),
		Watches: c.callCounts[callWatch].Load(),
	}
}

// Get returns an object. An object that does not exist has version zero.
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
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "object %s was cut off", key)
	}
	version, err := parseVersion(response)
	return Object{Key: key, Version: version, Value: value}, trace.Wrap(err)
}

// List returns the objects whose keys begin with a prefix.
func (c *Client) List(ctx context.Context, prefix Key) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := c.queryObjects(ctx, callRead, url.Values{"prefix": {string(prefix)}})
	return objects, trace.Wrap(err)
}

// Put writes an object if it still has the version given, zero for an object
// that does not exist yet. ErrConflict means that it has not. After any other
// error the write may have taken effect.
func (c *Client) Put(ctx context.Context, key Key, version Version, value []byte) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, trace.LimitExceeded("object %s has %d bytes, the most is %d", key, len(value), MaxValueBytes)
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
		written, err := parseVersion(response)
		return written, trace.Wrap(err)
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	}
	return 0, statusError(response)
}

// Update reads an object, changes its value and writes it back, again as long
// as other writers come between. The change function gets nil for an object
// that does not exist, and returns nil if nothing is to be written. It must
// give the same effect when its own earlier write is already in the value.
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

// Watch waits until an object whose key begins with the prefix changes after
// a revision, or until the wait is over. It returns the changes and the
// revision reached.
func (c *Client) Watch(ctx context.Context, prefix Key, revision uint64, wait time.Duration) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return c.queryObjects(ctx, callWatch, url.Values{
		"prefix":  {string(prefix)},
		"after":   {strconv.FormatUint(revision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	})
}

func (c *Client) do(ctx context.Context, kind int, method, target string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	c.callCounts[kind].Add(1)
	response, err := client.Do(request)
	if err != nil {
		// Other idle connections may have gone silent with this one.
		client.CloseIdleConnections()
		return nil, trace.ConnectionProblem(err, "the platform's object API does not answer")
	}
	return response, nil
}

func (c *Client) objectURL(key Key) string {
	return c.Base + "/v1/objects/" + url.PathEscape(string(key))
}

func (c *Client) queryObjects(ctx context.Context, kind int, values url.Values) ([]Object, uint64, error) {
	response, err := c.do(ctx, kind, http.MethodGet, c.Base+"/v1/objects?"+values.Encode(), nil, nil)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return nil, 0, statusError(response)
	}
	var answer listResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, 0, trace.ConnectionProblem(err, "the list of objects was cut off")
	}
	objects := make([]Object, 0, len(answer.Changes))
	for _, change := range answer.Changes {
		objects = append(objects, Object(change))
	}
	return objects, answer.Revision, nil
}

func drainAndClose(response *http.Response) {
	const maxBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, response.Body, maxBytes)
	_ = response.Body.Close()
}

func quoteVersion(version Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

func statusError(response *http.Response) error {
	return trace.ConnectionProblem(nil, "the platform's object API answered %s", response.Status)
}

func parseVersion(response *http.Response) (Version, error) {
	text, err := strconv.Unquote(response.Header.Get("ETag"))
	if err != nil {
		return 0, trace.ConnectionProblem(err, "the platform's object API gave no version")
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, trace.ConnectionProblem(err, "the platform's object API gave no version")
	}
	return Version(number), nil
}
