// Package orders works out which orders the engines need, and who may give
// them.
//
// The orders about a subject are given by the holder of its lease. A lease is
// an object of the platform's store, taken by conditional update with a fencing
// number that rises with each holder. No clock is compared with another one:
// the holder gives a lease up by its own clock before it lapses, and a
// successor waits until it has seen the lease unchanged for longer than it
// lasts and an order can live.
package orders

import (
	"maps"
	"slices"
	"time"

	"mimosayard/internal/core/tables"
)

// An Action is what an engine is told to have or to do, such as
// "load small@v1".
type Action string

// A Difference is an order that turns the actual into the desired state.
type Difference struct {
	Upstream tables.Upstream
	Action   Action
}

// A Holding is a lease as its holder sees it. The zero value is not in force.
type Holding struct {
	Fence uint64
	// until is when the holder gives up, by its own clock.
	expiresAt time.Time
}

// A Lease is the value of a lease's object.
type Lease struct {
	// Holder names the run of the instance that holds the lease.
	Holder string `json:"holder"`
	// Fence rises with each taking of the lease.
	Fence uint64 `json:"fence"`
	// Released says that the holder is done.
	Released bool `json:"released"`
	// Actual is what the engines were last told, as acknowledged.
	Actual map[tables.UpstreamID]Action `json:"actual,omitempty"`
}

// A State is what the engines of a pool have, or should have.
type State map[tables.UpstreamID]Action

// A Watcher decides when a lease of someone else may be taken. The zero value
// works.
type Watcher struct {
	version uint64
	// since is when the version was first seen, by the own clock.
	firstSeen time.Time
}

const (
	// Duration is how long a lease lasts from its last write.
	LeaseDuration = 10 * time.Second
	// Guard is how long before the end of a lease its holder stops.
	ExpiryMargin = 2 * time.Second
	// OrderLife is the longest time from sending an order to its effect.
	OrderLife = 3 * time.Second
	// Unload is the action for an engine whose version is not wanted.
	Unload Action = "unload"
)

// Desired returns what the engines of a pool should have.
func Desired(pool *tables.Pool, withdrawn bool) State {
	state := State{}
	for _, upstream := range pool.Upstreams {
		state[upstream.Name] = Action("load " + string(pool.Model) + "@" + string(pool.Version))
		if withdrawn || pool.Withdrawn {
			state[upstream.Name] = Unload
		}
	}
	return state
}

// Diff returns the orders that turn the actual into the desired state, in the
// order of the names.
func Diff(pool *tables.Pool, desired, actual State) []Difference {
	var differences []Difference
	for _, upstream := range pool.Upstreams {
		wanted := desired[upstream.Name]
		if actual[upstream.Name] != wanted {
			differences = append(differences, Difference{upstream, wanted})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		if a.Upstream.Name < b.Upstream.Name {
			return -1
		}
		return 1
	})
	return differences
}

// InForce reports whether an order may be sent now and will have taken effect
// before the lease can have another holder.
func (h *Holding) InForce(now time.Time) bool {
	return now.Before(h.expiresAt)
}

// Took notes that the lease was written. Asked is when the write was begun, so
// that the time until its answer counts against the holder.
func (h *Holding) Took(requestedAt time.Time, fence uint64) {
	h.Fence = fence
	h.expiresAt = requestedAt.Add(LeaseDuration - ExpiryMargin)
}

// Lost notes that the lease may have another holder.
func (h *Holding) Lost() {
	h.expiresAt = time.Time{}
}

// Next returns the lease as a holder writes it to take it.
func (l Lease) Next(holder string) Lease {
	return Lease{Holder: holder, Fence: l.Fence + 1, Actual: maps.Clone(l.Actual)}
}

// With returns the lease with an acknowledged action.
func (l Lease) With(upstream tables.UpstreamID, action Action) Lease {
	l.Actual = maps.Clone(l.Actual)
	if l.Actual == nil {
		l.Actual = map[tables.UpstreamID]Action{}
	}
	l.Actual[upstream] = action
	return l
}

// MayTake reports whether the lease, seen now with a version, may be taken.
func (w *Watcher) MayTake(now time.Time, version uint64, lease Lease) bool {
	if version == 0 || lease.Released {
		return true
	}
	if version != w.version || w.firstSeen.IsZero() {
		w.version, w.firstSeen = version, now
	}
	return now.Sub(w.firstSeen) > LeaseDuration+OrderLife
}
