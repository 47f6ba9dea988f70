// Package orders computes which orders the engines need, and decides which
// instance may send them.
//
// Orders about a subject are sent by the holder of its lease. A lease is an
// object in the platform's store, taken by conditional update with a fencing
// number that rises with each holder. Clocks of different instances are never
// compared: the holder stops by its own clock before the lease expires, and a
// successor waits until it has seen the lease unchanged for longer than the
// lease duration plus the longest delay of an order.
package orders

import (
	"maps"
	"slices"
	"time"

	"mimosayard/internal/core/tables"
)

// An Action is what an engine is ordered to do, such as "load small@v1".
type Action string

// An Order is an order for one upstream whose actual action differs from
// the desired one.
type Order struct {
	Upstream tables.Upstream
	Action   Action
}

// A HeldLease is a lease as its holder sees it. The zero value is not in force.
type HeldLease struct {
	// FencingToken is the fencing token to send with orders.
	FencingToken uint64
	// expiresAt is when the holder stops, by its own clock.
	expiresAt time.Time
}

// A Lease is the value of a lease object in the platform's store.
type Lease struct {
	// Holder identifies the process of the instance that holds the lease.
	Holder string `json:"holder"`
	// FencingToken is the fencing token. It rises each time the lease is taken.
	FencingToken uint64 `json:"fence"`
	// Released is true if the holder has given up the lease.
	Released bool `json:"released"`
	// Actual is the last acknowledged action of each engine.
	Actual map[tables.UpstreamID]Action `json:"actual,omitempty"`
}

// Actions holds the action of each engine of a pool, actual or desired.
type Actions map[tables.UpstreamID]Action

// A LeaseWatcher decides when another instance's lease may be taken over. The
// zero value is ready to use.
type LeaseWatcher struct {
	// version is the last seen version of the lease object in the store.
	version uint64
	// firstSeen is when version was first seen, by this instance's clock.
	firstSeen time.Time
}

const (
	// LeaseDuration is how long a lease lasts from its last write.
	LeaseDuration = 10 * time.Second
	// ExpiryMargin is how long before the lease expires its holder stops.
	ExpiryMargin = 2 * time.Second
	// MaxOrderDelay is the maximum time from sending an order to its effect.
	MaxOrderDelay = 3 * time.Second
	// Unload is the action for an engine whose version is not wanted.
	Unload Action = "unload"
)

// DesiredActions returns the desired actions of a pool: to load its version on
// every upstream, or to unload it if the pool is withdrawn.
func DesiredActions(pool *tables.Pool, withdrawn bool) Actions {
	actions := Actions{}
	for _, upstream := range pool.Upstreams {
		actions[upstream.Name] = Action("load " + string(pool.Model) + "@" + string(pool.Version))
		if withdrawn || pool.Withdrawn {
			actions[upstream.Name] = Unload
		}
	}
	return actions
}

// Diff returns an order for each upstream whose actual action differs from the
// desired one, sorted by upstream name.
func Diff(pool *tables.Pool, desired, actual Actions) []Order {
	var orders []Order
	for _, upstream := range pool.Upstreams {
		wanted := desired[upstream.Name]
		if actual[upstream.Name] != wanted {
			orders = append(orders, Order{upstream, wanted})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		if a.Upstream.Name < b.Upstream.Name {
			return -1
		}
		return 1
	})
	return orders
}

// InForce reports whether an order may be sent now. An order sent then takes
// effect before another holder can send one.
func (h *HeldLease) InForce(now time.Time) bool {
	return now.Before(h.expiresAt)
}

// Extend records that the lease was taken or renewed. The term is counted from
// requestedAt, when the write began, because the store may have applied it at
// any time since.
func (h *HeldLease) Extend(requestedAt time.Time, fencingToken uint64) {
	h.FencingToken = fencingToken
	h.expiresAt = requestedAt.Add(LeaseDuration - ExpiryMargin)
}

// Invalidate records that the lease may have another holder.
func (h *HeldLease) Invalidate() {
	h.expiresAt = time.Time{}
}

// TakenBy returns the lease to write for a new holder, with the next fencing
// number and the same actual actions.
func (l Lease) TakenBy(holder string) Lease {
	return Lease{Holder: holder, FencingToken: l.FencingToken + 1, Actual: maps.Clone(l.Actual)}
}

// WithActual returns a copy of the lease with an acknowledged action added.
func (l Lease) WithActual(upstream tables.UpstreamID, action Action) Lease {
	l.Actual = maps.Clone(l.Actual)
	if l.Actual == nil {
		l.Actual = map[tables.UpstreamID]Action{}
	}
	l.Actual[upstream] = action
	return l
}

// MayTake reports whether the lease, read now with a version of its object, may
// be taken. Version 0 means that the object does not exist.
func (w *LeaseWatcher) MayTake(now time.Time, version uint64, lease Lease) bool {
	if version == 0 || lease.Released {
		return true
	}
	if version != w.version || w.firstSeen.IsZero() {
		w.version, w.firstSeen = version, now
	}
	return now.Sub(w.firstSeen) > LeaseDuration+MaxOrderDelay
}
