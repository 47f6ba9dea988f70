package pacing

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/tables"
)

// Owners tells which instance admits the calls to an upstream. Instances that know the same
// members agree without coordination, by rendezvous hashing. The zero value has no members.
type Owners struct {
	self    tables.InstanceID
	members []tables.InstanceID
	// avoided are the members that could not be reached, until they are asked again.
	avoided map[tables.InstanceID]time.Time
	// late are the members whose latest answer did not come in time.
	late map[tables.InstanceID]lateness
}

// lateness is the time of the first and of the latest of a member's answers that did not come
// in time, without one in between that did.
type lateness struct {
	first, latest time.Time
}

// avoidTime is how long a member that could not be reached owns nothing here. By then the fleet
// has found it to be down.
const avoidTime = 3 * time.Second

// Set sets the members that are up, and which of them this instance is.
func (o *Owners) Set(self tables.InstanceID, members []tables.InstanceID) {
	o.self, o.members = self, members
	maps.DeleteFunc(o.late, func(member tables.InstanceID, _ lateness) bool { return !slices.Contains(members, member) })
}

// Avoid records that a member could not be reached.
func (o *Owners) Avoid(now time.Time, member tables.InstanceID) {
	if o.avoided == nil {
		o.avoided = map[tables.InstanceID]time.Time{}
	}
	o.avoided[member] = now.Add(avoidTime)
}

const (
	// maxLateness is how long a member may be late before it counts as one that could not be
	// reached. Until then it may still admit calls of others, and two owners would admit too
	// many.
	maxLateness = time.Second
	// maxLateGap is the longest time between two late answers that count as one lateness.
	maxLateGap = 2 * avoidTime
)

// RecordLate records that a member did not answer in time, and reports whether it counts as one
// that could not be reached, since it has been late for maxLateness.
func (o *Owners) RecordLate(now time.Time, member tables.InstanceID) bool {
	l := o.late[member]
	if now.Sub(l.latest) > maxLateGap {
		l.first = now
	}
	l.latest = now
	if o.late == nil {
		o.late = map[tables.InstanceID]lateness{}
	}
	o.late[member] = l
	if now.Sub(l.first) < maxLateness {
		return false
	}
	o.Avoid(now, member)
	return true
}

// RecordAnswer records that a member has answered in time.
func (o *Owners) RecordAnswer(member tables.InstanceID) {
	delete(o.late, member)
}

// Of returns the owner of an upstream, empty if it is this instance.
func (o *Owners) Of(now time.Time, upstream tables.UpstreamID) tables.InstanceID {
	owner, highest := o.self, uint64(0)
	candidates := o.members
	if !slices.Contains(candidates, o.self) {
		candidates = append(slices.Clip(candidates), o.self)
	}
	for _, member := range candidates {
		score := xxhash.Sum64String(string(member) + "\x00" + string(upstream))
		if score >= highest && !now.Before(o.avoided[member]) {
			owner, highest = member, score
		}
	}
	if owner == o.self {
		return ""
	}
	return owner
}
