package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
)

// coldLoad is a load of a service whose upstreams are cold after their start: that of the second
// fleet of docs/design/hard-load.md, with requests in waves and in groups of three.
type coldLoad struct {
	instances, upstreams int
	// play changes the upstreams at coldPlayAt. settling is the time after which the fleet must
	// keep the bound of those that are cold.
	play     func(f *coldFleet)
	settling time.Duration
	// demand is the number of requests a second for each upstream, zero for coldDemand.
	demand float64
	// minServed is the part of the requests that must be served.
	minServed float64
}

// coldFleet emulates the load.
type coldFleet struct {
	coldLoad
	simtime.Scheduler
	random      *rand.Rand
	dispatchers []*Dispatcher
	entries     []catalog.Upstream
	servers     []*coldServer
	sums        []aggregates.Values
	cut         map[int]bool
	route       *catalog.Route
	requests    int
	served      int
	// calls are the times of all calls that reached an upstream, by data centre.
	calls map[tables.DataCenterID][]time.Duration
}

// coldServer is an upstream.
type coldServer struct {
	downUntil, coldUntil time.Duration
	life                 int64
	// arrivals are the calls while it was cold, from the end of the settling time on.
	countFrom time.Duration
	arrivals  []time.Duration
}

const (
	coldStart  = 3 * time.Second
	coldRate   = 11
	coldWork   = 250 * time.Millisecond
	coldPlayAt = 4 * time.Second
	coldEnd    = 16 * time.Second
	sumDelay   = 300 * time.Millisecond
	entryDelay = 4 * time.Second
	// coldDemand is more than a cold upstream takes, so that one that looks idle is overrun.
	coldDemand = 28.0
)

func newColdFleet(load coldLoad) *coldFleet {
	f := &coldFleet{coldLoad: load, random: rand.New(rand.NewPCG(7, 8)), cut: map[int]bool{}, calls: map[tables.DataCenterID][]time.Duration{}}
	f.route = &catalog.Route{
		Name: "r", Kind: catalog.Safe, MaxAttempts: 3, LatencyTarget: 2 * time.Second, Timeout: 6 * time.Second,
		Split: []catalog.Share{{Service: "desk", Weight: 1}},
	}
	for n := range load.upstreams {
		id := fmt.Sprintf("u-%d", n)
		f.entries = append(f.entries, catalog.Upstream{ID: tables.UpstreamID(id), Service: "desk", Address: id, DataCenter: dataCenter(n), Version: "v1", Slots: 64, Ready: true})
		f.servers = append(f.servers, &coldServer{})
	}
	for n := range load.instances {
		f.dispatchers = append(f.dispatchers, nil)
		f.start(n)
	}
	f.sums = make([]aggregates.Values, load.instances)
	f.Schedule(coldPlayAt, func() { load.play(f) })
	f.Schedule(0, f.exchange)
	f.Schedule(0, f.arrive)
	return f
}

func dataCenter(n int) tables.DataCenterID {
	return tables.DataCenterID(fmt.Sprintf("dc-%d", n%3))
}

// start starts an instance that knows nothing but the store's objects.
func (f *coldFleet) start(n int) {
	limits := Limits{Retries: retries.Budget{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}, Cold: pacing.ColdBound{Overshoot: 1.5, Allowance: 5}}
	d := New(dataCenter(n), limits, rand.New(rand.NewPCG(uint64(n), 5)))
	d.SetCatalog(&catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "desk", ColdStart: coldStart, ColdRate: coldRate}}})
	d.SetUpstreams(f.clock(), f.entries)
	f.dispatchers[n] = d
}

func (f *coldFleet) clock() time.Time { return now.Add(f.Now()) }

// exchange sums what the instances know, and applies it sumDelay later.
func (f *coldFleet) exchange() {
	var connected []tables.InstanceID
	var values []aggregates.Values
	for n, d := range f.dispatchers {
		f.sums[n] = d.Contribution(f.clock())
		if !f.cut[n] {
			connected = append(connected, instanceID(n))
			values = append(values, f.sums[n])
		}
	}
	total := aggregates.Sum(values)
	reported := slices.Clone(f.sums)
	f.Schedule(sumDelay, func() {
		for n, d := range f.dispatchers {
			members, sum := connected, total
			if f.cut[n] {
				members, sum = []tables.InstanceID{instanceID(n)}, reported[n]
			}
			d.SetMembers(instanceID(n), members)
			d.SetFleetPosition(f.clock(), max(0, slices.Index(members, instanceID(n))), len(members))
			d.ApplyTotals(f.clock(), sum, reported[n])
		}
	})
	if f.Now() < coldEnd {
		f.Schedule(200*time.Millisecond, f.exchange)
	}
}

