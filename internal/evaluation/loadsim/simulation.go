package loadsim

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/batching"
	"mimosayard/internal/evaluation/simtime"
)

// simulation is the state of a load while it runs.
type simulation struct {
	load            Load
	policy          Policy
	random          *rand.Rand
	scheduler       simtime.Scheduler
	instances       []*dispatch.Dispatcher
	engines         []*engine
	engineByAddress map[string]*engine
	upstreams       []catalog.Upstream
	config          *catalog.Catalog
	routes          []*catalog.Route
	// contributions holds each instance's part of the next totals.
	contributions []aggregates.Values
	requestCount  int
	// repeated is the first of the copies of one request, nil before it.
	repeated  *request
	collector *collector
	// paceRandom draws the moments, apart from random so that these change no other draw.
	paceRandom *rand.Rand
	// exchangeInterval is the time between two exchanges of the fleet's totals.
	exchangeInterval time.Duration
	// stored are the quarantined parts in the store.
	stored map[quarantine.PartID]bool
	// cut holds the instances that get no sums of others, and cutUntil is when the others
	// got them again.
	cut      map[int]bool
	cutUntil map[int]time.Duration
}

// engine is an emulated engine with its active faults.
type engine struct {
	batching.Engine
	// index is the engine's index among the engines and upstreams.
	index       int
	down        bool
	failureRate float64
	// lastingPace and momentFactor are the factors of the engine's pace.
	lastingPace, momentFactor float64
	// windowStart is the engine's work at the start of the present window.
	windowStart float64
	// answerLossRate is the fraction of the answers that are lost by a reset.
	answerLossRate float64
}

const (
	service tables.ServiceID = "models"
	// defaultExchangeInterval is the time between two exchanges of the fleet's totals.
	defaultExchangeInterval = 500 * time.Millisecond
	// networkDelay is the one-way delay between an instance and an engine.
	networkDelay = 2 * time.Millisecond
	// maxAttempts is the maximum number of calls that a route allows for a
	// request.
	maxAttempts = 3
	// drainTime is the time after the last arrival in which requests may end.
	drainTime = 30 * time.Second
)

// startTime is the wall-clock time at the start of every simulation. It is
// fixed, so that results depend only on the load, the policy and the seed.
var startTime = time.Unix(1_700_000_000, 0)

// Simulate simulates a load under a named policy. Results are the same for the
// same load, policy and seed. It returns an error if the policy is unknown.
func Simulate(load Load, policyName string, seed uint64) (Results, error) {
	policy, err := policyByName(policyName)
	if err != nil {
		return Results{}, err
	}
	s := &simulation{
		load:            load,
		policy:          policy,
		random:          rand.New(rand.NewPCG(seed, 1)),
		engineByAddress: map[string]*engine{},
		contributions:   make([]aggregates.Values, load.Instances),
		collector:       newCollector(),
		paceRandom:      rand.New(rand.NewPCG(seed, 2)),
		stored:          map[quarantine.PartID]bool{},
		cut:             map[int]bool{},
		cutUntil:        map[int]time.Duration{},

		exchangeInterval: defaultExchangeInterval,
	}
	if load.ExchangeMS > 0 {
		s.exchangeInterval = seconds(load.ExchangeMS / 1000)
	}
	s.setUp()
	s.scheduleEvents()
	s.scheduler.AdvanceTo(seconds(load.DurationSeconds) + drainTime)
	return s.collector.summary(load, policyName, seed), nil
}

func (s *simulation) clock() time.Time {
	return startTime.Add(s.scheduler.Now())
}

// setUp creates the instances and the engines.
func (s *simulation) setUp() {
	for n := range s.load.Engines {
		e := &engine{index: n, Engine: batching.Engine{Config: s.load.EngineConfig, Scheduler: &s.scheduler}}
		entry := catalog.Upstream{
			ID:         tables.UpstreamID(fmt.Sprintf("engine-%d", n)),
			Service:    service,
			Address:    fmt.Sprintf("engine-%d", n),
			DataCenter: s.dataCenter(n),
			Version:    "v1",
			Slots:      s.load.EngineConfig.Slots,
			Ready:      true,
		}
		s.upstreams = append(s.upstreams, entry)
		s.engines = append(s.engines, e)
		s.engineByAddress[entry.Address] = e
	}
	s.config = s.catalog()
	for n := range s.load.Instances {
		s.instances = append(s.instances, s.newInstance(n))
	}
}

