package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
)

// fleetLoad is a load of a plain service.
type fleetLoad struct {
	instances, upstreams int
	// limit is the number of rejections in a second at which an upstream falls over, zero if
	// it tolerates any.
	limit int
	// limited are the upstreams that name rate as the limit on their calls, from namedAt on
	// until liftedAt.
	limited           int
	rate              pacing.Rate
	namedAt, liftedAt time.Duration
	// target is the latency target of the requests, zero for 100 ms.
	target time.Duration
	// ranks is the number of ranks of the requests. One in ranks has the highest.
	ranks int
	// failing is the part of the calls that the upstreams answer with a failure.
	failing float64
	// onEvent, if not nil, is called at eventAt.
	eventAt time.Duration
	onEvent func(f *emulatedFleet)
	// brittleAt is when the upstreams say that they are brittle. If that is not at the
	// beginning, they let no calls wait and fall over from settleTime later.
	brittleAt time.Duration
	// crashEvery is the time between two crashes of an upstream, which comes back as a new
	// life after crashTime, zero for none. restartEvery is that between two restarts of an
	// instance.
	crashEvery, restartEvery time.Duration
	// overload is the rate of requests as a multiple of what the upstreams can serve.
	overload float64
}

// emulatedFleet emulates the load.
type emulatedFleet struct {
	fleetLoad
	simtime.Scheduler
	random        *rand.Rand
	dispatchers   []*Dispatcher
	entries       []catalog.Upstream
	servers       map[tables.UpstreamID]*emulatedServer
	contributions []aggregates.Values
	route         *catalog.Route
	requests      int
	ranked        []rankCount
	served        int
	inTime        int
	refused       int
	// startedAt are the times at which instances were started again.
	startedAt map[int]time.Duration
	// isolated are the instances that exchange no sums with the others.
	isolated map[int]bool
	// heldRefusals is the total time until the refused requests were refused, returns the
	// times at which their callers may come back.
	heldRefusals time.Duration
	returns      []time.Duration
	// worstRefusal is the longest time until a request was refused.
	worstRefusal time.Duration
}

// rankCount counts the requests of one rank and those that were served.
type rankCount struct {
	requests, served int
}

// emulatedServer is an upstream that serves slots calls at once and lets few wait.
type emulatedServer struct {
	running   int
	queue     []func()
	rejected  []rejection
	downUntil time.Duration
	falls     int
	// incarnation is the present life.
	incarnation int64
	// named is true if the upstream names limits.
	named bool
	// arrivals are the times of all calls.
	arrivals []time.Duration
}

// rejection is a call that a server rejected. It is from a new instance if that started less
// than settleTime before.
type rejection struct {
	at      time.Duration
	fromNew bool
}

const (
	serverSlots = 6
	serverQueue = 2
	serverWork  = 20 * time.Millisecond
	serverDelay = time.Millisecond
	crashTime   = 2 * time.Second
	// settleTime is the time after which the fleet must know that an upstream is brittle, and
	// a new instance too.
	settleTime  = 3 * time.Second
	loadSeconds = 8
)

func newEmulatedFleet(load fleetLoad) *emulatedFleet {
	f := &emulatedFleet{fleetLoad: load, startedAt: map[int]time.Duration{}, random: rand.New(rand.NewPCG(3, 4)), servers: map[tables.UpstreamID]*emulatedServer{}}
	f.contributions = make([]aggregates.Values, load.instances)
	f.ranked = make([]rankCount, max(1, load.ranks))
	f.route = &catalog.Route{
		Name: "r", Kind: catalog.Safe, MaxAttempts: 3, LatencyTarget: 100 * time.Millisecond, Timeout: time.Second,
		Split: []catalog.Share{{Service: "desk", Weight: 1}},
	}
	if load.target > 0 {
		f.route.LatencyTarget, f.route.Timeout = load.target, 10*load.target
	}
	for i := range load.upstreams {
		id := tables.UpstreamID(fmt.Sprintf("u-%d", i))
		f.entries = append(f.entries, catalog.Upstream{ID: id, Service: "desk", Address: string(id), Version: "v1", Slots: serverSlots, Ready: true})
		f.servers[id] = &emulatedServer{named: i < load.limited}
	}
	for n := range load.instances {
		f.dispatchers = append(f.dispatchers, nil)
		f.start(n, n, load.instances)
	}
	if load.crashEvery > 0 {
		f.Schedule(load.crashEvery, f.crash)
	}
	if load.restartEvery > 0 {
		f.Schedule(load.restartEvery, f.restart)
	}
	if load.onEvent != nil {
		f.Schedule(load.eventAt, func() { load.onEvent(f) })
	}
	return f
}

