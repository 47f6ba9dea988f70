// Package replay runs recorded traces through the routers of several simulated
// instances and measures latency, cost, quality and fairness.
//
// The routers are those of the live instance. The rest is emulated: engines
// that take time to answer, fleet totals that arrive late, and ratings that
// arrive after the delay in the trace.
package replay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
	"mimosayard/internal/evaluation/traces"
)

// inFlightRequest is an admitted request until its end.
type inFlightRequest struct {
	simulation *simulation
	router     *router.Router
	arrival    *traces.Arrival
	id         string
	// arrivedAt is the simulated time of arrival.
	arrivedAt time.Duration
	task      *router.Task
	// step and call are the present step and its call.
	step *router.Step
	call *engineCall
	// failures is the number of failed calls.
	failures int
	// steps is the number of steps started, retries included.
	steps int
	// firstTokenLatency is the time from arrival to the acceptance of the
	// answer, when the caller gets the first token.
	firstTokenLatency time.Duration
	// accepted is true once the answer has been accepted.
	accepted bool
}

// simulation is the state of a replay.
type simulation struct {
	header          traces.Header
	policy          string
	scheduler       simtime.Scheduler
	routers         []*router.Router
	engines         map[tables.UpstreamID]*engine
	poolsByUpstream map[tables.UpstreamID]tables.PoolID
	// pinnedPools holds the pools that each session is pinned to.
	pinnedPools map[string][]tables.PoolID
	// contributions holds each instance's contribution to the next totals.
	contributions []aggregates.Values
	// generation is the number of configurations applied.
	generation uint64
	// requestCount is the number of requests that have arrived.
	requestCount uint64
	// badPools holds the pools that the trace marks as bad at this time.
	badPools  map[tables.PoolID]bool
	collector *collector
	// inFlight is the number of requests that were admitted and have not ended.
	inFlight int
	// readingTrace is false once all events of the trace have been applied.
	readingTrace bool
}

const (
	// tickInterval is the time between two exchanges of the fleet totals.
	tickInterval = 500 * time.Millisecond
	// maxAttempts is the number of failed calls after which a request is
	// refused, as in the live instance.
	maxAttempts = 3
	// crossCenterDelay is the extra time until a call reaches an upstream in
	// another data centre.
	crossCenterDelay = 1500 * time.Microsecond
	// failureDelay is the time after which a call to an upstream that is down
	// fails.
	failureDelay = 5 * time.Millisecond
)

// startTime is the wall-clock time at the start of a trace. It is fixed, so
// that every replay of a trace gives the same results.
var startTime = time.Unix(1_700_000_000, 0)

// Run replays a trace under the policy of the given name and returns the
// measurements. The file name is used in errors. It returns an error if the
// trace cannot be read or is invalid, or if there is no such policy.
func Run(file string, trace io.Reader, policy string) (Results, error) {
	return runWith(file, trace, policy, func(*simulation) {})
}

// runWith is Run with a function that changes the simulation before it starts.
func runWith(file string, trace io.Reader, policy string, prepare func(*simulation)) (Results, error) {
	reader := traces.NewReader(file, trace)
	headerEvent, err := reader.Next()
	if err != nil {
		return Results{}, err
	}
	s, err := newSimulation(*headerEvent.Header, policy)
	if err != nil {
		return Results{}, err
	}
	prepare(s)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Results{}, err
		}
		s.scheduler.AdvanceTo(event.At.Duration())
		if err := s.handleEvent(event); err != nil {
			return Results{}, fmt.Errorf("%s: %w", file, err)
		}
	}
	s.finish()
	return s.collector.results(s), nil
}

// newSimulation returns the simulation for a trace's header, with the first
// tick and load report scheduled.
func newSimulation(header traces.Header, policy string) (*simulation, error) {
	s := &simulation{
		header:          header,
		policy:          policy,
		engines:         map[tables.UpstreamID]*engine{},
		poolsByUpstream: map[tables.UpstreamID]tables.PoolID{},
		pinnedPools:     map[string][]tables.PoolID{},
		contributions:   make([]aggregates.Values, header.Instances),
		badPools:        map[tables.PoolID]bool{},
		collector:       newCollector(),
		readingTrace:    true,
	}
	for n := range header.Instances {
		routerPolicy, err := newPolicy(policy)
		if err != nil {
			return nil, err
		}
		random := rand.New(rand.NewPCG(header.Seed, uint64(n)))
		home := header.DataCenters[n%len(header.DataCenters)]
		s.routers = append(s.routers, router.New(home, routerPolicy, random))
	}
	s.schedule(tickInterval, s.tick)
	if interval := header.ReportInterval.Duration(); interval > 0 {
		s.schedule(interval, s.report)
	}
	return s, nil
}

