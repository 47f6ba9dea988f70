// Package replay runs recorded traces through the decisions of several
// instances and measures what comes of them.
//
// The decisions are the live ones. Around them are small fakes: engines that
// take time, sums over the fleet that are late, and ratings that come when the
// trace says so.
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
	"mimosayard/internal/proof/agenda"
	"mimosayard/internal/proof/traces"
)

// run is a request on its way.
type run struct {
	world   *world
	router  *router.Router
	arrival *traces.Arrival
	id      string
	arrived time.Duration
	task    *router.Task
	step    *router.Step
	call    *engineCall
	tries   int
	stages  int
	first   time.Duration
	decided bool
}

// world is the state of a replay.
type world struct {
	header   traces.Header
	policy   string
	agenda   agenda.Agenda
	routers  []*router.Router
	engines  map[tables.UpstreamID]*engine
	pools    map[tables.UpstreamID]tables.PoolID
	sessions map[string][]tables.PoolID
	// told are the contributions that the next totals are made of.
	told       []aggregates.Values
	generation uint64
	requests   uint64
	bad        map[tables.PoolID]bool
	measures   *measures
	// open is the number of requests on their way.
	open     int
	arriving bool
}

const (
	tickInterval = 500 * time.Millisecond
	// mostTries bounds the upstreams tried for a request, as in the live
	// instance.
	mostTries = 3
	hop       = 1500 * time.Microsecond
	// failureTime is how long a call to a dead upstream takes to fail.
	failureTime = 5 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// Run replays a trace under a policy.
func Run(file string, trace io.Reader, policy string) (Results, error) {
	return runWith(file, trace, policy, func(*world) {})
}

// runWith replays a trace in a world that was prepared.
func runWith(file string, trace io.Reader, policy string, prepare func(*world)) (Results, error) {
	reader := traces.NewReader(file, trace)
	first, err := reader.Next()
	if err != nil {
		return Results{}, err
	}
	w, err := newWorld(*first.Header, policy)
	if err != nil {
		return Results{}, err
	}
	prepare(w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Results{}, err
		}
		w.agenda.Advance(event.At.Duration())
		if err := w.take(event); err != nil {
			return Results{}, fmt.Errorf("%s: %w", file, err)
		}
	}
	w.finish()
	return w.measures.results(w), nil
}

func newWorld(header traces.Header, policy string) (*world, error) {
	w := &world{
		header:   header,
		policy:   policy,
		engines:  map[tables.UpstreamID]*engine{},
		pools:    map[tables.UpstreamID]tables.PoolID{},
		sessions: map[string][]tables.PoolID{},
		told:     make([]aggregates.Values, header.Instances),
		bad:      map[tables.PoolID]bool{},
		measures: newMeasures(),
		arriving: true,
	}
	for n := range header.Instances {
		selected, err := newPolicy(policy)
		if err != nil {
			return nil, err
		}
		random := rand.New(rand.NewPCG(header.Seed, uint64(n)))
		home := header.DataCenters[n%len(header.DataCenters)]
		w.routers = append(w.routers, router.New(home, selected, random))
	}
	w.schedule(tickInterval, w.tick)
	if interval := header.ReportInterval.Duration(); interval > 0 {
		w.schedule(interval, w.report)
	}
	return w, nil
}

// finish lets the requests on their way end.
func (w *world) finish() {
	w.arriving = false
	for w.open > 0 {
		next, ok := w.agenda.Next()
		if !ok {
			return
		}
		w.agenda.Advance(next)
	}
}

func (w *world) clock() time.Time {
	return epoch.Add(w.now())
}

func (w *world) now() time.Duration {
	return w.agenda.Now()
}

func (w *world) schedule(after time.Duration, act func()) {
	w.agenda.Schedule(after, act)
}

func (w *world) take(event traces.Event) error {
	switch event.Type {
	case traces.TypeTables:
		return w.edit(event)
	case traces.TypeArrival:
		if event.Arrival.Instance >= len(w.routers) {
			return fmt.Errorf("an arrival names instance %d, the header has %d", event.Arrival.Instance, len(w.routers))
		}
		w.arrive(event.Arrival)
	case traces.TypeUpstream:
		return w.change(*event.Upstream)
	case traces.TypeTruth:
		w.bad[event.Truth.Pool] = event.Truth.Bad
		w.measures.truth(w.now(), *event.Truth)
	}
	return nil
}

