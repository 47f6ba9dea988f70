package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/pacing"
)

// chooseAt chooses among the upstreams at a time after now.
func chooseAt(upstreams []*Upstream, after time.Duration) *Upstream {
	chosen, _, _ := newChooser().Choose(now.Add(after), upstreams, Criteria{})
	return chosen
}

// TestLeavingUpstream guards against calls to an upstream that has said that it is
// leaving, when the store does not say so or says so late.
func TestLeavingUpstream(t *testing.T) {
	t.Run("gets no calls while another is available", func(t *testing.T) {
		upstreams := newUpstreams(2)
		upstreams[0].MarkLeaving(now)
		for range 50 {
			is.New(t).Equal(chooseAt(upstreams, 0), upstreams[1])
		}
	})
	t.Run("gets calls for a short time if there is no other", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		upstreams[0].MarkLeaving(now)
		is.Equal(chooseAt(upstreams, time.Second), upstreams[0])
		is.Equal(chooseAt(upstreams, drainGracePeriod), nil)
	})
	t.Run("stays leaving though its registration says that it is ready", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		upstreams[0].MarkLeaving(now)
		upstreams[0].SetEntry(now.Add(time.Second), upstreams[0].Upstream)
		is.True(!upstreams[0].Usable())
		is.Equal(chooseAt(upstreams, drainGracePeriod), nil)
	})
}

// TestDeferredUpstream guards against calls to an upstream that wants none for a time,
// and against a rush of calls when the time is over.
func TestDeferredUpstream(t *testing.T) {
	t.Run("gets no calls, not even if there is no other", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		upstreams[0].Defer(now, 3*time.Second)
		is.Equal(chooseAt(upstreams, 0), nil)
		is.Equal(chooseAt(upstreams, 3*time.Second-1), nil)
		is.Equal(chooseAt(upstreams, 3*time.Second), upstreams[0])
	})
	t.Run("a shorter time does not replace a longer one", func(t *testing.T) {
		upstreams := newUpstreams(1)
		upstreams[0].Defer(now, 3*time.Second)
		upstreams[0].Defer(now, time.Second)
		is.New(t).Equal(chooseAt(upstreams, 2*time.Second), nil)
	})
	t.Run("an answer to a call from before its word does not bring it back", func(t *testing.T) {
		upstreams := newUpstreams(1)
		upstreams[0].Defer(now, 3*time.Second)
		upstreams[0].EndDeferral(now.Add(-time.Second))
		is.New(t).Equal(chooseAt(upstreams, time.Second), nil)
	})
	t.Run("gets one call at a time until it answers", func(t *testing.T) {
		is := is.New(t)
		upstreams := newUpstreams(1)
		upstreams[0].Defer(now, time.Second)
		after := time.Second
		upstreams[0].RecordCall(now.Add(after))
		is.Equal(chooseAt(upstreams, after), nil)
		is.Equal(chooseAt(upstreams, after+probeInterval), upstreams[0])
		upstreams[0].RecordCall(now.Add(after + probeInterval))
		upstreams[0].EndDeferral(now.Add(after + probeInterval))
		is.Equal(chooseAt(upstreams, after+probeInterval), upstreams[0])
	})
}

// TestColdStatementKeepsWhatWasLearnedLater guards against a rush of calls to an upstream after an
// evacuation, since the answer to a call from before its end says that the upstream is warm.
func TestColdStatementKeepsWhatWasLearnedLater(t *testing.T) {
	const coldStart = 3 * time.Second
	share := func() pacing.Rate { return 1 }
	evacuationEnd, answered := now.Add(time.Second), now.Add(2*time.Second)
	for name, c := range map[string]struct {
		sentAt time.Time
		wait   time.Duration
		until  time.Time
	}{
		"warm, sent before":          {sentAt: now, until: evacuationEnd.Add(coldStart)},
		"warm, sent after":           {sentAt: evacuationEnd.Add(1), until: answered},
		"cold for less, sent before": {sentAt: now, wait: time.Second, until: evacuationEnd.Add(coldStart)},
		"cold for less, sent after":  {sentAt: evacuationEnd.Add(1), wait: time.Second, until: answered.Add(time.Second)},
		"cold for more, sent before": {sentAt: now, wait: 4 * time.Second, until: answered.Add(4 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstreams(1)[0]
			u.PresumeCold(now.Add(-time.Second), time.Second, ColdByEntry)
			u.UpdateWarmUp(now.Add(-time.Second), coldStart, 1, share)
			u.PresumeCold(evacuationEnd, coldStart, ColdByEvacuation)
			u.UpdateWarmUp(evacuationEnd, coldStart, 1, share)
			u.StateCold(answered, c.wait, c.sentAt)
			u.UpdateWarmUp(answered, coldStart, 1, share)
			is.Equal(u.IsCold(answered), c.until.After(answered))
			is.Equal(u.IsCold(c.until.Add(-1)), c.until.After(answered))
			is.True(!u.IsCold(c.until))
		})
	}
}
