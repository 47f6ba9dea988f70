// Package loadsim simulates synthetic loads on model upstreams and measures
// what callers get.
//
// The dispatchers are those of the live program, one for each of several
// instances that exchange their totals with a delay. The engines, the models of
// different speed and quality, and the callers are emulated.
package loadsim

import (
	"fmt"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/batching"
)

// Load describes the requests of callers, the engines and models that serve
// them, and the faults of the engines.
type Load struct {
	Name            string  `json:"name"`
	DurationSeconds float64 `json:"seconds"`
	// Instances is the number of router instances. They and the engines are
	// spread over the data centres in turn.
	Instances    int                   `json:"instances"`
	DataCenters  []tables.DataCenterID `json:"data_centers"`
	Engines      int                   `json:"engines"`
	EngineConfig batching.Config       `json:"figures"`
	// Models are sorted from the smallest to the largest.
	Models  []Model `json:"models"`
	Classes []Class `json:"classes"`
	Teams   []Team  `json:"teams"`
	Surges  []Surge `json:"surges,omitempty"`
	Faults  []Fault `json:"faults,omitempty"`
	Cuts    []Cut   `json:"cuts,omitempty"`
	// PowerLossSeconds is when all instances lose power and start anew, zero for never.
	// They restore the quarantine from the store.
	PowerLossSeconds float64       `json:"power_loss,omitempty"`
	CrashingPart     *CrashingPart `json:"crashing_part,omitempty"`
	// Paces makes the engines state four figures of their load.
	Paces *Paces `json:"paces,omitempty"`
	// ExchangeMS is the time between two exchanges of the fleet's totals, which are between
	// one and two of these times old when they are used. Zero means half a second.
	ExchangeMS   float64       `json:"exchange_ms,omitempty"`
	Expectations []Expectation `json:"expects,omitempty"`
}

// Model is one of the models that all engines serve.
type Model struct {
	Name tables.ModelID `json:"name"`
	// TimeFactor multiplies the time that the model takes on an engine.
	TimeFactor float64 `json:"pace"`
	// Quality is the fraction of the requests that the model answers correctly.
	Quality float64 `json:"quality"`
	// CostPerThousandTokens is the price of a thousand generated tokens, in the
	// unit of Class.Value. Prompt tokens cost a quarter of it.
	CostPerThousandTokens float64 `json:"cost"`
}

// Class is a kind of request with its rate, sizes, deadlines and value.
type Class struct {
	Name              tables.ClassID `json:"name"`
	RequestsPerSecond float64        `json:"per_second"`
	// PromptTokens is the mean number of tokens in a caller's own part of the
	// prompt. SharedTokens are the means of the shared parts before it, and
	// VariantCounts the numbers of different variants of each shared part.
	PromptTokens  float64   `json:"prompt"`
	SharedTokens  []float64 `json:"shared,omitempty"`
	VariantCounts []int     `json:"things,omitempty"`
	AnswerTokens  float64   `json:"answer"`
	// TargetMS is the time to the first event up to which an answer earns its
	// whole Value. A later answer earns LateFactor times its Value.
	TargetMS   float64 `json:"target_ms"`
	DeadlineMS float64 `json:"deadline_ms"`
	Value      float64 `json:"worth"`
	LateFactor float64 `json:"late_part"`
}

// Team sends a share of the requests in proportion to its weight.
type Team struct {
	Name   tables.TeamID `json:"name"`
	Weight float64       `json:"weight"`
}

// Surge multiplies the request rate of a class, of a team or of all for some
// time, or gives a share of the requests the same shared parts. Zero factors
// count as one.
type Surge struct {
	// StartSeconds is the time from the start of the load.
	StartSeconds    float64        `json:"at"`
	DurationSeconds float64        `json:"for"`
	Class           tables.ClassID `json:"class,omitempty"`
	Team            tables.TeamID  `json:"team,omitempty"`
	RateFactor      float64        `json:"times,omitempty"`
	// PromptFactor multiplies the mean number of tokens in the callers' own
	// parts.
	PromptFactor float64 `json:"prompt_times,omitempty"`
	// HotVariantShare is the probability that a shared part is set to its first
	// variant.
	HotVariantShare float64 `json:"one_thing,omitempty"`
}

// Fault impairs EngineCount engines from the index FirstEngine on.
type Fault struct {
	// StartSeconds is the time from the start of the load to the fault of the
	// first engine, and DurationSeconds the duration of each engine's fault.
	StartSeconds    float64 `json:"at"`
	DurationSeconds float64 `json:"for"`
	FirstEngine     int     `json:"first"`
	EngineCount     int     `json:"count"`
	// Down engines lose all their jobs. IntervalSeconds is the time between the
	// start of the fault at one engine and at the next, as in a rolling
	// replacement.
	Down            bool    `json:"down,omitempty"`
	IntervalSeconds float64 `json:"gap,omitempty"`
	// FailureRate is the fraction of the requests that fail, and StepTimeFactor
	// multiplies the time of each step.
	FailureRate    float64 `json:"fails,omitempty"`
	StepTimeFactor float64 `json:"slow,omitempty"`
	// AnswerLossRate is the fraction of the requests that the engine runs and whose
	// answers are lost by a reset, before their first event or during it.
	AnswerLossRate float64 `json:"loses,omitempty"`
	// Restarts makes a Down engine come back as a new process, which the instances hear of
	// EntryDelaySeconds later.
	Restarts          bool    `json:"restarts,omitempty"`
	EntryDelaySeconds float64 `json:"entry_delay,omitempty"`
}