// arrive sends a group of requests to one instance.
func (f *coldFleet) arrive() {
	n := f.random.IntN(f.instances)
	for range 3 {
		f.requests++
		task, fault := f.dispatchers[n].Admit(f.clock(), Request{ID: strconv.Itoa(f.requests), Route: f.route, ArrivedAt: f.clock(), Deadline: f.clock().Add(f.route.Timeout)})
		if fault == nil {
			f.next(n, task)
		}
	}
	rate := cmp.Or(f.demand, coldDemand) * float64(f.upstreams) * (1 + 0.55*math.Sin(2*math.Pi*f.Now().Seconds()/13))
	if f.Now() < coldEnd-6*time.Second {
		f.Schedule(time.Duration(3/rate*float64(time.Second)), f.arrive)
	}
}

func (f *coldFleet) next(n int, task *Task) {
	d := f.dispatchers[n]
	call, fault := d.NextCall(f.clock(), task)
	if fault != nil {
		if wait := d.WaitForRoom(f.clock(), task, fault); wait > 0 {
			f.Schedule(wait, func() { f.next(n, task) })
		}
		return
	}
	index, _ := strconv.Atoi(string(call.Upstream.ID[2:]))
	s := f.servers[index]
	end := func(result Result) {
		if result == Served {
			state := UpstreamState{}
			if f.Now() < s.coldUntil {
				state.StatesCold, state.ColdFor = true, s.coldUntil-f.Now()
			}
			d.RecordUpstreamState(f.clock(), call, state)
			d.StartAnswer(f.clock(), task, call, -1)
			f.served++
		}
		d.EndCall(f.clock(), task, call, result)
		if result != Served {
			f.next(n, task)
		}
	}
	// Connections take one to five milliseconds.
	f.Schedule(time.Millisecond+time.Duration(f.random.IntN(4000))*time.Microsecond, func() {
		if f.Now() < s.downUntil {
			end(Unreachable)
			return
		}
		f.calls[call.Upstream.DataCenter] = append(f.calls[call.Upstream.DataCenter], f.Now())
		if f.Now() < s.coldUntil && f.Now() >= s.countFrom {
			s.arrivals = append(s.arrivals, f.Now())
		}
		d.RecordConnected(f.clock(), call, "")
		life := s.life
		f.pollLife(s, life, f.Now()+coldWork, end)
	})
}

// pollLife ends a call when its work is done, or when the life of the upstream has ended.
func (f *coldFleet) pollLife(s *coldServer, life int64, until time.Duration, end func(Result)) {
	f.Schedule(min(25*time.Millisecond, until-f.Now()), func() {
		switch {
		case s.life != life:
			end(Broken)
		case f.Now() >= until:
			end(Served)
		default:
			f.pollLife(s, life, until, end)
		}
	})
}

// crash ends the life of an upstream. It is down for a time and then cold. Its entry tells late.
func (f *coldFleet) crash(index int, down time.Duration) {
	s := f.servers[index]
	s.life++
	s.downUntil = f.Now() + down
	f.turnCold(index, down)
	f.Schedule(down+entryDelay, func() {
		f.entries[index].Incarnation, f.entries[index].ColdFor = s.life, coldStart
		f.list()
	})
}

// turnCold makes an upstream cold after a time.
func (f *coldFleet) turnCold(index int, after time.Duration) {
	s := f.servers[index]
	s.coldUntil = f.Now() + after + coldStart
	s.countFrom = f.Now() + max(after, f.settling)
}

// list tells the instances that are not cut off of the entries.
func (f *coldFleet) list() {
	for n, d := range f.dispatchers {
		if !f.cut[n] {
			d.SetUpstreams(f.clock(), f.entries)
		}
	}
}

