package rollouts

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosayard/internal/core/tables"
)

var start = time.UnixMilli(1_700_000_000_000)

func drawProgress(t *rapid.T) Progress {
	return Progress{
		Pool:        "p",
		Step:        rapid.IntRange(0, 3).Draw(t, "step"),
		SinceMillis: rapid.Int64Range(0, 5).Draw(t, "since"),
		Withdrawn:   rapid.Bool().Draw(t, "withdrawn"),
	}
}

// Merging that depends on order, grouping or repetition, or that lowers a step
// or undoes a withdrawal, would leave instances with different progress.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawProgress(t), drawProgress(t), drawProgress(t)
		if Merge(a, b) != Merge(b, a) {
			t.Fatalf("order matters: %v %v", a, b)
		}
		if Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) {
			t.Fatalf("grouping matters: %v %v %v", a, b, c)
		}
		if merged := Merge(a, b); Merge(merged, a) != merged || merged.Step < a.Step || (a.Withdrawn && !merged.Withdrawn) {
			t.Fatalf("merging goes back: %v %v", a, b)
		}
	})
}

// A caller must not lose a version when the exposed share rises.
func TestExposedCallersStayExposedAtHigherShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := CallerHash("p", rapid.String().Draw(t, "caller"))
		small := rapid.Float64Range(0, 1).Draw(t, "small")
		large := rapid.Float64Range(small, 1).Draw(t, "large")
		if IsExposed(hash, small) && !IsExposed(hash, large) {
			t.Fatalf("exposed at %g, not at %g", small, large)
		}
	})
}

// runTest feeds a SequentialTest one rating a second, bad with probability
// badShare, and returns the first verdict other than NoChange and the ratings
// it took.
func runTest(rollout *tables.Rollout, badShare float64, ratings int, seed uint64) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var test SequentialTest
	var evidence Evidence
	progress := Progress{SinceMillis: start.UnixMilli()}
	test.Evaluate(start, rollout, progress, evidence, 0.1)
	for n := range ratings {
		evidence.Ratings++
		evidence.Calls++
		if random.Float64() < badShare {
			evidence.RatingShortfall++
		}
		now := start.Add(time.Duration(n+1) * time.Second)
		if verdict := test.Evaluate(now, rollout, progress, evidence, 0.1); verdict != NoChange {
			return verdict, n + 1
		}
	}
	return NoChange, ratings
}

// A version with half of its answers bad has to be withdrawn within 120
// ratings, for any sequence of ratings.
func TestBadVersionIsWithdrawnAfterFewRatings(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		verdict, ratings := runTest(nil, 0.5, 1000, seed)
		is.Equal(verdict, WithdrawRatings)
		is.True(ratings < 120)
	}
}

// Chance runs of bad ratings must not withdraw a version whose share of bad
// answers equals the baseline.
func TestGoodVersionIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		verdict, _ := runTest(nil, 0.1, 5000, seed)
		is.Equal(verdict, NoChange)
	}
}

// Guards against a rollout that advances before the minimum time or waits for
// evidence for ever, and against full exposure of a version that fails.
func TestRolloutVerdicts(t *testing.T) {
	rollout := &tables.Rollout{Steps: []float64{0.1, 1}, StepMin: 10_000, StepMax: 60_000}
	t.Run("good version advances after the minimum time on a step", func(t *testing.T) {
		is := is.New(t)
		verdict, seconds := runTest(rollout, 0.05, 1000, 1)
		is.Equal(verdict, Advance)
		is.True(seconds >= 10)
	})
	t.Run("version without evidence is withdrawn after the maximum time on a step", func(t *testing.T) {
		is := is.New(t)
		var test SequentialTest
		progress := Progress{SinceMillis: start.UnixMilli()}
		is.Equal(test.Evaluate(start, rollout, progress, Evidence{}, 0.1), NoChange)
		is.Equal(test.Evaluate(start.Add(time.Minute), rollout, progress, Evidence{}, 0.1), WithdrawStalled)
	})
	t.Run("version that fails is withdrawn for errors", func(t *testing.T) {
		is := is.New(t)
		var test SequentialTest
		progress := Progress{SinceMillis: start.UnixMilli()}
		test.Evaluate(start, rollout, progress, Evidence{}, 0.1)
		is.Equal(test.Evaluate(start, rollout, progress, Evidence{Calls: 20, FailedCalls: 12}, 0.1), WithdrawErrors)
	})
	t.Run("suspect version is limited before it is withdrawn", func(t *testing.T) {
		is := is.New(t)
		var test SequentialTest
		progress := Progress{SinceMillis: start.UnixMilli()}
		test.Evaluate(start, rollout, progress, Evidence{}, 0.1)
		is.Equal(test.Evaluate(start, rollout, progress, Evidence{Ratings: 8, RatingShortfall: 5}, 0.1), NoChange)
		is.Equal(test.LimitExposure(0.5), limitedShare)
	})
}
