// Package metrics records measurements of requests by team, service and class,
// and of the instance, and serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"
	"unicode"

	"github.com/gravitational/trace"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/tables"
)

// A Recorder records measurements. The zero value and nil drop them. It is safe
// for concurrent use.
type Recorder struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	// routes holds a *routeMetrics for each tables.RouteKey.
	routes sync.Map
}

// routeMetrics holds the metrics of a route, so that they are looked up by name
// and tags only once.
type routeMetrics struct {
	scope       tally.Scope
	requests    tally.Counter
	escalations tally.Counter
	tokenGaps   tally.Histogram
	totals      tally.Histogram
	firstTokens tally.Histogram
	costs       tally.Histogram
	startRatios tally.Histogram
}

// A Sample holds the measurements of a finished request.
type Sample struct {
	Route tables.RouteKey
	// Fault is nil for a request that was served. The other measurements are
	// recorded only then.
	Fault *faults.Error
	// FirstToken is the time from the request to the first token, zero if there
	// was none.
	FirstToken time.Duration
	// Total is the time from the request to the end of its answer.
	Total time.Duration
	Cost  tables.MicroCost
	// Escalated is whether the request was passed on to a further pool.
	Escalated bool
}

// reportInterval is the time between two updates of the metrics page.
const reportInterval = time.Second

var (
	// costBuckets are in millionths of the billing unit, as tables.MicroCost.
	costBuckets  = tally.MustMakeExponentialValueBuckets(1, 4, 14)
	ratioBuckets = tally.MustMakeExponentialValueBuckets(0.1, 1.5, 14)
	gapBuckets   = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 16)
	totalBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.7, 18)
)

// sanitizeOptions keeps tag values unchanged: with replaced characters, two team
// names could become the same.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// New returns a recorder whose metrics carry the instance and data centre as
// tags.
func New(instance tables.InstanceID, dataCenter tables.DataCenterID) *Recorder {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "mimosayard",
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
		Tags:            map[string]string{"instance_id": string(instance), "data_center": string(dataCenter)},
		CachedReporter:  reporter,
	}, reportInterval)
	return &Recorder{scope: scope, closer: closer, reporter: reporter}
}

// Close reports the last measurements and stops reporting.
func (r *Recorder) Close() error {
	if r == nil || r.closer == nil {
		return nil
	}
	return trace.Wrap(r.closer.Close())
}

// RecordTokenGap records the time between two successive tokens of an answer.
func (r *Recorder) RecordTokenGap(route tables.RouteKey, gap time.Duration) {
	if r == nil || r.scope == nil {
		return
	}
	r.metricsOf(route).tokenGaps.RecordDuration(gap)
}

// RecordStart records the wait for the start of an upstream's answer and the
// wait that was expected, as their ratio. An expected wait of zero is not
// recorded.
func (r *Recorder) RecordStart(route tables.RouteKey, expected, seen time.Duration) {
	if r == nil || r.scope == nil || expected <= 0 {
		return
	}
	r.metricsOf(route).startRatios.RecordValue(float64(seen) / float64(expected))
}

// Bool returns the value of a gauge that is 1 while a condition holds.
func Bool(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// SetGauge sets a metric of the instance, which has no route.
func (r *Recorder) SetGauge(name string, value float64) {
	if r == nil || r.scope == nil {
		return
	}
	r.scope.Gauge(name).Update(value)
}

// Handler returns the handler of the metrics page. It answers 404 if the recorder
// drops measurements.
func (r *Recorder) Handler() http.Handler {
	if r == nil || r.reporter == nil {
		return http.NotFoundHandler()
	}
	return r.reporter.HTTPHandler()
}

// RecordRequest records a finished request.
func (r *Recorder) RecordRequest(sample Sample) {
	if r == nil || r.scope == nil {
		return
	}
	route := r.metricsOf(sample.Route)
	if sample.Fault != nil {
		route.scope.Tagged(map[string]string{"kind": string(sample.Fault.Kind)}).Counter("refusals").Inc(1)
		return
	}
	route.requests.Inc(1)
	route.totals.RecordDuration(sample.Total)
	route.costs.RecordValue(float64(sample.Cost))
	if sample.FirstToken > 0 {
		route.firstTokens.RecordDuration(sample.FirstToken)
	}
	if sample.Escalated {
		route.escalations.Inc(1)
	}
}

// metricsOf returns the metrics of a route, and makes them at its first use. They
// are never removed; their number is bounded by the rows of the routes table.
func (r *Recorder) metricsOf(key tables.RouteKey) *routeMetrics {
	if known, ok := r.routes.Load(key); ok {
		if route, ok := known.(*routeMetrics); ok {
			return route
		}
	}
	scope := r.scope.Tagged(map[string]string{
		"team":    string(key.Team),
		"service": string(key.Service),
		"class":   string(key.Class),
	})
	route := &routeMetrics{
		scope:       scope,
		requests:    scope.Counter("requests"),
		escalations: scope.Counter("escalations"),
		tokenGaps:   scope.Histogram("between_tokens", gapBuckets),
		totals:      scope.Histogram("total", totalBuckets),
		firstTokens: scope.Histogram("first_token", totalBuckets),
		costs:       scope.Histogram("cost_micros", costBuckets),
		startRatios: scope.Histogram("start_seen_by_expected", ratioBuckets),
	}
	r.routes.Store(key, route)
	return route
}
