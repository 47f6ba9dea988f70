package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// An admission is what is known of the work at a service without models whose upstreams state
// their pace. The zero value is a service for which that is not known.
type admission struct {
	// active is true once an upstream has stated its pace, to this instance or another.
	active bool
	// ownWork are the samples of this instance, workTime the mean over the fleet.
	ownWork  workSamples
	workTime time.Duration
	// measured is true once there were minRefusalSamples.
	measured bool
	// arrivals count this instance's requests, fleetDemand is the rate of the fleet's.
	arrivals    arrivalWindow
	fleetDemand map[teamSlot]rankRates
	// reporters is the largest number of instances in the sums since reportersAt.
	reporters   float64
	reportersAt time.Time
	// admitted are the parts of the requests that are admitted, by team and rank. All are
	// admitted of those that are missing.
	admitted map[teamSlot]rankRates
	// knowsShares is true if the fleet's sums show what several teams send.
	knowsShares bool
	// refused counts the requests that this instance has refused.
	refused int
}

// A teamSlot is the hash of a team. The sums have no names of teams.
type teamSlot uint16

// rankRates are numbers of requests in a second by rank, those of the last rank together with
// later ones.
type rankRates [maxRanks]float64

// arrivalWindow counts the requests of the last ownWindow by the time of their arrival. The zero
// value has none.
type arrivalWindow struct {
	buckets [ownBuckets]map[teamSlot]rankRates
	// latest is the number of the newest bucket, counted from the first use.
	latest  int64
	firstAt time.Time
}

// workSamples sum up how long answers took on a machine of the usual pace. Older ones lose weight.
type workSamples struct {
	milliseconds, count float64
}

// The names of a service's values that are summed over the fleet, and of its upstreams' values.
const (
	valueWorkTime    = "work_ms"
	valueWorkSamples = "work_samples"
	valuePace        = "pace"
	valueReports     = "reports"
	valueInstances   = "instances"
	valueDemand      = "demand"
)

// The details of refusals before any call.
const (
	shareDetail    = "the team sends more than its share of what the upstreams can serve"
	unservedDetail = "the upstreams cannot serve all requests in time"
)

const (
	// workMemory is the factor by which the weight of past samples decreases with each one.
	workMemory = 0.98
	// minWorkSamples is the number of samples from which their mean is used.
	minWorkSamples = 5
	// minRefusalSamples is the number of samples over the fleet from which requests are refused.
	// Their time contains the instance's own delays, which are long after a start. It is below
	// what the samples of a single instance can sum up to.
	minRefusalSamples = 45
	// usualTargetFraction is the part of its target that a request is assumed to take while
	// there are too few samples.
	usualTargetFraction = 0.2
	// teamSlots is so large that a team rarely shares the slot of a larger one.
	teamSlots, maxRanks = 1 << 13, 8
	// maxReportedTeams bounds the teams in an instance's part of the sums.
	maxReportedTeams = 64
	// bucketTime is the time between two sums. Sums have the requests of the last
	// fleetBuckets, so that the fleet follows a team that suddenly sends more within half a
	// second. An instance that is alone sees fewer requests, and goes by ownBuckets.
	bucketTime               = 100 * time.Millisecond
	fleetBuckets, ownBuckets = 5, 20
	// admittedFraction is the part of the upstreams' throughput that is given out. Near the
	// whole of it calls wait longer than their targets.
	admittedFraction = 0.85
	// drainTime is the time in which calls that wait at the upstreams beyond the usual are to
	// be worked off.
	drainTime = 200 * time.Millisecond
	// minAdmitted is the least part of the throughput that is given out, however many wait.
	minAdmitted = 0.3
	// orderedFraction is the part of a team's share that goes by rank. The rest is for all
	// ranks alike, so that none is starved.
	orderedFraction = 0.75
	// reportersMemory is how long an instance assumes the largest fleet that it has known.
	reportersMemory = 30 * time.Second
	// maxScale is the multiple of the demand in the sums up to which these are taken for the
	// whole fleet's. If fewer instances are in them, this one goes by itself.
	maxScale = 4
	// ownDemandWeight is the weight of the own requests, multiplied, at each exchange. They replace
	// the fleet's last rates within about a second, in addition to their own window: sooner, two
	// groups of three requests at one of 300 instances looked like an overload. With two seconds
	// up to a tenth of the calls were rejected while a large team sent more.
	ownDemandWeight = float64(bucketTime) / float64(time.Second)
	// aloneFraction is the part of the throughput that it then gives out, since it does not know
	// how many wait.
	aloneFraction = 0.8
	// maxRejections is the number of rejections after which a request gets no further call.
	maxRejections = 2
	// returnFraction is the part of the time that a caller has left within which it may come
	// back. A later return would not be made.
	returnFraction = 0.3
)

