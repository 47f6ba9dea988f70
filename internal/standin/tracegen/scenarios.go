package tracegen

import (
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/traces"
)

var (
	saunaDataCenters    = []tables.DataCenterID{"daugavas-krasts", "kisezera-zona", "juglas-zona"}
	dressingDataCenters = []tables.DataCenterID{"binh-duong", "dong-nai", "thu-duc", "long-an"}
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		saunaEvening(), dressingShift(), badRollout(), turnedBad(), flood(), highLoad(), lostCapacity(), lyingLoad(), dense(),
	}
}

// smallPool returns a pool of cheap engines that often fail on hard requests.
func smallPool(name tables.PoolID, version tables.VersionID, upstreams int) Pool {
	return Pool{
		Name: name, Model: "small", Version: version, EasyAccuracy: 0.97, HardAccuracy: 0.45, AnswerCost: 400, Upstreams: upstreams,
		Engine: traces.EngineSpeed{Slots: 16, FirstTokenMicros: 40000, BetweenTokensMicros: 8000, SaturationSlowdown: 1, PrefillMicros: 20},
	}
}

// largePool returns a pool of costly engines that are accurate on hard requests.
func largePool() Pool {
	return Pool{
		Name: "large-v1", Model: "large", Version: "v1", EasyAccuracy: 0.98, HardAccuracy: 0.95, AnswerCost: 4000, Upstreams: 4,
		Engine: traces.EngineSpeed{Slots: 8, FirstTokenMicros: 90000, BetweenTokensMicros: 16000, SaturationSlowdown: 1, PrefillMicros: 60},
	}
}

// newRollout returns a rollout whose steps take at least the given time.
func newRollout(replaces tables.PoolID, step time.Duration) *tables.Rollout {
	return &tables.Rollout{
		Replaces: replaces, Steps: []float64{0.01, 0.05, 0.25, 1},
		StepMin: millis(step), StepMax: millis(6 * time.Hour),
	}
}

// saunaEvening is mixed traffic of three teams during the rollout of a good
// version.
func saunaEvening() Scenario {
	next := smallPool("small-v2", "v2", 2)
	next.Rollout = newRollout("small-v1", time.Minute)
	next.Rollout.Steps = []float64{0.1, 0.5, 1}
	return Scenario{
		Name: "sauna", Instances: 9, DataCenters: saunaDataCenters, Duration: 20 * time.Minute,
		Teams: []Team{
			{Name: "residents", Class: "chat", Weight: 3, QualityTarget: 0.9, RequestsPerSecond: 4, Callers: 1500, MeanPromptTokens: 200, FirstTokenDeadline: 2 * time.Second, Priority: 2},
			{Name: "tourist-desks", Class: "questions", Weight: 3, QualityTarget: 0.88, RequestsPerSecond: 3, Callers: 300, MeanPromptTokens: 300, FirstTokenDeadline: 3 * time.Second, Priority: 1},
			{Name: "season-planning", Class: "schedules", Weight: 1, QualityTarget: 0.93, RequestsPerSecond: 0.5, Callers: 20, MeanPromptTokens: 3000, FirstTokenDeadline: 10 * time.Second},
		},
		Pools:      []Pool{smallPool("small-v1", "v1", 4), next, largePool()},
		RatedShare: 0.4, RatingDelay: 10 * time.Second, ReportLag: time.Second, SessionMinutes: 5,
	}
}

// dressingShift mixes long prompts without priority with short prompts that
// have tight first-token deadlines.
func dressingShift() Scenario {
	return Scenario{
		Name: "dressing", Instances: 8, DataCenters: dressingDataCenters, Duration: 20 * time.Minute,
		Teams: []Team{
			{Name: "field-technicians", Class: "guidance", Weight: 3, QualityTarget: 0.9, RequestsPerSecond: 4, Callers: 300, MeanPromptTokens: 150, FirstTokenDeadline: 1500 * time.Millisecond, Priority: 2},
			{Name: "mill-long-an", Class: "choice", Weight: 2, QualityTarget: 0.9, RequestsPerSecond: 2, Callers: 60, MeanPromptTokens: 300, FirstTokenDeadline: 3 * time.Second, Priority: 1, FirstInstanceShare: 0.6},
			{Name: "process-engineering", Class: "history", Weight: 1, QualityTarget: 0.92, RequestsPerSecond: 0.8, Callers: 15, MeanPromptTokens: 6000, FirstTokenDeadline: 10 * time.Second},
		},
		Pools:      []Pool{smallPool("small-v1", "v1", 4), largePool()},
		RatedShare: 0.4, RatingDelay: 10 * time.Second, ReportLag: time.Second, SessionMinutes: 8,
	}
}

// singleTeam returns one team that sends the given number of requests a second.
func singleTeam(rate float64) []Team {
	return []Team{{Name: "residents", Class: "chat", QualityTarget: 0.85, RequestsPerSecond: rate, Callers: 4000, MeanPromptTokens: 200, FirstTokenDeadline: 3 * time.Second, Priority: 1}}
}

