package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

// candidate is an instance that competes for the lease. Its clock is offset
// from the others'.
type candidate struct {
	skew    time.Duration
	watcher LeaseWatcher
	lease   HeldLease
	holder  string
	// version is the version of the lease object after the last write.
	version uint64
}

// order is an order sent to an engine that ignores fencing tokens.
type order struct {
	holder        string
	fencingToken  uint64
	sentAt        time.Duration
	takesEffectAt time.Duration
}

// simulation is a store with one lease, candidates that may pause at any
// moment, and the orders that they sent.
type simulation struct {
	now        time.Duration
	lease      Lease
	version    uint64
	candidates []*candidate
	orders     []order
}

// clock returns the time by a candidate's own clock.
func (s *simulation) clock(instance *candidate) time.Time {
	return time.Unix(1000, 0).Add(s.now + instance.skew)
}

// write writes the lease by conditional update and reports success. The answer
// to an applied write may be lost.
func (s *simulation) write(t *rapid.T, version uint64, lease Lease) bool {
	if version != s.version {
		return false
	}
	s.version++
	s.lease = lease
	return !rapid.Bool().Draw(t, "answer lost")
}

// take lets a candidate try to take the lease, with a pause before its write.
func (s *simulation) take(t *rapid.T) {
	instance := rapid.SampledFrom(s.candidates).Draw(t, "candidate")
	current, version := s.lease, s.version
	if !instance.watcher.MayTake(s.clock(instance), version, current) {
		return
	}
	requestedAt := s.clock(instance)
	s.pause(t)
	if s.write(t, version, current.TakenBy(instance.holder)) {
		instance.lease.Extend(requestedAt, current.FencingToken+1)
		instance.version = s.version
	}
}

// renew lets a candidate renew the lease that it holds, with a pause before its
// write. A write that fails or whose answer is lost ends its term.
func (s *simulation) renew(t *rapid.T) {
	instance := rapid.SampledFrom(s.candidates).Draw(t, "candidate")
	if !instance.lease.InForce(s.clock(instance)) {
		return
	}
	lease, requestedAt := s.lease, s.clock(instance)
	s.pause(t)
	if instance.version == s.version && s.write(t, instance.version, lease) {
		instance.lease.Extend(requestedAt, instance.lease.FencingToken)
		instance.version = s.version
		return
	}
	instance.lease.Invalidate()
}

// send sends an order from each candidate whose lease is in force. Orders
// take effect within MaxOrderDelay.
func (s *simulation) send(t *rapid.T) {
	for _, instance := range s.candidates {
		if instance.lease.InForce(s.clock(instance)) {
			s.sendOrder(t, instance)
		}
	}
}

func (s *simulation) sendOrder(t *rapid.T, instance *candidate) {
	delay := rapid.SampledFrom([]time.Duration{0, time.Second, MaxOrderDelay}).Draw(t, "life")
	s.orders = append(s.orders, order{instance.holder, instance.lease.FencingToken, s.now, s.now + delay})
}

// pause advances the time by up to more than a lease's duration, as for a
// process that was stopped.
func (s *simulation) pause(t *rapid.T) {
	pauses := []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 7 * time.Second, 14 * time.Second}
	s.now += rapid.SampledFrom(pauses).Draw(t, "pause")
}

// assertOrdered checks that no order of an earlier holder takes effect after
// one of a later holder was sent, and that each fencing token has one holder.
func (s *simulation) assertOrdered(t *rapid.T) {
	for _, a := range s.orders {
		for _, b := range s.orders {
			if a.fencingToken < b.fencingToken && a.takesEffectAt > b.sentAt {
				t.Fatalf("order of fence %d takes effect at %s, one of fence %d was sent at %s", a.fencingToken, a.takesEffectAt, b.fencingToken, b.sentAt)
			}
			if a.fencingToken == b.fencingToken && a.holder != b.holder {
				t.Fatalf("fence %d has two holders", a.fencingToken)
			}
		}
	}
}

// With skewed clocks, paused processes and lost answers, an order of a former
// holder must not reach an engine after its successor has sent one.
func TestOrdersOfSuccessiveHoldersDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{version: 1, lease: Lease{Released: true}}
		for _, holder := range []string{"a", "b", "c"} {
			skew := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "skew")
			s.candidates = append(s.candidates, &candidate{skew: time.Duration(skew), holder: holder})
		}
		actions := []func(*rapid.T){s.take, s.take, s.renew, s.send, s.send, s.pause}
		for range 120 {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
		}
		s.assertOrdered(t)
	})
}

// Only engines whose actual action differs may get an order.
func TestDiffReturnsChangedEngines(t *testing.T) {
	is := is.New(t)
	pool := &tables.Pool{Model: "small", Version: "v1", Upstreams: []tables.Upstream{{Name: "b"}, {Name: "a"}}}
	actual := Actions{"a": "load small@v1"}
	orders := Diff(pool, DesiredActions(pool, false), actual)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Upstream.Name, tables.UpstreamID("b"))
	is.Equal(orders[0].Action, Action("load small@v1"))
	is.Equal(len(Diff(pool, DesiredActions(pool, true), actual)), 2)
}