// spreads reports whether calls of the service are spread by what its upstreams can take.
func (s *service) spreads() bool {
	return s.admission.active
}

// recordReport notes that an upstream of the service has reported its load.
func (d *Dispatcher) recordReport(s *service, load *placement.ReportedLoad) {
	if load.Pace > 0 && !s.admission.active && !d.hasModels(s) {
		s.admission.active = true
	}
}

// observe adds an answer during which nothing seems to have waited at its upstream.
func (a *admission) observe(now time.Time, u *placement.Upstream, latency time.Duration) {
	report, ok := u.RecentReport(now)
	if !a.active || !ok || report.Waiting > 0 {
		return
	}
	a.ownWork.milliseconds = workMemory*a.ownWork.milliseconds + latency.Seconds()*1000/report.Pace
	a.ownWork.count = workMemory*a.ownWork.count + 1
}

// usualWorkTime returns how long the work of a request takes on a machine of the usual pace.
func (a *admission) usualWorkTime(task *Task) time.Duration {
	if a.workTime > 0 {
		return a.workTime
	}
	return max(time.Millisecond, time.Duration(usualTargetFraction*float64(task.latencyTarget())))
}

// contribute sets this instance's part of the sums of the service.
func (s *service) contribute(now time.Time, set func(key aggregates.Key, value float64)) {
	a := &s.admission
	if !a.active {
		return
	}
	set(s.admissionKey(valueWorkTime), a.ownWork.milliseconds)
	set(s.admissionKey(valueWorkSamples), a.ownWork.count)
	set(s.admissionKey(valueInstances), 1)
	demand := a.arrivals.rates(now, fleetBuckets)
	slots := slices.SortedFunc(maps.Keys(demand), func(x, y teamSlot) int { return cmp.Compare(demand[y].sum(), demand[x].sum()) })
	for _, slot := range slots[:min(len(slots), maxReportedTeams)] {
		for rank, rate := range demand[slot] {
			set(s.admissionKey(valueDemand).Offset(int(slot)*maxRanks+rank), rate)
		}
	}
	for _, u := range s.upstreams {
		if report, ok := u.RecentReport(now); ok {
			set(reportKey(valuePace, u), report.Pace)
			set(reportKey(valueReports, u), 1)
		}
	}
}

// applyAdmission updates what is known of the service's work from the fleet's sums.
func (d *Dispatcher) applyAdmission(now time.Time, s *service, totals, reported aggregates.Values) {
	a := &s.admission
	if d.hasModels(s) {
		// A new configuration may have given it models.
		*a = admission{refused: a.refused}
		return
	}
	count := totals.Others(reported, s.admissionKey(valueWorkSamples)) + a.ownWork.count
	if count == 0 {
		return
	}
	a.active = true
	if count >= minWorkSamples {
		sum := totals.Others(reported, s.admissionKey(valueWorkTime)) + a.ownWork.milliseconds
		a.workTime = max(time.Millisecond, time.Duration(sum/count*float64(time.Millisecond)))
	}
	for _, u := range s.upstreams {
		if reports := totals[reportKey(valueReports, u)]; reports > 0 {
			u.SetFleetPace(now, totals[reportKey(valuePace, u)]/reports)
		}
		u.RecordUse(now)
	}
	throughput := d.throughput(now, s)
	alone := a.updateDemand(now, s.admissionKey(valueDemand), totals, totals[s.admissionKey(valueInstances)])
	if alone {
		throughput *= aloneFraction
	}
	a.knowsShares = !alone && len(a.fleetDemand) > 1
	a.measured = a.measured || count >= minRefusalSamples
	if !a.measured {
		a.admitted = nil
		return
	}
	a.divide(throughput)
}

