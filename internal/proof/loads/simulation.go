package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/agenda"
	"mimosayard/internal/proof/batches"
)

// world is the state of a load that is played.
type world struct {
	load      Load
	policy    Policy
	random    *rand.Rand
	agenda    agenda.Agenda
	instances []*dispatch.Dispatcher
	engines   []*engine
	byAddress map[string]*engine
	routes    []*catalog.Route
	// told are the contributions that the next totals are made of.
	told     []aggregates.Values
	requests int
	results  *collector
}

// engine is an engine with what goes wrong with it.
type engine struct {
	batches.Engine
	down  bool
	fails float64
}

const (
	service tables.ServiceID = "models"
	// tellInterval is the time between two exchanges of the fleet's sums.
	tellInterval = 500 * time.Millisecond
	// hop is the way from an instance to an engine.
	hop = 2 * time.Millisecond
	// maxAttempts is the number of runs that a route allows.
	maxAttempts = 3
	// settleTime is how long requests may go on after the load's end.
	settleTime = 30 * time.Second
)

var epoch = time.Unix(1_700_000_000, 0)

// Play plays a load under a policy with a seed.
func Play(load Load, policyName string, seed uint64) (Results, error) {
	p, err := policy(policyName)
	if err != nil {
		return Results{}, err
	}
	w := &world{
		load:      load,
		policy:    p,
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*engine{},
		told:      make([]aggregates.Values, load.Instances),
		results:   newCollector(),
	}
	w.build()
	w.plan()
	w.agenda.Advance(seconds(load.Seconds) + settleTime)
	return w.results.summary(load, policyName, seed), nil
}

func (w *world) clock() time.Time {
	return epoch.Add(w.agenda.Now())
}

// build starts the instances and the engines.
func (w *world) build() {
	var entries []catalog.Upstream
	for n := range w.load.Engines {
		e := &engine{Engine: batches.Engine{Config: w.load.Figures, Agenda: &w.agenda}}
		entry := catalog.Upstream{
			ID:         tables.UpstreamID(fmt.Sprintf("engine-%d", n)),
			Service:    service,
			Address:    fmt.Sprintf("engine-%d", n),
			DataCenter: w.dataCenter(n),
			Version:    "v1",
			Slots:      w.load.Figures.Slots,
			Ready:      true,
		}
		entries = append(entries, entry)
		w.engines = append(w.engines, e)
		w.byAddress[entry.Address] = e
	}
	config := w.catalog()
	for n := range w.load.Instances {
		limits := dispatch.Limits{
			Retries:    retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second},
			Release:    releases.Limits{MaxExposure: 0.15},
			SessionTTL: 5 * time.Second,
		}
		d := dispatch.New(w.dataCenter(n), limits, rand.New(rand.NewPCG(w.random.Uint64(), uint64(n))))
		d.SetCatalog(config)
		d.SetUpstreams(w.clock(), entries)
		d.SetInstances(w.load.Instances)
		w.instances = append(w.instances, d)
	}
}

func (w *world) dataCenter(n int) tables.DataCenterID {
	return w.load.DataCenters[n%len(w.load.DataCenters)]
}

func (w *world) catalog() *catalog.Catalog {
	engine := &catalog.Engine{Slots: w.load.Figures.Slots}
	var models []tables.ModelID
	for _, m := range w.load.Models {
		models = append(models, m.Name)
		engine.Models = append(engine.Models, catalog.Model{Name: m.Name, CostPerThousandTokens: m.Cost})
	}
	config := &catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: service, Engine: engine}}}
	for _, c := range w.load.Classes {
		config.Routes = append(config.Routes, catalog.Route{
			Name:          catalog.RouteID(c.Name),
			Kind:          catalog.Streaming,
			Resumable:     true,
			Models:        w.policy.offered(models),
			LatencyTarget: seconds(c.TargetMS / 1000),
			Timeout:       seconds(c.DeadlineMS / 1000),
			MaxAttempts:   maxAttempts,
			Split:         []catalog.Share{{Service: service, Weight: 1}},
		})
	}
	for n := range config.Routes {
		w.routes = append(w.routes, &config.Routes[n])
	}
	return config
}

