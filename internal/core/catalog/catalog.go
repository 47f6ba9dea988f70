// Package catalog holds the configuration of a shared platform that the
// operator has put into force: routes by host and path, services, teams and
// limits, and the upstreams and rollouts that belong to them.
package catalog

import (
	"net"
	"strings"
	"time"

	"mimosayard/internal/core/tables"
)

// A Catalog is one version of the operator's configuration. It must not be
// changed once it was passed to NewIndex.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// A Version orders the configurations. A higher version is newer, but versions
// need not be consecutive.
type Version uint64

// A RouteID names a route.
type RouteID string

// A RouteKind determines whether the requests of a route may be repeated.
type RouteKind int

// A Route selects the service for requests to a host below a path.
type Route struct {
	Name RouteID
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout bounds the whole answer. An answer within LatencyTarget earns its
	// full benefit.
	Timeout       time.Duration
	LatencyTarget time.Duration
	// GapTarget is the target for the longest gap between the events of a
	// stream.
	GapTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Models are the models that may answer, smallest first. It is empty if the
	// caller names the model.
	Models []tables.ModelID
	// Split is the traffic split. It has at least one share.
	Split []Share
	// MaxAttempts bounds the upstreams that may run one request. Values below 1
	// count as 1.
	MaxAttempts int
	// Public is true if callers need no credential.
	Public bool
	// Resumable is true if a stream that broke off may be continued on another
	// upstream.
	Resumable bool
}

// A Share is the part of a route's requests that goes to a service, as a weight
// relative to the other shares of the route.
type Share struct {
	Service tables.ServiceID
	Weight  float64
}

// A Service is a group of upstreams that differ only in their version.
type Service struct {
	Name           tables.ServiceID
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start, and ColdRate the number of
	// requests in a second, of all instances together, that a cold one tolerates. Both are zero
	// if its upstreams are never cold.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a service without models.
	Engine *Engine
}

// An Engine describes the model upstreams of a service.
type Engine struct {
	Slots      int
	KVCapacity tables.Tokens
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	Models         []Model
}

// A Model is one of the models that an engine serves.
type Model struct {
	Name tables.ModelID
	// CostPerThousandTokens is the price of a thousand generated tokens.
	CostPerThousandTokens float64
}

// A Team is a customer with its credentials.
type Team struct {
	Name        tables.TeamID
	Credentials []string
	// Priority overrides the priority of the route, nil if it does not.
	Priority *int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// An Upstream is a server as it has registered itself.
type Upstream struct {
	ID         tables.UpstreamID
	Service    tables.ServiceID
	Address    string
	DataCenter tables.DataCenterID
	Version    tables.VersionID
	Slots      int
	// Ready is false once the upstream is draining.
	Ready bool
	// Incarnation differs between successive processes of an upstream that have
	// the same ID.
	Incarnation int64
	// ColdFor is how much longer the upstream was cold when it wrote its entry.
	ColdFor time.Duration
}

// A Rollout asks for a service's traffic to move to the version Target within
// Duration.
type Rollout struct {
	Service  tables.ServiceID
	Target   tables.VersionID
	Duration time.Duration
	// Revision is the revision of the rollout's object in the store, and Era the era of
	// the store to which it belongs, for conditional writes.
	Era, Revision uint64
	// Progress is what the fleet has written about the rollout to Target.
	Progress Progress
}

// A Progress is how far a rollout has come.
type Progress struct {
	State RolloutState
	// Stage is the fleet's own step within the state InProgress.
	Stage int
}

// A RolloutState is the state of a rollout that the operator sees.
type RolloutState int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with a stream of events.
	Streaming
)

// The states of a rollout.
const (
	Pending RolloutState = iota
	InProgress
	Completed
	RolledBack
)

// An Index looks up the parts of a catalog.
type Index struct {
	Catalog  *Catalog
	hosts    map[string][]*Route
	services map[tables.ServiceID]*Service
	teams    map[string]*Team
}

// NewIndex returns an index of the catalog.
func NewIndex(c *Catalog) *Index {
	x := &Index{
		Catalog:  c,
		hosts:    map[string][]*Route{},
		services: map[tables.ServiceID]*Service{},
		teams:    map[string]*Team{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		x.hosts[host] = append(x.hosts[host], route)
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, credential := range c.Teams[i].Credentials {
			x.teams[credential] = &c.Teams[i]
		}
	}
	return x
}

// Route returns the host's route with the longest prefix of the path, nil if
// there is none. The host may have a port.
func (x *Index) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, route := range x.hosts[strings.ToLower(host)] {
		if !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

// Service returns the service of the name, nil if there is none.
func (x *Index) Service(name tables.ServiceID) *Service {
	return x.services[name]
}

// Team returns the team that holds the credential, nil if there is none.
func (x *Index) Team(credential string) *Team {
	return x.teams[credential]
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// PriorityFor returns the priority of the team's requests on the route. The
// team may be nil.
func (r *Route) PriorityFor(team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return r.Priority
}

// Class returns the name under which the route is measured. It stays the same
// between versions of the configuration.
func (r *Route) Class() tables.ClassID {
	return tables.ClassID(r.Name)
}

// Before reports whether the progress is less than another one of the same rollout.
func (p Progress) Before(other Progress) bool {
	if p.State.Ended() || other.State.Ended() {
		return !p.State.Ended()
	}
	return p.State < other.State || p.State == other.State && p.Stage < other.Stage
}

// Ended reports whether the state is final.
func (s RolloutState) Ended() bool {
	return s == Completed || s == RolledBack
}
