// Package cascades plans for each route the cheapest use of its stages that
// meets the quality target, based on delayed and partial ratings.
//
// A plan starts at one stage and accepts its answer if the confidence reaches a
// threshold. Otherwise it escalates the request to the next stage. The evidence
// holds, for each confidence bucket, the ratings of the stage's own answers,
// and those of the next stage's answers to the requests escalated from there.
package cascades

import (
	"math"
	"slices"

	"mimosayard/internal/core/tables"
)

// Bucket is a confidence rounded down to one of Buckets equal steps, from 0.
type Bucket uint8

// Cell identifies the answers that one Evidence is about.
type Cell struct {
	Pool tables.PoolID
	// Class is empty for the evidence of all classes together.
	Class tables.ClassID
	// Escalated is true for ratings of the pool's answers to requests that the
	// previous stage escalated with a confidence in Bucket. It is false for
	// ratings of the pool's answers that themselves had a confidence in Bucket.
	Escalated bool
	Bucket    Bucket
}

// Evidence counts the answers of a cell and their ratings.
type Evidence struct {
	// Answers is the number of answers, rated or not.
	Answers float64
	// Ratings is the number of ratings, ScoreSum their sum.
	Ratings  float64
	ScoreSum float64
}

// Plan determines the stage at which a request starts, and which answers are
// accepted.
type Plan struct {
	// Start is the index of the first stage.
	Start int
	// AcceptFrom holds the lowest accepted bucket of each stage. Answers in
	// lower buckets are escalated. The last stage accepts all answers.
	AcceptFrom []Bucket
	// AcceptFraction is, for each stage, the fraction of the answers in the
	// bucket just below the threshold that is also accepted. It lowers the cost
	// until the quality just meets the target.
	AcceptFraction []float64
	// Quality is the expected mean rating of the plan's answers, Cost their
	// expected mean cost.
	Quality float64
	Cost    float64
}

// EvidenceSource returns the fleet's evidence of a cell.
type EvidenceSource func(Cell) Evidence

// Stage describes one stage of a route for planning.
type Stage struct {
	Pool tables.PoolID
	// Cost is the mean cost of an answer, in the unit of tables.MicroCost.
	Cost float64
	// EscalationCost is the part of Cost that is spent if the answer is
	// escalated.
	EscalationCost float64
}

// estimate is a mean rating with the number of ratings it is based on, priors
// included.
type estimate struct {
	mean, weight float64
}

// stageEvidence holds the evidence about one stage by the confidence of its
// answers.
type stageEvidence struct {
	// ownRatings are the estimates for answers that the stage accepts,
	// escalated is the evidence for answers of the next stage after an
	// escalation, and bucketShares are the fractions of the stage's answers.
	ownRatings   [Buckets]estimate
	escalated    [Buckets]Evidence
	bucketShares [Buckets]float64
}

// EvidenceTable holds this instance's own evidence. The zero value is ready to
// use. It is not safe for concurrent use.
type EvidenceTable struct {
	cells map[Cell]*Evidence
}

const (
	// Buckets is the number of confidence buckets.
	Buckets = 8
	// maxCellRatings is the number of ratings in a cell from which old evidence
	// decays.
	maxCellRatings = 400
	// minMargin and maxMargin bound the margin added to the quality target.
	// The minimum applies from the first rating on.
	minMargin = 0.004
	maxMargin = 0.05
	// lastStageMargin is how far the target with the margin stays below the
	// quality of the last stage.
	lastStageMargin = 0.015
	// marginSigmas is the number of standard errors of the delivered mean
	// rating that is added to the target. scoreVariance is the assumed variance
	// of a rating.
	marginSigmas  = 1.3
	scoreVariance = 0.08
	// halfTrustRatings is the number of ratings at which half of a measured
	// shortfall is added to the margin.
	halfTrustRatings = 50.0
	// priorRatings is the number of ratings that a prior counts as.
	priorRatings = 3.0
	// qualitySigmas is the number of standard errors by which the expected
	// quality of a plan is lowered.
	qualitySigmas = 1.0
	// maxAllClassesRatings is the largest number of ratings that the evidence
	// of all classes together counts as in the estimate for one class.
	maxAllClassesRatings = 30.0
	// minKnownRatings is the number of ratings below which a cell is explored at
	// newCellExploreRate. From there on it is explored at knownCellExploreRate.
	minKnownRatings      = 40
	newCellExploreRate   = 0.08
	knownCellExploreRate = 0.015
)

// BucketOf returns the bucket of a confidence from 0 to 1. Finite values outside
// of this range count as 0 or 1, and NaN as 0.
func BucketOf(confidence float64) Bucket {
	if math.IsNaN(confidence) || confidence <= 0 {
		return 0
	}
	return Bucket(min(Buckets-1, int(confidence*Buckets)))
}

