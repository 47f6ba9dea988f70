package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/instance/storecache"
	"mimosayard/internal/telemetry/events"
	"mimosayard/platform"
)

const (
	// rolloutLook is the time between two looks at what rollouts need.
	rolloutLook = 250 * time.Millisecond
	// upstreamBatchDelay and upstreamRenewalFactor save calls for the
	// upstreams' entries, which change most often. One that leaves serves for
	// two seconds on.
	upstreamBatchDelay    = 600 * time.Millisecond
	upstreamRenewalFactor = 2
	// rolloutRenewalFactor stretches the turns at the rollouts' watch: a
	// rollout that is learned of late only begins late.
	rolloutRenewalFactor = 3
	// clockLook is the time between two looks at the clocks, pauseLimit the
	// difference between them that tells of a pause of the process.
	clockLook  = time.Second
	pauseLimit = time.Second
	// reloadLook is the time between two looks at the settings file.
	reloadLook = 2 * time.Second
)

func (i *Instance) initCaches() {
	i.config = i.newCache(platform.KindConfig, i.takeConfig)
	i.upstreams = i.newCache(platform.KindServers, i.takeUpstreams)
	i.upstreams.BatchDelay = upstreamBatchDelay
	i.upstreams.RenewalFactor = upstreamRenewalFactor
	i.rollouts = i.newCache(platform.KindRollouts, i.takeRollouts)
	i.rollouts.RenewalFactor = rolloutRenewalFactor
}

func (i *Instance) newCache(kind platform.Kind, changed func([]platform.Object, time.Duration)) *storecache.Cache {
	return &storecache.Cache{
		Kind:          kind,
		Store:         i.store,
		Log:           i.log,
		OnChange:      changed,
		FleetPosition: func() (int, int) { return i.node.Place() },
		NotifyPeers:   func() { i.node.Wake() },
	}
}

func (i *Instance) caches() []*storecache.Cache {
	return []*storecache.Cache{i.config, i.rollouts, i.upstreams}
}

func (i *Instance) cache(kind string) *storecache.Cache {
	for _, c := range i.caches() {
		if string(c.Kind) == kind {
			return c
		}
	}
	return nil
}

func (i *Instance) marks() map[string]peers.Mark {
	marks := map[string]peers.Mark{}
	for _, c := range i.caches() {
		if mark, ok := c.Mark(); ok {
			marks[string(c.Kind)] = mark
		}
	}
	return marks
}

func (i *Instance) content(name string) ([]byte, peers.Mark, bool) {
	c := i.cache(name)
	if c == nil {
		return nil, peers.Mark{}, false
	}
	return c.Snapshot()
}

func (i *Instance) takeDocument(name string, mark peers.Mark, content []byte) {
	if c := i.cache(name); c != nil && c.ApplySnapshot(mark, content) {
		i.node.Wake()
	}
}

func (i *Instance) takeConfig(objects []platform.Object, _ time.Duration) {
	config, err := platform.DecodeConfig(objects)
	if err != nil {
		events.ConfigUnreadable.Log(i.log, zap.Error(err))
		return
	}
	defer i.noteReady()
	if i.dispatcher.SetCatalog(config) {
		events.ConfigInForce.Log(i.log, zap.Uint64("version", uint64(config.Version)),
			zap.Int("routes", len(config.Routes)), zap.Int("teams", len(config.Teams)))
	}
}

func (i *Instance) takeUpstreams(objects []platform.Object, _ time.Duration) {
	entries := decodeAll(i.log, platform.KindServers, objects, platform.DecodeServer)
	i.dispatcher.SetUpstreams(time.Now(), entries)
	i.noteReady()
}

func (i *Instance) takeRollouts(objects []platform.Object, age time.Duration) {
	rollouts := decodeAll(i.log, platform.KindRollouts, objects, platform.DecodeRollout)
	i.dispatcher.SetRollouts(time.Now(), rollouts, age)
}

// decodeAll decodes the objects that can be read and logs the others.
func decodeAll[T any](logger *zap.Logger, kind platform.Kind, objects []platform.Object, decode func(platform.Object) (T, error)) []T {
	var decoded []T
	for _, object := range objects {
		value, err := decode(object)
		if err != nil {
			events.BeliefUnreadable.Log(logger, zap.String("kind", string(kind)),
				zap.String("name", object.Name), zap.Error(err))
			continue
		}
		decoded = append(decoded, value)
	}
	return decoded
}

func (i *Instance) applyTotals(_ time.Time, totals, reported aggregates.Values) {
	i.dispatcher.SetInstances(len(i.node.Members()))
	for _, v := range i.dispatcher.ApplyTotals(totals, reported) {
		events.VersionBad.Log(i.log,
			zap.String("service", string(v.Service)), zap.String("version", string(v.Version)),
			zap.String("route", string(v.Class)), zap.String("reason", string(v.Reason)),
			zap.Any("new", v.TargetEvidence), zap.Any("old", v.BaselineEvidence))
	}
}