// finish runs the simulation until no request is in flight.
func (s *simulation) finish() {
	s.readingTrace = false
	for s.inFlight > 0 {
		next, ok := s.scheduler.NextDue()
		if !ok {
			return
		}
		s.scheduler.AdvanceTo(next)
	}
}

// wallTime returns the simulated wall-clock time.
func (s *simulation) wallTime() time.Time {
	return startTime.Add(s.now())
}

// now returns the simulated time since the start of the trace.
func (s *simulation) now() time.Duration {
	return s.scheduler.Now()
}

func (s *simulation) schedule(delay time.Duration, action func()) {
	s.scheduler.Schedule(delay, action)
}

// handleEvent applies an event of the trace.
func (s *simulation) handleEvent(event traces.Event) error {
	switch event.Type {
	case traces.TypeTables:
		return s.applyTables(event)
	case traces.TypeArrival:
		if event.Arrival.InstanceIndex >= len(s.routers) {
			return fmt.Errorf("arrival names instance %d, but the header has %d instances", event.Arrival.InstanceIndex, len(s.routers))
		}
		s.handleArrival(event.Arrival)
	case traces.TypeUpstream:
		return s.setUpstreamState(*event.Upstream)
	case traces.TypeTruth:
		s.badPools[event.Truth.Pool] = event.Truth.Bad
		s.collector.recordGroundTruth(s.now(), *event.Truth)
	}
	return nil
}

// applyTables applies the tables of an event as a new configuration. The delays
// of the instances are spread over the fleet lag. The first configuration
// applies at once.
func (s *simulation) applyTables(event traces.Event) error {
	s.generation++
	config := &tables.Config{Generation: s.generation, Routes: event.Routes, Pools: event.Pools}
	for _, pool := range event.Pools {
		spec, ok := s.header.Engines[pool.Name]
		if !ok || spec.Slots < 1 {
			return fmt.Errorf("header has no engine with slots for pool %q", pool.Name)
		}
		for _, upstream := range pool.Upstreams {
			s.poolsByUpstream[upstream.Name] = pool.Name
			if s.engines[upstream.Name] == nil {
				s.engines[upstream.Name] = &engine{name: upstream.Name, spec: spec, cachedPrefixes: map[uint64]bool{}, calls: map[*engineCall]bool{}}
			}
		}
	}
	s.collector.setConfig(config)
	for n, r := range s.routers {
		lag := time.Duration(n) * s.header.FleetLag.Duration() / time.Duration(len(s.routers))
		if s.generation == 1 {
			lag = 0
		}
		if lag == 0 {
			r.Apply(s.wallTime(), config)
			continue
		}
		s.schedule(lag, func() { r.Apply(s.wallTime(), config) })
	}
	return nil
}

// setUpstreamState sets the state of an upstream and fails its calls if it is
// down.
func (s *simulation) setUpstreamState(state traces.UpstreamChange) error {
	e := s.engines[state.Name]
	if e == nil {
		return fmt.Errorf("unknown upstream %q", state.Name)
	}
	e.state = state
	if !state.Down {
		return nil
	}
	for _, c := range s.callsByArrival(e) {
		s.failCall(c)
	}
	return nil
}

// tick gives every instance the totals of the contributions from the previous
// tick and collects the next ones. Changes of rollouts reach all instances
// after the fleet lag.
func (s *simulation) tick() {
	totals := aggregates.Sum(s.contributions)
	var changes []rollouts.Progress
	for n, r := range s.routers {
		changes = append(changes, r.Tick(s.wallTime(), totals, s.contributions[n])...)
		s.contributions[n] = r.Contribution(s.wallTime())
	}
	for _, progress := range changes {
		s.collector.recordProgress(s.now(), progress)
		s.schedule(s.header.FleetLag.Duration(), func() {
			for _, r := range s.routers {
				r.MergeProgress(progress)
			}
		})
	}
	if s.readingTrace || s.inFlight > 0 {
		s.schedule(tickInterval, s.tick)
	}
}

