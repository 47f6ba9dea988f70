package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

// TestSemaphoreOpensNoMoreThanItsLimit guards against more open calls than the upstream runs at
// once, calls that are opened out of order, and room that stays unused while calls wait.
func TestSemaphoreOpensNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			s       Semaphore
			opened  []int
			permits = map[int]*Permit{}
			waiting []int
		)
		limit, now := rapid.IntRange(1, 8).Draw(t, "limit"), start
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "acquire") {
				before := len(opened)
				if p := s.Acquire(now, limit, time.Minute, func() { opened = append(opened, n) }); p != nil {
					permits[n] = p
					if len(opened) == before {
						waiting = append(waiting, n)
					}
				}
			} else if len(opened) > 0 {
				before := len(opened)
				permits[opened[0]].Release(now)
				opened = opened[1:]
				for _, next := range opened[before-1:] {
					if next != waiting[0] {
						t.Fatalf("%d is opened, %v wait", next, waiting)
					}
					waiting = waiting[1:]
				}
			}
			if len(opened) > limit {
				t.Fatalf("%d calls are open, the limit is %d", len(opened), limit)
			}
			if len(opened) == 0 && len(waiting) > 0 {
				t.Fatalf("%v wait for nothing", waiting)
			}
		}
	})
}

// TestSemaphoreAfterRejections guards against an upstream that runs fewer calls than it has
// slots and is made to reject more than it tolerates.
func TestSemaphoreAfterRejections(t *testing.T) {
	for _, load := range []struct{ slots, room, tolerated int }{{12, 6, 3}, {12, 0, 1}, {6, 5, 1}, {48, 20, 10}} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			var s Semaphore
			s.SetTolerated(load.tolerated)
			now := start
			running, served := 0, 0
			var rejections []time.Time
			ending := map[time.Time][]*Permit{}
			for range 5000 {
				for _, p := range ending[now] {
					running--
					p.Release(now)
				}
				isOpen := false
				p := s.Acquire(now, load.slots, 0, func() { isOpen = true })
				switch {
				case !isOpen:
				case running >= load.room:
					rejections = append(rejections, now)
					s.RecordRejection(now)
					p.Release(now)
				default:
					running++
					served++
					ending[now.Add(20*time.Millisecond)] = append(ending[now.Add(20*time.Millisecond)], p)
				}
				now = now.Add(time.Millisecond)
			}
			for i, at := range rejections {
				inWindow := 0
				for _, other := range rejections[i:] {
					if other.Sub(at) < time.Second {
						inWindow++
					}
				}
				is.True(inWindow <= load.tolerated)
			}
			t.Logf("%d rejections, %d served", len(rejections), served)
			is.True(served >= load.room*5000/20/4)
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
