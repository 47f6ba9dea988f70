// Package faults defines the closed list of error kinds that callers can
// receive, and the response for each kind.
package faults

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// A Response is the response to a caller for an error kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Run is the run state that an error has unless it sets another one.
	Run Run
	// RetryAfter is the wait that New gives an error. Zero means that the
	// response has none.
	RetryAfter time.Duration
	// Message describes the kind to callers.
	Message string
}

// An Error is an error of one of the kinds.
type Error struct {
	Kind Kind
	// Run is RunNo only if no upstream can have received the request.
	Run Run
	// RetryAfter is how long the caller should wait before a retry. Zero means
	// that the response has no such time.
	RetryAfter time.Duration
	// ConnectionLost is true if the connection on which an upstream got the request broke
	// before the end of its answer.
	ConnectionLost bool
	// Detail adds to the kind's message. It may be empty.
	Detail string
}

// A Kind is one of the closed list of error kinds.
type Kind string

// A Run is whether a request that failed may have been executed.
type Run string

// The error kinds.
const (
	AllowanceExceeded   Kind = "allowance_exceeded"
	AnswerDropped       Kind = "answer_dropped"
	AnswerIncomplete    Kind = "answer_incomplete"
	AnswerMismatched    Kind = "answer_mismatched"
	BadRequest          Kind = "bad_request"
	Canceled            Kind = "canceled"
	DeadlineUnreachable Kind = "deadline_unreachable"
	DuplicateRequest    Kind = "duplicate_request"
	HeadersTooLarge     Kind = "headers_too_large"
	Internal            Kind = "internal"
	Interrupted         Kind = "interrupted"
	NoUpstream          Kind = "no_upstream"
	NotAllowed          Kind = "not_allowed"
	NotReady            Kind = "not_ready"
	Overloaded          Kind = "overloaded"
	PlatformUnavailable Kind = "platform_unavailable"
	PromptQuarantined   Kind = "prompt_quarantined"
	SessionInvalid      Kind = "session_invalid"
	ShuttingDown        Kind = "shutting_down"
	SlowRequest         Kind = "slow_request"
	TooLarge            Kind = "too_large"
	Unauthenticated     Kind = "unauthenticated"
	UnknownRoute        Kind = "unknown_route"
	UpstreamFailed      Kind = "upstream_failed"
	UpstreamTimeout     Kind = "upstream_timeout"
	VersionWithdrawn    Kind = "version_withdrawn"
)

// The run states.
const (
	// RunNo means that the request was not executed, so a retry is safe.
	RunNo Run = "no"
	// RunUnknown means that the request may have been executed.
	RunUnknown Run = "unknown"
)

// statusClientClosedRequest is nginx's status code for a request whose client
// closed the connection. It is in no standard.
const statusClientClosedRequest = 499

// responses holds the response to each kind. It is not changed.
var responses = map[Kind]Response{
	AllowanceExceeded:   {http.StatusTooManyRequests, RunNo, time.Second, "the team's allowance is used up"},
	AnswerDropped:       {http.StatusBadGateway, RunUnknown, time.Second, "there was no room for the answer"},
	AnswerIncomplete:    {http.StatusBadGateway, RunUnknown, 0, "the upstream's answer ended early"},
	AnswerMismatched:    {http.StatusBadGateway, RunUnknown, 0, "the upstream answered another request"},
	BadRequest:          {http.StatusBadRequest, RunNo, 0, "the request is not understood"},
	Canceled:            {statusClientClosedRequest, RunUnknown, 0, "the caller closed the request"},
	DeadlineUnreachable: {http.StatusServiceUnavailable, RunNo, time.Second, "the deadline cannot be met now"},
	DuplicateRequest:    {http.StatusConflict, RunUnknown, 0, "a request with this idempotency key was taken before"},
	HeadersTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, RunNo, 0, "the request headers are too large"},
	Internal:            {http.StatusInternalServerError, RunUnknown, 0, "the router failed"},
	Interrupted:         {http.StatusBadGateway, RunUnknown, 0, "the instance stopped before the answer was complete"},
	NoUpstream:          {http.StatusServiceUnavailable, RunNo, time.Second, "no upstream can take the request"},
	NotAllowed:          {http.StatusForbidden, RunNo, 0, "the team may not use this model or version"},
	NotReady:            {http.StatusServiceUnavailable, RunNo, time.Second, "the instance has no configuration yet"},
	Overloaded:          {http.StatusServiceUnavailable, RunNo, time.Second, "capacity is short"},
	PlatformUnavailable: {http.StatusServiceUnavailable, RunNo, 5 * time.Second, "the request cannot be registered now"},
	PromptQuarantined:   {http.StatusServiceUnavailable, RunNo, 30 * time.Second, "a part of the prompt is quarantined, since upstreams crashed on it"},
	SessionInvalid:      {http.StatusBadRequest, RunNo, 0, "the session token is not valid"},
	ShuttingDown:        {http.StatusServiceUnavailable, RunNo, time.Second, "the instance is stopping"},
	SlowRequest:         {http.StatusRequestTimeout, RunNo, 0, "the request did not come in time"},
	TooLarge:            {http.StatusRequestEntityTooLarge, RunNo, 0, "the request body is too large"},
	Unauthenticated:     {http.StatusUnauthorized, RunNo, 0, "the credential is missing or unknown"},
	UnknownRoute:        {http.StatusNotFound, RunNo, 0, "the team has no route for this service and class"},
	UpstreamFailed:      {http.StatusBadGateway, RunUnknown, time.Second, "the upstream failed"},
	UpstreamTimeout:     {http.StatusGatewayTimeout, RunUnknown, time.Second, "the upstream did not answer in time"},
	VersionWithdrawn:    {http.StatusConflict, RunNo, 0, "the session's version was withdrawn; start a new session"},
}

// New returns an error of the kind with the kind's run state and RetryAfter.
func New(kind Kind, detail string) *Error {
	response := responses[kind]
	return &Error{Kind: kind, Run: response.Run, RetryAfter: response.RetryAfter, Detail: detail}
}

// NotRun returns an error of the kind for a request that no upstream has
// received.
func NotRun(kind Kind, detail string) *Error {
	fault := New(kind, detail)
	fault.Run = RunNo
	return fault
}

// FromError returns the Error in err's chain, or an Error of kind Internal with
// err's message as its detail if there is none.
func FromError(err error) *Error {
	var fault *Error
	if errors.As(err, &fault) || errors.As(trace.Unwrap(err), &fault) {
		return fault
	}
	return New(Internal, trace.UserMessage(err))
}

// Responses returns the response of every kind. The caller must not change the
// map.
func Responses() map[Kind]Response {
	return responses
}

// Response returns the response to a caller, with the error's own run state and
// RetryAfter. An unlisted kind is answered as Internal.
func (e *Error) Response() Response {
	response, ok := responses[e.Kind]
	if !ok {
		response = responses[Internal]
	}
	response.Run = e.Run
	response.RetryAfter = e.RetryAfter
	return response
}

// Error returns the kind, followed by the detail if there is one.
func (e *Error) Error() string {
	if e.Detail == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Detail
}