// Cut separates InstanceCount instances from the index FirstInstance on from the sums of the
// fleet. Each of them then takes itself for the only one.
type Cut struct {
	StartSeconds    float64 `json:"at"`
	DurationSeconds float64 `json:"for"`
	FirstInstance   int     `json:"first"`
	InstanceCount   int     `json:"count"`
}

// CrashingPart adds requests to a class whose prompts have one part that crashes each
// engine which begins to answer them. These requests are not part of the results for
// callers.
type CrashingPart struct {
	StartSeconds    float64        `json:"at"`
	DurationSeconds float64        `json:"for"`
	Class           tables.ClassID `json:"class"`
	// SharedIndex is the index of the part among the shared parts of the prompt. The
	// other parts are drawn as those of other requests.
	SharedIndex       int     `json:"index"`
	RequestsPerSecond float64 `json:"per_second"`
	// Repeated makes all these requests copies of one, which crashes the engines by its
	// content. The parts that it shares are then sound.
	Repeated bool `json:"repeated,omitempty"`
	// RestartSeconds is the time from the crash of an engine to its restart as a new
	// process.
	RestartSeconds float64 `json:"restart"`
	// EntryDelaySeconds is the time from the restart until the instances hear of the new
	// process.
	EntryDelaySeconds float64 `json:"entry_delay,omitempty"`
}

// Paces are how long work takes on the engines, relative to the usual time.
type Paces struct {
	// Lasting are the lasting paces, which the engines have in turn.
	Lasting []float64 `json:"lasting"`
	// MomentFactor multiplies the pace of an engine for moments of MomentMS, with a mean time
	// of MomentIntervalSeconds between them. There are no moments if that is zero.
	MomentFactor          float64 `json:"moment_times,omitempty"`
	MomentMS              float64 `json:"moment_ms,omitempty"`
	MomentIntervalSeconds float64 `json:"moment_every,omitempty"`
	// StatesLasting makes the engines state their whole pace, otherwise only that of moments.
	StatesLasting bool `json:"states_lasting,omitempty"`
	// Unstated makes the engines state nothing, to compare with.
	Unstated bool `json:"unstated,omitempty"`
}

// Expectation bounds a measure of the results from below or from above.
type Expectation struct {
	Measure string   `json:"measure"`
	Min     *float64 `json:"least,omitempty"`
	Max     *float64 `json:"most,omitempty"`
	// Source names the target that the bound comes from.
	Source string `json:"source"`
}

// Decode decodes a load from JSON and validates it. It returns an error for
// unknown fields.
func Decode(data []byte) (Load, error) {
	var load Load
	if err := tables.DecodeStrict(data, &load); err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	return load, load.validate()
}

func (l *Load) validate() error {
	switch {
	case l.DurationSeconds <= 0:
		return fmt.Errorf("seconds is %v; want more than 0", l.DurationSeconds)
	case l.Instances < 1, l.Engines < 1, len(l.DataCenters) < 1:
		return fmt.Errorf("instances, engines and data_centers are %d, %d and %d; want at least one of each", l.Instances, l.Engines, len(l.DataCenters))
	case len(l.Models) < 1, len(l.Classes) < 1, len(l.Teams) < 1:
		return fmt.Errorf("models, classes and teams are %d, %d and %d; want at least one of each", len(l.Models), len(l.Classes), len(l.Teams))
	case l.EngineConfig.Slots < 1, l.EngineConfig.ChunkTokens < 1, l.EngineConfig.PrefillTokensPerMS <= 0, l.EngineConfig.StepMS <= 0:
		return fmt.Errorf("figures: slots, chunk, read_per_ms and step_ms are %d, %d, %v and %v; want more than 0",
			l.EngineConfig.Slots, l.EngineConfig.ChunkTokens, l.EngineConfig.PrefillTokensPerMS, l.EngineConfig.StepMS)
	}
	for _, c := range l.Classes {
		if len(c.SharedTokens) != len(c.VariantCounts) {
			return fmt.Errorf("class %q has %d entries in shared and %d in things; want as many", c.Name, len(c.SharedTokens), len(c.VariantCounts))
		}
	}
	if p := l.CrashingPart; p != nil && (p.RequestsPerSecond <= 0 || p.SharedIndex < 0 || p.SharedIndex >= l.sharedParts(p.Class)) {
		return fmt.Errorf("crashing_part has index %d and %v per_second; want one of the %d shared parts of class %q, and more than 0", p.SharedIndex, p.RequestsPerSecond, l.sharedParts(p.Class), p.Class)
	}
	for _, f := range l.Faults {
		if f.FirstEngine < 0 || f.FirstEngine+f.EngineCount > l.Engines {
			return fmt.Errorf("fault has engines %d to %d; the load has %d", f.FirstEngine, f.FirstEngine+f.EngineCount-1, l.Engines)
		}
	}
	for _, c := range l.Cuts {
		if c.FirstInstance < 0 || c.FirstInstance+c.InstanceCount > l.Instances {
			return fmt.Errorf("cut has instances %d to %d; the load has %d", c.FirstInstance, c.FirstInstance+c.InstanceCount-1, l.Instances)
		}
	}
	return nil
}

// sharedParts returns the number of shared parts in the prompts of a class, zero for an
// unknown class.
func (l *Load) sharedParts(class tables.ClassID) int {
	for _, c := range l.Classes {
		if c.Name == class {
			return len(c.SharedTokens)
		}
	}
	return 0
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
