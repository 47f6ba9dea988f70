package tables

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// A Config is the accepted configuration: one pair of table revisions, joined
// and validated under one generation number.
type Config struct {
	// Generation rises with each accepted config. An instance applies a config
	// only if its generation is higher than that of the one in force.
	Generation     uint64  `json:"generation"`
	RoutesRevision uint64  `json:"routes_revision"`
	PoolsRevision  uint64  `json:"pools_revision"`
	Routes         []Route `json:"routes"`
	Pools          []Pool  `json:"pools"`
	// SessionKeys are the keys that sign session tokens, newest first.
	SessionKeys []SessionKey `json:"session_keys"`
}

// An Index answers lookups in one Config. It is immutable and safe for
// concurrent use.
type Index struct {
	Config *Config
	// credentials holds the hashes of all teams for the constant-time scan.
	credentials []credential
	pools       map[PoolID]*Pool
	routes      map[RouteKey]*RouteEntry
	// teams holds each team's entries in table order.
	teams map[TeamID][]*RouteEntry
}

// A RouteEntry is a route with its pools looked up and grouped into stages.
type RouteEntry struct {
	Route *Route
	// Stages holds the cascade's stages in order. In a validated config it is
	// not empty, and each stage has at least one pool.
	Stages []Stage
}

// A RouteKey identifies a row of the routes table.
type RouteKey struct {
	Team    TeamID
	Service ServiceID
	Class   ClassID
}

// A SessionKey is a key that signs session tokens.
type SessionKey struct {
	ID     uint32 `json:"id"`
	Secret []byte `json:"secret"`
	// Created is when the key was created, in Unix milliseconds.
	Created int64 `json:"created_ms"`
}

// A Stage is one step of a cascade: the pools of one model's versions.
type Stage struct {
	Model ModelID
	Pools []*Pool
}

// credential is the SHA-256 sum of a bearer credential with its team.
type credential struct {
	hash [sha256.Size]byte
	team TeamID
}

// NewIndex builds the index of a validated config.
func NewIndex(config *Config) *Index {
	x := &Index{
		Config: config,
		pools:  make(map[PoolID]*Pool, len(config.Pools)),
		routes: make(map[RouteKey]*RouteEntry, len(config.Routes)),
		teams:  map[TeamID][]*RouteEntry{},
	}
	for i := range config.Pools {
		x.pools[config.Pools[i].Name] = &config.Pools[i]
	}
	for i := range config.Routes {
		x.addRoute(&config.Routes[i])
	}
	return x
}

// Pool returns the pool with the name, or nil.
func (x *Index) Pool(name PoolID) *Pool {
	return x.pools[name]
}

// PlainRoute returns the first row of the team for a request to a plain
// service, or nil.
func (x *Index) PlainRoute(team TeamID, service ServiceID, method, path string) *RouteEntry {
	for _, entry := range x.teams[team] {
		if entry.Route.Service == service && !entry.HasModelPools() && entry.Route.Matches(method, path) {
			return entry
		}
	}
	return nil
}

// Route returns the entry of the row with the key, or nil.
func (x *Index) Route(key RouteKey) *RouteEntry {
	return x.routes[key]
}

// TeamRoutes returns the entries of a team in table order.
func (x *Index) TeamRoutes(team TeamID) []*RouteEntry {
	return x.teams[team]
}

// TeamByCredential returns the team of a bearer credential and whether there is
// one. It compares every stored hash in constant time, so the duration does not
// depend on the credential.
func (x *Index) TeamByCredential(bearer string) (TeamID, bool) {
	sum := sha256.Sum256([]byte(bearer))
	found := -1
	for i := range x.credentials {
		equal := subtle.ConstantTimeCompare(sum[:], x.credentials[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return x.credentials[found].team, true
}

// HasModelPools reports whether the row's pools have model engines.
func (e *RouteEntry) HasModelPools() bool {
	return len(e.Stages) > 0 && e.Stages[0].Pools[0].Kind == KindModel
}

// Key returns the key of the row.
func (e *RouteEntry) Key() RouteKey {
	return RouteKey{e.Route.Team, e.Route.Service, e.Route.Class}
}

// HashCredential returns the lower-case hex SHA-256 sum of a credential, as
// the routes table holds it.
func HashCredential(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// addRoute adds a row and groups its pools into stages by model, in the order
// of first appearance.
func (x *Index) addRoute(route *Route) {
	entry := &RouteEntry{Route: route}
	for _, name := range route.Pools {
		pool := x.pools[name]
		if pool == nil {
			continue
		}
		index := slices.IndexFunc(entry.Stages, func(s Stage) bool { return s.Model == pool.Model })
		if index < 0 {
			entry.Stages = append(entry.Stages, Stage{Model: pool.Model})
			index = len(entry.Stages) - 1
		}
		entry.Stages[index].Pools = append(entry.Stages[index].Pools, pool)
	}
	x.routes[entry.Key()] = entry
	x.teams[route.Team] = append(x.teams[route.Team], entry)
	x.addCredentials(route)
}

// addCredentials adds the credentials of a row, each once. Those that are not
// valid hex are skipped.
func (x *Index) addCredentials(route *Route) {
	for _, encoded := range route.Credentials {
		stored := credential{team: route.Team}
		if _, err := hex.Decode(stored.hash[:], []byte(encoded)); err != nil {
			continue
		}
		if !slices.Contains(x.credentials, stored) {
			x.credentials = append(x.credentials, stored)
		}
	}
}
