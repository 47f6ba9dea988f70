package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
)

// A Request holds the properties of a caller's request that decisions depend
// on.
type Request struct {
	ID    string
	Route *catalog.Route
	// Session is empty for a request without a session.
	Session string
	// Team is empty for a request that needs no credential.
	Team tables.TeamID
	// Model is empty if the router chooses the model.
	Model        tables.ModelID
	PromptTokens tables.Tokens
	// SharedTokens is the number of prompt tokens in SharedPartsHash.
	SharedTokens tables.Tokens
	// SharedPartsHash is the hash of the parts of the prompt that other
	// requests may share, zero if there are none.
	SharedPartsHash uint64
	// SharedParts are the parts of the prompt that other requests may share.
	SharedParts []quarantine.PartID
	// ContentPart returns the part that stands for the request itself, the same for all
	// requests with its content. It is called only while upstreams crash. It may be nil.
	ContentPart func() quarantine.PartID
	ArrivedAt   time.Time
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	// Rank is the order among requests that wait for room; 0 is the most urgent.
	Rank int
}

// A Task is a request that is being served. It is used by one goroutine at a
// time.
type Task struct {
	Request Request
	// PossibleRuns is the number of upstreams that may have run the request.
	PossibleRuns int

	service *service
	model   tables.ModelID
	// version is the version that the task last ran on.
	version tables.VersionID
	// pinned is true if the session already ran on the target of the rollout.
	pinned bool
	// calls is the number of calls so far, arrivals the number of those that reached an
	// upstream, losses the number of those that were lost before their answer got past
	// its beginning.
	calls, arrivals, losses int
	// rejections is the number of calls that upstreams rejected because they were full.
	rejections int
	// misdirected is true once an upstream has rejected the request as misdirected.
	misdirected bool
	// overCapacity is true once the task is refused for want of capacity, for which it does not
	// wait.
	overCapacity bool
	// noRoom is the number of upstreams that had no room for the task in time.
	noRoom int
	// suspects are the parts that may be at fault for the crash of an upstream, nil until
	// they are needed.
	suspects []quarantine.PartID
	// trial are the quarantined parts whose trial the task is. mayBeTrial is true if the next call
	// is one of further parts.
	trial      []quarantine.PartID
	mayBeTrial bool
	// tried are the upstreams that failed or refused the request.
	tried []tables.UpstreamID
}

// A Call is one call to an upstream.
type Call struct {
	Upstream catalog.Upstream
	// Model is empty if the request names its model or needs none.
	Model tables.ModelID
	// Urgency is the rank among the prompts that wait at the upstream, from 0,
	// served first, to 9. It is nil for an upstream that does not rank prompts.
	Urgency *int
	// CacheSource is the address of the upstream that most likely has the
	// shared parts of the prompt in its cache, empty if that is the call's own
	// upstream.
	CacheSource string
	// StartTimeout bounds the wait for the start of the answer. Zero means
	// until the deadline.
	StartTimeout time.Duration
	// RoomWait bounds the wait until the instance that admits the calls to the upstream has
	// room for this one. It is zero if the upstream is called without that.
	RoomWait time.Duration
	// Owner is the instance that admits the call, empty for this one.
	Owner tables.InstanceID
	// UpstreamWork is the upstream's work in flight before the call.
	UpstreamWork float64
	// ExpectedStart is the expected wait for the start of the answer, zero if
	// the call has no prompt.
	ExpectedStart time.Duration
	// Pace is the upstream's pace as of the choice, 1 if it is as usual or not stated.
	Pace float64

	upstream *placement.Upstream
	// urgency is the value of Urgency.
	urgency int
	// place is the relation of the upstream to the shared parts of the prompt.
	place forecast.Place
	// backlog is the upstream's work that is done before the call's.
	backlog forecast.Milliseconds
	// work is the call's part of the upstream's work in flight.
	work float64
	// tokens are those of the prompt and the expected answer, zero if the upstream does not
	// state its pace.
	tokens tables.Tokens
	// flow is the work that was recorded as recent work of such an upstream when it was chosen.
	flow float64
	// chosenAt is when the upstream was chosen, sentAt when the connection was there.
	chosenAt, sentAt time.Time
	started          bool
	// reservation is the call's possible rejection, nil if the upstream tolerates any.
	reservation *placement.Reservation
	// through is the peer that carries the connection, empty for a direct one.
	through tables.InstanceID
	// connectionRefused is true if no process listened at the upstream's address.
	connectionRefused bool
	// startLatency is the wait for the start of the answer.
	startLatency time.Duration
	// hasEvent is true once the answer had an event. totalGap is the sum of the gaps
	// before the later events, events their number.
	hasEvent bool
	totalGap time.Duration
	events   int
	task     *Task
	// begun is true once the call has been recorded in beginnings.
	begun      bool
	beginnings *beginnings
}

