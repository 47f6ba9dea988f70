package loads

import "fmt"

// A Verdict says whether a measure keeps its bound.
type Verdict struct {
	Expect Expect  `json:"expect"`
	Value  float64 `json:"value"`
	Holds  bool    `json:"holds"`
}

// String returns the verdict as a line.
func (v Verdict) String() string {
	state := "fails"
	if v.Holds {
		state = "holds"
	}
	bound := ""
	if v.Expect.Least != nil {
		bound = fmt.Sprintf("at least %v", *v.Expect.Least)
	}
	if v.Expect.Most != nil {
		bound = fmt.Sprintf("at most %v", *v.Expect.Most)
	}
	return fmt.Sprintf("%s  %s is %.4f, want %s (%s)", state, v.Expect.Measure, v.Value, bound, v.Expect.Source)
}

// measures are the measures that may be bounded.
var measures = map[string]func(r Results) float64{
	"worth":      func(r Results) float64 { return r.Worth },
	"earned":     func(r Results) float64 { return r.Earned },
	"in_time":    func(r Results) float64 { return r.InTime },
	"lost":       func(r Results) float64 { return r.Lost },
	"refusal_ms": func(r Results) float64 { return r.RefusalMS },
	// The part of the requests that are served against that of all, for the
	// class, team, size or data centre that is worst off.
	"worst_class":       func(r Results) float64 { return worst(r, r.Classes) },
	"worst_team":        func(r Results) float64 { return worst(r, r.Teams) },
	"worst_size":        func(r Results) float64 { return worst(r, r.Sizes) },
	"worst_data_center": func(r Results) float64 { return worst(r, r.DataCenters) },
	// The same for those served in time.
	"worst_team_in_time":        func(r Results) float64 { return worstInTime(r, r.Teams) },
	"worst_data_center_in_time": func(r Results) float64 { return worstInTime(r, r.DataCenters) },
}

// Check holds results against what the load expects.
func Check(load Load, r Results) ([]Verdict, error) {
	var verdicts []Verdict
	for _, expect := range load.Expects {
		measure, ok := measures[expect.Measure]
		if !ok {
			return nil, fmt.Errorf("measure %q is not known", expect.Measure)
		}
		value := measure(r)
		holds := (expect.Least == nil || value >= *expect.Least) && (expect.Most == nil || value <= *expect.Most)
		verdicts = append(verdicts, Verdict{expect, value, holds && (expect.Least != nil || expect.Most != nil)})
	}
	return verdicts, nil
}

func worst(r Results, shares []Share) float64 {
	least := 1.0
	for _, s := range shares {
		least = min(least, (1-s.Lost)/max(1-r.Lost, 1e-9))
	}
	return least
}

func worstInTime(r Results, shares []Share) float64 {
	least := 1.0
	for _, s := range shares {
		least = min(least, s.InTime/max(r.InTime, 1e-9))
	}
	return least
}