// runRollouts writes the progress of rollouts to the store. One instance is in
// charge of each; the others step in if it does not write.
func (i *Instance) runRollouts(ctx context.Context) error {
	turns := map[tables.ServiceID]*releases.WriteTurn{}
	for delay.Sleep(ctx, rolloutLook) {
		due := map[tables.ServiceID]bool{}
		for _, step := range i.dispatcher.DueSteps(time.Now()) {
			service := step.Rollout.Service
			due[service] = true
			if turns[service] == nil {
				turns[service] = &releases.WriteTurn{}
			}
			if turns[service].ShouldWrite(i.node.Owns("rollout/" + string(service))) {
				turns[service].RecordWrite(i.writeStatus(ctx, step))
			}
		}
		for service, turn := range turns {
			if !due[service] {
				turn.ResetTicks()
			}
		}
	}
	return nil
}

// writeStatus writes a step to the store and reports whether that was done.
func (i *Instance) writeStatus(ctx context.Context, step dispatch.RolloutStep) bool {
	fields := []zap.Field{
		zap.String("service", string(step.Rollout.Service)),
		zap.String("target", string(step.Rollout.Target)),
		zap.Uint64("revision", step.Rollout.Revision),
		zap.Int("state", int(step.Progress.State)),
		zap.Int("stage", step.Progress.Stage),
		zap.Any("new", step.TargetEvidence),
		zap.Any("old", step.BaselineEvidence),
	}
	err := i.store.PutStatus(ctx, platform.KindRollouts, string(step.Rollout.Service),
		platform.Revision(step.Rollout.Revision), platform.NewRolloutStatus(step.Rollout.Target, step.Progress))
	if err != nil {
		events.StatusNotWritten.Log(i.log, append(fields, zap.Error(err))...)
		return false
	}
	events.StatusWritten.Log(i.log, fields...)
	return true
}

// runClock looks for pauses of the process, which the steady clock does not
// show.
func (i *Instance) runClock(ctx context.Context) error {
	last, lastBoot := time.Now(), bootTime()
	dropped := int64(0)
	for delay.Sleep(ctx, clockLook) {
		now, boot := time.Now(), bootTime()
		if pause := boot - lastBoot - now.Sub(last); pause > pauseLimit {
			events.ProcessPaused.Log(i.log, zap.Duration("pause", pause))
		}
		last, lastBoot = now, boot
		if count := i.ring.Dropped(); count > dropped {
			events.LogDropped.Log(i.log, zap.Int64("entries", count-dropped))
			dropped = count
		}
		i.metrics.Gauge("store_calls", float64(i.store.Calls()))
		i.metrics.Gauge("in_flight", float64(i.ingress.InFlight()))
		i.metrics.Gauge("peers", float64(len(i.node.Members())))
	}
	return nil
}

// noteReady logs the first time that the instance is ready.
func (i *Instance) noteReady() {
	if i.ready() == nil && i.wasReady.CompareAndSwap(false, true) {
		events.InstanceReady.Log(i.log, zap.Duration("after", time.Since(i.started)),
			zap.Int("upstreams", i.dispatcher.Upstreams()))
	}
}

// runReload reads the settings again when the file changes or at SIGHUP.
func (i *Instance) runReload(ctx context.Context) error {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(reloadLook)
	defer ticker.Stop()
	changed := fileTime(i.file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangUp:
		case <-ticker.C:
			if now := fileTime(i.file); now.Equal(changed) {
				continue
			}
		}
		changed = fileTime(i.file)
		i.reload()
	}
}

// reload takes from the settings file what can be changed in a running
// process: the bounds of decisions and the seeds. The rest is named in the log
// and taken at the next start.
func (i *Instance) reload() {
	fresh, err := settings.Load(i.file)
	if err == nil && fresh.Shared == nil {
		err = settings.Problems{i.file + ": shared_platform: is missing"}
	}
	if err != nil {
		events.SettingsRefused.Log(i.log, zap.Error(err))
		return
	}
	i.dispatcher.SetLimits(limitsFrom(fresh.Shared))
	i.seeds.Store(&fresh.SeedPeers)
	events.SettingsReloaded.Log(i.log, zap.Strings("need_a_restart", i.needRestart(fresh)))
}

// needRestart returns the fields that differ and are taken at a start only.
func (i *Instance) needRestart(fresh settings.Settings) []string {
	fields := []string{}
	for _, f := range []struct{ name, now, fresh string }{
		{"instance", string(i.settings.Instance), string(fresh.Instance)},
		{"data_center", string(i.settings.DataCenter), string(fresh.DataCenter)},
		{"callers_address", i.settings.Callers, fresh.Callers},
		{"operators_address", i.settings.Operators, fresh.Operators},
		{"peers_address", i.settings.Peers, fresh.Peers},
		{"log_level", i.settings.LogLevel, fresh.LogLevel},
		{"shared_platform.store_address", i.settings.Shared.Store, fresh.Shared.Store},
		{"shared_platform.ready_address", i.settings.Shared.Ready, fresh.Shared.Ready},
	} {
		if f.now != f.fresh {
			fields = append(fields, f.name)
		}
	}
	return fields
}

func (i *Instance) status() any {
	status := map[string]any{
		"instance":    i.settings.Instance,
		"in_flight":   i.ingress.InFlight(),
		"peers":       len(i.node.Members()),
		"store_calls": i.store.Calls(),
		"upstreams":   i.dispatcher.Upstreams(),
		"beliefs":     i.marks(),
	}
	if index := i.dispatcher.Index(); index != nil {
		status["config"] = index.Catalog.Version
	}
	return status
}

func fileTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
