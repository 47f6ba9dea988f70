// Package directory reads the platform's list of live and leaving instances
// and upstreams. The list is eventually consistent: it lags behind the actual
// state.
package directory

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/net/http1"
)

// A Client reads the list. Only BaseURL must be set before use.
type Client struct {
	// BaseURL is the base URL of the API, such as http://127.0.0.1:7000.
	BaseURL string
	// HTTPClient is the HTTP client to use, http1.DefaultClient if nil.
	HTTPClient *http.Client
}

// An Entry is an instance or an upstream in the list.
type Entry struct {
	Name string
	Role Role
	// Address is the address at which peers reach an entry instance.
	Address    string
	DataCenter string
	// Leaving is true if the instance or upstream is going to stop.
	Leaving bool
}

// A Role distinguishes entry instances from upstreams.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// callTimeout is the timeout for List.
const callTimeout = 3 * time.Second

type listResponse struct {
	Instances []listedEntry `json:"instances"`
}

type listedEntry struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	Leaving    bool   `json:"leaving"`
}

// List returns the platform's current list, which it fetches within three
// seconds.
func (c *Client) List(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/v1/instances", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := c.HTTPClient
	if client == nil {
		client = http1.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the platform's instance list does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the platform's instance list answered %s", response.Status)
	}
	var answer listResponse
	if err := http1.DecodeJSON(response, &answer); err != nil {
		return nil, trace.ConnectionProblem(err, "cannot decode the platform's instance list")
	}
	entries := make([]Entry, 0, len(answer.Instances))
	for _, e := range answer.Instances {
		entries = append(entries, Entry(e))
	}
	return entries, nil
}
