package entry

import (
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/telemetry/events"
	"mimosayard/platform"
)

// logWarmUps logs the upstreams that are presumed cold or no longer.
func (i *Instance) logWarmUps() {
	for _, change := range i.dispatcher.WarmUpChanges() {
		if !change.Cold {
			events.UpstreamWarm.Log(i.log, zap.String("upstream", string(change.Upstream)))
			continue
		}
		events.UpstreamCold.Log(i.log, zap.String("upstream", string(change.Upstream)),
			zap.String("reason", string(change.Reason)), zap.Float64("share", float64(change.Share)))
	}
}

// applyEvacuations puts the evacuations into force and logs those that begin and end.
func (i *Instance) applyEvacuations(objects []platform.Object, _ time.Duration) {
	dataCenters := decodeAll(i.log, platform.KindEvacuations, objects, platform.DecodeEvacuation)
	begun, ended := i.dispatcher.SetEvacuations(time.Now(), dataCenters)
	i.evacuationsKnown.Store(true)
	defer i.logFirstReady()
	for _, dataCenter := range begun {
		events.EvacuationBegun.Log(i.log, zap.String("data_center", string(dataCenter)))
	}
	for _, dataCenter := range ended {
		events.EvacuationEnded.Log(i.log, zap.String("data_center", string(dataCenter)))
	}
}