// A Result is how a call ended.
type Result int

// The results of calls.
const (
	// Served is a complete answer of the upstream. It may be an error that is
	// passed on to the caller.
	Served Result = iota
	// Failed is an answer that reports a failure of the upstream.
	Failed
	// Broken is an answer whose connection was lost.
	Broken
	// Mismatched is an answer that does not belong to the request, is malformed or has no
	// end. The upstream lives on.
	Mismatched
	// TimedOut is an answer for which the router stopped waiting.
	TimedOut
	// Unreachable is a call that did not reach the upstream.
	Unreachable
	// Refused is a call that the upstream reports not to have run.
	Refused
	// LinkLost is a call whose connection was lost with this instance's own link to the
	// upstream, or with the peer that carried it. The upstream may have run it.
	LinkLost
	// AddressReused is a call that reached another upstream at the address.
	AddressReused
	// Misdirected is a call that the upstream did not run, since it does not serve the
	// model.
	Misdirected
	// Abandoned is a call that the router ended, without any fault of the
	// upstream.
	Abandoned
	// NoRoom is a call that was not sent, since the instance that admits the calls to
	// the upstream had no room for it.
	NoRoom
)

// isTaken reports whether the upstream took the call and may have run it.
func (r Result) isTaken() bool {
	switch r {
	case Unreachable, Refused, AddressReused, Misdirected, NoRoom:
		return false
	}
	return true
}

// Admit accepts a request, or refuses it before it is sent to any upstream. Now is the time at
// which the request was read, which may be long after its arrival.
func (d *Dispatcher) Admit(now time.Time, request Request) (*Task, *faults.Error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	name := d.serviceFor(request)
	s := d.services[name]
	if s == nil {
		return nil, noUpstream(name)
	}
	task := &Task{Request: request, service: s}
	if fault := d.admissionFault(now, task); fault != nil {
		return nil, fault
	}
	s.retries.CountRequest(now, d.limits.Retries)
	if s.tracker.InProgress() {
		s.traffic.Offered++
	}
	task.model = initialModel(task)
	return task, nil
}

