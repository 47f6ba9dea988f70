package router

import (
	"strconv"
	"time"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
)

// Quarantine returns the requests that this instance refuses.
func (r *Router) Quarantine() []quarantine.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.quarantine.List()
}

// QuarantineChanges returns the requests that were quarantined or released since the last
// call.
func (r *Router) QuarantineChanges() []quarantine.Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes := r.quarantineChanges
	r.quarantineChanges = nil
	return changes
}

// ReleaseQuarantined releases a request over the fleet. It returns false if none refuses it.
func (r *Router) ReleaseQuarantined(now time.Time, part quarantine.PartID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.quarantine.Release(now, part)
}

// SetInstance sets the name of this instance. It must be called before the first request.
func (r *Router) SetInstance(instance tables.InstanceID) {
	r.instance = instance
}

// SuspectsRequests reports whether the next step of any request depends on its ContentPart.
func (r *Router) SuspectsRequests() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.quarantine.HasEvidence()
}

// quarantineFault returns the reason why the content of the request forbids a step, nil if it
// does not.
func (r *Router) quarantineFault(now time.Time, task *Task) *faults.Error {
	task.mayBeTrial = false
	if task.Request.ContentPart == nil || !r.quarantine.HasEvidence() {
		return nil
	}
	decision, part := r.quarantine.Check(now, []quarantine.PartID{task.Request.ContentPart()})
	switch {
	case decision == quarantine.Refused && !task.isTrial:
		return faults.New(faults.PromptQuarantined, string(part))
	case decision != quarantine.Allowed && task.losses > 0:
		return faults.New(faults.UpstreamFailed, "may crash upstreams: "+string(part))
	}
	task.mayBeTrial = decision == quarantine.Trial && !task.isTrial
	return nil
}

// startTrial uses a trial up if the step that is started is one.
func (r *Router) startTrial(now time.Time, task *Task) {
	if task.mayBeTrial {
		task.isTrial = len(r.quarantine.StartTrial(now, []quarantine.PartID{task.Request.ContentPart()}, task.Deadline())) > 0
		task.mayBeTrial = false
	}
}

// recordForQuarantine records what the end of a step shows about the request.
func (r *Router) recordForQuarantine(now time.Time, task *Task, step *Step, outcome Outcome) {
	if task.Request.ContentPart == nil {
		return
	}
	switch {
	case outcome.Answered:
		if r.quarantine.HasEvidence() {
			// The tables do not tell successive lives of an upstream apart, so the
			// answer of a later one does not clear an earlier one.
			r.quarantine.RecordAnswer(now, "", step.sentAt, []quarantine.PartID{task.Request.ContentPart()})
		}
	case outcome.ConnectionLost:
		task.losses++
		u := step.Choice.Upstream
		life := string(r.instance) + "/" + string(u.Config.Name) + "/" + strconv.Itoa(u.RecordLoss(now, step.sentAt))
		r.quarantine.RecordLoss(now, quarantine.Life(life), task.Request.RequestID, []quarantine.PartID{task.Request.ContentPart()})
	}
}
