package dispatch

import (
	"flag"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
)

// smallSeed selects another course of the same loads.
var smallSeed = flag.Uint64("small-seed", 1, "seed of the loads of small upstreams")

// smallLoad is a load of a plain service with three small upstreams that state their pace.
type smallLoad struct {
	// burst is a multiple of the usual rate, hot that of the largest team between hotFrom and
	// hotUntil.
	burst, hot float64
	// isolated and restarted are true if a third of the instances is cut off from the sums, or
	// starts again, at changeAt.
	isolated, restarted bool
	// crowded is true if the sums of the work at many other upstreams delay those of the work at
	// these: of sums that are not exact, a message has the six that changed most.
	crowded bool
	// apart is true if each upstream is in a data centre of its own. The instances are in those of
	// the upstreams, or, if crammed, all in one of them.
	apart, crammed bool
}

// smallFleet emulates the load. Sums arrive one to four exchanges late.
type smallFleet struct {
	smallLoad
	simtime.Scheduler
	random, paces *rand.Rand
	dispatchers   []*Dispatcher
	entries       []catalog.Upstream
	servers       map[tables.UpstreamID]*smallServer
	totals        []aggregates.Values
	contributions [][]aggregates.Values
	routes        [2]*catalog.Route
	teams         [smallTeams]teamCount

	requests, inTarget, answered, calls, rejected, refused, heldRefusals, badReturns, remote int
}

// teamCount counts a team's requests that came while one team sent more, and those answered.
type teamCount struct {
	demand, answered float64
}

// smallServer is an upstream whose work takes pace times as long as usual.
type smallServer struct {
	running int
	waiting []func()
	pace    float64
}

// smallRequest is a caller's request.
type smallRequest struct {
	team      int
	arrivedAt time.Duration
	route     *catalog.Route
	returned  bool
	// id differs between a request and its return.
	id string
}

const (
	smallSlots, smallQueue, smallTeams = 6, 24, 24
	smallTarget, smallBudget           = 150 * time.Millisecond, time.Second
	smallRate, smallSeconds            = 190.0, 26
	smallWork                          = 30 * time.Millisecond
	slowPace                           = 2.5
	slowTime, usualTime                = 600 * time.Millisecond, 3400 * time.Millisecond
	hotFrom, hotUntil                  = 10 * time.Second, 16 * time.Second
	changeAt                           = 5 * time.Second
	exchangeTime                       = 100 * time.Millisecond
	// crowdedLag is the number of exchanges by which sums that are not exact come later.
	crowdedLag = 8
)

func newSmallFleet(instances int, load smallLoad) *smallFleet {
	f := &smallFleet{smallLoad: load, servers: map[tables.UpstreamID]*smallServer{}}
	f.random, f.paces = rand.New(rand.NewPCG(*smallSeed, 7)), rand.New(rand.NewPCG(*smallSeed, 8))
	for i, kind := range []catalog.RouteKind{catalog.Unsafe, catalog.Safe} {
		f.routes[i] = &catalog.Route{
			Name: "r", Kind: kind, MaxAttempts: 1 + i, LatencyTarget: smallTarget, Timeout: smallBudget,
			Split: []catalog.Share{{Service: "desk", Weight: 1}},
		}
	}
	for i := range 3 {
		id := tables.UpstreamID(fmt.Sprintf("u-%d", i))
		f.entries = append(f.entries, catalog.Upstream{ID: id, Service: "desk", Address: string(id), Version: "v1", Slots: smallSlots, Ready: true, DataCenter: load.dataCenter(i)})
		f.servers[id] = &smallServer{pace: 1}
		f.slowDown(f.servers[id], false)
	}
	f.dispatchers = make([]*Dispatcher, instances)
	f.contributions = make([][]aggregates.Values, instances)
	for n := range instances {
		f.start(n)
	}
	f.Schedule(changeAt, func() {
		for n := 0; f.restarted && n < instances; n += 3 {
			f.start(n)
		}
	})
	return f
}

func (f *smallFleet) start(n int) {
	home := f.dataCenter(n)
	if f.crammed {
		home = f.dataCenter(0)
	}
	d := New(home, Limits{Retries: retries.Budget{Ratio: 0.9, Slack: 58, Window: 10 * time.Second}}, rand.New(rand.NewPCG(uint64(n), uint64(f.Now()))))
	d.SetUpstreams(f.clock(), f.entries)
	d.SetFleetPosition(f.clock(), n, len(f.dispatchers))
	f.dispatchers[n] = d
}

