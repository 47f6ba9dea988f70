package callers

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/net/budget"
)

// A caller retries a request that is reported as not run. A request whose
// calls failed must therefore be reported as not run only if no upstream can
// have run it, whatever the outcome of its last call.
func TestAttemptHistory(t *testing.T) {
	refused := faults.New(faults.NoUpstream, "")
	t.Run("refusal without an attempt is not run", func(t *testing.T) {
		is.New(t).Equal((&attemptHistory{}).refusal(refused).Run, faults.RunNo)
	})
	t.Run("refusal after an attempt that may have run is unknown", func(t *testing.T) {
		is := is.New(t)
		var history attemptHistory
		history.recordFailure(faults.New(faults.UpstreamTimeout, ""))
		reported := history.refusal(refused)
		is.Equal(reported.Kind, faults.UpstreamTimeout)
		is.Equal(reported.Run, faults.RunUnknown)
	})
	t.Run("refusal after attempts that did not run is not run", func(t *testing.T) {
		var history attemptHistory
		history.recordFailure(faults.NotRun(faults.UpstreamFailed, ""))
		is.New(t).Equal(history.refusal(refused).Run, faults.RunNo)
	})
	t.Run("later attempt that did not run does not hide an earlier one", func(t *testing.T) {
		var history attemptHistory
		history.recordFailure(faults.New(faults.UpstreamFailed, ""))
		is.New(t).Equal(history.recordFailure(faults.NotRun(faults.UpstreamFailed, "")).Run, faults.RunUnknown)
	})
	t.Run("escalation after an attempt that did not run is unknown", func(t *testing.T) {
		var history attemptHistory
		history.recordFailure(faults.NotRun(faults.UpstreamFailed, ""))
		history.mayHaveRun = true
		is.New(t).Equal(history.refusal(refused).Run, faults.RunUnknown)
	})
	t.Run("refusal after an escalation is unknown", func(t *testing.T) {
		is.New(t).Equal((&attemptHistory{mayHaveRun: true}).refusal(refused).Run, faults.RunUnknown)
	})
}

// TestLostLinksAreNoUpstreamFailures guards against upstreams and versions that are taken
// for bad because this instance has lost its own links.
func TestLostLinksAreNoUpstreamFailures(t *testing.T) {
	x := &exchange{server: &Server{IsLinkLost: func(address string) bool { return address == "lost" }}}
	for _, c := range []struct {
		name    string
		address string
		fault   *faults.Error
		want    bool
	}{
		{"broken over a link that works", "works", faults.New(faults.AnswerIncomplete, ""), true},
		{"timed out over a lost link", "lost", faults.New(faults.UpstreamTimeout, ""), false},
		{"broken over a lost link", "lost", faults.New(faults.AnswerIncomplete, ""), false},
		{"reached by no path", "lost", faults.NotRun(faults.UpstreamFailed, ""), true},
		{"without room for the answer", "works", faults.New(faults.AnswerDropped, ""), false},
		{"canceled", "works", faults.New(faults.Canceled, ""), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(x.isUpstreamFailure(c.address, c.fault), c.want)
		})
	}
	is.New(t).True((&exchange{server: &Server{}}).isUpstreamFailure("lost", faults.New(faults.UpstreamTimeout, "")))
}

// TestBodiesWithoutRoomAreNotRun guards against a refusal for want of room that does not say
// that the request was not run, or keeps the connection of a body that was not read.
func TestBodiesWithoutRoomAreNotRun(t *testing.T) {
	is := is.New(t)
	for size, status := range map[int]int{100: http.StatusOK, 200 << 10: http.StatusServiceUnavailable} {
		recorder := httptest.NewRecorder()
		x := &exchange{
			server: &Server{MaxBodyBytes: 1 << 20, ClientIOTimeout: time.Second}, writer: recorder,
			request: httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", size))), bodyPending: true,
		}
		x.bodyClaim.Init(budget.New(100<<10), budget.BodyFloor)
		body, err := x.readBody()
		if status == http.StatusOK {
			is.NoErr(err)
			is.Equal(len(body), size)
			continue
		}
		fault := faults.FromError(err)
		is.Equal(fault.Run, faults.RunNo)
		x.writeFault(fault)
		is.Equal(recorder.Code, status)
		is.Equal(recorder.Header().Get("Connection"), "close")
		is.True(recorder.Header().Get("Retry-After") != "")
	}
}

// Whatever its body, a request must be accepted only if it is valid JSON, and
// must otherwise be refused as a bad request that was not run.
func FuzzParseChatRequest(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`)
	f.Add(`{"model":"m","messages":[{}],"max_tokens":-1}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, text string) {
		completion := &chatCompletion{exchange: &exchange{}}
		err := completion.parse([]byte(text))
		if err == nil {
			if !json.Valid([]byte(text)) {
				t.Fatalf("parse accepted a body that is not JSON: %q", text)
			}
			_ = completion.promptText()
			return
		}
		if fault := faults.FromError(err); fault.Kind != faults.BadRequest || fault.Run != faults.RunNo {
			t.Fatalf("error is %v", err)
		}
	})
}