// NextCall returns the next call of a task, or the reason why there is none.
func (d *Dispatcher) NextCall(now time.Time, task *Task) (*Call, *faults.Error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	remaining := task.Request.Deadline.Sub(now)
	if remaining <= 0 {
		return nil, faults.New(faults.DeadlineUnreachable, "no time is left")
	}
	if fault := d.callFault(now, task); fault != nil {
		return nil, fault
	}
	version, candidates := d.candidates(now, task)
	if task.calls == 0 {
		task.version = version
	}
	if task.service.waiting.mustWait(now, task) {
		return nil, faults.New(faults.Overloaded, "others wait for room at the upstreams")
	}
	criteria := placement.Criteria{Model: task.runModel(), DataCenter: d.dataCenter, Tried: task.tried}
	wait := placement.PromptWait{}
	if task.readsPrompt() {
		wait = d.promptWait(task, task.runModel())
		criteria.AffinityKey, criteria.Prompt = task.affinityKey(task.runModel()), &wait
		criteria.Tokens = task.Request.PromptTokens + tables.Tokens(task.service.usualEvents.value*task.service.tokensPerEvent)
	} else if task.service.spreads() {
		criteria.WorkTime = task.service.admission.usualWorkTime(task)
	}
	u, cacheHolder, source := d.chooser.Choose(now, candidates, criteria)
	if u == nil {
		return nil, noUpstreamNow(now, task.service.name, candidates)
	}
	owner, owned := u.Owner()
	if owned && task.noRoom >= maxNoRoom {
		return nil, faults.New(faults.Overloaded, "the upstream has no room in time")
	}
	d.startTrial(now, task)
	u.RecordCall(now)
	task.service.waiting.remove(task, true)
	if task.arrivals > 0 {
		task.service.retries.CountRetry(now, d.limits.Retries)
	}
	task.calls++
	task.version = version
	call := &Call{
		Upstream:     u.Upstream,
		Model:        task.model,
		UpstreamWork: u.Work(),
		upstream:     u,
		Pace:         u.Pace(now),
		work:         1,
		chosenAt:     now,
		sentAt:       now,
		task:         task,
		beginnings:   &d.beginnings,
	}
	if owned {
		// A late repeat is not worth a wait, but uses room that there is.
		call.Owner, call.RoomWait = owner, max(minRoomWait, task.latestStart().Sub(now))
	}
	if criteria.Prompt != nil {
		call.place = forecast.Elsewhere
		if u == cacheHolder {
			call.place = forecast.CacheHolder
		}
		e := d.estimator(task, task.runModel())
		readTime := e.ReadTime(task.prompt(), call.place)
		call.work = float64(readTime)
		call.ExpectedStart = wait.At(now, u, u == cacheHolder).Duration()
		call.urgency = urgencyFor(readTime)
		call.backlog = forecast.Milliseconds(u.Work() * task.service.urgencies.shareAhead(call.urgency))
		task.service.urgencies.add(call.urgency, call.work)
		if len(task.Request.Route.Models) > 0 {
			call.Urgency = &call.urgency
		}
	}
	call.reservation = u.Reserve(now)
	call.StartTimeout = d.startTimeout(task, call, remaining)
	call.CacheSource = d.cacheSource(now, task, source)
	u.AddWork(call.work)
	task.service.recordFlow(now, call, &criteria)
	d.rememberSession(now, task)
	return call, nil
}

// cacheSource returns the address from which the call of a task fetches the shared parts of its
// prompt, empty for none. A cold upstream has nothing in its cache, and a fetch from it would count
// as a call.
func (d *Dispatcher) cacheSource(now time.Time, task *Task, source *placement.Upstream) string {
	if source == nil || source.IsCold(now) || !d.fetchPays(task) {
		return ""
	}
	return source.Address
}

// callFault returns the reason why a task may have no call, nil if it may.
func (d *Dispatcher) callFault(now time.Time, task *Task) *faults.Error {
	if fault := d.quarantineFault(now, task); fault != nil {
		return fault
	}
	return d.repeatFault(now, task)
}

// StartAnswer records the start of an answer with the confidence that it
// reports, -1 for none, and reports whether the answer is accepted. If it is not,
// the task continues with a larger model, and the caller must end the call as
// Abandoned.
func (d *Dispatcher) StartAnswer(now time.Time, task *Task, call *Call, confidence int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	call.started = true
	call.upstream.Release(now, call.reservation, false)
	call.upstream.RecordSign(now)
	call.upstream.EndDeferral(call.sentAt)
	call.startLatency = now.Sub(call.sentAt)
	call.removePromptWork()
	if call.ExpectedStart > 0 {
		d.observeStart(now, task, call)
	}
	larger := d.escalationModel(now, task, confidence)
	if larger == "" {
		return true
	}
	task.model = larger
	task.tried = nil
	return false
}

// RecordConnected records that there is a connection for a call, and the peer that
// carries it, empty for a direct one. The time that it took to connect does not count
// as the upstream's.
func (d *Dispatcher) RecordConnected(now time.Time, call *Call, through tables.InstanceID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	call.sentAt, call.through = now, through
	call.upstream.RecordConnected(now)
	call.reservation.MarkSent(now)
}

// MarkConnectionRefused records that no process listened at the upstream's address.
func (c *Call) MarkConnectionRefused() {
	c.connectionRefused = true
}

// Started reports whether the answer has started.
func (c *Call) Started() bool {
	return c.started
}

// Through returns the peer that carries the connection, empty for a direct one.
func (c *Call) Through() tables.InstanceID {
	return c.through
}

