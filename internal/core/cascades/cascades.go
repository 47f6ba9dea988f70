// Package cascades plans for each route the cheapest use of its stages that
// meets the quality target, learned from late and partial ratings.
//
// A plan starts at one stage and accepts its answer when the confidence is
// over a threshold, otherwise it escalates to the next stage. For each
// confidence bucket the evidence says how good the stage's own answers are and
// how good the next stage's answers are for requests escalated from there.
package cascades

import (
	"math"
	"slices"

	"mimosayard/internal/core/tables"
)

// A Bucket is a confidence rounded down to one of Buckets steps.
type Bucket uint8

// A Cell names one body of evidence.
type Cell struct {
	Pool tables.PoolID
	// Class is empty for the evidence of all classes together.
	Class tables.ClassID
	// Escalated cells hold ratings of answers to requests that the stage
	// before gave up with a confidence in Bucket. Others hold ratings of the
	// pool's own answers with a confidence in Bucket.
	Escalated bool
	Bucket    Bucket
}

// Evidence is what is known about a cell.
type Evidence struct {
	// Seen is the number of answers, rated or not.
	Answers float64
	// Rated is the number of ratings, Score their sum.
	Ratings  float64
	ScoreSum float64
}

// A Plan says where a request starts and when an answer is good enough.
type Plan struct {
	// Start is the index of the first stage.
	Start int
	// Accept has one threshold for each stage: answers in lower buckets are
	// escalated. The last stage accepts all.
	Accept []Bucket
	// Partly is the part of the answers in the bucket just below the
	// threshold of a stage that is accepted all the same, so that the quality
	// is met and not more.
	AcceptFraction []float64
	// Quality and Cost are the means that the plan is expected to have.
	Quality float64
	Cost    float64
}

// A Source returns the fleet's evidence for a cell.
type EvidenceSource func(Cell) Evidence

// A Stage is what planning needs to know of one stage of a route.
type Stage struct {
	Pool tables.PoolID
	// Cost is the mean cost of an answer.
	Cost float64
	// Probe is the part of Cost that is spent when the answer is escalated.
	EscalationCost float64
}

// estimate is a mean rating with the number of ratings that it rests on.
type estimate struct {
	mean, weight float64
}

// stageView is the evidence about one stage, by the confidence of its answers.
type stageEvidence struct {
	ownRatings   [Buckets]estimate
	escalated    [Buckets]Evidence
	bucketShares [Buckets]float64
}

// A Table holds this instance's own evidence. The zero value works.
type Table struct {
	cells map[Cell]*Evidence
}

const (
	// Buckets is the number of confidence buckets.
	Buckets = 8
	// rememberedRatings bounds the weight of old evidence in a cell.
	maxCellRatings = 400
	// leastMargin and mostMargin bound what is added to the target.
	minMargin = 0.004
	maxMargin = 0.05
	// reach is how far the margin stays below the quality of the last stage.
	lastStageMargin = 0.015
	// chanceSigmas is how many standard errors of the delivered mean rating
	// are added to the target, and scoreVariance the variance of a rating.
	marginSigmas  = 1.3
	scoreVariance = 0.08
	// trustedDeliveries is the number of ratings at which half of a shortfall
	// is believed.
	halfTrustRatings = 50.0
	// priorWeight is the number of ratings that a prior counts as.
	priorRatings = 3.0
	// cautionSigmas is how many standard errors a plan's quality is lowered.
	qualitySigmas = 1.0
	// classWeight is the number of ratings that the evidence of all classes
	// together counts as for one class.
	maxAllClassesRatings = 30.0
	// freshRatings is the number of ratings under which a cell is explored at
	// the higher rate.
	minKnownRatings      = 40
	newCellExploreRate   = 0.08
	knownCellExploreRate = 0.015
)

// BucketOf returns the bucket of a confidence from 0 to 1.
func BucketOf(confidence float64) Bucket {
	if math.IsNaN(confidence) || confidence <= 0 {
		return 0
	}
	return Bucket(min(Buckets-1, int(confidence*Buckets)))
}

// Explore returns the probability of doing the opposite of the plan for an
// answer in a cell, to learn what the plan does not show.
func ExploreRate(evidence Evidence) float64 {
	if evidence.Ratings < minKnownRatings {
		return newCellExploreRate
	}
	return knownCellExploreRate
}

// ExploreStart returns the probability of starting one stage before the
// planned one, given how much is known of that stage.
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

