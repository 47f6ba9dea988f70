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
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
)

// brittleLoad is a load of a plain service whose upstreams fall over if they have to
// reject more than some calls in a second.
type brittleLoad struct {
	instances, upstreams int
	// limit is the number of rejections that an upstream tolerates in a second.
	limit int
	// overload is the rate of requests as a multiple of what the upstreams can serve.
	overload float64
}

// brittleFleet emulates the load.
type brittleFleet struct {
	brittleLoad
	simtime.Scheduler
	random        *rand.Rand
	dispatchers   []*Dispatcher
	servers       map[tables.UpstreamID]*brittleServer
	contributions []aggregates.Values
	route         *catalog.Route
	requests      int
	served        int
	inTime        int
	refused       int
	// worstRefusal is the longest time until a request was refused.
	worstRefusal time.Duration
}

// brittleServer is an upstream that serves slots calls at once and lets few wait.
type brittleServer struct {
	running   int
	queue     []func()
	rejected  []time.Duration
	downUntil time.Duration
	falls     int
}

const (
	brittleSlots   = 6
	brittleQueue   = 2
	brittleWork    = 20 * time.Millisecond
	brittleDelay   = time.Millisecond
	brittleSeconds = 8
)

func newBrittleFleet(load brittleLoad) *brittleFleet {
	f := &brittleFleet{brittleLoad: load, random: rand.New(rand.NewPCG(3, 4)), servers: map[tables.UpstreamID]*brittleServer{}}
	f.contributions = make([]aggregates.Values, load.instances)
	f.route = &catalog.Route{
		Name: "r", Kind: catalog.Safe, MaxAttempts: 3, LatencyTarget: 100 * time.Millisecond, Timeout: time.Second,
		Split: []catalog.Share{{Service: "desk", Weight: 1}},
	}
	var entries []catalog.Upstream
	for i := range load.upstreams {
		id := tables.UpstreamID(fmt.Sprintf("u-%d", i))
		entries = append(entries, catalog.Upstream{ID: id, Service: "desk", Address: string(id), Version: "v1", Slots: brittleSlots, Ready: true})
		f.servers[id] = &brittleServer{}
	}
	for n := range load.instances {
		d := New("here", Limits{Retries: retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}}, rand.New(rand.NewPCG(uint64(n), 5)))
		d.SetUpstreams(f.clock(), entries)
		d.SetFleetPosition(n, load.instances)
		f.dispatchers = append(f.dispatchers, d)
	}
	return f
}

func (f *brittleFleet) clock() time.Time {
	return now.Add(f.Now())
}

func (f *brittleFleet) run() {
	capacity := float64(f.upstreams*brittleSlots) / brittleWork.Seconds()
	quiet, busy := time.Duration(float64(time.Second)/(0.5*capacity)), time.Duration(float64(time.Second)/(f.overload*capacity))
	var arrive func()
	arrive = func() {
		f.request(f.random.IntN(f.instances))
		switch {
		case f.Now() < time.Second:
			f.Schedule(quiet, arrive)
		case f.Now() < brittleSeconds*time.Second:
			f.Schedule(busy, arrive)
		}
	}
	f.Schedule(0, arrive)
	f.Schedule(0, f.exchange)
	f.AdvanceTo((brittleSeconds + 2) * time.Second)
}

// exchange shares the totals that the instances reported the time before.
func (f *brittleFleet) exchange() {
	total := aggregates.Sum(f.contributions)
	for n, d := range f.dispatchers {
		d.ApplyTotals(f.clock(), total, f.contributions[n])
		f.contributions[n] = d.Contribution(f.clock())
	}
	f.Schedule(200*time.Millisecond, f.exchange)
}

func (f *brittleFleet) request(n int) {
	f.requests++
	id := strconv.Itoa(f.requests)
	task, fault := f.dispatchers[n].Admit(f.clock(), Request{ID: id, Route: f.route, ArrivedAt: f.clock(), Deadline: f.clock().Add(f.route.Timeout)})
	if fault == nil {
		f.next(n, task)
	}
}

// next makes the next call of a task, or waits for room, as the front door does.
func (f *brittleFleet) next(n int, task *Task) {
	d := f.dispatchers[n]
	call, fault := d.NextCall(f.clock(), task)
	if fault != nil {
		if wait := d.WaitForRoom(f.clock(), task, fault); wait > 0 {
			f.Schedule(wait, func() { f.next(n, task) })
			return
		}
		f.refused++
		f.worstRefusal = max(f.worstRefusal, f.clock().Sub(task.Request.ArrivedAt))
		return
	}
	f.Schedule(brittleDelay, func() {
		d.RecordConnected(f.clock(), call, "")
		f.arriveAtServer(call.Upstream.ID, func(result Result) {
			f.Schedule(brittleDelay, func() { f.end(n, task, call, result) })
		})
	})
}

// end records the end of a call.
func (f *brittleFleet) end(n int, task *Task, call *Call, result Result) {
	d := f.dispatchers[n]
	if result != Unreachable {
		d.RecordUpstreamState(f.clock(), call, UpstreamState{MaxRejections: f.limit})
	}
	if result == Served {
		d.StartAnswer(f.clock(), task, call, -1)
	}
	d.EndCall(f.clock(), task, call, result)
	if result != Served {
		f.next(n, task)
		return
	}
	f.served++
	if f.clock().Sub(task.Request.ArrivedAt) <= f.route.LatencyTarget {
		f.inTime++
	}
}

