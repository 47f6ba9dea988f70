package releases

import (
	"testing"

	"github.com/matryer/is"
)

func TestCharge(t *testing.T) {
	t.Run("the instance in charge writes at once", func(t *testing.T) {
		is.New(t).True((&Charge{}).Due(true))
	})
	t.Run("another one steps in at the third look at the same step", func(t *testing.T) {
		is := is.New(t)
		c := &Charge{}
		is.True(!c.Due(false))
		is.True(!c.Due(false))
		is.True(c.Due(false))
	})
	t.Run("not if the step was done meanwhile", func(t *testing.T) {
		is := is.New(t)
		c := &Charge{}
		is.True(!c.Due(false))
		is.True(!c.Due(false))
		c.Idle()
		is.True(!c.Due(false))
	})
	t.Run("one that has stepped in writes the next step at once", func(t *testing.T) {
		is := is.New(t)
		c := &Charge{}
		c.Wrote(true)
		c.Idle()
		is.True(c.Due(false))
	})
	t.Run("until another one writes", func(t *testing.T) {
		is := is.New(t)
		c := &Charge{}
		c.Wrote(true)
		c.Wrote(false)
		is.True(!c.Due(false))
	})
}
