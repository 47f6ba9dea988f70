package service

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/orders"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
)

// orderKeeper gives the engines their orders, for the pools that this instance
// takes care of.
type orderKeeper struct {
	instance *Instance
	watchers map[tables.PoolID]*orders.LeaseWatcher
	// settled is the generation and the withdrawals that each pool's engines
	// are known to be told about.
	settled map[tables.PoolID]orderMark
}

// orderMark says for what a pool was last found to need no orders.
type orderMark struct {
	generation uint64
	withdrawn  bool
}

const (
	// LeasesPrefix begins the keys of the leases.
	LeasesPrefix   objects.Key = "leases/"
	ordersInterval             = 2 * time.Second
)

func newOrderKeeper(instance *Instance) *orderKeeper {
	return &orderKeeper{
		instance: instance,
		watchers: map[tables.PoolID]*orders.LeaseWatcher{},
		settled:  map[tables.PoolID]orderMark{},
	}
}

// run looks after the pools until the context ends.
func (k *orderKeeper) run(ctx context.Context) error {
	for delay.Sleep(ctx, delay.WithJitter(ordersInterval)) {
		index := k.instance.router.Index()
		if index == nil {
			continue
		}
		for i := range index.Config.Pools {
			pool := &index.Config.Pools[i]
			if pool.Fencing == "" || !k.instance.node.Owns("orders "+string(pool.Name)) {
				continue
			}
			if err := k.level(ctx, index, pool); err != nil && ctx.Err() == nil {
				events.OrdersFailed.Log(k.instance.log, zap.String("pool", string(pool.Name)), zap.Error(err))
			}
		}
	}
	return nil
}

// level gives the orders that a pool's engines need, under the pool's lease.
func (k *orderKeeper) level(ctx context.Context, index *tables.Index, pool *tables.Pool) error {
	withdrawn := k.instance.router.Withdrawn(pool.Name)
	mark := orderMark{index.Config.Generation, withdrawn}
	if k.settled[pool.Name] == mark {
		return nil
	}
	desired := orders.DesiredActions(pool, withdrawn)
	key := LeasesPrefix + objects.Key(pool.Name)
	lease, version, err := k.read(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(orders.Diff(pool, desired, lease.Actual)) == 0 {
		k.settled[pool.Name] = mark
		return nil
	}
	watcher := k.watchers[pool.Name]
	if watcher == nil {
		watcher = &orders.LeaseWatcher{}
		k.watchers[pool.Name] = watcher
	}
	if !watcher.MayTake(time.Now(), uint64(version), lease) {
		return nil
	}
	return k.giveOrders(ctx, key, pool, desired, lease, version)
}

// giveOrders takes the lease, gives the orders and releases the lease with
// what was acknowledged.
func (k *orderKeeper) giveOrders(ctx context.Context, key objects.Key, pool *tables.Pool, desired orders.Actions, lease orders.Lease, version objects.Version) error {
	var held orders.HeldLease
	asked := time.Now()
	lease = lease.TakenBy(string(k.instance.epoch))
	version, err := k.write(ctx, key, version, lease)
	if err != nil {
		// The write may have taken effect. Then the lease lapses by itself.
		return trace.Wrap(err)
	}
	held.Extend(asked, lease.Fence)
	var failed error
	for _, order := range orders.Diff(pool, desired, lease.Actual) {
		if !held.InForce(time.Now()) {
			return errors.New("the lease lapsed before all orders were given")
		}
		if err := k.send(ctx, order, lease.Fence); err != nil {
			failed = err
			continue
		}
		lease = lease.WithActual(order.Upstream.Name, order.Action)
	}
	lease.Released = true
	if _, err := k.write(ctx, key, version, lease); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(failed)
}

func (k *orderKeeper) read(ctx context.Context, key objects.Key) (orders.Lease, objects.Version, error) {
	var lease orders.Lease
	object, err := k.instance.objects.Get(ctx, key)
	if err != nil || object.Version == 0 {
		return lease, 0, trace.Wrap(err)
	}
	return lease, object.Version, trace.Wrap(json.Unmarshal(object.Value, &lease))
}

// send sends an order. It is given up within the time that an order may live.
func (k *orderKeeper) send(ctx context.Context, order orders.Order, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orders.MaxOrderDelay)
	defer cancel()
	err := k.instance.upstreams.SendOrder(ctx, order.Upstream.Address, upstreams.Order{
		Subject:      string(order.Upstream.Name),
		Action:       string(order.Action),
		FencingToken: fence,
	})
	if err != nil {
		return trace.Wrap(err, "order to %s", order.Upstream.Name)
	}
	events.OrderGiven.Log(k.instance.log, zap.String("upstream", string(order.Upstream.Name)),
		zap.String("action", string(order.Action)), zap.Uint64("fence", fence))
	return nil
}

func (k *orderKeeper) write(ctx context.Context, key objects.Key, version objects.Version, lease orders.Lease) (objects.Version, error) {
	value, err := json.Marshal(lease)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	written, err := k.instance.objects.Put(ctx, key, version, value)
	return written, trace.Wrap(err)
}
