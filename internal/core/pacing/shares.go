package pacing

import "time"

// A Fleet is an instance's position among the instances that divide a limit between them.
// The zero value is a fleet of MinInstances.
type Fleet struct {
	position, instances int
	// largest is the largest number of instances that was known since largestAt.
	largest   int
	largestAt time.Time
}

// MinInstances is assumed while few instances are known. It keeps instances that have lost
// contact with each other from taking the whole of a limit each.
const MinInstances = 8

const (
	// fleetMemory is how long an instance assumes the largest fleet that it has known. It
	// may be the one that is cut off.
	fleetMemory = 30 * time.Second
	// usedFraction is the part of a limit that the fleet uses. Instances may disagree for a
	// moment on the size of the fleet.
	usedFraction = 0.9
	// maxIdleCallers bounds the instances that call an upstream whose limit is below one
	// call a second for each of them, since after a pause all may call at once.
	maxIdleCallers = 4
)

// SetPosition sets the instance's position among the live instances, from 0, and their
// number.
func (f *Fleet) SetPosition(now time.Time, position, instances int) {
	f.position, f.instances = position, instances
	if instances >= f.largest || now.Sub(f.largestAt) > fleetMemory {
		f.largest, f.largestAt = instances, now
	}
}

// Size returns the number of instances that divide a limit.
func (f *Fleet) Size() int {
	return max(MinInstances, f.instances, f.largest)
}

// IsCaller reports whether the instance is one of the callers of an upstream, given their
// number. The callers of the upstreams of a service, of which the rank counts those before
// this one, are spread over the fleet.
func (f *Fleet) IsCaller(callers, rank, upstreams int) bool {
	size := f.Size()
	first := rank * size / max(1, upstreams)
	return (f.position-first+size)%size < callers
}

// RateShare returns the instance's part of the rate that an upstream takes. The parts of
// all instances add up to less. If there are more instances than calls in a second, some of
// them call the upstream and others its neighbours.
func (f *Fleet) RateShare(limit Rate, rank, upstreams int) Rate {
	budget := usedFraction * limit
	neighbours := (f.Size() + upstreams - 1) / max(1, upstreams)
	callers := min(f.Size(), max(1, int(budget), min(neighbours, maxIdleCallers)))
	if !f.IsCaller(callers, rank, upstreams) {
		return 0
	}
	return budget / Rate(callers)
}