// mostInASecond returns the largest number of the times in any second.
func mostInASecond(times []time.Duration) int {
	most, first := 0, 0
	for n, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func crashQuarter(down time.Duration) func(f *coldFleet) {
	return func(f *coldFleet) {
		for index := 0; index < f.upstreams; index += 4 {
			f.crash(index, down)
		}
	}
}

// TestColdUpstreamsGetFewCalls guards against upstreams that crash again because all instances
// together send them more than a cold one takes, and against callers who are served worse than the
// other upstreams allow. The load is that of the second fleet.
func TestColdUpstreamsGetFewCalls(t *testing.T) {
	cutThird := func(f *coldFleet) {
		for n := 0; n < f.instances; n += 3 {
			f.cut[n] = true
		}
		crashQuarter(2 * time.Second)(f)
	}
	restartSome := func(f *coldFleet) {
		crashQuarter(2 * time.Second)(f)
		f.Schedule(1800*time.Millisecond, func() {
			for n := 0; n < f.instances; n += 8 {
				f.start(n)
			}
		})
	}
	turnAll := func(f *coldFleet) {
		for index := range f.entries {
			f.turnCold(index, 0)
			f.entries[index].ColdFor = coldStart
		}
		f.list()
	}
	turnUnlisted := func(f *coldFleet) {
		for index := 0; index < f.upstreams; index += 4 {
			f.turnCold(index, 0)
		}
	}
	for name, load := range map[string]coldLoad{
		"a quarter crashes":           {instances: 66, upstreams: 36, play: crashQuarter(2 * time.Second), minServed: 0.99},
		"they come back at once":      {instances: 66, upstreams: 36, play: crashQuarter(0), settling: time.Second, minServed: 0.99},
		"a third of the fleet is cut": {instances: 66, upstreams: 36, play: cutThird, minServed: 0.99},
		"instances start meanwhile":   {instances: 66, upstreams: 36, play: restartSome, minServed: 0.99},
		"a quarter turns cold":        {instances: 66, upstreams: 36, play: turnUnlisted, settling: 1500 * time.Millisecond, minServed: 0.99},
		// Credits start at zero, so the first calls go out after 0.9 s, and requests wait for 1 s.
		"all turn cold":                 {instances: 66, upstreams: 90, play: turnAll, demand: 4.4, minServed: 0.97},
		"a small fleet":                 {instances: 8, upstreams: 12, play: crashQuarter(2 * time.Second), minServed: 0.99},
		"a large fleet":                 {instances: 300, upstreams: 24, play: crashQuarter(2 * time.Second), minServed: 0.99},
		"many instances, few upstreams": {instances: 66, upstreams: 8, play: crashQuarter(2 * time.Second), minServed: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newColdFleet(load)
			f.AdvanceTo(coldEnd)
			most, sum, cold := 0, 0, 0
			for _, s := range f.servers {
				if s.coldUntil > 0 {
					most, sum, cold = max(most, mostInASecond(s.arrivals)), sum+len(s.arrivals), cold+1
				}
			}
			t.Logf("%d in a second at most, %.1f a cold upstream; %d of %d requests served", most, float64(sum)/float64(max(1, cold)), f.served, f.requests)
			is.True(most <= pacing.ColdBound{Overshoot: 1.5, Allowance: 5}.Most(coldRate))
			is.True(float64(f.served) >= load.minServed*float64(f.requests))
			// None is presumed cold for ever, also by instances that do not call it.
			f.AdvanceTo(coldPlayAt + 40*time.Second)
			for _, d := range f.dispatchers {
				is.Equal(d.ColdUpstreams(f.clock()), 0)
			}
		})
	}
}

// TestNothingIsColdWithoutABound guards against limits at deployments whose settings or services
// have no bound for cold upstreams.
func TestNothingIsColdWithoutABound(t *testing.T) {
	for name, c := range map[string]struct {
		bound pacing.ColdBound
		rate  float64
		cold  int
	}{
		"no setting":      {rate: 11},
		"no service rate": {bound: pacing.ColdBound{Overshoot: 1.5, Allowance: 5}},
		"both":            {bound: pacing.ColdBound{Overshoot: 1.5, Allowance: 5}, rate: 11, cold: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New("here", Limits{Cold: c.bound}, rand.New(rand.NewPCG(1, 2)))
			d.SetUpstreams(now, []catalog.Upstream{{ID: "u", Service: "desk", Address: "a", Version: "v1", Slots: 1, Ready: true, ColdFor: time.Second}})
			d.SetCatalog(&catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "desk", ColdStart: coldStart, ColdRate: c.rate}}})
			d.ApplyTotals(now, nil, nil)
			is.Equal(d.ColdUpstreams(now), c.cold)
			is.Equal(len(d.WarmUpChanges()), c.cold)
			is.Equal(len(d.Contribution(now)) > 0, c.cold > 0)
		})
	}
}

