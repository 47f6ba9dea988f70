package placement

import (
	"slices"
	"time"
)

// A Reservation is the possible rejection of a call to an upstream that tolerates few.
type Reservation struct {
	// sentAt is when the call was sent, as far as is known.
	sentAt time.Time
}

// rejectionLimit bounds the calls of this instance that an upstream rejects in a second.
// Calls that may still be rejected count as if they were. The zero value has no limit.
type rejectionLimit struct {
	// limited is true while there is a limit, share this instance's part of it.
	limited bool
	share   int
	// stated is the number of rejections in a second that the upstream has said it
	// tolerates, zero if it has not or tolerates any. statedAt is when it said so.
	stated   int
	statedAt time.Time
	// tolerated is what this instance or another was last told, or what the service's other
	// upstreams tolerate if none was told by this life. It is zero for any number.
	// toleratedAt is when that was last confirmed.
	tolerated   int
	toleratedAt time.Time
	// rejected are the times of the rejections in the last rejectionWindow, oldest
	// first.
	rejected []time.Time
	// unsure are the calls that may still be rejected, oldest first.
	unsure []*Reservation
}

const (
	// rejectionWindow is the time in which an upstream tolerates a number of rejections.
	rejectionWindow = time.Second
	// rejectionTimeout is the time after which a call counts as accepted, since
	// upstreams reject at once.
	rejectionTimeout = 150 * time.Millisecond
	// statementTTL is how long an instance tells the fleet what an upstream has said
	// of itself.
	statementTTL = 3 * time.Second
	// toleranceTTL is how long an upstream that no one has heard of since counts as
	// tolerating what it last said. One that is down or full does not answer.
	toleranceTTL = 30 * time.Second
)

// StateRejections records how many rejections in a second the upstream says it tolerates,
// zero if it says nothing.
func (u *Upstream) StateRejections(now time.Time, limit int) {
	u.rejections.stated, u.rejections.statedAt = limit, now
}

// StatedRejections returns how many rejections in a second the upstream has lately said
// it tolerates, zero if it has not said so.
func (u *Upstream) StatedRejections(now time.Time) int {
	if now.Sub(u.rejections.statedAt) > statementTTL {
		return 0
	}
	return u.rejections.stated
}

// ConfirmTolerance records how many rejections in a second the upstream tolerates, as far as
// the fleet knows.
func (u *Upstream) ConfirmTolerance(now time.Time, rejections int) {
	u.rejections.tolerated, u.rejections.toleratedAt = rejections, now
}

// Tolerance returns how many rejections in a second the upstream tolerates, zero for any number.
// What was last known holds until the upstream says otherwise.
func (u *Upstream) Tolerance(now time.Time) int {
	if now.Sub(u.rejections.toleratedAt) > toleranceTTL {
		return 0
	}
	return u.rejections.tolerated
}

// LimitRejections sets how many of this instance's calls the upstream may have to reject
// in a second.
func (u *Upstream) LimitRejections(share int) {
	u.rejections.limited, u.rejections.share = true, share
	u.clearOwner()
	u.UpdateLimited()
}

// AllowRejections ends the limit on rejections.
func (u *Upstream) AllowRejections() {
	u.rejections.limited, u.rejections.rejected, u.rejections.unsure = false, nil, nil
	u.clearOwner()
	u.UpdateLimited()
}

// RejectionsLimited reports whether there is a limit on the upstream's rejections.
func (u *Upstream) RejectionsLimited() bool {
	return u.rejections.limited || u.admission.owned
}

// MayReject reports whether the upstream tolerates it if it has to reject one more call.
func (u *Upstream) MayReject(now time.Time) bool {
	r := &u.rejections
	if !r.limited {
		return true
	}
	r.expire(now)
	return len(r.rejected)+len(r.unsure) < r.share
}

// Reserve counts a call that may be rejected. It returns nil if there is no limit.
func (u *Upstream) Reserve(now time.Time) *Reservation {
	if !u.rejections.limited {
		return nil
	}
	reservation := &Reservation{sentAt: now}
	u.rejections.unsure = append(u.rejections.unsure, reservation)
	return reservation
}

// MarkSent records when the call of a reservation was sent.
func (r *Reservation) MarkSent(now time.Time) {
	if r != nil {
		r.sentAt = now
	}
}

// Release ends a reservation, and counts the rejection if the call was rejected.
func (u *Upstream) Release(now time.Time, reservation *Reservation, rejected bool) {
	r := &u.rejections
	if i := slices.Index(r.unsure, reservation); reservation != nil && i >= 0 {
		r.unsure = slices.Delete(r.unsure, i, i+1)
	}
	if rejected && r.limited {
		r.rejected = append(r.rejected, now)
	}
}

// rejectionRoomAt returns when the upstream tolerates another rejection, as far as is known
// now, zero if that is not known.
func (u *Upstream) rejectionRoomAt(now time.Time) time.Time {
	r := &u.rejections
	if u.MayReject(now) {
		return now
	}
	if r.share <= 0 {
		return time.Time{}
	}
	earliest := time.Time{}
	if len(r.rejected) > 0 {
		earliest = r.rejected[0].Add(rejectionWindow)
	}
	if len(r.unsure) > 0 {
		if at := r.unsure[0].sentAt.Add(rejectionTimeout); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// expire forgets rejections that are over and calls that count as accepted.
func (r *rejectionLimit) expire(now time.Time) {
	r.rejected = slices.DeleteFunc(r.rejected, func(at time.Time) bool { return now.Sub(at) > rejectionWindow })
	r.unsure = slices.DeleteFunc(r.unsure, func(s *Reservation) bool { return now.Sub(s.sentAt) > rejectionTimeout })
}
