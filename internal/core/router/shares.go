package router

import (
	"time"

	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/tables"
)

// updateShares updates the capacity of a service and the token rates that are
// due to the routes of its teams.
func (r *Router) updateShares(now time.Time, service tables.ServiceID, load *serviceLoad) {
	claimsByTeam := map[tables.TeamID]*allowances.Claim{}
	var teamOrder []tables.TeamID
	demand := 0.0
	for _, key := range r.routeOrder {
		route := r.routeStates[key]
		if key.Service != service {
			continue
		}
		tokens := route.keys.read(r.fleetTotals).TokensPerSecond
		demand += tokens
		claim := claimsByTeam[key.Team]
		if claim == nil {
			claim = &allowances.Claim{}
			claimsByTeam[key.Team] = claim
			teamOrder = append(teamOrder, key.Team)
		}
		claim.Demand += tokens
		claim.Limit += allowances.RateLimit(route.entry.Route.Allowance.TokensPerSecond)
		claim.Weight = max(claim.Weight, route.entry.Route.Allowance.WeightOrDefault())
	}
	load.updateCapacity(now, r.fleetTotals, demand)
	dueRates := r.divideCapacity(load, claimsByTeam, teamOrder)
	for _, key := range r.routeOrder {
		route := r.routeStates[key]
		if key.Service != service {
			continue
		}
		fleetDemand := route.keys.read(r.fleetTotals)
		dueRate := 0.0
		if claim := claimsByTeam[key.Team]; load.capacity > 0 && claim.Demand > 0 {
			dueRate = dueRates[key.Team] * fleetDemand.TokensPerSecond / claim.Demand
		}
		route.SetFleetDemand(fleetDemand, route.keys.read(r.ownReported), dueRate)
	}
}

// divideCapacity returns the tokens per second that each team may use of the
// service's capacity.
func (r *Router) divideCapacity(load *serviceLoad, claimsByTeam map[tables.TeamID]*allowances.Claim, teamOrder []tables.TeamID) map[tables.TeamID]float64 {
	claims := make([]allowances.Claim, len(teamOrder))
	for i, team := range teamOrder {
		claims[i] = *claimsByTeam[team]
	}
	allowances.Divide(load.capacity, claims)
	dueRates := make(map[tables.TeamID]float64, len(teamOrder))
	for i, team := range teamOrder {
		dueRates[team] = claims[i].GrantedRate
	}
	return dueRates
}
