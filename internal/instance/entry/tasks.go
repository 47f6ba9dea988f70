package entry

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/room"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/instance/storecache"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

const (
	// configBatchDelay is short, since a watch that begins only after the store was
	// restored may stay silent until its slot. It is that of the first few instances,
	// from which the others hear of a configuration.
	configBatchDelay = 5 * time.Millisecond
	// rolloutCheckInterval is the time between two checks for rollout steps
	// that are due.
	rolloutCheckInterval = 250 * time.Millisecond
	// upstreamBatchDelay and upstreamRenewalFactor reduce the store calls for
	// upstreams, which change most often. Their changes may take effect late,
	// since an upstream that is leaving serves for two more seconds.
	upstreamBatchDelay = 600 * time.Millisecond
	// followerBatchShare is the share of the drain time of upstreams for which
	// most instances wait for more changes.
	followerBatchShare    = 0.4
	upstreamRenewalFactor = 2
	// rolloutRenewalFactor lengthens the renewal interval of the watch for
	// rollouts. A change that the watch missed only delays the start of a
	// rollout.
	rolloutRenewalFactor = 3
	// evacuationRenewalShare is the share of the time for an evacuation after which a watch that
	// missed it is renewed. The rest is for the way to the other instances.
	evacuationRenewalShare = 0.5
	// maxWatcherLoss is the time after which an instance that relied on watchers which were
	// all lost at once has asked the store itself: aggregates.ValueTTL and a call.
	maxWatcherLoss = aggregates.ValueTTL + time.Second
	// processCheckInterval is the time between two checks of the clocks and the
	// log, and between two updates of the gauges.
	processCheckInterval = time.Second
	// minReportedPause is the shortest pause of the process that is logged.
	minReportedPause = time.Second
	// storeRetryDelay and maxStoreRetryDelay bound the mean delay after a failed call
	// of the quarantine to the store, storeAttempts the number of such calls.
	storeRetryDelay    = 200 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
	storeAttempts      = 10
	// maxQuarantineChanges bounds the changes that wait for the store.
	maxQuarantineChanges = 64
	// settingsCheckInterval is the time between two checks of the modification
	// time of the settings file.
	settingsCheckInterval = 2 * time.Second
)

func (i *Instance) initCaches() {
	i.config = i.newCache(platform.KindConfig, i.applyConfig)
	i.config.BatchDelay = configBatchDelay
	i.config.OnRestore = func() {
		select {
		case i.storeRestored <- struct{}{}:
		default:
		}
	}
	i.upstreams = i.newCache(platform.KindServers, i.applyUpstreams)
	i.upstreams.BatchDelay = upstreamBatchDelay
	i.upstreams.FollowerBatchDelay = time.Duration(followerBatchShare * float64(i.settings.Shared.UpstreamDrain()))
	i.upstreams.RenewalFactor = upstreamRenewalFactor
	i.upstreams.IgnoreCopies = true
	i.rollouts = i.newCache(platform.KindRollouts, i.applyRollouts)
	i.rollouts.RenewalFactor = rolloutRenewalFactor
	if limit := i.settings.Shared.EvacuationTime(); limit > 0 {
		i.evacuations = i.newCache(platform.KindEvacuations, i.applyEvacuations)
		i.evacuations.RenewalFactor = storecache.RenewalFactorFor(time.Duration(evacuationRenewalShare * float64(limit)))
	}
	i.upstreams.Watchers, i.rollouts.Watchers = &storecache.Watchers{}, &storecache.Watchers{}
	// The configuration has to be in force sooner than the loss of watchers may show, so each
	// instance watches it.
	if i.evacuations != nil && i.settings.Shared.EvacuationTime() > maxWatcherLoss {
		i.evacuations.Watchers = &storecache.Watchers{}
	}
}