// crash ends the life of an upstream, which comes back after crashTime.
func (f *emulatedFleet) crash() {
	index := f.random.IntN(len(f.entries))
	f.comeBack(index, crashTime)
	f.Schedule(f.crashEvery, f.crash)
}

// comeBack makes an upstream unreachable for a time, after which it has a new life.
func (f *emulatedFleet) comeBack(index int, after time.Duration) {
	s := f.servers[f.entries[index].ID]
	s.incarnation++
	*s = emulatedServer{downUntil: f.Now() + after, falls: s.falls, named: s.named, incarnation: s.incarnation}
	f.Schedule(after, func() {
		f.entries[index].Incarnation = s.incarnation
		for _, d := range f.dispatchers {
			d.SetUpstreams(f.clock(), f.entries)
		}
	})
}

// restart replaces an instance by one that knows nothing.
func (f *emulatedFleet) restart() {
	n := f.random.IntN(f.instances)
	f.contributions[n] = nil
	f.startedAt[n] = f.Now()
	f.start(n, n, f.instances)
	f.Schedule(f.restartEvery, f.restart)
}

// start starts an instance, which knows its position in the fleet.
func (f *emulatedFleet) start(n, position, instances int) {
	d := New("here", Limits{Retries: retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}}, rand.New(rand.NewPCG(uint64(n), 5)))
	d.SetUpstreams(f.clock(), f.entries)
	d.SetFleetPosition(f.clock(), position, instances)
	f.dispatchers[n] = d
	var members []tables.InstanceID
	for n := range f.dispatchers {
		members = append(members, instanceID(n))
	}
	for n, d := range f.dispatchers {
		d.SetMembers(instanceID(n), members)
	}
}

// instanceID names an instance after its index.
func instanceID(n int) tables.InstanceID {
	return tables.InstanceID(strconv.Itoa(n))
}

func (f *emulatedFleet) clock() time.Time {
	return now.Add(f.Now())
}

func (f *emulatedFleet) run() {
	capacity := float64(f.upstreams*serverSlots) / serverWork.Seconds()
	quiet, busy := time.Duration(float64(time.Second)/(0.5*capacity)), time.Duration(float64(time.Second)/(f.overload*capacity))
	var arrive func()
	arrive = func() {
		f.request(f.random.IntN(f.instances))
		switch {
		case f.Now() < time.Second:
			f.Schedule(quiet, arrive)
		case f.Now() < loadSeconds*time.Second:
			f.Schedule(busy, arrive)
		}
	}
	f.Schedule(0, arrive)
	f.Schedule(0, f.exchange)
	f.AdvanceTo((loadSeconds + 2) * time.Second)
}

// exchange shares the totals that the instances reported the time before.
func (f *emulatedFleet) exchange() {
	var together []aggregates.Values
	for n, values := range f.contributions {
		if !f.isolated[n] {
			together = append(together, values)
		}
	}
	total := aggregates.Sum(together)
	for n, d := range f.dispatchers {
		if f.isolated[n] {
			d.ApplyTotals(f.clock(), f.contributions[n], f.contributions[n])
		} else {
			d.ApplyTotals(f.clock(), total, f.contributions[n])
		}
		f.contributions[n] = d.Contribution(f.clock())
	}
	f.Schedule(200*time.Millisecond, f.exchange)
}

func (f *emulatedFleet) request(n int) {
	f.requests++
	id := strconv.Itoa(f.requests)
	rank := f.requests % max(1, f.ranks)
	f.ranked[rank].requests++
	task, fault := f.dispatchers[n].Admit(f.clock(), Request{ID: id, Route: f.route, Rank: rank, ArrivedAt: f.clock(), Deadline: f.clock().Add(f.route.Timeout)})
	if fault == nil {
		f.next(n, task)
	}
}

// next makes the next call of a task, or waits for room, as the front door does.
func (f *emulatedFleet) next(n int, task *Task) {
	d := f.dispatchers[n]
	call, fault := d.NextCall(f.clock(), task)
	if fault != nil {
		if wait := d.WaitForRoom(f.clock(), task, fault); wait > 0 {
			f.Schedule(wait, func() { f.next(n, task) })
			return
		}
		f.refused++
		f.heldRefusals += f.clock().Sub(task.Request.ArrivedAt)
		f.returns = append(f.returns, f.Now()+fault.RetryAfter)
		f.worstRefusal = max(f.worstRefusal, f.clock().Sub(task.Request.ArrivedAt))
		return
	}
	if call.RoomWait > 0 {
		f.askOwner(n, task, call)
		return
	}
	f.send(n, task, call, func() {})
}