// edit puts a configuration in force, at each instance after the fleet's lag.
func (w *world) edit(event traces.Event) error {
	w.generation++
	config := &tables.Config{Generation: w.generation, Routes: event.Routes, Pools: event.Pools}
	for _, pool := range event.Pools {
		spec, ok := w.header.Engines[pool.Name]
		if !ok || spec.Slots < 1 {
			return fmt.Errorf("the header has no engine for pool %q", pool.Name)
		}
		for _, upstream := range pool.Upstreams {
			w.pools[upstream.Name] = pool.Name
			if w.engines[upstream.Name] == nil {
				w.engines[upstream.Name] = &engine{name: upstream.Name, spec: spec, cachedPrefixes: map[uint64]bool{}, calls: map[*engineCall]bool{}}
			}
		}
	}
	w.measures.configure(config)
	for n, r := range w.routers {
		lag := time.Duration(n) * w.header.FleetLag.Duration() / time.Duration(len(w.routers))
		if w.generation == 1 {
			lag = 0
		}
		if lag == 0 {
			r.Apply(w.clock(), config)
			continue
		}
		w.schedule(lag, func() { r.Apply(w.clock(), config) })
	}
	return nil
}

func (w *world) change(state traces.Upstream) error {
	e := w.engines[state.Name]
	if e == nil {
		return fmt.Errorf("no upstream is named %q", state.Name)
	}
	e.state = state
	if !state.Down {
		return nil
	}
	for _, c := range w.callsByArrival(e) {
		w.failed(c)
	}
	return nil
}

// tick gives every instance the sums that were told a lag ago.
func (w *world) tick() {
	totals := aggregates.Sum(w.told)
	var news []rollouts.Progress
	for n, r := range w.routers {
		news = append(news, r.Tick(w.clock(), totals, w.told[n])...)
		w.told[n] = r.Contribution(w.clock())
	}
	for _, progress := range news {
		w.measures.progress(w.now(), progress)
		w.schedule(w.header.FleetLag.Duration(), func() {
			for _, r := range w.routers {
				r.MergeProgress(progress)
			}
		})
	}
	if w.arriving || w.open > 0 {
		w.schedule(tickInterval, w.tick)
	}
}

// report sends the load of every upstream, which arrives after the lag.
func (w *world) report() {
	for _, name := range w.measures.upstreams {
		e := w.engines[name]
		report := routing.LoadReport{Running: e.running + len(e.waiting), WaitingTokens: e.pendingTokens, TakenAt: w.clock()}
		if e.state.Lies {
			report.Running, report.WaitingTokens = 0, 0
		}
		if e.state.Down {
			continue
		}
		pool := w.pools[name]
		w.schedule(w.header.ReportLag.Duration(), func() {
			for _, r := range w.routers {
				r.RecordLoad(pool, name, report)
			}
		})
	}
	if w.arriving || w.open > 0 {
		w.schedule(w.header.ReportInterval.Duration(), w.report)
	}
}

func (w *world) arrive(arrival *traces.Arrival) {
	w.requests++
	r := &run{
		world:   w,
		router:  w.routers[arrival.Instance],
		arrival: arrival,
		id:      fmt.Sprintf("request-%d", w.requests),
		arrived: w.now(),
	}
	w.measures.arrive(w.now(), arrival)
	request := router.Request{
		Route:        tables.RouteKey{Team: arrival.Team, Service: arrival.Service, Class: arrival.Class},
		Caller:       arrival.Caller,
		RequestID:    r.id,
		PromptTokens: arrival.Prompt,
		PrefixHash:   arrival.Prefix,
		ArrivedAt:    w.clock(),
	}
	if arrival.Session != "" {
		request.PinnedPools = w.sessions[arrival.Session]
	}
	task, fault := r.router.Admit(w.clock(), request)
	if fault != nil && fault.Kind == faults.VersionWithdrawn {
		// The caller starts a new session, as the answer tells it to.
		delete(w.sessions, arrival.Session)
	}
	if fault != nil {
		w.measures.refuse(w.now(), arrival, fault.Kind)
		return
	}
	if arrival.Session != "" && request.PinnedPools == nil {
		w.sessions[arrival.Session] = task.Pools
		task.Request.PinnedPools = task.Pools
	}
	r.task = task
	w.open++
	r.next("")
}

func (w *world) failed(c *engineCall) {
	w.give(c.engine, c.engine.remove(c))
	r := c.run
	r.router.FinishStep(w.clock(), r.task, r.step, router.Outcome{Failed: true})
	r.tries++
	if r.tries >= mostTries || r.decided || !r.router.AllowRetry(w.clock()) {
		r.refuse(faults.UpstreamFailed)
		return
	}
	r.next(c.engine.name)
}

// give starts a call that got a slot.
func (w *world) give(e *engine, c *engineCall) {
	if c == nil {
		return
	}
	e.start(w.now(), c)
	probe := min(c.answerTokens, router.ConfidenceTokens)
	if c.run.step.FinalStage {
		// The answer is taken whatever it is, so nothing is held back.
		probe = 1
	}
	w.schedule(c.tokensReadyAt(1)-w.now(), func() { c.run.firstToken(c) })
	w.schedule(c.tokensReadyAt(probe)-w.now(), func() { c.run.judge(c) })
	w.schedule(c.tokensReadyAt(c.answerTokens)-w.now(), func() { c.run.end(c) })
}
