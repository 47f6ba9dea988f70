package events

import (
	"go.uber.org/zap"

	"mimosayard/internal/core/pacing"
)

// LogLimits logs the changes of the limits that upstreams name.
func LogLimits(logger *zap.Logger, changes []pacing.Change) {
	for _, change := range changes {
		UpstreamLimited.Log(logger, zap.String("upstream", string(change.Upstream)), zap.Bool("named", change.Named),
			zap.Float64("limit", float64(change.Limit)), zap.Float64("share", float64(change.Share)))
	}
}
