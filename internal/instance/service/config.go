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

// configKeeper learns the accepted configuration from the platform's objects
// and from peers, and accepts edits of the tables.
type configKeeper struct {
	instance *Instance

	mutex   sync.Mutex
	inForce []byte
	key     []byte
	// progressDirty says that progress decided here is not in the store yet.
	progressDirty bool
	// interrupt ends the watch in progress.
	interrupt func()
}

// Acceptance is the status of the latest edit of the tables, as kept in the
// platform's objects for operators.
type Acceptance struct {
	RoutesRevision uint64                  `json:"routes_revision"`
	PoolsRevision  uint64                  `json:"pools_revision"`
	Accepted       bool                    `json:"accepted"`
	Generation     uint64                  `json:"generation"`
	Mistakes       tables.ValidationErrors `json:"mistakes,omitempty"`
}

type peerKeyValue struct {
	Key []byte `json:"key"`
}

type progressValue struct {
	Pools []rollouts.Progress `json:"pools"`
}

// The keys of the objects that control the fleet.
const (
	ControlPrefix objects.Key = "control/"
	KeyRoutes     objects.Key = "control/routes"
	KeyPools      objects.Key = "control/pools"
	KeyAccepted   objects.Key = "control/accepted"
	KeyAcceptance objects.Key = "control/acceptance"
	KeyPeerKey    objects.Key = "control/peer_key"
	KeyProgress   objects.Key = "control/progress"
)

const (
	// watchersPerDataCenter is the number of instances of a data centre that
	// keep a watch. The others learn from their peers.
	watchersPerDataCenter = 2
	// watchWait bounds a watch, so that an edit is in force in time although
	// the connection of the watch went silent.
	watchWait = 8 * time.Second
	// idlePoll is how often an instance that keeps no watch looks itself.
	idlePoll     = 5 * time.Minute
	rankPause    = 2 * time.Second
	errorPause   = time.Second
	keyBytes     = 32
	keyLife      = 7 * 24 * time.Hour
	keyRetention = 9 * 24 * time.Hour
)

func (k *configKeeper) init(instance *Instance) {
	k.instance = instance
	k.key = instance.settings.PeerKey
}

func (k *configKeeper) encoded() []byte {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.inForce
}

func (k *configKeeper) markProgress() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.progressDirty = true
	if k.interrupt != nil {
		k.interrupt()
	}
}

// peerKey returns the key of the peers' messages. Without one the instance
// uses a key of its own, which no peer accepts.
func (k *configKeeper) peerKey() []byte {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.key) == 0 {
		k.key = randomKey()
	}
	return k.key
}

// run keeps the configuration up to date until the context ends.
func (k *configKeeper) run(ctx context.Context) error {
	var revision uint64
	var lastLook time.Time
	for ctx.Err() == nil {
		k.storeProgress(ctx)
		if !k.watches() && revision > 0 && time.Since(lastLook) < idlePoll {
			delay.Sleep(ctx, rankPause)
			continue
		}
		lastLook = time.Now()
		wait := watchWait
		if revision == 0 || !k.watches() {
			wait = 0
		}
		changed, reached, err := k.watch(ctx, revision, wait)
		k.instance.platform.note(k.instance.log, err)
		if err != nil {
			delay.Sleep(ctx, delay.WithJitter(errorPause))
			continue
		}
		revision = max(1, reached)
		k.take(ctx, changed)
	}
	return nil
}

// watch waits for a change, or for progress that has to be stored.
func (k *configKeeper) watch(ctx context.Context, revision uint64, wait time.Duration) ([]objects.Object, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k.mutex.Lock()
	k.interrupt = func() { cancel(errWoken) }
	dirty := k.progressDirty
	k.mutex.Unlock()
	if dirty {
		return nil, revision, nil
	}
	changed, reached, err := k.instance.objects.Watch(ctx, ControlPrefix, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return nil, revision, nil
	}
	return changed, reached, trace.Wrap(err)
}

var errWoken = errors.New("woken")

// take takes changed objects from the platform.
func (k *configKeeper) take(ctx context.Context, changed []objects.Object) {
	edited := false
	for _, object := range changed {
		switch object.Key {
		case KeyAccepted:
			k.apply(object.Value)
		case KeyRoutes, KeyPools:
			edited = true
		case KeyProgress:
			k.takeProgress(object.Value)
		}
	}
	k.fetchPeerKey(ctx)
	if edited {
		if err := k.accept(ctx); err != nil {
			k.instance.platform.note(k.instance.log, err)
		}
	}
}

func (k *configKeeper) takeFromPeer(value []byte) {
	k.apply(value)
}

func (k *configKeeper) takeProgress(value []byte) {
	var stored progressValue
	if err := json.Unmarshal(value, &stored); err != nil {
		return
	}
	for _, progress := range stored.Pools {
		k.instance.router.MergeProgress(progress)
	}
}

