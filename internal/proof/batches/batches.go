// Package batches emulates an inference engine with continuous batching.
//
// All requests of a batch take each step together. A step makes one token for
// each request whose prompt is read, and reads a chunk of one other prompt.
// Parts of prompts that were read stay in the memory until others need it.
package batches

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/proof/agenda"
)

// Figures are what an engine can do. They come from a file.
type Config struct {
	// Slots is the size of a batch, Queue the number of requests that wait for
	// a place in it.
	Slots         int `json:"slots"`
	QueueCapacity int `json:"queue"`
	// StepMS is the time of a step, and StepSlotMS what each request adds.
	StepMS        float64 `json:"step_ms"`
	StepMSPerSlot float64 `json:"step_slot_ms"`
	// ReadPerMS is the number of prompt tokens that are read in a millisecond,
	// Chunk the number that a step reads.
	PrefillTokensPerMS float64 `json:"read_per_ms"`
	ChunkTokens        int     `json:"chunk"`
	// FetchPerMS is the number of tokens that are fetched from another engine
	// in a millisecond.
	FetchTokensPerMS float64 `json:"fetch_per_ms"`
	// Memory is the number of tokens that requests and kept parts share.
	MemoryTokens int `json:"memory"`
	// EventTokens is the number of tokens in an event.
	TokensPerEvent int `json:"event_tokens"`
}

// A Part is a part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A Job is a request at an engine. Its fields but the last ones are set before
// Submit.
type Job struct {
	Model tables.ModelID
	// Pace is the time of the model's reading against the figures, and its
	// weight in a step.
	TimeFactor float64
	Parts      []PromptPart
	// Answer is the number of tokens that the job makes.
	AnswerTokens int
	// Urgency is the order among waiting prompts, the least first.
	Urgency int
	// Reader is another engine that may have read the parts, or nil.
	CacheSource *Engine
	// Started, Event and Done are told of the first token, of each event after
	// the first, and of the end.
	OnFirstToken func()
	OnEvent      func()
	OnDone       func()

	sequence          uint64
	prefillTokensLeft int
	generatedTokens   int
	removed           bool
	// fetching says that parts are still on their way.
	fetching bool
}

// An Engine is an emulated engine. It is not safe for concurrent use.
type Engine struct {
	Config Config
	Agenda *agenda.Agenda
	// Slowness multiplies the time of each step; zero counts as one.
	StepTimeFactor float64

	running []*Job
	waiting []*Job
	cache   map[cacheKey]*list.Element
	// recent are the kept parts, the one used last in front.
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

// Whole reports whether the job has made its whole answer.
func (j *Job) Complete() bool {
	return j.generatedTokens >= j.AnswerTokens
}

// Load returns the numbers of running and waiting jobs.
func (e *Engine) JobCounts() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Submit takes a job, and returns false if the engine is full.
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

// Cancel takes a job off.
func (e *Engine) Cancel(j *Job) {
	if j.removed {
		return
	}
	j.removed = true
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *Job) bool { return o == j })
	e.admit()
}

// Crash drops all jobs and kept parts, and returns the jobs. They are not told.
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

// admit fills the batch with the most urgent of those that wait.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, compareUrgency)
	for len(e.waiting) > 0 && len(e.running) < e.Config.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.startPrefill(j)
	}
}

// begin finds what of the prompt has to be read.
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
	e.Agenda.Schedule(milliseconds(float64(remoteTokens-localTokens)/e.Config.FetchTokensPerMS), func() {
		j.fetching = false
		e.scheduleStep()
	})
}

// keeps returns how many tokens of the job's prompt are kept from its start on.
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

// keep remembers the parts of a prompt that was read.
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

// inUse returns the tokens that running jobs have made.
func (e *Engine) outputTokens() int {
	tokens := 0
	for _, j := range e.running {
		tokens += j.generatedTokens
	}
	return tokens
}

// work takes steps while there is something to do.
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
	e.Agenda.Schedule(milliseconds(stepMS*max(1, e.StepTimeFactor)), func() {
		e.stepPending = false
		e.finishStep(prefillJob, chunkTokens)
		e.admit()
		e.scheduleStep()
	})
}

// plan returns the prompt to read next, and the paces of the jobs that make
// tokens added up.
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

// finish takes what a step has done.
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

// token makes the next token of a job.
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
