package upstreams

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/net/http1"
)

// A ChatCall is a call for a streamed chat completion.
type ChatCall struct {
	Address   string
	RequestID string
	Priority  int
	// Body is the JSON body. It must request a stream with usage and log
	// probabilities.
	Body []byte
}

// A ChatEvent is one event of the stream.
type ChatEvent struct {
	// Data is the JSON text of the event. It is valid until the next event.
	Data []byte
	// Content is the text added to the answer.
	Content string
	// FinishReason is the reason for the end of the answer, empty before the
	// end.
	FinishReason string
	// LogProbSum is the sum of the log probabilities of Tokens tokens.
	LogProbSum float64
	// Tokens is the number of the event's tokens that have a log probability.
	Tokens int
}

// ChatCallbacks holds the functions that receive the parts of an answer. They
// are called from the goroutine that made the call.
type ChatCallbacks struct {
	// OnLoad receives the load report in the answer's header, if there is one.
	// It may be nil.
	OnLoad func(routing.LoadReport)
	// OnLimit receives what the answer says of the upstream's limit, unless nil.
	OnLimit LimitFunc
	// Claim extends what the call holds in memory, also by less than none, before a line
	// that is longer than the reader's buffer is kept. An error ends the call, which returns
	// it. It may be nil.
	Claim func(n int64) error
	// OnEvent receives each event before the end of the stream. An error ends
	// the call, which returns it.
	OnEvent func(ChatEvent) error
}

// chunk is the decoded data of an event of the stream.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage"`
}

type chunkChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
	LogProbs     *struct {
		Content []struct {
			LogProb float64 `json:"logprob"`
		} `json:"content"`
	} `json:"logprobs"`
}

type chunkUsage struct {
	PromptTokens        int64 `json:"prompt_tokens"`
	CompletionTokens    int64 `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

const (
	// maxEventBytes bounds the size of a line of the stream, and of all lines from one event
	// to the next.
	maxEventBytes = 1 << 20
	// doneMarker is the data of the last event of a complete stream.
	doneMarker = "[DONE]"
)

var (
	dataField        = []byte("data:")
	errEventTooLarge = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
)

// StreamChat makes the call and passes the parts of its answer to the
// callbacks. Without an error the answer is complete: it echoed the request's
// ID and its stream ended with [DONE]. With an error, the usage is what the
// engine reported before. A stream that breaks off is an AnswerIncomplete
// fault.
func (c *Client) StreamChat(ctx context.Context, call ChatCall, callbacks ChatCallbacks) (Usage, error) {
	ctx, a := c.beginAttempt(ctx)
	defer a.end()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		return Usage{}, faults.NotRun(faults.Internal, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(headerRequestID, call.RequestID)
	request.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	response, err := c.transport(call.Address).RoundTrip(request)
	if err != nil {
		return Usage{}, c.classifyError(ctx, a, call.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	callbacks.OnLimit.report(response.Header, call.RequestID)
	if fault := checkResponse(response, call.RequestID); fault != nil {
		return Usage{}, fault
	}
	if report, ok := ParseLoadReport(response.Header, time.Now()); ok && callbacks.OnLoad != nil {
		callbacks.OnLoad(report)
	}
	claim := callbacks.Claim
	if claim == nil {
		claim = func(int64) error { return nil }
	}
	usage, err := readEvents(response.Body, func() { a.timer.Reset(c.progressTimeout()) }, claim, callbacks.OnEvent)
	var broken streamError
	if errors.As(err, &broken) {
		fault := c.classifyError(ctx, a, call.Address, broken.error)
		if fault.Kind == faults.UpstreamFailed {
			fault.Kind = faults.AnswerIncomplete
		}
		return usage, fault
	}
	return usage, err
}

// Confidence returns the geometric mean of the probabilities of the tokens,
// from 0 to 1, given the sum of their log probabilities. It is 0 if there are
// no tokens.
func Confidence(logProbSum float64, tokens int) float64 {
	if tokens == 0 {
		return 0
	}
	return math.Exp(logProbSum / float64(tokens))
}

// streamError wraps an error in reading or decoding the stream, as opposed to
// an error that a callback returned.
type streamError struct{ error }

// checkResponse returns a fault unless the response has status 200 and echoes
// the request's ID. A BadRequest or TooLarge fault is the engine's verdict on the
// request, which another engine would share.
func checkResponse(response *http.Response, id string) *faults.Error {
	echoed := response.Header.Get(headerRequestID) == id
	detail := "upstream answered " + response.Status
	switch status := response.StatusCode; {
	case echoed && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		return faults.New(faults.BadRequest, detail)
	case echoed && status == http.StatusRequestEntityTooLarge:
		return faults.New(faults.TooLarge, detail)
	case status != http.StatusOK:
		return faults.New(faults.UpstreamFailed, detail)
	case !echoed:
		return faults.New(faults.AnswerMismatched, "")
	}
	return nil
}

// newTransport returns a transport with connections of its own.
func (c *Client) newTransport() *http1.Transport {
	dial := c.Dial
	if dial == nil {
		dial = connect.Direct
	}
	return &http1.Transport{
		Dial:                dial,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
	}
}

// parseEvent decodes the data of an event. The usage is nil if the event has
// none.
func parseEvent(data []byte) (ChatEvent, *chunkUsage, error) {
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return ChatEvent{}, nil, streamError{err}
	}
	event := ChatEvent{Data: data}
	for _, choice := range parsed.Choices {
		event.Content += choice.Delta.Content
		event.FinishReason += choice.FinishReason
		if choice.LogProbs == nil {
			continue
		}
		for _, token := range choice.LogProbs.Content {
			event.LogProbSum += token.LogProb
			event.Tokens++
		}
	}
	return event, parsed.Usage, nil
}

// readEvents reads server-sent events up to [DONE] and returns the last usage
// reported. It calls onLine for each line, claim before it keeps a long line, and
// onEvent for each event.
func readEvents(body io.Reader, onLine func(), claim func(n int64) error, onEvent func(ChatEvent) error) (Usage, error) {
	var usage Usage
	lines := lineReader{reader: bufio.NewReader(body), claim: claim}
	for {
		line, err := lines.next()
		if err != nil {
			return usage, err
		}
		onLine()
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		lines.sinceEvent = 0
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return usage, nil
		}
		event, reported, err := parseEvent(data)
		if err != nil {
			return usage, err
		}
		if reported != nil {
			usage = Usage{
				PromptTokens: nonNegativeTokens(reported.PromptTokens),
				AnswerTokens: nonNegativeTokens(reported.CompletionTokens),
				CachedTokens: nonNegativeTokens(reported.PromptTokensDetails.CachedTokens),
			}
		}
		if err := onEvent(event); err != nil {
			return usage, err
		}
	}
}
