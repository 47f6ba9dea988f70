package dispatch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/pacing"
)

const (
	// limitWindow is the time over which calls to an upstream with a limit are counted.
	limitWindow = 4 * time.Second
	// limitSettling is the time from the first answer with a limit until it must hold.
	limitSettling = 3 * time.Second
)

// mostAllowed returns the number of calls in a window that an upstream with a limit takes.
func mostAllowed(limit pacing.Rate) int {
	return int(1.5*float64(limit)*limitWindow.Seconds()) + 5
}

// TestFleetKeepsNamedLimits guards against an upstream that gets more calls than the limit
// that it has named, from all instances together, and against callers who are served worse
// for it. The load is that of a plain service of which some upstreams name limits.
func TestFleetKeepsNamedLimits(t *testing.T) {
	restart := func(f *emulatedFleet) {
		for n := range 2 {
			f.start(n, 0, 1)
		}
	}
	part := func(f *emulatedFleet) {
		f.isolated = map[int]bool{}
		for n := range f.instances / 2 {
			f.isolated[n] = true
			f.dispatchers[n].SetFleetPosition(f.clock(), 0, 1)
		}
		for n := f.instances / 2; n < f.instances; n++ {
			f.dispatchers[n].SetFleetPosition(f.clock(), n-f.instances/2, f.instances-f.instances/2)
		}
	}
	for name, load := range map[string]fleetLoad{
		"one upstream":                {instances: 8, upstreams: 4, limited: 1, rate: 2.1, overload: 0.5},
		"fraction of a call":          {instances: 8, upstreams: 4, limited: 1, rate: 0.3, overload: 0.5},
		"no call":                     {instances: 8, upstreams: 4, limited: 1, rate: 0, overload: 0.5},
		"high limit":                  {instances: 8, upstreams: 4, limited: 2, rate: 60, overload: 0.5},
		"more instances than calls":   {instances: 75, upstreams: 6, limited: 2, rate: 5, overload: 0.5},
		"many instances":              {instances: 300, upstreams: 12, limited: 4, rate: 9, overload: 0.5},
		"failures are repeated":       {instances: 8, upstreams: 4, limited: 1, rate: 4.5, overload: 0.5, failing: 0.3},
		"instances start again":       {instances: 75, upstreams: 6, limited: 2, rate: 12, overload: 0.5, eventAt: 5 * time.Second, onEvent: restart},
		"half of the fleet is cut":    {instances: 16, upstreams: 4, limited: 1, rate: 12, overload: 0.5, eventAt: 5 * time.Second, onEvent: part},
		"other upstreams are crowded": {instances: 8, upstreams: 4, limited: 2, rate: 20, overload: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load.namedAt = time.Second
			f := newEmulatedFleet(load)
			f.run()
			for n := range load.limited {
				s := f.servers[f.entries[n].ID]
				most := s.most(load.namedAt+limitSettling, limitWindow)
				t.Logf("%s: %d in a window, %d allowed; of %d requests %d served, %d in time", f.entries[n].ID, most, mostAllowed(load.rate), f.requests, f.served, f.inTime)
				is.True(most <= mostAllowed(load.rate))
			}
			// An upstream with a limit must serve callers no worse than one that is absent.
			absent := load
			absent.upstreams, absent.limited, absent.onEvent = load.upstreams-load.limited, 0, nil
			absent.overload *= float64(load.upstreams) / float64(absent.upstreams)
			without := newEmulatedFleet(absent)
			without.run()
			t.Logf("without the upstream %d of %d served, %d in time", without.served, without.requests, without.inTime)
			is.True(f.served*without.requests*100 >= without.served*f.requests*99)
			is.True(f.inTime*without.requests*100 >= without.inTime*f.requests*99)
		})
	}
}

// TestNamedLimitsAreUsed guards against callers that are refused although the limits of the
// upstreams leave room for them. All upstreams name limits, below the demand.
func TestNamedLimitsAreUsed(t *testing.T) {
	for name, load := range map[string]fleetLoad{
		"small fleet": {instances: 8, upstreams: 4, limited: 4, rate: 40, overload: 0.5},
		"large fleet": {instances: 75, upstreams: 6, limited: 6, rate: 50, overload: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEmulatedFleet(load)
			f.run()
			room := float64(load.limited) * float64(load.rate) * loadSeconds
			t.Logf("%d served, room for %.0f; %d in time; refused after %v at most", f.served, room, f.inTime, f.worstRefusal)
			for n := range load.limited {
				is.True(f.servers[f.entries[n].ID].most(limitSettling, limitWindow) <= mostAllowed(load.rate))
			}
			is.True(float64(f.served) >= 0.75*room)
			is.True(f.inTime*100 >= f.served*95)
			is.True(f.worstRefusal <= f.route.LatencyTarget)
		})
	}
}

