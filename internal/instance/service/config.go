package service

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
)

// configManager gets the accepted configuration from the platform's objects and
// from peers, and accepts edits of the tables. It also keeps the fleet's peer key
// and the rollout progress in step with the platform's objects.
type configManager struct {
	instance *Instance

	mutex sync.Mutex
	// activeConfig is the configuration in force, encoded as JSON.
	activeConfig []byte
	// peerKeyBytes is the fleet's peer key, or a random one while it is not
	// known.
	peerKeyBytes []byte
	// progressDirty is true while the router has progress that is not in the
	// store yet.
	progressDirty bool
	// cancelWatch ends the watch in progress, nil before the first watch.
	cancelWatch func()
}

// AcceptanceStatus is the status of the latest edit of the tables, stored in
// the platform's objects for operators.
type AcceptanceStatus struct {
	RoutesRevision   uint64                  `json:"routes_revision"`
	PoolsRevision    uint64                  `json:"pools_revision"`
	Accepted         bool                    `json:"accepted"`
	Generation       uint64                  `json:"generation"`
	ValidationErrors tables.ValidationErrors `json:"mistakes,omitempty"`
}

// storedPeerKey is the value of the object KeyPeerKey.
type storedPeerKey struct {
	Key []byte `json:"key"`
}

// storedProgress is the value of the object KeyProgress.
type storedProgress struct {
	Pools []rollouts.Progress `json:"pools"`
}

// The keys of the objects that control the fleet.
const (
	ControlKeyPrefix objects.Key = "control/"
	KeyRoutes        objects.Key = "control/routes"
	KeyPools         objects.Key = "control/pools"
	KeyAccepted      objects.Key = "control/accepted"
	KeyAcceptance    objects.Key = "control/acceptance"
	KeyPeerKey       objects.Key = "control/peer_key"
	KeyProgress      objects.Key = "control/progress"
)

const (
	// watchersPerDataCenter is the number of instances in a data centre that
	// watch the objects. The others get changes from their peers.
	watchersPerDataCenter = 2
	// maxWatchWait is the maximum duration of a watch. It bounds the delay of
	// an edit if the watch's connection stops delivering without an error.
	maxWatchWait = 8 * time.Second
	// pollInterval is how often an instance that does not watch the objects
	// reads them.
	pollInterval = 5 * time.Minute
	// positionCheckInterval is how often such an instance checks whether it has
	// become a watcher.
	positionCheckInterval = 2 * time.Second
	retryDelay            = time.Second
	// keyBytes is the length of peer keys and of the secrets of session keys.
	keyBytes = 32
	// sessionKeyRotation is the age from which the newest signing key of
	// sessions is replaced. sessionKeyRetention is the age from which a key is
	// dropped. It exceeds sessionKeyRotation by more than sessions.MaxAge.
	sessionKeyRotation  = 7 * 24 * time.Hour
	sessionKeyRetention = 9 * 24 * time.Hour
)

func (m *configManager) init(instance *Instance) {
	m.instance = instance
	m.peerKeyBytes = instance.settings.PeerKey
}

// encodedConfig returns the configuration in force, encoded as JSON, nil before
// the first one.
func (m *configManager) encodedConfig() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.activeConfig
}

// markProgressDirty makes run store the rollout progress at once: it ends the
// watch in progress.
func (m *configManager) markProgressDirty() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.progressDirty = true
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// peerKey returns the key that authenticates messages between peers. While the
// fleet's key is not known, it returns a random one, which no peer accepts.
func (m *configManager) peerKey() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.peerKeyBytes) == 0 {
		m.peerKeyBytes = randomKey()
	}
	return m.peerKeyBytes
}