// dataCenter returns the data centre of an upstream or an instance.
func (l smallLoad) dataCenter(n int) tables.DataCenterID {
	if !l.apart {
		return "here"
	}
	return tables.DataCenterID(fmt.Sprintf("dc-%d", n%3))
}

func (f *smallFleet) clock() time.Time {
	return now.Add(f.Now())
}

// slowDown makes the server slow, or as fast as usual, for a time.
func (f *smallFleet) slowDown(s *smallServer, slow bool) {
	mean := usualTime
	s.pace = 1
	if slow {
		s.pace, mean = slowPace, slowTime
	}
	f.Schedule(time.Duration(f.paces.ExpFloat64()*float64(mean)), func() { f.slowDown(s, !slow) })
}

func (f *smallFleet) run() {
	f.Schedule(0, f.arrive)
	f.Schedule(0, f.exchange)
	f.AdvanceTo((smallSeconds + 3) * time.Second)
}

// arrive sends a group of three requests of one team, and then the next group.
func (f *smallFleet) arrive() {
	if f.Now() >= smallSeconds*time.Second {
		return
	}
	total, weights := 0.0, [smallTeams]float64{}
	for team := range weights {
		weights[team] = math.Pow(float64(team+1), -1.2)
		total += weights[team]
	}
	all := total
	if f.isHot() {
		all += weights[0] * (f.hot - 1)
		weights[0] *= f.hot
	}
	point, team := f.random.Float64()*all, 0
	for point -= weights[0]; point > 0 && team < smallTeams-1; point -= weights[team] {
		team++
	}
	n := f.random.IntN(len(f.dispatchers))
	for range 3 {
		f.requests++
		route := f.routes[0]
		if f.requests%7 < 2 {
			route = f.routes[1]
		}
		if f.isHot() {
			f.teams[team].demand++
		}
		f.request(n, &smallRequest{team: team, arrivedAt: f.Now(), route: route, id: strconv.Itoa(f.requests)})
	}
	wave := 1 + 0.55*math.Sin(2*math.Pi*f.Now().Seconds()/13)
	rate := smallRate * f.burst * wave * all / total / 3
	f.Schedule(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

func (f *smallFleet) isHot() bool {
	return f.hot > 1 && f.Now() >= hotFrom && f.Now() < hotUntil
}

// exchange shares the sums, which arrive the later the deeper an instance is in the tree.
func (f *smallFleet) exchange() {
	var latest []aggregates.Values
	for n, d := range f.dispatchers {
		f.contributions[n] = append(f.contributions[n], d.Contribution(f.clock()))
		if !f.cutOff(n) {
			latest = append(latest, f.contributions[n][len(f.contributions[n])-1])
		}
	}
	f.totals = append(f.totals, aggregates.Sum(latest))
	for n, d := range f.dispatchers {
		// In a binary heap most instances are at the lowest levels.
		lag := 1 + 3*bits.Len(uint(n))/bits.Len(uint(len(f.dispatchers)-1))
		if at := len(f.totals) - 1 - lag; at >= 0 {
			reported := f.contributions[n][at]
			if f.cutOff(n) {
				d.ApplyTotals(f.clock(), reported, reported)
			} else {
				totals := f.totals[at]
				for id := range f.servers {
					if before := at - crowdedLag; f.crowded && before >= 0 {
						totals = totals.Clone()
						key := aggregates.NewKey("upstream", valueWork, string(id))
						totals[key] = f.totals[before][key]
					}
				}
				d.ApplyTotals(f.clock(), totals, reported)
			}
		}
	}
	f.Schedule(exchangeTime, f.exchange)
}

func (f *smallFleet) cutOff(n int) bool {
	return f.isolated && n%3 == 0 && f.Now() >= changeAt
}

// request makes a request, which a refused caller repeats once.
func (f *smallFleet) request(n int, r *smallRequest) {
	arrived := f.clock()
	request := Request{
		ID: r.id, Route: r.route, Team: tables.TeamID(strconv.Itoa(r.team)), Rank: r.team % 3,
		ArrivedAt: arrived, Deadline: now.Add(r.arrivedAt + smallBudget),
	}
	task, fault := f.dispatchers[n].Admit(f.clock(), request)
	if fault != nil {
		f.refuse(n, r, arrived, fault)
		return
	}
	f.next(n, r, task)
}

// refuse ends a request, whose caller comes back once if there is time.
func (f *smallFleet) refuse(n int, r *smallRequest, arrived time.Time, fault *faults.Error) {
	if f.clock().Sub(arrived) > smallTarget/2 {
		f.heldRefusals++
	}
	left := r.arrivedAt + smallBudget - f.Now()
	if fault.RetryAfter <= 0 || fault.RetryAfter > left {
		f.badReturns++
	}
	if r.returned || fault.RetryAfter > left/3 {
		f.refused++
		return
	}
	r.returned, r.id = true, r.id+"r"
	f.Schedule(fault.RetryAfter, func() { f.request(n, r) })
}

// next makes the next call of a task, or waits for room, as the front door does.
func (f *smallFleet) next(n int, r *smallRequest, task *Task) {
	d := f.dispatchers[n]
	call, fault := d.NextCall(f.clock(), task)
	if fault != nil {
		if wait := d.WaitForRoom(f.clock(), task, fault); wait > 0 {
			f.Schedule(wait, func() { f.next(n, r, task) })
			return
		}
		f.refuse(n, r, task.Request.ArrivedAt, fault)
		return
	}
	f.calls++
	if call.Upstream.DataCenter != d.dataCenter {
		f.remote++
	}
	f.Schedule(serverDelay, func() {
		f.dispatchers[n].RecordConnected(f.clock(), call, "")
		f.arriveAt(f.servers[call.Upstream.ID], func(result Result, load placement.ReportedLoad) {
			f.Schedule(serverDelay, func() { f.end(n, r, task, call, result, load, d) })
		})
	})
}

func (f *smallFleet) end(n int, r *smallRequest, task *Task, call *Call, result Result, load placement.ReportedLoad, d *Dispatcher) {
	d.RecordUpstreamState(f.clock(), call, UpstreamState{Load: &load})
	if result == Refused {
		f.rejected++
		d.EndCall(f.clock(), task, call, result)
		if d == f.dispatchers[n] {
			f.next(n, r, task)
		}
		return
	}
	d.StartAnswer(f.clock(), task, call, -1)
	d.EndCall(f.clock(), task, call, result)
	f.answered++
	if f.Now()-r.arrivedAt <= smallTarget {
		f.inTarget++
	}
	if f.hot > 1 && r.arrivedAt >= hotFrom && r.arrivedAt < hotUntil {
		f.teams[r.team].answered++
	}
}

// arriveAt serves a call, or rejects it if the queue is full.
func (f *smallFleet) arriveAt(s *smallServer, done func(Result, placement.ReportedLoad)) {
	serve := func() {
		s.running++
		// The logarithm has a deviation of 0.5. One in a hundred takes five times as long.
		work := smallWork.Seconds() / 1.04 * math.Exp(0.5*f.random.NormFloat64()-0.125) * s.pace
		if f.random.Float64() < 0.01 {
			work *= 5
		}
		f.Schedule(time.Duration(work*float64(time.Second)), func() {
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			done(Served, s.load())
		})
	}
	switch {
	case s.running < smallSlots:
		serve()
	case len(s.waiting) < smallQueue:
		s.waiting = append(s.waiting, serve)
	default:
		done(Refused, s.load())
	}
}

func (s *smallServer) load() placement.ReportedLoad {
	return placement.ReportedLoad{Running: s.running, Waiting: len(s.waiting), Slots: smallSlots, Pace: s.pace}
}

// worstTeam returns the least ratio of what a team beside the hot one got to its due share,
// which is max-min of all that was answered. Teams with few requests are left out.
func (f *smallFleet) worstTeam() float64 {
	left, demands := 0.0, []float64{}
	for _, t := range f.teams {
		left += t.answered
		demands = append(demands, t.demand)
	}
	slices.Sort(demands)
	level := math.Inf(1)
	for i, demand := range demands {
		if fair := left / float64(len(demands)-i); demand > fair {
			level = fair
			break
		}
		left -= demand
	}
	worst := 1.0
	for _, t := range f.teams[1:] {
		if t.demand >= 20 {
			worst = min(worst, t.answered/min(level, t.demand))
		}
	}
	return worst
}

// TestSmallUpstreams guards against instances that overrun one small upstream while others
// idle, and against overloads in which a large team takes what is due to others.
func TestSmallUpstreams(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     smallLoad
		inTarget float64
		// rejected is the largest share of rejected calls, due the least part of its due share
		// that a team gets.
		rejected, due float64
	}{
		{"quiet", smallLoad{burst: 1}, 0.9, 0.03, 0.95},
		{"crowded sums", smallLoad{burst: 1, crowded: true}, 0.9, 0.03, 0.95},
		{"burst", smallLoad{burst: 1.7}, 0, 0.03, 0.95},
		{"large team", smallLoad{burst: 1, hot: 7.5}, 0, 0.03, 0.95},
		{"cut off", smallLoad{burst: 1, isolated: true}, 0.9, 0.03, 0.95},
		{"just started", smallLoad{burst: 1, restarted: true}, 0.9, 0.03, 0.95},
		// Here the targets of the other loads are missed before 300 instances: those that are cut
		// off see too few requests to tell how many there are.
		{"large team and cut off", smallLoad{burst: 1, hot: 7.5, isolated: true}, 0, 0.08, 0.8},
	} {
		for _, instances := range []int{9, 81, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, instances), func(t *testing.T) {
				t.Parallel()
				f := newSmallFleet(instances, c.load)
				f.run()
				requests := float64(f.requests)
				inTarget, rejected, worst := float64(f.inTarget)/requests, float64(f.rejected)/float64(f.calls), f.worstTeam()
				t.Logf("in target %.3f late %.3f refused %.3f; rejected %.3f of calls, %.2f calls each; held %d; worst team %.2f",
					inTarget, float64(f.answered-f.inTarget)/requests, float64(f.refused)/requests, rejected, float64(f.calls)/requests, f.heldRefusals, worst)
				if inTarget < c.inTarget || rejected >= c.rejected || worst < c.due || f.badReturns > 0 || float64(f.heldRefusals) > 0.005*requests {
					t.Errorf("in target %.3f of %.2f, rejected %.3f, worst team %.2f, %d held refusals, %d without time to return",
						inTarget, c.inTarget, rejected, worst, f.heldRefusals, f.badReturns)
				}
			})
		}
	}
}