// newInstance returns an instance that has just started.
func (s *simulation) newInstance(n int) *dispatch.Dispatcher {
	limits := dispatch.Limits{
		Retries:    retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second},
		Release:    releases.Limits{MaxExposure: 0.15},
		SessionTTL: 5 * time.Second,
	}
	d := dispatch.New(s.dataCenter(n), limits, rand.New(rand.NewPCG(s.random.Uint64(), uint64(n))))
	d.SetCatalog(s.config)
	d.SetUpstreams(s.clock(), s.upstreams)
	d.SetFleetPosition(s.clock(), n, s.load.Instances)
	return d
}

// losePower ends all instances with what they hold, and starts new ones with the quarantine that
// the store has kept.
func (s *simulation) losePower() {
	for n := range s.instances {
		s.instances[n] = s.newInstance(n)
		s.instances[n].RestoreQuarantine(s.clock(), slices.Sorted(maps.Keys(s.stored)))
		s.contributions[n] = nil
	}
}

// setCut cuts instances off from the sums of the others, or connects them again.
func (s *simulation) setCut(c Cut, cut bool) {
	for n := c.FirstInstance; n < c.FirstInstance+c.InstanceCount; n++ {
		s.cut[n], s.cutUntil[n] = cut, s.scheduler.Now()
		if cut {
			s.instances[n].SetFleetPosition(s.clock(), 0, 1)
		} else {
			s.instances[n].SetFleetPosition(s.clock(), n, s.load.Instances)
		}
	}
}

func (s *simulation) dataCenter(index int) tables.DataCenterID {
	return s.load.DataCenters[index%len(s.load.DataCenters)]
}

func (s *simulation) catalog() *catalog.Catalog {
	engine := &catalog.Engine{Slots: s.load.EngineConfig.Slots, KVCapacity: tables.Tokens(s.load.EngineConfig.MemoryTokens)}
	var models []tables.ModelID
	for _, m := range s.load.Models {
		models = append(models, m.Name)
		engine.Models = append(engine.Models, catalog.Model{Name: m.Name, CostPerThousandTokens: m.CostPerThousandTokens})
	}
	config := &catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: service, Engine: engine}}}
	for _, c := range s.load.Classes {
		config.Routes = append(config.Routes, catalog.Route{
			Name:          catalog.RouteID(c.Name),
			Kind:          catalog.Streaming,
			Resumable:     true,
			Models:        s.policy.offeredModels(models),
			LatencyTarget: seconds(c.TargetMS / 1000),
			Timeout:       seconds(c.DeadlineMS / 1000),
			MaxAttempts:   maxAttempts,
			Split:         []catalog.Share{{Service: service, Weight: 1}},
		})
	}
	for n := range config.Routes {
		s.routes = append(s.routes, &config.Routes[n])
	}
	return config
}

// scheduleEvents schedules the first arrivals, the faults, and the first
// exchange of the fleet's totals.
func (s *simulation) scheduleEvents() {
	for n := range s.load.Classes {
		s.scheduleArrival(n)
	}
	if part := s.load.CrashingPart; part != nil {
		s.scheduler.Schedule(seconds(part.StartSeconds), func() { s.arriveWithCrashingPart(part) })
	}
	for _, fault := range s.load.Faults {
		for n := range fault.EngineCount {
			start := seconds(fault.StartSeconds + float64(n)*fault.IntervalSeconds)
			e := s.engines[fault.FirstEngine+n]
			s.scheduler.Schedule(start, func() { s.injectFault(e, fault) })
			s.scheduler.Schedule(start+seconds(fault.DurationSeconds), func() {
				e.clearFaults()
				if fault.Restarts {
					s.scheduler.Schedule(seconds(fault.EntryDelaySeconds), func() { s.announceRestart(e) })
				}
			})
		}
	}
	for _, c := range s.load.Cuts {
		s.scheduler.Schedule(seconds(c.StartSeconds), func() { s.setCut(c, true) })
		s.scheduler.Schedule(seconds(c.StartSeconds+c.DurationSeconds), func() { s.setCut(c, false) })
	}
	if s.load.PowerLossSeconds > 0 {
		s.scheduler.Schedule(seconds(s.load.PowerLossSeconds), s.losePower)
	}
	s.schedulePaces()
	s.scheduler.Schedule(s.exchangeInterval, s.exchangeTotals)
}