// An UpstreamState is what an upstream says of itself in the header of an answer.
type UpstreamState struct {
	// Leaving is true if its process is about to end.
	Leaving bool
	// RetryAfter is how long it wants no calls from this instance, zero if it does
	// not say so.
	RetryAfter time.Duration
	// MaxRejections is the number of calls that it can reject in a second without
	// harm, zero if it does not say so.
	MaxRejections int
	// NamesLimit is true if it names a limit on its calls, MaxRate, for all instances
	// together.
	NamesLimit bool
	MaxRate    pacing.Rate
	// StatesCold is true if it says how much longer it stays cold, ColdFor.
	StatesCold bool
	ColdFor    time.Duration
	// Load is its report of its load, nil if it makes none.
	Load *placement.ReportedLoad
}

// RecordUpstreamState records what the upstream of a call says of itself.
func (d *Dispatcher) RecordUpstreamState(now time.Time, call *Call, state UpstreamState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if state.Leaving {
		call.upstream.MarkLeaving(now)
	}
	if state.RetryAfter > 0 {
		call.upstream.Defer(now, state.RetryAfter)
	}
	if state.MaxRejections > 0 || call.upstream.RejectionsLimited() {
		call.upstream.StateRejections(now, state.MaxRejections)
		if state.MaxRejections == 0 {
			call.upstream.ConfirmTolerance(now, 0)
		}
		d.limitRejections(now, call.upstream)
	}
	if state.StatesCold {
		if s := d.service(call.Upstream.Service); d.warmUpBounds(s) != nil {
			call.upstream.StateCold(now, state.ColdFor, call.sentAt)
			d.updateWarmUp(now, s, call.upstream)
		}
	}
	if state.Load != nil {
		call.upstream.RecordLoad(now, *state.Load)
		d.recordReport(d.service(call.Upstream.Service), state.Load)
	}
	changed := call.upstream.Limit.RecordAnswer(now, state.MaxRate, state.NamesLimit)
	if state.NamesLimit {
		d.updateLimit(now, d.service(call.Upstream.Service), call.upstream, changed)
	}
}

// ExtendStart returns how much longer to wait for the start of an answer whose
// start timeout has passed, zero to give the call up. A busy upstream that still
// answers other calls is given more time, since the request would only join the
// end of another queue. A silent one is not.
func (d *Dispatcher) ExtendStart(now time.Time, task *Task, call *Call) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if task.Request.Route.Kind != catalog.Streaming || !call.upstream.Alive(now) {
		return 0
	}
	return placement.MaxSilence
}

// removePromptWork removes the work of reading the prompt, which is done once
// the answer starts.
func (c *Call) removePromptWork() {
	if c.ExpectedStart <= 0 {
		return
	}
	promptWork := c.work * (1 - startedWorkFraction)
	c.upstream.RemoveWork(promptWork)
	c.work -= promptWork
}

// MeanGap returns the mean gap between the events of the answer, zero if it
// had no gaps.
func (c *Call) MeanGap() time.Duration {
	return c.totalGap / time.Duration(max(1, c.events))
}

// StartLatency returns the wait for the start of the answer, zero if it did not
// start.
func (c *Call) StartLatency() time.Duration {
	return c.startLatency
}

// RecordSign records that the upstream has sent an event at a time, also if the caller has not taken
// it yet. It is safe for concurrent use.
func (c *Call) RecordSign(at time.Time) {
	c.upstream.RecordSign(at)
}

// RecordFirstEvent records the first event of a stream, now.
func (c *Call) RecordFirstEvent(now time.Time) {
	c.upstream.RecordSign(now)
	c.hasEvent = true
}

// RecordEvent records a later event of a stream, now, and the gap before it.
func (c *Call) RecordEvent(now time.Time, gap time.Duration) {
	c.upstream.RecordSign(now)
	c.totalGap += gap
	c.events++
	c.recordBeginning()
}

