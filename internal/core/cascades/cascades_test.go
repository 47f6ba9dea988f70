package cascades

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var stages = []Stage{{Pool: "small", Cost: 10, EscalationCost: 1}, {Pool: "large", Cost: 100, EscalationCost: 10}}

// learn adds the ratings of a number of answers to a table. Seven in ten
// requests are easy. The small model's answers to easy and hard requests are
// good with the probabilities easy and hard, the large model's answers to all
// requests with probability 0.96.
func learn(table *EvidenceTable, answers int, easy, hard float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for range answers {
		probability := hard
		if random.Float64() < 0.7 {
			probability = easy
		}
		bucket := BucketOf(probability + 0.1*random.NormFloat64())
		own := Cell{Pool: "small", Class: "chat", Bucket: bucket}
		table.CountAnswer(own)
		table.AddRating(own, draw(random, probability))
		table.AddRating(Cell{Pool: "large", Class: "chat", Escalated: true, Bucket: bucket}, draw(random, 0.96))
		table.AddRating(Cell{Pool: "large", Class: "chat", Bucket: Buckets - 1}, draw(random, 0.96))
	}
}

// draw returns 1 with the given probability, otherwise 0.
func draw(random *rand.Rand, probability float64) float64 {
	if random.Float64() < probability {
		return 1
	}
	return 0
}

// source returns an EvidenceSource that reads the table.
func (t *EvidenceTable) source() EvidenceSource {
	return func(cell Cell) Evidence {
		if evidence := t.cells[cell]; evidence != nil {
			return *evidence
		}
		return Evidence{}
	}
}

// TestNewPlan guards against plans that pay for an expensive stage where a
// cheap one meets the target, or that miss a target which can be met.
func TestNewPlan(t *testing.T) {
	t.Run("good cheap stage is used alone", func(t *testing.T) {
		is := is.New(t)
		table := &EvidenceTable{}
		learn(table, 3000, 0.96, 0.95)
		plan := NewPlan(0.9, 0.01, "chat", stages, table.source())
		is.Equal(plan.Start, 0)
		is.True(plan.Cost < 20)
	})
	t.Run("bad cheap stage is skipped", func(t *testing.T) {
		is := is.New(t)
		table := &EvidenceTable{}
		learn(table, 3000, 0.3, 0.2)
		plan := NewPlan(0.93, 0.01, "chat", stages, table.source())
		is.True(plan.Cost > 95)
	})
	t.Run("mixed cheap stage escalates hard requests", func(t *testing.T) {
		is := is.New(t)
		table := &EvidenceTable{}
		learn(table, 3000, 0.96, 0.4)
		plan := NewPlan(0.9, 0.01, "chat", stages, table.source())
		is.Equal(plan.Start, 0)
		is.True(plan.Quality >= 0.9)
		is.True(plan.Cost < 60)
	})
	t.Run("unreachable target gets the plan of the best quality", func(t *testing.T) {
		is := is.New(t)
		table := &EvidenceTable{}
		learn(table, 3000, 0.5, 0.4)
		plan := NewPlan(0.999, 0.01, "chat", stages, table.source())
		is.True(plan.Quality > 0.9)
	})
}

// TestPlanMeetsReachableTarget guards against a plan that misses a target
// which the last stage alone meets, or that costs more than the last stage
// alone.
func TestPlanMeetsReachableTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &EvidenceTable{}
		learn(table, rapid.IntRange(0, 300).Draw(t, "answers"), rapid.Float64Range(0, 1).Draw(t, "easy"), rapid.Float64Range(0, 1).Draw(t, "hard"))
		target := rapid.Float64Range(0, 1).Draw(t, "target")
		last := NewPlan(target, 0, "chat", stages[1:], table.source())
		plan := NewPlan(target, 0, "chat", stages, table.source())
		if last.Quality >= target && plan.Quality < target-1e-9 {
			t.Fatalf("plan has quality %g, target %g, last stage %g", plan.Quality, target, last.Quality)
		}
		if last.Quality >= target && plan.Cost > last.Cost+1e-9 {
			t.Fatalf("plan costs %g, the last stage alone %g", plan.Cost, last.Cost)
		}
	})
}

// TestQualityMargin guards against a margin that does not shrink with more
// ratings, or that ignores a shortfall of the delivered quality.
func TestQualityMargin(t *testing.T) {
	t.Run("falls with the number of ratings", func(t *testing.T) {
		is.New(t).True(QualityMargin(0.9, Evidence{Ratings: 10, ScoreSum: 9}) > QualityMargin(0.9, Evidence{Ratings: 400, ScoreSum: 360}))
	})
	t.Run("rises with a shortfall", func(t *testing.T) {
		is.New(t).True(QualityMargin(0.9, Evidence{Ratings: 400, ScoreSum: 352}) > QualityMargin(0.9, Evidence{Ratings: 400, ScoreSum: 360}))
	})
}

// FuzzBucketOf guards against a confidence outside of 0 to 1, or NaN, giving a
// bucket out of range.
func FuzzBucketOf(f *testing.F) {
	f.Add(0.5)
	f.Fuzz(func(t *testing.T, confidence float64) {
		if BucketOf(confidence) >= Buckets {
			t.Fatalf("bucket %d for %g", BucketOf(confidence), confidence)
		}
	})
}
