// Package router makes the decisions of one instance about a request:
// admission, session, cascade, version and upstream. It does no I/O. Time,
// randomness and events are arguments, so that a live instance and a replay run
// the same code.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/allowances"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/tables"
)

// Policy replaces decisions by simpler ones, as a baseline for comparison. The
// zero value replaces none.
type Policy struct {
	Name string
	// Plan replaces the planning of cascades, unless nil.
	Plan func(stages []cascades.Stage) cascades.Plan
	// Choose replaces the choice of an upstream, unless nil.
	Choose func(s *routing.UpstreamSet, now time.Time, call routing.Call, random *rand.Rand) *routing.Upstream
	// NoDetection disables withdrawal. Rollouts advance by time alone.
	NoDetection bool
}

// Router holds the decision state of one instance. It is safe for concurrent
// use.
type Router struct {
	mutex          sync.Mutex
	homeDataCenter tables.DataCenterID
	policy         Policy
	random         *rand.Rand

	// index is the configuration in force, or nil.
	index       *tables.Index
	routeStates map[tables.RouteKey]*routeState
	// routeOrder and poolOrder list the keys in the order of the tables, so
	// that decisions do not depend on the iteration order of maps.
	routeOrder   []tables.RouteKey
	poolOrder    []tables.PoolID
	serviceLoads map[tables.ServiceID]*serviceLoad
	poolStates   map[tables.PoolID]*poolState
	// absentProgress holds the progress of pools that are not in the
	// configuration in force. A later configuration may add them, and a
	// withdrawal must still hold then.
	absentProgress map[tables.PoolID]rollouts.Progress
	// cascadeEvidence holds this instance's own evidence for cascades.
	cascadeEvidence cascades.EvidenceTable
	// cellKeys caches the keys of the fleet-wide sums of each cell.
	cellKeys   map[cascades.Cell]cellKeys
	ratingRefs pendingRatings
	retries    retryBudget
	fleet      pacing.Fleet
	quarantine quarantine.Table
	// quarantineChanges are the changes that QuarantineChanges has not returned yet.
	quarantineChanges []quarantine.Change
	// instance tells the lives of upstreams that this instance has seen apart from those
	// that others have.
	instance tables.InstanceID
	// limitChanges are the changes that LimitChanges has not returned yet.
	limitChanges pacing.Changes
	// leaving holds the upstreams that are leaving according to the platform's
	// list.
	leaving map[tables.UpstreamID]bool

	// fleetTotals is the sum over the fleet, ownReported this instance's part
	// in it.
	fleetTotals aggregates.Values
	ownReported aggregates.Values
	// cascadeValues holds this instance's evidence for cascades as last
	// reported, at cascadeValuesAt.
	cascadeValues      aggregates.Values
	cascadeValuesAt    time.Time
	evidenceReportedAt time.Time
}

// routeState holds the admission state of a route, and its plan.
type routeState struct {
	allowances.Limiter
	entry     *tables.RouteEntry
	keys      demandKeys
	plan      cascades.Plan
	plannedAt time.Time
	// maxPriority is the highest priority of the team's routes to the service.
	maxPriority int
	// poolBeforeStart is the pool of the stage before the plan's start, empty
	// if the plan starts at the first stage.
	poolBeforeStart tables.PoolID
	// deliveredRatings counts the ratings of answers that this instance
	// delivered on the route.
	deliveredRatings cascades.Evidence
	// requestSize is the mean size of the route's requests.
	requestSize cascades.RequestSize
}

// poolState holds the state of one pool, which serves one version of a model or
// of a plain service.
type poolState struct {
	pool      *tables.Pool
	upstreams *routing.UpstreamSet
	callStats cascades.CallStats
	test      rollouts.SequentialTest
	progress  rollouts.Progress
	// ownEvidence counts the calls and ratings at this instance.
	ownEvidence rollouts.Evidence
	// reportedEvidence is the ownEvidence last reported to the fleet.
	reportedEvidence rollouts.Evidence
	keys             evidenceKeys
}

const (
	// planTTL is the time after which the plan of a route is recomputed.
	planTTL = 500 * time.Millisecond
	// cascadeReportInterval is the interval at which evidence for cascades is
	// reported to the fleet.
	cascadeReportInterval = 10 * time.Second
	// evidenceReportInterval is the interval at which evidence about versions
	// is reported to the fleet. Evidence of a doubtful version is reported
	// without delay.
	evidenceReportInterval = 2 * time.Second
)

// New returns a router without a configuration. It refuses all requests until
// Apply.
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

// Apply puts a configuration in force and returns true, if its generation is
// higher than that of the configuration in force.
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

// Generation returns the generation of the configuration in force, or zero if
// there is none.
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

// LeavingCount returns the number of upstreams that are leaving according to
// the platform's list.
func (r *Router) LeavingCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.leaving)
}

// MergeProgress merges rollout progress from another instance or the store. It
// reports whether the known progress changed.
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

// Progress returns the progress of all pools that are being rolled out, are
// withdrawn, or are known but not in the configuration in force. The order is
// not defined.
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

// Withdrawn reports whether a pool gets no new requests, because it is
// withdrawn or not in the configuration in force.
func (r *Router) Withdrawn(name tables.PoolID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.poolStates[name].available()
}

// applyRoutes rebuilds the state of routes from the configuration in force. The
// state of routes that remain is kept.
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

// applyPools rebuilds the state of pools from the configuration in force. The
// state of pools that remain is kept, and the progress of those that do not is
// moved to absentProgress.
func (r *Router) applyPools(now time.Time) {
	poolStates := map[tables.PoolID]*poolState{}
	r.poolOrder = nil
	for i := range r.index.Config.Pools {
		pool := &r.index.Config.Pools[i]
		state := r.poolStates[pool.Name]
		if state == nil {
			state = &poolState{keys: newEvidenceKeys(pool.Name)}
			state.progress = rollouts.Progress{Pool: pool.Name, SinceMillis: now.UnixMilli()}
			if known, ok := r.absentProgress[pool.Name]; ok {
				state.progress = rollouts.Merge(state.progress, known)
				delete(r.absentProgress, pool.Name)
			}
		}
		state.pool = pool
		state.upstreams = routing.NewUpstreamSet(pool, r.homeDataCenter, state.upstreams)
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
	r.cascadeEvidence.RetainPools(func(name tables.PoolID) bool { return poolStates[name] != nil })
}

// available reports whether a pool may get new requests. A nil state is not
// available.
func (s *poolState) available() bool {
	return s != nil && !s.pool.Withdrawn && !s.progress.Withdrawn
}
