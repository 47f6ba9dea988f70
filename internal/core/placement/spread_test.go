package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbsurdPacesAreBounded guards against an upstream that reports no pace or an absurd one, which
// would make sums infinite or not a number, or take all calls.
func TestAbsurdPacesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, pace := range []float64{0, -1, 1e-300, 1e300, math.Inf(1), math.Inf(-1), math.NaN()} {
		u := &Upstream{}
		u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: 1})
		u.RecordLoad(now, ReportedLoad{Slots: 4, Pace: pace})
		report, ok := u.RecentReport(now)
		is.Equal(ok, pace > 0)
		is.True(!ok || report.Pace >= minPace && report.Pace <= maxPace)
		u.SetFleetPace(now, pace)
		for _, at := range []time.Time{now, now.Add(reportTTL), now.Add(statedPaceTTL)} {
			rate := u.Throughput(at, time.Second)
			is.True(rate >= 1/maxPace && rate <= 1/minPace)
			u.RecordUse(at)
			is.True(u.use(at) >= 0 && u.use(at) < 1)
		}
	}
}
