package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
)

// TestPageKeepsTeamNamesDistinct guards against metrics that are missing from
// the page, and against team names whose characters are replaced: the two teams
// here would become one.
func TestPageKeepsTeamNamesDistinct(t *testing.T) {
	is := is.New(t)
	r := New("i", "d")
	for _, team := range []tables.TeamID{"xưởng-a", "xưởng_a"} {
		route := tables.RouteKey{Team: team, Service: "s", Class: "c"}
		r.RecordRequest(Sample{Route: route, Total: time.Second, FirstToken: time.Millisecond, Cost: 5})
		r.RecordRequest(Sample{Route: route, Fault: faults.New(faults.Overloaded, "")})
		r.RecordTokenGap(route, time.Millisecond)
		r.RecordStart(route, time.Second, 2*time.Second)
		r.RecordStart(route, 0, time.Second)
	}
	is.NoErr(r.Close())
	page := httptest.NewRecorder()
	r.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, want := range []string{
		`mimosayard_requests{class="c",data_center="d",instance_id="i",service="s",team="xưởng-a"} 1`,
		`mimosayard_requests{class="c",data_center="d",instance_id="i",service="s",team="xưởng_a"} 1`,
		`kind="overloaded"`,
		"mimosayard_between_tokens_bucket",
		"mimosayard_first_token_bucket",
		"mimosayard_cost_micros_bucket",
		`mimosayard_start_seen_by_expected_count{class="c",data_center="d",instance_id="i",service="s",team="xưởng-a"} 1`,
	} {
		is.True(strings.Contains(page.Body.String(), want))
	}
}

// TestZeroRecorderDropsMeasurements guards against a panic in callers that have
// no recorder.
func TestZeroRecorderDropsMeasurements(t *testing.T) {
	var r Recorder
	r.RecordRequest(Sample{})
	r.RecordTokenGap(tables.RouteKey{}, time.Second)
	r.RecordStart(tables.RouteKey{}, time.Second, time.Second)
	r.SetGauge("x", 1)
	is.New(t).NoErr(r.Close())
}
