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
	"mimosayard/internal/evaluation/latencies"
	"mimosayard/internal/evaluation/traces"
)

// Latency holds percentiles of a duration, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Results holds the measurements of a replay.
type Results struct {
	Trace    string              `json:"trace"`
	Policy   string              `json:"policy"`
	Requests int                 `json:"requests"`
	Served   int                 `json:"served"`
	Refusals map[faults.Kind]int `json:"refusals"`
	// TotalCost is the sum of the costs of the served requests, escalated calls
	// included.
	TotalCost tables.MicroCost `json:"cost_micros"`
	// MeanQuality is the mean score of the answers served. QualityMargin is the
	// smallest difference between a route's mean score and its target, negative
	// if a route misses its target, and at most 1. Routes with few answers are
	// left out.
	MeanQuality       float64 `json:"quality"`
	QualityMargin     float64 `json:"quality_margin"`
	FirstTokenLatency Latency `json:"first_token"`
	TotalLatency      Latency `json:"total"`
	// EscalatedShare is the share of the served requests that took more than one
	// call, by an escalation or a retry.
	EscalatedShare float64 `json:"escalated"`
	// ExposedShare is the number of callers that got an answer from a version
	// while it was bad, as a share of the callers in an hour.
	ExposedShare float64 `json:"exposed_callers"`
	// TrueWithdrawals counts withdrawals of bad versions, FalseWithdrawals those
	// of good versions, and MissedWithdrawals the bad versions that were not
	// withdrawn.
	TrueWithdrawals   int `json:"withdrawn"`
	FalseWithdrawals  int `json:"false_withdrawals"`
	MissedWithdrawals int `json:"missed"`
	// RolloutSteps is the sum over all pools of the highest rollout step reached.
	RolloutSteps int `json:"rollout_steps"`
	// MinServedRatio is the smallest ratio, over the teams, of the tokens served
	// to the tokens due under the allowances. FairnessIndex is Jain's fairness
	// index of these ratios.
	MinServedRatio float64 `json:"worst_share"`
	FairnessIndex  float64 `json:"jain_index"`
	// MovedSessions counts sessions that got answers from two versions of a model
	// although the first was not withdrawn.
	MovedSessions int `json:"moved_sessions"`
	// ForbiddenAnswers counts answers from pools that are not on the route, and
	// answers from versions withdrawn more than the fleet lag before the
	// request arrived.
	ForbiddenAnswers int `json:"forbidden"`
}

// collector gathers the measurements of a replay.
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
	// routeKeys lists the keys of scores in the order of the routes table.
	routeKeys      []tables.RouteKey
	callers        map[string]bool
	exposedCallers map[string]bool
	// badPools holds the state of each pool that the trace has marked as bad or
	// good.
	badPools map[tables.PoolID]bool
	// withdrawnAt holds the simulated time at which each pool was withdrawn.
	withdrawnAt      map[tables.PoolID]time.Duration
	falseWithdrawals int
	trueWithdrawals  int
	// rolloutSteps holds the highest rollout step that each pool reached.
	rolloutSteps map[tables.PoolID]int
	// windows holds the token counts by number of the fairness window and team.
	windows map[int]map[tables.TeamID]*tokenCounts
	// sessionPools holds the pool of a session's last answer, by model.
	sessionPools  map[string]map[tables.ModelID]tables.PoolID
	movedSessions map[string]bool
	forbidden     int
}

// routeScores sums up the scores of the answers on a route.
type routeScores struct {
	count float64
	sum   float64
	// target is the quality target of the route.
	target float64
}

// tokenCounts holds the tokens that a team requested and was served in a
// window.
type tokenCounts struct {
	demand, served float64
}

const (
	// fairnessWindow is the time over which the shares of the teams are
	// computed.
	fairnessWindow = 5 * time.Second
	// minScoredAnswers is the number of answers that a route needs for its mean
	// score to be compared with its target.
	minScoredAnswers = 200
)