// contribution returns this instance's part of the fleet's sums.
func (i *Instance) contribution(now time.Time) aggregates.Values {
	values := i.dispatcher.Contribution(now)
	for _, c := range i.caches() {
		if c.Watchers != nil && c.Watchers.Serves() && c.IsFollowing() {
			values[watchersKey(c)] = 1
		}
	}
	return values
}

// watchersKey is the key of the number of instances that watch the objects of a cache for the
// fleet and that the store answers.
func watchersKey(c *storecache.Cache) aggregates.Key {
	return aggregates.NewExactKey("store_watchers", string(c.Kind))
}

func (i *Instance) newCache(kind platform.Kind, onChange func([]platform.Object, time.Duration)) *storecache.Cache {
	return &storecache.Cache{
		Kind:          kind,
		Store:         i.store,
		Log:           i.log,
		OnChange:      onChange,
		FleetPosition: func() (int, int) { return i.node.FleetPosition() },
		NotifyPeers:   func() { i.node.CallParentNow() },
	}
}

func (i *Instance) caches() []*storecache.Cache {
	caches := []*storecache.Cache{i.config, i.rollouts, i.upstreams}
	if i.evacuations != nil {
		caches = append(caches, i.evacuations)
	}
	return caches
}

// cache returns the cache of a kind of objects, or nil if there is none.
func (i *Instance) cache(kind string) *storecache.Cache {
	for _, c := range i.caches() {
		if string(c.Kind) == kind {
			return c
		}
	}
	return nil
}

// documentVersions returns the version of each cache whose objects are known,
// by kind.
func (i *Instance) documentVersions() map[string]peers.DocumentVersion {
	versions := map[string]peers.DocumentVersion{}
	for _, c := range i.caches() {
		if version, ok := c.DocumentVersion(); ok {
			versions[string(c.Kind)] = version
		}
	}
	return versions
}

// snapshot returns the encoded content of the cache of a kind and its version.
// It returns false if there is no such cache or if its objects are not known
// yet.
func (i *Instance) snapshot(name string) ([]byte, peers.DocumentVersion, bool) {
	c := i.cache(name)
	if c == nil {
		return nil, peers.DocumentVersion{}, false
	}
	return c.Snapshot()
}

// applyDocument applies a peer's snapshot to the cache of a kind. If that
// changed the cache, it notifies the parent in the peer tree at once.
func (i *Instance) applyDocument(name string, version peers.DocumentVersion, content []byte) {
	if c := i.cache(name); c != nil && c.ApplySnapshot(version, content) {
		i.node.CallParentNow()
	}
}

func (i *Instance) applyConfig(objects []platform.Object, _ time.Duration) {
	config, err := platform.DecodeConfig(objects)
	if err != nil {
		events.ConfigUnreadable.Log(i.log, zap.Error(err))
		return
	}
	defer i.logFirstReady()
	if i.dispatcher.SetCatalog(config) {
		events.ConfigInForce.Log(i.log, zap.Uint64("version", uint64(config.Version)),
			zap.Int("routes", len(config.Routes)), zap.Int("teams", len(config.Teams)))
	}
}

func (i *Instance) applyUpstreams(objects []platform.Object, _ time.Duration) {
	entries := decodeAll(i.log, platform.KindServers, objects, platform.DecodeServer)
	i.dispatcher.SetUpstreams(time.Now(), entries)
	i.logFirstReady()
}

func (i *Instance) applyRollouts(objects []platform.Object, age time.Duration) {
	rollouts := decodeAll(i.log, platform.KindRollouts, objects, platform.DecodeRollout)
	i.dispatcher.SetRollouts(time.Now(), rollouts, age)
}

// decodeAll decodes the objects. It logs and skips those that cannot be
// decoded.
func decodeAll[T any](logger *zap.Logger, kind platform.Kind, objects []platform.Object, decode func(platform.Object) (T, error)) []T {
	var decoded []T
	for _, object := range objects {
		value, err := decode(object)
		if err != nil {
			events.ObjectUndecodable.Log(logger, zap.String("kind", string(kind)),
				zap.String("name", object.Name), zap.Error(err))
			continue
		}
		decoded = append(decoded, value)
	}
	return decoded
}