// ExploreRate returns the probability of doing the opposite of the plan for an
// answer in a cell, to gain evidence that following the plan does not yield.
func ExploreRate(evidence Evidence) float64 {
	if evidence.Ratings < minKnownRatings {
		return newCellExploreRate
	}
	return knownCellExploreRate
}

// ExploreStartRate returns the probability of starting one stage before the
// planned one. It depends on the number of ratings of that stage's pool.
func ExploreStartRate(class tables.ClassID, pool tables.PoolID, source EvidenceSource) float64 {
	ratings := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		ratings += source(Cell{Pool: pool, Class: class, Bucket: b}).Ratings
	}
	if ratings < minKnownRatings {
		return newCellExploreRate
	}
	return knownCellExploreRate
}

// QualityMargin returns the margin added to a route's quality target, given the
// ratings of the answers delivered on the route. The margin is larger for few
// ratings, as their mean may miss the target by chance, and it makes up for a
// shortfall of their mean.
func QualityMargin(target float64, delivered Evidence) float64 {
	chance := marginSigmas * math.Sqrt(scoreVariance/(delivered.Ratings+1))
	if delivered.Ratings <= 0 {
		return min(maxMargin, chance)
	}
	trust := delivered.Ratings / (delivered.Ratings + halfTrustRatings)
	shortfall := trust * (target - delivered.ScoreSum/delivered.Ratings)
	return min(maxMargin, minMargin+chance+max(0, shortfall))
}

// NewPlan returns the cheapest plan that is expected to meet the target with
// the margin, or the plan of the best expected quality if none does. The margin
// is cut if the last stage is not expected to meet it. Stages must not be
// empty.
func NewPlan(target, margin float64, class tables.ClassID, stages []Stage, source EvidenceSource) Plan {
	last := len(stages) - 1
	plan := Plan{Start: last, AcceptFrom: make([]Bucket, len(stages)), AcceptFraction: make([]float64, len(stages)), Cost: stages[last].Cost}
	for s := range last {
		// If exploration starts at a stage before the plan's start, only
		// answers of the highest confidence are accepted.
		plan.AcceptFrom[s] = Buckets - 1
	}
	plan.Quality = stageQuality(class, stages[last].Pool, source)
	target = max(target, min(target+margin, plan.Quality-lastStageMargin))
	for s := last - 1; s >= 0; s-- {
		plan = improvePlan(plan, target, class, stages, s, source)
	}
	return plan
}

// Accepts reports whether the plan accepts an answer of a stage. The draw is a
// uniformly distributed random number from 0 to 1.
func (p *Plan) Accepts(stage int, bucket Bucket, draw float64) bool {
	if stage >= len(p.AcceptFrom)-1 || bucket >= p.AcceptFrom[stage] {
		return true
	}
	return bucket+1 == p.AcceptFrom[stage] && stage < len(p.AcceptFraction) && draw < p.AcceptFraction[stage]
}

// VisitCells calls visit for each cell with this instance's own evidence, in no
// defined order.
func (t *EvidenceTable) VisitCells(visit func(Cell, Evidence)) {
	for cell, evidence := range t.cells {
		visit(cell, *evidence)
	}
}

// RetainPools drops the evidence of pools for which keep returns false.
func (t *EvidenceTable) RetainPools(keep func(tables.PoolID) bool) {
	for cell := range t.cells {
		if !keep(cell.Pool) {
			delete(t.cells, cell)
		}
	}
}

// AddRating adds a rating from 0 to 1 to a cell, and to the corresponding cell
// of all classes.
func (t *EvidenceTable) AddRating(cell Cell, score float64) {
	t.cell(cell).AddRating(score)
	cell.Class = ""
	t.cell(cell).AddRating(score)
}

// AddRating adds a rating from 0 to 1 to the evidence. From maxCellRatings on,
// old evidence decays, which bounds its weight.
func (e *Evidence) AddRating(score float64) {
	if e.Ratings >= maxCellRatings {
		decay := 1 - 1.0/maxCellRatings
		e.Ratings *= decay
		e.ScoreSum *= decay
		e.Answers *= decay
	}
	e.Ratings++
	e.ScoreSum += min(1, max(0, score))
}

// CountAnswer counts an answer of a cell.
func (t *EvidenceTable) CountAnswer(cell Cell) {
	t.cell(cell).Answers++
}

// cell returns the evidence of a cell, which it adds if there is none.
func (t *EvidenceTable) cell(cell Cell) *Evidence {
	if t.cells == nil {
		t.cells = map[Cell]*Evidence{}
	}
	evidence := t.cells[cell]
	if evidence == nil {
		evidence = &Evidence{}
		t.cells[cell] = evidence
	}
	return evidence
}

