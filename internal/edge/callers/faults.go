package callers

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"mimosayard/internal/core/faults"
)

type faultBody struct {
	Error faultDetail `json:"error"`
}

type faultDetail struct {
	Message string `json:"message"`
	// Type is the error kind, under the name that callers of the OpenAI
	// format expect.
	Type faults.Kind `json:"type"`
	Run  faults.Run  `json:"run"`
	// RetryAfterMs is zero where a retry would not help.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

const eventStream = "text/event-stream"

// writeFault answers with an error. If a part of an event stream has been
// written, the error goes into the stream, which then lacks its end mark.
func (x *exchange) writeFault(fault *faults.Error) {
	answer := fault.Answer()
	body := faultBody{faultDetail{
		Message:      answer.Message,
		Type:         fault.Kind,
		Run:          answer.Run,
		RetryAfterMs: answer.RetryAfter.Milliseconds(),
		RequestID:    x.requestID,
	}}
	if fault.Detail != "" && answer.Status < http.StatusInternalServerError {
		body.Error.Message += ": " + fault.Detail
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte(`{"error":{"type":"internal","run":"unknown"}}`)
	}
	x.setWriteDeadline()
	if x.responseStarted && x.writer.Header().Get("Content-Type") != eventStream {
		return
	}
	if x.responseStarted {
		_, _ = fmt.Fprintf(x.writer, "data: %s\n\n", encoded)
		return
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
	x.writer.WriteHeader(answer.Status)
	_, _ = x.writer.Write(encoded)
}