// send sends a call to its upstream, and calls ended when the upstream has ended it.
func (f *emulatedFleet) send(n int, task *Task, call *Call, ended func()) {
	f.Schedule(serverDelay, func() {
		f.dispatchers[n].RecordConnected(f.clock(), call, "")
		f.arriveAtServer(n, call.Upstream.ID, func(result Result) {
			f.Schedule(serverDelay, func() {
				ended()
				f.end(n, task, call, result)
			})
		})
	})
}

// askOwner sends a call once the instance that admits the calls to its upstream has room.
func (f *emulatedFleet) askOwner(n int, task *Task, call *Call) {
	owner, delay := f.dispatchers[n], time.Duration(0)
	if call.Owner != "" {
		index, _ := strconv.Atoi(string(call.Owner))
		owner, delay = f.dispatchers[index], serverDelay
	}
	noRoom := func() {
		f.Schedule(delay, func() {
			f.dispatchers[n].EndCall(f.clock(), task, call, NoRoom)
			f.next(n, task)
		})
	}
	f.Schedule(delay, func() {
		open := false
		var permit *pacing.Permit
		permit = owner.AcquireRoom(f.clock(), call.Upstream.Address, call.RoomWait, func() {
			open = true
			f.send(n, task, call, func() { owner.ReleaseRoom(f.clock(), permit) })
		})
		if permit == nil {
			noRoom()
			return
		}
		f.Schedule(call.RoomWait, func() {
			if !open {
				owner.ReleaseRoom(f.clock(), permit)
				noRoom()
			}
		})
	})
}

// end records the end of a call.
func (f *emulatedFleet) end(n int, task *Task, call *Call, result Result) {
	d := f.dispatchers[n]
	if result == Refused && call.Owner != "" {
		index, _ := strconv.Atoi(string(call.Owner))
		f.Schedule(2*serverDelay, func() { f.dispatchers[index].RecordRejection(f.clock(), call.Upstream.Address) })
	}
	if result != Unreachable {
		d.RecordUpstreamState(f.clock(), call, f.state(f.servers[call.Upstream.ID]))
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
	f.ranked[task.Request.Rank].served++
	if f.clock().Sub(task.Request.ArrivedAt) <= f.route.LatencyTarget {
		f.inTime++
	}
}

// state returns what a server says of itself.
func (f *emulatedFleet) state(s *emulatedServer) UpstreamState {
	var state UpstreamState
	if f.Now() >= f.brittleAt {
		state.MaxRejections = f.limit
	}
	if s.named && f.Now() >= f.namedAt && (f.liftedAt == 0 || f.Now() < f.liftedAt) {
		state.NamesLimit, state.MaxRate = true, f.rate
	}
	return state
}

// most returns the largest number of calls that arrived at the server in a window after a
// time.
func (s *emulatedServer) most(after, window time.Duration) int {
	most, first := 0, 0
	for n, at := range s.arrivals {
		for s.arrivals[first] < max(after, at-window) {
			if first++; first > n {
				break
			}
		}
		most = max(most, n-first+1)
	}
	return most
}

// arriveAtServer serves a call, or rejects it for want of room. A server that has rejected
// more than it tolerates is down for three seconds. That counts as a fall if most of those calls
// are not from new instances.
func (f *emulatedFleet) arriveAtServer(from int, id tables.UpstreamID, done func(Result)) {
	s := f.servers[id]
	s.arrivals = append(s.arrivals, f.Now())
	brittle, queue := f.limit > 0, serverQueue
	if f.brittleAt > 0 {
		brittle = f.Now() >= f.brittleAt+settleTime
		if brittle {
			queue = 0
		}
	}
	switch {
	case f.Now() < s.downUntil:
		done(Unreachable)
	case s.running < serverSlots:
		f.serve(s, done)
	case len(s.queue) < queue:
		s.queue = append(s.queue, func() { f.serve(s, done) })
	default:
		startedAt, restarted := f.startedAt[from]
		s.rejected = append(s.rejected, rejection{f.Now(), restarted && f.Now()-startedAt < settleTime})
		for f.Now()-s.rejected[0].at >= time.Second {
			s.rejected = s.rejected[1:]
		}
		if brittle && len(s.rejected) > f.limit {
			fromNew := 0
			for _, r := range s.rejected {
				if r.fromNew {
					fromNew++
				}
			}
			if 2*fromNew < len(s.rejected) {
				s.falls++
			}
			f.comeBack(slices.IndexFunc(f.entries, func(u catalog.Upstream) bool { return u.ID == id }), 3*time.Second)
		}
		done(Refused)
	}
}

func (f *emulatedFleet) serve(s *emulatedServer, done func(Result)) {
	s.running++
	incarnation := s.incarnation
	f.Schedule(serverWork, func() {
		if s.incarnation != incarnation {
			done(Broken)
			return
		}
		s.running--
		result := Served
		if f.random.Float64() < f.failing {
			result = Failed
		}
		done(result)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}