// improvePlan returns the best of the plan for the later stages and the plans
// that start at the given stage.
func improvePlan(later Plan, target float64, class tables.ClassID, stages []Stage, stage int, source EvidenceSource) Plan {
	evidence := newStageEvidence(class, stages, stage, source)
	best := later
	var plans [Buckets + 1]Plan
	for threshold := Bucket(0); threshold <= Buckets; threshold++ {
		plans[threshold] = evidence.evaluate(later, stages, stage, threshold)
		if isBetter(plans[threshold], best, target) {
			best = plans[threshold]
		}
	}
	if best.Start == stage && best.AcceptFrom[stage] > 0 {
		best = acceptPartially(best, plans[best.AcceptFrom[stage]-1], stage, target)
	}
	return best
}

// acceptPartially lets the plan accept as large a fraction of the bucket below
// the threshold as the target allows. Cheaper is the plan that accepts the
// whole bucket.
func acceptPartially(plan, cheaper Plan, stage int, target float64) Plan {
	headroom, qualityLoss := plan.Quality-target, plan.Quality-cheaper.Quality
	if headroom <= 0 || qualityLoss <= 0 || cheaper.Cost >= plan.Cost {
		return plan
	}
	fraction := min(1, headroom/qualityLoss)
	plan.AcceptFraction[stage] = fraction
	plan.Quality -= fraction * qualityLoss
	plan.Cost -= fraction * (plan.Cost - cheaper.Cost)
	return plan
}

// isBetter reports whether a is a better plan than b. A plan that meets the
// target is better than one that does not. Otherwise, the cheaper one is better
// if both meet it, and the one of higher quality if none does.
func isBetter(a, b Plan, target float64) bool {
	aMeetsTarget, bMeetsTarget := a.Quality >= target, b.Quality >= target
	if aMeetsTarget != bMeetsTarget {
		return aMeetsTarget
	}
	if aMeetsTarget {
		return a.Cost < b.Cost
	}
	return a.Quality > b.Quality
}

// evaluate returns the plan that starts at a stage with a threshold and
// continues with the plan for the later stages.
func (e *stageEvidence) evaluate(later Plan, stages []Stage, stage int, threshold Bucket) Plan {
	plan := Plan{Start: stage, AcceptFrom: slices.Clone(later.AcceptFrom), AcceptFraction: slices.Clone(later.AcceptFraction)}
	plan.AcceptFrom[stage] = threshold
	variance := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		share := e.bucketShares[b]
		if b >= threshold {
			mean := e.ownRatings[b].mean
			plan.Quality += share * mean
			plan.Cost += share * stages[stage].Cost
			variance += share * share * mean * (1 - mean) / e.ownRatings[b].weight
			continue
		}
		plan.Quality += share * e.escalatedMean(b, later.Quality)
		plan.Cost += share * (stages[stage].EscalationCost + later.Cost)
	}
	plan.Quality -= qualitySigmas * math.Sqrt(variance)
	return plan
}

// escalatedMean returns the mean rating of the next stage's answers to requests
// escalated from a bucket.
func (e *stageEvidence) escalatedMean(b Bucket, prior float64) float64 {
	return posterior(e.escalated[b], prior, priorRatings).mean
}

// priorMean returns the mean rating assumed for a confidence bucket before
// there are ratings. It is somewhat below the confidence itself.
func priorMean(b Bucket) float64 {
	return 0.9 * (float64(b) + 0.5) / Buckets
}

// posterior returns the mean rating of the evidence combined with a prior mean
// that counts as weight ratings.
func posterior(evidence Evidence, prior, weight float64) estimate {
	total := evidence.Ratings + weight
	return estimate{(evidence.ScoreSum + weight*prior) / total, total}
}

// newStageEvidence collects the evidence about a stage, which must not be the
// last one. The estimates for a class have those for all classes as a prior.
func newStageEvidence(class tables.ClassID, stages []Stage, stage int, source EvidenceSource) *stageEvidence {
	evidence := &stageEvidence{}
	total := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		ownRatings := source(Cell{Pool: stages[stage].Pool, Class: class, Bucket: b})
		allClasses := posterior(source(Cell{Pool: stages[stage].Pool, Bucket: b}), priorMean(b), priorRatings)
		evidence.ownRatings[b] = posterior(ownRatings, allClasses.mean, min(maxAllClassesRatings, allClasses.weight))
		evidence.escalated[b] = source(Cell{Pool: stages[stage+1].Pool, Class: class, Escalated: true, Bucket: b})
		evidence.bucketShares[b] = ownRatings.Answers + 1.0/Buckets
		total += evidence.bucketShares[b]
	}
	for b := range evidence.bucketShares {
		evidence.bucketShares[b] /= total
	}
	return evidence
}

// stageQuality returns the mean rating of all answers of a pool in a class.
func stageQuality(class tables.ClassID, pool tables.PoolID, source EvidenceSource) float64 {
	// prior is the mean rating assumed before there are ratings.
	const prior = 0.95
	var combined Evidence
	for b := Bucket(0); b < Buckets; b++ {
		evidence := source(Cell{Pool: pool, Class: class, Bucket: b})
		combined.Ratings += evidence.Ratings
		combined.ScoreSum += evidence.ScoreSum
	}
	return posterior(combined, prior, priorRatings).mean
}
