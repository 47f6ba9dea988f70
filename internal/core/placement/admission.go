package placement

import (
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/tables"
)

// An admission tells that one instance admits the calls of all to an upstream that tolerates
// few rejections. The zero value is an upstream that each instance calls by itself.
type admission struct {
	// owned is true if an instance admits the calls, owner which one, empty for this one.
	owned bool
	owner tables.InstanceID
	// room bounds the calls that this instance admits, nil until it is needed.
	room *pacing.Semaphore
}

// SetOwner makes an instance admit all calls to the upstream, this one if it is empty. It ends
// the limit on this instance's own rejections.
func (u *Upstream) SetOwner(owner tables.InstanceID) {
	u.rejections.limited, u.rejections.rejected, u.rejections.unsure = false, nil, nil
	u.admission.owned, u.admission.owner = true, owner
	u.UpdateLimited()
}

// clearOwner lets each instance call the upstream by itself. Calls that were admitted may still
// be open.
func (u *Upstream) clearOwner() {
	u.admission.owned, u.admission.owner = false, ""
}

// Room returns the semaphore for the calls of all instances that this one admits.
func (u *Upstream) Room() *pacing.Semaphore {
	if u.admission.room == nil {
		u.admission.room = &pacing.Semaphore{}
	}
	return u.admission.room
}

// Owner returns the instance that admits the calls to the upstream, empty for this one, and
// false if each instance calls it by itself.
func (u *Upstream) Owner() (tables.InstanceID, bool) {
	return u.admission.owner, u.admission.owned
}
