package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// newDeskRoute returns a route to a service without models.
func newDeskRoute() *catalog.Route {
	return &catalog.Route{
		Name: "r", Kind: catalog.Unsafe, MaxAttempts: 1, LatencyTarget: smallTarget, Timeout: smallBudget,
		Split: []catalog.Share{{Service: "desk", Weight: 1}},
	}
}

// newDeskUpstreams returns three upstreams of the version.
func newDeskUpstreams(version tables.VersionID) []catalog.Upstream {
	var all []catalog.Upstream
	for i := range 3 {
		id := tables.UpstreamID(fmt.Sprintf("%s-%d", version, i))
		all = append(all, catalog.Upstream{
			ID: id, Service: "desk", Address: string(id), Version: version, Slots: smallSlots, Ready: true,
			DataCenter: tables.DataCenterID(fmt.Sprintf("dc-%d", i)),
		})
	}
	return all
}

func newDesk(entries ...catalog.Upstream) *Dispatcher {
	d := New("dc-0", limits, rand.New(rand.NewPCG(1, 2)))
	d.SetUpstreams(now, entries)
	return d
}

const (
	// deskDemand is far more than the upstreams can serve.
	deskDemand = 1e4
	// deskThroughput is the part of the throughput of three upstreams that is given out.
	deskThroughput = admittedFraction * 3 * smallSlots / 0.03
)

// deskTotals returns sums over one instance in which a team without name sends deskDemand.
func deskTotals(d *Dispatcher, samples float64) aggregates.Values {
	s := d.service("desk")
	return aggregates.Values{
		s.admissionKey(valueWorkSamples): samples,
		s.admissionKey(valueWorkTime):    samples * smallWork.Seconds() * 1000,
		s.admissionKey(valueInstances):   1,

		s.admissionKey(valueDemand).Offset(int(slotOf("")) * maxRanks): deskDemand,
	}
}

// admittedDemand returns the admitted part of deskDemand.
func admittedDemand(d *Dispatcher, at time.Time) float64 {
	d.ApplyTotals(at, deskTotals(d, 1000), aggregates.Values{})
	if parts, limited := d.service("desk").admission.admitted[slotOf("")]; limited {
		return parts[0] * deskDemand
	}
	return deskDemand
}

// isNear reports whether two rates differ by less than a hundredth.
func isNear(rate, want float64) bool {
	return rate > 0.99*want && rate < 1.01*want
}

// TestAdmissionCountsUpstreamsThatGetNewWork guards against requests that are refused while all
// upstreams seem to drain, and against a throughput to which upstreams add that are evacuated or
// of a version that gets no work.
func TestAdmissionCountsUpstreamsThatGetNewWork(t *testing.T) {
	is := is.New(t)
	d := newDesk(newDeskUpstreams("v1")...)
	is.True(isNear(admittedDemand(d, now), deskThroughput))
	d.SetEvacuations(now, []tables.DataCenterID{"dc-1"})
	is.True(isNear(admittedDemand(d, now), deskThroughput*2/3))

	d = newDesk(newDeskUpstreams("v1")...)
	draining := newDeskUpstreams("v1")
	for i := range draining {
		draining[i].Ready = false
	}
	d.SetUpstreams(now, draining)
	is.Equal(admittedDemand(d, now), deskDemand)

	d = newDesk(append(newDeskUpstreams("v1"), newDeskUpstreams("v2")...)...)
	rollout := catalog.Rollout{Service: "desk", Target: "v2", Duration: 10 * time.Second}
	for _, progress := range []catalog.Progress{{State: catalog.Pending}, {State: catalog.InProgress, Stage: 2}, {State: catalog.Completed}} {
		rollout.Progress = progress
		d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
		is.True(isNear(admittedDemand(d, now), deskThroughput))
	}
	// No upstream of the target is there yet.
	d = newDesk(newDeskUpstreams("v1")...)
	rollout.Progress = catalog.Progress{}
	d.SetRollouts(now, []catalog.Rollout{rollout}, 0)
	is.True(isNear(admittedDemand(d, now), deskThroughput))
}

// startAdmission makes the upstreams of the service state their pace.
func startAdmission(d *Dispatcher) {
	d.service("desk").admission.active = true
}

// nextResult makes the task's next call end with the result, and returns the upstream.
func nextResult(t *testing.T, d *Dispatcher, task *Task, result Result) tables.UpstreamID {
	t.Helper()
	call := mustNextCall(t, d, task)
	d.EndCall(now, task, call, result)
	return call.Upstream.ID
}

// TestCallsThatNoUpstreamRejectedDoNotCountAsRejections guards against requests that are refused
// for want of capacity after two calls that found no connection, while the third upstream is sound.
func TestCallsThatNoUpstreamRejectedDoNotCountAsRejections(t *testing.T) {
	is := is.New(t)
	for _, result := range []Result{Unreachable, NoRoom, AddressReused, Misdirected} {
		d := newDesk(newDeskUpstreams("v1")...)
		startAdmission(d)
		task := mustAdmit(t, d, newDeskRoute(), "id")
		first, second := nextResult(t, d, task, result), nextResult(t, d, task, result)
		third := nextResult(t, d, task, Served)
		is.True(first != second && second != third && first != third)
	}
	d := newDesk(newDeskUpstreams("v1")...)
	startAdmission(d)
	task := mustAdmit(t, d, newDeskRoute(), "id")
	nextResult(t, d, task, Refused)
	nextResult(t, d, task, Unreachable)
	nextResult(t, d, task, Refused)
	_, fault := d.NextCall(now, task)
	is.Equal(fault.Detail, "the upstreams rejected the request")
}

