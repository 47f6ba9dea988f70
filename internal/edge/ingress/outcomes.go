package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

// errorBody is the JSON body of an error response of the router itself.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind      faults.Kind `json:"kind"`
	Run       faults.Run  `json:"run"`
	Message   string      `json:"message"`
	RequestID string      `json:"request_id"`
}

// resultNames holds the names of the results of calls in the log.
var resultNames = map[dispatch.Result]string{
	dispatch.Served:        "served",
	dispatch.Failed:        "failed",
	dispatch.Broken:        "broken",
	dispatch.Mismatched:    "mismatched",
	dispatch.TimedOut:      "silent",
	dispatch.Unreachable:   "unreached",
	dispatch.Refused:       "refused",
	dispatch.LinkLost:      "cut",
	dispatch.AddressReused: "misnamed",
	dispatch.Misdirected:   "misdirected",
	dispatch.Abandoned:     "dropped",
	dispatch.NoRoom:        "not admitted",
}

// writeError writes an error response of the router itself.
func (x *exchange) writeError(fault *faults.Error) {
	response := fault.Response()
	body, err := json.Marshal(errorBody{errorDetail{
		Kind:      fault.Kind,
		Run:       response.Run,
		Message:   response.Message,
		RequestID: x.metadata.ID,
	}})
	if err != nil {
		body = []byte(`{"error":{"kind":"internal","run":"unknown"}}`)
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	platform.SetRequestID(header, x.metadata.ID)
	if response.RetryAfter > 0 && response.Run == faults.RunNo {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 2, 64))
	}
	x.closeIfStopping()
	x.boundRest(fault)
	x.setWriteDeadline()
	x.writer.WriteHeader(response.Status)
	_, _ = x.writer.Write(body)
}

// boundRest bounds the rest of a body that was not read to its end, which net/http reads
// before the next request. It is not read after a body that was refused on its way.
func (x *exchange) boundRest(fault *faults.Error) {
	switch {
	case !x.bodyPending:
	case fault.Kind == faults.Overloaded, fault.Kind == faults.SlowRequest:
		x.writer.Header().Set("Connection", "close")
	default:
		_ = x.controller.SetReadDeadline(time.Now().Add(callerIOTimeout))
	}
}

// summarizeCall appends a summary of a call for the log. In the summary, "wait"
// is the start latency and "pause" the mean gap between events, both in
// milliseconds.
func (x *exchange) summarizeCall(call *dispatch.Call, result dispatch.Result, err error) {
	upstream := string(call.Upstream.ID) + "@" + string(call.Upstream.Version)
	switch {
	case call.Through() != "":
		upstream += " through " + string(call.Through())
	case call.Owner != "":
		upstream += " admitted by " + string(call.Owner)
	}
	summary := fmt.Sprintf("%s %s %s wait %d expected %d pause %d work %.1f", resultNames[result], upstream, call.Model, call.StartLatency().Milliseconds(), call.ExpectedStart.Milliseconds(), call.MeanGap().Milliseconds(), call.UpstreamWork)
	if call.Pace != 1 {
		summary += fmt.Sprintf(" pace %.2f", call.Pace)
	}
	if err != nil {
		summary += " (" + err.Error() + ")"
	}
	if result == dispatch.Broken {
		summary += " " + string(x.contentPart())
	}
	x.callSummaries = append(x.callSummaries, summary)
}

// record adds the request to the metrics and logs it.
func (x *exchange) record(err error) {
	total := time.Since(x.arrived)
	sample := metrics.Sample{Route: x.routeKey(), FirstToken: x.timeToFirstWrite, Total: total}
	fields := []zap.Field{
		zap.String("request_id", x.metadata.ID),
		zap.String("team", string(sample.Route.Team)),
		zap.String("route", string(sample.Route.Class)),
		zap.String("service", string(sample.Route.Service)),
		zap.String("session", x.metadata.Session),
		zap.Int64("prompt", int64(x.metadata.PromptTokens)),
		zap.String("parts", joinPartIDs(sharedParts(x.metadata.PromptParts))),
		zap.Duration("total", total),
		zap.Duration("first_part", x.timeToFirstWrite),
		zap.String("calls", strings.Join(x.callSummaries, "; ")),
	}
	if x.index != nil {
		fields = append(fields, zap.Uint64("config", uint64(x.index.Catalog.Version)))
	}
	switch {
	case err == nil:
		x.server.Metrics.RecordRequest(sample)
		events.RequestServed.Log(x.server.Log, fields...)
		return
	case errors.Is(err, errCallerDisconnected):
		sample.Fault = faults.New(faults.Canceled, "")
	default:
		sample.Fault = faults.FromError(err)
	}
	x.server.Metrics.RecordRequest(sample)
	fields = append(fields,
		zap.String("kind", string(sample.Fault.Kind)),
		zap.String("run", string(sample.Fault.Run)),
		zap.String("detail", sample.Fault.Detail),
		zap.Int("status", responseStatus(x, sample.Fault)),
		zap.Duration("retry_after", sample.Fault.RetryAfter),
	)
	events.RequestFailed.Log(x.server.Log, fields...)
}

// joinPartIDs returns the IDs of the first prompt parts, up to maxLoggedParts,
// separated by commas.
func joinPartIDs(parts []platform.PromptPart) string {
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// maxLoggedParts bounds the prompt parts in a log entry.
const maxLoggedParts = 8

// responseStatus returns the status of the error response, zero if none is
// written because a response was already started or the caller disconnected.
func responseStatus(x *exchange, fault *faults.Error) int {
	if x.headerWritten || fault.Kind == faults.Canceled {
		return 0
	}
	return fault.Response().Status
}

var _ http.Handler = (*Server)(nil)