// report sends the load of every upstream that is up to all instances, which
// receive it after the report lag.
func (s *simulation) report() {
	for _, name := range s.collector.upstreams {
		e := s.engines[name]
		report := routing.LoadReport{Running: e.running + len(e.waiting), WaitingTokens: e.pendingTokens, TakenAt: s.wallTime()}
		if e.state.ReportsNoLoad {
			report.Running, report.WaitingTokens = 0, 0
		}
		if e.state.Down {
			continue
		}
		pool := s.poolsByUpstream[name]
		s.schedule(s.header.ReportLag.Duration(), func() {
			for _, r := range s.routers {
				r.RecordLoad(pool, name, report)
			}
		})
	}
	if s.readingTrace || s.inFlight > 0 {
		s.schedule(s.header.ReportInterval.Duration(), s.report)
	}
}

// handleArrival admits a request and starts its first step, or records its
// refusal.
func (s *simulation) handleArrival(arrival *traces.Arrival) {
	s.requestCount++
	r := &inFlightRequest{
		simulation: s,
		router:     s.routers[arrival.InstanceIndex],
		arrival:    arrival,
		id:         fmt.Sprintf("request-%d", s.requestCount),
		arrivedAt:  s.now(),
	}
	s.collector.recordArrival(s.now(), arrival)
	request := router.Request{
		Route:        tables.RouteKey{Team: arrival.Team, Service: arrival.Service, Class: arrival.Class},
		Caller:       arrival.Caller,
		RequestID:    r.id,
		PromptTokens: arrival.PromptTokens,
		PrefixHash:   arrival.PrefixHash,
		ArrivedAt:    s.wallTime(),
	}
	if arrival.Session != "" {
		request.PinnedPools = s.pinnedPools[arrival.Session]
	}
	task, fault := r.router.Admit(s.wallTime(), request)
	if fault != nil && fault.Kind == faults.VersionWithdrawn {
		// The response tells the caller to start a new session.
		delete(s.pinnedPools, arrival.Session)
	}
	if fault != nil {
		s.collector.recordRefusal(s.now(), arrival, fault.Kind)
		return
	}
	if arrival.Session != "" && request.PinnedPools == nil {
		s.pinnedPools[arrival.Session] = task.Pools
		task.Request.PinnedPools = task.Pools
	}
	r.task = task
	s.inFlight++
	r.startStep("")
}

// failCall ends a failed call and retries the request at another upstream. It
// refuses the request if it has failed too often, if the caller already
// receives an answer, or if the retry budget is used up.
func (s *simulation) failCall(c *engineCall) {
	s.startCall(c.engine, c.engine.remove(c))
	r := c.request
	r.router.FinishStep(s.wallTime(), r.task, r.step, router.Outcome{Failed: true})
	r.failures++
	if r.failures >= maxAttempts || r.accepted || !r.router.AllowRetry(s.wallTime()) {
		r.refuse(faults.UpstreamFailed)
		return
	}
	r.startStep(c.engine.name)
}

// startCall starts a call that got a slot and schedules its first token, the
// decision on its answer and its end. It does nothing if c is nil.
func (s *simulation) startCall(e *engine, c *engineCall) {
	if c == nil {
		return
	}
	e.start(s.now(), c)
	decisionTokens := min(c.answerTokens, router.ConfidenceTokens)
	if c.request.step.FinalStage {
		// The last stage's answer is always accepted, so no tokens need to be
		// held back.
		decisionTokens = 1
	}
	s.schedule(c.tokensReadyAt(1)-s.now(), func() { c.request.recordFirstToken(c) })
	s.schedule(c.tokensReadyAt(decisionTokens)-s.now(), func() { c.request.acceptOrEscalate(c) })
	s.schedule(c.tokensReadyAt(c.answerTokens)-s.now(), func() { c.request.complete(c) })
}
