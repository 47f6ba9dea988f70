package loads

import (
	"fmt"
	"slices"
	"strings"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/tables"
)

// A Policy is a way to use the decisions, to hold them against. Its zero value
// uses all of them.
type Policy struct {
	// Models returns the models that a route offers, nil for all.
	Models func(all []tables.ModelID) []tables.ModelID
	// Confidence replaces what the engines say about an answer.
	Confidence func(said int) int
	// Request takes something from what the decisions are told.
	Request func(r *dispatch.Request)
	// Call takes something from what they order.
	Call func(c *dispatch.Call)
}

// Full is the name of the policy that uses all decisions.
const Full = "full"

// policies are all policies by name.
var policies = map[string]Policy{
	Full:             {},
	"always_largest": {Models: func(all []tables.ModelID) []tables.ModelID { return all[len(all)-1:] }},
	"always_smallest": {
		Models: func(all []tables.ModelID) []tables.ModelID { return all[:1] },
	},
	// A confidence of 0 or 100 leaves the decision no room.
	"threshold_40": {Confidence: threshold(40)},
	"threshold_55": {Confidence: threshold(55)},
	"threshold_70": {Confidence: threshold(70)},
	"no_places":    {Request: func(r *dispatch.Request) { r.SharedPartsHash = 0 }},
	"no_order":     {Call: func(c *dispatch.Call) { c.Urgency = nil }},
	"no_fetch":     {Call: func(c *dispatch.Call) { c.CacheSource = "" }},
}

// Policies returns the names of all policies.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func policy(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return p, fmt.Errorf("policy %q is not known; want one of %s", name, strings.Join(Policies(), ", "))
	}
	return p, nil
}

func threshold(least int) func(int) int {
	return func(said int) int {
		if said < least {
			return 0
		}
		return 100
	}
}

// offered returns the models that a route offers under the policy.
func (p Policy) offered(all []tables.ModelID) []tables.ModelID {
	if p.Models == nil {
		return all
	}
	return p.Models(all)
}

func (p Policy) confidence(said int) int {
	if p.Confidence == nil {
		return said
	}
	return p.Confidence(said)
}

func (p Policy) request(r *dispatch.Request) {
	if p.Request != nil {
		p.Request(r)
	}
}

func (p Policy) call(c *dispatch.Call) {
	if p.Call != nil {
		p.Call(c)
	}
}
