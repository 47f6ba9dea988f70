package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestSharesAddUpToLessThanTheLimit guards against instances that together take more than
// the whole limit of an upstream, and against many that call at once after a pause.
func TestSharesAddUpToLessThanTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 300).Draw(rt, "instances")
		upstreams := rapid.IntRange(1, 40).Draw(rt, "upstreams")
		rank := rapid.IntRange(0, upstreams-1).Draw(rt, "rank")
		limit := Rate(rapid.Float64Range(0.1, 500).Draw(rt, "limit"))
		sum, callers := Rate(0), 0
		for n := range instances {
			var f Fleet
			f.SetPosition(start, n, instances)
			if share := f.RateShare(limit, rank, upstreams); share > 0 {
				sum += share
				callers++
			}
		}
		if sum > limit {
			rt.Fatalf("the shares add up to %v", sum)
		}
		if callers > max(maxIdleCallers, int(limit)) {
			rt.Fatalf("%d callers", callers)
		}
	})
}

// TestCutInstancesRememberTheFleet guards against an instance that takes the share of a small
// fleet because it is cut off from the others.
func TestCutInstancesRememberTheFleet(t *testing.T) {
	is := is.New(t)
	var f Fleet
	is.Equal(f.Size(), MinInstances)
	f.SetPosition(start, 3, 40)
	f.SetPosition(start.Add(time.Second), 0, 1)
	is.Equal(f.Size(), 40)
	f.SetPosition(start.Add(fleetMemory+time.Second), 0, 1)
	is.Equal(f.Size(), MinInstances)
}

// newLimit returns a limit of the rate, of which all is this instance's.
func newLimit(rate Rate) *Limit {
	l := &Limit{}
	l.RecordAnswer(start, rate, true)
	l.SetShare(start, rate)
	return l
}

// TestPausesSaveUpFewCalls guards against a burst of calls at an upstream that was idle.
func TestPausesSaveUpFewCalls(t *testing.T) {
	for _, c := range []struct {
		rate Rate
		want int
	}{{0.5, 1}, {4, 1}, {50, 5}} {
		l := newLimit(c.rate)
		at, count := start.Add(time.Minute), 0
		for l.Allows(at) {
			l.RecordCall(at)
			count++
		}
		is.New(t).Equal(count, c.want)
	}
}

// TestAllowedTimes guards against calls that wait for longer than the limit asks, or ask again
// too early.
func TestAllowedTimes(t *testing.T) {
	is := is.New(t)
	l := newLimit(4)
	at := l.AllowsAt(start)
	is.True(!l.Allows(at.Add(-time.Millisecond)))
	is.True(l.Allows(at))
	is.True(at.Sub(start) < 251*time.Millisecond)
	l.SetShare(start, 0)
	is.True(l.AllowsAt(start).IsZero())
	is.Equal((&Limit{}).AllowsAt(start), start)
}

// TestLatestAnswersDecide guards against limits that outlive the answers that name them, and
// against limits that end although upstreams still name them.
func TestLatestAnswersDecide(t *testing.T) {
	const at = time.Second
	for _, c := range []struct {
		name  string
		fleet Statement
		after time.Duration
		rate  Rate
		named bool
	}{
		{"no answer", Statement{}, at, 4, true},
		{"no answer for long", Statement{}, time.Hour, 0, false},
		{"named again", Statement{Named: 2, RateSum: 12}, time.Hour, 6, true},
		{"not named", Statement{Unnamed: 1}, at, 0, false},
		{"named in most answers", Statement{Named: 2, Unnamed: 1, RateSum: 6}, at, 3, true},
		{"named in half of the answers", Statement{Named: 1, Unnamed: 1, RateSum: 3}, at, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLimit(4)
			l.Apply(start.Add(c.after), c.fleet)
			rate, named := l.Named()
			is.Equal(named, c.named)
			if named {
				is.Equal(rate, c.rate)
			}
		})
	}
}

// TestStatements guards against answers that count although later ones contradict them.
func TestStatements(t *testing.T) {
	is := is.New(t)
	l := &Limit{}
	is.True(!l.RecordAnswer(start, 0, false))
	is.Equal(l.Statement(start), Statement{})
	is.True(l.RecordAnswer(start, 4, true))
	is.Equal(l.Statement(start), Statement{Named: 1, RateSum: 4})
	is.True(!l.RecordAnswer(start, 4.1, true))
	l.RecordAnswer(start, 0, false)
	is.Equal(l.Statement(start), Statement{Unnamed: 1})
	is.Equal(l.Statement(start.Add(2*answerTTL)), Statement{})
}
