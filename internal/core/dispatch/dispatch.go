// Package dispatch makes an instance's decisions for requests on a shared
// platform: route, team, model, version, upstream, retries and refusal. It does
// no I/O; time, randomness and events are arguments.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/forecast"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
)

// Limits are the limits that the operator sets for decisions.
type Limits struct {
	Retries retries.Budget
	Release releases.Limits
	// SessionTTL is how long after the end of its last request a session lasts.
	SessionTTL time.Duration
	// Cold bounds the calls to cold upstreams, zero for no bound.
	Cold pacing.ColdBound
}

// A Dispatcher is the decision state of one instance. It is safe for
// concurrent use.
type Dispatcher struct {
	mutex      sync.Mutex
	dataCenter tables.DataCenterID
	limits     Limits
	chooser    placement.Chooser
	links      *links.Table

	index    *catalog.Index
	services map[tables.ServiceID]*service
	// instances is the number of live instances in the fleet, at least
	// pacing.MinInstances.
	instances int
	fleet     pacing.Fleet
	owners    pacing.Owners
	// self and members are the instances as of the last SetMembers, callers those of them that
	// call cold upstreams.
	self    tables.InstanceID
	members []tables.InstanceID
	callers pacing.Callers
	// warmUpChanges are the changes that WarmUpChanges has not returned yet.
	warmUpChanges map[tables.UpstreamID]WarmUpChange
	// evacuated are the data centres that are evacuated.
	evacuated []tables.DataCenterID
	// hasUpstreams is true once upstreams were listed. Those that are listed later have started
	// during traffic.
	hasUpstreams bool
	// limitChanges are the changes that LimitChanges has not returned yet.
	limitChanges pacing.Changes
	// tolerances are what upstreams tolerate, toleranceChanges the changes that
	// ToleranceChanges has not returned yet.
	tolerances, toleranceChanges map[tables.UpstreamID]ToleranceChange
	sessions                     sessionTable
	// totals are the fleet's sums as of the last ApplyTotals.
	totals     aggregates.Values
	quarantine quarantine.Table
	// unresolved are the calls of which it is not known whether their upstreams outlived
	// them.
	unresolved map[*placement.Upstream]unresolvedCalls
	// quarantineChanges are the changes that QuarantineChanges has not returned yet.
	quarantineChanges []quarantine.Change
	beginnings        beginnings
}

// service is the state of one service.
type service struct {
	name      tables.ServiceID
	upstreams []*placement.Upstream
	// majority is the version of most upstreams, empty until it is computed.
	majority tables.VersionID
	// partition caches the upstreams divided by the version last asked for.
	partition partition
	tracker   releases.Tracker
	retries   retries.Window
	// evidence counts answers by version and route during a rollout.
	evidence map[evidenceKey]*releases.Evidence
	// targetEvidence and baselineEvidence are the evidence over all routes as
	// of the last ApplyTotals.
	targetEvidence, baselineEvidence releases.Evidence
	// traffic counts this instance's requests during the rollout, fleetTraffic
	// those of the fleet as of the last ApplyTotals.
	traffic, fleetTraffic releases.Traffic
	// failures counts the failed calls of each upstream during the rollout.
	failures map[tables.UpstreamID]float64
	// latencies holds the usual latencies of similar answers.
	latencies map[latencyKey]*latencyStats
	// estimators predict the start of the answers of each model.
	estimators map[tables.ModelID]*forecast.Estimator
	// usualGaps are the mean gaps between events by model, at the usual pace. They come from
	// upstreams that state their pace.
	usualGaps map[tables.ModelID]float64
	// usualWork is the usual work of a call to such an upstream.
	usualWork float64
	// usualEvents is the usual number of events in an answer of such an upstream,
	// tokensPerEvent that of the tokens in an event.
	usualEvents    usualValue
	tokensPerEvent float64
	waiting        waitingList
	// urgencies is the mix of urgencies in the prompts of recent calls.
	urgencies urgencyMix
	admission admission
}

// partition divides a service's upstreams by a version.
type partition struct {
	version tables.VersionID
	// matching are the upstreams of the version, others the rest. Neither is
	// modified.
	matching, others []*placement.Upstream
}

// evidenceKey identifies the answers of a version on a route.
type evidenceKey struct {
	version tables.VersionID
	class   tables.ClassID
}

// New returns a dispatcher without a configuration.
func New(dataCenter tables.DataCenterID, limits Limits, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		dataCenter: dataCenter,
		limits:     limits,
		chooser:    placement.Chooser{Random: random},
		links:      &links.Table{},
		services:   map[tables.ServiceID]*service{},
		instances:  pacing.MinInstances,

		tolerances:       map[tables.UpstreamID]ToleranceChange{},
		toleranceChanges: map[tables.UpstreamID]ToleranceChange{},

		sessions: sessionTable{versions: map[sessionID]sessionEntry{}},
	}
}

// Links returns the instance's own links to the upstreams. Whoever connects to them
// records there whether it succeeds.
func (d *Dispatcher) Links() *links.Table {
	return d.links
}

// Index returns the index of the configuration in force, or nil.
func (d *Dispatcher) Index() *catalog.Index {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.index
}

// SetCatalog puts a configuration into force if its version is higher than that
// of the present one, and reports whether it did.
func (d *Dispatcher) SetCatalog(c *catalog.Catalog) bool {
	index := catalog.NewIndex(c)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.index != nil && c.Version <= d.index.Catalog.Version {
		return false
	}
	d.index = index
	return true
}

