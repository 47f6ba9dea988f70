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

	set  *routing.Set
	call routing.Call
	sent time.Time
	// answered is when the first token came.
	answered time.Time
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

	gate     *gate
	plan     cascades.Plan
	stage    int
	expected tables.Tokens
	used     tables.Tokens
	// from is the bucket of the answer that was escalated.
	from      cascades.Bucket
	escalated bool
	ended     bool
}

const (
	// defaultAnswer is the answer size expected of a pool without history.
	defaultAnswer tables.Tokens = 200
	defaultPrompt tables.Tokens = 400
	// ProbeTokens is the number of answer tokens after which a stage's answer
	// is judged.
	ProbeTokens tables.Tokens = 16
	// lowPriorityBudget is the part of the first-token bound that a request
	// may wait if its team has routes of a higher priority. Priority does not
	// count between teams, so no team can starve another by it.
	lowPriorityBudget = 0.7
)

// Begin admits a request or refuses it. No upstream has seen a refused
// request.
func (r *Router) Begin(now time.Time, request Request) (*Task, *faults.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.index == nil {
		return nil, faults.New(faults.NotReady, "")
	}
	g := r.gates[request.Route]
	if g == nil {
		return nil, faults.New(faults.UnknownRoute, string(request.Route.Service))
	}
	task := &Task{Request: request, Entry: g.entry, gate: g}
	if fault := r.pin(task); fault != nil {
		return nil, fault
	}
	r.planTask(now, task)
	if fault := r.checkFirstToken(now, task); fault != nil {
		return nil, fault
	}
	task.expected = request.Prompt + r.expectedAnswer(task)
	if fault := g.Admit(now, g.entry.Route.Allowance, float64(task.expected)); fault != nil {
		return nil, fault
	}
	r.retries.earn()
	return task, nil
}

// Next chooses the upstream for the task's stage. Avoid names an upstream that
// failed the task already.
func (r *Router) Next(now time.Time, task *Task, avoid tables.UpstreamID) (*Step, *faults.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault := r.repin(task); fault != nil {
		return nil, fault
	}
	v := r.versions[task.Pools[task.stage]]
	call := r.callOf(task, v, avoid)
	choice, ok := v.set.Choose(now, call, r.random)
	if !ok {
		return nil, faults.New(faults.NoUpstream, string(v.pool.Name))
	}
	if fault := r.checkDeadline(now, task, choice.Wait); fault != nil {
		return nil, fault
	}
	v.set.RecordStart(now, choice)
	return &Step{
		Pool:     v.pool,
		Choice:   choice,
		Stage:    task.stage,
		Deadline: task.Deadline(),
		Last:     r.nextStage(task) < 0,
		set:      v.set,
		call:     call,
		sent:     now,
	}, nil
}

// Deadline returns when the answer must be whole.
func (t *Task) Deadline() time.Time {
	return t.Request.Arrived.Add(t.Entry.Route.Deadline.Duration())
}

func (r *Router) callOf(task *Task, v *version, avoid tables.UpstreamID) routing.Call {
	return routing.Call{
		Prompt: task.Request.Prompt,
		Answer: r.answerOf(task, v),
		Prefix: task.Request.Prefix,
		Avoid:  avoid,
	}
}

func (r *Router) answerOf(task *Task, v *version) tables.Tokens {
	answer := tables.Tokens(v.pace.AnswerTokens)
	if v.pace.TotalSeconds == 0 {
		answer = defaultAnswer
	}
	if v.pool.Kind == tables.KindPlain {
		answer = 0
	}
	if task.Request.Answer > 0 {
		answer = min(answer, task.Request.Answer)
	}
	return answer
}

// checkDeadline refuses a call that cannot end in time.
func (r *Router) checkDeadline(now time.Time, task *Task, wait time.Duration) *faults.Error {
	left := task.Deadline().Sub(now)
	if wait < left {
		return nil
	}
	fault := faults.New(faults.DeadlineUnreachable, "")
	fault.RetryAfter = max(wait-left, time.Second)
	return fault
}

