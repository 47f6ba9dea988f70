// Package batching emulates an inference engine with continuous batching.
//
// All requests of a batch take each step together. A step generates one token
// for each request whose prefill is complete, and prefills a chunk of one other
// prompt. Prefilled parts of prompts stay in a cache. When memory is short, the
// least recently used parts are evicted first.
package batching

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/evaluation/simtime"
)

// Config holds the sizes and speeds of an engine. Its JSON form is part of a
// load file.
type Config struct {
	// Slots is the maximum number of requests in a batch, and QueueCapacity
	// that of requests that wait for a slot.
	Slots         int `json:"slots"`
	QueueCapacity int `json:"queue"`
	// StepMS is the base time of a step in milliseconds. StepMSPerSlot is added
	// for each request that generates a token, times its TimeFactor.
	StepMS        float64 `json:"step_ms"`
	StepMSPerSlot float64 `json:"step_slot_ms"`
	// PrefillTokensPerMS is the number of prompt tokens that are prefilled in a
	// millisecond, and ChunkTokens the maximum number in one step.
	PrefillTokensPerMS float64 `json:"read_per_ms"`
	ChunkTokens        int     `json:"chunk"`
	// FetchTokensPerMS is the number of cached tokens that are fetched from
	// another engine in a millisecond. Zero turns fetching off.
	FetchTokensPerMS float64 `json:"fetch_per_ms"`
	// MemoryTokens is the size of the memory in tokens. Cached parts are evicted
	// until they fit into it beside the generated tokens, and a larger prompt is
	// refused. Zero means no bound.
	MemoryTokens int `json:"memory"`
	// TokensPerEvent is the number of tokens in an event of the stream.
	TokensPerEvent int `json:"event_tokens"`
}

// PromptPart is a part of a prompt. Parts with the same ID hold the same tokens.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Job is a request at an engine. The exported fields are set before Submit, the
// others belong to the engine.
type Job struct {
	Model tables.ModelID
	// TimeFactor multiplies the time that the model takes to prefill a token,
	// and the time that the job adds to a step while it generates tokens.
	TimeFactor float64
	Parts      []PromptPart
	// AnswerTokens is the number of tokens that the job generates.
	AnswerTokens int
	// Urgency is the rank among waiting prompts, the lowest first.
	Urgency int
	// CacheSource is another engine that may have the parts in its cache, or
	// nil.
	CacheSource *Engine
	// OnFirstToken is called at the first token, OnEvent at each event after it,
	// and OnDone when the answer is complete. OnEvent may be nil. The caller of
	// Crash calls OnDone for the jobs that it lost, if it needs that.
	OnFirstToken func()
	OnEvent      func()
	OnDone       func()

	sequence          uint64
	prefillTokensLeft int
	generatedTokens   int
	removed           bool
	// fetching is true while cached parts are transferred from CacheSource.
	fetching bool
}

// Engine is an emulated inference engine. It is not safe for concurrent use.
type Engine struct {
	Config    Config
	Scheduler *simtime.Scheduler
	// StepTimeFactor multiplies the time of each step. Values below one count
	// as one.
	StepTimeFactor float64
	// Pace is how long a step takes relative to the usual time, which may be less than one.
	// Zero counts as one.
	Pace float64
	// WorkMS is the time that the engine has spent, at the usual pace, on prompts and tokens
	// beyond the base time of its steps.
	WorkMS float64

	running []*Job
	waiting []*Job
	cache   map[cacheKey]*list.Element
	// lru lists the cached parts, the most recently used in front.
	lru          list.List
	cachedTokens int
	sequence     uint64
	stepPending  bool
}

type cacheKey struct {
	model tables.ModelID
	part  uint64
}

type cacheEntry struct {
	key    cacheKey
	tokens int
}

// Complete reports whether the job has generated its whole answer.
func (j *Job) Complete() bool {
	return j.generatedTokens >= j.AnswerTokens
}

// JobCounts returns the numbers of running and waiting jobs.
func (e *Engine) JobCounts() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Submit queues a job. It returns false if the batch and the queue are full, or
// if the prompt exceeds the memory.
func (e *Engine) Submit(j *Job) bool {
	if len(e.running) >= e.Config.Slots && len(e.waiting) >= e.Config.QueueCapacity || e.Config.MemoryTokens > 0 && totalTokens(j.Parts) > e.Config.MemoryTokens {
		return false
	}
	e.sequence++
	j.sequence = e.sequence
	e.waiting = append(e.waiting, j)
	e.admit()
	e.scheduleStep()
	return true
}

// Cancel removes a job without calling its OnDone.
func (e *Engine) Cancel(j *Job) {
	if j.removed {
		return
	}
	j.removed = true
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *Job) bool { return o == j })
	e.admit()
}

// Crash drops all jobs and cached parts. It returns the jobs and does not call
// their OnDone.
func (e *Engine) Crash() []*Job {
	dropped := append(slices.Clone(e.running), e.waiting...)
	for _, j := range dropped {
		j.removed = true
	}
	e.running, e.waiting = nil, nil
	e.cache, e.cachedTokens = nil, 0
	e.lru.Init()
	return dropped
}

