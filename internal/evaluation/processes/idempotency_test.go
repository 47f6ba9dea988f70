package processes

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// plainServiceExecutions counts what the stand-in of the plain service has
// carried out.
type plainServiceExecutions struct {
	// MaxEffects is the largest number of times that one deposit was carried out.
	MaxEffects int `json:"most_effects"`
	// Effects is the number of all deposits carried out.
	Effects int `json:"effects"`
}

// plainServiceURL returns the URL of the first upstream of the plain service.
func (f *fleet) plainServiceURL() string {
	return "http://" + f.subnet + ".50:7200"
}

// plainServiceExecutions returns the counts of the first upstream of the plain
// service.
func (f *fleet) plainServiceExecutions() plainServiceExecutions {
	var executions plainServiceExecutions
	f.getJSON(f.plainServiceURL()+"/admin/runs", &executions)
	return executions
}

// assertRanOnce checks that the plain service has carried out the given number
// of deposits, each once.
func assertRanOnce(t *testing.T, f *fleet, deposits int) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	executions := f.plainServiceExecutions()
	is.Equal(executions.Effects, deposits)
	is.Equal(executions.MaxEffects, 1)
}

// TestNonIdempotentRunsAtMostOnce guards against a non-idempotent request that
// runs twice. When its answer is lost, neither the caller nor the instance knows
// whether it was executed. The caller's retry at another instance, with the same
// idempotency key, must not execute it again.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, nil)
	faults := f.plainServiceURL() + "/admin/faults"
	t.Run("run state is unknown after a cut connection, and the retry does not run", func(t *testing.T) {
		f.put(faults, `{"cut_after_run":true}`)
		assertError(t, f.call(0, depositCall(`{"raft":1}`, "cut")), http.StatusBadGateway, "upstream_failed", "unknown")
		f.put(faults, `{}`)
		assertError(t, f.call(1, depositCall(`{"raft":1}`, "cut")), http.StatusConflict, "duplicate_request", "unknown")
		assertRanOnce(t, f, 1)
	})
	t.Run("run state is unknown after a silent connection, and the retry does not run", func(t *testing.T) {
		f.put(faults, `{"silent_after_run":true}`)
		assertError(t, f.call(0, depositCall(`{"raft":2}`, "silent")), http.StatusGatewayTimeout, "upstream_timeout", "unknown")
		f.put(faults, `{}`)
		assertError(t, f.call(1, depositCall(`{"raft":2}`, "silent")), http.StatusConflict, "duplicate_request", "unknown")
		assertRanOnce(t, f, 2)
	})
	t.Run("retry after an answer gets the same answer", func(t *testing.T) {
		is := is.New(t)
		first := f.call(0, depositCall(`{"raft":3}`, "again"))
		second := f.call(1, depositCall(`{"raft":3}`, "again"))
		is.Equal(first.status, http.StatusOK)
		is.Equal(second.body, first.body)
		is.Equal(second.header.Get("Idempotency-Replayed"), "true")
		assertRanOnce(t, f, 3)
	})
	t.Run("idempotency key of another request is refused", func(t *testing.T) {
		assertError(t, f.call(1, depositCall(`{"raft":4}`, "again")), http.StatusBadRequest, "bad_request", "no")
		assertRanOnce(t, f, 3)
	})
	t.Run("lost answer of the store does not cause a second run", func(t *testing.T) {
		f.put(f.platformURL()+"/admin/faults", `{"lose_answers":1}`)
		is.New(t).Equal(f.call(0, depositCall(`{"raft":5}`, "lost")).status, http.StatusOK)
		assertRanOnce(t, f, 4)
	})
	t.Run("request with a key is refused as not run in a store outage", func(t *testing.T) {
		f.put(f.platformURL()+"/admin/faults", `{"outage":true}`)
		assertError(t, f.call(0, depositCall(`{"raft":6}`, "outage")), http.StatusServiceUnavailable, "platform_unavailable", "no")
		f.put(f.platformURL()+"/admin/faults", `{}`)
		assertRanOnce(t, f, 4)
	})
	t.Run("request to a killed upstream is not run, and its key may be used again", func(t *testing.T) {
		f.upstreams["desk-a"].kill()
		assertError(t, f.call(0, depositCall(`{"raft":7}`, "dead")), http.StatusBadGateway, "upstream_failed", "no")
		f.upstreams["desk-a"] = f.startUpstream(f.pools.Pools[2], f.pools.Pools[2].Upstreams[0])
		f.awaitHTTP(f.plainServiceURL() + "/admin/runs")
		is.New(t).Equal(f.call(1, depositCall(`{"raft":7}`, "dead")).status, http.StatusOK)
		assertRanOnce(t, f, 1)
	})
}

// TestIncompleteOrMismatchedAnswersAreDetected guards against answers that are
// passed on although they are incomplete or belong to another request. They
// come from upstreams that confuse requests, cut streams, or stop sending
// without closing the connection.
func TestIncompleteOrMismatchedAnswersAreDetected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, nil)
	faultsURL := func(name string) string {
		return "http://" + map[string]string{
			"small-a": f.subnet + ".30:7100", "small-b": f.subnet + ".31:7100",
			"large-a": f.subnet + ".40:7100", "large-b": f.subnet + ".41:7100",
		}[name] + "/admin/faults"
	}
	setFaults := func(names []string, faults string) {
		for _, name := range names {
			f.put(faultsURL(name), faults)
		}
	}
	oneOfEachModel, allEngines := []string{"small-a", "large-a"}, []string{"small-a", "small-b", "large-a", "large-b"}
	t.Run("answer to another request is replaced by another upstream's answer", func(t *testing.T) {
		setFaults(oneOfEachModel, `{"wrong_id":true}`)
		for range 6 {
			assertCompleteStream(t, f.call(0, chatCall("crossed", nil)))
		}
		setFaults(allEngines, `{}`)
	})
	t.Run("answers to other requests from all upstreams are refused", func(t *testing.T) {
		setFaults(allEngines, `{"wrong_id":true}`)
		assertError(t, f.call(0, chatCall("crossed", nil)), http.StatusBadGateway, "answer_mismatched", "unknown")
		setFaults(allEngines, `{}`)
	})
	t.Run("cut stream has no end marker and is not billed", func(t *testing.T) {
		is := is.New(t)
		_, billedBefore := f.billedTotals()
		setFaults(allEngines, `{"cut_after":6}`)
		a := f.call(0, chatCall("cut the stream", nil))
		errorType, run := a.errorTypeAndRun()
		is.True(!a.isCompleteStream())
		is.True(errorType == "" || run == "unknown")
		setFaults(allEngines, `{}`)
		assertCompleteStream(t, f.call(0, chatCall("after the cut", nil)))
		f.awaitBills(7)
		_, billedAfter := f.billedTotals()
		is.True(billedBefore <= 6)
		is.Equal(billedAfter, int64(7))
	})
	t.Run("call to a silent upstream is retried at another one", func(t *testing.T) {
		f.upstreams["small-v1-a"].pause()
		f.upstreams["large-v1-a"].pause()
		for range 4 {
			assertCompleteStream(t, f.call(0, chatCall("silent", nil)))
		}
		f.upstreams["small-v1-a"].resume()
		f.upstreams["large-v1-a"].resume()
	})
}
