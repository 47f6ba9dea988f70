package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosayard/internal/proof/latencies"
)

// Results are what callers got.
type Results struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	Share
	// Worth is the worth that was earned less the cost of the models, as a part
	// of all, and Earned the same without the cost.
	Worth  float64 `json:"worth"`
	Earned float64 `json:"earned"`
	Cost   float64 `json:"cost"`
	// Refusals counts answers that told the caller to come back or that there is
	// no use, RefusalMS is the longest wait for one.
	Refusals  int     `json:"refusals"`
	RefusalMS float64 `json:"refusal_ms"`
	FirstMS   Times   `json:"first_ms"`
	GapMS     Times   `json:"gap_ms"`
	// The worst shares served in time are those of a class, of a team, of a
	// tenth of the sizes of a class, and of a data centre.
	Classes     []Share `json:"classes"`
	Teams       []Share `json:"teams"`
	Sizes       []Share `json:"sizes"`
	DataCenters []Share `json:"data_centers"`
}

// A Share is what some of the requests got.
type Share struct {
	Name   string  `json:"name"`
	Asked  int     `json:"asked"`
	InTime float64 `json:"in_time"`
	Late   float64 `json:"late"`
	Lost   float64 `json:"lost"`
}

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// collector gathers what callers got.
type collector struct {
	outcomes  []outcome
	first     *hdrhistogram.Histogram
	gaps      *hdrhistogram.Histogram
	refusals  int
	longest   time.Duration
	worthAll  float64
	worthGot  float64
	worthPaid float64
}

// outcome is what one caller got.
type outcome struct {
	class, team, dataCenter string
	prompt                  int
	served, inTime          bool
}

const (
	// wrongPart is what an answer that is not right is worth.
	wrongPart = 0.05
	// sizeBase is the part of a request's worth that does not depend on its
	// size, and mostSize bounds the other.
	sizeBase = 0.3
	mostSize = 4.0
)

func newCollector() *collector {
	return &collector{
		first: latencies.New(),
		gaps:  latencies.New(),
	}
}

func (c *collector) gap(gap time.Duration) {
	_ = c.gaps.RecordValue(max(1, gap.Microseconds()))
}

func (c *collector) refusal(after time.Duration) {
	c.refusals++
	c.longest = max(c.longest, after)
}

func (c *collector) served(r *request, right bool) {
	class := r.world.load.Classes[r.class]
	inTime := r.first <= seconds(class.TargetMS/1000)
	_ = c.first.RecordValue(max(1, r.first.Microseconds()))
	worth := c.add(r, outcome{served: true, inTime: inTime})
	if !inTime {
		worth *= class.LatePart
	}
	if !right {
		worth *= wrongPart
	}
	c.worthGot += worth
}

func (c *collector) lost(r *request) {
	c.add(r, outcome{})
}

// add notes an outcome and returns the worth of its request.
func (c *collector) add(r *request, o outcome) float64 {
	class := r.world.load.Classes[r.class]
	o.class, o.team, o.dataCenter = string(class.Name), string(r.team), string(r.world.dataCenter(r.instance))
	o.prompt = r.prompt
	c.outcomes = append(c.outcomes, o)
	mean := class.Prompt
	for _, part := range class.Shared {
		mean += part
	}
	worth := class.Worth * min(mostSize, sizeBase+(1-sizeBase)*float64(r.prompt)/mean)
	c.worthAll += worth
	c.worthPaid += r.cost
	return worth
}

func (c *collector) summary(load Load, policy string, seed uint64) Results {
	return Results{
		Load:        load.Name,
		Policy:      policy,
		Seed:        seed,
		Share:       share("all", c.outcomes),
		Worth:       (c.worthGot - c.worthPaid) / c.worthAll,
		Earned:      c.worthGot / c.worthAll,
		Cost:        c.worthPaid / c.worthAll,
		Refusals:    c.refusals,
		RefusalMS:   float64(c.longest.Microseconds()) / 1000,
		FirstMS:     Times(latencies.Of(c.first)),
		GapMS:       Times(latencies.Of(c.gaps)),
		Classes:     c.by(func(o outcome) string { return o.class }),
		Teams:       c.by(func(o outcome) string { return o.team }),
		Sizes:       c.by(c.sizeOf()),
		DataCenters: c.by(func(o outcome) string { return o.dataCenter }),
	}
}

// by returns the shares of groups, sorted by name.
func (c *collector) by(group func(o outcome) string) []Share {
	groups := map[string][]outcome{}
	for _, o := range c.outcomes {
		groups[group(o)] = append(groups[group(o)], o)
	}
	var shares []Share
	for name, outcomes := range groups {
		shares = append(shares, share(name, outcomes))
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Name, b.Name) })
	return shares
}

// sizeOf returns the names of the groups by size: the largest tenth of each
// class, the fifth below it, and the rest.
func (c *collector) sizeOf() func(o outcome) string {
	prompts := map[string][]int{}
	for _, o := range c.outcomes {
		prompts[o.class] = append(prompts[o.class], o.prompt)
	}
	for _, sizes := range prompts {
		slices.Sort(sizes)
	}
	return func(o outcome) string {
		sizes := prompts[o.class]
		switch {
		case o.prompt >= sizes[len(sizes)*9/10]:
			return "largest tenth"
		case o.prompt >= sizes[len(sizes)*7/10]:
			return "next fifth"
		}
		return "rest"
	}
}

func share(name string, outcomes []outcome) Share {
	s := Share{Name: name, Asked: len(outcomes)}
	if len(outcomes) == 0 {
		return s
	}
	each := 1 / float64(len(outcomes))
	for _, o := range outcomes {
		switch {
		case o.inTime:
			s.InTime += each
		case o.served:
			s.Late += each
		default:
			s.Lost += each
		}
	}
	return s
}
