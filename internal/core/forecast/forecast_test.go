package forecast

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

// engine is the true speed of an emulated engine.
type engine struct {
	overhead, perThousandTokens, queueShare float64
	// misses is the share of the shared tokens that the cache holder reads.
	misses float64
}

// call returns a random call and its wait at the engine.
func (e engine) call(random *rand.Rand) (Prompt, Place, Milliseconds, Milliseconds) {
	p := Prompt{Own: tables.Tokens(100 + random.IntN(8000)), Shared: tables.Tokens(random.IntN(14000))}
	place, shared := CacheHolder, e.misses
	if random.IntN(4) == 0 {
		place, shared = Elsewhere, 1
	}
	queued := Milliseconds(random.IntN(1500))
	wait := e.overhead + e.perThousandTokens*(float64(p.Own)+shared*float64(p.Shared))/1000 + e.queueShare*float64(queued)
	return p, place, queued, Milliseconds(wait * (0.8 + 0.4*random.Float64()))
}

// medianError returns the median of the relative errors of predictions for the
// engine.
func medianError(e *Estimator, truth engine) float64 {
	random := rand.New(rand.NewPCG(9, 9))
	var relative []float64
	for range 200 {
		p, place, queued, wait := truth.call(random)
		relative = append(relative, math.Abs(float64(e.Wait(p, place).At(queued)-wait))/float64(wait))
	}
	slices.Sort(relative)
	return relative[len(relative)/2]
}

// TestEstimatorFitsEngines guards against figures of one deployment: engines
// that are many times faster or slower than the prior must be predicted well
// after a few dozen calls.
func TestEstimatorFitsEngines(t *testing.T) {
	const prior = 30
	for _, c := range []struct {
		name  string
		truth engine
	}{
		{"as expected", engine{25, 30, 0.5, 0.4}},
		{"a third as fast", engine{40, 90, 0.8, 0.2}},
		{"five times as fast", engine{10, 6, 0.3, 0.9}},
		{"eight times slower, without a cache", engine{60, 240, 0.9, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := New(prior)
			for range 60 {
				e.Observe(c.truth.call(random))
			}
			is.New(t).True(medianError(e, c.truth) < 0.25)
		})
	}
}

// TestEstimatorFollowsChanges guards against an estimate that stays at old
// speeds.
func TestEstimatorFollowsChanges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	fast, slow := engine{25, 30, 0.5, 0.4}, engine{25, 120, 0.5, 0.4}
	e := New(30)
	for range 200 {
		e.Observe(fast.call(random))
	}
	for range 60 {
		e.Observe(slow.call(random))
	}
	is.True(medianError(e, slow) < 0.25)
}

// TestEstimatorIsSaneWithoutData guards the first requests after a start: a
// longer prompt and a longer queue mean a longer wait, and no wait is negative
// or unbounded, whatever was seen.
func TestEstimatorIsSaneWithoutData(t *testing.T) {
	t.Run("the prior orders prompts and queues", func(t *testing.T) {
		is := is.New(t)
		e := New(30)
		short, long := Prompt{Own: 500}, Prompt{Own: 500, Shared: 9000}
		is.True(e.Wait(short, CacheHolder).At(0) > 0)
		is.True(e.Wait(long, CacheHolder).At(0) > e.Wait(short, CacheHolder).At(0))
		is.True(e.Wait(short, CacheHolder).At(500) > e.Wait(short, CacheHolder).At(0))
		is.True(e.ReadTime(long, Elsewhere) < e.Wait(long, Elsewhere).At(0))
	})
	t.Run("absurd waits keep the coefficients within their bounds", func(t *testing.T) {
		is := is.New(t)
		for _, wait := range []Milliseconds{0, 1e9} {
			e := New(30)
			for range 500 {
				e.Observe(Prompt{Own: 1000, Shared: 5000}, CacheHolder, 100, wait)
			}
			predicted := float64(e.Wait(Prompt{Own: 1000, Shared: 5000}, CacheHolder).At(100))
			is.True(predicted > 0)
			is.True(predicted < 10000)
		}
	})
	t.Run("a model of unknown speed has a finite wait", func(t *testing.T) {
		wait := New(0).Wait(Prompt{Own: 1000}, Elsewhere).At(0)
		is.New(t).True(wait > 0 && wait < 1000)
	})
}

// TestMillisecondsConvert checks the conversion from and to durations.
func TestMillisecondsConvert(t *testing.T) {
	is := is.New(t)
	is.Equal(NewMilliseconds(1500*time.Microsecond), Milliseconds(1.5))
	is.Equal(Milliseconds(1.5).Duration(), 1500*time.Microsecond)
}
