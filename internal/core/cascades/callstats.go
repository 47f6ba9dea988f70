package cascades

import (
	"time"

	"mimosayard/internal/core/tables"
)

// CallStats holds moving means over a pool's calls. The zero value is ready to
// use.
type CallStats struct {
	// FirstTokenSeconds is the mean wait for the first token, TotalSeconds the
	// mean duration of a whole call.
	FirstTokenSeconds float64
	TotalSeconds      float64
	// PromptTokens and AnswerTokens are mean sizes.
	PromptTokens float64
	AnswerTokens float64
}

// RequestSize holds the mean size of a route's requests. The zero value is
// ready to use.
type RequestSize struct {
	// PromptTokens and AnswerTokens are the means, rounded down.
	PromptTokens tables.Tokens
	AnswerTokens tables.Tokens

	// prompt and answer are the means before rounding.
	prompt, answer float64
}

// statsGain is the weight of one observation in a moving mean.
const statsGain = 0.05

// MeanDuration returns the mean duration of a whole call, zero before the first
// observation.
func (c *CallStats) MeanDuration() time.Duration {
	return time.Duration(c.TotalSeconds * float64(time.Second))
}

// MeanFirstToken returns the mean wait for the first token, zero before the
// first observation.
func (c *CallStats) MeanFirstToken() time.Duration {
	return time.Duration(c.FirstTokenSeconds * float64(time.Second))
}

// Observe adds a finished call to the means.
func (c *CallStats) Observe(total time.Duration, prompt, answer tables.Tokens) {
	if c.TotalSeconds == 0 {
		c.TotalSeconds, c.PromptTokens, c.AnswerTokens = total.Seconds(), float64(prompt), float64(answer)
		return
	}
	c.TotalSeconds += statsGain * (total.Seconds() - c.TotalSeconds)
	c.PromptTokens += statsGain * (float64(prompt) - c.PromptTokens)
	c.AnswerTokens += statsGain * (float64(answer) - c.AnswerTokens)
}

// ObserveFirstToken adds the wait for a first token to its mean.
func (c *CallStats) ObserveFirstToken(first time.Duration) {
	if c.FirstTokenSeconds == 0 {
		c.FirstTokenSeconds = first.Seconds()
		return
	}
	c.FirstTokenSeconds += statsGain * (first.Seconds() - c.FirstTokenSeconds)
}

// Observe adds a finished call to the means.
func (s *RequestSize) Observe(prompt, answer tables.Tokens) {
	if s.prompt == 0 {
		s.prompt, s.answer = float64(prompt), float64(answer)
	}
	s.prompt += statsGain * (float64(prompt) - s.prompt)
	s.answer += statsGain * (float64(answer) - s.answer)
	s.PromptTokens, s.AnswerTokens = tables.Tokens(s.prompt), tables.Tokens(s.answer)
}