// run keeps the configuration up to date until the context ends.
func (m *configManager) run(ctx context.Context) error {
	var revision uint64
	var lastPoll time.Time
	for ctx.Err() == nil {
		m.storeProgress(ctx)
		if !m.isWatcher() && revision > 0 && time.Since(lastPoll) < pollInterval {
			delay.Sleep(ctx, positionCheckInterval)
			continue
		}
		lastPoll = time.Now()
		wait := maxWatchWait
		if revision == 0 || !m.isWatcher() {
			wait = 0
		}
		changed, newRevision, err := m.waitForChange(ctx, revision, wait)
		m.instance.platformHealth.record(m.instance.log, err)
		if err != nil {
			delay.Sleep(ctx, delay.WithJitter(retryDelay))
			continue
		}
		revision = max(1, newRevision)
		m.handleChanges(ctx, changed)
	}
	return nil
}

// waitForChange watches the control objects for the duration and returns the
// changed ones and the revision reached. It returns early, without changes, if
// there is progress to store.
func (m *configManager) waitForChange(ctx context.Context, revision uint64, wait time.Duration) ([]objects.Object, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m.mutex.Lock()
	m.cancelWatch = func() { cancel(errProgressChanged) }
	dirty := m.progressDirty
	m.mutex.Unlock()
	if dirty {
		return nil, revision, nil
	}
	changed, newRevision, err := m.instance.objects.Watch(ctx, ControlKeyPrefix, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errProgressChanged) {
		return nil, revision, nil
	}
	return changed, newRevision, trace.Wrap(err)
}

// errProgressChanged is the cancellation cause of a watch that was ended to store
// progress.
var errProgressChanged = errors.New("woken")

// handleChanges applies changed objects of the platform, and accepts the tables
// if they were edited.
func (m *configManager) handleChanges(ctx context.Context, changed []objects.Object) {
	tablesChanged := false
	for _, object := range changed {
		switch object.Key {
		case KeyAccepted:
			m.apply(object.Value)
		case KeyRoutes, KeyPools:
			tablesChanged = true
		case KeyProgress:
			m.mergeStoredProgress(object.Value)
		}
	}
	m.fetchOrCreatePeerKey(ctx)
	if tablesChanged {
		if err := m.acceptTables(ctx); err != nil {
			m.instance.platformHealth.record(m.instance.log, err)
		}
	}
}

// applyFromPeer applies a configuration received from a peer.
func (m *configManager) applyFromPeer(value []byte) {
	m.apply(value)
}

// mergeStoredProgress merges rollout progress from the store into the router's. A
// value that cannot be decoded is ignored.
func (m *configManager) mergeStoredProgress(value []byte) {
	var stored storedProgress
	if err := json.Unmarshal(value, &stored); err != nil {
		return
	}
	for _, progress := range stored.Pools {
		m.instance.router.MergeProgress(progress)
	}
}