// EndCall records the result of a call. It must be called once for each call
// that NextCall returned.
func (d *Dispatcher) EndCall(now time.Time, task *Task, call *Call, result Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	u := call.upstream
	u.RemoveWork(call.work)
	call.endFlow(now, result.isTaken())
	if result == NoRoom {
		task.calls--
		task.noRoom++
		u.ReturnColdCall(call.chosenAt)
		task.tried = append(task.tried, u.ID)
		return
	}
	u.Release(now, call.reservation, result == Refused)
	d.rememberSession(now, task)
	if d.isLinkLost(now, call, result) {
		result = LinkLost
	}
	switch result {
	case Served:
		u.RecordSuccess(now)
		u.EndDeferral(call.sentAt)
		u.ClearMisdirection(task.runModel())
	case Failed:
		u.RecordFailure(now, false)
	case Broken, Unreachable:
		u.RecordFailure(now, true)
		d.recordLoss(now, call, result)
	case Mismatched, TimedOut:
		u.RecordFailure(now, true)
	case Refused:
		task.rejections++
		u.RecordRefusal(now)
		if call.RoomWait > 0 && call.Owner == "" {
			u.Room().RecordRejection(now)
		}
	case AddressReused:
		u.MarkAddressReused()
	case Misdirected:
		u.ReturnColdCall(call.chosenAt)
		u.RecordMisdirection(now, task.runModel())
		task.misdirected = true
	case Abandoned, LinkLost, NoRoom:
	}
	if result != Served && result != Abandoned {
		task.tried = append(task.tried, u.ID)
	}
	if result != Unreachable {
		task.arrivals++
	}
	if result.isTaken() || result == Refused {
		task.service.recordTraffic(task)
	}
	if result.isTaken() {
		task.PossibleRuns++
		d.quarantine.EndTrial(task.trial)
		task.service.recordCall(task, call, result)
	}
	if result == Served && call.started {
		task.service.observeLatency(task, call)
		task.service.observeGap(now, task, call)
		task.service.observeEvents(call)
		task.service.admission.observe(now, u, call.startLatency)
	}
	d.recordForQuarantine(now, task, call, result)
}

// isLinkLost reports whether a call ended because a link was lost. A peer tells when
// the connection between it and the upstream breaks, but not when that is silent.
func (d *Dispatcher) isLinkLost(now time.Time, call *Call, result Result) bool {
	switch {
	case call.through != "":
		return result == TimedOut
	case result == TimedOut, result == Broken:
		return d.links.Lost(now, links.Address(call.Upstream.Address))
	}
	return false
}

// recordForQuarantine records what the end of a call shows about the parts of its
// prompt.
func (d *Dispatcher) recordForQuarantine(now time.Time, task *Task, call *Call, result Result) {
	life := quarantine.Life(lifeName(call.upstream))
	switch {
	case call.events > 0, result == Served && call.started && (call.hasEvent || task.Request.Route.Kind != catalog.Streaming):
		parts := task.Request.SharedParts
		if d.quarantine.HasEvidence() {
			parts = task.suspectParts()
		}
		d.outliveCalls(call)
		if len(parts) > 0 {
			d.quarantine.RecordAnswer(now, life, call.sentAt, parts)
		}
	case result == Abandoned && !call.started:
		d.addUnresolved(now, task, call)
	case result == Broken:
		task.losses++
		d.resolveCalls(now, call.upstream)
		if parts := task.suspectParts(); len(parts) > 0 {
			d.quarantine.RecordLoss(now, life, task.Request.ID, parts)
		}
	}
}

// suspectParts returns the parts of the prompt that other requests share, and the part
// that stands for the request itself.
func (t *Task) suspectParts() []quarantine.PartID {
	if t.Request.ContentPart == nil {
		return t.Request.SharedParts
	}
	if t.suspects == nil {
		t.suspects = append(slices.Clip(t.Request.SharedParts), t.Request.ContentPart())
	}
	return t.suspects
}

// quarantineFault returns the reason why the request or a part of its prompt forbids a
// call, nil if none does.
func (d *Dispatcher) quarantineFault(now time.Time, task *Task) *faults.Error {
	task.mayBeTrial = false
	if !d.quarantine.HasEvidence() {
		return nil
	}
	decision, part := d.quarantine.Check(now, task.untriedParts())
	if decision == quarantine.Allowed && len(task.trial) > 0 {
		decision, part = quarantine.Suspect, task.trial[0]
	}
	switch {
	case decision == quarantine.Refused:
		return faults.New(faults.PromptQuarantined, string(part))
	case decision != quarantine.Allowed && task.losses > 0:
		return faults.New(faults.UpstreamFailed, "may crash upstreams: "+string(part))
	}
	task.mayBeTrial = decision == quarantine.Trial
	return nil
}