// applyTotals applies the fleet's totals, of which reported is the part of this
// instance, and logs the versions and prompt parts that they show to be bad.
func (i *Instance) applyTotals(now time.Time, totals, reported aggregates.Values) {
	position, count := i.node.FleetPosition()
	for _, c := range i.caches() {
		if c.Watchers != nil {
			c.Watchers.Update(position, count, int(totals.Others(reported, watchersKey(c))))
		}
	}
	i.dispatcher.SetFleetPosition(now, position, count)
	i.dispatcher.SetMembers(i.settings.Instance, i.node.ActiveMembers())
	for _, v := range i.dispatcher.ApplyTotals(now, totals, reported) {
		events.VersionJudgedBad.Log(i.log,
			zap.String("service", string(v.Service)), zap.String("version", string(v.Version)),
			zap.String("route", string(v.Class)), zap.String("reason", string(v.Reason)),
			zap.Any("new", v.TargetEvidence), zap.Any("old", v.BaselineEvidence))
	}
	i.logQuarantineChanges()
	events.LogLimits(i.log, i.dispatcher.LimitChanges())
	i.logWarmUps()
	for _, change := range i.dispatcher.ToleranceChanges() {
		events.UpstreamBrittle.Log(i.log, zap.String("upstream", string(change.Upstream)), zap.Int("rejections", change.Rejections),
			zap.Bool("admitted", change.Admitted), zap.String("owner", string(change.Owner)))
	}
}

// logQuarantineChanges logs the prompt parts that were quarantined or released, and
// passes those to runQuarantine that this instance has to store or to remove.
func (i *Instance) logQuarantineChanges() {
	for _, change := range i.dispatcher.QuarantineChanges() {
		if change.Confirmed || change.Released && (change.Decided || change.Stored) {
			select {
			case i.quarantineChanges <- change:
			default:
				// The fleet keeps the part in memory.
			}
		}
		events.LogQuarantine(i.log, change)
	}
}

// runQuarantine reads the quarantined prompt parts from the store at the start, and
// writes the changes on which this instance decides, so that the fleet keeps them when
// all its instances die.
func (i *Instance) runQuarantine(ctx context.Context) error {
	i.restoreQuarantine(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-i.quarantineChanges:
			i.writeQuarantine(ctx, change)
		case <-i.storeRestored:
			i.rewriteQuarantine(ctx)
		}
	}
}

// restoreQuarantine reads the quarantined prompt parts from the store.
func (i *Instance) restoreQuarantine(ctx context.Context) {
	var objects []platform.Object
	err := tryStore(ctx, func() (err error) {
		objects, _, err = i.store.List(ctx, platform.KindQuarantine)
		return err
	})
	if err != nil {
		events.PartNotStored.Log(i.log, zap.Error(err))
	}
	var parts []quarantine.PartID
	for _, object := range objects {
		parts = append(parts, quarantine.PartID(object.Name))
	}
	i.dispatcher.RestoreQuarantine(time.Now(), parts)
}

// rewriteQuarantine writes the quarantined prompt parts to a store that was restored from a copy,
// which may lack them. One instance of the fleet does.
func (i *Instance) rewriteQuarantine(ctx context.Context) {
	if !i.node.IsOwner(string(platform.KindQuarantine)) {
		return
	}
	for _, entry := range i.dispatcher.Quarantine() {
		i.writeQuarantine(ctx, quarantine.Change{Part: entry.Part})
	}
}

// writeQuarantine writes a change to the store.
func (i *Instance) writeQuarantine(ctx context.Context, change quarantine.Change) {
	err := tryStore(ctx, func() error {
		if change.Released {
			return i.store.Delete(ctx, platform.KindQuarantine, string(change.Part))
		}
		return i.store.Create(ctx, platform.KindQuarantine, string(change.Part))
	})
	if err != nil {
		events.PartNotStored.Log(i.log, zap.String("part", string(change.Part)), zap.Bool("released", change.Released), zap.Error(err))
	}
}