// updateDemand updates the rate of the fleet's requests. Instances that are missing in the sums
// are assumed to get as many requests as those that are in them. Alone is true if so few are in
// them that this instance goes by its own requests.
func (a *admission) updateDemand(now time.Time, key aggregates.Key, totals aggregates.Values, instances float64) (alone bool) {
	instances = max(1, instances)
	if instances >= a.reporters || now.Sub(a.reportersAt) > reportersMemory {
		a.reporters, a.reportersAt = instances, now
	}
	scale := a.reporters / instances
	if scale > maxScale {
		own := a.arrivals.rates(now, ownBuckets)
		for slot := range a.fleetDemand {
			if _, ok := own[slot]; !ok {
				own[slot] = rankRates{}
			}
		}
		for slot, rates := range own {
			last := a.fleetDemand[slot]
			for rank := range rates {
				// A few own requests say little, so the last known rates count for some time.
				rates[rank] = last[rank] + ownDemandWeight*(rates[rank]*a.reporters-last[rank])
			}
			own[slot] = rates
		}
		a.fleetDemand = own
		return true
	}
	a.fleetDemand = map[teamSlot]rankRates{}
	for total, rate := range totals {
		if index := (total - key) >> 1; total&1 == key&1 && index < teamSlots*maxRanks {
			slot := teamSlot(index / maxRanks)
			rates := a.fleetDemand[slot]
			rates[index%maxRanks] += rate * scale
			a.fleetDemand[slot] = rates
		}
	}
	return false
}

// throughput returns the number of calls in a second that the upstreams can end in time. It is
// infinite if that is not known, or if no upstream seems to get new work: all may seem to drain
// after an outage of the store, and then the choice still uses them.
func (d *Dispatcher) throughput(now time.Time, s *service) float64 {
	a := &s.admission
	if a.workTime == 0 {
		return math.Inf(1)
	}
	total, waiting := 0.0, 0.0
	add := func(upstreams []*placement.Upstream, share float64) {
		for _, u := range upstreams {
			if mayGetNewWork(u) && !u.Deferred(now) {
				total += share * u.Throughput(now, a.workTime)
				waiting += share * max(0, u.Excess()-float64(u.Slots)/2)
			}
		}
	}
	version, share := d.mainVersion(s)
	add(s.upstreamsByVersion(version, true), share)
	add(s.upstreamsByVersion(version, false), 1-share)
	if total == 0 {
		return math.Inf(1)
	}
	return max(minAdmitted*total, admittedFraction*total-waiting/drainTime.Seconds())
}

// mayGetNewWork reports whether the upstream may get new work, apart from its limits.
func mayGetNewWork(u *placement.Upstream) bool {
	return u.Usable() && !u.Evacuated()
}

// mainVersion returns the target of the rollout, or else the version that gets all new work, and
// the part of the new work that it gets. The other versions get the rest.
func (d *Dispatcher) mainVersion(s *service) (tables.VersionID, float64) {
	rollout, known := s.tracker.CurrentRollout()
	if !known {
		return s.majorityVersion(), 1
	}
	share := s.tracker.TargetShare(d.limits.Release)
	if s.tracker.InProgress() && !slices.ContainsFunc(s.upstreamsByVersion(rollout.Target, true), mayGetNewWork) {
		// The others serve its share as well.
		share = 0
	}
	return rollout.Target, share
}

// divide gives each team its max-min share of the throughput, and a team's share to its ranks.
func (a *admission) divide(throughput float64) {
	a.admitted = nil
	demands := make([]float64, 0, len(a.fleetDemand))
	for _, rates := range a.fleetDemand {
		demands = append(demands, rates.sum())
	}
	slices.Sort(demands)
	for i, demand := range demands {
		level := throughput / float64(len(demands)-i)
		if demand <= level {
			throughput -= demand
			continue
		}
		a.admitted = map[teamSlot]rankRates{}
		for slot, rates := range a.fleetDemand {
			if total := rates.sum(); total > level {
				a.admitted[slot] = rates.admitted(level / total)
			}
		}
		return
	}
}

// sum returns the rate over all ranks.
func (r rankRates) sum() float64 {
	total := 0.0
	for _, rate := range r {
		total += rate
	}
	return total
}

// admitted returns the part of the requests of each rank that is admitted, given that of all.
func (r rankRates) admitted(part float64) rankRates {
	var parts rankRates
	ordered := orderedFraction * part * r.sum()
	rest := part * r.sum() * (1 - orderedFraction)
	for rank, rate := range r {
		parts[rank] = rest / r.sum()
		if rate > 0 {
			first := min(ordered, rate*(1-parts[rank]))
			ordered -= first
			parts[rank] += first / rate
		}
	}
	return parts
}

