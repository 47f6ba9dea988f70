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
type Figures struct {
	// Slots is the size of a batch, Queue the number of requests that wait for
	// a place in it.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// StepMS is the time of a step, and StepSlotMS what each request adds.
	StepMS     float64 `json:"step_ms"`
	StepSlotMS float64 `json:"step_slot_ms"`
	// ReadPerMS is the number of prompt tokens that are read in a millisecond,
	// Chunk the number that a step reads.
	ReadPerMS float64 `json:"read_per_ms"`
	Chunk     int     `json:"chunk"`
	// FetchPerMS is the number of tokens that are fetched from another engine
	// in a millisecond.
	FetchPerMS float64 `json:"fetch_per_ms"`
	// Memory is the number of tokens that requests and kept parts share.
	Memory int `json:"memory"`
	// EventTokens is the number of tokens in an event.
	EventTokens int `json:"event_tokens"`
}

// A Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// A Job is a request at an engine. Its fields but the last ones are set before
// Submit.
type Job struct {
	Model tables.ModelID
	// Pace is the time of the model's reading against the figures, and its
	// weight in a step.
	Pace  float64
	Parts []Part
	// Answer is the number of tokens that the job makes.
	Answer int
	// Urgency is the order among waiting prompts, the least first.
	Urgency int
	// Reader is another engine that may have read the parts, or nil.
	Reader *Engine
	// Started, Event and Done are told of the first token, of each event after
	// the first, and of the end.
	Started func()
	Event   func()
	Done    func()

	order  uint64
	unread int
	made   int
	gone   bool
	// fetching says that parts are still on their way.
	fetching bool
}

// An Engine is an emulated engine. It is not safe for concurrent use.
type Engine struct {
	Figures Figures
	Agenda  *agenda.Agenda
	// Slowness multiplies the time of each step; zero counts as one.
	Slowness float64

	running []*Job
	waiting []*Job
	kept    map[keptKey]*list.Element
	// recent are the kept parts, the one used last in front.
	recent  list.List
	held    int
	order   uint64
	working bool
}

type keptKey struct {
	model tables.ModelID
	part  uint64
}

type keptPart struct {
	key    keptKey
	tokens int
}

// Whole reports whether the job has made its whole answer.
func (j *Job) Whole() bool {
	return j.made >= j.Answer
}

// Load returns the numbers of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// Submit takes a job, and returns false if the engine is full.
func (e *Engine) Submit(j *Job) bool {
	if len(e.running) >= e.Figures.Slots && len(e.waiting) >= e.Figures.Queue || e.Figures.Memory > 0 && total(j.Parts) > e.Figures.Memory {
		return false
	}
	e.order++
	j.order = e.order
	e.waiting = append(e.waiting, j)
	e.admit()
	e.work()
	return true
}

// Cancel takes a job off.
func (e *Engine) Cancel(j *Job) {
	if j.gone {
		return
	}
	j.gone = true
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *Job) bool { return o == j })
	e.admit()
}

// Crash drops all jobs and kept parts, and returns the jobs. They are not told.
func (e *Engine) Crash() []*Job {
	lost := append(slices.Clone(e.running), e.waiting...)
	for _, j := range lost {
		j.gone = true
	}
	e.running, e.waiting = nil, nil
	e.kept, e.held = nil, 0
	e.recent.Init()
	return lost
}

// admit fills the batch with the most urgent of those that wait.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, byUrgency)
	for len(e.waiting) > 0 && len(e.running) < e.Figures.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		e.begin(j)
	}
}

// begin finds what of the prompt has to be read.
func (e *Engine) begin(j *Job) {
	own := e.keeps(j)
	j.unread = total(j.Parts) - own
	if j.Reader == nil || e.Figures.FetchPerMS <= 0 {
		return
	}
	there := j.Reader.keeps(j)
	if there <= own {
		return
	}
	j.unread -= there - own
	j.fetching = true
	e.Agenda.Schedule(milliseconds(float64(there-own)/e.Figures.FetchPerMS), func() {
		j.fetching = false
		e.work()
	})
}

// keeps returns how many tokens of the job's prompt are kept from its start on.
func (e *Engine) keeps(j *Job) int {
	tokens := 0
	for _, part := range j.Parts {
		element := e.kept[keptKey{j.Model, part.ID}]
		if element == nil {
			break
		}
		e.recent.MoveToFront(element)
		tokens += part.Tokens
	}
	return tokens
}

// keep remembers the parts of a prompt that was read.
func (e *Engine) keep(j *Job) {
	if e.kept == nil {
		e.kept = map[keptKey]*list.Element{}
	}
	for _, part := range j.Parts {
		key := keptKey{j.Model, part.ID}
		if element := e.kept[key]; element != nil {
			e.recent.MoveToFront(element)
			continue
		}
		e.kept[key] = e.recent.PushFront(keptPart{key, part.Tokens})
		e.held += part.Tokens
	}
	for e.Figures.Memory > 0 && e.held > e.Figures.Memory-e.inUse() && e.recent.Len() > 0 {
		last, ok := e.recent.Remove(e.recent.Back()).(keptPart)
		if !ok {
			return
		}
		delete(e.kept, last.key)
		e.held -= last.tokens
	}
}

// inUse returns the tokens that running jobs have made.
func (e *Engine) inUse() int {
	tokens := 0
	for _, j := range e.running {
		tokens += j.made
	}
	return tokens
}

// work takes steps while there is something to do.
func (e *Engine) work() {
	if e.working {
		return
	}
	reading, making := e.plan()
	if reading == nil && making == 0 {
		return
	}
	e.working = true
	step := e.Figures.StepMS + e.Figures.StepSlotMS*making
	chunk := 0
	if reading != nil {
		chunk = min(e.Figures.Chunk, reading.unread)
		step += reading.Pace * float64(chunk) / e.Figures.ReadPerMS
	}
	e.Agenda.Schedule(milliseconds(step*max(1, e.Slowness)), func() {
		e.working = false
		e.finish(reading, chunk)
		e.admit()
		e.work()
	})
}

// plan returns the prompt to read next, and the paces of the jobs that make
// tokens added up.
func (e *Engine) plan() (reading *Job, making float64) {
	for _, j := range e.running {
		switch {
		case j.fetching:
		case j.unread > 0:
			if reading == nil || byUrgency(j, reading) < 0 {
				reading = j
			}
		default:
			making += j.Pace
		}
	}
	return reading, making
}

// finish takes what a step has done.
func (e *Engine) finish(reading *Job, chunk int) {
	for _, j := range slices.Clone(e.running) {
		if j.gone || j.fetching {
			continue
		}
		if j == reading {
			j.unread -= chunk
			if j.unread <= 0 {
				e.keep(j)
			}
			continue
		}
		if j.unread <= 0 {
			e.token(j)
		}
	}
}

// token makes the next token of a job.
func (e *Engine) token(j *Job) {
	j.made++
	switch {
	case j.made == 1:
		j.Started()
	case j.made%max(1, e.Figures.EventTokens) == 0 && j.Event != nil:
		j.Event()
	}
	if j.made >= j.Answer && !j.gone {
		e.Cancel(j)
		j.Done()
	}
}

func byUrgency(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.order, b.order))
}

func total(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
