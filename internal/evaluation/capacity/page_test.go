package capacity

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageMatchesResults guards against a capacity page that differs from
// its measurements, after one of them, or a constant here, was changed alone.
func TestPageMatchesResults(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../docs/capacity.json")
	is.NoErr(err)
	var results Results
	is.NoErr(json.Unmarshal(text, &results))
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), RenderTables(results)))
}

// TestFitLine guards against a wrong slope, base or residual of the fitted
// lines, from which all values at the design size follow.
func TestFitLine(t *testing.T) {
	t.Run("points on a line have no residual", func(t *testing.T) {
		is := is.New(t)
		fit := fitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
		is.Equal(fit, Fit{Base: 3, Slope: 2})
	})
	t.Run("points off the line have one", func(t *testing.T) {
		is.New(t).True(fitLine([]Point{{1, 5}, {2, 9}, {4, 11}}).Residual > 0.05)
	})
}
