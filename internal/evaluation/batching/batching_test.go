package batching

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/evaluation/simtime"
)

func testConfig() Config {
	return Config{Slots: 4, QueueCapacity: 2, StepMS: 5, PrefillTokensPerMS: 100, ChunkTokens: 1000, FetchTokensPerMS: 1000, MemoryTokens: 20000, TokensPerEvent: 2}
}

// firstTokenTimes submits jobs at time zero and returns the time of the first
// token of each.
func firstTokenTimes(e *Engine, jobs ...*Job) []time.Duration {
	e.Scheduler = &simtime.Scheduler{}
	started := make([]time.Duration, len(jobs))
	for n, j := range jobs {
		j.TimeFactor = max(j.TimeFactor, 1)
		j.AnswerTokens = max(j.AnswerTokens, 1)
		j.OnFirstToken = func() { started[n] = e.Scheduler.Now() }
		j.OnDone = func() {}
		e.Submit(j)
	}
	e.Scheduler.AdvanceTo(time.Minute)
	return started
}

func newJob(id uint64, tokens int) *Job {
	return &Job{Parts: []PromptPart{{id, tokens}}}
}

// TestFirstTokenTimes guards the emulated times of the first token: prefill in
// chunks, order by urgency, and parts from the cache or from another engine.
func TestFirstTokenTimes(t *testing.T) {
	t.Run("a prompt takes its steps and its prefill", func(t *testing.T) {
		// Two steps of 5 ms, 20 ms of prefill, and a step for the token.
		is.New(t).Equal(firstTokenTimes(&Engine{Config: testConfig()}, newJob(1, 2000)), []time.Duration{35 * time.Millisecond})
	})
	t.Run("a slower model prefills more slowly in the same steps", func(t *testing.T) {
		slowJob := newJob(1, 2000)
		slowJob.TimeFactor = 3
		is.New(t).Equal(firstTokenTimes(&Engine{Config: testConfig()}, slowJob), []time.Duration{75 * time.Millisecond})
	})
	t.Run("the more urgent prompt goes first", func(t *testing.T) {
		lessUrgent, urgent := newJob(1, 4000), newJob(2, 1000)
		lessUrgent.Urgency, urgent.Urgency = 5, 1
		started := firstTokenTimes(&Engine{Config: testConfig()}, lessUrgent, urgent)
		is.New(t).True(started[1] < started[0])
	})
	t.Run("a cached part is not prefilled again for the same model", func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Config: testConfig()}
		firstTokenTimes(e, newJob(1, 2000))
		is.Equal(firstTokenTimes(e, newJob(1, 2000)), []time.Duration{5 * time.Millisecond})
		otherModel := newJob(1, 2000)
		otherModel.Model = "other"
		is.Equal(firstTokenTimes(e, otherModel), []time.Duration{35 * time.Millisecond})
	})
	t.Run("parts cached by another engine are fetched", func(t *testing.T) {
		source, e := &Engine{Config: testConfig()}, &Engine{Config: testConfig()}
		firstTokenTimes(source, newJob(1, 2000))
		fetched := newJob(1, 2000)
		fetched.CacheSource = source
		is.New(t).Equal(firstTokenTimes(e, fetched), []time.Duration{7 * time.Millisecond})
	})
	t.Run("the least recently used part is evicted", func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Config: testConfig()}
		firstTokenTimes(e, newJob(1, 9000))
		firstTokenTimes(e, newJob(2, 9000))
		firstTokenTimes(e, newJob(3, 9000))
		is.Equal(e.cachedPrefixTokens(newJob(1, 9000)), 0)
		is.Equal(e.cachedPrefixTokens(newJob(3, 9000)), 9000)
	})
}

// TestFullEngine checks that an engine with a full batch and a full queue
// refuses a job, and that a crash drops and returns all its jobs.
func TestFullEngine(t *testing.T) {
	is := is.New(t)
	e := &Engine{Config: testConfig(), Scheduler: &simtime.Scheduler{}}
	for range 6 {
		is.True(e.Submit(newJob(1, 100)))
	}
	is.True(!e.Submit(newJob(1, 100)))
	is.Equal(len(e.Crash()), 6)
	running, waiting := e.JobCounts()
	is.Equal(running+waiting, 0)
}
