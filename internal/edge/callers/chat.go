package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"mimosayard/internal/backend/raters"
	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/sessions"
	"mimosayard/internal/core/tables"
)

// chatRequest holds the fields of a chat completion request that the router
// reads. The other fields are forwarded to the engine unchanged.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	User                string        `json:"user"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatCompletion is a chat completion request in progress.
type chatCompletion struct {
	exchange *exchange
	body     chatRequest
	// rawFields holds all fields of the caller's request. upstreamBody
	// overrides some of them and encodes the request for the engine.
	rawFields    map[string]json.RawMessage
	task         *router.Task
	step         *router.Step
	sessionToken string

	// The fields below describe the stage call in progress.

	// accepted is true once the stage's answer has been accepted.
	accepted bool
	// buffered holds the events received before the answer was accepted.
	buffered []upstreams.ChatEvent
	// logProbSum is the sum of the log probabilities of scoredTokens tokens.
	logProbSum    float64
	scoredTokens  int
	contentEvents int
	answerText    strings.Builder
	finishReason  string
	lastContentAt time.Time
}

const (
	// bytesPerToken estimates the number of tokens of a prompt from its size.
	bytesPerToken = 4
	// maxRatedBytes is the size to which an answer is cut before it is sent
	// for rating.
	maxRatedBytes = 16 << 10
	// bodyCopies and eventCopies are the numbers of copies of a body and of an event that are
	// held in memory in addition to the original.
	bodyCopies  = 3
	eventCopies = 4
)

// errEscalate cancels a stage call whose answer was not accepted.
var errEscalate = errors.New("escalate to the next stage")

// serveChat serves a chat completion request.
func (x *exchange) serveChat() error {
	data, err := x.readBody()
	if err != nil {
		return err
	}
	// The decoded messages, the prompt and the upstream's request are copies of the body.
	if err := x.bodyClaim.Grow(bodyCopies * int64(len(data))); err != nil {
		return faults.New(faults.Overloaded, "there is no room for the body")
	}
	completion := &chatCompletion{exchange: x}
	if err := completion.parse(data); err != nil {
		return err
	}
	request, err := completion.routerRequest()
	if err != nil {
		return err
	}
	request.ContentPart = x.contentPart(data)
	task, fault := x.server.Router.Admit(x.arrivedAt, request)
	if fault != nil {
		return fault
	}
	completion.task = task
	defer func() { x.server.Router.FinishTask(time.Now(), task) }()
	if err := completion.startSession(request); err != nil {
		return err
	}
	return completion.runCascade()
}

// parse decodes and validates the request body.
func (c *chatCompletion) parse(data []byte) error {
	if err := json.Unmarshal(data, &c.body); err != nil {
		return faults.New(faults.BadRequest, "the body is not a chat completion request: "+err.Error())
	}
	if err := json.Unmarshal(data, &c.rawFields); err != nil {
		return faults.New(faults.BadRequest, "the body is not a JSON object")
	}
	if c.body.Model == "" || len(c.body.Messages) == 0 {
		return faults.New(faults.BadRequest, "model and messages are required")
	}
	if c.body.MaxTokens < 0 || c.body.MaxCompletionTokens < 0 {
		return faults.New(faults.BadRequest, "token bounds are not negative")
	}
	return nil
}

// routerRequest returns the request for the router. It resolves the route,
// verifies the session token, if any, and pins the pools of its session. The
// caller is identified by the session, the caller header, or the user field,
// in this order.
func (c *chatCompletion) routerRequest() (router.Request, error) {
	x := c.exchange
	prompt := c.promptText()
	request := router.Request{
		Caller:          c.body.User,
		RequestID:       x.requestID,
		PromptTokens:    tables.Tokens(len(prompt)/bytesPerToken + 1),
		MaxAnswerTokens: tables.Tokens(max(c.body.MaxTokens, c.body.MaxCompletionTokens)),
		PrefixHash:      routing.PrefixHash(prompt),
		ArrivedAt:       x.arrivedAt,
	}
	if caller := x.request.Header.Get(headerCaller); caller != "" {
		request.Caller = caller
	}
	entry, model := x.findModelRoute(tables.ServiceID(c.body.Model), tables.ClassID(x.request.Header.Get(headerClass)))
	if entry == nil {
		return request, faults.New(faults.NotAllowed, c.body.Model)
	}
	request.Route = entry.Key()
	request.Model = model
	x.route = request.Route
	token := x.request.Header.Get(headerSession)
	if token == "" || token == newSession {
		return request, nil
	}
	session, err := x.server.SessionKeys().Verify(x.arrivedAt, token)
	if err != nil {
		return request, faults.New(faults.SessionInvalid, err.Error())
	}
	if session.Team != entry.Route.Team || session.Service != entry.Route.Service || session.Class != entry.Route.Class {
		return request, faults.New(faults.SessionInvalid, "the session belongs to another team, service or class")
	}
	request.PinnedPools = session.Pools
	request.Caller = session.ID
	c.sessionToken = token
	return request, nil
}

