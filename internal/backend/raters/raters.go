// Package raters is the HTTP client of the service that rates the quality of
// answers. Answers are submitted in batches, and their ratings are polled.
package raters

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/net/http1"
)

// An Answer is an answer submitted for rating.
type Answer struct {
	RequestID string `json:"request_id"`
	Instance  string `json:"instance"`
	Text      string `json:"text"`
}

// A Client calls the rating service. Only BaseURL must be set before use.
type Client struct {
	// BaseURL is the base URL of the API, such as http://127.0.0.1:7300.
	BaseURL string
	// HTTPClient is the HTTP client to use, http1.DefaultClient if nil.
	HTTPClient *http.Client

	// cursor is the position up to which ratings have been fetched.
	cursor int
}

// A Rating is the score that the service gave an answer.
type Rating struct {
	RequestID string
	// Score is the quality of the answer, from 0 to 1.
	Score float64
}

type ratingsResponse struct {
	Ratings []struct {
		RequestID string  `json:"request_id"`
		Score     float64 `json:"score"`
	} `json:"ratings"`
	Next int `json:"next"`
}

// callTimeout is the timeout for a call, including the read of its response.
const callTimeout = 3 * time.Second

// Fetch returns the ratings of an instance's answers that were added since the
// last successful call. It is not safe for concurrent use.
func (c *Client) Fetch(ctx context.Context, instance string) ([]Rating, error) {
	query := url.Values{"instance": {instance}, "after": {strconv.Itoa(c.cursor)}}
	var answer ratingsResponse
	if err := c.do(ctx, http.MethodGet, "/v1/ratings?"+query.Encode(), nil, &answer); err != nil {
		return nil, trace.Wrap(err)
	}
	c.cursor = answer.Next
	ratings := make([]Rating, 0, len(answer.Ratings))
	for _, r := range answer.Ratings {
		ratings = append(ratings, Rating{r.RequestID, r.Score})
	}
	return ratings, nil
}

// Submit submits answers for rating.
func (c *Client) Submit(ctx context.Context, answers []Answer) error {
	body, err := json.Marshal(answers)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.do(ctx, http.MethodPost, "/v1/answers", body, nil))
}

// do makes a call within callTimeout and decodes the JSON response into
// result, unless that is nil.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	client := c.HTTPClient
	if client == nil {
		client = http1.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the rating service does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "the rating service answered %s", response.Status)
	}
	if result == nil {
		_, err := http1.ReadBody(response, http1.MaxBodyBytes)
		return trace.Wrap(err)
	}
	return trace.Wrap(http1.DecodeJSON(response, result))
}
