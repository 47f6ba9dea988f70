package replay

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/latencies"
	"mimosayard/internal/proof/traces"
)

// Latency is a distribution of durations, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Results is what came of a replay.
type Results struct {
	Trace    string              `json:"trace"`
	Policy   string              `json:"policy"`
	Requests int                 `json:"requests"`
	Served   int                 `json:"served"`
	Refusals map[faults.Kind]int `json:"refusals"`
	// Cost is the cost of all calls, escalated ones included.
	Cost tables.MicroCost `json:"cost_micros"`
	// Quality is the mean score of the answers served. QualityMargin is the
	// least distance of a route's mean score from its target.
	Quality       float64 `json:"quality"`
	QualityMargin float64 `json:"quality_margin"`
	FirstToken    Latency `json:"first_token"`
	Total         Latency `json:"total"`
	// Escalated is the part of the served requests that took more than one
	// stage.
	Escalated float64 `json:"escalated"`
	// Exposed is the number of callers that got an answer from a version
	// while it was bad, against the callers of an hour.
	Exposed float64 `json:"exposed_callers"`
	// Withdrawn counts withdrawals of bad versions, FalseWithdrawals those of
	// good ones, Missed the bad versions left in place.
	Withdrawn        int `json:"withdrawn"`
	FalseWithdrawals int `json:"false_withdrawals"`
	Missed           int `json:"missed"`
	// Steps is the number of rollout steps taken.
	Steps int `json:"rollout_steps"`
	// WorstShare is the least part of its due shares that a team got, Jain the
	// fairness index over the teams.
	WorstShare float64 `json:"worst_share"`
	Jain       float64 `json:"jain_index"`
	// Moved counts sessions that were answered by two versions of a model.
	Moved int `json:"moved_sessions"`
	// Forbidden counts answers of versions that the team may not use or that
	// were withdrawn before the request came.
	Forbidden int `json:"forbidden"`
}

type collector struct {
	upstreams  []tables.UpstreamID
	config     *tables.Config
	requests   int
	served     int
	refusals   map[faults.Kind]int
	cost       tables.MicroCost
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	escalated  int
	scores     map[tables.RouteKey]*routeScores
	// routes lists the keys of scores in table order.
	routeKeys        []tables.RouteKey
	callers          map[string]bool
	exposedCallers   map[string]bool
	badPools         map[tables.PoolID]bool
	withdrawnAt      map[tables.PoolID]time.Duration
	falseWithdrawals int
	trueWithdrawals  int
	rolloutSteps     map[tables.PoolID]int
	windows          map[int]map[tables.TeamID]*tokenCounts
	sessionPools     map[string]map[tables.ModelID]tables.PoolID
	movedSessions    map[string]bool
	forbidden        int
}

type routeScores struct {
	count  float64
	sum    float64
	target float64
}

type tokenCounts struct {
	demand, served float64
}

const (
	fairnessWindow = 5 * time.Second
	// minScoredAnswers is the number of answers from which a route's mean score is
	// set against its target.
	minScoredAnswers = 200
)

func newCollector() *collector {
	return &collector{
		refusals:       map[faults.Kind]int{},
		firstToken:     latencies.New(),
		total:          latencies.New(),
		scores:         map[tables.RouteKey]*routeScores{},
		callers:        map[string]bool{},
		exposedCallers: map[string]bool{},
		badPools:       map[tables.PoolID]bool{},
		withdrawnAt:    map[tables.PoolID]time.Duration{},
		rolloutSteps:   map[tables.PoolID]int{},
		windows:        map[int]map[tables.TeamID]*tokenCounts{},
		sessionPools:   map[string]map[tables.ModelID]tables.PoolID{},
		movedSessions:  map[string]bool{},
	}
}

func (c *collector) recordArrival(now time.Duration, arrival *traces.Arrival) {
	c.requests++
	c.callers[arrival.Caller] = true
	c.windowCounts(now, arrival).demand += requestTokens(arrival)
}