// tryStore makes a call to the store, and repeats it a few times if the store does not
// answer. An object that exists already, or does not exist any more, is no error.
func tryStore(ctx context.Context, call func() error) error {
	backoff := storeRetryDelay
	for attempt := 1; ; attempt++ {
		err := call()
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
			return nil
		case attempt == storeAttempts || !delay.Sleep(ctx, delay.WithJitter(backoff)):
			return err
		}
		backoff = min(2*backoff, maxStoreRetryDelay)
	}
}

// runRollouts writes the progress of rollouts to the store. One instance owns
// each rollout. Another instance takes over if the owner does not write a step
// that is due.
func (i *Instance) runRollouts(ctx context.Context) error {
	writeTurns := map[tables.ServiceID]*releases.WriteTurn{}
	for delay.Sleep(ctx, rolloutCheckInterval) {
		due := map[tables.ServiceID]bool{}
		for _, step := range i.dispatcher.DueSteps(time.Now()) {
			service := step.Rollout.Service
			due[service] = true
			if writeTurns[service] == nil {
				writeTurns[service] = &releases.WriteTurn{}
			}
			if writeTurns[service].ShouldWrite(i.node.IsOwner("rollout/" + string(service))) {
				writeTurns[service].RecordWrite(i.writeStatus(ctx, step))
			}
		}
		for service, turn := range writeTurns {
			if !due[service] {
				turn.ResetTicks()
			}
		}
	}
	return nil
}

// writeStatus writes a step to the store and reports whether the write
// succeeded.
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
		platform.Position{Era: platform.Era(step.Rollout.Era), Revision: platform.Revision(step.Rollout.Revision)}, platform.NewRolloutStatus(step.Rollout.Target, step.Progress))
	if err != nil {
		events.RolloutStatusNotWritten.Log(i.log, append(fields, zap.Error(err))...)
		return false
	}
	events.RolloutStatusWritten.Log(i.log, fields...)
	return true
}

// monitorProcess logs pauses of the process and dropped log entries, and
// updates the gauges. The monotonic clock stops during a suspension of the
// machine and the boot-time clock does not, so a pause shows as a difference
// between them.
func (i *Instance) monitorProcess(ctx context.Context) error {
	lastNow, lastBoot := time.Now(), bootTime()
	reportedDrops := int64(0)
	callersRoom := room.Monitor{Budget: i.budget, Connections: &i.connections, Metrics: i.metrics, Log: i.log}
	for delay.Sleep(ctx, processCheckInterval) {
		now, boot := time.Now(), bootTime()
		if pause := boot - lastBoot - now.Sub(lastNow); pause > minReportedPause {
			events.ProcessPaused.Log(i.log, zap.Duration("pause", pause))
		}
		lastNow, lastBoot = now, boot
		if count := i.logRing.Dropped(); count > reportedDrops {
			events.LogEntriesDropped.Log(i.log, zap.Int64("entries", count-reportedDrops))
			reportedDrops = count
		}
		callersRoom.Report()
		i.logFirstReady()
		i.metrics.SetGauge("store_calls", float64(i.store.Calls()))
		i.metrics.SetGauge("in_flight", float64(i.ingress.InFlight()))
		i.metrics.SetGauge("relays", float64(i.node.Relays()))
		i.metrics.SetGauge("links_lost", metrics.Bool(i.dialer.Links.AllLost()))
		i.metrics.SetGauge("quarantined_parts", float64(i.dispatcher.QuarantinedParts()))
		i.metrics.SetGauge("cold_upstreams", float64(i.dispatcher.ColdUpstreams(now)))
		i.metrics.SetGauge("evacuated_data_centers", float64(len(i.dispatcher.Evacuations())))
		refused, expected := i.dispatcher.Admission(now)
		i.metrics.SetGauge("refused_over_capacity", float64(refused))
		i.metrics.SetGauge("expected_answer_ms", float64(expected.Milliseconds()))
		i.metrics.SetGauge("peers", float64(len(i.node.Members())))
	}
	return nil
}