// plan schedules the arrivals, the faults and the exchanges of the fleet.
func (w *world) plan() {
	for n := range w.load.Classes {
		w.scheduleArrival(n)
	}
	for _, fault := range w.load.Faults {
		for n := range fault.Count {
			at := seconds(fault.At + float64(n)*fault.Gap)
			e := w.engines[fault.First+n]
			w.agenda.Schedule(at, func() { w.harm(e, fault) })
			w.agenda.Schedule(at+seconds(fault.For), func() { e.heal() })
		}
	}
	w.agenda.Schedule(tellInterval, w.tell)
}

func (w *world) harm(e *engine, fault Fault) {
	e.down = e.down || fault.Down
	e.fails = max(e.fails, fault.Fails)
	e.StepTimeFactor = max(e.StepTimeFactor, fault.Slow)
	if !fault.Down {
		return
	}
	for _, j := range e.Crash() {
		j.OnDone()
	}
}

func (e *engine) heal() {
	e.down, e.fails, e.StepTimeFactor = false, 0, 0
}

// tell gives every instance the sums that were told an interval ago.
func (w *world) tell() {
	totals := aggregates.Sum(w.told)
	for n, d := range w.instances {
		d.ApplyTotals(totals, w.told[n])
		w.told[n] = d.Contribution(w.clock())
	}
	if w.agenda.Now() < seconds(w.load.Seconds)+settleTime {
		w.agenda.Schedule(tellInterval, w.tell)
	}
}

// scheduleArrival schedules the next request of a class.
func (w *world) scheduleArrival(n int) {
	rate := w.load.Classes[n].PerSecond * w.surge(n, "").times
	w.agenda.Schedule(seconds(w.random.ExpFloat64()/rate), func() {
		if w.agenda.Now() < seconds(w.load.Seconds) {
			w.arrive(n)
			w.scheduleArrival(n)
		}
	})
}

// surgeFactors are what the surges of a moment do to a class.
type surgeFactors struct {
	times, prompt, oneThing float64
}

// surge returns the factors for a class, or for one team in it.
func (w *world) surge(n int, team tables.TeamID) surgeFactors {
	factors := surgeFactors{times: 1, prompt: 1}
	now := w.agenda.Now().Seconds()
	for _, s := range w.load.Surges {
		if now < s.At || now >= s.At+s.For || s.Class != "" && s.Class != w.load.Classes[n].Name {
			continue
		}
		switch {
		case s.Team == "":
			factors.times *= orOne(s.Times)
		case s.Team == team:
			factors.times *= orOne(s.Times)
		case team == "":
			// The requests of one team are a part of all.
			factors.times += w.weightOf(s.Team) * (orOne(s.Times) - 1)
		}
		factors.prompt *= orOne(s.PromptTimes)
		factors.oneThing = max(factors.oneThing, s.OneThing)
	}
	return factors
}

func (w *world) weightOf(name tables.TeamID) float64 {
	of, all := 0.0, 0.0
	for _, team := range w.load.Teams {
		all += team.Weight
		if team.Name == name {
			of += team.Weight
		}
	}
	return of / all
}

// drawTeam returns the team of a request, by weight and surge.
func (w *world) drawTeam(n int) tables.TeamID {
	all := 0.0
	weights := make([]float64, len(w.load.Teams))
	for i, team := range w.load.Teams {
		weights[i] = team.Weight * w.surge(n, team.Name).times
		all += weights[i]
	}
	at := w.random.Float64() * all
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return w.load.Teams[i].Name
		}
	}
	return w.load.Teams[len(w.load.Teams)-1].Name
}

// drawParts returns the parts of a prompt.
func (w *world) drawParts(n int, factors surgeFactors) []batches.PromptPart {
	c := w.load.Classes[n]
	var parts []batches.PromptPart
	path := uint64(n + 1)
	for i, mean := range c.Shared {
		thing := w.random.IntN(max(1, c.Things[i]))
		if w.random.Float64() < factors.oneThing {
			thing = 0
		}
		path = path*1_000_003 + uint64(thing) + 1
		sizes := rand.New(rand.NewPCG(path, 3))
		parts = append(parts, batches.PromptPart{ID: path, Tokens: tokens(sizes, mean, 0.5)})
	}
	own := tokens(w.random, c.Prompt*factors.prompt, 0.9)
	return append(parts, batches.PromptPart{ID: w.random.Uint64(), Tokens: own})
}

// tokens draws a size from a log-normal distribution with a mean and a spread.
func tokens(random *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
