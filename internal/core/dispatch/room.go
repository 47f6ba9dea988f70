package dispatch

import (
	"maps"
	"slices"
	"time"

	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// rejectionMargin is the fraction of an upstream's tolerated rejections that the fleet uses.
// Instances may disagree for a moment on the size of the fleet.
const rejectionMargin = 0.9

// A ToleranceChange is a change of the number of rejections that an upstream tolerates, or of the
// instance that admits the calls to it.
type ToleranceChange struct {
	Upstream tables.UpstreamID
	// Rejections is the number in a second, zero for any number.
	Rejections int
	// Admitted is true if one instance admits the calls, Owner which one, empty for this
	// one.
	Admitted bool
	Owner    tables.InstanceID
}

// ToleranceChanges returns the latest change of each upstream since the last call.
func (d *Dispatcher) ToleranceChanges() []ToleranceChange {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changes := slices.Collect(maps.Values(d.toleranceChanges))
	clear(d.toleranceChanges)
	return changes
}

// limitRejections sets the limit on an upstream's rejections from what it has said to
// this instance lately, or else to others, or else before.
func (d *Dispatcher) limitRejections(now time.Time, u *placement.Upstream) {
	limit := u.StatedRejections(now)
	if count := d.totals[statementKey(valueStatements, u)]; limit == 0 && count > 0 {
		limit = int(d.totals[statementKey(valueRejections, u)] / count)
	}
	if limit > 0 {
		u.ConfirmTolerance(now, limit)
	}
	d.applyTolerance(now, u)
}

// applyTolerance limits the calls to an upstream by the rejections that it tolerates.
func (d *Dispatcher) applyTolerance(now time.Time, u *placement.Upstream) {
	limit := u.Tolerance(now)
	s := d.service(u.Service)
	defer d.noteTolerance(u, limit)
	switch {
	case limit <= 0:
		u.AllowRejections()
	case d.needsOwner(s, limit):
		u.SetOwner(d.owners.Of(now, u.ID))
		u.Room().SetTolerated(rejectionBudget(limit))
	default:
		u.LimitRejections(d.rejectionShare(s, u, limit))
	}
}

// noteTolerance records a change for ToleranceChanges.
func (d *Dispatcher) noteTolerance(u *placement.Upstream, limit int) {
	change := ToleranceChange{Upstream: u.ID, Rejections: limit}
	change.Owner, change.Admitted = u.Owner()
	if change == d.tolerances[u.ID] || limit == 0 && d.tolerances[u.ID].Rejections == 0 {
		return
	}
	if limit == 0 {
		delete(d.tolerances, u.ID)
	} else {
		d.tolerances[u.ID] = change
	}
	d.toleranceChanges[u.ID] = change
}

// inheritTolerance makes the new life of an upstream tolerate what the service's other
// upstreams do, until it answers.
func (d *Dispatcher) inheritTolerance(now time.Time, s *service, u *placement.Upstream) {
	for _, other := range s.upstreams {
		if rejections := other.Tolerance(now); rejections > 0 {
			u.ConfirmTolerance(now, rejections)
			d.applyTolerance(now, u)
			return
		}
	}
}

// needsOwner reports whether one instance has to admit the calls of all to an upstream,
// given how many rejections in a second it tolerates. A plain service may reject a call until
// it answers it, so all calls in flight would be within the rejections that it tolerates. An
// upstream with models starts to answer early; there it has to only where not all instances
// could call an upstream otherwise.
func (d *Dispatcher) needsOwner(s *service, limit int) bool {
	budget, size := rejectionBudget(limit), d.fleet.Size()
	callersNeeded := (size + len(s.upstreams) - 1) / max(1, len(s.upstreams))
	return !d.hasModels(s) || budget < min(size, callersNeeded)
}

// hasModels reports whether the upstreams of the service run models.
func (d *Dispatcher) hasModels(s *service) bool {
	if d.index == nil {
		return false
	}
	configured := d.index.Service(s.name)
	return configured != nil && configured.Engine != nil
}

// rejectionBudget returns how many rejections in a second the fleet uses of those that an
// upstream tolerates.
func rejectionBudget(limit int) int {
	return max(1, int(rejectionMargin*float64(limit)))
}

// rejectionShare returns how many calls of this instance an upstream may have to reject
// in a second, given how many of the whole fleet's it tolerates. The shares of all instances
// add up to less. If there are more instances than rejections, only some of them call
// the upstream and others its neighbours, so that each instance has some to call.
func (d *Dispatcher) rejectionShare(s *service, u *placement.Upstream, limit int) int {
	budget, size := rejectionBudget(limit), d.fleet.Size()
	if budget >= size {
		return budget / size
	}
	if d.fleet.IsCaller(budget, s.rank(u), len(s.upstreams)) {
		return 1
	}
	return 0
}

// SetMembers sets the instances of the fleet that are up, and which of them this one is.
func (d *Dispatcher) SetMembers(self tables.InstanceID, members []tables.InstanceID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.owners.Set(self, members)
	d.self, d.members = self, members
}

// RecordOwnerLost records that the instance that admits the calls to the upstream of a call
// could not be reached. Another one takes its place.
func (d *Dispatcher) RecordOwnerLost(now time.Time, call *Call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.owners.Avoid(now, call.Owner)
	d.replaceOwner(now, call)
}

// RecordOwnerLate records that the instance that admits the calls to the upstream of a call did
// not answer in time. Another one takes its place if that lasts.
func (d *Dispatcher) RecordOwnerLate(now time.Time, call *Call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.owners.RecordLate(now, call.Owner) {
		d.replaceOwner(now, call)
	}
}

// RecordOwnerAnswer records that the instance that admits the calls to the upstream of a call
// has answered.
func (d *Dispatcher) RecordOwnerAnswer(call *Call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.owners.RecordAnswer(call.Owner)
}

// replaceOwner sets the owner of the upstream of a call by the members that can be reached.
func (d *Dispatcher) replaceOwner(now time.Time, call *Call) {
	if _, owned := call.upstream.Owner(); owned {
		call.upstream.SetOwner(d.owners.Of(now, call.Upstream.ID))
	}
}

// AcquireRoom asks for room for a call of any instance at the upstream of the address. It calls
// onOpen, which must not block, once there is room. It returns nil if there is none within the
// wait, or if no upstream is known at the address.
func (d *Dispatcher) AcquireRoom(now time.Time, address string, wait time.Duration, onOpen func()) *pacing.Permit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.Address == address && !u.Evacuated() && (u.Usable() || u.Draining(now)) {
				return u.Room().Acquire(now, u.Slots, wait, onOpen)
			}
		}
	}
	return nil
}

// RecordRejection records that the upstream of an address has rejected a call that this instance
// admitted for a peer.
func (d *Dispatcher) RecordRejection(now time.Time, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.Address == address {
				u.Room().RecordRejection(now)
			}
		}
	}
}

// RoomFor is like AcquireRoom, but returns a function that releases the room, nil if there is
// none.
func (d *Dispatcher) RoomFor(address string, wait time.Duration, onOpen func()) (release func()) {
	permit := d.AcquireRoom(time.Now(), address, wait, onOpen)
	if permit == nil {
		return nil
	}
	return func() { d.ReleaseRoom(time.Now(), permit) }
}

// ReleaseRoom gives up the room of a call that has ended, or that no longer waits.
func (d *Dispatcher) ReleaseRoom(now time.Time, permit *pacing.Permit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	permit.Release(now)
}

// rank returns the number of the service's upstreams whose IDs are lower.
func (s *service) rank(u *placement.Upstream) int {
	rank := 0
	for _, other := range s.upstreams {
		if other.ID < u.ID {
			rank++
		}
	}
	return rank
}
