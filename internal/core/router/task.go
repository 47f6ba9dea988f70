package router

import (
	"time"

	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// A Request is what is known of a caller's request on arrival.
type Request struct {
	Route tables.RouteKey
	// Caller names who asks within the team. Callers keep their place in a
	// rollout. Empty callers are placed by request ID.
	Caller    string
	RequestID string
	// Pinned holds the session's pools, nil for a request without a session.
	Pinned []tables.PoolID
	// Model limits the request to one model, empty for any.
	Model tables.ModelID
	// Prompt is the estimated size of the prompt, Answer the caller's bound
	// on the answer, zero for none.
	Prompt tables.Tokens
	Answer tables.Tokens
	// Prefix is the hash of the first block of the prompt.
	Prefix  uint64
	Arrived time.Time
}

// A Step is one call to an upstream within a task.
type Step struct {
	Pool     *tables.Pool
	Choice   routing.Choice
	Stage    int
	Deadline time.Time
	// Last says that the answer will be taken whatever its confidence.
	Last bool

	upstreams *routing.Set
	call      routing.Call
	sentAt    time.Time
	// answered is when the first token came.
	firstTokenAt time.Time
}

// A Task is an admitted request. It is used by one goroutine at a time.
type Task struct {
	Request Request
	Entry   *tables.RouteEntry
	// Pools has one pool for each stage, empty where the stage cannot be
	// used. A session token pins them.
	Pools []tables.PoolID
	// Cost is the cost of the calls so far.
	Cost tables.MicroCost

	routeState     *routeState
	plan           cascades.Plan
	stage          int
	expectedTokens tables.Tokens
	usedTokens     tables.Tokens
	// from is the bucket of the answer that was escalated.
	escalatedFrom cascades.Bucket
	escalated     bool
	ended         bool
}

const (
	// defaultAnswer is the answer size expected of a pool without history.
	defaultAnswerTokens tables.Tokens = 200
	defaultPromptTokens tables.Tokens = 400
	// ProbeTokens is the number of answer tokens after which a stage's answer
	// is judged.
	ProbeTokens tables.Tokens = 16
	// lowPriorityBudget is the part of the first-token bound that a request
	// may wait if its team has routes of a higher priority. Priority does not
	// count between teams, so no team can starve another by it.
	lowPriorityWaitFraction = 0.7
)

// Begin admits a request or refuses it. No upstream has seen a refused
// request.
func (r *Router) Begin(now time.Time, request Request) (*Task, *faults.Error) {
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
	task.expectedTokens = request.Prompt + r.expectedStageAnswer(task)
	if fault := route.Admit(now, route.entry.Route.Allowance, float64(task.expectedTokens)); fault != nil {
		return nil, fault
	}
	r.retries.deposit()
	return task, nil
}

// Next chooses the upstream for the task's stage. Avoid names an upstream that
// failed the task already.
func (r *Router) Next(now time.Time, task *Task, avoid tables.UpstreamID) (*Step, *faults.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault := r.repinStage(task); fault != nil {
		return nil, fault
	}
	state := r.poolStates[task.Pools[task.stage]]
	call := r.routingCall(task, state, avoid)
	choice, ok := state.upstreams.Choose(now, call, r.random)
	if !ok {
		return nil, faults.New(faults.NoUpstream, string(state.pool.Name))
	}
	if fault := r.checkDeadline(now, task, choice.Wait); fault != nil {
		return nil, fault
	}
	state.upstreams.RecordStart(now, choice)
	return &Step{
		Pool:      state.pool,
		Choice:    choice,
		Stage:     task.stage,
		Deadline:  task.Deadline(),
		Last:      r.nextStage(task) < 0,
		upstreams: state.upstreams,
		call:      call,
		sentAt:    now,
	}, nil
}

// Deadline returns when the answer must be whole.
func (t *Task) Deadline() time.Time {
	return t.Request.Arrived.Add(t.Entry.Route.Deadline.Duration())
}

func (r *Router) routingCall(task *Task, state *poolState, avoid tables.UpstreamID) routing.Call {
	return routing.Call{
		Prompt: task.Request.Prompt,
		Answer: r.expectedAnswer(task, state),
		Prefix: task.Request.Prefix,
		Avoid:  avoid,
	}
}

func (r *Router) expectedAnswer(task *Task, state *poolState) tables.Tokens {
	answer := tables.Tokens(state.callStats.AnswerTokens)
	if state.callStats.TotalSeconds == 0 {
		answer = defaultAnswerTokens
	}
	if state.pool.Kind == tables.KindPlain {
		answer = 0
	}
	if task.Request.Answer > 0 {
		answer = min(answer, task.Request.Answer)
	}
	return answer
}

// checkDeadline refuses a call that cannot end in time.
func (r *Router) checkDeadline(now time.Time, task *Task, wait time.Duration) *faults.Error {
	remaining := task.Deadline().Sub(now)
	if wait < remaining {
		return nil
	}
	fault := faults.New(faults.DeadlineUnreachable, "")
	fault.RetryAfter = max(wait-remaining, time.Second)
	return fault
}

// checkFirstToken refuses a request whose first token would come too late,
// and counts how close the service is to that.
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
	wait := now.Sub(task.Request.Arrived) + choice.Wait
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

func (r *Router) expectedStageAnswer(task *Task) tables.Tokens {
	return r.expectedAnswer(task, r.poolStates[task.Pools[task.stage]])
}

// nextStage returns the stage that the task would escalate to, or -1.
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

// pin chooses the pool of each stage, or takes them from the session.
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

func (r *Router) pinStage(task *Task, stage tables.Stage) (tables.PoolID, *faults.Error) {
	if task.Request.Pinned == nil {
		return r.pickVersion(task, stage), nil
	}
	for _, pool := range stage.Pools {
		for _, pinned := range task.Request.Pinned {
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

// pickVersion chooses between the versions of a stage by the rollout.
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
		replaces := r.poolStates[pool.Rollout.Replaces]
		if current == nil || (replaces == current && r.isExposed(state, caller)) {
			current = state
		}
	}
	if current == nil {
		return ""
	}
	return current.pool.Name
}

// settled returns the version of a stage that is not being rolled out, the
// first one in the table. While it is suspect, another one takes most callers.
func (r *Router) settledVersion(stage tables.Stage, caller string) *poolState {
	var first *poolState
	for _, pool := range stage.Pools {
		state := r.poolStates[pool.Name]
		if pool.Rollout != nil || !state.available() {
			continue
		}
		if r.policy.NoDetection || rollouts.Exposed(rollouts.HashCaller(pool.Name, caller), state.watch.Limit(1)) {
			return state
		}
		if first == nil {
			first = state
		}
	}
	return first
}

func (r *Router) isExposed(state *poolState, caller string) bool {
	steps := state.pool.Rollout.Steps
	share := steps[min(state.progress.Step, len(steps)-1)]
	if !r.policy.NoDetection {
		share = state.watch.Limit(share)
	}
	return rollouts.Exposed(rollouts.HashCaller(state.pool.Name, caller), share)
}

// planTask sets the task's plan and first stage.
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

// skipSlowStages starts behind a stage whose answer, when escalated, would
// leave too little time for the next one.
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

// exploreStart returns the stage to start at: now and then one before the
// planned one, since a stage that is never tried is never learned about.
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

// repin checks that the stage's pool may still get new work. A request
// without a session moves to another version, a session does not.
func (r *Router) repinStage(task *Task) *faults.Error {
	name := task.Pools[task.stage]
	if r.poolStates[name].available() {
		return nil
	}
	if task.Request.Pinned != nil {
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
