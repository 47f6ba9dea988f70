package releases

import (
	"testing"

	"github.com/matryer/is"
)

// TestWriteTurn guards against a rollout status that several instances write at
// once, which makes them race for the same revision, and against a rollout that
// stalls without a writer after the instance in charge has failed.
func TestWriteTurn(t *testing.T) {
	t.Run("the instance in charge writes at once", func(t *testing.T) {
		is.New(t).True((&WriteTurn{}).ShouldWrite(true))
	})
	t.Run("another instance takes over at the third tick of the same step", func(t *testing.T) {
		is := is.New(t)
		turn := &WriteTurn{}
		is.True(!turn.ShouldWrite(false))
		is.True(!turn.ShouldWrite(false))
		is.True(turn.ShouldWrite(false))
	})
	t.Run("another instance does not take over if the step was done meanwhile", func(t *testing.T) {
		is := is.New(t)
		turn := &WriteTurn{}
		is.True(!turn.ShouldWrite(false))
		is.True(!turn.ShouldWrite(false))
		turn.ResetTicks()
		is.True(!turn.ShouldWrite(false))
	})
	t.Run("an instance that took over writes the next step at once", func(t *testing.T) {
		is := is.New(t)
		turn := &WriteTurn{}
		turn.RecordWrite(true)
		turn.ResetTicks()
		is.True(turn.ShouldWrite(false))
	})
	t.Run("an instance that took over waits again after a failed write", func(t *testing.T) {
		is := is.New(t)
		turn := &WriteTurn{}
		turn.RecordWrite(true)
		turn.RecordWrite(false)
		is.True(!turn.ShouldWrite(false))
	})
}
