package pacing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

// semaphoreCalls are calls that ask a semaphore for permits.
type semaphoreCalls struct {
	Semaphore
	permits map[int]*Permit
	// open and waiting are the calls in order of arrival.
	open, waiting []int
}

func (c *semaphoreCalls) acquire(now time.Time, limit, call int) {
	opened := false
	p := c.Acquire(now, limit, time.Minute, func() { opened = true; c.onOpen(call) })
	if p == nil {
		return
	}
	c.permits[call] = p
	if !opened {
		c.waiting = append(c.waiting, call)
	}
}

// onOpen records that a call is open. Of those that wait, the first is opened.
func (c *semaphoreCalls) onOpen(call int) {
	c.open = append(c.open, call)
	if len(c.waiting) > 0 && c.waiting[0] == call {
		c.waiting = c.waiting[1:]
	}
}

// release ends the open call that arrived first.
func (c *semaphoreCalls) release(now time.Time) {
	if len(c.open) > 0 {
		first := c.open[0]
		c.open = c.open[1:]
		c.permits[first].Release(now)
	}
}

// TestSemaphoreOpensNoMoreThanItsLimit guards against more open calls than the upstream runs at
// once, calls that are opened out of order, and room that stays unused while calls wait.
func TestSemaphoreOpensNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := semaphoreCalls{permits: map[int]*Permit{}}
		limit, now := rapid.IntRange(1, 8).Draw(t, "limit"), start
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "acquire") {
				c.acquire(now, limit, n)
			} else {
				c.release(now)
			}
			switch {
			case len(c.open) > limit:
				t.Fatalf("%d calls are open, the limit is %d", len(c.open), limit)
			case len(c.open) == 0 && len(c.waiting) > 0:
				t.Fatalf("%v wait for nothing", c.waiting)
			case !slices.IsSorted(c.open):
				t.Fatalf("calls are opened in the order %v", c.open)
			}
		}
	})
}

// fullUpstream is an upstream that runs room calls at once, each for 20 ms.
type fullUpstream struct {
	Semaphore
	room, running, served int
	ending                map[time.Time][]*Permit
	rejections            []time.Time
}

// call makes a call if there is room as far as the semaphore knows.
func (u *fullUpstream) call(now time.Time, slots int) {
	for _, p := range u.ending[now] {
		u.running--
		p.Release(now)
	}
	isOpen := false
	p := u.Acquire(now, slots, 0, func() { isOpen = true })
	switch end := now.Add(20 * time.Millisecond); {
	case !isOpen:
	case u.running >= u.room:
		u.rejections = append(u.rejections, now)
		u.RecordRejection(now)
		p.Release(now)
	default:
		u.running++
		u.served++
		u.ending[end] = append(u.ending[end], p)
	}
}

// mostRejections returns the largest number of rejections in a second.
func (u *fullUpstream) mostRejections() int {
	most, first := 0, 0
	for n, at := range u.rejections {
		for at.Sub(u.rejections[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// TestSemaphoreAfterRejections guards against an upstream that runs fewer calls than it has
// slots and is made to reject more than it tolerates.
func TestSemaphoreAfterRejections(t *testing.T) {
	const calls = 5000
	for _, load := range []struct{ slots, room, tolerated int }{{12, 6, 3}, {12, 0, 1}, {6, 5, 1}, {48, 20, 10}} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			u := fullUpstream{room: load.room, ending: map[time.Time][]*Permit{}}
			u.SetTolerated(load.tolerated)
			for n := range calls {
				u.call(start.Add(time.Duration(n)*time.Millisecond), load.slots)
			}
			t.Logf("%d rejections, %d served", len(u.rejections), u.served)
			is.True(u.mostRejections() <= load.tolerated)
			is.True(u.served >= load.room*calls/20/4)
		})
	}
}

// TestOwners guards against instances that disagree on the owner of an upstream, and against an
// owner that is asked although it is lost.
func TestOwners(t *testing.T) {
	is := is.New(t)
	members := []tables.InstanceID{"a", "b", "c", "d"}
	owned := map[tables.InstanceID]int{}
	for n := range 400 {
		upstream := tables.UpstreamID(fmt.Sprintf("u-%d", n))
		owners := map[tables.InstanceID]bool{}
		for _, self := range members {
			var o Owners
			o.Set(self, members)
			owner := o.Of(start, upstream)
			if owner == "" {
				owner = self
			}
			owners[owner] = true
			if owner == self {
				owned[self]++
				continue
			}
			o.Avoid(start, owner)
			is.True(o.Of(start, upstream) != owner)
			is.Equal(o.Of(start.Add(avoidTime), upstream), owner)
		}
		is.Equal(len(owners), 1)
	}
	for _, member := range members {
		is.True(owned[member] > 50)
	}
	var alone Owners
	is.Equal(alone.Of(start, "u"), tables.InstanceID(""))
}

// TestLateOwners guards against two owners of an upstream, since one was late and others took
// it for lost, and against an owner that is asked on though it answers nothing.
func TestLateOwners(t *testing.T) {
	members := []tables.InstanceID{"a", "b"}
	newOwners := func() *Owners {
		o := &Owners{}
		o.Set("a", members)
		return o
	}
	t.Run("a late owner keeps its upstreams", func(t *testing.T) {
		is := is.New(t)
		o := newOwners()
		is.True(!o.RecordLate(start, "b"))
		is.True(!o.RecordLate(start.Add(maxLateness-1), "b"))
	})
	t.Run("an owner that answers nothing is replaced", func(t *testing.T) {
		is := is.New(t)
		o := newOwners()
		o.RecordLate(start, "b")
		is.True(o.RecordLate(start.Add(maxLateness), "b"))
		is.Equal(o.Of(start.Add(maxLateness), "u"), tables.InstanceID(""))
	})
	t.Run("an answer between late ones", func(t *testing.T) {
		is := is.New(t)
		o := newOwners()
		o.RecordLate(start, "b")
		o.RecordAnswer("b")
		is.True(!o.RecordLate(start.Add(maxLateness), "b"))
	})
	t.Run("late answers far apart, as of rare calls", func(t *testing.T) {
		is := is.New(t)
		o := newOwners()
		for n := range 3 {
			is.True(!o.RecordLate(start.Add(time.Duration(n)*time.Minute), "b"))
		}
	})
	t.Run("a member that has left is forgotten", func(t *testing.T) {
		o := newOwners()
		o.RecordLate(start, "b")
		o.Set("a", members[:1])
		is.New(t).Equal(len(o.late), 0)
	})
}
