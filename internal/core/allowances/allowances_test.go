package allowances

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

var start = time.Unix(1000, 0)

// Divide must use up the capacity or satisfy all demand, and must not give a
// satisfied team more per weight than one that is cut.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]Claim, rapid.IntRange(1, 8).Draw(t, "teams"))
		for i := range claims {
			claims[i] = Claim{
				Demand: rapid.Float64Range(0, 100).Draw(t, "demand"),
				Limit:  rapid.Float64Range(1, 100).Draw(t, "limit"),
				Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight"),
			}
		}
		capacity := rapid.Float64Range(1, 300).Draw(t, "capacity")
		Divide(capacity, claims)
		assertMaxMinFair(t, capacity, claims)
	})
}

// assertMaxMinFair fails unless the claims hold a weighted max-min fair division
// of the capacity.
func assertMaxMinFair(t *rapid.T, capacity float64, claims []Claim) {
	const slack = 1e-6
	allocated, demanded := 0.0, 0.0
	for _, c := range claims {
		allocated += c.Allocation
		demanded += c.cappedDemand()
		if c.Allocation > c.cappedDemand()+slack || c.Allocation > c.GrantedRate+slack {
			t.Fatalf("allocation %g exceeds capped demand %g or granted rate %g", c.Allocation, c.cappedDemand(), c.GrantedRate)
		}
	}
	if math.Abs(allocated-min(capacity, demanded)) > slack {
		t.Fatalf("divided %g of capacity %g, capped demand is %g", allocated, capacity, demanded)
	}
	for _, c := range claims {
		for _, other := range claims {
			if c.Allocation < c.cappedDemand()-slack && c.Allocation/c.Weight < other.Allocation/other.Weight-slack {
				t.Fatalf("claim with allocation %g of %g gets less per weight than one with %g", c.Allocation, c.cappedDemand(), other.Allocation)
			}
		}
	}
}

// fleet runs the limiters of one route on several instances, which exchange
// their demand with a delay of one interval.
type fleet struct {
	limiters []Limiter
	limits   tables.Allowance
	now      time.Time
	reported []Demand
}

const (
	exchangeInterval = 500 * time.Millisecond
	callTokens       = 100.0
)

// run sends calls to each instance at its rate per second for a duration and
// returns the tokens admitted per second.
func (f *fleet) run(rates []float64, duration time.Duration) float64 {
	const step = 10 * time.Millisecond
	admitted := 0.0
	pending := make([]float64, len(rates))
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(start)%exchangeInterval == 0 {
			f.exchange()
		}
		for n, rate := range rates {
			for pending[n] += rate * step.Seconds(); pending[n] >= 1; pending[n]-- {
				if f.limiters[n].Admit(f.now, f.limits, callTokens) == nil {
					f.limiters[n].Finish(f.now, callTokens, callTokens)
					admitted += callTokens
				}
			}
		}
	}
	return admitted / duration.Seconds()
}

// exchange gives every limiter the sum of the demands reported at the last
// exchange, then records the current ones.
func (f *fleet) exchange() {
	var total Demand
	for _, d := range f.reported {
		total.RequestsPerSecond += d.RequestsPerSecond
		total.TokensPerSecond += d.TokensPerSecond
	}
	for n := range f.limiters {
		f.limiters[n].SetFleetDemand(total, f.reported[n], 0)
		f.reported[n] = f.limiters[n].LocalDemand(f.now)
	}
}

// newFleet returns a fleet of the given number of instances at start.
func newFleet(count int, limits tables.Allowance) *fleet {
	return &fleet{limiters: make([]Limiter, count), limits: limits, now: start, reported: make([]Demand, count)}
}

// assertWithin fails if got differs from want by more than the fraction
// tolerance of want.
func assertWithin(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Fatalf("got %g, want %g within %g%%", got, want, tolerance*100)
	}
}

// The admitted rate over the fleet must equal the allowance however the calls
// are spread over instances. A fixed split would refuse a team whose calls all
// reach one instance. When the calls move to another instance, the share has to
// follow although the exchange of demands lags.
func TestAllowanceIsEnforcedOverTheFleet(t *testing.T) {
	limits := tables.Allowance{TokensPerSecond: 8000}
	t.Run("even traffic", func(t *testing.T) {
		f := newFleet(8, limits)
		f.run([]float64{20, 20, 20, 20, 20, 20, 20, 20}, 5*time.Second)
		assertWithin(t, f.run([]float64{20, 20, 20, 20, 20, 20, 20, 20}, 20*time.Second), 8000, 0.05)
	})
	t.Run("all traffic at one instance gets the whole allowance", func(t *testing.T) {
		f := newFleet(8, limits)
		f.run([]float64{160, 0, 0, 0, 0, 0, 0, 0}, 5*time.Second)
		assertWithin(t, f.run([]float64{160, 0, 0, 0, 0, 0, 0, 0}, 20*time.Second), 8000, 0.05)
	})
	t.Run("share moves to another instance within two seconds", func(t *testing.T) {
		f := newFleet(8, limits)
		f.run([]float64{160, 0, 0, 0, 0, 0, 0, 0}, 10*time.Second)
		f.run([]float64{0, 0, 0, 160, 0, 0, 0, 0}, 2*time.Second)
		assertWithin(t, f.run([]float64{0, 0, 0, 160, 0, 0, 0, 0}, 5*time.Second), 8000, 0.05)
	})
	t.Run("traffic below the allowance is not refused", func(t *testing.T) {
		f := newFleet(8, limits)
		assertWithin(t, f.run([]float64{30, 10, 5, 5, 0, 0, 0, 5}, 20*time.Second), 5500, 0.02)
	})
}

// Requests in flight at other instances must count against the concurrency
// limit, and a finished request must free its place.
func TestConcurrencyLimitIsEnforcedOverTheFleet(t *testing.T) {
	is := is.New(t)
	limits := tables.Allowance{Concurrency: 3}
	var limiter Limiter
	limiter.SetFleetDemand(Demand{Running: 2}, Demand{}, 0)
	is.Equal(limiter.Admit(start, limits, 1), nil)
	fault := limiter.Admit(start, limits, 1)
	is.True(fault != nil)
	limiter.Finish(start, 1, 1)
	is.Equal(limiter.Admit(start, limits, 1), nil)
}
