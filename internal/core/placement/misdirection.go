package placement

import (
	"slices"
	"time"

	"mimosayard/internal/core/tables"
)

// A misdirection is what is known of a model whose calls the upstream rejected as ones to
// another upstream. It may not serve the model, or not any more.
type misdirection struct {
	model tables.ModelID
	// until is when the upstream gets calls for the model again, pause the time from the
	// latest misdirected call to then.
	until time.Time
	pause time.Duration
}

const (
	// minMisdirectionPause and maxMisdirectionPause bound the time without calls for a
	// model after a misdirected one. It doubles with each consecutive one.
	minMisdirectionPause = time.Second
	maxMisdirectionPause = time.Minute
	// maxMisdirections bounds the models that are remembered, since callers may name any.
	maxMisdirections = 16
)

// RecordMisdirection records that the upstream has rejected a call for a model as one to
// another upstream. The model is empty for a service without models.
func (u *Upstream) RecordMisdirection(now time.Time, model tables.ModelID) {
	n := u.misdirectionIndex(model)
	if n < 0 {
		if len(u.misdirections) >= maxMisdirections {
			earliest := slices.MinFunc(u.misdirections, func(a, b misdirection) int { return a.until.Compare(b.until) })
			u.ClearMisdirection(earliest.model)
		}
		n = len(u.misdirections)
		u.misdirections = append(u.misdirections, misdirection{model: model})
	}
	m := &u.misdirections[n]
	m.pause = min(max(2*m.pause, minMisdirectionPause), maxMisdirectionPause)
	m.until = now.Add(m.pause)
}

// ClearMisdirection records that the upstream has run a call for a model.
func (u *Upstream) ClearMisdirection(model tables.ModelID) {
	if n := u.misdirectionIndex(model); n >= 0 {
		u.misdirections = slices.Delete(u.misdirections, n, n+1)
	}
}

// Misdirects reports whether the upstream has recently rejected calls for a model as ones
// to another upstream.
func (u *Upstream) Misdirects(now time.Time, model tables.ModelID) bool {
	n := u.misdirectionIndex(model)
	return n >= 0 && now.Before(u.misdirections[n].until)
}

// misdirectionIndex returns the index of a model's misdirection, -1 if there is none.
func (u *Upstream) misdirectionIndex(model tables.ModelID) int {
	for n := range u.misdirections {
		if u.misdirections[n].model == model {
			return n
		}
	}
	return -1
}
