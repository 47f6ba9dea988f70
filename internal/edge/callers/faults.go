package callers

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"mimosayard/internal/core/faults"
)

// faultBody is the JSON body that reports a fault to a caller.
type faultBody struct {
	Error faultDetail `json:"error"`
}

type faultDetail struct {
	Message string `json:"message"`
	// Type is the error kind, in the field where clients of the OpenAI API
	// expect it.
	Type faults.Kind `json:"type"`
	Run  faults.Run  `json:"run"`
	// RetryAfterMs is the delay before a retry in milliseconds, zero if a
	// retry would not help.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

const eventStream = "text/event-stream"

// writeFault reports a fault to the caller. Once an event stream has started,
// the fault is sent as an event and the stream ends without [DONE]. Once any
// other response has started, nothing is written, since its status is sent.
func (x *exchange) writeFault(fault *faults.Error) {
	response := fault.Response()
	body := faultBody{faultDetail{
		Message:      response.Message,
		Type:         fault.Kind,
		Run:          response.Run,
		RetryAfterMs: response.RetryAfter.Milliseconds(),
		RequestID:    x.requestID,
	}}
	if fault.Detail != "" && response.Status < http.StatusInternalServerError {
		body.Error.Message += ": " + fault.Detail
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte(`{"error":{"type":"internal","run":"unknown"}}`)
	}
	x.prepareWrite()
	if x.responseStarted && x.writer.Header().Get("Content-Type") != eventStream {
		return
	}
	if x.responseStarted {
		_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", encoded)
		return
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(response.RetryAfter.Seconds()))))
	}
	x.boundRest(fault)
	x.writer.WriteHeader(response.Status)
	_, _ = x.writer.Write(encoded)
}
