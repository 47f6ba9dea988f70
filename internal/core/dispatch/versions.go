package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/tables"
)

// candidates returns the version for the task and the upstreams that it may
// use.
func (d *Dispatcher) candidates(now time.Time, task *Task) (tables.VersionID, []*placement.Upstream) {
	s := task.service
	rollout, known := s.tracker.CurrentRollout()
	if !known {
		version := s.majorityVersion()
		return version, s.upstreamsByVersion(version, true)
	}
	share := s.tracker.TargetShare(d.limits.Release)
	useTarget := d.onTarget(now, task, share)
	upstreams := s.upstreamsByVersion(rollout.Target, useTarget)
	if useTarget && s.tracker.InCanaryStage() && len(task.tried) == 0 {
		upstreams = canaryUpstreams(now, upstreams, rollout.Target, share, task.runModel())
	}
	mayUseBaseline := useTarget && s.tracker.InProgress()
	if mayUseBaseline && (len(upstreams) == 0 || task.calls == 0 && !task.pinned && !anyHasRoom(now, upstreams)) {
		// The target has no upstreams yet, or those that get its share are at their limits.
		useTarget = false
		upstreams = s.upstreamsByVersion(rollout.Target, false)
	}
	if useTarget {
		return rollout.Target, upstreams
	}
	return baselineVersion, upstreams
}

// anyHasRoom reports whether one more call is within the limits of any of the upstreams.
func anyHasRoom(now time.Time, upstreams []*placement.Upstream) bool {
	return slices.ContainsFunc(upstreams, func(u *placement.Upstream) bool { return u.HasRoom(now) })
}

// baselineVersion stands for all versions other than the target of a rollout.
const baselineVersion tables.VersionID = ""

// onTarget reports whether the task goes to the target of the rollout.
func (d *Dispatcher) onTarget(now time.Time, task *Task, share float64) bool {
	if share <= 0 || share >= 1 {
		return share >= 1
	}
	target := task.service.tracker.Target()
	switch {
	case task.calls > 0 && task.version != target:
		return false
	case task.calls > 0 && len(task.tried) > 0 && !task.pinned:
		// A failed call on the new version is retried on the old one, so that a
		// bad version costs each caller at most one call.
		return false
	case task.calls > 0:
		return true
	}
	session := task.Request.Session
	if session == "" {
		return releases.Selected(task.Request.ID, share)
	}
	if version, ok := d.sessions.get(now, task.service.name, session, d.limits.SessionTTL); ok {
		task.pinned = version == target
		return task.pinned
	}
	if task.service.tracker.SessionsPinned() {
		// The session may have been served by another instance before.
		switch {
		case d.totals[sessionKey(task.service.name, session, true)] > 0:
			task.pinned = true
			return true
		case d.totals[sessionKey(task.service.name, session, false)] > 0:
			return false
		}
	}
	return releases.Selected(session, share)
}

// rememberSession records the version on which the task's session runs.
func (d *Dispatcher) rememberSession(now time.Time, task *Task) {
	if task.Request.Session != "" {
		d.sessions.put(now, task.service.name, task.Request.Session, task.version, d.limits.SessionTTL)
	}
}

// canaryUpstreams returns the few upstreams of the target that get its small
// share, of those that may get new work for a model. With few upstreams each sees
// the load that it would see after the rollout.
func canaryUpstreams(now time.Time, upstreams []*placement.Upstream, target tables.VersionID, share float64, model tables.ModelID) []*placement.Upstream {
	const (
		// headroom is the work that the canaries could take as a multiple of
		// their share.
		headroom    = 1.2
		minCanaries = 2
	)
	maxCanaries := max(minCanaries, int(share*headroom*float64(len(upstreams))+0.5))
	if maxCanaries >= len(upstreams) {
		return upstreams
	}
	key := xxhash.Sum64String("canary\x00" + string(target))
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b *placement.Upstream) int {
		return cmp.Compare(b.Score(key), a.Score(key))
	})
	usable := sorted[:0]
	for _, u := range sorted {
		if len(usable) < maxCanaries && mayGetNewWork(u) && !u.Misdirects(now, model) {
			usable = append(usable, u)
		}
	}
	return usable
}

// majorityVersion returns the version of most upstreams.
func (s *service) majorityVersion() tables.VersionID {
	if s.majority != "" {
		return s.majority
	}
	counts := map[tables.VersionID]int{}
	for _, u := range s.upstreams {
		counts[u.Version]++
	}
	var best tables.VersionID
	for version, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	s.majority = best
	return best
}

// upstreamsByVersion returns the upstreams of the version, or, if match is
// false, all the others. The result must not be modified.
func (s *service) upstreamsByVersion(version tables.VersionID, match bool) []*placement.Upstream {
	if s.partition.version != version || s.partition.matching == nil {
		s.partition = partitionByVersion(version, s.upstreams)
	}
	if match {
		return s.partition.matching
	}
	return s.partition.others
}

// partitionByVersion divides the upstreams by the version.
func partitionByVersion(version tables.VersionID, upstreams []*placement.Upstream) partition {
	p := partition{version: version, matching: []*placement.Upstream{}}
	for _, u := range upstreams {
		if u.Version == version {
			p.matching = append(p.matching, u)
		} else {
			p.others = append(p.others, u)
		}
	}
	return p
}
