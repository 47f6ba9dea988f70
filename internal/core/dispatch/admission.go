package dispatch

import (
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/placement"
)

// An admission is what is known of the work at a service without models whose upstreams state
// their pace. The zero value is a service for which that is not known.
type admission struct {
	// active is true once an upstream has stated its pace, to this instance or another.
	active bool
	// ownWork are the samples of this instance, workTime the mean over the fleet.
	ownWork  workSamples
	workTime time.Duration
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
)

const (
	// workMemory is the factor by which the weight of past samples decreases with each one.
	workMemory = 0.98
	// minWorkSamples is the number of samples from which their mean is used.
	minWorkSamples = 5
	// usualTargetFraction is the part of its target that a request is assumed to take while
	// there are too few samples.
	usualTargetFraction = 0.2
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
	count := totals.Others(reported, s.admissionKey(valueWorkSamples)) + a.ownWork.count
	if count == 0 {
		return
	}
	if !a.active && d.hasModels(s) {
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
	}
}

// admissionKey is the key of the sum of one of the service's values.
func (s *service) admissionKey(value string) aggregates.Key {
	return aggregates.NewExactKey("admission", value, string(s.name))
}

// reportKey is the key of the sum of one of the values that the present life of an upstream has
// reported.
func reportKey(value string, u *placement.Upstream) aggregates.Key {
	return aggregates.NewExactKey("upstream", value, lifeName(u))
}
