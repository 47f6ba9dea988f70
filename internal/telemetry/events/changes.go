package events

import (
	"go.uber.org/zap"

	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/quarantine"
)

// LogLimits logs the changes of the limits that upstreams name.
func LogLimits(logger *zap.Logger, changes []pacing.Change) {
	for _, change := range changes {
		UpstreamLimited.Log(logger, zap.String("upstream", string(change.Upstream)), zap.Bool("named", change.Named),
			zap.Float64("limit", float64(change.Limit)), zap.Float64("share", float64(change.Share)))
	}
}

// LogQuarantine logs a part or request that was quarantined or released. That a quarantine is
// confirmed is only for the store.
func LogQuarantine(logger *zap.Logger, change quarantine.Change) {
	if change.Confirmed {
		return
	}
	event := PartQuarantined
	if change.Released {
		event = PartReleased
	}
	what := "prompt part"
	if change.Part.IsRequest() {
		what = "request"
	}
	event.Log(logger, zap.String("part", string(change.Part)), zap.String("what", what), zap.String("reason", string(change.Reason)),
		zap.Float64("lost_requests", change.Requests), zap.Float64("upstream_lives", change.Lives))
}