// Margin returns what is added to a route's target, given the ratings of the
// answers delivered on the route: more while there are few, since their mean
// may lie below the target by chance, and what they lack to the target.
func QualityMargin(target float64, delivered Evidence) float64 {
	chance := marginSigmas * math.Sqrt(scoreVariance/(delivered.Ratings+1))
	if delivered.Ratings <= 0 {
		return min(maxMargin, chance)
	}
	trust := delivered.Ratings / (delivered.Ratings + halfTrustRatings)
	shortfall := trust * (target - delivered.ScoreSum/delivered.Ratings)
	return min(maxMargin, minMargin+chance+max(0, shortfall))
}

// Make returns the cheapest plan that is expected to meet the target with the
// margin, or the plan of the best expected quality if none does. A margin that
// not even the last stage could meet is cut. Stages is not empty.
func NewPlan(target, margin float64, class tables.ClassID, stages []Stage, source EvidenceSource) Plan {
	last := len(stages) - 1
	plan := Plan{Start: last, Accept: make([]Bucket, len(stages)), AcceptFraction: make([]float64, len(stages)), Cost: stages[last].Cost}
	for s := range last {
		// Of a stage before the start only the surest answers are taken, to
		// learn.
		plan.Accept[s] = Buckets - 1
	}
	plan.Quality = stageQuality(class, stages[last].Pool, source)
	target = max(target, min(target+margin, plan.Quality-lastStageMargin))
	for s := last - 1; s >= 0; s-- {
		plan = improvePlan(plan, target, class, stages, s, source)
	}
	return plan
}

// Accepts reports whether the plan takes an answer of a stage.
// The draw is a random number from 0 to 1.
func (p *Plan) Accepts(stage int, bucket Bucket, draw float64) bool {
	if stage >= len(p.Accept)-1 || bucket >= p.Accept[stage] {
		return true
	}
	return bucket+1 == p.Accept[stage] && stage < len(p.AcceptFraction) && draw < p.AcceptFraction[stage]
}

// Cells calls visit for each cell with this instance's own evidence.
func (t *Table) VisitCells(visit func(Cell, Evidence)) {
	for cell, evidence := range t.cells {
		visit(cell, *evidence)
	}
}

// Forget drops the evidence of pools that are not kept.
func (t *Table) RetainPools(keep func(tables.PoolID) bool) {
	for cell := range t.cells {
		if !keep(cell.Pool) {
			delete(t.cells, cell)
		}
	}
}

// Rate adds a rating from 0 to 1 to a cell, and to the cell of all classes.
func (t *Table) Rate(cell Cell, score float64) {
	t.cell(cell).AddRating(score)
	cell.Class = ""
	t.cell(cell).AddRating(score)
}

// Add takes a rating into the evidence. Old evidence fades.
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

// See counts an answer of a cell.
func (t *Table) CountAnswer(cell Cell) {
	t.cell(cell).Answers++
}

func (t *Table) cell(cell Cell) *Evidence {
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

// improve returns the better of the plan for the stages behind s and the
// plans that start at s.
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
	if best.Start == stage && best.Accept[stage] > 0 {
		best = acceptPartially(best, plans[best.Accept[stage]-1], stage, target)
	}
	return best
}

// mix accepts as many answers of the bucket below the threshold as the target
// allows.
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

// evaluate returns the plan that starts at stage s with a threshold.
func (e *stageEvidence) evaluate(later Plan, stages []Stage, stage int, threshold Bucket) Plan {
	plan := Plan{Start: stage, Accept: slices.Clone(later.Accept), AcceptFraction: slices.Clone(later.AcceptFraction)}
	plan.Accept[stage] = threshold
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

// escalatedMean returns the mean rating of the next stage's answers to
// requests given up in a bucket.
func (e *stageEvidence) escalatedMean(b Bucket, prior float64) float64 {
	return posterior(e.escalated[b], prior, priorRatings).mean
}

// ownPrior is the mean rating assumed for a confidence bucket before there
// are ratings: an engine's confidence taken at its word, and a bit less.
func priorMean(b Bucket) float64 {
	return 0.9 * (float64(b) + 0.5) / Buckets
}

func posterior(evidence Evidence, prior, weight float64) estimate {
	total := evidence.Ratings + weight
	return estimate{(evidence.ScoreSum + weight*prior) / total, total}
}

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

func stageQuality(class tables.ClassID, pool tables.PoolID, source EvidenceSource) float64 {
	const prior = 0.95
	var combined Evidence
	for b := Bucket(0); b < Buckets; b++ {
		evidence := source(Cell{Pool: pool, Class: class, Bucket: b})
		combined.Ratings += evidence.Ratings
		combined.ScoreSum += evidence.ScoreSum
	}
	return posterior(combined, prior, priorRatings).mean
}