// SetLimits replaces the operator's limits.
func (d *Dispatcher) SetLimits(limits Limits) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.limits = limits
}

// SetFleetPosition sets this instance's position among the live instances of the
// fleet, from 0, and their number.
func (d *Dispatcher) SetFleetPosition(now time.Time, position, count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.instances = max(pacing.MinInstances, count)
	d.fleet.SetPosition(now, position, count)
	d.quarantine.SetFleetPosition(position, count)
}

// QuarantineChanges returns the prompt parts that were quarantined or released since
// the last call.
func (d *Dispatcher) QuarantineChanges() []quarantine.Change {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changes := d.quarantineChanges
	d.quarantineChanges = nil
	return changes
}

// RestoreQuarantine quarantines prompt parts that were quarantined before the instance
// started.
func (d *Dispatcher) RestoreQuarantine(now time.Time, parts []quarantine.PartID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.quarantine.Restore(now, parts)
}

// QuarantinedParts returns the number of prompt parts that are quarantined, as far as
// this instance has met them.
func (d *Dispatcher) QuarantinedParts() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.quarantine.Quarantined()
}

// SuspectsRequests reports whether the next call of any request depends on its ContentPart.
func (d *Dispatcher) SuspectsRequests() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.quarantine.HasEvidence()
}

// Quarantine returns the parts and requests that this instance refuses.
func (d *Dispatcher) Quarantine() []quarantine.Entry {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.quarantine.List()
}

// ReleaseQuarantined releases a part or request over the fleet. It returns false if none
// refuses it.
func (d *Dispatcher) ReleaseQuarantined(now time.Time, part quarantine.PartID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.quarantine.Release(now, part)
}

// SetRollouts replaces the rollouts. Age is how long those that are new may have
// been in the store.
func (d *Dispatcher) SetRollouts(now time.Time, rollouts []catalog.Rollout, age time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byService := map[tables.ServiceID]*catalog.Rollout{}
	for i := range rollouts {
		byService[rollouts[i].Service] = &rollouts[i]
		d.service(rollouts[i].Service)
	}
	for name, s := range d.services {
		target := s.tracker.Target()
		s.tracker.SetRollout(now, byService[name], age)
		if s.tracker.Target() != target {
			s.evidence = map[evidenceKey]*releases.Evidence{}
			s.failures = map[tables.UpstreamID]float64{}
			s.targetEvidence, s.baselineEvidence = releases.Evidence{}, releases.Evidence{}
			s.traffic, s.fleetTraffic = releases.Traffic{}, releases.Traffic{}
		}
	}
}

// SetUpstreams replaces the upstreams. The state of an upstream is kept as long
// as its incarnation, version, service and address stay the same. An upstream
// that is no longer listed is kept for a short time, in case there is no other.
func (d *Dispatcher) SetUpstreams(now time.Time, entries []catalog.Upstream) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := map[tables.UpstreamID]*placement.Upstream{}
	for _, s := range d.services {
		for _, u := range s.upstreams {
			known[u.ID] = u
		}
		s.upstreams = nil
		s.majority = ""
		s.partition = partition{}
	}
	var born []*placement.Upstream
	for _, entry := range entries {
		u := known[entry.ID]
		if u == nil || !sameIncarnation(u.Upstream, entry) {
			if u != nil && u.Incarnation != entry.Incarnation {
				d.quarantine.RecordEnd(now, quarantine.Life(lifeName(u)))
			}
			u = &placement.Upstream{}
			born = append(born, u)
		}
		delete(known, entry.ID)
		previous, isNew := u.ColdFor, u.ID == ""
		u.SetEntry(now, entry)
		d.recordEntry(now, u, previous, isNew)
		d.updateEvacuated(u)
		s := d.service(entry.Service)
		s.upstreams = append(s.upstreams, u)
	}
	for _, u := range born {
		d.inheritTolerance(now, d.service(u.Service), u)
	}
	for _, u := range known {
		delete(d.unresolved, u)
		delete(d.tolerances, u.ID)
		u.Ready = false
		u.SetEntry(now, u.Upstream)
		if u.Draining(now) {
			s := d.service(u.Service)
			s.upstreams = append(s.upstreams, u)
		}
	}
	d.hasUpstreams = d.hasUpstreams || len(entries) > 0
	d.updateAllWarmUps(now)
}

// UsableUpstreamCount returns the number of upstreams that may get new work.
func (d *Dispatcher) UsableUpstreamCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, s := range d.services {
		count += countUsable(s.upstreams)
	}
	return count
}

// HasUpstream reports whether an upstream is known at the address that is not evacuated.
func (d *Dispatcher) HasUpstream(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.Address == address && !u.Evacuated() {
				return true
			}
		}
	}
	return false
}

// service returns the state of the service, which it creates if there is none.
func (d *Dispatcher) service(name tables.ServiceID) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			name:       name,
			evidence:   map[evidenceKey]*releases.Evidence{},
			failures:   map[tables.UpstreamID]float64{},
			latencies:  map[latencyKey]*latencyStats{},
			estimators: map[tables.ModelID]*forecast.Estimator{},
			usualGaps:  map[tables.ModelID]float64{},
		}
		d.services[name] = s
	}
	return s
}

// sameIncarnation reports whether both entries describe the same incarnation of
// an upstream, at the same address and with the same version and service.
func sameIncarnation(a, b catalog.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Version == b.Version && a.Service == b.Service
}