// slotOf returns the slot of a team.
func slotOf(team tables.TeamID) teamSlot {
	return teamSlot(xxhash.Sum64String(string(team)) % teamSlots)
}

// count adds a request.
func (w *arrivalWindow) count(now time.Time, slot teamSlot, rank int) {
	w.advance(now)
	bucket := &w.buckets[w.latest%ownBuckets]
	if *bucket == nil {
		*bucket = map[teamSlot]rankRates{}
	}
	rates := (*bucket)[slot]
	rates[min(max(rank, 0), maxRanks-1)]++
	(*bucket)[slot] = rates
}

// rates returns the numbers of requests in a second over the last buckets.
func (w *arrivalWindow) rates(now time.Time, buckets int64) map[teamSlot]rankRates {
	w.advance(now)
	sums := map[teamSlot]rankRates{}
	for bucket := max(0, w.latest-buckets+1); bucket <= w.latest; bucket++ {
		for slot, counts := range w.buckets[bucket%ownBuckets] {
			rates := sums[slot]
			for rank, count := range counts {
				rates[rank] += count / (float64(buckets) * bucketTime.Seconds())
			}
			sums[slot] = rates
		}
	}
	return sums
}

// advance empties the buckets that have left the window.
func (w *arrivalWindow) advance(now time.Time) {
	if w.firstAt.IsZero() {
		w.firstAt = now
	}
	current := int64(now.Sub(w.firstAt) / bucketTime)
	for w.latest = max(w.latest, current-ownBuckets); w.latest < current; {
		w.latest++
		w.buckets[w.latest%ownBuckets] = nil
	}
}

// admissionFault returns the reason why a new request is refused before any call, nil if it is
// admitted. Each instance decides by itself, at random by the parts that are due.
func (d *Dispatcher) admissionFault(now time.Time, task *Task) *faults.Error {
	a := &task.service.admission
	if !a.active {
		return nil
	}
	slot, rank := slotOf(task.Request.Team), min(max(task.Request.Rank, 0), maxRanks-1)
	a.arrivals.count(now, slot, rank)
	if parts, limited := a.admitted[slot]; limited && d.chooser.Random.Float64() >= parts[rank] {
		detail := unservedDetail
		if a.knowsShares {
			detail = shareDetail
		}
		return overCapacity(now, task, detail)
	}
	return nil
}

// overCapacity returns the fault for a request that is refused before a call, or after calls that
// did not run.
func overCapacity(now time.Time, task *Task, detail string) *faults.Error {
	fault := faults.New(faults.Overloaded, detail)
	fault.RetryAfter = returnWithin(now, task)
	task.overCapacity = true
	task.service.admission.refused++
	return fault
}

// Admission returns the number of requests that this instance has refused because the upstreams
// of their services could not have served them in time, and the longest of the services' expected
// times of an answer at their best upstreams.
func (d *Dispatcher) Admission(now time.Time) (refused int, expected time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.services {
		a := &s.admission
		refused += a.refused
		best := time.Duration(0)
		for _, u := range s.upstreams {
			if a.workTime > 0 && u.Usable() {
				if at := u.ExpectedTime(now, a.workTime); best == 0 || at < best {
					best = at
				}
			}
		}
		expected = max(expected, best)
	}
	return refused, expected
}

// repeatFault returns the reason why a task gets no further call, nil if it may. Where requests
// are refused for want of capacity, a task that upstreams have rejected does not go on for long.
func (d *Dispatcher) repeatFault(now time.Time, task *Task) *faults.Error {
	s := task.service
	if !s.admission.active || task.PossibleRuns > 0 {
		return d.retryFault(now, task)
	}
	if task.rejections >= min(maxRejections, len(s.upstreams)) {
		return overCapacity(now, task, "the upstreams rejected the request")
	}
	fault := d.retryFault(now, task)
	if fault != nil {
		fault.RetryAfter = returnWithin(now, task)
	}
	return fault
}

// admissionKey is the key of the sum of one of the service's values.
func (s *service) admissionKey(value string) aggregates.Key {
	return aggregates.NewExactKey("admission", value, string(s.name))
}

// reportKey is the key of the sum of one of the values that the present life of an upstream has
// reported. They change with each exchange, so small changes may be left out.
func reportKey(value string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewKey("upstream", value, lifeName(u))
}
