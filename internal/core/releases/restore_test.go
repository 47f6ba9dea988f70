package releases

import (
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
)

// TestRolloutAfterARestore guards against a rollout that goes back behind what callers have
// seen, or is done again, since the store was restored from a copy older than its progress.
func TestRolloutAfterARestore(t *testing.T) {
	stage3, completed, rolledBack := catalog.Progress{State: catalog.InProgress, Stage: 3}, catalog.Progress{State: catalog.Completed, Stage: 6}, catalog.Progress{State: catalog.RolledBack, Stage: 2}
	inEra := func(era uint64, progress catalog.Progress) *catalog.Rollout {
		r := newRollout(progress)
		r.Era = era
		return r
	}
	for name, known := range map[string]catalog.Progress{"in progress": stage3, "completed": completed, "rolled back": rolledBack} {
		for copyName, older := range map[string]catalog.Progress{"pending": {}, "first stage": {State: catalog.InProgress}} {
			t.Run(name+" in a store that has it "+copyName, func(t *testing.T) {
				is := is.New(t)
				var tracker Tracker
				tracker.SetRollout(start, inEra(1, known), 0)
				if older.State == catalog.Pending {
					// The order is lost, and written again.
					tracker.SetRollout(start, nil, 0)
				}
				for range 2 {
					tracker.SetRollout(start, inEra(2, older), 0)
					rollout, active := tracker.CurrentRollout()
					is.True(active)
					is.Equal(rollout.Progress, known)
					is.Equal(rollout.Era, uint64(2))
					progress, due := tracker.NextProgress(start, Limits{MaxExposure: 0.15}, TargetState{})
					is.True(due) // The store lacks it.
					is.Equal(progress, known)
				}
				tracker.SetRollout(start, inEra(2, known), 0)
				is.True(!tracker.Behind())
				if known.State.Ended() {
					tracker.SetRollout(start, inEra(2, catalog.Progress{}), 0)
					is.True(tracker.InProgress()) // The operator orders it again.
				}
			})
		}
	}
	t.Run("a verdict stays", func(t *testing.T) {
		is := is.New(t)
		var tracker Tracker
		tracker.SetRollout(start, inEra(1, stage3), 0)
		is.True(tracker.Reject())
		tracker.SetRollout(start, nil, 0)
		tracker.SetRollout(start, inEra(2, catalog.Progress{}), 0)
		is.Equal(tracker.TargetShare(Limits{MaxExposure: 0.15}), 0.0)
	})
	t.Run("another target", func(t *testing.T) {
		is := is.New(t)
		var tracker Tracker
		tracker.SetRollout(start, inEra(1, completed), 0)
		next := inEra(2, catalog.Progress{})
		next.Target = "v3"
		tracker.SetRollout(start, next, 0)
		is.True(tracker.InProgress())
		is.True(!tracker.Behind())
	})
}