// apply puts an accepted configuration in force if it is newer.
func (k *configKeeper) apply(value []byte) {
	if len(value) == 0 {
		return
	}
	var config tables.Config
	if err := json.Unmarshal(value, &config); err != nil {
		events.ConfigUnreadable.Log(k.instance.log, zap.Error(err))
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.instance.router.Apply(time.Now(), &config) {
		return
	}
	k.inForce = value
	events.ConfigInForce.Log(k.instance.log, zap.Uint64("generation", config.Generation))
	k.instance.node.Wake()
}

// accept joins the newest pair of tables into the next generation, or records
// why it cannot. Any number of instances may do so at once.
func (k *configKeeper) accept(ctx context.Context) error {
	client := k.instance.objects
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
	k.apply(accepted.Value)
	return trace.Wrap(k.recordAcceptance(ctx, routes, pools, validationErrors))
}

// recordAcceptance tells operators what became of an edit.
func (k *configKeeper) recordAcceptance(ctx context.Context, routes, pools objects.Object, validationErrors tables.ValidationErrors) error {
	status := Acceptance{
		RoutesRevision: uint64(routes.Version),
		PoolsRevision:  uint64(pools.Version),
		Accepted:       len(validationErrors) == 0,
		Generation:     k.instance.router.Generation(),
		Mistakes:       validationErrors,
	}
	_, err := k.instance.objects.Update(ctx, KeyAcceptance, func(value []byte) ([]byte, error) {
		var known Acceptance
		if json.Unmarshal(value, &known) == nil && !status.newerThan(known) {
			return nil, nil
		}
		return json.Marshal(status)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if status.Accepted {
		events.ConfigAccepted.Log(k.instance.log, zap.Uint64("generation", status.Generation))
		return nil
	}
	events.ConfigRejected.Log(k.instance.log, zap.Error(validationErrors))
	return nil
}

// newerThan reports whether the status is about later tables.
func (a Acceptance) newerThan(known Acceptance) bool {
	if a.RoutesRevision < known.RoutesRevision || a.PoolsRevision < known.PoolsRevision {
		return false
	}
	return a.RoutesRevision > known.RoutesRevision || a.PoolsRevision > known.PoolsRevision
}

// fetchPeerKey reads the fleet's key from the platform's objects, and makes it
// if there is none.
func (k *configKeeper) fetchPeerKey(ctx context.Context) {
	if len(k.instance.settings.PeerKey) > 0 {
		return
	}
	object, err := k.instance.objects.Update(ctx, KeyPeerKey, func(value []byte) ([]byte, error) {
		if len(value) > 0 {
			return nil, nil
		}
		return json.Marshal(peerKeyValue{Key: randomKey()})
	})
	if err != nil {
		return
	}
	var stored peerKeyValue
	if json.Unmarshal(object.Value, &stored) != nil || len(stored.Key) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.key = stored.Key
}

// storeProgress writes rollout progress that is not in the store yet.
func (k *configKeeper) storeProgress(ctx context.Context) {
	k.mutex.Lock()
	dirty := k.progressDirty
	k.progressDirty = false
	k.mutex.Unlock()
	if !dirty {
		return
	}
	_, err := k.instance.objects.Update(ctx, KeyProgress, func(value []byte) ([]byte, error) {
		return mergeProgress(value, k.instance.router.Progress())
	})
	if err != nil {
		k.instance.platform.note(k.instance.log, err)
		k.mutex.Lock()
		k.progressDirty = true
		k.mutex.Unlock()
	}
}

// watches reports whether this instance is one of those that keep a watch.
func (k *configKeeper) watches() bool {
	return k.instance.node.Rank() < watchersPerDataCenter
}

func mergeProgress(value []byte, own []rollouts.Progress) ([]byte, error) {
	var stored progressValue
	if len(value) > 0 {
		if err := json.Unmarshal(value, &stored); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	changed := false
	for _, progress := range own {
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

// nextConfig returns the configuration after an edit, nil if the tables are in
// the accepted one already or have errors.
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
	config.SessionKeys = renewKeys(now, config.SessionKeys)
	encoded, err := json.Marshal(config)
	if len(encoded) > objects.MaxValueBytes {
		return nil, tables.ValidationErrors{{File: "routes", Row: -1, Field: "routes", Problem: "both tables together are over 1 MB"}}, nil
	}
	return encoded, nil, trace.Wrap(err)
}

func parseTables(routes, pools []byte) (tables.RoutesTable, tables.PoolsTable, tables.ValidationErrors) {
	var validationErrors tables.ValidationErrors
	routesTable, err := tables.ParseRoutes("routes", routes)
	validationErrors = append(validationErrors, validationErrorsOf(err)...)
	poolsTable, err := tables.ParsePools("pools", pools)
	validationErrors = append(validationErrors, validationErrorsOf(err)...)
	if len(validationErrors) == 0 {
		validationErrors = validationErrorsOf(tables.Validate("routes", routesTable, "pools", poolsTable))
	}
	return routesTable, poolsTable, validationErrors
}

func validationErrorsOf(err error) tables.ValidationErrors {
	var validationErrors tables.ValidationErrors
	if err != nil && !errors.As(err, &validationErrors) {
		validationErrors = tables.ValidationErrors{{Row: -1, Field: "json", Problem: err.Error()}}
	}
	return validationErrors
}

func randomKey() []byte {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	return key
}

// renewKeys adds a signing key if the newest one is old, and drops keys that
// no live session can be signed with.
func renewKeys(now time.Time, keys []tables.SessionKey) []tables.SessionKey {
	kept := make([]tables.SessionKey, 0, len(keys)+1)
	if len(keys) == 0 || now.Sub(time.UnixMilli(keys[0].Created)) > keyLife {
		secret := randomKey()
		kept = append(kept, tables.SessionKey{
			ID:      binary.BigEndian.Uint32(secret),
			Secret:  randomKey(),
			Created: now.UnixMilli(),
		})
	}
	for _, key := range keys {
		if now.Sub(time.UnixMilli(key.Created)) <= keyRetention {
			kept = append(kept, key)
		}
	}
	return kept
}
