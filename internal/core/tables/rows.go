package tables

import (
	"slices"
	"strings"
	"time"
)

// An Allowance limits a team's use of a service over the whole fleet. A zero
// limit means no limit.
type Allowance struct {
	// Concurrency is the number of requests that may run at once.
	Concurrency int `json:"concurrency"`
	// RequestsPerSecond is the sustained rate of requests.
	RequestsPerSecond float64 `json:"requests_per_s"`
	// TokensPerSecond is the sustained rate of prompt and answer tokens.
	TokensPerSecond float64 `json:"tokens_per_s"`
	// Weight is the team's share of capacity relative to other teams when
	// capacity is short. Zero means one.
	Weight float64 `json:"weight"`
}

// A FencingMode is whether the engines of a pool check fencing tokens.
type FencingMode string

// A Kind is the sort of upstreams that a pool has.
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
	// PromptCost and AnswerCost are per thousand tokens, CallCost per call.
	PromptCost MicroCost `json:"prompt_cost_per_1k_micros,omitempty"`
	AnswerCost MicroCost `json:"answer_cost_per_1k_micros,omitempty"`
	CallCost   MicroCost `json:"call_cost_micros,omitempty"`
	// Concurrency is the number of requests that an upstream runs at once.
	Concurrency int `json:"concurrency_per_upstream"`
	// Fencing is whether the engines reject orders with an old fencing token.
	Fencing FencingMode `json:"fencing,omitempty"`
	// Rollout is set while the version replaces another one, else nil.
	Rollout *Rollout `json:"rollout,omitempty"`
	// Withdrawn is true if the pool gets no new requests.
	Withdrawn bool       `json:"withdrawn,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
}

// A Rollout replaces one pool's version with another's, exposing it to a rising
// share of callers.
type Rollout struct {
	// Replaces names a pool of the same service and model.
	Replaces PoolID `json:"replaces"`
	// Steps are the exposed shares of callers, rising from above 0 to 1.
	Steps []float64 `json:"steps"`
	// StepMin is the minimum time on a step.
	StepMin Millis `json:"step_min_ms"`
	// StepMax is the maximum time on a step. Without enough evidence for the
	// next step by then, the version is withdrawn.
	StepMax Millis `json:"step_max_ms"`
}

// A Route is a row of the routes table: what a team may use of a service for
// one class of requests.
type Route struct {
	Team    TeamID    `json:"team"`
	Service ServiceID `json:"service"`
	Class   ClassID   `json:"class"`
	// Methods and Paths select the requests to a plain service that belong to
	// the row, by HTTP method and by path prefix in whole segments. An empty
	// list selects all.
	Methods []string `json:"methods,omitempty"`
	Paths   []string `json:"paths,omitempty"`
	// Credentials are the SHA-256 sums of the bearer credentials in lower-case
	// hex.
	Credentials []string `json:"credentials_sha256"`
	// Pools lists the allowed pools by name. Pools of one model form a stage of
	// the cascade. Stages are tried in the order of first appearance.
	Pools []PoolID `json:"pools"`
	// QualityTarget is the minimum mean rating of answers, from 0 to 1.
	QualityTarget float64   `json:"quality_target,omitempty"`
	Allowance     Allowance `json:"allowance"`
	// Priority orders requests when capacity is short: a higher one goes first
	// within the team's share.
	Priority int `json:"priority"`
	// Deadline is the maximum time from a request's arrival to the end of its
	// answer.
	Deadline Millis `json:"deadline_ms"`
	// FirstToken is the maximum time from arrival to the first token. Zero
	// means that only Deadline applies.
	FirstToken Millis `json:"first_token_ms,omitempty"`
	// Idempotent is true if a call may safely be repeated.
	Idempotent bool `json:"idempotent"`
}

// An Upstream is one server of a pool.
type Upstream struct {
	Name       UpstreamID   `json:"name"`
	Address    string       `json:"address"`
	DataCenter DataCenterID `json:"data_center"`
	// Draining is true if the upstream finishes its requests and gets no new
	// ones.
	Draining bool `json:"leaving,omitempty"`
}

// The kinds of pools.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// The fencing modes. An empty mode means that the pool gets no orders.
const (
	FencingChecked FencingMode = "checked"
	FencingIgnored FencingMode = "ignored"
)

// tokensPerCostUnit is the number of tokens that a pool's costs are for.
const tokensPerCostUnit = 1000

// Cost returns the cost of a call with the given numbers of tokens.
func (p *Pool) Cost(prompt, answer Tokens) MicroCost {
	tokens := int64(prompt)*int64(p.PromptCost) + int64(answer)*int64(p.AnswerCost)
	return p.CallCost + MicroCost(tokens/tokensPerCostUnit)
}

// Matches reports whether Methods and Paths select a request to a plain
// service.
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

// WeightOrDefault returns the weight, or one if it is not set.
func (a Allowance) WeightOrDefault() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

// pathHasPrefix reports whether the path is the prefix or is below it. The
// prefix matches whole segments: /a matches /a/b but not /ab.
func pathHasPrefix(path, prefix string) bool {
	suffix, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (suffix == "" || suffix[0] == '/')
}