// arriveAtServer serves a call, or rejects it for want of room. A server that has rejected
// more than it tolerates is down for three seconds.
func (f *brittleFleet) arriveAtServer(id tables.UpstreamID, done func(Result)) {
	s := f.servers[id]
	switch {
	case f.Now() < s.downUntil:
		done(Unreachable)
	case s.running < brittleSlots:
		f.serve(s, done)
	case len(s.queue) < brittleQueue:
		s.queue = append(s.queue, func() { f.serve(s, done) })
	default:
		s.rejected = append(s.rejected, f.Now())
		for f.Now()-s.rejected[0] >= time.Second {
			s.rejected = s.rejected[1:]
		}
		if len(s.rejected) > f.limit {
			s.falls++
			s.rejected, s.downUntil = nil, f.Now()+3*time.Second
		}
		done(Refused)
	}
}

func (f *brittleFleet) serve(s *brittleServer, done func(Result)) {
	s.running++
	f.Schedule(brittleWork, func() {
		s.running--
		done(Served)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// TestBrittleUpstreamsStayUp guards against upstreams that fall over because the fleet makes
// them reject more calls in a second than they tolerate. The load is an overload of a plain
// service, at several sizes of the fleet.
func TestBrittleUpstreamsStayUp(t *testing.T) {
	for name, load := range map[string]brittleLoad{
		"small fleet":                    {instances: 8, upstreams: 4, limit: 20, overload: 2},
		"more instances than rejections": {instances: 40, upstreams: 12, limit: 15, overload: 2},
		"few rejections":                 {instances: 8, upstreams: 4, limit: 8, overload: 1.2},
		"no overload":                    {instances: 8, upstreams: 4, limit: 8, overload: 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newBrittleFleet(load)
			f.run()
			falls := 0
			for _, s := range f.servers {
				falls += s.falls
			}
			capacity := float64(load.upstreams*brittleSlots) / brittleWork.Seconds() * (0.5 + (brittleSeconds-1)*min(1, load.overload))
			t.Logf("%d falls; of %d requests %d served, %d in time, %d refused, the last after %v; servable %.0f",
				falls, f.requests, f.served, f.inTime, f.refused, f.worstRefusal, capacity)
			is.True(float64(falls) <= 2+0.1*float64(load.upstreams))
			is.True(float64(f.served) >= 0.9*capacity)
			is.True(float64(f.inTime) >= 0.9*float64(f.served))
			is.True(f.worstRefusal <= f.route.LatencyTarget)
		})
	}
}

// TestEachInstanceMayCallBrittleUpstreams guards against instances whose callers are all
// refused because the upstreams tolerate fewer rejections than there are instances, and
// against shares that add up to more than an upstream tolerates.
func TestEachInstanceMayCallBrittleUpstreams(t *testing.T) {
	for _, size := range []struct{ instances, upstreams, limit int }{{8, 4, 20}, {8, 4, 4}, {9, 3, 5}, {75, 25, 6}, {75, 25, 20}, {300, 600, 3}, {40, 2, 10}} {
		t.Run(fmt.Sprintf("%d instances, %d upstreams, limit %d", size.instances, size.upstreams, size.limit), func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(newUpstreams("v1", size.upstreams)...)
			s := d.services["llm"]
			sums := map[tables.UpstreamID]int{}
			for n := range size.instances {
				d.SetFleetPosition(n, size.instances)
				own := 0
				for _, u := range s.upstreams {
					share := d.rejectionShare(s, u, size.limit)
					own += share
					sums[u.ID] += share
				}
				is.True(own > 0)
			}
			for _, sum := range sums {
				is.True(sum <= max(size.limit, (size.instances+size.upstreams-1)/size.upstreams))
			}
		})
	}
}

// TestInstancesTellWhichUpstreamsAreBrittle guards against an instance that sends many calls
// to a brittle upstream since it has not heard of it, and against one that goes on sending
// few when the upstream is not brittle any more.
func TestInstancesTellWhichUpstreamsAreBrittle(t *testing.T) {
	is := is.New(t)
	hears, learns := newDispatcher(newUpstreams("v1", 1)...), newDispatcher(newUpstreams("v1", 1)...)
	task := mustAdmit(t, hears, newRoute(catalog.Safe), "a")
	hears.RecordUpstreamState(now, mustNextCall(t, hears, task), UpstreamState{MaxRejections: 20})
	u := learns.services["llm"].upstreams[0]
	exchange := func(at time.Time) {
		part := hears.Contribution(at)
		own := learns.Contribution(at)
		learns.ApplyTotals(at, aggregates.Sum([]aggregates.Values{part, own}), own)
	}
	exchange(now)
	is.True(u.RejectionsLimited())
	is.True(u.MayReject(now))
	u.Reserve(now)
	u.Reserve(now)
	is.True(!u.MayReject(now))
	exchange(now.Add(4 * time.Second))
	is.True(!u.RejectionsLimited())
	is.True(u.MayReject(now))
}

// TestFullUpstreamsAreNotWaitedForInVain guards against requests that wait for room that
// cannot come in time, or without need.
func TestFullUpstreamsAreNotWaitedForInVain(t *testing.T) {
	d := newDispatcher(newUpstreams("v1", 2)...)
	task := mustAdmit(t, d, newRoute(catalog.Safe), "a")
	is.New(t).Equal(d.WaitForRoom(now, task, faults.New(faults.NoUpstream, "")), time.Duration(0))
	full := faults.New(faults.Overloaded, "")
	is.New(t).True(d.WaitForRoom(now, task, full) > 0)
	is.New(t).Equal(d.WaitForRoom(now.Add(task.Request.Route.LatencyTarget), task, full), time.Duration(0))
}
