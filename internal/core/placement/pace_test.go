package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
)

func newPaced(now time.Time, pace float64) *Upstream {
	u := &Upstream{}
	u.SetEntry(now, catalog.Upstream{ID: "a", Slots: 4, Ready: true})
	u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: pace})
	return u
}

// TestPaceFollowsStatementsAndAnswers guards against a pace that outlasts the moment that it
// was stated for, against one that counts the lasting differences twice, and against a pace of
// upstreams that state none.
func TestPaceFollowsStatementsAndAnswers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	t.Run("a stated moment decays", func(t *testing.T) {
		is := is.New(t)
		u := newPaced(now, 2.5)
		is.Equal(u.Pace(now), 2.5)
		is.True(u.Pace(now.Add(200*time.Millisecond)) < 1.8)
		is.Equal(u.Pace(now.Add(time.Second)), 1.0)
	})
	t.Run("lasting differences that are stated count once", func(t *testing.T) {
		is := is.New(t)
		u := newPaced(now, 1.6)
		u.SetFleetPaceSums(PaceSums{Answers: 200, Ratios: 320, Stated: 320})
		u.SetLastingPace(u.MeanPaceRatio())
		is.True(u.Pace(now) > 1.55 && u.Pace(now) < 1.65)
	})
	t.Run("three figures keep the usual pace", func(t *testing.T) {
		is := is.New(t)
		u := newPaced(now, 0)
		u.ObservePace(now, time.Second, 3)
		is.True(!u.StatesPace())
		is.Equal(u.Pace(now), 1.0)
		is.Equal(u.OwnPaceSums(now), PaceSums{})
	})
}

// TestPaceEndsWithTheStatements guards against an upstream that passes calls on, or whose paces
// are kept, after it has stopped stating its pace.
func TestPaceEndsWithTheStatements(t *testing.T) {
	is := is.New(t)
	u := newPaced(now, 1)
	u.SetFleetPaceSums(PaceSums{Answers: 100, Ratios: 200, Stated: 100})
	u.SetLastingPace(2)
	u.SetOthersFlow(4000)
	u.CompareUsage(now, 2000, 50)
	is.True(u.Overused())
	u.RecordLoad(now, ReportedLoad{Slots: 4})
	is.True(u.StatesPace())
	u.SetFleetPaceSums(PaceSums{})
	is.True(!u.StatesPace())
	is.True(!u.Overused())
	is.Equal(u.flow.keep, 0.0)
	is.Equal(u.LastingPace(), 1.0)
}

// TestStatedPaceIsBounded guards against a statement that makes an upstream look a hundred times
// as fast or slow as the others.
func TestStatedPaceIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(newPaced(now, 1000).reported.Pace, float64(maxPace))
	is.Equal(newPaced(now, 0.001).reported.Pace, minPace)
	is.Equal(newPaced(now, 0).reported.Pace, 0.0)
	is.True(!newPaced(now, math.NaN()).StatesPace())
}
