package placement

import "time"

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

// RecordLoad records the report of the upstream's load in an answer that has just come.
func (u *Upstream) RecordLoad(now time.Time, load ReportedLoad) {
	u.reported = loadReport{load, now}
}

// StatesPace reports whether the upstream has stated the pace of its machine in this life.
func (u *Upstream) StatesPace() bool {
	return u.reported.Pace > 0
}

// Pace returns how long work takes at the upstream now, relative to the usual time of the
// service. It is 1 while nothing is known.
func (u *Upstream) Pace(_ time.Time) float64 {
	if !u.StatesPace() {
		return 1
	}
	return u.reported.Pace
}