// promptText returns the JSON contents of all messages, concatenated in order.
func (c *chatCompletion) promptText() string {
	var text strings.Builder
	for _, m := range c.body.Messages {
		text.Write(m.Content)
	}
	return text.String()
}

// startSession creates a session if the caller requested one, and pins the
// task to its pools. The response to each request of a session carries the
// session token.
func (c *chatCompletion) startSession(request router.Request) error {
	x := c.exchange
	if x.request.Header.Get(headerSession) == newSession {
		session := sessions.Session{
			ID:      x.requestID,
			Team:    request.Route.Team,
			Service: request.Route.Service,
			Class:   request.Route.Class,
			Pools:   c.task.Pools,
			Started: x.arrivedAt.Unix(),
		}
		token, err := x.server.SessionKeys().Sign(session)
		if err != nil {
			return faults.New(faults.NotReady, "no session key is known")
		}
		c.sessionToken = token
		c.task.Request.PinnedPools = c.task.Pools
	}
	if c.sessionToken != "" {
		x.writer.Header().Set(headerSession, c.sessionToken)
	}
	return nil
}

// runCascade calls the stages of the cascade until an answer is accepted and
// complete. A failed call is retried, within maxAttempts and the retry budget,
// as long as nothing has been sent to the caller.
func (c *chatCompletion) runCascade() error {
	x := c.exchange
	ctx, cancel := context.WithDeadline(x.request.Context(), c.task.Deadline())
	defer cancel()
	var failedUpstream tables.UpstreamID
	var history attemptHistory
	for attempt := 1; ; {
		step, fault := x.startStep(c.task, failedUpstream)
		if fault != nil {
			return history.refusal(fault)
		}
		usage, err := c.callStage(ctx, step)
		switch {
		case err == nil:
			return c.complete(usage)
		case errors.Is(err, errEscalate):
			x.escalated = true
			history.mayHaveRun = true
			failedUpstream = ""
			continue
		}
		fault = history.recordFailure(faults.FromError(err))
		if fault.Kind == faults.Canceled && c.contentEvents > 0 {
			// The caller disconnected: bill the tokens generated so far.
			c.bill(upstreams.Usage{PromptTokens: c.task.Request.PromptTokens, AnswerTokens: tables.Tokens(c.contentEvents)})
		}
		if x.responseStarted || fault.Kind == faults.AnswerDropped || isRequestRejected(fault) || attempt >= maxAttempts || ctx.Err() != nil || !x.allowsRetry(fault) {
			return fault
		}
		attempt++
		failedUpstream = step.Choice.Upstream.Config.Name
	}
}

// callStage makes one call to an upstream and reports its outcome to the
// router. It returns errEscalate if the answer was not accepted.
func (c *chatCompletion) callStage(ctx context.Context, step *router.Step) (upstreams.Usage, error) {
	x := c.exchange
	c.step = step
	c.accepted = false
	c.buffered, c.logProbSum, c.scoredTokens, c.contentEvents, c.finishReason = nil, 0, 0, 0, ""
	c.answerText.Reset()
	c.exchange.answerClaim.Release()
	body, err := c.upstreamBody(step)
	if err != nil {
		return upstreams.Usage{}, err
	}
	call := upstreams.ChatCall{
		Address:   step.Choice.Upstream.Config.Address,
		RequestID: x.requestID,
		Priority:  c.task.Entry.Route.Priority,
		Body:      body,
	}
	usage, err := x.server.UpstreamClient.StreamChat(ctx, call, upstreams.ChatCallbacks{
		OnLoad: func(report routing.LoadReport) {
			x.server.Router.RecordLoad(step.Pool.Name, step.Choice.Upstream.Config.Name, report)
		},
		OnLimit: x.limitRecorder(step),
		Claim:   x.claimAnswer,
		OnEvent: c.handleEvent,
	})
	if err == nil && !c.accepted {
		// The answer ended before ConfidenceTokens tokens.
		err = c.acceptOrEscalate()
	}
	x.finishStep(c.task, step, c.stepOutcome(usage, err), err)
	x.cost = c.task.Cost
	return usage, err
}

// stepOutcome returns the outcome of a call for the router. An escalation and
// a cancellation by the caller are aborts, not failures of the upstream.
func (c *chatCompletion) stepOutcome(usage upstreams.Usage, err error) router.Outcome {
	outcome := router.Outcome{PromptTokens: usage.PromptTokens, AnswerTokens: usage.AnswerTokens, CachedTokens: usage.CachedTokens}
	if usage.PromptTokens == 0 && c.contentEvents > 0 {
		// The call ended before the engine reported its usage: estimate it
		// from the request and the number of events.
		outcome.PromptTokens = c.task.Request.PromptTokens
		outcome.AnswerTokens = tables.Tokens(c.contentEvents)
	}
	// The second event shows that the engine has got past the beginning.
	outcome.Answered = err == nil || c.contentEvents > 1
	if err == nil {
		return outcome
	}
	outcome.Failed = !errors.Is(err, errEscalate) && c.exchange.isUpstreamFailure(c.step.Choice.Upstream.Config.Address, faults.FromError(err))
	outcome.Aborted = !outcome.Failed
	return outcome
}

