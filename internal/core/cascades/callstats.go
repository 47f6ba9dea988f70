package cascades

import (
	"time"

	"mimosayard/internal/core/tables"
)

// A Pace is the learned speed of a pool. The zero value works.
type CallStats struct {
	// First and Total are moving means, in seconds.
	FirstTokenSeconds float64
	TotalSeconds      float64
	// Prompt and Answer are mean token counts.
	PromptTokens float64
	AnswerTokens float64
}

// A Size is the mean size of a route's requests. The zero value works.
type RequestSize struct {
	Prompt tables.Tokens
	Answer tables.Tokens

	prompt, answer float64
}

const statsGain = 0.05

// Duration returns the mean duration of a whole answer.
func (p *CallStats) MeanDuration() time.Duration {
	return time.Duration(p.TotalSeconds * float64(time.Second))
}

// FirstDuration returns the mean wait for the first token.
func (p *CallStats) MeanFirstToken() time.Duration {
	return time.Duration(p.FirstTokenSeconds * float64(time.Second))
}

// Observe takes a finished call into the means.
func (p *CallStats) Observe(total time.Duration, prompt, answer tables.Tokens) {
	if p.TotalSeconds == 0 {
		p.TotalSeconds, p.PromptTokens, p.AnswerTokens = total.Seconds(), float64(prompt), float64(answer)
		return
	}
	p.TotalSeconds += statsGain * (total.Seconds() - p.TotalSeconds)
	p.PromptTokens += statsGain * (float64(prompt) - p.PromptTokens)
	p.AnswerTokens += statsGain * (float64(answer) - p.AnswerTokens)
}

// ObserveFirst takes the wait for a first token into the mean.
func (p *CallStats) ObserveFirstToken(first time.Duration) {
	if p.FirstTokenSeconds == 0 {
		p.FirstTokenSeconds = first.Seconds()
		return
	}
	p.FirstTokenSeconds += statsGain * (first.Seconds() - p.FirstTokenSeconds)
}

// Observe takes a finished call into the means.
func (s *RequestSize) Observe(prompt, answer tables.Tokens) {
	if s.prompt == 0 {
		s.prompt, s.answer = float64(prompt), float64(answer)
	}
	s.prompt += statsGain * (float64(prompt) - s.prompt)
	s.answer += statsGain * (float64(answer) - s.answer)
	s.Prompt, s.Answer = tables.Tokens(s.prompt), tables.Tokens(s.answer)
}