// TestEvacuatedDataCentersGetNoCalls guards against calls to an evacuated data centre, against
// requests that wait in vain when all are evacuated, and against all instances turning at one time
// to upstreams that were idle, when an evacuation ends.
func TestEvacuatedDataCentersGetNoCalls(t *testing.T) {
	evacuate := func(f *coldFleet, dataCenters ...tables.DataCenterID) {
		for _, d := range f.dispatchers {
			d.SetEvacuations(f.clock(), dataCenters)
		}
	}
	is := is.New(t)
	var from, until [3]time.Duration
	f := newColdFleet(coldLoad{instances: 66, upstreams: 90, play: func(f *coldFleet) {
		evacuate(f, "dc-0")
		from[0] = f.Now()
		f.Schedule(3*time.Second, func() {
			evacuate(f, "dc-1")
			from[1], until[0] = f.Now(), f.Now()
			for index := range f.servers {
				if f.entries[index].DataCenter == "dc-0" {
					f.turnCold(index, 0)
				}
			}
		})
		f.Schedule(7*time.Second, func() {
			evacuate(f, "dc-0", "dc-1", "dc-2")
			until[0], until[1], from[2] = max(until[0], 0), 0, f.Now()
		})
	}})
	f.AdvanceTo(coldPlayAt + 7*time.Second)
	served, requests := f.served, f.requests
	is.True(served >= requests*97/100)
	f.AdvanceTo(coldEnd)
	const sent = 6 * time.Millisecond // Calls that were sent before arrive.
	count := func(dataCenter tables.DataCenterID, from, until time.Duration) int {
		calls := 0
		for _, at := range f.calls[dataCenter] {
			if at >= from+sent && at < until {
				calls++
			}
		}
		return calls
	}
	is.Equal(count("dc-0", from[0], until[0]), 0)
	is.Equal(count("dc-1", from[1], coldEnd), 0)
	for n := range 3 {
		is.Equal(count(dataCenter(n), from[2], coldEnd), 0)
	}
	is.True(count("dc-0", until[0], from[2]) > 100)
	most := 0
	for _, s := range f.servers {
		most = max(most, mostInASecond(s.arrivals))
	}
	t.Logf("%d in a second at most after the evacuation; %d of %d served while some were left", most, served, requests)
	is.True(most <= 21)
	d := f.dispatchers[0]
	task, fault := d.Admit(f.clock(), Request{ID: "x", Route: f.route, ArrivedAt: f.clock(), Deadline: f.clock().Add(time.Second)})
	is.True(fault == nil)
	_, fault = d.NextCall(f.clock(), task)
	is.True(fault != nil && fault.RetryAfter > 0)
	is.Equal(d.WaitForRoom(f.clock(), task, fault), time.Duration(0))
	is.True(!d.HasUpstream("u-0"))
	is.True(d.AcquireRoom(f.clock(), "u-0", 0, func() {}) == nil)
}

// TestCallsThatWaitForRoomAreNotSentToAnEvacuatedDataCenter guards against calls that an instance
// admits after an evacuation has begun, and against an upstream that admits none after its end.
func TestCallsThatWaitForRoomAreNotSentToAnEvacuatedDataCenter(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(catalog.Upstream{ID: "u", Service: "svc", Address: "a", DataCenter: "here", Version: "v1", Slots: 1, Ready: true})
	opened := 0
	acquire := func() *pacing.Permit { return d.AcquireRoom(now, "a", time.Second, func() { opened++ }) }
	first, second := acquire(), acquire()
	is.True(first != nil && second != nil)
	is.Equal(opened, 1)
	d.SetEvacuations(now, []tables.DataCenterID{"here"})
	d.ReleaseRoom(now, first)
	is.Equal(opened, 1)
	d.ReleaseRoom(now, second)
	d.SetEvacuations(now, nil)
	is.True(acquire() != nil)
	is.Equal(opened, 2)
}

