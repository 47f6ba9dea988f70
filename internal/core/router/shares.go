package router

import (
	"time"

	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/tables"
)

// share renews the due rates of a service's teams.
func (r *Router) share(now time.Time, service tables.ServiceID, load *serviceLoad) {
	teams := map[tables.TeamID]*allowances.Claim{}
	var order []tables.TeamID
	demand := 0.0
	for _, key := range r.gateOrder {
		g := r.gates[key]
		if key.Service != service {
			continue
		}
		tokens := g.keys.read(r.totals).Tokens
		demand += tokens
		claim := teams[key.Team]
		if claim == nil {
			claim = &allowances.Claim{}
			teams[key.Team] = claim
			order = append(order, key.Team)
		}
		claim.Demand += tokens
		claim.Limit += allowances.LimitOf(g.entry.Route.Allowance.TokensPerSecond)
		claim.Weight = max(claim.Weight, g.entry.Route.Allowance.ShareWeight())
	}
	load.updateCapacity(now, r.totals, demand)
	dues := r.divide(load, teams, order)
	for _, key := range r.gateOrder {
		g := r.gates[key]
		if key.Service != service {
			continue
		}
		fleet := g.keys.read(r.totals)
		due := 0.0
		if claim := teams[key.Team]; load.capacity > 0 && claim.Demand > 0 {
			due = dues[key.Team] * fleet.Tokens / claim.Demand
		}
		g.Hear(fleet, g.keys.read(r.reported), due)
	}
}

func (r *Router) divide(load *serviceLoad, teams map[tables.TeamID]*allowances.Claim, order []tables.TeamID) map[tables.TeamID]float64 {
	claims := make([]allowances.Claim, len(order))
	for i, team := range order {
		claims[i] = *teams[team]
	}
	allowances.Divide(load.capacity, claims)
	dues := make(map[tables.TeamID]float64, len(order))
	for i, team := range order {
		dues[team] = claims[i].Grant
	}
	return dues
}
