package loadsim

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/evaluation/latencies"
)

// Results holds the measured outcomes of a load.
type Results struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	OutcomeShares
	// EarnedValue is the value of the answers and ModelCost the price of the
	// models, both as fractions of the value of all requests. NetValue is
	// EarnedValue less ModelCost.
	NetValue    float64 `json:"worth"`
	EarnedValue float64 `json:"earned"`
	ModelCost   float64 `json:"cost"`
	// Refusals counts the refused requests, with or without a time to retry
	// after. MaxRefusalMS is the longest time from arrival to a refusal in
	// milliseconds.
	Refusals     int     `json:"refusals"`
	MaxRefusalMS float64 `json:"refusal_ms"`
	// GivenUp is the fraction of the calls that the router ended because their
	// answers did not start in time.
	GivenUp float64 `json:"given_up"`
	// Crashes is the number of engines that Load.CrashingPart crashed. LateCrashCalls is
	// the number of calls with the part that reached engines later than crashNotice
	// after the fifth crash. BesideCrashes is the fraction of the other requests of its
	// class that were served from twice crashNotice after the fifth crash on, while
	// such requests still came, relative to that before them.
	Crashes        int     `json:"crashes,omitempty"`
	LateCrashCalls int     `json:"late_crash_calls,omitempty"`
	BesideCrashes  float64 `json:"beside_crashes,omitempty"`
	// LateCrashes is the number of engines that Load.CrashingPart crashed later than
	// crashNotice after the fifth one.
	// CutCrashes is the number of those by requests at instances that were cut off from the
	// sums, or had been until crashNotice before. They do not count as crashes.
	LateCrashes int `json:"late_crashes,omitempty"`
	CutCrashes  int `json:"cut_crashes,omitempty"`
	// SoundRefusals is the number of requests that were refused for a sound part or for being
	// a sound request, LongestSoundSeconds the longest time from the first to the last of
	// them for one part.
	SoundRefusals       int     `json:"sound_refusals,omitempty"`
	LongestSoundSeconds float64 `json:"longest_sound,omitempty"`
	// FirstEventMS is the time from arrival to the first event of a served
	// request, and GapMS the time between two events.
	FirstEventMS Quantiles `json:"first_ms"`
	GapMS        Quantiles `json:"gap_ms"`
	// BusiestToMean is the work of the busiest engine relative to that of the mean one,
	// BusiestToMeanWindow the mean of the same over windows of five seconds. Work counts by
	// the lasting paces. Both are zero if the load has no paces.
	BusiestToMean       float64 `json:"busiest_to_mean,omitempty"`
	BusiestToMeanWindow float64 `json:"busiest_to_mean_window,omitempty"`
	// EngineWorkMS is the mean work of an engine at the usual pace. It grows with shared
	// parts that are read more often.
	EngineWorkMS float64 `json:"engine_work_ms,omitempty"`
	// Classes, Teams, Sizes and DataCenters hold the outcomes by group, sorted
	// by name. Sizes groups the requests by their rank in size within a class.
	Classes     []OutcomeShares `json:"classes"`
	Teams       []OutcomeShares `json:"teams"`
	Sizes       []OutcomeShares `json:"sizes"`
	DataCenters []OutcomeShares `json:"data_centers"`
}

// OutcomeShares holds the outcomes of a group of requests. InTime, Late and
// Lost are fractions of Requests: those answered within the target of their
// class, those answered later, and those without a complete answer.
type OutcomeShares struct {
	Name     string  `json:"name"`
	Requests int     `json:"asked"`
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Lost     float64 `json:"lost"`
}

// Quantiles holds quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// collector records the outcomes of requests while a load runs.
type collector struct {
	outcomes        []outcome
	firstEvent      *hdrhistogram.Histogram
	gaps            *hdrhistogram.Histogram
	refusals        int
	calls           int
	givenUp         int
	maxRefusalDelay time.Duration
	// crashes are the times of the crashes by Load.CrashingPart, crashCalls those of
	// the calls with the part that reached an engine.
	// The crashes at instances that no evidence reaches are only counted, by cutCrashes.
	crashes, crashCalls []time.Duration
	cutCrashes          int
	// soundRefusals are the times of the refusals by sound part.
	soundRefusals map[quarantine.PartID][]time.Duration
	offeredValue  float64
	earnedValue   float64
	modelCost     float64
	// windows holds the work of each engine by window.
	windows [][]float64
	// engineWorkMS is the mean work of an engine, whatever its pace.
	engineWorkMS float64
}

// outcome is the result of one request.
type outcome struct {
	class, team, dataCenter string
	promptTokens            int
	served, inTime          bool
	arrived                 time.Duration
}