// checkFirstToken refuses a request whose first token would come too late,
// and counts how close the service is to that.
func (r *Router) checkFirstToken(now time.Time, task *Task) *faults.Error {
	v := r.versions[task.Pools[task.stage]]
	bound := task.Entry.Route.FirstToken.Duration()
	if bound == 0 {
		return nil
	}
	choice, ok := v.set.Choose(now, r.callOf(task, v, ""), r.random)
	if !ok {
		return faults.New(faults.NoUpstream, string(v.pool.Name))
	}
	wait := now.Sub(task.Request.Arrived) + choice.Wait
	load := r.services[task.Entry.Route.Service]
	load.observeWait(now, wait, bound)
	if load.allowProbe(now) {
		return nil
	}
	if task.Entry.Route.Priority < task.gate.highest {
		bound = time.Duration(float64(bound) * lowPriorityBudget)
	}
	if wait <= bound {
		load.lastAdmittedAt = now
		return nil
	}
	fault := faults.New(faults.Overloaded, "the first token would come too late")
	fault.RetryAfter = max(wait-bound, 100*time.Millisecond)
	return fault
}

func (r *Router) expectedAnswer(task *Task) tables.Tokens {
	return r.answerOf(task, r.versions[task.Pools[task.stage]])
}

// nextStage returns the stage that the task would escalate to, or -1.
func (r *Router) nextStage(task *Task) int {
	if task.Request.Model != "" {
		return -1
	}
	for s := task.stage + 1; s < len(task.Pools); s++ {
		if r.versions[task.Pools[s]].available() {
			return s
		}
	}
	return -1
}

// pin chooses the pool of each stage, or takes them from the session.
func (r *Router) pin(task *Task) *faults.Error {
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
			if !r.versions[pinned].available() {
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
	current := r.settled(stage, caller)
	for _, pool := range stage.Pools {
		v := r.versions[pool.Name]
		if pool.Rollout == nil || !v.available() {
			continue
		}
		replaces := r.versions[pool.Rollout.Replaces]
		if current == nil || (replaces == current && r.exposed(v, caller)) {
			current = v
		}
	}
	if current == nil {
		return ""
	}
	return current.pool.Name
}

// settled returns the version of a stage that is not being rolled out, the
// first one in the table. While it is suspect, another one takes most callers.
func (r *Router) settled(stage tables.Stage, caller string) *version {
	var first *version
	for _, pool := range stage.Pools {
		v := r.versions[pool.Name]
		if pool.Rollout != nil || !v.available() {
			continue
		}
		if r.policy.NoDetection || rollouts.Exposed(rollouts.HashCaller(pool.Name, caller), v.watch.Limit(1)) {
			return v
		}
		if first == nil {
			first = v
		}
	}
	return first
}

func (r *Router) exposed(v *version, caller string) bool {
	steps := v.pool.Rollout.Steps
	share := steps[min(v.progress.Step, len(steps)-1)]
	if !r.policy.NoDetection {
		share = v.watch.Limit(share)
	}
	return rollouts.Exposed(rollouts.HashCaller(v.pool.Name, caller), share)
}

// planTask sets the task's plan and first stage.
func (r *Router) planTask(now time.Time, task *Task) {
	g := task.gate
	if g.planAt.IsZero() || now.Sub(g.planAt) > planLife {
		g.plan = r.makePlan(g)
		g.planAt = now
	}
	task.plan = g.plan
	task.stage = r.exploreStart(g)
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
	left := task.Deadline().Sub(now)
	for next := r.nextStage(task); next >= 0; next = r.nextStage(task) {
		here := r.versions[task.Pools[task.stage]]
		behind := r.versions[task.Pools[next]]
		if here.pace.MeanFirstToken()+behind.pace.MeanDuration() <= left {
			return
		}
		if behind.pace.MeanDuration() > left {
			return
		}
		task.stage = next
	}
}

// exploreStart returns the stage to start at: now and then one before the
// planned one, since a stage that is never tried is never learned about.
func (r *Router) exploreStart(g *gate) int {
	start := g.plan.Start
	if start == 0 || r.policy.Plan != nil || len(g.before) == 0 {
		return start
	}
	if r.random.Float64() < cascades.ExploreStartRate(g.entry.Route.Class, g.before, r.evidence) {
		return start - 1
	}
	return start
}

// repin checks that the stage's pool may still get new work. A request
// without a session moves to another version, a session does not.
func (r *Router) repin(task *Task) *faults.Error {
	name := task.Pools[task.stage]
	if r.versions[name].available() {
		return nil
	}
	if task.Request.Pinned != nil {
		return faults.New(faults.VersionWithdrawn, string(name))
	}
	stage := task.Entry.Stages[task.stage]
	task.Pools[task.stage] = ""
	for _, pool := range stage.Pools {
		if r.versions[pool.Name].available() {
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
