package dispatch

import (
	"slices"
	"time"

	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/tables"
)

// SetEvacuations replaces the data centres that are evacuated, and returns those that began and
// ended to be. No call is sent to an upstream there. At the end they are presumed cold, since they
// were idle and all instances turn to them at one time.
func (d *Dispatcher) SetEvacuations(now time.Time, dataCenters []tables.DataCenterID) (begun, ended []tables.DataCenterID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, dataCenter := range dataCenters {
		if !slices.Contains(d.evacuated, dataCenter) {
			begun = append(begun, dataCenter)
		}
	}
	for _, dataCenter := range d.evacuated {
		if !slices.Contains(dataCenters, dataCenter) {
			ended = append(ended, dataCenter)
		}
	}
	d.evacuated = slices.Clone(dataCenters)
	for _, s := range d.services {
		bounds := d.warmUpBounds(s)
		for _, u := range s.upstreams {
			if bounds != nil && slices.Contains(ended, u.DataCenter) {
				u.PresumeCold(now, bounds.ColdStart, placement.ColdByEvacuation)
				d.updateWarmUp(now, s, u)
			}
			d.updateEvacuated(u)
		}
	}
	return begun, ended
}

// Evacuations returns the data centres that are evacuated.
func (d *Dispatcher) Evacuations() []tables.DataCenterID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.evacuated)
}

// updateEvacuated applies the evacuations to an upstream.
func (d *Dispatcher) updateEvacuated(u *placement.Upstream) {
	if evacuated := slices.Contains(d.evacuated, u.DataCenter); evacuated != u.Evacuated() {
		u.SetEvacuated(evacuated)
	}
}
