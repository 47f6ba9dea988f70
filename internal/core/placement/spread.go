package placement

import (
	"math/rand/v2"
	"time"

	"mimosayard/internal/core/tables"
)

// fleetPace is the mean pace in the reports that the fleet's instances have had lately.
type fleetPace struct {
	pace float64
	at   time.Time
}

const (
	// spreadHorizon is the time over which calls are split among upstreams: until the next
	// sums arrive, which are up to 400 ms old.
	spreadHorizon = 300 * time.Millisecond
	// minSpread is the least part of its capacity by which an upstream is chosen, so that
	// its state stays known.
	minSpread = 0.02
	// remoteRange is how much busier than remotePenalty the own data centre's upstreams are when
	// the others get as many calls as they can take.
	remoteRange = 0.15
	// maxLocalUse is the use of the own data centre's upstreams from which others get calls however
	// busy they are. Near their throughput all have to be used by what they can take.
	maxLocalUse = 0.6
	// useWeight is the weight of the latest work in the usual use. The work at one moment differs
	// from the mean by more than remotePenalty, since an upstream has few slots.
	useWeight = 0.3
	// reportTTL is how long a report of the load counts as present. The machines are slow
	// for some hundred ms at a time.
	reportTTL = 250 * time.Millisecond
	// statedPaceTTL is how long the pace in a report is used at all.
	statedPaceTTL = 2 * time.Second
)

// SetFleetPace records the mean pace in the reports that the fleet has had lately.
func (u *Upstream) SetFleetPace(now time.Time, pace float64) {
	u.fleetPace = fleetPace{clampPace(pace, maxPace), now}
}

// RecentReport returns what the upstream has reported to this instance lately, and false if it
// has reported no pace.
func (u *Upstream) RecentReport(now time.Time) (ReportedLoad, bool) {
	return u.reported.ReportedLoad, u.reported.Pace > 0 && now.Sub(u.reported.at) < reportTTL
}

// presentPace returns the pace by the latest of the reports that this instance and the others
// have had. It is 1, the most likely, when none is recent.
func (u *Upstream) presentPace(now time.Time) float64 {
	if _, ok := u.RecentReport(now); ok {
		return u.Pace(now)
	}
	if u.fleetPace.pace > 0 && now.Sub(u.fleetPace.at) < reportTTL {
		return u.fleetPace.pace
	}
	if u.StatesPace() && now.Sub(u.reported.at) < statedPaceTTL {
		return u.Pace(now)
	}
	return 1
}

// Throughput returns the number of calls that the upstream can end in a second, given how long
// the work of one usually takes.
func (u *Upstream) Throughput(now time.Time, workTime time.Duration) float64 {
	return float64(max(1, u.Slots)) / (u.presentPace(now) * workTime.Seconds())
}

// Excess returns the calls that are known to wait at the upstream.
func (u *Upstream) Excess() float64 {
	return max(0, u.Work()-float64(max(1, u.Slots)))
}

// ExpectedTime returns how long a call would wait for a slot and run.
func (u *Upstream) ExpectedTime(now time.Time, workTime time.Duration) time.Duration {
	run := float64(workTime) * u.presentPace(now)
	return time.Duration(run + u.Excess()/u.Throughput(now, workTime)*float64(time.Second))
}

// RecordUse updates the part of the upstream's slots that calls usually occupy. It is called with
// each exchange of sums.
func (u *Upstream) RecordUse(now time.Time) {
	u.usualUse += useWeight * (u.Work()/(u.presentPace(now)*float64(max(1, u.Slots))) - u.usualUse)
}

// use returns the part of the upstream's slots that calls occupy at the present pace, or that of
// the calls known to wait, if it is more.
func (u *Upstream) use(now time.Time) float64 {
	return max(u.usualUse*u.presentPace(now), u.Excess()/float64(max(1, u.Slots)))
}

// spreadByCapacity returns a random candidate by what each can take within spreadHorizon beyond
// the work that it has. What is known of the work is up to 400 ms old, and all instances know the
// same: if they chose the least work, they would overrun one upstream while others idle. Bytes
// between data centres cost, so others than the own one get calls only if its upstreams are busier
// by remotePenalty.
func spreadByCapacity(now time.Time, candidates []*Upstream, dataCenter tables.DataCenterID, workTime time.Duration, random *rand.Rand) *Upstream {
	localUse, localThroughput := 0.0, 0.0
	for _, u := range candidates {
		if u.DataCenter == dataCenter {
			throughput := u.Throughput(now, workTime)
			localUse += throughput * u.use(now)
			localThroughput += throughput
		}
	}
	weight := func(u *Upstream) float64 {
		capacity := u.Throughput(now, workTime) * spreadHorizon.Seconds()
		free := capacity - max(0, u.Work()-float64(u.Slots)/2)
		if u.DataCenter != dataCenter && localThroughput > 0 {
			use := localUse / localThroughput
			free *= min(1, max(0, (use-u.use(now)-remotePenalty)/remoteRange, (use-maxLocalUse)/remoteRange))
		}
		return max(minSpread*capacity, free)
	}
	total := 0.0
	for _, u := range candidates {
		total += weight(u)
	}
	point := random.Float64() * total
	for _, u := range candidates {
		if point -= weight(u); point < 0 {
			return u
		}
	}
	return candidates[len(candidates)-1]
}
