package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/tables"
)

// newLinksDispatcher returns a dispatcher for upstreams of two versions, each with an
// address of its own, in the middle of a rollout.
func newLinksDispatcher() (*Dispatcher, []catalog.Upstream) {
	entries := append(newUpstreams("v1", 3), newUpstreams("v2", 3)...)
	for i := range entries {
		entries[i].Address = fmt.Sprintf("127.0.0.1:%d", i+1)
	}
	d := newDispatcher(entries...)
	d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2", Duration: time.Minute}}, 0)
	return d, entries
}

// loseLinks makes all own links count as lost.
func loseLinks(d *Dispatcher, entries []catalog.Upstream) {
	for _, entry := range entries {
		d.Links().RecordFailure(now, links.Address(entry.Address))
	}
}

// assertBlame checks whether calls that end with the result count against their upstreams
// and the version that they ran on.
func assertBlame(t *testing.T, d *Dispatcher, result Result, through tables.InstanceID, want bool) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	for i := range 40 {
		task := mustAdmit(t, d, newRoute(catalog.Safe), fmt.Sprintf("%s-%d", through, i))
		task.Request.SharedParts = []quarantine.PartID{quarantine.PartID(task.Request.ID)}
		call := mustNextCall(t, d, task)
		d.RecordConnected(now, call, through)
		d.EndCall(now, task, call, result)
	}
	s := d.services["llm"]
	fails, cooldowns := 0.0, 0
	for _, evidence := range s.evidence {
		fails += evidence.Fails
	}
	for _, u := range s.upstreams {
		if !u.CooldownOver(now) || u.Failures > 0 {
			cooldowns++
		}
	}
	_, reported := d.Contribution(now)[upstreamKey(valueFails, s.upstreams[0])]
	is.Equal(cooldowns > 0, want)
	is.Equal(reported, want)
	if result == TimedOut {
		is.Equal(fails > 0, want)
	}
}

// TestLostLinksCountAgainstNoUpstream guards against upstreams and versions that are taken
// for bad, here and at peers, because an instance has lost its own links.
func TestLostLinksCountAgainstNoUpstream(t *testing.T) {
	for _, result := range []Result{TimedOut, Broken} {
		t.Run(fmt.Sprintf("result %d over a link that works", result), func(t *testing.T) {
			d, _ := newLinksDispatcher()
			assertBlame(t, d, result, "", true)
		})
		t.Run(fmt.Sprintf("result %d over a lost link", result), func(t *testing.T) {
			d, entries := newLinksDispatcher()
			loseLinks(d, entries)
			assertBlame(t, d, result, "", false)
		})
	}
	t.Run("timed out through a peer", func(t *testing.T) {
		d, entries := newLinksDispatcher()
		loseLinks(d, entries)
		assertBlame(t, d, TimedOut, "peer", false)
	})
	t.Run("broken by the upstream of a peer", func(t *testing.T) {
		d, entries := newLinksDispatcher()
		loseLinks(d, entries)
		assertBlame(t, d, Broken, "peer", true)
	})
	t.Run("broken with the peer", func(t *testing.T) {
		d, entries := newLinksDispatcher()
		loseLinks(d, entries)
		assertBlame(t, d, LinkLost, "peer", false)
	})
	t.Run("a call on a lost link may have run", func(t *testing.T) {
		d, entries := newLinksDispatcher()
		loseLinks(d, entries)
		task := mustAdmit(t, d, newRoute(catalog.Unsafe), "a")
		d.EndCall(now, task, mustNextCall(t, d, task), Broken)
		is.New(t).Equal(task.PossibleRuns, 1)
		_, fault := d.NextCall(now, task)
		is.New(t).True(fault != nil)
	})
}

// TestConnectingIsNoLatency guards against an upstream or a version that seems slow because
// it took long to connect to it.
func TestConnectingIsNoLatency(t *testing.T) {
	is := is.New(t)
	d, _ := newLinksDispatcher()
	task := mustAdmit(t, d, newRoute(catalog.Streaming), "a")
	call := mustNextCall(t, d, task)
	d.RecordConnected(now.Add(400*time.Millisecond), call, "peer")
	d.StartAnswer(now.Add(450*time.Millisecond), task, call, -1)
	is.Equal(call.StartLatency(), 50*time.Millisecond)
}
