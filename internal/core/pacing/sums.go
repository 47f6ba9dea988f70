package pacing

import (
	"time"

	"mimosayard/internal/core/aggregates"
)

// AnyKey is the key of the number of instances to which any upstream has named a limit
// lately, or has stopped to.
var AnyKey = aggregates.NewExactKey("limit", "any")

// statementFields names the fields of a statement that are summed over the fleet.
var statementFields = []struct {
	name    string
	counter func(s *Statement) *float64
}{
	{"named", func(s *Statement) *float64 { return &s.Named }},
	{"unnamed", func(s *Statement) *float64 { return &s.Unnamed }},
	{"rates", func(s *Statement) *float64 { return &s.RateSum }},
}

// Contribute sets this instance's part of the fleet's statements on a limit. The name is
// that of the upstream and its life.
func (s Statement) Contribute(name string, set func(key aggregates.Key, value float64)) {
	set(AnyKey, 1)
	for _, field := range statementFields {
		set(statementKey(field.name, name), *field.counter(&s))
	}
}

// ApplyTotals applies the fleet's statements on the limit of an upstream and its life, of
// which reported is the part of this instance. It reports whether the limit in force has
// changed by much.
func (l *Limit) ApplyTotals(now time.Time, name string, totals, reported aggregates.Values) bool {
	statement := l.Statement(now)
	for _, field := range statementFields {
		*field.counter(&statement) += totals.Others(reported, statementKey(field.name, name))
	}
	return l.Apply(now, statement)
}

func statementKey(field, name string) aggregates.Key {
	return aggregates.NewExactKey("limit", field, name)
}
