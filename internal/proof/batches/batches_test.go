package batches

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/proof/agenda"
)

func figures() Figures {
	return Figures{Slots: 4, Queue: 2, StepMS: 5, ReadPerMS: 100, Chunk: 1000, FetchPerMS: 1000, Memory: 20000, EventTokens: 2}
}

// play submits jobs at the start and returns when each gave its first token.
func play(e *Engine, jobs ...*Job) []time.Duration {
	e.Agenda = &agenda.Agenda{}
	started := make([]time.Duration, len(jobs))
	for n, j := range jobs {
		j.Pace = max(j.Pace, 1)
		j.Answer = max(j.Answer, 1)
		j.Started = func() { started[n] = e.Agenda.Now() }
		j.Done = func() {}
		e.Submit(j)
	}
	e.Agenda.Advance(time.Minute)
	return started
}

func prompt(id uint64, tokens int) *Job {
	return &Job{Parts: []Part{{id, tokens}}}
}

func TestReading(t *testing.T) {
	t.Run("a prompt takes its steps and its reading", func(t *testing.T) {
		// Two steps of 5 ms, 20 ms of reading, and a step for the token.
		is.New(t).Equal(play(&Engine{Figures: figures()}, prompt(1, 2000)), []time.Duration{35 * time.Millisecond})
	})
	t.Run("a slower model reads slower in the same steps", func(t *testing.T) {
		slow := prompt(1, 2000)
		slow.Pace = 3
		is.New(t).Equal(play(&Engine{Figures: figures()}, slow), []time.Duration{75 * time.Millisecond})
	})
	t.Run("the more urgent prompt goes first", func(t *testing.T) {
		late, urgent := prompt(1, 4000), prompt(2, 1000)
		late.Urgency, urgent.Urgency = 5, 1
		started := play(&Engine{Figures: figures()}, late, urgent)
		is.New(t).True(started[1] < started[0])
	})
	t.Run("a kept part is not read again for the same model", func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Figures: figures()}
		play(e, prompt(1, 2000))
		is.Equal(play(e, prompt(1, 2000)), []time.Duration{5 * time.Millisecond})
		other := prompt(1, 2000)
		other.Model = "other"
		is.Equal(play(e, other), []time.Duration{35 * time.Millisecond})
	})
	t.Run("what another engine keeps is fetched", func(t *testing.T) {
		reader, e := &Engine{Figures: figures()}, &Engine{Figures: figures()}
		play(reader, prompt(1, 2000))
		fetched := prompt(1, 2000)
		fetched.Reader = reader
		is.New(t).Equal(play(e, fetched), []time.Duration{7 * time.Millisecond})
	})
	t.Run("the part that was used least recently yields", func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Figures: figures()}
		play(e, prompt(1, 9000))
		play(e, prompt(2, 9000))
		play(e, prompt(3, 9000))
		is.Equal(e.keeps(prompt(1, 9000)), 0)
		is.Equal(e.keeps(prompt(3, 9000)), 9000)
	})
}

func TestFull(t *testing.T) {
	is := is.New(t)
	e := &Engine{Figures: figures(), Agenda: &agenda.Agenda{}}
	for range 6 {
		is.True(e.Submit(prompt(1, 100)))
	}
	is.True(!e.Submit(prompt(1, 100)))
	is.Equal(len(e.Crash()), 6)
	running, waiting := e.Load()
	is.Equal(running+waiting, 0)
}
