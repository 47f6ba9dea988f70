// Package loads plays synthetic loads through the decisions for model upstreams
// and measures what callers get.
//
// The decisions are the live ones, of several instances that hear of each other
// late. Around them are emulated engines, models of unlike pace and quality, and
// callers.
package loads

import (
	"errors"
	"fmt"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/batches"
)

// A Load says what callers ask for, what serves them, and what goes wrong.
type Load struct {
	Name            string  `json:"name"`
	DurationSeconds float64 `json:"seconds"`
	// Instances is the number of router instances. They and the engines are
	// spread over the data centres in turn.
	Instances    int                   `json:"instances"`
	DataCenters  []tables.DataCenterID `json:"data_centers"`
	Engines      int                   `json:"engines"`
	EngineConfig batches.Config        `json:"figures"`
	// Models are smallest first.
	Models       []Model       `json:"models"`
	Classes      []Class       `json:"classes"`
	Teams        []Team        `json:"teams"`
	Surges       []Surge       `json:"surges,omitempty"`
	Faults       []Fault       `json:"faults,omitempty"`
	Expectations []Expectation `json:"expects,omitempty"`
}

// A Model is one of the models that all engines serve.
type Model struct {
	Name       tables.ModelID `json:"name"`
	TimeFactor float64        `json:"pace"`
	// Quality is the part of the requests that the model answers rightly.
	Quality float64 `json:"quality"`
	// Cost is the price of a thousand tokens that are made; tokens that are read
	// cost a quarter.
	CostPerThousandTokens float64 `json:"cost"`
}

// A Class is a kind of request.
type Class struct {
	Name              tables.ClassID `json:"name"`
	RequestsPerSecond float64        `json:"per_second"`
	// Prompt is the mean of the tokens of a caller's own, and Shared the means
	// of the parts before them, of which there are Things different ones.
	PromptTokens  float64   `json:"prompt"`
	SharedTokens  []float64 `json:"shared,omitempty"`
	VariantCounts []int     `json:"things,omitempty"`
	AnswerTokens  float64   `json:"answer"`
	// TargetMS is the time to the first event that earns the whole worth; a
	// late answer earns a LatePart of it.
	TargetMS   float64 `json:"target_ms"`
	DeadlineMS float64 `json:"deadline_ms"`
	Value      float64 `json:"worth"`
	LateFactor float64 `json:"late_part"`
}

// A Team sends a part of the requests.
type Team struct {
	Name   tables.TeamID `json:"name"`
	Weight float64       `json:"weight"`
}

// A Surge multiplies the requests of a class or a team, or of all, for a while,
// or gives a part of a class's requests the same shared parts.
type Surge struct {
	StartSeconds    float64        `json:"at"`
	DurationSeconds float64        `json:"for"`
	Class           tables.ClassID `json:"class,omitempty"`
	Team            tables.TeamID  `json:"team,omitempty"`
	RateFactor      float64        `json:"times,omitempty"`
	// PromptTimes multiplies the callers' own tokens.
	PromptFactor    float64 `json:"prompt_times,omitempty"`
	HotVariantShare float64 `json:"one_thing,omitempty"`
}

// A Fault harms engines from the number First on.
type Fault struct {
	StartSeconds    float64 `json:"at"`
	DurationSeconds float64 `json:"for"`
	FirstEngine     int     `json:"first"`
	EngineCount     int     `json:"count"`
	// Down engines lose all that they run. Gap is the time between the faults
	// of one and the next, as in a rolling replacement.
	Down            bool    `json:"down,omitempty"`
	IntervalSeconds float64 `json:"gap,omitempty"`
	// Fails is the part of the requests that fail, Slow the factor of each step.
	FailureRate    float64 `json:"fails,omitempty"`
	StepTimeFactor float64 `json:"slow,omitempty"`
}

// An Expect bounds a measure of the results from below or from above.
type Expectation struct {
	Measure string   `json:"measure"`
	Min     *float64 `json:"least,omitempty"`
	Max     *float64 `json:"most,omitempty"`
	// Source says which target the bound comes from.
	Source string `json:"source"`
}

// Read reads a load. Unknown fields are mistakes.
func Read(data []byte) (Load, error) {
	var load Load
	if err := tables.DecodeStrict(data, &load); err != nil {
		return load, fmt.Errorf("load cannot be read: %w", err)
	}
	return load, load.validate()
}

func (l *Load) validate() error {
	switch {
	case l.DurationSeconds <= 0:
		return fmt.Errorf("seconds is %v; want more than 0", l.DurationSeconds)
	case l.Instances < 1, l.Engines < 1, len(l.DataCenters) < 1:
		return fmt.Errorf("instances, engines and data_centers are %d, %d and %d; want one of each", l.Instances, l.Engines, len(l.DataCenters))
	case len(l.Models) < 1, len(l.Classes) < 1, len(l.Teams) < 1:
		return fmt.Errorf("models, classes and teams are %d, %d and %d; want one of each", len(l.Models), len(l.Classes), len(l.Teams))
	case l.EngineConfig.Slots < 1, l.EngineConfig.ChunkTokens < 1, l.EngineConfig.PrefillTokensPerMS <= 0, l.EngineConfig.StepMS <= 0:
		return errors.New("figures: slots, chunk, read_per_ms and step_ms must be more than 0")
	}
	for _, c := range l.Classes {
		if len(c.SharedTokens) != len(c.VariantCounts) {
			return fmt.Errorf("class %s has %d shared parts and %d numbers of things", c.Name, len(c.SharedTokens), len(c.VariantCounts))
		}
	}
	for _, f := range l.Faults {
		if f.FirstEngine < 0 || f.FirstEngine+f.EngineCount > l.Engines {
			return fmt.Errorf("a fault names engines %d to %d of %d", f.FirstEngine, f.FirstEngine+f.EngineCount-1, l.Engines)
		}
	}
	return nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
