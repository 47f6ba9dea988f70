package loadsim

import "fmt"

// Verdict is the result of checking a measure against its bound.
type Verdict struct {
	Expectation Expectation `json:"expect"`
	Value       float64     `json:"value"`
	Passed      bool        `json:"holds"`
}

// String returns the verdict as one line of text.
func (v Verdict) String() string {
	status := "fails"
	if v.Passed {
		status = "holds"
	}
	bound := ""
	if v.Expectation.Min != nil {
		bound = fmt.Sprintf("at least %v", *v.Expectation.Min)
	}
	if v.Expectation.Max != nil {
		bound = fmt.Sprintf("at most %v", *v.Expectation.Max)
	}
	return fmt.Sprintf("%s  %s is %.4f, want %s (%s)", status, v.Expectation.Measure, v.Value, bound, v.Expectation.Source)
}

// measures are the measures that an Expectation may bound, by name.
var measures = map[string]func(r Results) float64{
	"worth":            func(r Results) float64 { return r.NetValue },
	"earned":           func(r Results) float64 { return r.EarnedValue },
	"in_time":          func(r Results) float64 { return r.InTime },
	"lost":             func(r Results) float64 { return r.Lost },
	"given_up":         func(r Results) float64 { return r.GivenUp },
	"refusal_ms":       func(r Results) float64 { return r.MaxRefusalMS },
	"crashes":          func(r Results) float64 { return float64(r.Crashes) },
	"late_crash_calls": func(r Results) float64 { return float64(r.LateCrashCalls) },
	"busiest_to_mean":  func(r Results) float64 { return r.BusiestToMean },
	"busiest_window":   func(r Results) float64 { return r.BusiestToMeanWindow },
	"engine_work_ms":   func(r Results) float64 { return r.EngineWorkMS },
	"first_p99_ms":     func(r Results) float64 { return r.FirstEventMS.P99 },
	"beside_crashes":   func(r Results) float64 { return r.BesideCrashes },
	// The fraction of served requests relative to that of all requests, for the
	// class, team, size or data centre with the lowest.
	"worst_class":       func(r Results) float64 { return worstServedRatio(r, r.Classes) },
	"worst_team":        func(r Results) float64 { return worstServedRatio(r, r.Teams) },
	"worst_size":        func(r Results) float64 { return worstServedRatio(r, r.Sizes) },
	"worst_data_center": func(r Results) float64 { return worstServedRatio(r, r.DataCenters) },
	// The same for requests that are served in time.
	"worst_team_in_time":        func(r Results) float64 { return worstInTimeRatio(r, r.Teams) },
	"worst_data_center_in_time": func(r Results) float64 { return worstInTimeRatio(r, r.DataCenters) },
}

// Check compares results with the expectations of the load. It returns an error
// if an expectation names an unknown measure. An expectation without a bound
// fails.
func Check(load Load, r Results) ([]Verdict, error) {
	var verdicts []Verdict
	for _, expectation := range load.Expectations {
		measure, ok := measures[expectation.Measure]
		if !ok {
			return nil, fmt.Errorf("measure %q is not known", expectation.Measure)
		}
		value := measure(r)
		holds := (expectation.Min == nil || value >= *expectation.Min) && (expectation.Max == nil || value <= *expectation.Max)
		verdicts = append(verdicts, Verdict{expectation, value, holds && (expectation.Min != nil || expectation.Max != nil)})
	}
	return verdicts, nil
}

func worstServedRatio(r Results, groups []OutcomeShares) float64 {
	lowest := 1.0
	for _, s := range groups {
		lowest = min(lowest, (1-s.Lost)/max(1-r.Lost, 1e-9))
	}
	return lowest
}

func worstInTimeRatio(r Results, groups []OutcomeShares) float64 {
	lowest := 1.0
	for _, s := range groups {
		lowest = min(lowest, s.InTime/max(r.InTime, 1e-9))
	}
	return lowest
}
