package capacity

import (
	"fmt"

	"mimosayard/internal/core/tables"
)

// configSize holds the numbers of the entries of a configuration. Servers is
// the number of upstreams, and versions the number of pools.
type configSize struct {
	teams    int
	classes  int
	versions int
	servers  int
}

const (
	serviceName    = "llm"
	homeDataCenter = "dc-0"
	dataCenters    = 7
	// maxTokensPerSecond and maxRequestsPerSecond are the allowances of each
	// route.
	maxTokensPerSecond   = 1e7
	maxRequestsPerSecond = 1e5
)

// newConfig returns a configuration of a size, with the servers spread evenly
// over the versions and the data centres.
func newConfig(size configSize) *tables.Config {
	config := &tables.Config{Generation: 1, SessionKeys: []tables.SessionKey{{ID: 1, Secret: make([]byte, 32)}}}
	for v := range size.versions {
		config.Pools = append(config.Pools, tables.Pool{
			Name:        tables.PoolID(fmt.Sprintf("pool-%d", v)),
			Service:     serviceName,
			Kind:        tables.KindModel,
			Model:       tables.ModelID(fmt.Sprintf("model-%d", v/2)),
			Version:     tables.VersionID(fmt.Sprintf("v%d", v%2)),
			PromptCost:  tables.MicroCost(100 * (v + 1)),
			AnswerCost:  tables.MicroCost(400 * (v + 1)),
			Concurrency: 64,
		})
	}
	for n := range size.servers {
		pool := &config.Pools[n%size.versions]
		pool.Upstreams = append(pool.Upstreams, tables.Upstream{
			Name:       tables.UpstreamID(fmt.Sprintf("server-%04d", n)),
			Address:    fmt.Sprintf("127.14.%d.%d:7100", n/250, 1+n%250),
			DataCenter: tables.DataCenterID(fmt.Sprintf("dc-%d", n/size.versions%dataCenters)),
		})
	}
	for t := range size.teams {
		for c := range size.classes {
			config.Routes = append(config.Routes, newRoute(t, c, config.Pools))
		}
	}
	return config
}

// newRoute returns the route of a class of a team. It may use all pools.
func newRoute(team, class int, pools []tables.Pool) tables.Route {
	route := tables.Route{
		Team:          tables.TeamID(fmt.Sprintf("team-%d", team)),
		Service:       serviceName,
		Class:         tables.ClassID(fmt.Sprintf("class-%d", class)),
		Credentials:   []string{tables.HashCredential(fmt.Sprintf("credential-%d", team))},
		QualityTarget: 0.9,
		Allowance:     tables.Allowance{RequestsPerSecond: maxRequestsPerSecond, TokensPerSecond: maxTokensPerSecond, Weight: 1},
		Deadline:      60000,
		FirstToken:    460,
		Idempotent:    true,
	}
	for _, pool := range pools {
		route.Pools = append(route.Pools, pool.Name)
	}
	return route
}

// routeKey returns the key of the route that newRoute returns.
func routeKey(team, class int) tables.RouteKey {
	return tables.RouteKey{
		Team:    tables.TeamID(fmt.Sprintf("team-%d", team)),
		Service: serviceName,
		Class:   tables.ClassID(fmt.Sprintf("class-%d", class)),
	}
}
