package loadsim

import (
	"time"

	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/placement"
)

// evenWindow is the time over which the engines' work is compared. The first one is left out,
// since the instances know nothing yet.
const evenWindow = 5 * time.Second

// schedulePaces sets the engines' paces and schedules their moments and the windows in which
// their work is measured.
func (s *simulation) schedulePaces() {
	paces := s.load.Paces
	if paces == nil {
		return
	}
	for n, e := range s.engines {
		e.lastingPace, e.momentFactor = 1, 1
		if len(paces.Lasting) > 0 {
			e.lastingPace = paces.Lasting[n%len(paces.Lasting)]
		}
		e.Pace = e.lastingPace
		if paces.MomentIntervalSeconds > 0 {
			s.scheduleMoment(e)
		}
	}
	for at := evenWindow; at <= seconds(s.load.DurationSeconds); at += evenWindow {
		s.scheduler.Schedule(at, func() { s.endWindow(at > evenWindow) })
	}
}

// scheduleMoment schedules the next time at which the engine is slow.
func (s *simulation) scheduleMoment(e *engine) {
	paces := s.load.Paces
	s.scheduler.Schedule(seconds(s.paceRandom.ExpFloat64()*paces.MomentIntervalSeconds), func() {
		e.momentFactor = paces.MomentFactor
		e.Pace = e.lastingPace * e.momentFactor
		s.scheduler.Schedule(seconds(paces.MomentMS/1000), func() {
			e.momentFactor = 1
			e.Pace = e.lastingPace
			if s.scheduler.Now() < seconds(s.load.DurationSeconds) {
				s.scheduleMoment(e)
			}
		})
	})
}

// endWindow records the engines' work in a window, times their lasting paces.
func (s *simulation) endWindow(counts bool) {
	work := make([]float64, len(s.engines))
	for n, e := range s.engines {
		s.collector.engineWorkMS += (e.WorkMS - e.windowStart) / float64(len(s.engines))
		work[n] = (e.WorkMS - e.windowStart) * e.lastingPace
		e.windowStart = e.WorkMS
	}
	if counts {
		s.collector.recordWindow(work)
	}
}

// reportLoad gives the dispatcher the engine's report of its load in an answer to a call.
func (r *request) reportLoad(call *dispatch.Call, e *engine) {
	s := r.simulation
	if s.load.Paces == nil || s.load.Paces.Unstated {
		return
	}
	load := placement.ReportedLoad{Slots: e.Config.Slots, Pace: e.momentFactor}
	load.Running, load.Waiting = e.JobCounts()
	if s.load.Paces.StatesLasting {
		load.Pace *= e.lastingPace
	}
	r.dispatcher.RecordUpstreamState(s.clock(), call, dispatch.UpstreamState{Load: &load})
}
