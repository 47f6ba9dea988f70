package dispatch

import (
	"slices"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/quarantine"
)

// unresolvedCalls are the latest calls of one upstream that ended without a sign of whether
// the upstream outlived them, such as those whose callers left.
type unresolvedCalls []unresolvedCall

type unresolvedCall struct {
	endedAt time.Time
	request string
	parts   []quarantine.PartID
}

const (
	// unresolvedTTL is the time in which the end of an upstream is put down to a call that
	// ended before it.
	unresolvedTTL = time.Second
	// maxUnresolved bounds the unresolved calls of an upstream.
	maxUnresolved = 32
)

// RecordConnectionRefused records that no process listens at the address of a call's
// upstream.
func (d *Dispatcher) RecordConnectionRefused(now time.Time, call *Call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.links.Lost(now, links.Address(call.Upstream.Address)) {
		d.resolveCalls(now, call.upstream)
		d.quarantine.RecordEnd(now, quarantine.Life(lifeName(call.upstream)))
	}
}

// recordSigns passes the signs of life that the upstreams have given to the quarantine. Calls
// record them without the dispatcher's lock.
func (d *Dispatcher) recordSigns() {
	if !d.quarantine.WantsSigns() {
		return
	}
	for _, s := range d.services {
		for _, u := range s.upstreams {
			d.quarantine.RecordSign(quarantine.Life(lifeName(u)), u.LastSign())
		}
	}
}

// contributeSigns tells the fleet which upstreams have given a sign lately, of those on which
// some instance lost calls. Each key would else change several times a second in the sums.
func (d *Dispatcher) contributeSigns(now time.Time, set func(key aggregates.Key, value float64)) {
	if !d.quarantine.HasEvidence() {
		return
	}
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if now.Sub(u.LastSign()) >= quarantine.SignWindow {
				continue
			}
			if life := quarantine.Life(lifeName(u)); d.quarantine.SharesSignsOf(life) {
				set(quarantine.SignKey(life), 1)
			}
		}
	}
}

// addUnresolved keeps a call that its caller left, or that was given up, before its answer
// started.
func (d *Dispatcher) addUnresolved(now time.Time, task *Task, call *Call) {
	parts := task.suspectParts()
	if len(parts) == 0 {
		return
	}
	calls := d.unresolved[call.upstream]
	for len(calls) > 0 && (len(calls) >= maxUnresolved || now.Sub(calls[0].endedAt) > unresolvedTTL) {
		calls = calls[1:]
	}
	if d.unresolved == nil {
		d.unresolved = map[*placement.Upstream]unresolvedCalls{}
	}
	d.unresolved[call.upstream] = append(calls, unresolvedCall{now, task.Request.ID, parts})
}

// outliveCalls records that the upstream of a call has answered it, so that it has outlived
// the calls that ended before this one was sent.
func (d *Dispatcher) outliveCalls(call *Call) {
	calls := d.unresolved[call.upstream]
	if len(calls) == 0 {
		return
	}
	d.unresolved[call.upstream] = slices.DeleteFunc(calls, func(c unresolvedCall) bool { return c.endedAt.Before(call.sentAt) })
}

// resolveCalls records that an upstream has ended, so that its unresolved calls were lost
// with it.
func (d *Dispatcher) resolveCalls(now time.Time, u *placement.Upstream) {
	for _, call := range d.unresolved[u] {
		if now.Sub(call.endedAt) <= unresolvedTTL {
			d.quarantine.RecordLoss(now, quarantine.Life(lifeName(u)), call.request, call.parts)
		}
	}
	delete(d.unresolved, u)
}
