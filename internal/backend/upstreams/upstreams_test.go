package upstreams

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/pacing"
)

const (
	oneEvent   = `data: {"choices":[{"delta":{"content":"hi"},"logprobs":{"content":[{"logprob":-0.5}]}}]}` + "\n\n"
	usageEvent = `data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":2}}}` + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// respond starts a server that answers every call with a status, a request ID
// and a body, and returns its address.
func respond(t *testing.T, status int, id, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, id)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// callChat makes a chat call with request ID "r", and returns the text of the
// answer, the usage and the error.
func callChat(t *testing.T, address string) (string, Usage, error) {
	t.Helper()
	client := &Client{}
	t.Cleanup(client.Close)
	text := ""
	usage, err := client.StreamChat(t.Context(), ChatCall{Address: address, RequestID: "r"}, ChatCallbacks{OnEvent: func(event ChatEvent) error {
		text += event.Content
		return nil
	}})
	return text, usage, err
}

// assertKind fails the test unless the error is a fault of the kind and run
// state.
func assertKind(t *testing.T, err error, kind faults.Kind, run faults.Run) {
	t.Helper()
	fault := faults.FromError(err)
	if err == nil || fault.Kind != kind || fault.Run != run {
		t.Fatalf("error is %v with run %s, want %s with run %s", err, fault.Run, kind, run)
	}
}

// An answer must be taken as complete only if it ends with [DONE] and echoes
// the request's ID. Otherwise a caller could get a part of an answer, or the
// answer to another request. A call that never connected must be reported as
// not run, so that it can be retried.
func TestStreamChat(t *testing.T) {
	t.Run("complete answer", func(t *testing.T) {
		is := is.New(t)
		text, usage, err := callChat(t, respond(t, http.StatusOK, "r", oneEvent+usageEvent+doneEvent))
		is.NoErr(err)
		is.Equal(text, "hi")
		is.Equal(usage, Usage{PromptTokens: 3, AnswerTokens: 1, CachedTokens: 2})
	})
	t.Run("answer without [DONE]", func(t *testing.T) {
		_, _, err := callChat(t, respond(t, http.StatusOK, "r", oneEvent+usageEvent))
		assertKind(t, err, faults.AnswerIncomplete, faults.RunUnknown)
	})
	t.Run("answer to another request", func(t *testing.T) {
		_, _, err := callChat(t, respond(t, http.StatusOK, "other", oneEvent+doneEvent))
		assertKind(t, err, faults.AnswerMismatched, faults.RunUnknown)
	})
	t.Run("event that is not JSON", func(t *testing.T) {
		_, _, err := callChat(t, respond(t, http.StatusOK, "r", "data: {\n\n"+doneEvent))
		assertKind(t, err, faults.AnswerIncomplete, faults.RunUnknown)
	})
	t.Run("failed upstream", func(t *testing.T) {
		_, _, err := callChat(t, respond(t, http.StatusInternalServerError, "r", ""))
		assertKind(t, err, faults.UpstreamFailed, faults.RunUnknown)
	})
	t.Run("no upstream at the address is not run", func(t *testing.T) {
		_, _, err := callChat(t, "127.0.0.1:1")
		assertKind(t, err, faults.UpstreamFailed, faults.RunNo)
	})
}

// A plain answer with another request's ID must not reach the caller. A
// call canceled before it connected must be reported as not run.
func TestCallPlain(t *testing.T) {
	call := func(t *testing.T, address string) (PlainResponse, error) {
		client := &Client{}
		t.Cleanup(client.Close)
		return client.CallPlain(t.Context(), PlainCall{Address: address, RequestID: "r", Method: http.MethodPost, Path: "/x", AtMostOnce: true})
	}
	t.Run("complete answer", func(t *testing.T) {
		is := is.New(t)
		answer, err := call(t, respond(t, http.StatusCreated, "r", "body"))
		is.NoErr(err)
		is.Equal(string(answer.Body), "body")
		is.Equal(answer.Status, http.StatusCreated)
	})
	t.Run("answer to another request", func(t *testing.T) {
		_, err := call(t, respond(t, http.StatusOK, "other", "body"))
		assertKind(t, err, faults.AnswerMismatched, faults.RunUnknown)
	})
	t.Run("refusal of another request", func(t *testing.T) {
		_, err := call(t, respond(t, http.StatusServiceUnavailable, "other", "body"))
		assertKind(t, err, faults.AnswerMismatched, faults.RunUnknown)
	})
	t.Run("refusal without an ID", func(t *testing.T) {
		is := is.New(t)
		answer, err := call(t, respond(t, http.StatusServiceUnavailable, "", "body"))
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusServiceUnavailable)
	})
	t.Run("call canceled before it connects is not run", func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errors.New("gone"))
		_, err := (&Client{}).CallPlain(ctx, PlainCall{Address: respond(t, http.StatusOK, "r", ""), Method: http.MethodGet, Path: "/"})
		assertKind(t, err, faults.Canceled, faults.RunNo)
	})
}

// The sender of an order must learn that the engine rejected it for its old
// fencing token.
func TestSendOrder(t *testing.T) {
	client := &Client{}
	t.Cleanup(client.Close)
	is := is.New(t)
	is.NoErr(client.SendOrder(t.Context(), respond(t, http.StatusOK, "", ""), Order{Subject: "s"}))
	is.True(errors.Is(client.SendOrder(t.Context(), respond(t, http.StatusConflict, "", ""), Order{Subject: "s"}), ErrFenced))
}

// A stream must not be taken as complete without [DONE], whatever else it
// holds.
func FuzzReadEvents(f *testing.F) {
	f.Add(oneEvent + usageEvent + doneEvent)
	f.Add("data: [DONE]")
	f.Add(":\n\ndata:{}\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := readEvents(strings.NewReader(text), func() {}, func(int64) error { return nil }, func(ChatEvent) error { return nil })
		if err == nil && !strings.Contains(text, doneMarker) {
			t.Fatalf("an answer without [DONE] was taken as complete: %q", text)
		}
	})
}

// TestNamedLimits guards against limits that are misread, and against an answer without the
// request's ID, which may not be the upstream's, that lifts one.
func TestNamedLimits(t *testing.T) {
	for _, c := range []struct {
		name, id, text string
		want           string
	}{
		{"a number", "r", "4.5", "4.5 true"},
		{"none", "r", "", "0 false"},
		{"zero", "r", "0", "0 true"},
		{"beyond the bound", "r", "1e30", "1e+09 true"},
		{"negative", "r", "-1", ""},
		{"no number", "r", "NaN", ""},
		{"text", "r", "many", ""},
		{"another request", "other", "4.5", ""},
		{"no ID and no limit", "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			record := LimitFunc(func(rate pacing.Rate, named bool) { got = fmt.Sprint(float64(rate), named) })
			record.report(http.Header{headerRequestID: {c.id}, headerLoadLimit: {c.text}}, "r")
			is.New(t).Equal(got, c.want)
		})
	}
}
