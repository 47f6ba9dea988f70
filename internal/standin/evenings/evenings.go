// Package evenings records traces of the stand-ins: what arrives in an evening
// or a shift, and what each version answers to it. The same scenario and seed
// give the same trace.
package evenings

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/traces"
)

// A Scenario describes a trace.
type Scenario struct {
	Name        string
	Instances   int
	DataCenters []tables.DataCenterID
	Length      time.Duration
	Teams       []Team
	Pools       []Pool
	// RatedShare is the part of the answers that get ratings, after a delay
	// of RatingDelay on the mean.
	RatedShare  float64
	RatingDelay time.Duration
	ReportLag   time.Duration
	// Events are changes on the way.
	Changes []Change
	// SessionTurns is the mean number of turns of a session, zero for none.
	SessionMinutes int
	// NoFirstToken leaves out the routes' bounds on the first token.
	NoFirstTokenDeadline bool
}

// A Team is a team with its traffic.
type Team struct {
	Name              tables.TeamID
	Class             tables.ClassID
	Weight            float64
	QualityTarget     float64
	RequestsPerSecond float64
	Callers           int
	// Prompt is the mean size of a prompt.
	MeanPromptTokens int
	// FirstToken and Priority go into the route.
	FirstTokenDeadline time.Duration
	Priority           int
	// Skew is the part of the traffic that comes to one instance.
	FirstInstanceShare float64
	// Burst multiplies the rate between BurstFrom and BurstTo.
	BurstFactor          float64
	BurstStart, BurstEnd time.Duration
	// TokenLimit is the allowance in tokens a second, zero for none.
	TokensPerSecond float64
}

// A Pool is a version with its engines.
type Pool struct {
	Name    tables.PoolID
	Model   tables.ModelID
	Version tables.VersionID
	// Easy and Hard are the probabilities of a right answer to easy and hard
	// requests.
	EasyAccuracy, HardAccuracy float64
	AnswerCost                 tables.MicroCost
	Upstreams                  int
	Engine                     traces.Engine
	Rollout                    *tables.Rollout
}

// A Change is something that happens on the way.
type Change struct {
	At       time.Duration
	Upstream *traces.Upstream
	// Bad turns a pool bad: half of its answers become wrong.
	DegradedPool tables.PoolID
}

const (
	service = "llm"
	// easyShare is the part of the requests that the cheap models suffice
	// for.
	easyShare = 0.7
	// confidenceNoise is the spread of an engine's confidence around the
	// probability that it is right.
	confidenceNoise  = 0.12
	meanAnswerTokens = 120
	prefixCount      = 400
	degradedFactor   = 0.5
	reportInterval   = 500 * time.Millisecond
	fleetLag         = 500 * time.Millisecond
)

// Record writes the trace of a scenario.
func Record(w io.Writer, s Scenario, seed uint64) error {
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
	for now := s.interarrivalTime(random, 0); now < s.Length; now += s.interarrivalTime(random, now) {
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

// Find returns the scenario of a name.
func Find(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario is named %q", name)
}

func (c Change) apply(degraded map[tables.PoolID]bool) traces.Event {
	if c.Upstream != nil {
		return traces.Event{Type: traces.TypeUpstream, At: millis(c.At), Upstream: c.Upstream}
	}
	degraded[c.DegradedPool] = true
	return traces.Event{Type: traces.TypeTruth, At: millis(c.At), Truth: &traces.Truth{Pool: c.DegradedPool, Bad: true}}
}

func (s Scenario) header(seed uint64) traces.Event {
	header := &traces.Header{
		Format:         traces.Format,
		Name:           s.Name,
		Instances:      s.Instances,
		DataCenters:    s.DataCenters,
		Seed:           seed,
		ReportLag:      millis(s.ReportLag),
		ReportInterval: millis(reportInterval),
		FleetLag:       millis(fleetLag),
		Engines:        map[tables.PoolID]traces.Engine{},
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

// gap returns the time to the next arrival.
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
		Instance: random.IntN(s.Instances),
		Team:     team.Name, Service: service, Class: team.Class,
		Caller: fmt.Sprintf("%s-%d", team.Name, caller),
		Prompt: tables.Tokens(20 + random.ExpFloat64()*float64(team.MeanPromptTokens)),
		Prefix: 1 + uint64(random.IntN(prefixCount)),
	}
	if random.Float64() < team.FirstInstanceShare {
		arrival.Instance = 0
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

// answers says what each version answers to one request.
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
			// A bad version is as sure of itself as a good one.
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
