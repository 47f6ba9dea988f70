package loadsim

import (
	"fmt"
	"slices"
	"strings"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/tables"
)

// Policy is a variant of the dispatch decisions to compare with. Its zero value
// uses all decisions unchanged.
type Policy struct {
	// FilterModels returns the models that a route offers. Nil means all.
	FilterModels func(all []tables.ModelID) []tables.ModelID
	// MapConfidence replaces the confidence that an engine reports for an
	// answer. Nil means unchanged.
	MapConfidence func(reported int) int
	// EditRequest changes a request before its admission. Nil means unchanged.
	EditRequest func(r *dispatch.Request)
	// EditCall changes a call before it is sent. Nil means unchanged.
	EditCall func(c *dispatch.Call)
}

// PolicyFull is the name of the policy that uses all decisions.
const PolicyFull = "full"

// policies are all policies by name. Each but PolicyFull fixes or omits one
// decision.
var policies = map[string]Policy{
	PolicyFull:       {},
	"always_largest": {FilterModels: func(all []tables.ModelID) []tables.ModelID { return all[len(all)-1:] }},
	"always_smallest": {
		FilterModels: func(all []tables.ModelID) []tables.ModelID { return all[:1] },
	},
	// A confidence of 0 or 100 is so far from the dispatcher's own threshold
	// that only the fixed threshold decides.
	"threshold_40": {MapConfidence: confidenceThreshold(40)},
	"threshold_55": {MapConfidence: confidenceThreshold(55)},
	"threshold_70": {MapConfidence: confidenceThreshold(70)},
	// The remaining ones omit the placement by shared prompt parts, the order by
	// urgency, and the transfer of cached parts between engines.
	"no_places": {EditRequest: func(r *dispatch.Request) { r.SharedPartsHash = 0 }},
	"no_order":  {EditCall: func(c *dispatch.Call) { c.Urgency = nil }},
	"no_fetch":  {EditCall: func(c *dispatch.Call) { c.CacheSource = "" }},
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func policyByName(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return p, fmt.Errorf("policy %q is not known; want one of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return p, nil
}

// confidenceThreshold returns a function that maps a reported confidence to 100
// from minConfidence on, and to 0 below it.
func confidenceThreshold(minConfidence int) func(int) int {
	return func(reported int) int {
		if reported < minConfidence {
			return 0
		}
		return 100
	}
}

// offeredModels returns the models that a route offers under the policy.
func (p Policy) offeredModels(all []tables.ModelID) []tables.ModelID {
	if p.FilterModels == nil {
		return all
	}
	return p.FilterModels(all)
}

func (p Policy) mapConfidence(reported int) int {
	if p.MapConfidence == nil {
		return reported
	}
	return p.MapConfidence(reported)
}

// editRequest applies EditRequest unless it is nil.
func (p Policy) editRequest(r *dispatch.Request) {
	if p.EditRequest != nil {
		p.EditRequest(r)
	}
}

// editCall applies EditCall unless it is nil.
func (p Policy) editCall(c *dispatch.Call) {
	if p.EditCall != nil {
		p.EditCall(c)
	}
}
