package loadsim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const loadsDirectory = "../../../testdata/loads"

// seeds are the random seeds that each load runs with.
var seeds = []uint64{1, 2, 3, 4, 5}

func readLoad(t *testing.T, file string) Load {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	load, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return load
}

func play(t *testing.T, load Load, policy string, seed uint64) Results {
	t.Helper()
	results, err := Simulate(load, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// meanNetValue returns the mean net value over the loads and the first three
// seeds.
func meanNetValue(t *testing.T, loads []Load, policy string) float64 {
	t.Helper()
	total := 0.0
	playedSeeds := seeds[:3]
	for _, load := range loads {
		for _, seed := range playedSeeds {
			total += play(t, load, policy, seed).NetValue
		}
	}
	return total / float64(len(loads)*len(playedSeeds))
}

// TestLoadExpectations guards the results that callers get under bursts, faults
// and hot teams: it runs each load file with each seed and checks its
// expectations.
func TestLoadExpectations(t *testing.T) {
	checkExpectations(t, "*.json")
}

// TestCrashingPartIsKeptFromUpstreams guards against requests with one prompt part that
// crash upstream after upstream.
func TestCrashingPartIsKeptFromUpstreams(t *testing.T) {
	checkExpectations(t, "crashing/*.json")
}

// TestLoadIsEven guards against engines that are overrun in turns while others idle: all
// instances choose by what they knew some hundred milliseconds ago, and engines differ in pace.
func TestLoadIsEven(t *testing.T) {
	checkExpectations(t, "even/*.json")
}

// checkExpectations runs the load files that match the pattern.
func checkExpectations(t *testing.T, pattern string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(loadsDirectory, pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("no loads: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			load := readLoad(t, file)
			for _, seed := range seeds {
				verdicts, err := Check(load, play(t, load, PolicyFull, seed))
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range verdicts {
					if !v.Passed {
						t.Errorf("seed %d: %s", seed, v)
					}
				}
			}
		})
	}
}

// TestPoliciesAgainstFull guards against decisions without a benefit: on loads
// that are short of upstreams, each policy that omits or fixes a decision must
// have a lower mean net value than all decisions together.
func TestPoliciesAgainstFull(t *testing.T) {
	t.Parallel()
	var loads []Load
	for _, name := range []string{"grey_slow", "hot_team", "lost_quarter"} {
		loads = append(loads, readLoad(t, filepath.Join(loadsDirectory, name+".json")))
	}
	full := meanNetValue(t, loads, PolicyFull)
	for _, name := range PolicyNames() {
		if name == PolicyFull {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if netValue := meanNetValue(t, loads, name); netValue >= full {
				t.Errorf("worth is %.3f, all decisions together make %.3f", netValue, full)
			}
		})
	}
}

// TestSameSeedSameResults guards against hidden sources of randomness, such as
// the order of maps: two runs with one seed must have equal results.
func TestSameSeedSameResults(t *testing.T) {
	load := readLoad(t, filepath.Join(loadsDirectory, "burst.json"))
	is.New(t).Equal(play(t, load, PolicyFull, 7), play(t, load, PolicyFull, 7))
}

// TestInvalidInputIsRejected checks that invalid loads and unknown policies
// return errors.
func TestInvalidInputIsRejected(t *testing.T) {
	for _, c := range []struct{ name, load, message string }{
		{"unknown field", `{"speed": 1}`, "unknown field"},
		{"no duration", `{}`, "seconds is 0"},
		{"crashing part of an unknown class", `{"seconds": 1, "instances": 1, "engines": 1, "data_centers": ["a"], "models": [{}], "classes": [{}], "teams": [{}],
			"figures": {"slots": 1, "chunk": 1, "read_per_ms": 1, "step_ms": 1}, "crashing_part": {"class": "x", "per_second": 1}}`, "crashing_part"},
		{"no engines", `{"seconds": 1, "instances": 1, "data_centers": ["a"]}`, "engines"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(c.load))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.message))
		})
	}
	t.Run("unknown policy", func(t *testing.T) {
		_, err := Simulate(Load{}, "none", 1)
		is.New(t).True(err != nil)
	})
}