// injectFault applies a fault to an engine. The worst of overlapping faults
// counts.
func (s *simulation) injectFault(e *engine, fault Fault) {
	e.failureRate = max(e.failureRate, fault.FailureRate)
	e.StepTimeFactor = max(e.StepTimeFactor, fault.StepTimeFactor)
	e.answerLossRate = max(e.answerLossRate, fault.AnswerLossRate)
	if fault.Down {
		e.takeDown()
	}
}

// takeDown ends the engine's process with all its jobs.
func (e *engine) takeDown() {
	e.down = true
	for _, j := range e.Crash() {
		j.OnDone()
	}
}

// arriveWithCrashingPart creates a request with the crashing part, and schedules the
// next one.
func (s *simulation) arriveWithCrashingPart(part *CrashingPart) {
	if s.scheduler.Now() >= seconds(part.StartSeconds+part.DurationSeconds) {
		return
	}
	for n, class := range s.load.Classes {
		if class.Name == part.Class {
			r := s.newRequest(n)
			r.crashes = true
			switch {
			case !part.Repeated:
				r.parts[part.SharedIndex].ID = crashingPartID
			case s.repeated == nil:
				s.repeated = r
			default:
				r.parts, r.promptTokens, r.answerTokens = s.repeated.parts, s.repeated.promptTokens, s.repeated.answerTokens
			}
			r.begin()
		}
	}
	s.scheduler.Schedule(seconds(s.random.ExpFloat64()/part.RequestsPerSecond), func() { s.arriveWithCrashingPart(part) })
}

// crash ends an engine's process and starts a new one after a while.
func (s *simulation) crash(r *request, e *engine) {
	if until, was := s.cutUntil[r.instanceIndex]; s.cut[r.instanceIndex] || was && s.scheduler.Now() < until+crashNotice {
		s.collector.cutCrashes++
	} else {
		s.collector.recordCrash(s.scheduler.Now())
	}
	e.takeDown()
	s.scheduler.Schedule(seconds(s.load.CrashingPart.RestartSeconds), func() {
		e.down = false
		s.scheduler.Schedule(seconds(s.load.CrashingPart.EntryDelaySeconds), func() { s.announceRestart(e) })
	})
}

// announceRestart tells the instances that an engine has a new process.
func (s *simulation) announceRestart(e *engine) {
	s.upstreams[e.index].Incarnation++
	for _, d := range s.instances {
		d.SetUpstreams(s.clock(), s.upstreams)
	}
}

// clearFaults ends all faults of the engine.
func (e *engine) clearFaults() {
	e.down, e.failureRate, e.StepTimeFactor, e.answerLossRate = false, 0, 0, 0
}

// exchangeTotals gives every instance the totals of the contributions that were
// collected one interval earlier, and collects new ones.
func (s *simulation) exchangeTotals() {
	var connected []aggregates.Values
	for n := range s.instances {
		if !s.cut[n] {
			connected = append(connected, s.contributions[n])
		}
	}
	totals := aggregates.Sum(connected)
	for n, d := range s.instances {
		seen := totals
		if s.cut[n] {
			seen = aggregates.Sum(s.contributions[n : n+1])
		}
		d.ApplyTotals(s.clock(), seen, s.contributions[n])
		s.contributions[n] = d.Contribution(s.clock())
		s.storeChanges(d.QuarantineChanges())
	}
	if s.scheduler.Now() < seconds(s.load.DurationSeconds)+drainTime {
		s.scheduler.Schedule(s.exchangeInterval, s.exchangeTotals)
	}
}

// storeChanges writes the changes of the quarantine to the store, as the instances do that
// decide on them.
func (s *simulation) storeChanges(changes []quarantine.Change) {
	for _, change := range changes {
		switch {
		case change.Released && (change.Decided || change.Stored):
			delete(s.stored, change.Part)
		case change.Confirmed:
			s.stored[change.Part] = true
		}
	}
}

