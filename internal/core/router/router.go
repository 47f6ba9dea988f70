// Package router joins the decisions of one instance: admission, session,
// cascade, version and upstream. It does no I/O; time, randomness and events
// are arguments, so a live instance and a replay run the same code.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/sums"
	"mimosayard/internal/core/tables"
)

// A Policy replaces decisions by simpler ones, for comparison. The zero value
// is the full policy.
type Policy struct {
	Name string
	// Plan replaces the cascade's plan.
	Plan func(stages []cascades.Stage) cascades.Plan
	// Choose replaces the choice of an upstream.
	Choose func(s *routing.Set, now time.Time, call routing.Call, random *rand.Rand) *routing.Upstream
	// NoDetection leaves versions in place whatever their ratings.
	NoDetection bool
}

// A Router is the decision state of one instance. It is safe for concurrent
// use.
type Router struct {
	mutex          sync.Mutex
	homeDataCenter tables.DataCenterID
	policy         Policy
	random         *rand.Rand

	index       *tables.Index
	routeStates map[tables.RouteKey]*routeState
	// gateOrder and versionOrder list the keys in the order of the tables, so
	// that decisions do not depend on the order of maps.
	routeOrder   []tables.RouteKey
	poolOrder    []tables.PoolID
	serviceLoads map[tables.ServiceID]*serviceLoad
	poolStates   map[tables.PoolID]*poolState
	// absent holds the progress of pools that the configuration in force does
	// not have: they may come with the next one, and a withdrawal stays.
	absentProgress map[tables.PoolID]rollouts.Progress
	cells          cascades.Table
	cellKeys       map[cascades.Cell]cellKeys
	ratingRefs     pendingRatings
	retries        retryBudget
	leaving        map[tables.UpstreamID]bool

	// totals is the fleet's sum, reported the own part in it.
	fleetTotals sums.Values
	ownReported sums.Values
	// slow holds the own values that are reported at the slow pace.
	cascadeValues      sums.Values
	cascadeValuesAt    time.Time
	evidenceReportedAt time.Time
}

// gate is a route's admission with what is planned for it.
type routeState struct {
	allowances.Gate
	entry     *tables.RouteEntry
	keys      demandKeys
	plan      cascades.Plan
	plannedAt time.Time
	// highest is the highest priority of the team's routes to the service.
	maxPriority int
	// before is the pool of the stage before the start of the plan.
	poolBeforeStart tables.PoolID
	// delivered is the evidence about the answers that callers of the route
	// got from this instance.
	deliveredRatings cascades.Evidence
	// size is the mean size of the route's requests.
	requestSize cascades.RequestSize
}

// version is the state of one pool.
type poolState struct {
	pool        *tables.Pool
	upstreams   *routing.Set
	callStats   cascades.CallStats
	watch       rollouts.Watch
	progress    rollouts.Progress
	ownEvidence rollouts.Evidence
	// told is the part of own that was last reported to the fleet.
	reportedEvidence rollouts.Evidence
	keys             evidenceKeys
}

const (
	planTTL = 500 * time.Millisecond
	// slowPace is how often evidence for cascades is reported to the fleet.
	cascadeReportInterval = 10 * time.Second
	// evidencePace is how often evidence about versions is reported.
	evidenceReportInterval = 2 * time.Second
)

// New returns a router without a configuration.
func New(homeDataCenter tables.DataCenterID, policy Policy, random *rand.Rand) *Router {
	return &Router{
		homeDataCenter: homeDataCenter,
		policy:         policy,
		random:         random,
		routeStates:    map[tables.RouteKey]*routeState{},
		serviceLoads:   map[tables.ServiceID]*serviceLoad{},
		poolStates:     map[tables.PoolID]*poolState{},
		absentProgress: map[tables.PoolID]rollouts.Progress{},
		cellKeys:       map[cascades.Cell]cellKeys{},
	}
}

// Apply puts a configuration in force if its generation is higher than the
// one in force, and reports whether it did.
func (r *Router) Apply(now time.Time, config *tables.Config) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.index != nil && config.Generation <= r.index.Config.Generation {
		return false
	}
	r.index = tables.NewIndex(config)
	r.applyPools(now)
	r.applyRoutes()
	return true
}

// Generation returns the generation in force, zero if there is none.
func (r *Router) Generation() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.index == nil {
		return 0
	}
	return r.index.Config.Generation
}

