package pacing

import (
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
}

// avoidTime is how long a member that could not be reached owns nothing here. By then the fleet
// has found it to be down.
const avoidTime = 3 * time.Second

// Set sets the members that are up, and which of them this instance is.
func (o *Owners) Set(self tables.InstanceID, members []tables.InstanceID) {
	o.self, o.members = self, members
}

// Avoid records that a member could not be reached.
func (o *Owners) Avoid(now time.Time, member tables.InstanceID) {
	if o.avoided == nil {
		o.avoided = map[tables.InstanceID]time.Time{}
	}
	o.avoided[member] = now.Add(avoidTime)
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
