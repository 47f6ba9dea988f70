package router

import (
	"strconv"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
)

// cellKeys holds the keys of the fleet-wide sums of one evidence cell: the
// number of answers, the number of ratings, and the sum of the ratings.
type cellKeys struct {
	answers, ratings, scoreSum aggregates.Key
}

// demandKeys holds the keys of the fleet-wide sums of one route.
type demandKeys struct {
	// requests and tokens are rates per second, running is the number of
	// requests in progress.
	requests, tokens, running aggregates.Key
	// ratings is the number of ratings of delivered answers, scoreSum their sum.
	ratings, scoreSum aggregates.Key
}

// evidenceKeys holds the keys of the fleet-wide counters of one pool's answers.
type evidenceKeys struct {
	// ratingShortfall is the sum of what each rating falls short of 1.
	ratings, ratingShortfall, calls, failedCalls aggregates.Key
}

// loadKeys holds the keys of the fleet-wide sums of one service's load. Its
// fields correspond to those of serviceLoad.
type loadKeys struct {
	finishedRate, waitRatioSum, waitCount aggregates.Key
}

func newCellKeys(cell cascades.Cell) cellKeys {
	kind := "own"
	if cell.Escalated {
		kind = "escalated"
	}
	key := func(field string) aggregates.Key {
		return aggregates.NewKey("cell", string(cell.Pool), string(cell.Class), kind, strconv.Itoa(int(cell.Bucket)), field)
	}
	return cellKeys{key("seen"), key("rated"), key("score")}
}

func newDemandKeys(route tables.RouteKey) demandKeys {
	key := func(field string) aggregates.Key {
		return aggregates.NewKey("demand", string(route.Team), string(route.Service), string(route.Class), field)
	}
	return demandKeys{key("requests"), key("tokens"), key("running"), key("rated"), key("score")}
}

func newEvidenceKeys(pool tables.PoolID) evidenceKeys {
	key := func(field string) aggregates.Key {
		return aggregates.NewExactKey("version", string(pool), field)
	}
	return evidenceKeys{key("rated"), key("bad"), key("calls"), key("errors")}
}

func newLoadKeys(service tables.ServiceID) loadKeys {
	key := func(field string) aggregates.Key {
		return aggregates.NewKey("load", string(service), field)
	}
	return loadKeys{key("done"), key("pressure"), key("picks")}
}

func (k demandKeys) read(values aggregates.Values) allowances.Demand {
	return allowances.Demand{RequestsPerSecond: values[k.requests], TokensPerSecond: values[k.tokens], Running: values[k.running]}
}

// readDeliveredRatings returns the ratings of the answers delivered on the
// route. It does not fill in the number of answers.
func (k demandKeys) readDeliveredRatings(values aggregates.Values) cascades.Evidence {
	return cascades.Evidence{Ratings: values[k.ratings], ScoreSum: values[k.scoreSum]}
}

func (k demandKeys) write(values aggregates.Values, demand allowances.Demand) {
	putSignificant(values, k.requests, demand.RequestsPerSecond)
	putSignificant(values, k.tokens, demand.TokensPerSecond)
	putSignificant(values, k.running, demand.Running)
}

func (k evidenceKeys) read(values aggregates.Values) rollouts.Evidence {
	return rollouts.Evidence{
		Ratings:         values[k.ratings],
		RatingShortfall: values[k.ratingShortfall],
		Calls:           values[k.calls],
		FailedCalls:     values[k.failedCalls],
	}
}

func (k evidenceKeys) write(values aggregates.Values, evidence rollouts.Evidence) {
	putSignificant(values, k.ratings, evidence.Ratings)
	putSignificant(values, k.ratingShortfall, evidence.RatingShortfall)
	putSignificant(values, k.calls, evidence.Calls)
	putSignificant(values, k.failedCalls, evidence.FailedCalls)
}

// negligibleValue is the value up to which a key is left out of a report.
const negligibleValue = 1e-3

// putSignificant sets a key unless its value is negligible.
func putSignificant(values aggregates.Values, key aggregates.Key, value float64) {
	if value > negligibleValue {
		values[key] = value
	}
}
