package router

import (
	"strconv"

	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/sums"
	"mimosayard/internal/core/tables"
)

type cellKeys struct {
	seen, rated, score sums.Key
}

type demandKeys struct {
	requests, tokens, running sums.Key
	// rated and score sum up the ratings of the answers delivered.
	rated, score sums.Key
}

type evidenceKeys struct {
	rated, bad, calls, errors sums.Key
}

type loadKeys struct {
	finishedRate, waitRatioSum, waitCount sums.Key
}

func newCellKeys(cell cascades.Cell) cellKeys {
	kind := "own"
	if cell.Escalated {
		kind = "escalated"
	}
	key := func(field string) sums.Key {
		return sums.KeyOf("cell", string(cell.Pool), string(cell.Class), kind, strconv.Itoa(int(cell.Bucket)), field)
	}
	return cellKeys{key("seen"), key("rated"), key("score")}
}

func newDemandKeys(route tables.RouteKey) demandKeys {
	key := func(field string) sums.Key {
		return sums.KeyOf("demand", string(route.Team), string(route.Service), string(route.Class), field)
	}
	return demandKeys{key("requests"), key("tokens"), key("running"), key("rated"), key("score")}
}

func newEvidenceKeys(pool tables.PoolID) evidenceKeys {
	key := func(field string) sums.Key {
		return sums.ExactKeyOf("version", string(pool), field)
	}
	return evidenceKeys{key("rated"), key("bad"), key("calls"), key("errors")}
}

func newLoadKeys(service tables.ServiceID) loadKeys {
	key := func(field string) sums.Key {
		return sums.KeyOf("load", string(service), field)
	}
	return loadKeys{key("done"), key("pressure"), key("picks")}
}

func (k demandKeys) read(values sums.Values) allowances.Demand {
	return allowances.Demand{Requests: values[k.requests], Tokens: values[k.tokens], Running: values[k.running]}
}

func (k demandKeys) readDeliveredRatings(values sums.Values) cascades.Evidence {
	return cascades.Evidence{Ratings: values[k.rated], ScoreSum: values[k.score]}
}

func (k demandKeys) write(values sums.Values, demand allowances.Demand) {
	putSignificant(values, k.requests, demand.Requests)
	putSignificant(values, k.tokens, demand.Tokens)
	putSignificant(values, k.running, demand.Running)
}

func (k evidenceKeys) read(values sums.Values) rollouts.Evidence {
	return rollouts.Evidence{
		Rated:  values[k.rated],
		Bad:    values[k.bad],
		Calls:  values[k.calls],
		Errors: values[k.errors],
	}
}

func (k evidenceKeys) write(values sums.Values, evidence rollouts.Evidence) {
	putSignificant(values, k.rated, evidence.Rated)
	putSignificant(values, k.bad, evidence.Bad)
	putSignificant(values, k.calls, evidence.Calls)
	putSignificant(values, k.errors, evidence.Errors)
}

// negligible is the value under which a key is left out of a report.
const negligibleValue = 1e-3

func putSignificant(values sums.Values, key sums.Key, value float64) {
	if value > negligibleValue {
		values[key] = value
	}
}