// handleEvent buffers the events of the stream until the answer is accepted,
// and forwards them from then on. The decision is made after ConfidenceTokens
// tokens, or at the first event if the step's answer is accepted whatever its
// confidence.
func (c *chatCompletion) handleEvent(event upstreams.ChatEvent) error {
	// The event is in the reader's buffer and in decoded form while it is handled, and
	// its content is kept for the answer.
	transient := eventCopies * int64(len(event.Data))
	if err := c.exchange.claimAnswer(transient + 2*int64(len(event.Content))); err != nil {
		return err
	}
	if c.accepted {
		defer func() { _ = c.exchange.answerClaim.Grow(-transient) }()
	}
	c.recordEvent(event)
	if c.accepted {
		return c.forwardEvent(event)
	}
	event.Data = bytes.Clone(event.Data)
	c.buffered = append(c.buffered, event)
	if !c.step.FinalStage && c.scoredTokens < int(router.ConfidenceTokens) {
		return nil
	}
	return c.acceptOrEscalate()
}

// acceptOrEscalate decides on the answer by the confidence so far. It forwards
// the buffered events of an accepted answer, and otherwise returns
// errEscalate.
func (c *chatCompletion) acceptOrEscalate() error {
	x := c.exchange
	if !x.server.Router.Accept(time.Now(), c.task, c.step, upstreams.Confidence(c.logProbSum, c.scoredTokens)) {
		return errEscalate
	}
	c.accepted = true
	x.firstTokenLatency = time.Since(x.arrivedAt)
	for _, event := range c.buffered {
		if err := c.forwardEvent(event); err != nil {
			return err
		}
	}
	c.buffered = nil
	return nil
}

// recordEvent adds an event to the answer, its log probabilities and the
// latency measurements.
func (c *chatCompletion) recordEvent(event upstreams.ChatEvent) {
	x := c.exchange
	now := time.Now()
	if event.Content != "" {
		if c.contentEvents == 0 {
			x.server.Router.RecordFirstToken(now, c.step)
		} else {
			x.server.Metrics.RecordTokenGap(x.route, now.Sub(c.lastContentAt))
		}
		c.lastContentAt = now
		c.contentEvents++
	}
	c.logProbSum += event.LogProbSum
	c.scoredTokens += event.Tokens
	c.answerText.WriteString(event.Content)
	c.finishReason += event.FinishReason
}

// complete bills the request, ends the response, and submits the answer for
// rating.
func (c *chatCompletion) complete(usage upstreams.Usage) error {
	x := c.exchange
	c.bill(usage)
	if err := c.writeCompletion(usage); err != nil {
		return err
	}
	text := c.answerText.String()
	if len(text) > maxRatedBytes {
		text = text[:maxRatedBytes]
	}
	x.server.SubmitForRating(raters.Answer{RequestID: x.requestID, Text: text})
	return nil
}

// bill stores the bill of the request for a usage.
func (c *chatCompletion) bill(usage upstreams.Usage) {
	x := c.exchange
	x.server.StoreBill(billing.Bill{
		RequestID: x.requestID,
		Team:      x.team,
		Prompt:    usage.PromptTokens,
		Answer:    usage.AnswerTokens,
		Cost:      c.task.Cost,
	})
}

// upstreamBody returns the request body for the engine: the caller's fields,
// with the model version of the step's pool, and with streaming, usage and log
// probabilities turned on.
func (c *chatCompletion) upstreamBody(step *router.Step) ([]byte, error) {
	c.rawFields["model"] = quoteJSON(string(step.Pool.Model) + "@" + string(step.Pool.Version))
	c.rawFields["stream"] = json.RawMessage("true")
	c.rawFields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	c.rawFields["logprobs"] = json.RawMessage("true")
	body, err := json.Marshal(c.rawFields)
	if err != nil {
		return nil, faults.NotRun(faults.Internal, err.Error())
	}
	return body, nil
}

// claimAnswer extends what the answer holds in memory, also by less than none. It returns an
// AnswerDropped fault if there is no room.
func (x *exchange) claimAnswer(n int64) error {
	if x.answerClaim.Grow(n) != nil {
		return faults.New(faults.AnswerDropped, "")
	}
	return nil
}

// findModelRoute returns the route for the model field of a request. The field
// names a service, or one of the models that the team may use, which is then
// returned too. An empty class matches every class. The route is nil if there
// is none.
func (x *exchange) findModelRoute(name tables.ServiceID, class tables.ClassID) (*tables.RouteEntry, tables.ModelID) {
	for _, entry := range x.index.TeamRoutes(x.team) {
		if !entry.HasModelPools() || (class != "" && entry.Route.Class != class) {
			continue
		}
		if entry.Route.Service == name {
			return entry, ""
		}
		for _, stage := range entry.Stages {
			if string(stage.Model) == string(name) {
				return entry, stage.Model
			}
		}
	}
	return nil, ""
}

// quoteJSON returns the text as a JSON string.
func quoteJSON(text string) json.RawMessage {
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}
