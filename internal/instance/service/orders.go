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

// orderController sends orders to the engines of the pools that this instance
// owns, until their actual state is the desired one.
type orderController struct {
	instance *Instance
	watchers map[tables.PoolID]*orders.LeaseWatcher
	// upToDate holds the state for which each pool was last found to need no
	// orders. The lease is not read again until the state changes.
	upToDate map[tables.PoolID]orderState
}

// orderState is what the desired state of a pool's engines depends on.
type orderState struct {
	generation uint64
	withdrawn  bool
}

const (
	// LeaseKeyPrefix is the prefix of the keys of leases in the store.
	LeaseKeyPrefix objects.Key = "leases/"
	// ordersInterval is the mean time between two rounds over the pools.
	ordersInterval = 2 * time.Second
)

func newOrderController(instance *Instance) *orderController {
	return &orderController{
		instance: instance,
		watchers: map[tables.PoolID]*orders.LeaseWatcher{},
		upToDate: map[tables.PoolID]orderState{},
	}
}

// run reconciles the pools at intervals until the context ends.
func (c *orderController) run(ctx context.Context) error {
	for delay.Sleep(ctx, delay.WithJitter(ordersInterval)) {
		index := c.instance.router.Index()
		if index == nil {
			continue
		}
		for i := range index.Config.Pools {
			pool := &index.Config.Pools[i]
			if pool.Fencing == "" || !c.instance.node.IsOwner("orders "+string(pool.Name)) {
				continue
			}
			if err := c.reconcile(ctx, index, pool); err != nil && ctx.Err() == nil {
				events.OrdersFailed.Log(c.instance.log, zap.String("pool", string(pool.Name)), zap.Error(err))
			}
		}
	}
	return nil
}

// reconcile sends the orders that a pool's engines need, if the pool's lease can
// be taken.
func (c *orderController) reconcile(ctx context.Context, index *tables.Index, pool *tables.Pool) error {
	withdrawn := c.instance.router.Withdrawn(pool.Name)
	state := orderState{index.Config.Generation, withdrawn}
	if c.upToDate[pool.Name] == state {
		return nil
	}
	desired := orders.DesiredActions(pool, withdrawn)
	key := LeaseKeyPrefix + objects.Key(pool.Name)
	lease, version, err := c.readLease(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(orders.Diff(pool, desired, lease.Actual)) == 0 {
		c.upToDate[pool.Name] = state
		return nil
	}
	watcher := c.watchers[pool.Name]
	if watcher == nil {
		watcher = &orders.LeaseWatcher{}
		c.watchers[pool.Name] = watcher
	}
	if !watcher.MayTake(time.Now(), uint64(version), lease) {
		return nil
	}
	return c.sendOrders(ctx, key, pool, desired, lease, version)
}

// sendOrders takes the lease, sends the orders and releases the lease with the
// actions that were acknowledged. If an order fails, it still sends the others,
// and returns the last error.
func (c *orderController) sendOrders(ctx context.Context, key objects.Key, pool *tables.Pool, desired orders.Actions, lease orders.Lease, version objects.Version) error {
	var heldLease orders.HeldLease
	requestedAt := time.Now()
	lease = lease.TakenBy(string(c.instance.epoch))
	version, err := c.writeLease(ctx, key, version, lease)
	if err != nil {
		// The write may have taken effect. In that case the lease expires.
		return trace.Wrap(err)
	}
	heldLease.Extend(requestedAt, lease.FencingToken)
	var sendErr error
	for _, order := range orders.Diff(pool, desired, lease.Actual) {
		if !heldLease.InForce(time.Now()) {
			return errors.New("lease expired before all orders were sent")
		}
		if err := c.sendOrder(ctx, order, lease.FencingToken); err != nil {
			sendErr = err
			continue
		}
		lease = lease.WithActual(order.Upstream.Name, order.Action)
	}
	lease.Released = true
	if _, err := c.writeLease(ctx, key, version, lease); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(sendErr)
}

// readLease returns a lease and the version of its object, the zero Lease and
// version 0 if there is none yet.
func (c *orderController) readLease(ctx context.Context, key objects.Key) (orders.Lease, objects.Version, error) {
	var lease orders.Lease
	object, err := c.instance.objects.Get(ctx, key)
	if err != nil || object.Version == 0 {
		return lease, 0, trace.Wrap(err)
	}
	return lease, object.Version, trace.Wrap(json.Unmarshal(object.Value, &lease))
}

// sendOrder sends an order with a fencing token. It times out after
// orders.MaxOrderDelay, which the takeover of leases relies on.
func (c *orderController) sendOrder(ctx context.Context, order orders.Order, fencingToken uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orders.MaxOrderDelay)
	defer cancel()
	err := c.instance.upstreams.SendOrder(ctx, order.Upstream.Address, upstreams.Order{
		Subject:      string(order.Upstream.Name),
		Action:       string(order.Action),
		FencingToken: fencingToken,
	})
	if err != nil {
		return trace.Wrap(err, "sending order to upstream %q", order.Upstream.Name)
	}
	events.OrderAcknowledged.Log(c.instance.log, zap.String("upstream", string(order.Upstream.Name)),
		zap.String("action", string(order.Action)), zap.Uint64("fence", fencingToken))
	return nil
}

// writeLease writes a lease if its object still has the version, and returns the
// new version.
func (c *orderController) writeLease(ctx context.Context, key objects.Key, version objects.Version, lease orders.Lease) (objects.Version, error) {
	value, err := json.Marshal(lease)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	newVersion, err := c.instance.objects.Put(ctx, key, version, value)
	return newVersion, trace.Wrap(err)
}