// TestCanariesAreNotEvacuated guards against a first stage of a rollout whose few canaries are
// evacuated, so that the target gets none of its share.
func TestCanariesAreNotEvacuated(t *testing.T) {
	is := is.New(t)
	var all []*placement.Upstream
	for i := range 9 {
		u := &placement.Upstream{}
		u.SetEntry(now, catalog.Upstream{ID: tables.UpstreamID(fmt.Sprintf("u-%d", i)), Version: "v2", Slots: 1, Ready: true})
		all = append(all, u)
	}
	for range 3 {
		canaries := canaryUpstreams(now, all, "v2", 0.1, "")
		is.Equal(len(canaries), 2)
		for _, u := range canaries {
			is.True(!u.Evacuated())
			u.SetEvacuated(true)
		}
	}
}

// TestPacesAreNotSentWithEachExchange guards against sums that change with each exchange of which
// every change is sent, so that they crowd out others.
func TestPacesAreNotSentWithEachExchange(t *testing.T) {
	is := is.New(t)
	u := &placement.Upstream{}
	for _, value := range []string{valuePace, valueReports} {
		key := reportKey(value, u)
		delta := aggregates.Delta(aggregates.Values{key: 1.001}, aggregates.Values{key: 1}, aggregates.Values{key: 1}, 0)
		is.Equal(len(delta), 0)
	}
}

// TestServicesThatGetModelsAreNotLimited guards against an instance that goes on refusing requests
// by the demand for a service that has models by now.
func TestServicesThatGetModelsAreNotLimited(t *testing.T) {
	is := is.New(t)
	d := newDesk(newDeskUpstreams("v1")...)
	is.True(admittedDemand(d, now) < deskDemand)
	d.SetCatalog(&catalog.Catalog{Version: 1, Services: []catalog.Service{{
		Name: "desk", Engine: &catalog.Engine{Models: []catalog.Model{{Name: "small"}}},
	}}})
	is.Equal(admittedDemand(d, now), deskDemand)
	is.True(!d.service("desk").spreads())
}

// TestQuietInstanceThatIsCutOffRefusesNothing guards against an instance that is cut off and takes
// a few groups of requests for the rate at each of many instances.
func TestQuietInstanceThatIsCutOffRefusesNothing(t *testing.T) {
	is := is.New(t)
	d := newDesk(newDeskUpstreams("v1")...)
	totals := deskTotals(d, 1000)
	s := d.service("desk")
	totals[s.admissionKey(valueInstances)] = 300
	totals[s.admissionKey(valueDemand).Offset(int(slotOf(""))*maxRanks)] = 100
	d.ApplyTotals(now, totals, aggregates.Values{})
	route := newDeskRoute()
	for at := time.Duration(0); at <= 4*time.Second; at += exchangeTime {
		if at == 0 || at == time.Second || at == 4*time.Second {
			is.Equal(len(s.admission.admitted), 0)
			for i := range 3 {
				_, fault := d.Admit(now.Add(at), Request{ID: fmt.Sprint(at, i), Route: route, ArrivedAt: now.Add(at), Deadline: now.Add(at + smallBudget)})
				is.True(fault == nil)
			}
		}
		own := d.Contribution(now.Add(at))
		own[s.admissionKey(valueWorkSamples)], own[s.admissionKey(valueWorkTime)] = 1000, 30000
		d.ApplyTotals(now.Add(at), own, aggregates.Values{})
	}
}

// TestNothingIsRefusedOnFewSamples guards against requests that are refused after all instances
// have lost power, by the first answers, whose time contains the instances' own delays.
func TestNothingIsRefusedOnFewSamples(t *testing.T) {
	is := is.New(t)
	d := newDesk(newDeskUpstreams("v1")...)
	limited := func(samples float64) bool {
		d.ApplyTotals(now, deskTotals(d, samples), aggregates.Values{})
		return len(d.service("desk").admission.admitted) > 0
	}
	is.True(!limited(minRefusalSamples - 1))
	is.True(limited(minRefusalSamples))
	// An instance that is cut off goes by what it has known.
	is.True(limited(1))
	is.True(minRefusalSamples < 1/(1-workMemory))
}

// TestRefusalsFitTheTimeLeft guards against a Retry-After for which a caller with a slow body has
// no time left, and against a refusal that blames a team without knowing what others send.
func TestRefusalsFitTheTimeLeft(t *testing.T) {
	is := is.New(t)
	d := newDesk(newDeskUpstreams("v1")...)
	s := d.service("desk")
	refusal := func(at, arrived, deadline time.Time) *faults.Error {
		for i := range 1000 {
			if _, fault := d.Admit(at, Request{ID: strconv.Itoa(i), Route: newDeskRoute(), ArrivedAt: arrived, Deadline: deadline}); fault != nil {
				return fault
			}
		}
		t.Fatal("nothing is refused")
		return nil
	}
	totals := deskTotals(d, 1000)
	d.ApplyTotals(now.Add(900*time.Millisecond), totals, aggregates.Values{})
	for _, left := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond} {
		fault := refusal(now.Add(900*time.Millisecond), now, now.Add(900*time.Millisecond+left))
		is.True(fault.RetryAfter > 0 && fault.RetryAfter <= left/3+minReturn && fault.RetryAfter <= left)
		is.Equal(fault.Detail, unservedDetail)
	}
	totals[s.admissionKey(valueDemand).Offset(int(slotOf("other"))*maxRanks)] = 1
	d.ApplyTotals(now.Add(time.Second), totals, aggregates.Values{})
	is.Equal(refusal(now.Add(time.Second), now.Add(time.Second), now.Add(2*time.Second)).Detail, shareDetail)
}