// untriedParts returns the parts of which the task is not the trial.
func (t *Task) untriedParts() []quarantine.PartID {
	parts := t.suspectParts()
	if len(t.trial) == 0 {
		return parts
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part quarantine.PartID) bool { return slices.Contains(t.trial, part) })
}

// startTrial uses trials up if the call that is made is one.
func (d *Dispatcher) startTrial(now time.Time, task *Task) {
	d.quarantine.ContinueTrial(task.trial, task.Request.Deadline)
	if task.mayBeTrial {
		task.trial = append(task.trial, d.quarantine.StartTrial(now, task.untriedParts(), task.Request.Deadline)...)
		task.mayBeTrial = false
	}
}

// retryFault returns the reason why a task that has had a call may not be
// retried, nil if it may.
func (d *Dispatcher) retryFault(now time.Time, task *Task) *faults.Error {
	if task.calls == 0 {
		return nil
	}
	route := task.Request.Route
	switch {
	case task.PossibleRuns > 0 && !route.Repeatable():
		return faults.New(faults.UpstreamFailed, "the request may have run and must not run twice")
	case task.PossibleRuns >= max(1, route.MaxAttempts):
		return faults.New(faults.UpstreamFailed, "the route's attempts are used up")
	case task.misdirected && !d.isModelKnown(task):
		return faults.New(faults.NoUpstream, "no upstream of the service has the model")
	case task.calls >= maxCalls:
		return faults.New(faults.NoUpstream, "too many upstreams did not take the request")
	case task.arrivals > 0 && task.service.retries.Remaining(now, d.limits.Retries, d.instances) < 1:
		return faults.New(faults.NoUpstream, "the budget for repeats is used up")
	}
	return nil
}

// maxCalls bounds the calls of a task, including those that did not reach an
// upstream.
const maxCalls = 6

// serviceFor returns the service for a request of a route with a traffic split.
// A session stays on its service as long as the split does not change.
func (d *Dispatcher) serviceFor(request Request) tables.ServiceID {
	split := request.Route.Split
	if len(split) == 1 {
		return split[0].Service
	}
	totalWeight := 0.0
	for _, share := range split {
		totalWeight += max(0, share.Weight)
	}
	const resolution = 1 << 20
	key := request.Session
	if key == "" {
		key = request.ID
	}
	point := totalWeight * float64(xxhash.Sum64String("split\x00"+key)%resolution) / resolution
	for _, share := range split {
		point -= max(0, share.Weight)
		if point < 0 {
			return share.Service
		}
	}
	return split[0].Service
}

// affinityKey returns the key for the choice of an upstream, zero if the prompt
// shares nothing. It depends on the model, since models do not share caches. Its
// lowest bit is set, so that no hash is mistaken for a missing key.
func (t *Task) affinityKey(model tables.ModelID) uint64 {
	if t.Request.SharedPartsHash == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.ResetWithSeed(t.Request.SharedPartsHash)
	_, _ = digest.WriteString(string(model))
	return digest.Sum64() | 1
}

// noUpstreamRetryAfter is the time after which a caller that found no upstream
// may retry. By then an upstream in cooldown, or one that has started, is usually
// available.
const noUpstreamRetryAfter = 500 * time.Millisecond

// noUpstreamNow returns the fault for a request that none of the candidates can run
// now. The caller is told to come back when the first of those that want no calls for
// a while wants them again.
func noUpstreamNow(now time.Time, name tables.ServiceID, candidates []*placement.Upstream) *faults.Error {
	fault := noUpstream(name)
	earliest := time.Time{}
	for _, u := range candidates {
		if u.Usable() && !u.Evacuated() && !u.HasRoom(now) {
			return faults.New(faults.Overloaded, "the upstreams may have no room")
		}
		if u.Usable() && u.Deferred(now) && (earliest.IsZero() || u.NotBefore().Before(earliest)) {
			earliest = u.NotBefore()
		}
	}
	if !earliest.IsZero() {
		fault.RetryAfter = max(fault.RetryAfter, earliest.Sub(now))
	}
	return fault
}

// noUpstream returns the fault for a request that no upstream of the service can
// run.
func noUpstream(name tables.ServiceID) *faults.Error {
	fault := faults.New(faults.NoUpstream, string(name))
	fault.RetryAfter = noUpstreamRetryAfter
	return fault
}
