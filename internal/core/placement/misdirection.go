package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosayard/internal/core/tables"
)

// A misdirection records that the upstream has rejected calls for a model as misdirected,
// since it does not serve the model or no longer does.
type misdirection struct {
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

// RecordMisdirection records that the upstream has rejected a call for a model as
// misdirected. The model is empty for a call that names none.
func (u *Upstream) RecordMisdirection(now time.Time, model tables.ModelID) {
	m, known := u.misdirections[model]
	if !known && len(u.misdirections) >= maxMisdirections {
		u.forgetMisdirection()
	}
	m.pause = min(max(2*m.pause, minMisdirectionPause), maxMisdirectionPause)
	m.until = now.Add(m.pause)
	if u.misdirections == nil {
		u.misdirections = map[tables.ModelID]misdirection{}
	}
	u.misdirections[model] = m
}

// ClearMisdirection records that the upstream has run a call for a model.
func (u *Upstream) ClearMisdirection(model tables.ModelID) {
	delete(u.misdirections, model)
}

// Misdirects reports whether the upstream has recently rejected calls for a model as
// misdirected.
func (u *Upstream) Misdirects(now time.Time, model tables.ModelID) bool {
	return now.Before(u.misdirections[model].until)
}

// forgetMisdirection forgets the misdirection that ends first.
func (u *Upstream) forgetMisdirection() {
	first := slices.MinFunc(slices.Collect(maps.Keys(u.misdirections)), func(a, b tables.ModelID) int {
		// The order of names keeps replays the same.
		return cmp.Or(u.misdirections[a].until.Compare(u.misdirections[b].until), cmp.Compare(a, b))
	})
	delete(u.misdirections, first)
}