const (
	// wrongAnswerFactor multiplies the value of an incorrect answer.
	wrongAnswerFactor = 0.05
	// baseValueFraction is the fraction of a request's value that does not
	// depend on its size. maxValueFactor bounds the value of a large request,
	// as a multiple of the value of its class.
	baseValueFraction = 0.3
	maxValueFactor    = 4.0
)

func newCollector() *collector {
	return &collector{
		soundRefusals: map[quarantine.PartID][]time.Duration{},

		firstEvent: latencies.NewHistogram(),
		gaps:       latencies.NewHistogram(),
	}
}

func (c *collector) recordGap(gap time.Duration) {
	_ = c.gaps.RecordValue(max(1, gap.Microseconds()))
}

func (c *collector) recordCall() {
	c.calls++
}

func (c *collector) recordCrash(at time.Duration) {
	c.crashes = append(c.crashes, at)
}

func (c *collector) recordCrashCall(at time.Duration) {
	c.crashCalls = append(c.crashCalls, at)
}

// recordQuarantined records a request that is refused for a part.
func (c *collector) recordQuarantined(at time.Duration, r *request, part quarantine.PartID) {
	deadly := r.simulation.load.CrashingPart
	if deadly != nil && (part == hexPart(crashingPartID) || deadly.Repeated && r.crashes && part == r.contentPart()) {
		return
	}
	c.soundRefusals[part] = append(c.soundRefusals[part], at)
}

func (c *collector) recordGivenUp() {
	c.givenUp++
}

func (c *collector) recordRefusal(after time.Duration) {
	c.refusals++
	c.maxRefusalDelay = max(c.maxRefusalDelay, after)
}

func (c *collector) recordServed(r *request, correct bool) {
	class := r.simulation.load.Classes[r.classIndex]
	inTime := r.firstEventDelay <= seconds(class.TargetMS/1000)
	_ = c.firstEvent.RecordValue(max(1, r.firstEventDelay.Microseconds()))
	value := c.record(r, outcome{served: true, inTime: inTime})
	if !inTime {
		value *= class.LateFactor
	}
	if !correct {
		value *= wrongAnswerFactor
	}
	c.earnedValue += value
}

func (c *collector) recordLost(r *request) {
	c.record(r, outcome{})
}

// record adds an outcome and returns the value of its request.
func (c *collector) record(r *request, o outcome) float64 {
	if r.crashes {
		return 0
	}
	class := r.simulation.load.Classes[r.classIndex]
	o.arrived = r.arrived
	o.class, o.team, o.dataCenter = string(class.Name), string(r.team), string(r.simulation.dataCenter(r.instanceIndex))
	o.promptTokens = r.promptTokens
	c.outcomes = append(c.outcomes, o)
	meanTokens := class.PromptTokens
	for _, tokens := range class.SharedTokens {
		meanTokens += tokens
	}
	value := class.Value * min(maxValueFactor, baseValueFraction+(1-baseValueFraction)*float64(r.promptTokens)/meanTokens)
	c.offeredValue += value
	c.modelCost += r.cost
	return value
}

func (c *collector) recordWindow(work []float64) {
	c.windows = append(c.windows, work)
}

// busiestToMean returns the ratio of the largest to the mean work over all windows, and the mean
// of that ratio by window.
func (c *collector) busiestToMean() (overall, byWindow float64) {
	if len(c.windows) == 0 {
		return 0, 0
	}
	total := make([]float64, len(c.windows[0]))
	for _, work := range c.windows {
		for n := range work {
			total[n] += work[n]
		}
		byWindow += largestToMean(work) / float64(len(c.windows))
	}
	return largestToMean(total), byWindow
}

func largestToMean(work []float64) float64 {
	sum := 0.0
	for _, w := range work {
		sum += w
	}
	return slices.Max(work) * float64(len(work)) / max(sum, 1e-9)
}

func (c *collector) summary(load Load, policy string, seed uint64) Results {
	overall, byWindow := c.busiestToMean()
	return Results{
		Load:           load.Name,
		Policy:         policy,
		Seed:           seed,
		OutcomeShares:  newOutcomeShares("all", c.outcomes),
		NetValue:       (c.earnedValue - c.modelCost) / c.offeredValue,
		EarnedValue:    c.earnedValue / c.offeredValue,
		ModelCost:      c.modelCost / c.offeredValue,
		GivenUp:        float64(c.givenUp) / float64(max(1, c.calls)),
		Refusals:       c.refusals,
		MaxRefusalMS:   float64(c.maxRefusalDelay.Microseconds()) / 1000,
		Crashes:        len(c.crashes),
		LateCrashCalls: c.countLate(c.crashCalls),
		BesideCrashes:  c.besideCrashes(load.CrashingPart),
		LateCrashes:    c.countLate(c.crashes),
		CutCrashes:     c.cutCrashes,

		SoundRefusals:       c.countSoundRefusals(),
		LongestSoundSeconds: c.longestSound().Seconds(),

		FirstEventMS:  Quantiles(latencies.QuantilesOf(c.firstEvent)),
		GapMS:         Quantiles(latencies.QuantilesOf(c.gaps)),
		BusiestToMean: overall,
		Classes:       c.sharesBy(func(o outcome) string { return o.class }),

		BusiestToMeanWindow: byWindow,
		EngineWorkMS:        c.engineWorkMS,
		Teams:               c.sharesBy(func(o outcome) string { return o.team }),
		Sizes:               c.sharesBy(c.sizeGroups()),
		DataCenters:         c.sharesBy(func(o outcome) string { return o.dataCenter }),
	}
}