// TestLiftedLimitsEnd guards against an upstream that stays idle after it has lifted its
// limit.
func TestLiftedLimitsEnd(t *testing.T) {
	for _, instances := range []int{8, 40} {
		t.Run(strconv.Itoa(instances), func(t *testing.T) {
			is := is.New(t)
			load := fleetLoad{instances: instances, upstreams: 4, limited: 1, rate: 3, overload: 0.5, liftedAt: 4 * time.Second}
			f := newEmulatedFleet(load)
			f.run()
			count := 0
			for _, at := range f.servers[f.entries[0].ID].arrivals {
				if at >= 6*time.Second && at < loadSeconds*time.Second {
					count++
				}
			}
			fair := 0.5 * serverSlots / serverWork.Seconds() * (loadSeconds - 6)
			t.Logf("%d calls in the last two seconds, a fair part is %.0f", count, fair)
			is.True(float64(count) >= 0.5*fair)
		})
	}
}

// TestRequestsBeyondTheLimitsAreRefusedAtOnce guards against requests that are held although
// the limits of all upstreams leave no room for them in time, against urgent ones that are
// refused for others, against ranks that are starved, and against callers that are all told
// to return at one time. The load is three times what the limits of all upstreams allow.
func TestRequestsBeyondTheLimitsAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		target time.Duration
		// urgent is by how much more often urgent requests are served than all, at least.
		urgent float64
	}{
		{"many can wait", time.Second, 1.4},
		{"hardly one can wait", 100 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newEmulatedFleet(fleetLoad{instances: 8, upstreams: 4, limited: 4, rate: 50, overload: 0.5, ranks: 2, target: c.target})
			f.run()
			urgent, other := f.ranked[0], f.ranked[1]
			all := float64(f.served) / float64(f.requests)
			held := f.heldRefusals / time.Duration(f.refused)
			returning := mostWithin(f.returns, 100*time.Millisecond)
			t.Logf("served %d of %d urgent ones, %d of %d others; refused after %v, at most %v; %d of %d return in one tenth of a second",
				urgent.served, urgent.requests, other.served, other.requests, held, f.worstRefusal, returning, len(f.returns))
			is.True(float64(f.served) >= 0.75*4*50*loadSeconds)
			is.True(f.inTime*100 >= f.served*95)
			is.True(held <= f.route.LatencyTarget/8)
			is.True(f.worstRefusal <= f.route.LatencyTarget)
			is.True(float64(urgent.served)/float64(urgent.requests) >= c.urgent*all)
			is.True(float64(other.served)/float64(other.requests) >= all/4)
			is.True(returning*10 <= len(f.returns))
		})
	}
}

// mostWithin returns the largest number of times that are within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most := 0
	for n, at := range times {
		end, _ := slices.BinarySearch(times, at+window)
		most = max(most, end-n)
	}
	return most
}

// TestCallersThatLeaveDoNotBlockOthers guards against requests that wait behind one whose
// caller has left.
func TestCallersThatLeaveDoNotBlockOthers(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(newUpstreams("v1", 1)...)
	route := newRoute(catalog.Safe)
	call := mustNextCall(t, d, mustAdmit(t, d, route, "first"))
	d.RecordUpstreamState(now, call, UpstreamState{NamesLimit: true, MaxRate: 80})
	left, waits := mustAdmit(t, d, route, "left"), mustAdmit(t, d, route, "waits")
	left.Request.ArrivedAt = now.Add(-time.Millisecond)
	_, fault := d.NextCall(now, left)
	wait := d.WaitForRoom(now, left, fault)
	is.True(wait > 0)
	_, fault = d.NextCall(now.Add(wait), waits)
	is.True(fault != nil)
	d.StopWaiting(left)
	_, fault = d.NextCall(now.Add(wait), waits)
	is.Equal(fault, nil)
}

// TestLimitedCanariesRefuseNoCaller guards against callers who are refused because the few
// upstreams of a new version that get its first share name a limit, although the old ones have
// room.
func TestLimitedCanariesRefuseNoCaller(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(append(newUpstreams("v1", 4), newUpstreams("v2", 4)...)...)
	d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute}}, 0)
	onTarget := 0
	for n := range 400 {
		task := mustAdmit(t, d, newRoute(catalog.Safe), strconv.Itoa(n))
		task.Request.Session = ""
		call := mustNextCall(t, d, task)
		if call.Upstream.Version == "v2" {
			onTarget++
			d.RecordUpstreamState(now, call, UpstreamState{NamesLimit: true, MaxRate: 0.5})
		}
		d.StartAnswer(now, task, call, 100)
		d.EndCall(now, task, call, Served)
	}
	is.True(onTarget > 0)
}