// TestCutLinksReportNoColdUpstream guards against a fleet that presumes sound upstreams cold, since
// some links of one instance are cut, and against crashes that are reported late.
func TestCutLinksReportNoColdUpstream(t *testing.T) {
	fails := func(result Result, refused bool) func(d *Dispatcher, task *Task, call *Call) {
		return func(d *Dispatcher, task *Task, call *Call) {
			if refused {
				call.MarkConnectionRefused()
			}
			d.EndCall(now, task, call, result)
		}
	}
	cut := func(d *Dispatcher) {
		address := links.Address("a")
		for _, other := range []links.Address{"b", "c"} {
			d.Links().RecordSuccess(now, other)
		}
		d.Links().RecordFailure(now, address)
		d.Links().RecordFailure(now, address)
		d.Links().RecordRelayed(now.Add(time.Nanosecond), address, true)
	}
	unreachable := fails(Unreachable, false)
	for name, c := range map[string]struct {
		before          func(d *Dispatcher)
		ends            []func(d *Dispatcher, task *Task, call *Call)
		after           func(d *Dispatcher)
		presumed, tells bool
	}{
		"a failed connection":         {ends: []func(*Dispatcher, *Task, *Call){unreachable}, presumed: true},
		"two in a row":                {ends: []func(*Dispatcher, *Task, *Call){unreachable, unreachable}, presumed: true, tells: true},
		"a refused connection":        {ends: []func(*Dispatcher, *Task, *Call){fails(Unreachable, true)}, presumed: true, tells: true},
		"a lost call":                 {ends: []func(*Dispatcher, *Task, *Call){fails(Broken, false)}, presumed: true, tells: true},
		"the link was lost before":    {before: cut, ends: []func(*Dispatcher, *Task, *Call){unreachable, unreachable}},
		"the link is lost afterwards": {ends: []func(*Dispatcher, *Task, *Call){unreachable, unreachable}, after: cut, presumed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New("here", Limits{Cold: pacing.ColdBound{Overshoot: 1.5, Allowance: 5}}, rand.New(rand.NewPCG(1, 2)))
			d.SetCatalog(&catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "svc", ColdStart: coldStart, ColdRate: coldRate}}})
			d.SetUpstreams(now, []catalog.Upstream{{ID: "u", Service: "svc", Address: "a", Version: "v1", Slots: 9, Ready: true}})
			type attempt struct {
				task *Task
				call *Call
			}
			var attempts []attempt
			for n := range c.ends {
				task := mustAdmit(t, d, &catalog.Route{Name: "r", Kind: catalog.Safe, MaxAttempts: 3, Timeout: time.Minute, Split: []catalog.Share{{Service: "svc", Weight: 1}}}, strconv.Itoa(n))
				attempts = append(attempts, attempt{task, mustNextCall(t, d, task)})
			}
			if c.before != nil {
				c.before(d)
			}
			for n, end := range c.ends {
				end(d, attempts[n].task, attempts[n].call)
			}
			if c.after != nil {
				c.after(d)
			}
			is.Equal(d.ColdUpstreams(now) == 1, c.presumed)
			later := now.Add(time.Millisecond)
			tells := func(at time.Time) bool {
				return d.Contribution(at)[aggregates.NewExactKey("cold", "cold", "u")] > 0
			}
			is.Equal(tells(later), c.tells)
			// Once the upstream is reached, it is presumed cold for as long as before, and told alike.
			d.Links().RecordSuccess(later.Add(time.Millisecond), "a")
			d.RecordConnected(later.Add(time.Millisecond), attempts[0].call, "")
			is.Equal(d.ColdUpstreams(later.Add(coldStart/2)) == 1, c.presumed)
			is.Equal(tells(later.Add(coldStart/2)), c.tells)
		})
	}
}

// TestCallsThatWereNotSentDoNotCount guards against a cold upstream that gets no calls, since those
// that were not admitted count, and against one that gets too many, since calls from before it was
// cold are given back.
func TestCallsThatWereNotSentDoNotCount(t *testing.T) {
	for _, result := range []Result{NoRoom, Misdirected} {
		t.Run(fmt.Sprintf("result %d", result), func(t *testing.T) {
			is := is.New(t)
			d := New("here", Limits{Cold: pacing.ColdBound{Overshoot: 1.5, Allowance: 5}}, rand.New(rand.NewPCG(1, 2)))
			d.SetCatalog(&catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "svc", ColdStart: coldStart, ColdRate: coldRate}}})
			d.SetUpstreams(now, []catalog.Upstream{{ID: "u", Service: "svc", Address: "a", Version: "v1", Slots: 9, Ready: true}})
			route := &catalog.Route{Name: "r", Kind: catalog.Safe, MaxAttempts: 3, Timeout: time.Minute, Split: []catalog.Share{{Service: "svc", Weight: 1}}}
			u := d.services["svc"].upstreams[0]
			before := mustAdmit(t, d, route, "before")
			call := mustNextCall(t, d, before)

			begin := now.Add(time.Second)
			u.PresumeCold(begin, time.Minute, placement.ColdByEntry)
			u.UpdateWarmUp(begin, coldStart, d.callers.Generation(), func() pacing.Rate { return 1 })
			is.True(!u.HasRoom(begin))
			d.EndCall(begin, before, call, result)
			is.True(!u.HasRoom(begin))

			at := begin.Add(1500 * time.Millisecond)
			task, fault := d.Admit(at, Request{ID: "x", Route: route, ArrivedAt: at, Deadline: at.Add(time.Minute)})
			is.True(fault == nil)
			call, fault = d.NextCall(at, task)
			is.True(fault == nil)
			is.True(!u.HasRoom(at))
			d.EndCall(at, task, call, result)
			is.True(u.HasRoom(at))
		})
	}
}
