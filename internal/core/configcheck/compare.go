package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mimosayard/internal/core/catalog"
)

// A value is the text of a field, for comparison and output.
type value struct {
	field Field
	text  string
}

// A part is a route, service or team with the values of its fields.
type part struct {
	name   string
	values []value
	// credentials are compared but never printed.
	credentials []string
}

// kindNames are the names of the kinds of routes.
var kindNames = map[catalog.RouteKind]string{
	catalog.Unsafe:    "unsafe",
	catalog.Safe:      "safe",
	catalog.Streaming: "streaming",
}

// Compare returns the differences of a configuration from the version in force.
// They are in the order of the parts; parts that were removed come after the
// others of their kind. A version that instances would ignore is an error.
func Compare(inForce, next *catalog.Catalog) []Finding {
	x := &checker{}
	if next.Version <= inForce.Version {
		x.errorf(FieldVersion, "%d is not above %d, which is in force; instances would ignore it", next.Version, inForce.Version)
	}
	x.compareParts(Route, partsOf(inForce.Routes, routePart), partsOf(next.Routes, routePart))
	x.compareParts(Service, partsOf(inForce.Services, servicePart), partsOf(next.Services, servicePart))
	x.place = Place{Part: Limits}
	x.compareValues(limitsValues(&inForce.Limits), limitsValues(&next.Limits))
	x.compareParts(Team, partsOf(inForce.Teams, teamPart), partsOf(next.Teams, teamPart))
	return x.findings
}

func (x *checker) compareParts(kind Part, inForce, next []part) {
	for i, n := range next {
		x.place = Place{Part: kind, Index: i, Name: n.name}
		earlier := slices.IndexFunc(inForce, func(p part) bool { return p.name == n.name })
		if earlier < 0 {
			x.add(Difference, "", "is added")
			continue
		}
		x.compareValues(inForce[earlier].values, n.values)
		added, removed := missingFrom(inForce[earlier].credentials, n.credentials), missingFrom(n.credentials, inForce[earlier].credentials)
		if added+removed > 0 {
			x.add(Difference, FieldCredentials, "%d added, %d removed", added, removed)
		}
	}
	for i, p := range inForce {
		if !slices.ContainsFunc(next, func(n part) bool { return n.name == p.name }) {
			x.place = Place{Part: kind, Index: i, Name: p.name, InForce: true}
			x.add(Difference, "", "is removed")
		}
	}
}

// compareValues reports the fields whose values differ. Both lists have the
// same fields.
func (x *checker) compareValues(inForce, next []value) {
	for i, v := range next {
		if v.text != inForce[i].text {
			x.add(Difference, v.field, "%s instead of %s", v.text, inForce[i].text)
		}
	}
}

// missingFrom returns how many of the credentials the list lacks.
func missingFrom(list, credentials []string) int {
	count := 0
	for _, credential := range credentials {
		if !slices.Contains(list, credential) {
			count++
		}
	}
	return count
}

func partsOf[T any](items []T, convert func(*T) part) []part {
	parts := make([]part, 0, len(items))
	for i := range items {
		parts = append(parts, convert(&items[i]))
	}
	return parts
}

func routePart(r *catalog.Route) part {
	shares := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		shares = append(shares, fmt.Sprintf("%s:%v", share.Service, share.Weight))
	}
	return part{name: string(r.Name), values: []value{
		{FieldHost, strconv.Quote(strings.ToLower(r.Host))},
		{FieldPathPrefix, strconv.Quote(r.PathPrefix)},
		{FieldKind, kindNames[r.Kind]},
		{FieldTimeout, r.Timeout.String()},
		{FieldLatencyTarget, r.LatencyTarget.String()},
		{FieldGapTarget, r.GapTarget.String()},
		{FieldPriority, strconv.Itoa(r.Priority)},
		{FieldModels, fmt.Sprint(r.Models)},
		{splitField(r), fmt.Sprint(shares)},
		{FieldMaxAttempts, strconv.Itoa(r.MaxAttempts)},
		{FieldPublic, strconv.FormatBool(r.Public)},
		{FieldResumable, strconv.FormatBool(r.Resumable)},
	}}
}

func servicePart(s *catalog.Service) part {
	engine := catalog.Engine{}
	if s.Engine != nil {
		engine = *s.Engine
	}
	models := make([]string, 0, len(engine.Models))
	for _, model := range engine.Models {
		models = append(models, fmt.Sprintf("%s:%v", model.Name, model.CostPerThousandTokens))
	}
	return part{name: string(s.Name), values: []value{
		{FieldMaxConnections, strconv.Itoa(s.MaxConnections)},
		{FieldColdStart, s.ColdStart.String()},
		{FieldColdRate, fmt.Sprint(s.ColdRate)},
		{FieldEngine, presence(s.Engine != nil)},
		{FieldSlots, strconv.Itoa(engine.Slots)},
		{FieldKVCapacity, fmt.Sprint(engine.KVCapacity)},
		{FieldTokensPerEvent, strconv.Itoa(engine.TokensPerEvent)},
		{FieldEngineModels, fmt.Sprint(models)},
	}}
}

func limitsValues(l *catalog.Limits) []value {
	return []value{
		{FieldHeaderBytes, strconv.FormatInt(l.HeaderBytes, 10)},
		{FieldBodyBytes, strconv.FormatInt(l.BodyBytes, 10)},
		{FieldHeaderTimeout, l.HeaderTimeout.String()},
		{FieldIdleTimeout, l.IdleTimeout.String()},
	}
}

func teamPart(t *catalog.Team) part {
	priority := "none"
	if t.Priority != nil {
		priority = strconv.Itoa(*t.Priority)
	}
	return part{name: string(t.Name), values: []value{{FieldPriority, priority}}, credentials: t.Credentials}
}

func presence(present bool) string {
	if present {
		return "present"
	}
	return "none"
}