const (
	// crashNotice is the time after enough crashes in which all instances must know
	// of the part that causes them, enoughCrashes their number.
	crashNotice   = 3 * time.Second
	enoughCrashes = 5
)

// countLate returns the number of times that are later than crashNotice after enough
// crashes.
func (c *collector) countLate(times []time.Duration) int {
	if len(c.crashes) < enoughCrashes {
		return 0
	}
	count := 0
	for _, at := range times {
		if at > c.crashes[enoughCrashes-1]+crashNotice {
			count++
		}
	}
	return count
}

// countSoundRefusals returns the value of Results.SoundRefusals.
func (c *collector) countSoundRefusals() int {
	count := 0
	for _, times := range c.soundRefusals {
		count += len(times)
	}
	return count
}

// longestSound returns the longest time from the first to the last refusal for a sound part,
// where none is further than refusalGap from the next.
func (c *collector) longestSound() time.Duration {
	longest := time.Duration(0)
	for _, times := range c.soundRefusals {
		first := times[0]
		for n, at := range times {
			if n > 0 && at-times[n-1] > refusalGap {
				first = at
			}
			longest = max(longest, at-first)
		}
	}
	return longest
}

// refusalGap is the time without a refusal after which a part counts as quarantined anew.
const refusalGap = 3 * time.Second

// besideCrashes returns the value of Results.BesideCrashes, one if there was no time to
// measure.
func (c *collector) besideCrashes(part *CrashingPart) float64 {
	if part == nil || len(c.crashes) == 0 {
		return 1
	}
	from := c.crashes[min(len(c.crashes), enoughCrashes)-1] + 2*crashNotice
	end := seconds(part.StartSeconds + part.DurationSeconds)
	var before, beside []outcome
	for _, o := range c.outcomes {
		switch {
		case o.class != string(part.Class):
		case o.arrived < seconds(part.StartSeconds):
			before = append(before, o)
		case o.arrived >= from && o.arrived < end:
			beside = append(beside, o)
		}
	}
	if len(beside) == 0 || len(before) == 0 {
		return 1
	}
	return (1 - newOutcomeShares("", beside).Lost) / max(1e-9, 1-newOutcomeShares("", before).Lost)
}

// sharesBy returns the outcomes by group, sorted by the group's name.
func (c *collector) sharesBy(group func(o outcome) string) []OutcomeShares {
	groups := map[string][]outcome{}
	for _, o := range c.outcomes {
		groups[group(o)] = append(groups[group(o)], o)
	}
	var shares []OutcomeShares
	for name, outcomes := range groups {
		shares = append(shares, newOutcomeShares(name, outcomes))
	}
	slices.SortFunc(shares, func(a, b OutcomeShares) int { return cmp.Compare(a.Name, b.Name) })
	return shares
}

// sizeGroups returns a function that names the size group of a request: the
// largest tenth of its class, the fifth below it, or the rest.
func (c *collector) sizeGroups() func(o outcome) string {
	sizesByClass := map[string][]int{}
	for _, o := range c.outcomes {
		sizesByClass[o.class] = append(sizesByClass[o.class], o.promptTokens)
	}
	for _, sizes := range sizesByClass {
		slices.Sort(sizes)
	}
	return func(o outcome) string {
		sizes := sizesByClass[o.class]
		switch {
		case o.promptTokens >= sizes[len(sizes)*9/10]:
			return "largest tenth"
		case o.promptTokens >= sizes[len(sizes)*7/10]:
			return "next fifth"
		}
		return "rest"
	}
}

func newOutcomeShares(name string, outcomes []outcome) OutcomeShares {
	s := OutcomeShares{Name: name, Requests: len(outcomes)}
	if len(outcomes) == 0 {
		return s
	}
	fraction := 1 / float64(len(outcomes))
	for _, o := range outcomes {
		switch {
		case o.inTime:
			s.InTime += fraction
		case o.served:
			s.Late += fraction
		default:
			s.Lost += fraction
		}
	}
	return s
}
