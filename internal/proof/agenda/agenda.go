// Package agenda keeps the simulated time of emulations and what happens when.
package agenda

import (
	"container/heap"
	"time"
)

// An Agenda is the queue of what happens next. Its zero value begins at zero.
// It is not safe for concurrent use.
type Agenda struct {
	now      time.Duration
	entries  entries
	sequence uint64
}

type entries []entry

type entry struct {
	at time.Duration
	// sequence keeps entries of one time in the order they were added.
	sequence uint64
	action   func()
}

// Now returns the simulated time.
func (a *Agenda) Now() time.Duration {
	return a.now
}

// Next returns when the next act is due, and false if there is none.
func (a *Agenda) Next() (time.Duration, bool) {
	if len(a.entries) == 0 {
		return 0, false
	}
	return a.entries[0].at, true
}

// Schedule adds an act that is due after some time.
func (a *Agenda) Schedule(delay time.Duration, action func()) {
	a.sequence++
	heap.Push(&a.entries, entry{a.now + max(0, delay), a.sequence, action})
}

// Advance lets everything happen that is due before a time.
func (a *Agenda) Advance(until time.Duration) {
	for len(a.entries) > 0 && a.entries[0].at <= until {
		next, ok := heap.Pop(&a.entries).(entry)
		if !ok {
			return
		}
		a.now = next.at
		next.action()
	}
	a.now = max(a.now, until)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e entries) Len() int { return len(e) }

// Less orders by time, then by the order of adding.
func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap swaps two entries.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an entry at the end.
func (e *entries) Push(x any) {
	if added, ok := x.(entry); ok {
		*e = append(*e, added)
	}
}

// Pop removes the last entry.
func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*e = old[:len(old)-1]
	return last
}
