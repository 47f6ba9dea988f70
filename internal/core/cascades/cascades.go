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
type stageView struct {
	own       [Buckets]estimate
	escalated [Buckets]Evidence
	shares    [Buckets]float64
}

// A Table holds this instance's own evidence. The zero value works.
type Table struct {
	cells map[Cell]*Evidence
}

const (
	// Buckets is the number of confidence buckets.
	Buckets = 8
	// rememberedRatings bounds the weight of old evidence in a cell.
	rememberedRatings = 400
	// leastMargin and mostMargin bound what is added to the target.
	leastMargin = 0.004
	mostMargin  = 0.05
	// reach is how far the margin stays below the quality of the last stage.
	reach = 0.015
	// chanceSigmas is how many standard errors of the delivered mean rating
	// are added to the target, and scoreVariance the variance of a rating.
	chanceSigmas  = 1.3
	scoreVariance = 0.08
	// trustedDeliveries is the number of ratings at which half of a shortfall
	// is believed.
	trustedDeliveries = 50.0
	// priorWeight is the number of ratings that a prior counts as.
	priorWeight = 3.0
	// cautionSigmas is how many standard errors a plan's quality is lowered.
	cautionSigmas = 1.0
	// classWeight is the number of ratings that the evidence of all classes
	// together counts as for one class.
	classWeight = 30.0
	// freshRatings is the number of ratings under which a cell is explored at
	// the higher rate.
	freshRatings = 40
	exploreFresh = 0.08
	exploreKnown = 0.015
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
	if evidence.Ratings < freshRatings {
		return exploreFresh
	}
	return exploreKnown
}

// ExploreStart returns the probability of starting one stage before the
// planned one, given how much is known of that stage.
func ExploreStartRate(class tables.ClassID, pool tables.PoolID, source EvidenceSource) float64 {
	rated := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		rated += source(Cell{Pool: pool, Class: class, Bucket: b}).Ratings
	}
	if rated < freshRatings {
		return exploreFresh
	}
	return exploreKnown
}

// Margin returns what is added to a route's target, given the ratings of the
// answers delivered on the route: more while there are few, since their mean
// may lie below the target by chance, and what they lack to the target.
func QualityMargin(target float64, delivered Evidence) float64 {
	chance := chanceSigmas * math.Sqrt(scoreVariance/(delivered.Ratings+1))
	if delivered.Ratings <= 0 {
		return min(mostMargin, chance)
	}
	trust := delivered.Ratings / (delivered.Ratings + trustedDeliveries)
	shortfall := trust * (target - delivered.ScoreSum/delivered.Ratings)
	return min(mostMargin, leastMargin+chance+max(0, shortfall))
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
	target = max(target, min(target+margin, plan.Quality-reach))
	for s := last - 1; s >= 0; s-- {
		plan = improve(plan, target, class, stages, s, source)
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
	if e.Ratings >= rememberedRatings {
		keep := 1 - 1.0/rememberedRatings
		e.Ratings *= keep
		e.ScoreSum *= keep
		e.Answers *= keep
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
func improve(rest Plan, target float64, class tables.ClassID, stages []Stage, s int, source EvidenceSource) Plan {
	view := newStageView(class, stages, s, source)
	best := rest
	var plans [Buckets + 1]Plan
	for threshold := Bucket(0); threshold <= Buckets; threshold++ {
		plans[threshold] = view.evaluate(rest, stages, s, threshold)
		if better(plans[threshold], best, target) {
			best = plans[threshold]
		}
	}
	if best.Start == s && best.Accept[s] > 0 {
		best = mix(best, plans[best.Accept[s]-1], s, target)
	}
	return best
}

// mix accepts as many answers of the bucket below the threshold as the target
// allows.
func mix(plan, cheaper Plan, s int, target float64) Plan {
	spare, loss := plan.Quality-target, plan.Quality-cheaper.Quality
	if spare <= 0 || loss <= 0 || cheaper.Cost >= plan.Cost {
		return plan
	}
	part := min(1, spare/loss)
	plan.AcceptFraction[s] = part
	plan.Quality -= part * loss
	plan.Cost -= part * (plan.Cost - cheaper.Cost)
	return plan
}

func better(a, b Plan, target float64) bool {
	aMeets, bMeets := a.Quality >= target, b.Quality >= target
	if aMeets != bMeets {
		return aMeets
	}
	if aMeets {
		return a.Cost < b.Cost
	}
	return a.Quality > b.Quality
}

// evaluate returns the plan that starts at stage s with a threshold.
func (v *stageView) evaluate(rest Plan, stages []Stage, s int, threshold Bucket) Plan {
	plan := Plan{Start: s, Accept: slices.Clone(rest.Accept), AcceptFraction: slices.Clone(rest.AcceptFraction)}
	plan.Accept[s] = threshold
	variance := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		share := v.shares[b]
		if b >= threshold {
			mean := v.own[b].mean
			plan.Quality += share * mean
			plan.Cost += share * stages[s].Cost
			variance += share * share * mean * (1 - mean) / v.own[b].weight
			continue
		}
		plan.Quality += share * v.escalatedMean(b, rest.Quality)
		plan.Cost += share * (stages[s].EscalationCost + rest.Cost)
	}
	plan.Quality -= cautionSigmas * math.Sqrt(variance)
	return plan
}

// escalatedMean returns the mean rating of the next stage's answers to
// requests given up in a bucket.
func (v *stageView) escalatedMean(b Bucket, prior float64) float64 {
	return posterior(v.escalated[b], prior, priorWeight).mean
}

// ownPrior is the mean rating assumed for a confidence bucket before there
// are ratings: an engine's confidence taken at its word, and a bit less.
func ownPrior(b Bucket) float64 {
	return 0.9 * (float64(b) + 0.5) / Buckets
}

func posterior(evidence Evidence, prior, weight float64) estimate {
	total := evidence.Ratings + weight
	return estimate{(evidence.ScoreSum + weight*prior) / total, total}
}

func newStageView(class tables.ClassID, stages []Stage, s int, source EvidenceSource) *stageView {
	view := &stageView{}
	total := 0.0
	for b := Bucket(0); b < Buckets; b++ {
		own := source(Cell{Pool: stages[s].Pool, Class: class, Bucket: b})
		all := posterior(source(Cell{Pool: stages[s].Pool, Bucket: b}), ownPrior(b), priorWeight)
		view.own[b] = posterior(own, all.mean, min(classWeight, all.weight))
		view.escalated[b] = source(Cell{Pool: stages[s+1].Pool, Class: class, Escalated: true, Bucket: b})
		view.shares[b] = own.Answers + 1.0/Buckets
		total += view.shares[b]
	}
	for b := range view.shares {
		view.shares[b] /= total
	}
	return view
}

func stageQuality(class tables.ClassID, pool tables.PoolID, source EvidenceSource) float64 {
	const prior = 0.95
	var sum Evidence
	for b := Bucket(0); b < Buckets; b++ {
		evidence := source(Cell{Pool: pool, Class: class, Bucket: b})
		sum.Ratings += evidence.Ratings
		sum.ScoreSum += evidence.ScoreSum
	}
	return posterior(sum, prior, priorWeight).mean
}
