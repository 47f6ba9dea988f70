// Package tracegen generates traces of synthetic traffic: the requests that
// arrive over some time, and the answer of each version to each of them. The
// same scenario and seed give the same trace.
package tracegen

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/traces"
)

// Scenario describes the traffic, the pools and the changes of a trace.
type Scenario struct {
	Name        string
	Instances   int
	DataCenters []tables.DataCenterID
	Duration    time.Duration
	Teams       []Team
	Pools       []Pool
	// RatedShare is the share of requests whose answers are rated, from 0 to 1.
	RatedShare float64
	// RatingDelay is the mean time from an answer to its rating.
	RatingDelay time.Duration
	// ReportLag is the age of the load reports that instances get.
	ReportLag time.Duration
	// Changes happen during the trace. They are ordered by time.
	Changes []Change
	// SessionMinutes is the number of minutes after which a caller's session is
	// replaced by a new one. Half of the requests belong to a session. Zero
	// means no sessions.
	SessionMinutes int
	// NoFirstTokenDeadline leaves the first-token deadline out of the routes.
	NoFirstTokenDeadline bool
}

// Team describes a team, its route and its traffic.
type Team struct {
	Name              tables.TeamID
	Class             tables.ClassID
	Weight            float64
	QualityTarget     float64
	RequestsPerSecond float64
	Callers           int
	// MeanPromptTokens is the mean number of prompt tokens above a minimum of 20.
	MeanPromptTokens int
	// FirstTokenDeadline and Priority are copied into the route.
	FirstTokenDeadline time.Duration
	Priority           int
	// FirstInstanceShare is the share of requests that are sent to the first
	// instance, from 0 to 1. The others are spread evenly over all instances.
	FirstInstanceShare float64
	// BurstFactor multiplies RequestsPerSecond from BurstStart to BurstEnd. Zero
	// means no burst.
	BurstFactor          float64
	BurstStart, BurstEnd time.Duration
	// TokensPerSecond is the team's allowance. Zero means no limit.
	TokensPerSecond float64
}

// Pool describes a pool of engines that serve one version of a model.
type Pool struct {
	Name    tables.PoolID
	Model   tables.ModelID
	Version tables.VersionID
	// EasyAccuracy and HardAccuracy are the probabilities of a correct answer to
	// an easy and to a hard request.
	EasyAccuracy, HardAccuracy float64
	// AnswerCost is the cost of a thousand answer tokens. Prompt tokens cost a
	// quarter of it.
	AnswerCost tables.MicroCost
	// Upstreams is the number of upstreams.
	Upstreams int
	Engine    traces.EngineSpeed
	Rollout   *tables.Rollout
}

// Change is a change of an upstream or of the quality of a pool during a trace.
type Change struct {
	At time.Duration
	// Upstream is the new state of an upstream. If it is nil, DegradedPool
	// applies.
	Upstream *traces.UpstreamChange
	// DegradedPool is the pool whose answers are correct only half as often from
	// then on.
	DegradedPool tables.PoolID
}

const (
	service = "llm"
	// easyShare is the share of requests that the cheap models can answer.
	easyShare = 0.7
	// confidenceNoise is the standard deviation of an engine's confidence around
	// the probability that its answer is correct.
	confidenceNoise  = 0.12
	meanAnswerTokens = 120 // above a minimum of 10
	prefixCount      = 400 // distinct prompt prefixes
	// degradedFactor multiplies the accuracy of a degraded pool.
	degradedFactor = 0.5
	reportInterval = 500 * time.Millisecond
	// fleetLag is the age of the fleet-wide sums that instances use.
	fleetLag = 500 * time.Millisecond
)

// Generate generates the trace of a scenario and writes it to w. Arrivals form
// a Poisson process whose rate is the sum of the teams' rates.
func Generate(w io.Writer, s Scenario, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 77))
	writer := traces.NewWriter(w)
	if err := writer.Write(s.header(seed)); err != nil {
		return err
	}
	if err := writer.Write(s.tables()); err != nil {
		return err
	}
	degraded := map[tables.PoolID]bool{}
	changes := s.Changes
	for now := s.interarrivalTime(random, 0); now < s.Duration; now += s.interarrivalTime(random, now) {
		for len(changes) > 0 && changes[0].At <= now {
			if err := writer.Write(changes[0].apply(degraded)); err != nil {
				return err
			}
			changes = changes[1:]
		}
		arrival := s.arrival(random, now, degraded)
		if err := writer.Write(traces.Event{Type: traces.TypeArrival, At: millis(now), Arrival: &arrival}); err != nil {
			return err
		}
	}
	return nil
}

// FindScenario returns the scenario with a name, or an error if there is none.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario is named %q", name)
}

// apply returns the event of a change and marks its pool as degraded.
func (c Change) apply(degraded map[tables.PoolID]bool) traces.Event {
	if c.Upstream != nil {
		return traces.Event{Type: traces.TypeUpstream, At: millis(c.At), Upstream: c.Upstream}
	}
	degraded[c.DegradedPool] = true
	return traces.Event{Type: traces.TypeTruth, At: millis(c.At), Truth: &traces.GroundTruth{Pool: c.DegradedPool, Bad: true}}
}

func (s Scenario) header(seed uint64) traces.Event {
	header := &traces.Header{
		Format:         traces.FormatVersion,
		Name:           s.Name,
		Instances:      s.Instances,
		DataCenters:    s.DataCenters,
		Seed:           seed,
		ReportLag:      millis(s.ReportLag),
		ReportInterval: millis(reportInterval),
		FleetLag:       millis(fleetLag),
		Engines:        map[tables.PoolID]traces.EngineSpeed{},
	}
	for _, pool := range s.Pools {
		header.Engines[pool.Name] = pool.Engine
	}
	return traces.Event{Type: traces.TypeHeader, Header: header}
}

