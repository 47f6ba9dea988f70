package upstreams

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/net/http1"
)

// An Order instructs an engine to load something or to change its role.
type Order struct {
	// Subject is what the action applies to, such as the name of an upstream.
	Subject string `json:"subject"`
	// Action is what the engine is to do, such as "load small@v1".
	Action string `json:"action"`
	// FencingToken rises from order to order for one subject, so that the engine
	// can reject an outdated order that arrives late.
	FencingToken uint64 `json:"fence"`
}

// A PlainCall is a call to a plain service.
type PlainCall struct {
	Address   string
	RequestID string
	Priority  int
	Method    string
	// Path is the escaped path, with the query if there is one.
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the call must not be sent twice. Such a call gets
	// a new connection, since an idle one may be dead.
	AtMostOnce bool
	// ReadBody reads the answer's body, whose length is -1 if it is not known. Nil stands
	// for io.ReadAll. A call whose answer has no room is an AnswerDropped fault.
	ReadBody func(body io.Reader, length int64) ([]byte, error)
	// OnLimit receives what the answer says of the upstream's limit, unless nil.
	OnLimit LimitFunc
}

// A PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxResponseBytes bounds the body of a response, which is buffered in memory.
const maxResponseBytes = 8 << 20

// CallPlain makes a call and returns its response once it is complete. A
// response that breaks off is an AnswerIncomplete fault, and one over 8 MiB an
// UpstreamFailed fault. An error status of the service is no error.
func (c *Client) CallPlain(ctx context.Context, call PlainCall) (PlainResponse, error) {
	ctx, a := c.beginAttempt(ctx)
	defer a.end()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return PlainResponse{}, faults.NotRun(faults.BadRequest, err.Error())
	}
	maps.Copy(request.Header, call.Header)
	request.Header.Set(headerRequestID, call.RequestID)
	request.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	transport := c.transport(call.Address)
	if call.AtMostOnce {
		transport = c.newTransport()
		transport.DisableKeepAlives = true
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return PlainResponse{}, c.classifyError(ctx, a, call.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(headerRequestID); id != call.RequestID && (id != "" || response.StatusCode < http.StatusInternalServerError) {
		return PlainResponse{}, faults.New(faults.AnswerMismatched, "")
	}
	call.OnLimit.report(response.Header, call.RequestID)
	http1.RequireBody(response)
	a.timer.Reset(c.progressTimeout())
	readBody := call.ReadBody
	if readBody == nil {
		readBody = func(body io.Reader, _ int64) ([]byte, error) { return io.ReadAll(body) }
	}
	body, err := readBody(http.MaxBytesReader(nil, response.Body, maxResponseBytes), response.ContentLength)
	switch {
	case err == nil:
		return PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
	case errors.Is(err, budget.ErrShort):
		return PlainResponse{}, faults.New(faults.AnswerDropped, "")
	case errors.As(err, new(*http.MaxBytesError)):
		return PlainResponse{}, faults.New(faults.UpstreamFailed, fmt.Sprintf("response body exceeds %d bytes", maxResponseBytes))
	default:
		fault := c.classifyError(ctx, a, call.Address, err)
		if fault.Kind == faults.UpstreamFailed {
			fault.Kind = faults.AnswerIncomplete
		}
		return PlainResponse{}, fault
	}
}

// ErrFenced is returned when an engine has seen a higher fencing token for the
// subject of an order.
var ErrFenced = errors.New("engine has seen a higher fencing token")

// SendOrder sends an order to an engine. It returns ErrFenced if the engine
// answers with status 409.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return faults.NotRun(faults.Internal, err.Error())
	}
	ctx, a := c.beginAttempt(ctx)
	defer a.end()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return faults.NotRun(faults.Internal, err.Error())
	}
	response, err := c.transport(address).RoundTrip(request)
	if err != nil {
		return c.classifyError(ctx, a, address, err)
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrFenced
	}
	return faults.New(faults.UpstreamFailed, "engine answered "+response.Status)
}

// nonNegativeTokens returns the count reported by an engine, or 0 if it is
// negative.
func nonNegativeTokens(count int64) tables.Tokens {
	return tables.Tokens(max(0, count))
}
