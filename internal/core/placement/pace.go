package placement

import (
	"math"
	"time"
)

// A ReportedLoad is an upstream's report of its load in an answer.
type ReportedLoad struct {
	// Running and Waiting are the calls that run and that wait, of all instances.
	Running, Waiting, Slots int
	// Pace is how long work takes on the upstream's machine now, relative to the usual time. It
	// is zero if the report does not state it.
	Pace float64
}

// loadReport is the latest report of an upstream.
type loadReport struct {
	ReportedLoad
	at time.Time
}

// PaceSums are sums over answers of an upstream that states its pace. They are added over the
// fleet.
type PaceSums struct {
	// Answers is the number of answers, Ratios the sum of the ratios of their observed to
	// their expected times, and Stated that of the paces that the upstream stated.
	Answers, Ratios, Stated float64
}

// paceState is what is known of an upstream's pace. The zero value is the usual pace.
type paceState struct {
	// own are the sums of this instance as of the time at, fleet those of the others.
	own, fleet PaceSums
	at         time.Time
	// lasting is the lasting pace relative to the service's other upstreams, zero before it
	// was computed.
	lasting float64
}

const (
	// paceHalfLife is the half-life of the sums. One instance has about one answer in ten
	// seconds of each of 89 upstreams.
	paceHalfLife = 30 * time.Second
	// paceTTL is how long an instance tells the fleet of its sums after the last answer.
	paceTTL = 2 * time.Minute
	// paceMomentTime is how long a stated pace that differs from the usual one is expected to
	// last. Machines are slow for some hundred milliseconds at a time.
	paceMomentTime = 400 * time.Millisecond
	// pacePriorAnswers is the number of answers that the usual pace counts as.
	pacePriorAnswers = 4
	// statementPriorAnswers is the same for the pace that an upstream usually states. Statements
	// vary less than waits.
	statementPriorAnswers = 0.5
	// maxPaceRatio bounds a single ratio, and minPace and maxPace the pace, so that an answer
	// behind a hidden queue does not count as much as many others.
	maxPaceRatio     = 4
	minPace, maxPace = 0.25, 8
)

// RecordLoad records the report of the upstream's load in an answer that has just come. A stated
// pace beyond the bounds counts as the nearest one within them.
func (u *Upstream) RecordLoad(now time.Time, load ReportedLoad) {
	if load.Pace > 0 {
		load.Pace = clampPace(load.Pace, maxPace)
	} else {
		load.Pace = 0
	}
	u.reported = loadReport{load, now}
	u.updatePaced()
}

// StatesPace reports whether the upstream has stated the pace of its machine in this life, to
// this instance or another.
func (u *Upstream) StatesPace() bool {
	return u.paced
}

// updatePaced updates paced, which is checked at each choice. What was derived from the pace ends
// with it.
func (u *Upstream) updatePaced() {
	u.paced = u.reported.Pace > 0 || u.pace.fleet.Answers > 0
	if !u.paced {
		u.pace.fleet, u.pace.lasting = PaceSums{}, 0
		u.ResetUsage()
	}
}

// Pace returns how long work takes at the upstream now, relative to the usual time of the
// service. It is 1 while nothing is known.
func (u *Upstream) Pace(now time.Time) float64 {
	if !u.paced {
		return 1
	}
	return u.PaceOver(now, 0)
}

// PaceOver returns the mean pace over a time that ends now. The stated pace of the moment counts
// for the part of the time that such a moment lasts.
func (u *Upstream) PaceOver(now time.Time, duration time.Duration) float64 {
	if !u.paced {
		return 1
	}
	return clampPace(u.LastingPace()*u.momentaryPace(now, duration), maxPace)
}

// LastingPace returns the upstream's pace over many answers, relative to the service's other
// upstreams that state one.
func (u *Upstream) LastingPace() float64 {
	if u.pace.lasting == 0 {
		return 1
	}
	return u.pace.lasting
}

// momentaryPace returns the pace that the upstream last stated, relative to what it usually
// states. It tends to 1 within paceMomentTime, and is averaged over a longer duration.
func (u *Upstream) momentaryPace(now time.Time, duration time.Duration) float64 {
	age := now.Sub(u.reported.at)
	if u.reported.Pace <= 0 || age >= paceMomentTime {
		return 1
	}
	weight := 1 - float64(age)/float64(paceMomentTime)
	if duration > paceMomentTime {
		weight *= float64(paceMomentTime) / float64(duration)
	}
	return 1 + weight*(u.reported.Pace/u.usualStatement()-1)
}

// usualStatement returns the mean of the stated paces. It differs from 1 if the statements
// contain the lasting differences between machines.
func (u *Upstream) usualStatement() float64 {
	return (statementPriorAnswers + u.pace.own.Stated + u.pace.fleet.Stated) / (statementPriorAnswers + u.pace.own.Answers + u.pace.fleet.Answers)
}

// ObservePace records the ratio of an answer's observed time to the one that is expected at the
// usual pace. It does nothing if the upstream does not state its pace.
func (u *Upstream) ObservePace(now time.Time, observed time.Duration, ratio float64) {
	if u.reported.Pace <= 0 {
		return
	}
	p := &u.pace
	stated := u.usualStatement()
	if now.Sub(u.reported.at) < paceMomentTime {
		stated = u.reported.Pace
	}
	ratio /= u.momentaryPace(now, observed)
	kept := 0.0
	if !p.at.IsZero() {
		kept = math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalfLife))
	}
	p.at = now
	p.own.Answers = kept*p.own.Answers + 1
	p.own.Ratios = kept*p.own.Ratios + clampPace(ratio, maxPaceRatio)
	p.own.Stated = kept*p.own.Stated + clampPace(stated, maxPace)
}

// OwnPaceSums returns this instance's sums as of the last answer, so that they change only with
// answers. They are zero if that is long ago.
func (u *Upstream) OwnPaceSums(now time.Time) PaceSums {
	if now.Sub(u.pace.at) > paceTTL {
		return PaceSums{}
	}
	return u.pace.own
}

// SetFleetPaceSums sets the sums of the other instances.
func (u *Upstream) SetFleetPaceSums(sums PaceSums) {
	u.pace.fleet = sums
	u.updatePaced()
}

// MeanPaceRatio returns the mean ratio of the fleet's observed to expected times.
func (u *Upstream) MeanPaceRatio() float64 {
	p := &u.pace
	return (pacePriorAnswers + p.own.Ratios + p.fleet.Ratios) / (pacePriorAnswers + p.own.Answers + p.fleet.Answers)
}

// SetLastingPace sets the lasting pace relative to the service's other upstreams.
func (u *Upstream) SetLastingPace(lasting float64) {
	u.pace.lasting = clampPace(lasting, maxPace)
}

func clampPace(pace, highest float64) float64 {
	return min(highest, max(minPace, pace))
}