func (s Scenario) tables() traces.Event {
	event := traces.Event{Type: traces.TypeTables}
	var poolNames []tables.PoolID
	hostNumber := 0
	for _, pool := range s.Pools {
		poolRow := tables.Pool{
			Name: pool.Name, Service: service, Kind: tables.KindModel, Model: pool.Model, Version: pool.Version,
			PromptCost: pool.AnswerCost / 4, AnswerCost: pool.AnswerCost, Concurrency: pool.Engine.Slots, Rollout: pool.Rollout,
		}
		for n := range pool.Upstreams {
			hostNumber++
			poolRow.Upstreams = append(poolRow.Upstreams, tables.Upstream{
				Name:       tables.UpstreamID(fmt.Sprintf("%s-%d", pool.Name, n)),
				Address:    fmt.Sprintf("127.20.%d.%d:7100", hostNumber/250, 1+hostNumber%250),
				DataCenter: s.DataCenters[n%len(s.DataCenters)],
			})
		}
		event.Pools = append(event.Pools, poolRow)
		poolNames = append(poolNames, pool.Name)
	}
	for _, team := range s.Teams {
		route := tables.Route{
			Team: team.Name, Service: service, Class: team.Class,
			Credentials: []string{tables.HashCredential(string(team.Name))}, Pools: poolNames, QualityTarget: team.QualityTarget,
			Allowance: tables.Allowance{TokensPerSecond: team.TokensPerSecond, Weight: team.Weight},
			Priority:  team.Priority, Deadline: 60000, FirstToken: millis(team.FirstTokenDeadline), Idempotent: true,
		}
		if s.NoFirstTokenDeadline {
			route.FirstToken = 0
		}
		event.Routes = append(event.Routes, route)
	}
	return event
}

// interarrivalTime returns a random time to the next arrival.
func (s Scenario) interarrivalTime(random *rand.Rand, now time.Duration) time.Duration {
	total := 0.0
	for _, team := range s.Teams {
		total += team.rate(now)
	}
	return time.Duration(random.ExpFloat64() / total * float64(time.Second))
}

func (s Scenario) arrival(random *rand.Rand, now time.Duration, degraded map[tables.PoolID]bool) traces.Arrival {
	team := s.pickTeam(random, now)
	caller := random.IntN(team.Callers)
	arrival := traces.Arrival{
		InstanceIndex: random.IntN(s.Instances),
		Team:          team.Name, Service: service, Class: team.Class,
		Caller:       fmt.Sprintf("%s-%d", team.Name, caller),
		PromptTokens: tables.Tokens(20 + random.ExpFloat64()*float64(team.MeanPromptTokens)),
		PrefixHash:   1 + uint64(random.IntN(prefixCount)),
	}
	if random.Float64() < team.FirstInstanceShare {
		arrival.InstanceIndex = 0
	}
	if s.SessionMinutes > 0 && random.IntN(2) == 0 {
		sessionNumber := int(now/time.Minute) / s.SessionMinutes
		arrival.Session = fmt.Sprintf("%s-%d", arrival.Caller, sessionNumber)
	}
	if random.Float64() < s.RatedShare {
		delay := time.Duration((0.5 + random.Float64()) * float64(s.RatingDelay))
		arrival.RatingDelay = max(1, millis(delay))
	}
	arrival.Answers = s.answers(random, degraded)
	return arrival
}

// answers returns the answer of each pool to one request.
func (s Scenario) answers(random *rand.Rand, degraded map[tables.PoolID]bool) []traces.Answer {
	easy := random.Float64() < easyShare
	tokens := tables.Tokens(10 + random.ExpFloat64()*meanAnswerTokens)
	answers := make([]traces.Answer, 0, len(s.Pools))
	for _, pool := range s.Pools {
		correctProbability := pool.HardAccuracy
		if easy {
			correctProbability = pool.EasyAccuracy
		}
		confidence := min(1, max(0, correctProbability+confidenceNoise*random.NormFloat64()))
		if degraded[pool.Name] {
			// A degraded version still reports the confidence of a good one.
			correctProbability *= degradedFactor
		}
		score := 0.0
		if random.Float64() < correctProbability {
			score = 1
		}
		answers = append(answers, traces.Answer{Pool: pool.Name, Tokens: tokens, Confidence: roundToThousandths(confidence), Score: score})
	}
	return answers
}

// pickTeam returns a random team, weighted by the teams' rates.
func (s Scenario) pickTeam(random *rand.Rand, now time.Duration) Team {
	total := 0.0
	for _, team := range s.Teams {
		total += team.rate(now)
	}
	remaining := random.Float64() * total
	for _, team := range s.Teams {
		if remaining -= team.rate(now); remaining < 0 {
			return team
		}
	}
	return s.Teams[len(s.Teams)-1]
}

// rate returns the requests per second at a time of the trace.
func (t Team) rate(now time.Duration) float64 {
	if t.BurstFactor > 0 && now >= t.BurstStart && now < t.BurstEnd {
		return t.RequestsPerSecond * t.BurstFactor
	}
	return t.RequestsPerSecond
}

func millis(d time.Duration) tables.Millis {
	return tables.Millis(d.Milliseconds())
}

func roundToThousandths(value float64) float64 {
	const steps = 1000
	return float64(int(value*steps)) / steps
}
