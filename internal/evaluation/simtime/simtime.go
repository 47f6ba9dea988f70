// Package simtime provides the simulated clock and event queue of emulations.
package simtime

import (
	"container/heap"
	"time"
)

// A Scheduler is a queue of actions that are due at simulated times. The zero
// value is an empty queue at time zero. It is not safe for concurrent use.
type Scheduler struct {
	now      time.Duration
	entries  entries
	sequence uint64
}

type entries []entry

type entry struct {
	at time.Duration
	// sequence orders entries that are due at the same time as they were added.
	sequence uint64
	action   func()
}

// Now returns the simulated time.
func (s *Scheduler) Now() time.Duration {
	return s.now
}

// NextDue returns the time at which the next action is due, and false if there
// is none.
func (s *Scheduler) NextDue() (time.Duration, bool) {
	if len(s.entries) == 0 {
		return 0, false
	}
	return s.entries[0].at, true
}

// Schedule adds an action that is due after a delay. A negative delay counts as
// zero.
func (s *Scheduler) Schedule(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.entries, entry{s.now + max(0, delay), s.sequence, action})
}

// AdvanceTo runs, in order, all actions that are due up to and including a
// time, including those that they schedule, and sets the simulated time to it.
// A time in the past leaves the simulated time as it is.
func (s *Scheduler) AdvanceTo(until time.Duration) {
	for len(s.entries) > 0 && s.entries[0].at <= until {
		next, ok := heap.Pop(&s.entries).(entry)
		if !ok {
			return
		}
		s.now = next.at
		next.action()
	}
	s.now = max(s.now, until)
}

// Len returns the number of entries. It implements heap.Interface, as do Less,
// Swap, Push and Pop.
func (e entries) Len() int { return len(e) }

// Less orders entries by time, then by the order in which they were added.
func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two entries.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an entry at the end.
func (e *entries) Push(x any) {
	if added, ok := x.(entry); ok {
		*e = append(*e, added)
	}
}

// Pop removes and returns the last entry.
func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*e = old[:len(old)-1]
	return last
}
