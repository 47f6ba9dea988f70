package tables

import (
	"slices"
	"strings"
	"time"
)

// An Allowance is what a team may use of a service over the whole fleet. A
// zero limit means no limit of that sort.
type Allowance struct {
	// Concurrency is the number of requests that may run at once.
	Concurrency int `json:"concurrency"`
	// RequestsPerSecond is the sustained rate of requests.
	RequestsPerSecond float64 `json:"requests_per_s"`
	// TokensPerSecond is the sustained rate of prompt and answer tokens.
	TokensPerSecond float64 `json:"tokens_per_s"`
	// Weight is the share when capacity is short, relative to other teams.
	// Zero counts as one.
	Weight float64 `json:"weight"`
}

// A FencingMode says what the engines of a pool do with fencing numbers.
type FencingMode string

// A Kind says what sort of upstreams a pool has.
type Kind string

// A Pool is a row of the pools table.
type Pool struct {
	// Name is unique in the table.
	Name    PoolID    `json:"name"`
	Service ServiceID `json:"service"`
	Kind    Kind      `json:"kind"`
	// Model and Version are set for pools of model engines only.
	Model   ModelID   `json:"model,omitempty"`
	Version VersionID `json:"version,omitempty"`
	// PromptCost and AnswerCost are for a thousand tokens, CallCost for a
	// call.
	PromptCost MicroCost `json:"prompt_cost_per_1k_micros,omitempty"`
	AnswerCost MicroCost `json:"answer_cost_per_1k_micros,omitempty"`
	CallCost   MicroCost `json:"call_cost_micros,omitempty"`
	// Concurrency is the number of requests an upstream runs at once.
	Concurrency int `json:"concurrency_per_upstream"`
	// Fencing says whether the engines refuse orders with an old fencing
	// number.
	Fencing FencingMode `json:"fencing,omitempty"`
	// Rollout is set while the version replaces another one.
	Rollout *Rollout `json:"rollout,omitempty"`
	// Withdrawn pools get no new work.
	Withdrawn bool       `json:"withdrawn,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
}

// A Rollout replaces one pool's version by another's in steps of exposure.
type Rollout struct {
	// Replaces names a pool of the same service and model.
	Replaces PoolID `json:"replaces"`
	// Steps are shares of callers, rising, the last one 1.
	Steps []float64 `json:"steps"`
	// StepMin is the shortest stay on a step.
	StepMin Millis `json:"step_min_ms"`
	// StepMax is the longest stay on a step without evidence to go on; after
	// it the rollout goes back.
	StepMax Millis `json:"step_max_ms"`
}

// A Route is a row of the routes table: what a team may use of a service for
// one class of requests.
type Route struct {
	Team    TeamID    `json:"team"`
	Service ServiceID `json:"service"`
	Class   ClassID   `json:"class"`
	// Methods and Paths select the requests to a plain service that belong to
	// the row: the HTTP method, and the beginning of the path. An empty list
	// selects all.
	Methods []string `json:"methods,omitempty"`
	Paths   []string `json:"paths,omitempty"`
	// Credentials are lower-case hex SHA-256 sums of the bearer credentials.
	Credentials []string `json:"credentials_sha256"`
	// Pools lists the pools allowed, by name. Pools of one model form a
	// stage of the cascade; stages run in the order of first appearance.
	Pools []PoolID `json:"pools"`
	// QualityTarget is the least mean rating of answers, from 0 to 1.
	QualityTarget float64   `json:"quality_target,omitempty"`
	Allowance     Allowance `json:"allowance"`
	// Priority orders requests when capacity is short; higher goes first
	// within a team's due share.
	Priority int `json:"priority"`
	// Deadline bounds a request from arrival to the end of its answer.
	Deadline Millis `json:"deadline_ms"`
	// FirstToken bounds the wait from arrival to the first token. Zero means
	// that only Deadline bounds it.
	FirstToken Millis `json:"first_token_ms,omitempty"`
	// Idempotent says that a call may be repeated without harm.
	Idempotent bool `json:"idempotent"`
}

// An Upstream is one server of a pool.
type Upstream struct {
	Name       UpstreamID   `json:"name"`
	Address    string       `json:"address"`
	DataCenter DataCenterID `json:"data_center"`
	// Leaving upstreams finish what they have and get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// The kinds of pools.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// The fencing modes. An empty mode means that the pool takes no orders.
const (
	FencingChecked FencingMode = "checked"
	FencingIgnored FencingMode = "ignored"
)

const tokensPerCostUnit = 1000

// Cost returns what a call with these token counts costs.
func (p *Pool) Cost(prompt, answer Tokens) MicroCost {
	tokens := int64(prompt)*int64(p.PromptCost) + int64(answer)*int64(p.AnswerCost)
	return p.CallCost + MicroCost(tokens/tokensPerCostUnit)
}

// Matches reports whether a request to a plain service belongs to the row.
func (r *Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if len(r.Paths) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Paths, func(prefix string) bool { return pathHasPrefix(path, prefix) })
}

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// ShareWeight returns the weight, with the default of one.
func (a Allowance) ShareWeight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

// pathHasPrefix reports whether the path is the prefix or lies below it.
func pathHasPrefix(path, prefix string) bool {
	suffix, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (suffix == "" || suffix[0] == '/')
}