// apply puts an accepted configuration in force if it is newer than the present
// one.
func (m *configManager) apply(value []byte) {
	if len(value) == 0 {
		return
	}
	var config tables.Config
	if err := json.Unmarshal(value, &config); err != nil {
		events.ConfigUnreadable.Log(m.instance.log, zap.Error(err))
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.instance.router.Apply(time.Now(), &config) {
		return
	}
	m.activeConfig = value
	events.ConfigInForce.Log(m.instance.log, zap.Uint64("generation", config.Generation))
	m.instance.node.CallParentNow()
}

// acceptTables combines the newest pair of tables into the next generation of
// the configuration, or records why they are not valid. Any number of instances
// may do so at once.
func (m *configManager) acceptTables(ctx context.Context) error {
	client := m.instance.objects
	routes, err := client.Get(ctx, KeyRoutes)
	if err != nil {
		return trace.Wrap(err)
	}
	pools, err := client.Get(ctx, KeyPools)
	if err != nil || routes.Version == 0 || pools.Version == 0 {
		return trace.Wrap(err)
	}
	var validationErrors tables.ValidationErrors
	accepted, err := client.Update(ctx, KeyAccepted, func(value []byte) ([]byte, error) {
		var next []byte
		next, validationErrors, err = nextConfig(time.Now(), value, routes, pools)
		return next, err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	m.apply(accepted.Value)
	return trace.Wrap(m.recordAcceptance(ctx, routes, pools, validationErrors))
}

// recordAcceptance stores the result of an edit for operators, unless its tables
// are no newer than those of the stored result.
func (m *configManager) recordAcceptance(ctx context.Context, routes, pools objects.Object, validationErrors tables.ValidationErrors) error {
	status := AcceptanceStatus{
		RoutesRevision:   uint64(routes.Version),
		PoolsRevision:    uint64(pools.Version),
		Accepted:         len(validationErrors) == 0,
		Generation:       m.instance.router.Generation(),
		ValidationErrors: validationErrors,
	}
	_, err := m.instance.objects.Update(ctx, KeyAcceptance, func(value []byte) ([]byte, error) {
		var recorded AcceptanceStatus
		if json.Unmarshal(value, &recorded) == nil && !status.newerThan(recorded) {
			return nil, nil
		}
		return json.Marshal(status)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if status.Accepted {
		events.ConfigAccepted.Log(m.instance.log, zap.Uint64("generation", status.Generation))
		return nil
	}
	events.ConfigRejected.Log(m.instance.log, zap.Error(validationErrors))
	return nil
}

// newerThan reports whether the status is about a later edit: one table is newer
// and neither is older.
func (a AcceptanceStatus) newerThan(other AcceptanceStatus) bool {
	if a.RoutesRevision < other.RoutesRevision || a.PoolsRevision < other.PoolsRevision {
		return false
	}
	return a.RoutesRevision > other.RoutesRevision || a.PoolsRevision > other.PoolsRevision
}

// fetchOrCreatePeerKey reads the fleet's peer key from the platform's objects,
// and creates it if there is none. It does nothing if the settings have a key.
// After an error the present key stays in use.
func (m *configManager) fetchOrCreatePeerKey(ctx context.Context) {
	if len(m.instance.settings.PeerKey) > 0 {
		return
	}
	object, err := m.instance.objects.Update(ctx, KeyPeerKey, func(value []byte) ([]byte, error) {
		if len(value) > 0 {
			return nil, nil
		}
		return json.Marshal(storedPeerKey{Key: randomKey()})
	})
	if err != nil {
		return
	}
	var stored storedPeerKey
	if json.Unmarshal(object.Value, &stored) != nil || len(stored.Key) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.peerKeyBytes = stored.Key
}

// storeProgress merges the router's rollout progress into the store if it is
// marked as dirty. After an error it stays dirty.
func (m *configManager) storeProgress(ctx context.Context) {
	m.mutex.Lock()
	dirty := m.progressDirty
	m.progressDirty = false
	m.mutex.Unlock()
	if !dirty {
		return
	}
	_, err := m.instance.objects.Update(ctx, KeyProgress, func(value []byte) ([]byte, error) {
		return mergeProgress(value, m.instance.router.Progress())
	})
	if err != nil {
		m.instance.platformHealth.record(m.instance.log, err)
		m.mutex.Lock()
		m.progressDirty = true
		m.mutex.Unlock()
	}
}

// isWatcher reports whether this instance is one of those in its data centre that
// watch the objects.
func (m *configManager) isWatcher() bool {
	return m.instance.node.DataCenterPosition() < watchersPerDataCenter
}

// mergeProgress returns the stored progress merged with the local progress,
// encoded as JSON, or nil if the store needs no update.
func mergeProgress(value []byte, localProgress []rollouts.Progress) ([]byte, error) {
	var stored storedProgress
	if len(value) > 0 {
		if err := json.Unmarshal(value, &stored); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	changed := false
	for _, progress := range localProgress {
		found := false
		for i, known := range stored.Pools {
			if known.Pool != progress.Pool {
				continue
			}
			found = true
			stored.Pools[i] = rollouts.Merge(known, progress)
			changed = changed || stored.Pools[i] != known
		}
		if !found {
			stored.Pools = append(stored.Pools, progress)
			changed = true
		}
	}
	if !changed {
		return nil, nil
	}
	return json.Marshal(stored)
}

// nextConfig returns the configuration that follows the accepted one in value,
// encoded as JSON. It returns nil if the accepted configuration has these tables
// or a later one already, or if the tables are not valid. In the latter case it
// also returns the validation errors.
func nextConfig(now time.Time, value []byte, routes, pools objects.Object) ([]byte, tables.ValidationErrors, error) {
	var config tables.Config
	if len(value) > 0 {
		if err := json.Unmarshal(value, &config); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	routesRevision, poolsRevision := uint64(routes.Version), uint64(pools.Version)
	if routesRevision < config.RoutesRevision || poolsRevision < config.PoolsRevision {
		return nil, nil, nil
	}
	if routesRevision == config.RoutesRevision && poolsRevision == config.PoolsRevision {
		return nil, nil, nil
	}
	routesTable, poolsTable, validationErrors := parseTables(routes.Value, pools.Value)
	if len(validationErrors) > 0 {
		return nil, validationErrors, nil
	}
	config.Generation++
	config.RoutesRevision, config.PoolsRevision = routesRevision, poolsRevision
	config.Routes, config.Pools = routesTable.Routes, poolsTable.Pools
	config.SessionKeys = rotateSessionKeys(now, config.SessionKeys)
	encoded, err := json.Marshal(config)
	if len(encoded) > objects.MaxValueBytes {
		return nil, tables.ValidationErrors{{File: "routes", Row: -1, Field: "routes", Problem: "both tables together are over 1 MB"}}, nil
	}
	return encoded, nil, trace.Wrap(err)
}

// parseTables decodes and validates both tables. It reports all errors found; the
// tables are validated together only if both can be decoded.
func parseTables(routes, pools []byte) (tables.RoutesTable, tables.PoolsTable, tables.ValidationErrors) {
	var validationErrors tables.ValidationErrors
	routesTable, err := tables.ParseRoutes("routes", routes)
	validationErrors = append(validationErrors, toValidationErrors(err)...)
	poolsTable, err := tables.ParsePools("pools", pools)
	validationErrors = append(validationErrors, toValidationErrors(err)...)
	if len(validationErrors) == 0 {
		validationErrors = toValidationErrors(tables.Validate("routes", routesTable, "pools", poolsTable))
	}
	return routesTable, poolsTable, validationErrors
}

// toValidationErrors returns the validation errors in err. Any other error
// becomes a single validation error.
func toValidationErrors(err error) tables.ValidationErrors {
	var validationErrors tables.ValidationErrors
	if err != nil && !errors.As(err, &validationErrors) {
		validationErrors = tables.ValidationErrors{{Row: -1, Field: "json", Problem: err.Error()}}
	}
	return validationErrors
}

// randomKey returns a new random key of keyBytes bytes.
func randomKey() []byte {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	return key
}

// rotateSessionKeys adds a signing key, in front, if the newest one is older than
// sessionKeyRotation, and drops keys older than sessionKeyRetention. If the keys
// are rotated in time, no live session is signed with a dropped key. They are
// rotated only when tables are accepted: after a longer interval between edits,
// a dropped key may have signed live sessions.
func rotateSessionKeys(now time.Time, keys []tables.SessionKey) []tables.SessionKey {
	kept := make([]tables.SessionKey, 0, len(keys)+1)
	if len(keys) == 0 || now.Sub(time.UnixMilli(keys[0].Created)) > sessionKeyRotation {
		idBytes := randomKey()
		kept = append(kept, tables.SessionKey{
			ID:      binary.BigEndian.Uint32(idBytes),
			Secret:  randomKey(),
			Created: now.UnixMilli(),
		})
	}
	for _, key := range keys {
		if now.Sub(time.UnixMilli(key.Created)) <= sessionKeyRetention {
			kept = append(kept, key)
		}
	}
	return kept
}
