package releases

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosayard/internal/core/catalog"
)

// statusWrite is a conditional write of a rollout's status.
type statusWrite struct {
	revision uint64
	progress catalog.Progress
}

// statusStore is a store with one rollout. Writes may take effect with a delay.
type statusStore struct {
	t       *rapid.T
	rollout catalog.Rollout
	delayed []statusWrite
}

// write applies the write if the rollout still has its revision.
func (s *statusStore) write(w statusWrite) {
	previous := s.rollout.Progress
	switch {
	case w.revision != s.rollout.Revision:
		return
	case previous.State.Ended():
		s.t.Fatalf("a rollout that had ended as %v went to %v", previous, w.progress)
	case w.progress.Stage < previous.Stage:
		s.t.Fatalf("the stage fell from %v to %v", previous, w.progress)
	}
	s.rollout.Progress = w.progress
	s.rollout.Revision++
}

// receive applies a write now or keeps it for later.
func (s *statusStore) receive(w statusWrite) {
	if rapid.IntRange(0, 3).Draw(s.t, "late") == 0 {
		s.delayed = append(s.delayed, w)
		return
	}
	s.write(w)
	if len(s.delayed) > 0 && rapid.Bool().Draw(s.t, "takes effect") {
		s.write(s.delayed[0])
		s.delayed = s.delayed[1:]
	}
}

// tick lets an instance read the rollout, or miss it, and write the step that
// is due.
func (s *statusStore) tick(tracker *Tracker, now time.Time) {
	if rapid.IntRange(0, 3).Draw(s.t, "reads") > 0 {
		tracker.SetRollout(now, &s.rollout, 0)
	}
	if rapid.IntRange(0, 40).Draw(s.t, "rejects") == 0 {
		tracker.Reject()
	}
	progress, due := tracker.NextProgress(now, testLimits, readyTarget)
	if current, active := tracker.CurrentRollout(); due && active {
		s.receive(statusWrite{current.Revision, progress})
	}
}

// TestConcurrentWriters lets several instances write the status of one rollout,
// each write conditional on the revision that the instance has seen. Instances
// pause, miss updates and have their writes delayed. A stale write must not
// lower the stage or replace a final state.
func TestConcurrentWriters(t *testing.T) {
	const step = 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		store := &statusStore{t: t, rollout: *newRollout(catalog.Progress{})}
		store.rollout.Revision = 1
		instances := make([]Tracker, rapid.IntRange(1, 5).Draw(t, "instances"))
		for at := time.Duration(0); at < store.rollout.Duration+4*time.Second; at += step {
			i := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			store.tick(&instances[i], start.Add(at))
		}
	})
}