// TestCallsStayInTheDataCenter guards against calls that go to other data centres although the
// upstreams of the own one are hardly busier, and against these being overrun.
func TestCallsStayInTheDataCenter(t *testing.T) {
	for _, c := range []struct {
		name string
		load smallLoad
		// remote is the largest share of calls to other data centres.
		inTarget, remote float64
	}{
		{"even", smallLoad{burst: 1, apart: true}, 0.9, 0.4},
		{"burst", smallLoad{burst: 1.7, apart: true}, 0, 0.55},
		{"crammed", smallLoad{burst: 1, apart: true, crammed: true}, 0.9, 0.67},
	} {
		for _, instances := range []int{9, 81, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, instances), func(t *testing.T) {
				t.Parallel()
				f := newSmallFleet(instances, c.load)
				f.run()
				requests := float64(f.requests)
				inTarget, rejected, remote := float64(f.inTarget)/requests, float64(f.rejected)/float64(f.calls), float64(f.remote)/float64(f.calls)
				t.Logf("in target %.3f refused %.3f; rejected %.3f, in other data centres %.3f of calls", inTarget, float64(f.refused)/requests, rejected, remote)
				if inTarget < c.inTarget || rejected >= 0.03 || remote > c.remote {
					t.Errorf("in target %.3f of %.2f, rejected %.3f, in other data centres %.3f of %.2f", inTarget, c.inTarget, rejected, remote, c.remote)
				}
			})
		}
	}
}

// TestRanksShareWhatATeamIsDue guards against a rank that is starved by more urgent ones, and
// against shares that add up to more than the team is due.
func TestRanksShareWhatATeamIsDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rates rankRates
		for rank := range rates {
			rates[rank] = rapid.Float64Range(0, 100).Draw(t, "rate")
		}
		rates[0]++
		due := rapid.Float64Range(0.01, 1).Draw(t, "due")
		parts, sum := rates.admitted(due), 0.0
		for rank, part := range parts {
			sum += part * rates[rank]
			if part < due*(1-orderedFraction)*0.999 || part > 1.001 || rank > 0 && rates[rank] > 0 && rates[rank-1] > 0 && part > parts[rank-1]+0.001 {
				t.Fatalf("parts %v of %v", parts, rates)
			}
		}
		if math.Abs(sum-due*rates.sum()) > 0.001*sum {
			t.Fatalf("%v in all of %v", sum, due*rates.sum())
		}
	})
}
