package pacing

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

// memberIDs names instances.
func memberIDs(count int) []tables.InstanceID {
	ids := make([]tables.InstanceID, count)
	for n := range ids {
		ids[n] = tables.InstanceID("entry-" + strconv.Itoa(n))
	}
	return ids
}

// earliestCalls returns the times of the calls of an instance that sends each as early as it may,
// after a pause.
func earliestCalls(share Rate, pause time.Duration) []time.Duration {
	var sent []time.Duration
	var credit Credit
	credit.Start(start, share)
	for at := pause; at < 4*time.Second; {
		if credit.Allows(start.Add(at)) {
			credit.RecordCall(start.Add(at))
			sent = append(sent, at)
		}
		next := credit.AllowsAt(start.Add(at))
		if next.IsZero() {
			break
		}
		at = next.Sub(start)
	}
	return sent
}

// TestColdCallsStayUnderTheBound guards against a second in which all instances together send a
// cold upstream more calls than its bound, also while some of them do not know all others. Each
// caller sends as early as it may, after a pause of its own.
func TestColdCallsStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := memberIDs(rapid.IntRange(1, 300).Draw(rt, "instances"))
		rate := Rate(rapid.Float64Range(0.2, 200).Draw(rt, "rate"))
		bound := ColdBound{rapid.Float64Range(1, 3).Draw(rt, "overshoot"), rapid.Float64Range(0, 10).Draw(rt, "allowance")}
		upstream := rapid.Uint64().Draw(rt, "upstream")
		random := rapid.Uint64Range(0, 1000)
		partial := bound.Most(rate) > 1 && rapid.Bool().Draw(rt, "one instance does not know all")
		var sent []time.Duration
		for n, self := range members {
			known := members
			if partial && n == 0 {
				known = members[:(len(members)+1)/2]
			}
			var c Callers
			c.Set(start, self, known)
			c.Set(start.Add(aloneTime), self, known)
			pause := time.Duration(random.Draw(rt, "pause")) * time.Millisecond
			sent = append(sent, earliestCalls(c.Share(bound, rate, upstream), pause)...)
		}
		slices.Sort(sent)
		first := 0
		for n, at := range sent {
			for at-sent[first] >= time.Second {
				first++
			}
			if n-first+1 > bound.Most(rate) {
				rt.Fatalf("%d calls within a second before %v, %d allowed", n-first+1, at, bound.Most(rate))
			}
		}
	})
}

// TestColdRateIsUsed guards against a cold upstream that gets far less than it tolerates, in a
// fleet of the usual size, and against callers that are the same for all upstreams.
func TestColdRateIsUsed(t *testing.T) {
	is := is.New(t)
	members := memberIDs(66)
	bound := ColdBound{1.5, 5}
	callers, share := bound.Divide(11, len(members))
	is.Equal(callers, 9)
	is.True(share > 1.09 && share < 1.11)
	least, most := 90, 0
	for _, self := range members {
		var c Callers
		c.Set(start, self, members)
		is.Equal(c.Share(bound, 11, 7), Rate(0)) // It has just started.
		c.Set(start.Add(joinTime), self, members)
		count := 0
		for upstream := range uint64(90) {
			if c.Share(bound, 11, upstream) > 0 {
				count++
			}
		}
		least, most = min(least, count), max(most, count)
	}
	t.Logf("instances call %d to %d of 90 upstreams", least, most)
	is.True(least >= 4 && most <= 24)
}

// TestCutInstancesStayNoCallers guards against instances that call in place of those that they
// are cut off from, which still call.
func TestCutInstancesStayNoCallers(t *testing.T) {
	is := is.New(t)
	members := memberIDs(66)
	for _, self := range members[:22] {
		var c Callers
		c.Set(start, self, members)
		c.Set(start.Add(joinTime), self, members)
		before := c.Share(ColdBound{1.5, 5}, 11, 3)
		for second := range 60 {
			c.Set(start.Add(joinTime+time.Duration(second)*time.Second), self, []tables.InstanceID{self})
		}
		is.Equal(c.Share(ColdBound{1.5, 5}, 11, 3), before)
	}
}