// Index returns the index of the configuration in force, or nil.
func (r *Router) Index() *tables.Index {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.index
}

// Leaving returns the number of upstreams that are leaving.
func (r *Router) Leaving() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.leaving)
}

// MergeProgress takes rollout progress from another instance or the store and
// reports whether it was news.
func (r *Router) MergeProgress(progress rollouts.Progress) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.absentProgress[progress.Pool]
	state := r.poolStates[progress.Pool]
	if state != nil {
		known, ok = state.progress, true
	}
	if !ok {
		known = progress
	}
	merged := rollouts.Merge(known, progress)
	if ok && merged == known {
		return false
	}
	if state != nil {
		state.progress = merged
	} else {
		r.absentProgress[progress.Pool] = merged
	}
	return true
}

// Progress returns the progress of all pools that are in a rollout, withdrawn
// or not in the configuration in force.
func (r *Router) Progress() []rollouts.Progress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []rollouts.Progress
	for _, state := range r.poolStates {
		if state.pool.Rollout != nil || state.progress.Withdrawn {
			all = append(all, state.progress)
		}
	}
	for _, progress := range r.absentProgress {
		all = append(all, progress)
	}
	return all
}

// SetLeaving replaces the set of upstreams that are leaving according to the
// platform's list.
func (r *Router) SetLeaving(leaving map[tables.UpstreamID]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = leaving
	for _, state := range r.poolStates {
		state.upstreams.SetLeaving(leaving)
	}
}

// Withdrawn reports whether a pool gets no new work any more.
func (r *Router) Withdrawn(name tables.PoolID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.poolStates[name].available()
}

func (r *Router) applyRoutes() {
	routeStates := map[tables.RouteKey]*routeState{}
	r.routeOrder = nil
	for i := range r.index.Config.Routes {
		routeConfig := &r.index.Config.Routes[i]
		key := tables.RouteKey{Team: routeConfig.Team, Service: routeConfig.Service, Class: routeConfig.Class}
		route := r.routeStates[key]
		if route == nil {
			route = &routeState{keys: newDemandKeys(key)}
		}
		route.entry = r.index.Route(key)
		route.maxPriority = routeConfig.Priority
		route.plannedAt = time.Time{}
		routeStates[key] = route
		r.routeOrder = append(r.routeOrder, key)
		if r.serviceLoads[key.Service] == nil {
			r.serviceLoads[key.Service] = newServiceLoad(key.Service)
		}
	}
	for key, route := range routeStates {
		for otherKey, otherRoute := range routeStates {
			if key.Team == otherKey.Team && key.Service == otherKey.Service {
				route.maxPriority = max(route.maxPriority, otherRoute.entry.Route.Priority)
			}
		}
	}
	r.routeStates = routeStates
}

func (r *Router) applyPools(now time.Time) {
	poolStates := map[tables.PoolID]*poolState{}
	r.poolOrder = nil
	for i := range r.index.Config.Pools {
		pool := &r.index.Config.Pools[i]
		state := r.poolStates[pool.Name]
		if state == nil {
			state = &poolState{keys: newEvidenceKeys(pool.Name)}
			state.progress = rollouts.Progress{Pool: pool.Name, Since: now.UnixMilli()}
			if known, ok := r.absentProgress[pool.Name]; ok {
				state.progress = rollouts.Merge(state.progress, known)
				delete(r.absentProgress, pool.Name)
			}
		}
		state.pool = pool
		state.upstreams = routing.NewSet(pool, r.homeDataCenter, state.upstreams)
		state.upstreams.Policy = r.policy.Choose
		state.upstreams.SetLeaving(r.leaving)
		poolStates[pool.Name] = state
		r.poolOrder = append(r.poolOrder, pool.Name)
	}
	for name, state := range r.poolStates {
		if poolStates[name] == nil && (state.progress.Withdrawn || state.progress.Step > 0) {
			r.absentProgress[name] = state.progress
		}
	}
	r.poolStates = poolStates
	r.cells.RetainPools(func(name tables.PoolID) bool { return poolStates[name] != nil })
}

// available reports whether a pool may get new work.
func (s *poolState) available() bool {
	return s != nil && !s.pool.Withdrawn && !s.progress.Withdrawn
}
