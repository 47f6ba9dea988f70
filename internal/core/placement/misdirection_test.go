package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

// TestMisdirections guards against upstreams that stay out of use for a model, and against
// state that grows with the names that callers think of.
func TestMisdirections(t *testing.T) {
	t.Run("calls return after a pause", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.RecordMisdirection(now, "small")
		is.True(u.Misdirects(now, "small"))
		is.True(!u.Misdirects(now.Add(minMisdirectionPause), "small"))
	})
	t.Run("the pause doubles up to its bound", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		at := now
		for range 20 {
			u.RecordMisdirection(at, "small")
			at = at.Add(time.Hour)
		}
		is.True(u.Misdirects(at.Add(maxMisdirectionPause-time.Hour-1), "small"))
		is.True(!u.Misdirects(at.Add(maxMisdirectionPause-time.Hour), "small"))
	})
	t.Run("a call that runs ends it", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.RecordMisdirection(now, "small")
		u.ClearMisdirection("small")
		is.True(!u.Misdirects(now, "small"))
	})
	t.Run("a bounded number of models is remembered", func(t *testing.T) {
		is := is.New(t)
		u := newUpstreams(1)[0]
		u.RecordMisdirection(now, "small")
		u.RecordMisdirection(now.Add(time.Second), "small")
		for n := range 100 {
			u.RecordMisdirection(now, tables.ModelID(strconv.Itoa(n)))
		}
		is.Equal(len(u.misdirections), maxMisdirections)
		is.True(u.Misdirects(now, "small"))
	})
}
