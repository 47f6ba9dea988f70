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
	mutex  sync.Mutex
	home   tables.DataCenterID
	policy Policy
	random *rand.Rand

	index *tables.Index
	gates map[tables.RouteKey]*gate
	// gateOrder and versionOrder list the keys in the order of the tables, so
	// that decisions do not depend on the order of maps.
	gateOrder    []tables.RouteKey
	versionOrder []tables.PoolID
	services     map[tables.ServiceID]*serviceLoad
	versions     map[tables.PoolID]*version
	// absent holds the progress of pools that the configuration in force does
	// not have: they may come with the next one, and a withdrawal stays.
	absent   map[tables.PoolID]rollouts.Progress
	cells    cascades.Table
	cellKeys map[cascades.Cell]cellKeys
	ratings  pendingRatings
	retries  retryBudget
	leaving  map[tables.UpstreamID]bool

	// totals is the fleet's sum, reported the own part in it.
	totals   sums.Values
	reported sums.Values
	// slow holds the own values that are reported at the slow pace.
	slow       sums.Values
	slowAt     time.Time
	evidenceAt time.Time
}

// gate is a route's admission with what is planned for it.
type gate struct {
	allowances.Gate
	entry  *tables.RouteEntry
	keys   demandKeys
	plan   cascades.Plan
	planAt time.Time
	// highest is the highest priority of the team's routes to the service.
	highest int
	// before is the pool of the stage before the start of the plan.
	before tables.PoolID
	// delivered is the evidence about the answers that callers of the route
	// got from this instance.
	delivered cascades.Evidence
	// size is the mean size of the route's requests.
	size cascades.RequestSize
}

// version is the state of one pool.
type version struct {
	pool     *tables.Pool
	set      *routing.Set
	pace     cascades.CallStats
	watch    rollouts.Watch
	progress rollouts.Progress
	own      rollouts.Evidence
	// told is the part of own that was last reported to the fleet.
	told rollouts.Evidence
	keys evidenceKeys
}

const (
	planLife = 500 * time.Millisecond
	// slowPace is how often evidence for cascades is reported to the fleet.
	slowPace = 10 * time.Second
	// evidencePace is how often evidence about versions is reported.
	evidencePace = 2 * time.Second
)

// New returns a router without a configuration.
func New(home tables.DataCenterID, policy Policy, random *rand.Rand) *Router {
	return &Router{
		home:     home,
		policy:   policy,
		random:   random,
		gates:    map[tables.RouteKey]*gate{},
		services: map[tables.ServiceID]*serviceLoad{},
		versions: map[tables.PoolID]*version{},
		absent:   map[tables.PoolID]rollouts.Progress{},
		cellKeys: map[cascades.Cell]cellKeys{},
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
	r.applyVersions(now)
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
	known, ok := r.absent[progress.Pool]
	v := r.versions[progress.Pool]
	if v != nil {
		known, ok = v.progress, true
	}
	if !ok {
		known = progress
	}
	merged := rollouts.Merge(known, progress)
	if ok && merged == known {
		return false
	}
	if v != nil {
		v.progress = merged
	} else {
		r.absent[progress.Pool] = merged
	}
	return true
}

// Progress returns the progress of all pools that are in a rollout, withdrawn
// or not in the configuration in force.
func (r *Router) Progress() []rollouts.Progress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []rollouts.Progress
	for _, v := range r.versions {
		if v.pool.Rollout != nil || v.progress.Withdrawn {
			all = append(all, v.progress)
		}
	}
	for _, progress := range r.absent {
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
	for _, v := range r.versions {
		v.set.SetLeaving(leaving)
	}
}

// Withdrawn reports whether a pool gets no new work any more.
func (r *Router) Withdrawn(name tables.PoolID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.versions[name].available()
}

func (r *Router) applyRoutes() {
	gates := map[tables.RouteKey]*gate{}
	r.gateOrder = nil
	for i := range r.index.Config.Routes {
		route := &r.index.Config.Routes[i]
		key := tables.RouteKey{Team: route.Team, Service: route.Service, Class: route.Class}
		g := r.gates[key]
		if g == nil {
			g = &gate{keys: newDemandKeys(key)}
		}
		g.entry = r.index.Route(key)
		g.highest = route.Priority
		g.planAt = time.Time{}
		gates[key] = g
		r.gateOrder = append(r.gateOrder, key)
		if r.services[key.Service] == nil {
			r.services[key.Service] = newServiceLoad(key.Service)
		}
	}
	for key, g := range gates {
		for other, h := range gates {
			if key.Team == other.Team && key.Service == other.Service {
				g.highest = max(g.highest, h.entry.Route.Priority)
			}
		}
	}
	r.gates = gates
}

func (r *Router) applyVersions(now time.Time) {
	versions := map[tables.PoolID]*version{}
	r.versionOrder = nil
	for i := range r.index.Config.Pools {
		pool := &r.index.Config.Pools[i]
		v := r.versions[pool.Name]
		if v == nil {
			v = &version{keys: newEvidenceKeys(pool.Name)}
			v.progress = rollouts.Progress{Pool: pool.Name, Since: now.UnixMilli()}
			if known, ok := r.absent[pool.Name]; ok {
				v.progress = rollouts.Merge(v.progress, known)
				delete(r.absent, pool.Name)
			}
		}
		v.pool = pool
		v.set = routing.NewSet(pool, r.home, v.set)
		v.set.Policy = r.policy.Choose
		v.set.SetLeaving(r.leaving)
		versions[pool.Name] = v
		r.versionOrder = append(r.versionOrder, pool.Name)
	}
	for name, v := range r.versions {
		if versions[name] == nil && (v.progress.Withdrawn || v.progress.Step > 0) {
			r.absent[name] = v.progress
		}
	}
	r.versions = versions
	r.cells.RetainPools(func(name tables.PoolID) bool { return versions[name] != nil })
}

// available reports whether a pool may get new work.
func (v *version) available() bool {
	return v != nil && !v.pool.Withdrawn && !v.progress.Withdrawn
}