func (c *collector) setConfig(config *tables.Config) {
	c.config = config
	c.upstreams = c.upstreams[:0]
	for _, pool := range config.Pools {
		for _, upstream := range pool.Upstreams {
			c.upstreams = append(c.upstreams, upstream.Name)
		}
	}
	for _, route := range config.Routes {
		key := tables.RouteKey{Team: route.Team, Service: route.Service, Class: route.Class}
		if c.scores[key] == nil {
			c.scores[key] = &routeScores{target: route.QualityTarget}
			c.routeKeys = append(c.routeKeys, key)
		}
	}
}

func (c *collector) recordProgress(now time.Duration, progress rollouts.Progress) {
	c.rolloutSteps[progress.Pool] = max(c.rolloutSteps[progress.Pool], progress.Step)
	if _, recorded := c.withdrawnAt[progress.Pool]; recorded || !progress.Withdrawn {
		return
	}
	c.withdrawnAt[progress.Pool] = now
	if c.badPools[progress.Pool] {
		c.trueWithdrawals++
	} else {
		c.falseWithdrawals++
	}
}

func (c *collector) recordRefusal(_ time.Duration, _ *traces.Arrival, kind faults.Kind) {
	c.refusals[kind]++
}

func (c *collector) recordServed(s *simulation, r *inFlightRequest, answer traces.Answer) {
	c.served++
	c.cost += r.task.Cost
	_ = c.firstToken.RecordValue(r.firstTokenLatency.Microseconds())
	_ = c.total.RecordValue((s.now() - r.arrivedAt).Microseconds())
	if r.steps > 1 {
		c.escalated++
	}
	key := r.task.Entry.Key()
	if scores := c.scores[key]; scores != nil {
		scores.count++
		scores.sum += answer.Score
	}
	if s.badPools[r.step.Pool.Name] {
		c.exposedCallers[r.arrival.Caller] = true
	}
	c.windowCounts(r.arrivedAt, r.arrival).served += requestTokens(r.arrival)
	c.checkInvariants(s, r)
}

// checkInvariants counts breaks of what must always hold.
func (c *collector) checkInvariants(s *simulation, r *inFlightRequest) {
	pool := r.step.Pool
	if !slices.Contains(r.task.Entry.Route.Pools, pool.Name) {
		c.forbidden++
	}
	// Instances learn of a withdrawal after the fleet's lag.
	if withdrawnAt, ok := c.withdrawnAt[pool.Name]; ok && r.arrivedAt > withdrawnAt+s.header.FleetLag.Duration() {
		c.forbidden++
	}
	session := r.arrival.Session
	if session == "" {
		return
	}
	if c.sessionPools[session] == nil {
		c.sessionPools[session] = map[tables.ModelID]tables.PoolID{}
	}
	previous := c.sessionPools[session][pool.Model]
	if _, withdrawn := c.withdrawnAt[previous]; previous != "" && previous != pool.Name && !withdrawn {
		c.movedSessions[session] = true
	}
	c.sessionPools[session][pool.Model] = pool.Name
}

func (c *collector) windowCounts(at time.Duration, arrival *traces.Arrival) *tokenCounts {
	window := int(at / fairnessWindow)
	if c.windows[window] == nil {
		c.windows[window] = map[tables.TeamID]*tokenCounts{}
	}
	counts := c.windows[window][arrival.Team]
	if counts == nil {
		counts = &tokenCounts{}
		c.windows[window][arrival.Team] = counts
	}
	return counts
}

func (c *collector) recordTruth(_ time.Duration, truth traces.Truth) {
	c.badPools[truth.Pool] = truth.Bad
}

func (c *collector) results(s *simulation) Results {
	results := Results{
		Trace:            s.header.Name,
		Policy:           s.policy,
		Requests:         c.requests,
		Served:           c.served,
		Refusals:         c.refusals,
		Cost:             c.cost,
		FirstToken:       Latency(latencies.Of(c.firstToken)),
		Total:            Latency(latencies.Of(c.total)),
		Withdrawn:        c.trueWithdrawals,
		FalseWithdrawals: c.falseWithdrawals,
		Moved:            len(c.movedSessions),
		Forbidden:        c.forbidden,
	}
	for pool, bad := range c.badPools {
		if _, withdrawn := c.withdrawnAt[pool]; bad && !withdrawn {
			results.Missed++
		}
	}
	for _, step := range c.rolloutSteps {
		results.Steps += step
	}
	results.Escalated = ratio(float64(c.escalated), float64(c.served))
	results.Exposed = ratio(float64(len(c.exposedCallers)), c.callersPerHour(s.now()))
	results.Quality, results.QualityMargin = c.quality()
	results.WorstShare, results.Jain = c.fairness()
	return results
}

