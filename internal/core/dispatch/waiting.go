package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/placement"
)

// A waitingList holds the tasks that wait for room at upstreams that name limits. The zero
// value is empty.
type waitingList struct {
	// waiting are in order of arrival.
	waiting []waitingTask
	// turns counts the calls that were made while tasks waited.
	turns int
}

// waitingTask is a task that waits until room comes, at the latest until its wait is over.
type waitingTask struct {
	*Task
	latest time.Time
}

const (
	// maxRoomWaitFraction is the fraction of its target for which a request waits for
	// room. The rest is for its run.
	maxRoomWaitFraction = 0.5
	// maxNoRoom is the number of upstreams that may have no room for a task in time before
	// it is refused.
	maxNoRoom = 2
	// minRoomWait is the shortest time between two looks for room.
	minRoomWait = 2 * time.Millisecond
	// turnsPerRound is the number of calls of which the last one goes to the oldest task
	// that is not of the most urgent rank, so that no rank is starved.
	turnsPerRound = 4
	// minReturn and maxReturn bound the time after which a refused caller may come back.
	minReturn = 100 * time.Millisecond
	maxReturn = 10 * time.Second
)

// precedes reports whether a task is before another one, by rank and then by arrival.
func (w *waitingTask) precedes(other *Task) bool {
	if w.Request.Rank != other.Request.Rank {
		return w.Request.Rank < other.Request.Rank
	}
	return w.Request.ArrivedAt.Before(other.Request.ArrivedAt)
}

// precedesInLastTurn reports whether a task is before another one in the last turn of a
// round, given the most urgent rank.
func (w *waitingTask) precedesInLastTurn(other *Task, urgent int) bool {
	if first, second := w.Request.Rank > urgent, other.Request.Rank > urgent; first != second {
		return first
	}
	return w.Request.ArrivedAt.Before(other.Request.ArrivedAt)
}

// mustWait reports whether a new task has to wait because others are before it.
func (l *waitingList) mustWait(now time.Time, task *Task) bool {
	if len(l.waiting) == 0 || task.calls > 0 {
		return false
	}
	l.expire(now)
	last, urgent := l.turns%turnsPerRound == turnsPerRound-1, l.urgentRank(task)
	return slices.ContainsFunc(l.waiting, func(w waitingTask) bool {
		switch {
		case w.Task == task, w.version != task.version:
			return false
		case last:
			return w.precedesInLastTurn(task, urgent)
		}
		return w.precedes(task)
	})
}

// remove removes a task. If it got a call, that was its turn.
func (l *waitingList) remove(task *Task, called bool) {
	if len(l.waiting) == 0 {
		return
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingTask) bool { return w.Task == task })
	if called {
		l.turns++
	}
}

// add adds a task, unless it waits already.
func (l *waitingList) add(task *Task, latest time.Time) {
	if !slices.ContainsFunc(l.waiting, func(w waitingTask) bool { return w.Task == task }) {
		l.waiting = append(l.waiting, waitingTask{task, latest})
	}
}

// expire removes the tasks whose wait is over.
func (l *waitingList) expire(now time.Time) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingTask) bool { return now.After(w.latest) })
}

// ahead returns the number of calls that are made before one of the task, as far as is known
// now.
func (l *waitingList) ahead(task *Task) int {
	urgent := l.urgentRank(task)
	before, beforeInLastTurn := 0, 0
	for _, w := range l.waiting {
		if w.Task == task || w.version != task.version {
			continue
		}
		if w.precedes(task) {
			before++
		}
		if w.precedesInLastTurn(task, urgent) {
			beforeInLastTurn++
		}
	}
	calls := before * turnsPerRound / (turnsPerRound - 1)
	if task.Request.Rank > urgent {
		untilLastTurn := turnsPerRound - 1 - l.turns%turnsPerRound
		calls = min(calls, beforeInLastTurn*turnsPerRound+untilLastTurn)
	}
	return calls
}

// urgentRank returns the most urgent rank among a task and those that wait.
func (l *waitingList) urgentRank(task *Task) int {
	rank := task.Request.Rank
	for _, w := range l.waiting {
		rank = min(rank, w.Request.Rank)
	}
	return rank
}

// StopWaiting records that a task no longer waits for room.
func (d *Dispatcher) StopWaiting(task *Task) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	task.service.waiting.remove(task, false)
}

// WaitForRoom returns how long a task that got no call because of the fault waits before
// it asks again, zero if it is to be refused. It waits only as long as it may still be
// served within its target. If limits leave no room for it in that time, it is refused at
// once, and the fault says when to return.
func (d *Dispatcher) WaitForRoom(now time.Time, task *Task, fault *faults.Error) time.Duration {
	if fault.Kind != faults.Overloaded || task.noRoom >= maxNoRoom || task.overCapacity {
		return 0
	}
	latest := task.latestStart()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := &task.service.waiting
	_, candidates := d.candidates(now, task)
	earliest, rate := nextRoom(now, candidates)
	if earliest.IsZero() {
		list.remove(task, false)
		return 0
	}
	// Calls that end make room before that.
	wait := max(minRoomWait, min(earliest.Sub(now), latest.Sub(now)/4))
	if rate > 0 && task.calls == 0 {
		list.expire(now)
		queued := time.Duration(float64(list.ahead(task)) / float64(rate) * float64(time.Second))
		if earliest.Add(queued).After(latest) {
			list.remove(task, false)
			fault.RetryAfter = returnTime(task, earliest.Sub(now)+queued)
			return 0
		}
		list.add(task, latest)
	}
	if now.Add(wait).After(latest) {
		list.remove(task, false)
		return 0
	}
	return wait
}

// latestStart returns the time until which a task waits for room.
func (t *Task) latestStart() time.Time {
	return t.Request.ArrivedAt.Add(time.Duration(maxRoomWaitFraction * float64(t.latencyTarget())))
}

// nextRoom returns when the first of the upstreams takes another call, zero if that is not
// known, and the rate of calls that their limits leave to this instance, zero if not all of
// them name limits or are cold.
func nextRoom(now time.Time, upstreams []*placement.Upstream) (earliest time.Time, rate pacing.Rate) {
	allLimited := true
	for _, u := range upstreams {
		if !u.Usable() || u.Evacuated() {
			continue
		}
		if share, paced := u.PacedShare(now); paced {
			rate += share
		} else {
			allLimited = false
		}
		if at := u.RoomAt(now); !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	if !allLimited {
		rate = 0
	}
	return earliest, rate
}

// returnTime returns when the caller of a refused task may return: after the wait that it
// would have had, up to twice as long, so that not all return at one time.
func returnTime(task *Task, wait time.Duration) time.Duration {
	wait = min(max(wait, minReturn), maxReturn/2)
	return wait + time.Duration(returnSpread(task)*float64(wait))
}

// returnWithin returns when the caller of a task that is refused at once may return, spread over
// the part of its time within which it does so.
func returnWithin(now time.Time, task *Task) time.Duration {
	left := task.Request.Deadline.Sub(now)
	latest := time.Duration(returnFraction * float64(left))
	if latest < minReturn {
		wait := returnTime(task, minReturn)
		if left > 0 {
			wait = min(wait, left)
		}
		return wait
	}
	return minReturn + time.Duration(returnSpread(task)*float64(min(latest, maxReturn)-minReturn))
}

// returnSpread returns a number from 0 to 1 that differs among requests.
func returnSpread(task *Task) float64 {
	const resolution = 1 << 16
	return float64(xxhash.Sum64String("return\x00"+task.Request.ID)%resolution) / resolution
}