// admit fills the batch with the most urgent waiting jobs.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, compareUrgency)
	for len(e.waiting) > 0 && len(e.running) < e.Config.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.startPrefill(j)
	}
}

// startPrefill sets the number of prompt tokens to prefill, and fetches the
// parts that only the cache of CacheSource holds.
func (e *Engine) startPrefill(j *Job) {
	localTokens := e.cachedPrefixTokens(j)
	j.prefillTokensLeft = totalTokens(j.Parts) - localTokens
	if j.CacheSource == nil || e.Config.FetchTokensPerMS <= 0 {
		return
	}
	remoteTokens := j.CacheSource.cachedPrefixTokens(j)
	if remoteTokens <= localTokens {
		return
	}
	j.prefillTokensLeft -= remoteTokens - localTokens
	j.fetching = true
	e.Scheduler.Schedule(milliseconds(float64(remoteTokens-localTokens)/e.Config.FetchTokensPerMS), func() {
		j.fetching = false
		e.scheduleStep()
	})
}

// cachedPrefixTokens returns the number of tokens in the longest cached prefix
// of the job's prompt, and marks its parts as recently used.
func (e *Engine) cachedPrefixTokens(j *Job) int {
	tokens := 0
	for _, part := range j.Parts {
		element := e.cache[cacheKey{j.Model, part.ID}]
		if element == nil {
			break
		}
		e.lru.MoveToFront(element)
		tokens += part.Tokens
	}
	return tokens
}

// cachePrompt caches the parts of a prefilled prompt, and evicts the least
// recently used parts that exceed the memory.
func (e *Engine) cachePrompt(j *Job) {
	if e.cache == nil {
		e.cache = map[cacheKey]*list.Element{}
	}
	for _, part := range j.Parts {
		key := cacheKey{j.Model, part.ID}
		if element := e.cache[key]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.cache[key] = e.lru.PushFront(cacheEntry{key, part.Tokens})
		e.cachedTokens += part.Tokens
	}
	for e.Config.MemoryTokens > 0 && e.cachedTokens > e.Config.MemoryTokens-e.outputTokens() && e.lru.Len() > 0 {
		evicted, ok := e.lru.Remove(e.lru.Back()).(cacheEntry)
		if !ok {
			return
		}
		delete(e.cache, evicted.key)
		e.cachedTokens -= evicted.tokens
	}
}

// outputTokens returns the number of tokens that running jobs have generated.
func (e *Engine) outputTokens() int {
	tokens := 0
	for _, j := range e.running {
		tokens += j.generatedTokens
	}
	return tokens
}

// scheduleStep schedules the next step, unless one is pending or no job needs
// one.
func (e *Engine) scheduleStep() {
	if e.stepPending {
		return
	}
	prefillJob, decodeWeight := e.planStep()
	if prefillJob == nil && decodeWeight == 0 {
		return
	}
	e.stepPending = true
	stepMS := e.Config.StepMS + e.Config.StepMSPerSlot*decodeWeight
	chunkTokens := 0
	if prefillJob != nil {
		chunkTokens = min(e.Config.ChunkTokens, prefillJob.prefillTokensLeft)
		stepMS += prefillJob.TimeFactor * float64(chunkTokens) / e.Config.PrefillTokensPerMS
	}
	workMS := stepMS - e.Config.StepMS
	pace := e.Pace
	if pace == 0 {
		pace = 1
	}
	e.Scheduler.Schedule(milliseconds(stepMS*max(1, e.StepTimeFactor)*pace), func() {
		e.stepPending = false
		e.WorkMS += workMS
		e.finishStep(prefillJob, chunkTokens)
		e.admit()
		e.scheduleStep()
	})
}

// planStep returns the job to prefill next, nil for none, and the sum of the
// time factors of the jobs that generate tokens.
func (e *Engine) planStep() (prefillJob *Job, decodeWeight float64) {
	for _, j := range e.running {
		switch {
		case j.fetching:
		case j.prefillTokensLeft > 0:
			if prefillJob == nil || compareUrgency(j, prefillJob) < 0 {
				prefillJob = j
			}
		default:
			decodeWeight += j.TimeFactor
		}
	}
	return prefillJob, decodeWeight
}

// finishStep applies the results of a step: the prefilled chunk and the
// generated tokens.
func (e *Engine) finishStep(prefillJob *Job, chunkTokens int) {
	for _, j := range slices.Clone(e.running) {
		if j.removed || j.fetching {
			continue
		}
		if j == prefillJob {
			j.prefillTokensLeft -= chunkTokens
			if j.prefillTokensLeft <= 0 {
				e.cachePrompt(j)
			}
			continue
		}
		if j.prefillTokensLeft <= 0 {
			e.generateToken(j)
		}
	}
}

// generateToken adds the next token of a job, and ends the job at its last.
func (e *Engine) generateToken(j *Job) {
	j.generatedTokens++
	switch {
	case j.generatedTokens == 1:
		j.OnFirstToken()
	case j.generatedTokens%max(1, e.Config.TokensPerEvent) == 0 && j.OnEvent != nil:
		j.OnEvent()
	}
	if j.generatedTokens >= j.AnswerTokens && !j.removed {
		e.Cancel(j)
		j.OnDone()
	}
}

func compareUrgency(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.sequence, b.sequence))
}

func totalTokens(parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