// badRollout rolls out a version that is degraded from the start.
func badRollout() Scenario {
	next := smallPool("small-v2", "v2", 2)
	next.Rollout = newRollout("small-v1", 5*time.Minute)
	return Scenario{
		Name: "bad_rollout", Instances: 9, DataCenters: saunaDataCenters, Duration: time.Hour, Teams: singleTeam(4),
		Pools:      []Pool{smallPool("small-v1", "v1", 4), next, largePool()},
		RatedShare: 0.5, RatingDelay: 10 * time.Second, ReportLag: time.Second,
		Changes: []Change{{At: 0, DegradedPool: "small-v2"}},
	}
}

// turnedBad degrades a version after six minutes. Its rollout was completed
// before the trace.
func turnedBad() Scenario {
	s := badRollout()
	s.Name = "turned_bad"
	old := smallPool("small-v1", "v1", 4)
	next := smallPool("small-v2", "v2", 4)
	s.Pools = []Pool{next, old, largePool()}
	s.Duration = 12 * time.Minute
	s.Teams = singleTeam(10)
	s.Teams[0].Callers = 100000
	s.Changes = []Change{{At: 6 * time.Minute, DegradedPool: "small-v2"}}
	return s
}

// flood has one team exceed its share many times over, mostly at one instance,
// while capacity is short.
func flood() Scenario {
	cheap := smallPool("small-v1", "v1", 2)
	cheap.HardAccuracy = 0.95
	return Scenario{
		Name: "flood", Instances: 8, DataCenters: dressingDataCenters, Duration: 4 * time.Minute,
		Teams: []Team{
			{Name: "field-technicians", Class: "guidance", Weight: 2, RequestsPerSecond: 8, Callers: 200, MeanPromptTokens: 150, FirstTokenDeadline: 1500 * time.Millisecond},
			{Name: "mill-long-an", Class: "guidance", Weight: 1, RequestsPerSecond: 4, Callers: 100, MeanPromptTokens: 150, FirstTokenDeadline: 1500 * time.Millisecond},
			{Name: "process-engineering", Class: "guidance", Weight: 1, RequestsPerSecond: 5, Callers: 100, MeanPromptTokens: 150, FirstTokenDeadline: 1500 * time.Millisecond, FirstInstanceShare: 0.9, Priority: 5, BurstFactor: 12, BurstStart: time.Minute, BurstEnd: 3 * time.Minute},
		},
		Pools: []Pool{cheap}, ReportLag: time.Second,
	}
}

// highLoad keeps the engines at 90% of their capacity while load reports are two
// seconds late.
func highLoad() Scenario {
	cheap := smallPool("small-v1", "v1", 8)
	return Scenario{
		Name: "high_load", Instances: 8, DataCenters: dressingDataCenters, Duration: 3 * time.Minute,
		Teams:     []Team{{Name: "field-technicians", Class: "guidance", RequestsPerSecond: 53, Callers: 400, MeanPromptTokens: 300, FirstTokenDeadline: 30 * time.Second}},
		Pools:     []Pool{cheap},
		ReportLag: 2 * time.Second, NoFirstTokenDeadline: true,
	}
}

// lostCapacity takes down four of the eight engines for a minute. One of them
// comes back at a quarter of its speed.
func lostCapacity() Scenario {
	s := highLoad()
	s.Name = "lost_capacity"
	s.Teams[0].RequestsPerSecond = 30
	s.Teams[0].FirstTokenDeadline = 2 * time.Second
	s.NoFirstTokenDeadline = false
	s.ReportLag = time.Second
	for n := range 4 {
		name := tables.UpstreamID("small-v1-" + string(rune('0'+n)))
		s.Changes = append(s.Changes, Change{At: time.Minute, Upstream: &traces.UpstreamChange{Name: name, Down: true}})
	}
	for n := range 4 {
		name := tables.UpstreamID("small-v1-" + string(rune('0'+n)))
		state := &traces.UpstreamChange{Name: name}
		if n == 0 {
			state.Slowdown = 4
		}
		s.Changes = append(s.Changes, Change{At: 2 * time.Minute, Upstream: state})
	}
	return s
}

// lyingLoad has a slow upstream that reports being idle.
func lyingLoad() Scenario {
	s := highLoad()
	s.Name = "lying_load"
	s.Teams[0].RequestsPerSecond = 40
	s.ReportLag = time.Second
	s.Changes = []Change{{At: 30 * time.Second, Upstream: &traces.UpstreamChange{Name: "small-v1-0", Slowdown: 5, ReportsNoLoad: true}}}
	return s
}

// dense is a large fleet under heavy traffic, for measuring replay speed.
func dense() Scenario {
	cheap := smallPool("small-v1", "v1", 150)
	costly := largePool()
	costly.Upstreams = 150
	return Scenario{
		Name: "dense", Instances: 8, DataCenters: dressingDataCenters, Duration: 500 * time.Second, Teams: singleTeam(2000),
		Pools: []Pool{cheap, costly}, RatedShare: 0.1, RatingDelay: 10 * time.Second, ReportLag: time.Second,
	}
}
