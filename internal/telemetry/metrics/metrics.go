// Package metrics measures requests by team and class and shows the figures in
// the Prometheus text format.
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

// A Recorder takes measurements. The zero value drops them.
type Recorder struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	// routes holds the measurements of each route, by tables.RouteKey.
	routes sync.Map
}

// routeMetrics is the measurements of a route, looked up once.
type routeMetrics struct {
	scope       tally.Scope
	requests    tally.Counter
	escalations tally.Counter
	tokenGaps   tally.Histogram
	totals      tally.Histogram
	firstTokens tally.Histogram
	costs       tally.Histogram
}

// A Sample is what is measured of one request.
type Sample struct {
	Route tables.RouteKey
	// Fault is nil for a request that was served.
	Fault *faults.Error
	// FirstToken is zero if there was none.
	FirstToken time.Duration
	Total      time.Duration
	Cost       tables.MicroCost
	Escalated  bool
}

const reportInterval = time.Second

var (
	costBuckets  = tally.MustMakeExponentialValueBuckets(1, 4, 14)
	gapBuckets   = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 16)
	totalBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.7, 18)
)

// sanitizeOptions leaves values as they are, so that the names of two teams stay
// different.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// New returns a recorder for an instance.
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

// Close stops the reporting.
func (r *Recorder) Close() error {
	if r == nil || r.closer == nil {
		return nil
	}
	return trace.Wrap(r.closer.Close())
}

// Gap records the time between two tokens.
func (r *Recorder) Gap(route tables.RouteKey, gap time.Duration) {
	if r == nil || r.scope == nil {
		return
	}
	r.metricsOf(route).tokenGaps.RecordDuration(gap)
}

// Gauge sets a value of the instance itself.
func (r *Recorder) Gauge(name string, value float64) {
	if r == nil || r.scope == nil {
		return
	}
	r.scope.Gauge(name).Update(value)
}

// Handler returns the handler of the metrics page.
func (r *Recorder) Handler() http.Handler {
	if r == nil || r.reporter == nil {
		return http.NotFoundHandler()
	}
	return r.reporter.HTTPHandler()
}

// Request records a finished request.
func (r *Recorder) Request(sample Sample) {
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

// metricsOf returns the measurements of a route. There are as many as rows in the
// routes table.
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
	}
	r.routes.Store(key, route)
	return route
}
