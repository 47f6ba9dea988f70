// Package room reports what callers take of an instance's memory and connections.
package room

import (
	"go.uber.org/zap"

	"mimosayard/internal/net/budget"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
)

// A Monitor reports the budget and the connections of the callers' server.
type Monitor struct {
	Budget      *budget.Budget
	Connections *budget.Connections
	Metrics     *metrics.Recorder
	Log         *zap.Logger

	// last are the counts at the last report.
	last counts
}

// counts are numbers since the start of the process.
type counts struct {
	budget.Counts
	connectionsRefused, connectionsClosed int64
}

// Report sets the gauges, and logs what was refused and closed for want of room since the
// last report.
func (m *Monitor) Report() {
	open, refused, closed := m.Connections.Counts()
	now := counts{m.Budget.Counts(), refused, closed}
	m.Metrics.SetGauge("budget_bytes", float64(m.Budget.Held()))
	m.Metrics.SetGauge("budget_refused", float64(now.Refused))
	m.Metrics.SetGauge("budget_evicted", float64(now.Evicted))
	m.Metrics.SetGauge("caller_connections", float64(open))
	m.Metrics.SetGauge("caller_connections_refused", float64(refused))
	m.Metrics.SetGauge("caller_connections_closed", float64(closed))
	if now == m.last {
		return
	}
	events.CallersRefused.Log(m.Log,
		zap.Int64("refused", now.Refused-m.last.Refused), zap.Int64("evicted", now.Evicted-m.last.Evicted),
		zap.Int64("connections_refused", refused-m.last.connectionsRefused),
		zap.Int64("connections_closed", closed-m.last.connectionsClosed),
		zap.Int64("bytes", m.Budget.Held()), zap.Int("connections", open))
	m.last = now
}