// scheduleArrival schedules the next request of a class.
func (s *simulation) scheduleArrival(classIndex int) {
	rate := s.load.Classes[classIndex].RequestsPerSecond * s.currentSurge(classIndex, "").rate
	s.scheduler.Schedule(seconds(s.random.ExpFloat64()/rate), func() {
		if s.scheduler.Now() < seconds(s.load.DurationSeconds) {
			s.arrive(classIndex)
			s.scheduleArrival(classIndex)
		}
	})
}

// surgeFactors are the combined effects of the active surges on a class: factors
// of the request rate and of the prompt size, and the probability that a shared
// part is set to its first variant.
type surgeFactors struct {
	rate, prompt, hotVariantShare float64
}

// currentSurge returns the factors for one team in a class, or for the whole
// class if the team is empty.
func (s *simulation) currentSurge(classIndex int, team tables.TeamID) surgeFactors {
	factors := surgeFactors{rate: 1, prompt: 1}
	now := s.scheduler.Now().Seconds()
	for _, surge := range s.load.Surges {
		if now < surge.StartSeconds || now >= surge.StartSeconds+surge.DurationSeconds || surge.Class != "" && surge.Class != s.load.Classes[classIndex].Name {
			continue
		}
		switch {
		case surge.Team == "":
			factors.rate *= factorOrOne(surge.RateFactor)
		case surge.Team == team:
			factors.rate *= factorOrOne(surge.RateFactor)
		case team == "":
			// A team's requests are only a part of those of the class.
			factors.rate += s.teamShare(surge.Team) * (factorOrOne(surge.RateFactor) - 1)
		}
		factors.prompt *= factorOrOne(surge.PromptFactor)
		factors.hotVariantShare = max(factors.hotVariantShare, surge.HotVariantShare)
	}
	return factors
}

// teamShare returns the fraction of the requests that a team sends without
// surges.
func (s *simulation) teamShare(name tables.TeamID) float64 {
	weight, totalWeight := 0.0, 0.0
	for _, team := range s.load.Teams {
		totalWeight += team.Weight
		if team.Name == name {
			weight += team.Weight
		}
	}
	return weight / totalWeight
}

// drawTeam draws the team of a request by weight and active surges.
func (s *simulation) drawTeam(classIndex int) tables.TeamID {
	totalWeight := 0.0
	weights := make([]float64, len(s.load.Teams))
	for i, team := range s.load.Teams {
		weights[i] = team.Weight * s.currentSurge(classIndex, team.Name).rate
		totalWeight += weights[i]
	}
	position := s.random.Float64() * totalWeight
	for i, weight := range weights {
		if position -= weight; position < 0 {
			return s.load.Teams[i].Name
		}
	}
	return s.load.Teams[len(s.load.Teams)-1].Name
}

// drawPrompt draws the parts of a prompt: the shared parts, whose sizes depend
// only on the variants drawn so far, and the caller's own part.
func (s *simulation) drawPrompt(classIndex int, factors surgeFactors) []batching.PromptPart {
	c := s.load.Classes[classIndex]
	var parts []batching.PromptPart
	prefixID := uint64(classIndex + 1)
	for i, mean := range c.SharedTokens {
		variant := s.random.IntN(max(1, c.VariantCounts[i]))
		if s.random.Float64() < factors.hotVariantShare {
			variant = 0
		}
		prefixID = prefixID*1_000_003 + uint64(variant) + 1
		sizeRandom := rand.New(rand.NewPCG(prefixID, 3))
		parts = append(parts, batching.PromptPart{ID: prefixID, Tokens: drawTokens(sizeRandom, mean, 0.5)})
	}
	ownTokens := drawTokens(s.random, c.PromptTokens*factors.prompt, 0.9)
	return append(parts, batching.PromptPart{ID: s.random.Uint64(), Tokens: ownTokens})
}

// drawTokens draws a number of tokens from a log-normal distribution with a
// mean and a standard deviation of the logarithm, and returns at least one.
func drawTokens(random *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}

func factorOrOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}