func newCollector() *collector {
	return &collector{
		refusals:       map[faults.Kind]int{},
		firstToken:     latencies.NewHistogram(),
		total:          latencies.NewHistogram(),
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

// setConfig sets the configuration that the following measurements refer to.
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

// recordProgress records the step of a rollout and the withdrawal of its pool.
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

// recordServed records a request that was answered in full.
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

// checkInvariants counts forbidden answers and sessions that changed versions.
func (c *collector) checkInvariants(s *simulation, r *inFlightRequest) {
	pool := r.step.Pool
	if !slices.Contains(r.task.Entry.Route.Pools, pool.Name) {
		c.forbidden++
	}
	// Instances learn of a withdrawal after the fleet lag.
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

// windowCounts returns the token counts of the arrival's team in the window
// that holds the time at.
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

func (c *collector) recordGroundTruth(_ time.Duration, truth traces.GroundTruth) {
	c.badPools[truth.Pool] = truth.Bad
}

// results returns the measurements at the end of a replay.
func (c *collector) results(s *simulation) Results {
	results := Results{
		Trace:             s.header.Name,
		Policy:            s.policy,
		Requests:          c.requests,
		Served:            c.served,
		Refusals:          c.refusals,
		TotalCost:         c.cost,
		FirstTokenLatency: Latency(latencies.QuantilesOf(c.firstToken)),
		TotalLatency:      Latency(latencies.QuantilesOf(c.total)),
		TrueWithdrawals:   c.trueWithdrawals,
		FalseWithdrawals:  c.falseWithdrawals,
		MovedSessions:     len(c.movedSessions),
		ForbiddenAnswers:  c.forbidden,
	}
	for pool, bad := range c.badPools {
		if _, withdrawn := c.withdrawnAt[pool]; bad && !withdrawn {
			results.MissedWithdrawals++
		}
	}
	for _, step := range c.rolloutSteps {
		results.RolloutSteps += step
	}
	results.EscalatedShare = ratio(float64(c.escalated), float64(c.served))
	results.ExposedShare = ratio(float64(len(c.exposedCallers)), c.callersPerHour(s.now()))
	results.MeanQuality, results.QualityMargin = c.quality()
	results.MinServedRatio, results.FairnessIndex = c.fairness()
	return results
}

// callersPerHour returns the number of callers in the trace, scaled up to an
// hour if the trace is shorter.
func (c *collector) callersPerHour(length time.Duration) float64 {
	return float64(len(c.callers)) * max(1, time.Hour.Seconds()/max(1, length.Seconds()))
}

// quality returns the mean score of all answers and the smallest difference
// between a route's mean score and its target.
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

// fairness returns the smallest ratio of served to due tokens among the teams
// and Jain's index of these ratios. The tokens are summed over all windows
// first, because one window holds only a few requests of different sizes and
// its ratios depend mostly on chance.
func (c *collector) fairness() (minServedRatio, fairnessIndex float64) {
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
	minServedRatio = 1
	count, sum, squares := 0.0, 0.0, 0.0
	for _, team := range slices.Sorted(maps.Keys(dueTokens)) {
		servedShare := ratio(servedTokens[team], dueTokens[team])
		minServedRatio = min(minServedRatio, servedShare)
		count++
		sum += servedShare
		squares += servedShare * servedShare
	}
	return minServedRatio, ratio(sum*sum, count*squares)
}

// newClaim returns the claim of a team that requested the given number of
// tokens in one window.
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

// Value returns the value of a metric by its name in outcome files, and false
// if there is no such metric.
func (r Results) Value(metric string) (float64, bool) {
	value, ok := map[string]float64{
		"cost_micros":       float64(r.TotalCost),
		"cost_per_request":  ratio(float64(r.TotalCost), float64(r.Served)),
		"quality":           r.MeanQuality,
		"quality_margin":    r.QualityMargin,
		"first_token_p50":   r.FirstTokenLatency.P50,
		"first_token_p95":   r.FirstTokenLatency.P95,
		"first_token_p99":   r.FirstTokenLatency.P99,
		"total_p95":         r.TotalLatency.P95,
		"exposed_callers":   r.ExposedShare,
		"false_withdrawals": float64(r.FalseWithdrawals),
		"withdrawn":         float64(r.TrueWithdrawals),
		"missed":            float64(r.MissedWithdrawals),
		"rollout_steps":     float64(r.RolloutSteps),
		"worst_share":       r.MinServedRatio,
		"jain_index":        r.FairnessIndex,
		"moved_sessions":    float64(r.MovedSessions),
		"forbidden":         float64(r.ForbiddenAnswers),
		"served_share":      ratio(float64(r.Served), float64(r.Requests)),
	}[metric]
	return value, ok
}

// ratio returns a/b, or 0 if b is zero or not a number.
func ratio(a, b float64) float64 {
	if b == 0 || math.IsNaN(b) {
		return 0
	}
	return a / b
}

// requestTokens returns the size of a request in tokens: its prompt and the
// last of its recorded answers.
func requestTokens(arrival *traces.Arrival) float64 {
	return float64(arrival.PromptTokens + arrival.Answers[len(arrival.Answers)-1].Tokens)
}