// logFirstReady logs, at most once, that the instance is ready.
func (i *Instance) logFirstReady() {
	if !i.readyLogged.Load() && i.checkReady() == nil && i.readyLogged.CompareAndSwap(false, true) {
		events.InstanceReady.Log(i.log, zap.Duration("after", time.Since(i.started)),
			zap.Int("upstreams", i.dispatcher.UsableUpstreamCount()))
	}
}

// watchSettings reloads the settings when the file has changed and on SIGHUP.
func (i *Instance) watchSettings(ctx context.Context) error {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastModified := modTime(i.settingsFile)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangUp:
		case <-ticker.C:
			if modified := modTime(i.settingsFile); modified.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(i.settingsFile)
		i.reloadSettings()
	}
}

// reloadSettings reads the settings file and applies the settings that can
// change in a running process: the limits of the dispatcher and the seed peers.
// It logs the other fields that have changed, which apply after a restart. If
// the file is invalid, the previous settings stay in force.
func (i *Instance) reloadSettings() {
	reloaded, err := settings.Load(i.settingsFile)
	if err == nil && reloaded.Shared == nil {
		err = settings.Problems{i.settingsFile + ": shared_platform: is missing"}
	}
	if err != nil {
		events.SettingsRejected.Log(i.log, zap.Error(err))
		return
	}
	i.dispatcher.SetLimits(dispatchLimits(reloaded.Shared))
	i.seeds.Store(&reloaded.SeedPeers)
	events.SettingsReloaded.Log(i.log, zap.Strings("need_a_restart", i.restartFields(reloaded)))
}

// restartFields returns the fields that have changed and apply only after a
// restart.
func (i *Instance) restartFields(reloaded settings.Settings) []string {
	fields := []string{}
	for _, f := range []struct{ name, current, reloaded string }{
		{"instance", string(i.settings.Instance), string(reloaded.Instance)},
		{"data_center", string(i.settings.DataCenter), string(reloaded.DataCenter)},
		{"callers_address", i.settings.CallersAddress, reloaded.CallersAddress},
		{"operators_address", i.settings.OperatorsAddress, reloaded.OperatorsAddress},
		{"peers_address", i.settings.PeersAddress, reloaded.PeersAddress},
		{"log_level", i.settings.LogLevel, reloaded.LogLevel},
		{"shared_platform.store_address", i.settings.Shared.StoreAddress, reloaded.Shared.StoreAddress},
		{"shared_platform.ready_address", i.settings.Shared.ReadyAddress, reloaded.Shared.ReadyAddress},
		{"shared_platform.evacuate_ms", i.settings.Shared.EvacuationTime().String(), reloaded.Shared.EvacuationTime().String()},
		{"shared_platform.upstream_drain_ms", i.settings.Shared.UpstreamDrain().String(), reloaded.Shared.UpstreamDrain().String()},
	} {
		if f.current != f.reloaded {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// status returns the status that operators get, which is encoded as JSON.
func (i *Instance) status() any {
	status := map[string]any{
		"instance":    i.settings.Instance,
		"in_flight":   i.ingress.InFlight(),
		"peers":       len(i.node.Members()),
		"store_calls": i.store.Calls(),
		"upstreams":   i.dispatcher.UsableUpstreamCount(),
		"quarantined": i.dispatcher.QuarantinedParts(),
		"links_lost":  i.dialer.Links.AllLost(),
		"relays":      i.node.Relays(),
		"cold":        i.dispatcher.ColdUpstreams(time.Now()),
		"evacuated":   i.dispatcher.Evacuations(),
		"beliefs":     i.documentVersions(),
	}
	if index := i.dispatcher.Index(); index != nil {
		status["config"] = index.Catalog.Version
	}
	return status
}

// modTime returns the modification time of a file, or the zero time if it
// cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