// callersPerHour returns the number of callers in an hour: those of the trace,
// in proportion if it is shorter.
func (c *collector) callersPerHour(length time.Duration) float64 {
	return float64(len(c.callers)) * max(1, time.Hour.Seconds()/max(1, length.Seconds()))
}

func (c *collector) quality() (mean, margin float64) {
	count, sum := 0.0, 0.0
	margin = 1
	for _, key := range c.routeKeys {
		scores := c.scores[key]
		count += scores.count
		sum += scores.sum
		if scores.count >= minScoredAnswers {
			margin = min(margin, scores.sum/scores.count-scores.target)
		}
	}
	return ratio(sum, count), margin
}

// fairness sets what each team got against the sum of its due shares of the
// windows. Within a window chance decides, as a few requests of unlike size
// make it up.
func (c *collector) fairness() (worst, jain float64) {
	servedTokens, dueTokens := map[tables.TeamID]float64{}, map[tables.TeamID]float64{}
	for _, index := range slices.Sorted(maps.Keys(c.windows)) {
		window := c.windows[index]
		teams := slices.Sorted(maps.Keys(window))
		claims := make([]allowances.Claim, len(teams))
		capacity := 0.0
		for i, team := range teams {
			claims[i] = c.newClaim(team, window[team].demand)
			capacity += window[team].served
		}
		allowances.Divide(capacity, claims)
		for i, team := range teams {
			servedTokens[team] += window[team].served
			dueTokens[team] += claims[i].Allocation
		}
	}
	worst = 1
	count, sum, squares := 0.0, 0.0, 0.0
	for _, team := range slices.Sorted(maps.Keys(dueTokens)) {
		servedShare := ratio(servedTokens[team], dueTokens[team])
		worst = min(worst, servedShare)
		count++
		sum += servedShare
		squares += servedShare * servedShare
	}
	return worst, ratio(sum*sum, count*squares)
}

func (c *collector) newClaim(team tables.TeamID, demand float64) allowances.Claim {
	claim := allowances.Claim{Demand: demand, Weight: 1}
	for _, route := range c.config.Routes {
		if route.Team == team {
			claim.Limit += allowances.RateLimit(route.Allowance.TokensPerSecond) * fairnessWindow.Seconds()
			claim.Weight = max(claim.Weight, route.Allowance.WeightOrDefault())
		}
	}
	return claim
}

// Value returns the figure of a metric, as outcome files name it.
func (r Results) Value(metric string) (float64, bool) {
	value, ok := map[string]float64{
		"cost_micros":       float64(r.Cost),
		"cost_per_request":  ratio(float64(r.Cost), float64(r.Served)),
		"quality":           r.Quality,
		"quality_margin":    r.QualityMargin,
		"first_token_p50":   r.FirstToken.P50,
		"first_token_p95":   r.FirstToken.P95,
		"first_token_p99":   r.FirstToken.P99,
		"total_p95":         r.Total.P95,
		"exposed_callers":   r.Exposed,
		"false_withdrawals": float64(r.FalseWithdrawals),
		"withdrawn":         float64(r.Withdrawn),
		"missed":            float64(r.Missed),
		"rollout_steps":     float64(r.Steps),
		"worst_share":       r.WorstShare,
		"jain_index":        r.Jain,
		"moved_sessions":    float64(r.Moved),
		"forbidden":         float64(r.Forbidden),
		"served_share":      ratio(float64(r.Served), float64(r.Requests)),
	}[metric]
	return value, ok
}

func ratio(a, b float64) float64 {
	if b == 0 || math.IsNaN(b) {
		return 0
	}
	return a / b
}

// requestTokens returns the work that a request asks for, in tokens.
func requestTokens(arrival *traces.Arrival) float64 {
	return float64(arrival.Prompt + arrival.Answers[len(arrival.Answers)-1].Tokens)
}
