package router

import (
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// Request holds what is known of a caller's request on arrival.
type Request struct {
	Route tables.RouteKey
	// Caller identifies the caller within the team. A rollout exposes a caller
	// to the new version or not by its hash, so that all requests of a caller
	// agree. If Caller is empty, RequestID is hashed instead.
	Caller    string
	RequestID string
	// PinnedPools lists the session's pools. It is nil for a request without a
	// session.
	PinnedPools []tables.PoolID
	// Model restricts the request to one model. Empty allows any.
	Model tables.ModelID
	// PromptTokens is the estimated size of the prompt. MaxAnswerTokens is the
	// caller's limit on the size of the answer, zero for none.
	PromptTokens    tables.Tokens
	MaxAnswerTokens tables.Tokens
	// PrefixHash is the hash of the first block of the prompt, zero for none.
	PrefixHash uint64
	// ContentPart returns the part that stands for the request and its repetitions. It is
	// called only while upstreams are lost. It may be nil.
	ContentPart func() quarantine.PartID
	// ArrivedAt is when the request arrived. Its deadline counts from then.
	ArrivedAt time.Time
}

// Step is one call to an upstream within a task.
type Step struct {
	Pool   *tables.Pool
	Choice routing.Choice
	// Stage is the index of the stage in the route.
	Stage int
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// FinalStage is true if there is no stage to escalate to, so that the
	// answer is accepted whatever its confidence.
	FinalStage bool

	upstreams *routing.UpstreamSet
	call      routing.Call
	sentAt    time.Time
	// firstTokenAt is when the first token arrived, zero before that.
	firstTokenAt time.Time
}

// Task is an admitted request. It is not safe for concurrent use.
type Task struct {
	Request Request
	Entry   *tables.RouteEntry
	// Pools holds the pool chosen for each stage, empty where the stage cannot
	// be used. A session token keeps them for later requests of the session.
	Pools []tables.PoolID
	// Cost is the cost of the calls so far, without failed ones.
	Cost tables.MicroCost

	routeState *routeState
	plan       cascades.Plan
	// stage is the index of the current stage.
	stage int
	// expectedTokens is what the allowance was charged on admission,
	// usedTokens what the calls used.
	expectedTokens tables.Tokens
	usedTokens     tables.Tokens
	// escalatedFrom is the confidence of the answer escalated last, if
	// escalated is true.
	escalatedFrom cascades.Bucket
	escalated     bool
	ended         bool
	// losses is the number of calls whose connection was lost before the answer got past
	// its beginning.
	losses int
	// isTrial is true if the task is the trial of its quarantined content. mayBeTrial is true if
	// the next step makes it one.
	isTrial, mayBeTrial bool
}

const (
	// defaultAnswerTokens and defaultPromptTokens are the expected sizes while
	// there are no observations.
	defaultAnswerTokens tables.Tokens = 200
	defaultPromptTokens tables.Tokens = 400
	// ConfidenceTokens is the number of answer tokens after which the
	// confidence of a stage's answer decides between delivery and escalation.
	ConfidenceTokens tables.Tokens = 16
	// lowPriorityWaitFraction is the fraction of the first-token bound that a
	// request may wait if its team has routes of a higher priority to the
	// service. Priority has no effect between teams, so that no team can starve
	// another.
	lowPriorityWaitFraction = 0.7
)

// Admit admits a request or refuses it. A refused request has not been sent to
// an upstream.
func (r *Router) Admit(now time.Time, request Request) (*Task, *faults.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.index == nil {
		return nil, faults.New(faults.NotReady, "")
	}
	route := r.routeStates[request.Route]
	if route == nil {
		return nil, faults.New(faults.UnknownRoute, string(request.Route.Service))
	}
	task := &Task{Request: request, Entry: route.entry, routeState: route}
	if fault := r.pinPools(task); fault != nil {
		return nil, fault
	}
	r.planTask(now, task)
	if fault := r.checkFirstToken(now, task); fault != nil {
		return nil, fault
	}
	task.expectedTokens = request.PromptTokens + r.expectedStageAnswer(task)
	if fault := route.Admit(now, route.entry.Route.Allowance, float64(task.expectedTokens)); fault != nil {
		return nil, fault
	}
	r.retries.deposit()
	return task, nil
}

// StartStep starts a call for the task's current stage and chooses its
// upstream. Avoid names an upstream that already failed the task, or is empty.
func (r *Router) StartStep(now time.Time, task *Task, avoid tables.UpstreamID) (*Step, *faults.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault := r.repinStage(task); fault != nil {
		return nil, fault
	}
	if fault := r.quarantineFault(now, task); fault != nil {
		return nil, fault
	}
	state := r.poolStates[task.Pools[task.stage]]
	call := r.routingCall(task, state, avoid)
	choice, ok := state.upstreams.Choose(now, call, r.random)
	if !ok {
		return nil, state.noUpstream(now)
	}
	if fault := r.checkDeadline(now, task, choice.ExpectedWait); fault != nil {
		return nil, fault
	}
	r.startTrial(now, task)
	state.upstreams.RecordStart(now, choice)
	return &Step{
		Pool:       state.pool,
		Choice:     choice,
		Stage:      task.stage,
		Deadline:   task.Deadline(),
		FinalStage: r.nextStage(task) < 0,
		upstreams:  state.upstreams,
		call:       call,
		sentAt:     now,
	}, nil
}

// Deadline returns when the answer must be complete.
func (t *Task) Deadline() time.Time {
	return t.Request.ArrivedAt.Add(t.Entry.Route.Deadline.Duration())
}

// routingCall describes the task's current call for the choice of an upstream.
func (r *Router) routingCall(task *Task, state *poolState, avoid tables.UpstreamID) routing.Call {
	return routing.Call{
		PromptTokens: task.Request.PromptTokens,
		AnswerTokens: r.expectedAnswer(task, state),
		PrefixHash:   task.Request.PrefixHash,
		Avoid:        avoid,
	}
}

// expectedAnswer returns the expected answer size of a pool, at most the
// caller's limit. It is zero for plain services.
func (r *Router) expectedAnswer(task *Task, state *poolState) tables.Tokens {
	answer := tables.Tokens(state.callStats.AnswerTokens)
	if state.callStats.TotalSeconds == 0 {
		answer = defaultAnswerTokens
	}
	if state.pool.Kind == tables.KindPlain {
		answer = 0
	}
	if task.Request.MaxAnswerTokens > 0 {
		answer = min(answer, task.Request.MaxAnswerTokens)
	}
	return answer
}

// checkDeadline refuses a call whose expected wait for the first token reaches
// the deadline.
func (r *Router) checkDeadline(now time.Time, task *Task, wait time.Duration) *faults.Error {
	remaining := task.Deadline().Sub(now)
	if wait < remaining {
		return nil
	}
	fault := faults.New(faults.DeadlineUnreachable, "")
	fault.RetryAfter = max(wait-remaining, time.Second)
	return fault
}

// checkFirstToken refuses a request whose first token is expected after the
// route's bound, and records the expected wait in the load of the service.
func (r *Router) checkFirstToken(now time.Time, task *Task) *faults.Error {
	state := r.poolStates[task.Pools[task.stage]]
	bound := task.Entry.Route.FirstToken.Duration()
	if bound == 0 {
		return nil
	}
	choice, ok := state.upstreams.Choose(now, r.routingCall(task, state, ""), r.random)
	if !ok {
		return faults.New(faults.NoUpstream, string(state.pool.Name))
	}
	wait := now.Sub(task.Request.ArrivedAt) + choice.ExpectedWait
	load := r.serviceLoads[task.Entry.Route.Service]
	load.observeWait(now, wait, bound)
	if load.allowProbe(now) {
		return nil
	}
	if task.Entry.Route.Priority < task.routeState.maxPriority {
		bound = time.Duration(float64(bound) * lowPriorityWaitFraction)
	}
	if wait <= bound {
		load.lastAdmittedAt = now
		return nil
	}
	fault := faults.New(faults.Overloaded, "the first token would come too late")
	fault.RetryAfter = max(wait-bound, 100*time.Millisecond)
	return fault
}

// expectedStageAnswer returns the expected answer size of the task's current
// stage.
func (r *Router) expectedStageAnswer(task *Task) tables.Tokens {
	return r.expectedAnswer(task, r.poolStates[task.Pools[task.stage]])
}

// nextStage returns the index of the stage that the task would escalate to, or
// -1 if there is none.
func (r *Router) nextStage(task *Task) int {
	if task.Request.Model != "" {
		return -1
	}
	for s := task.stage + 1; s < len(task.Pools); s++ {
		if r.poolStates[task.Pools[s]].available() {
			return s
		}
	}
	return -1
}

// pinPools chooses the pool of each stage, or uses those of the session. It
// fails if no stage can be used, or if a pool of the session is withdrawn.
func (r *Router) pinPools(task *Task) *faults.Error {
	task.Pools = make([]tables.PoolID, len(task.Entry.Stages))
	usable := false
	for s, stage := range task.Entry.Stages {
		if task.Request.Model != "" && stage.Model != task.Request.Model {
			continue
		}
		pool, fault := r.pinStage(task, stage)
		if fault != nil {
			return fault
		}
		task.Pools[s] = pool
		usable = usable || pool != ""
	}
	if !usable {
		return faults.New(faults.NotAllowed, "no model or version is left to the team")
	}
	return nil
}

// pinStage returns the pool of a stage, or an empty name if the stage cannot be
// used.
func (r *Router) pinStage(task *Task, stage tables.Stage) (tables.PoolID, *faults.Error) {
	if task.Request.PinnedPools == nil {
		return r.pickVersion(task, stage), nil
	}
	for _, pool := range stage.Pools {
		for _, pinned := range task.Request.PinnedPools {
			if pool.Name != pinned {
				continue
			}
			if !r.poolStates[pinned].available() {
				return "", faults.New(faults.VersionWithdrawn, string(pinned))
			}
			return pinned, nil
		}
	}
	return "", nil
}

// pickVersion chooses between the versions of a stage: one in a rollout if the
// caller is exposed to it or no other is available, otherwise the settled one.
// The result is empty if none is available.
func (r *Router) pickVersion(task *Task, stage tables.Stage) tables.PoolID {
	caller := task.Request.Caller
	if caller == "" {
		caller = task.Request.RequestID
	}
	current := r.settledVersion(stage, caller)
	for _, pool := range stage.Pools {
		state := r.poolStates[pool.Name]
		if pool.Rollout == nil || !state.available() {
			continue
		}
		replaced := r.poolStates[pool.Rollout.Replaces]
		if current == nil || (replaced == current && r.isExposed(state, caller)) {
			current = state
		}
	}
	if current == nil {
		return ""
	}
	return current.pool.Name
}

// settledVersion returns the first available version of a stage, in table
// order, that is not being rolled out. While a version is suspect, most callers
// get the next one instead. The result is nil if there is none.
func (r *Router) settledVersion(stage tables.Stage, caller string) *poolState {
	var first *poolState
	for _, pool := range stage.Pools {
		state := r.poolStates[pool.Name]
		if pool.Rollout != nil || !state.available() {
			continue
		}
		if r.policy.NoDetection || rollouts.IsExposed(rollouts.CallerHash(pool.Name, caller), state.test.LimitExposure(1)) {
			return state
		}
		if first == nil {
			first = state
		}
	}
	return first
}

// isExposed reports whether the rollout of a pool exposes a caller to it.
func (r *Router) isExposed(state *poolState, caller string) bool {
	steps := state.pool.Rollout.Steps
	share := steps[min(state.progress.Step, len(steps)-1)]
	if !r.policy.NoDetection {
		share = state.test.LimitExposure(share)
	}
	return rollouts.IsExposed(rollouts.CallerHash(state.pool.Name, caller), share)
}

// planTask sets the task's plan and first stage. At least one stage of the task
// must have a pool.
func (r *Router) planTask(now time.Time, task *Task) {
	route := task.routeState
	if route.plannedAt.IsZero() || now.Sub(route.plannedAt) > planTTL {
		route.plan = r.makePlan(route)
		route.plannedAt = now
	}
	task.plan = route.plan
	task.stage = r.chooseStart(route)
	for task.stage < len(task.Pools) && task.Pools[task.stage] == "" {
		task.stage++
	}
	for task.stage >= len(task.Pools) || task.Pools[task.stage] == "" {
		task.stage--
	}
	r.skipSlowStages(now, task)
}

// skipSlowStages moves the start past each stage whose answer, if escalated,
// would leave too little time for the next stage. A stage is not skipped if the
// next one would be too slow on its own.
func (r *Router) skipSlowStages(now time.Time, task *Task) {
	remaining := task.Deadline().Sub(now)
	for next := r.nextStage(task); next >= 0; next = r.nextStage(task) {
		current := r.poolStates[task.Pools[task.stage]]
		following := r.poolStates[task.Pools[next]]
		if current.callStats.MeanFirstToken()+following.callStats.MeanDuration() <= remaining {
			return
		}
		if following.callStats.MeanDuration() > remaining {
			return
		}
		task.stage = next
	}
}

// chooseStart returns the index of the stage to start at. With a low
// probability this is the stage before the planned one, as a stage that is
// never called yields no evidence.
func (r *Router) chooseStart(route *routeState) int {
	start := route.plan.Start
	if start == 0 || r.policy.Plan != nil || len(route.poolBeforeStart) == 0 {
		return start
	}
	if r.random.Float64() < cascades.ExploreStartRate(route.entry.Route.Class, route.poolBeforeStart, r.fleetEvidence) {
		return start - 1
	}
	return start
}

// repinStage checks that the pool of the current stage may still get new
// requests. Otherwise a request without a session moves to another version, or
// to the next stage, and one with a session is refused.
func (r *Router) repinStage(task *Task) *faults.Error {
	name := task.Pools[task.stage]
	if r.poolStates[name].available() {
		return nil
	}
	if task.Request.PinnedPools != nil {
		return faults.New(faults.VersionWithdrawn, string(name))
	}
	stage := task.Entry.Stages[task.stage]
	task.Pools[task.stage] = ""
	for _, pool := range stage.Pools {
		if r.poolStates[pool.Name].available() {
			task.Pools[task.stage] = r.pickVersion(task, stage)
			break
		}
	}
	if task.Pools[task.stage] != "" {
		return nil
	}
	if next := r.nextStage(task); next >= 0 {
		task.stage = next
		return nil
	}
	return faults.New(faults.NoUpstream, string(name))
}
