package callers

import "mimosayard/internal/core/faults"

// attemptHistory remembers what the calls of one request came to, so that a later
// refusal says "not run" only if none of them can have run.
type attemptHistory struct {
	// ran says that an upstream may have run the request.
	mayHaveRun bool
	lastFault  *faults.Error
}

// failed notes a failed call and returns the fault to tell the caller.
func (a *attemptHistory) recordFailure(fault *faults.Error) *faults.Error {
	a.mayHaveRun = a.mayHaveRun || fault.Run != faults.RunNo
	a.lastFault = fault
	return a.withRunState(fault)
}

// refusal returns the fault to tell when no further call can be made: that of
// the last call if there was one.
func (a *attemptHistory) refusal(fault *faults.Error) *faults.Error {
	if a.lastFault != nil {
		fault = a.lastFault
	}
	return a.withRunState(fault)
}

// tell returns the fault with what is known of all calls.
func (a *attemptHistory) withRunState(fault *faults.Error) *faults.Error {
	reported := *fault
	if a.mayHaveRun {
		reported.Run = faults.RunUnknown
	}
	return &reported
}
