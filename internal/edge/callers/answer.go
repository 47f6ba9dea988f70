package callers

import (
	"encoding/json"
	"net/http"

	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/faults"
)

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      responseMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// eventStart and eventEnd enclose the data of a server-sent event.
var eventStart, eventEnd = []byte("data: "), []byte("\n\n")

// defaultFinishReason is the finish reason of an answer for which the engine
// reported none.
const defaultFinishReason = "stop"

// serveModels lists the services and models that the team may name in the
// model field of a chat completion request.
func (x *exchange) serveModels() error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[string]bool{}
	add := func(id, owner string) {
		if !seen[id] {
			seen[id] = true
			list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: owner})
		}
	}
	for _, entry := range x.index.TeamRoutes(x.team) {
		if !entry.HasModelPools() {
			continue
		}
		service := string(entry.Route.Service)
		add(service, service)
		for _, stage := range entry.Stages {
			add(string(stage.Model), service)
		}
	}
	return x.writeJSON(list)
}

// writeJSON writes the value as the JSON body of a response.
func (x *exchange) writeJSON(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return faults.New(faults.Internal, err.Error())
	}
	x.writer.Header().Set("Content-Type", "application/json")
	return x.write(encoded)
}

// write writes a part of the response within ClientIOTimeout. A failed
// write is a Canceled fault, since the caller has disconnected.
func (x *exchange) write(data []byte) error {
	x.prepareWrite()
	x.responseStarted = true
	return x.writePart(data)
}

// writePart writes a part of the response for which prepareWrite was called.
func (x *exchange) writePart(data []byte) error {
	if err := x.answerClaim.WriteAnswer(x.writer, data); err != nil {
		return faults.New(faults.Canceled, err.Error())
	}
	return nil
}

// forwardEvent sends an event of an accepted answer to the caller if the
// caller requested a stream.
func (c *chatCompletion) forwardEvent(event upstreams.ChatEvent) error {
	if !c.body.Stream {
		return nil
	}
	return c.writeEvent(event.Data)
}

// writeEvent writes and flushes one server-sent event.
func (c *chatCompletion) writeEvent(data []byte) error {
	x := c.exchange
	if !x.responseStarted {
		header := x.writer.Header()
		header.Set("Content-Type", eventStream)
		header.Set("Cache-Control", "no-store")
	}
	x.prepareWrite()
	x.responseStarted = true
	for _, part := range [...][]byte{eventStart, data, eventEnd} {
		if err := x.writePart(part); err != nil {
			return err
		}
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return faults.New(faults.Canceled, err.Error())
	}
	return nil
}

// writeCompletion writes the [DONE] event of a stream, or the whole response
// if the caller did not request a stream.
func (c *chatCompletion) writeCompletion(usage upstreams.Usage) error {
	if c.body.Stream {
		return c.writeEvent([]byte("[DONE]"))
	}
	finishReason := c.finishReason
	if finishReason == "" {
		finishReason = defaultFinishReason
	}
	return c.exchange.writeJSON(chatResponse{
		ID:      c.exchange.requestID,
		Object:  "chat.completion",
		Created: c.exchange.arrivedAt.Unix(),
		Model:   string(c.step.Pool.Model) + "@" + string(c.step.Pool.Version),
		Choices: []chatChoice{{Message: responseMessage{Role: "assistant", Content: c.answerText.String()}, FinishReason: finishReason}},
		Usage: chatUsage{
			PromptTokens:     int64(usage.PromptTokens),
			CompletionTokens: int64(usage.AnswerTokens),
			TotalTokens:      int64(usage.PromptTokens + usage.AnswerTokens),
		},
	})
}
