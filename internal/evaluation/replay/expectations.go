package replay

import (
	"bytes"
	"fmt"

	"mimosayard/internal/core/tables"
)

// An Expectation is the content of an outcome file.
type Expectation struct {
	Outcomes []Outcome `json:"outcomes"`
}

// An Outcome is a bound on a metric.
type Outcome struct {
	Metric string `json:"metric"`
	// Policy is the policy whose metric is checked. An empty string stands for
	// PolicyFull.
	Policy string `json:"policy,omitempty"`
	// AtLeast and AtMost are inclusive bounds. A nil bound is not checked.
	AtLeast *float64 `json:"at_least,omitempty"`
	AtMost  *float64 `json:"at_most,omitempty"`
	// Baseline names a baseline policy. If it is set, the bounds apply to the
	// ratio of the policy's value to the baseline's value.
	Baseline string `json:"against,omitempty"`
	// Requirement states the requirement from which the bounds follow.
	Requirement string `json:"target"`
}

// A Verdict holds the measured value of an outcome and whether its bounds hold.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	Value   float64 `json:"value"`
	Passed  bool    `json:"holds"`
}

// Check replays the trace once for each policy that the outcomes name and
// returns a verdict for each outcome. The file name is used in errors. It
// returns an error if a replay fails or a metric is unknown.
func Check(file string, trace []byte, expectation Expectation) ([]Verdict, error) {
	resultsByPolicy := map[string]Results{}
	resultsOf := func(policy string) (Results, error) {
		if policy == "" {
			policy = PolicyFull
		}
		if results, ok := resultsByPolicy[policy]; ok {
			return results, nil
		}
		results, err := Run(file, bytes.NewReader(trace), policy)
		resultsByPolicy[policy] = results
		return results, err
	}
	var verdicts []Verdict
	for _, outcome := range expectation.Outcomes {
		results, err := resultsOf(outcome.Policy)
		if err != nil {
			return nil, err
		}
		value, ok := results.Value(outcome.Metric)
		if !ok {
			return nil, fmt.Errorf("no metric is named %q", outcome.Metric)
		}
		if outcome.Baseline != "" {
			baseline, err := resultsOf(outcome.Baseline)
			if err != nil {
				return nil, err
			}
			baselineValue, _ := baseline.Value(outcome.Metric)
			value = ratio(value, baselineValue)
		}
		verdicts = append(verdicts, Verdict{outcome, value, outcome.holds(value)})
	}
	return verdicts, nil
}

// ParseExpectation parses an outcome file. It returns an error for unknown
// fields, metrics or policies, for an empty list of outcomes, and for an
// outcome without bounds.
func ParseExpectation(file string, data []byte) (Expectation, error) {
	var expectation Expectation
	if err := tables.DecodeStrict(data, &expectation); err != nil {
		return expectation, fmt.Errorf("%s: %w", file, err)
	}
	if len(expectation.Outcomes) == 0 {
		return expectation, fmt.Errorf("%s: outcomes is empty; want at least one", file)
	}
	for n, outcome := range expectation.Outcomes {
		if outcome.AtLeast == nil && outcome.AtMost == nil {
			return expectation, fmt.Errorf("%s: outcome %d: at_least or at_most is required", file, n+1)
		}
		if _, ok := (Results{}).Value(outcome.Metric); !ok {
			return expectation, fmt.Errorf("%s: outcome %d: no metric is named %q", file, n+1, outcome.Metric)
		}
		for _, policy := range []string{outcome.Policy, outcome.Baseline} {
			if _, err := newPolicy(policy); err != nil {
				return expectation, fmt.Errorf("%s: outcome %d: %w", file, n+1, err)
			}
		}
	}
	return expectation, nil
}

// String returns the verdict as one line of text.
func (v Verdict) String() string {
	status := "holds"
	if !v.Passed {
		status = "FAILS"
	}
	subject := v.Outcome.Metric
	if v.Outcome.Policy != "" {
		subject += " of " + v.Outcome.Policy
	}
	if v.Outcome.Baseline != "" {
		subject += " against " + v.Outcome.Baseline
	}
	return fmt.Sprintf("%s  %s is %.4g, want %s", status, subject, v.Value, v.Outcome.bounds())
}

// bounds returns the bounds as text.
func (o Outcome) bounds() string {
	switch {
	case o.AtLeast != nil && o.AtMost != nil:
		return fmt.Sprintf("%.4g to %.4g", *o.AtLeast, *o.AtMost)
	case o.AtLeast != nil:
		return fmt.Sprintf("at least %.4g", *o.AtLeast)
	}
	return fmt.Sprintf("at most %.4g", *o.AtMost)
}

// holds reports whether a value is within the bounds.
func (o Outcome) holds(value float64) bool {
	if o.AtLeast != nil && value < *o.AtLeast {
		return false
	}
	return o.AtMost == nil || value <= *o.AtMost
}
