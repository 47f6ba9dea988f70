package callers

import (
	"sync"
	"time"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
)

// attemptHistory records the outcomes of the calls made for one request, so
// that its fault has the run state RunNo only if no upstream can have run it.
type attemptHistory struct {
	// mayHaveRun is true if an upstream may have run the request.
	mayHaveRun bool
	// lastFault is the fault of the last failed call, nil if there is none.
	lastFault *faults.Error
}

// recordFailure records a failed call and returns the fault to report to the
// caller.
func (a *attemptHistory) recordFailure(fault *faults.Error) *faults.Error {
	a.mayHaveRun = a.mayHaveRun || fault.Run != faults.RunNo
	a.lastFault = fault
	return a.withRunState(fault)
}

// refusal returns the fault to report to the caller when no further call can
// be made. The fault of the last failed call, if any, takes the place of the
// given one, since it names the original cause.
func (a *attemptHistory) refusal(fault *faults.Error) *faults.Error {
	if a.lastFault != nil {
		fault = a.lastFault
	}
	return a.withRunState(fault)
}

// allowsRetry reports whether the retry budget allows a call after a failed one. A call
// after ones that reached no upstream needs no budget, since it adds no load.
func (x *exchange) allowsRetry(fault *faults.Error) bool {
	return fault.Run == faults.RunNo || x.server.Router.AllowRetry(time.Now())
}

// startStep starts the next step of the request.
func (x *exchange) startStep(task *router.Task, avoid tables.UpstreamID) (*router.Step, *faults.Error) {
	if x.server.Router.SuspectsRequests() {
		// The router asks for it under its lock.
		task.Request.ContentPart()
	}
	return x.server.Router.StartStep(time.Now(), task, avoid)
}

// finishStep records the outcome of a step. Err is its error, nil if there was none.
func (x *exchange) finishStep(task *router.Task, step *router.Step, outcome router.Outcome, err error) {
	outcome.ConnectionLost = outcome.Failed && !outcome.Answered && faults.FromError(err).ConnectionLost
	if outcome.ConnectionLost {
		task.Request.ContentPart()
	}
	x.server.Router.FinishStep(time.Now(), task, step, outcome)
}

// contentPart returns a function that returns the part that stands for all requests of the
// team with the method, target and body of this one. It hashes them once.
func (x *exchange) contentPart(body []byte) func() quarantine.PartID {
	return sync.OnceValue(func() quarantine.PartID {
		return quarantine.NewRequestPart(string(x.team), x.request.Method, x.request.RequestURI, string(body))
	})
}

// isUpstreamFailure reports whether a failed call shows a failure of the upstream. A call
// that a caller canceled or that the instance ended does not, nor one whose request the
// upstream rejected or that was lost with this instance's own link.
func (x *exchange) isUpstreamFailure(address string, fault *faults.Error) bool {
	switch {
	case fault.Kind == faults.Canceled, fault.Kind == faults.Interrupted, fault.Kind == faults.AnswerDropped, isRequestRejected(fault):
		return false
	case fault.Run == faults.RunNo, x.server.IsLinkLost == nil:
		return true
	}
	return !x.server.IsLinkLost(address)
}

// isRequestRejected reports whether a fault is the upstream's verdict on the request.
func isRequestRejected(fault *faults.Error) bool {
	return fault.Kind == faults.BadRequest || fault.Kind == faults.TooLarge
}

// withRunState returns a copy of the fault whose run state covers all calls.
func (a *attemptHistory) withRunState(fault *faults.Error) *faults.Error {
	reported := *fault
	if a.mayHaveRun {
		reported.Run = faults.RunUnknown
	}
	return &reported
}
