package loadsim

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// drawnVerdictLoads is the number of drawn loads without and with a deadly part or request.
var drawnVerdictLoads = flag.Int("verdicts", 1, "number of drawn loads without a deadly part or request, and with one")

// firstVerdictLoad is the seed of the first load. Without a deadly part it had a wrong verdict while
// each lost connection was evidence for ten minutes. The seeds after maxVerdictLoads are the lower ones.
const (
	firstVerdictLoad = 8
	maxVerdictLoads  = 400
)

// oneTrial is the time from a verdict to the end of its first trial: two seconds to the trial and
// up to three for its answer to begin and for the word of it to travel.
const oneTrial = 5 * time.Second

// drawVerdictLoad draws a load with random causes of lost calls, and with a part or request that
// crashes engines if it is deadly. It returns the names of the causes.
func drawVerdictLoad(base Load, seed uint64, deadly bool) (load Load, causes []string) {
	random := rand.New(rand.NewPCG(seed, 2))
	chance := func(probability float64) bool { return random.Float64() < probability }
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	load = base
	load.CrashingPart = nil
	load.DurationSeconds = 40
	load.Instances = 6 + random.IntN(36)
	load.Engines = 12 + random.IntN(20)
	load.Classes = slices.Clone(base.Classes)
	for n := range load.Classes {
		load.Classes[n].RequestsPerSecond *= float64(load.Engines) / float64(base.Engines)
	}
	if chance(0.75) {
		causes = append(causes, "lost answers")
		share, at, length := between(0.45, 0.6), between(3, 12), between(10, 25)
		for n := range load.Engines {
			if chance(share) {
				load.Faults = append(load.Faults, Fault{StartSeconds: at, DurationSeconds: length, FirstEngine: n, EngineCount: 1, AnswerLossRate: between(0.025, 0.4)})
			}
		}
	}
	if chance(0.5) {
		causes = append(causes, "crashes")
		for range 1 + random.IntN(5) {
			load.Faults = append(load.Faults, Fault{
				StartSeconds: between(4, 35), DurationSeconds: between(0.5, 4), FirstEngine: random.IntN(load.Engines), EngineCount: 1,
				Down: true, Restarts: true, EntryDelaySeconds: between(0, 3),
			})
		}
	}
	if chance(0.3) {
		causes = append(causes, "release")
		load.Faults = append(load.Faults, Fault{
			StartSeconds: between(4, 20), DurationSeconds: 1, FirstEngine: 0, EngineCount: load.Engines / 3,
			IntervalSeconds: between(1, 3), Down: true, Restarts: true, EntryDelaySeconds: between(0, 2),
		})
	}
	if chance(0.4) {
		causes = append(causes, "cut")
		load.Cuts = []Cut{{StartSeconds: between(4, 20), DurationSeconds: between(3, 12), FirstInstance: 0, InstanceCount: load.Instances / 3}}
	}
	if chance(0.4) {
		causes = append(causes, "power loss")
		load.PowerLossSeconds = between(6, 30)
	}
	if deadly {
		load.CrashingPart = &CrashingPart{
			StartSeconds: between(4, 18), DurationSeconds: 40, Class: "long", SharedIndex: random.IntN(2),
			RequestsPerSecond: between(1, 6), Repeated: chance(0.5), RestartSeconds: between(0.5, 5), EntryDelaySeconds: between(0, 3),
		}
	}
	return load, causes
}

// verdictTable counts wrong and missed verdicts by the causes of lost calls in the loads.
type verdictTable struct {
	mutex sync.Mutex
	rows  map[string]*verdictRow
}

type verdictRow struct {
	loads, wrong, missed, refusals int
	longest                        float64
}

func (v *verdictTable) record(name string, r Results) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	row := v.rows[name]
	if row == nil {
		row = &verdictRow{}
		v.rows[name] = row
	}
	row.loads++
	row.refusals += r.SoundRefusals
	row.longest = max(row.longest, r.LongestSoundSeconds)
	if r.isWrong() {
		row.wrong++
	}
	if r.isMissed() {
		row.missed++
	}
}

func (v *verdictTable) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-55s %5s %5s %6s %8s %9s\n", "causes", "loads", "wrong", "missed", "refused", "longest")
	for _, name := range slices.Sorted(maps.Keys(v.rows)) {
		row := v.rows[name]
		fmt.Fprintf(&text, "%-55s %5d %5d %6d %8d %7.1f s\n", name, row.loads, row.wrong, row.missed, row.refusals, row.longest)
	}
	return text.String()
}

// TestVerdictsOnDrawnLoads guards against sound parts and requests that are refused because upstreams
// lose answers, crash or are released, and against deadly ones that are missed among these.
func TestVerdictsOnDrawnLoads(t *testing.T) {
	base := readLoad(t, filepath.Join(loadsDirectory, "crashing", "first_part.json"))
	table := &verdictTable{rows: map[string]*verdictRow{}}
	t.Cleanup(func() { t.Logf("wrong and missed verdicts:\n%s", table) })
	for _, deadly := range []bool{false, true} {
		for n := range *drawnVerdictLoads {
			seed := uint64((n+firstVerdictLoad-1)%maxVerdictLoads + 1)
			load, causes := drawVerdictLoad(base, seed, deadly)
			kind := verdictKind(load.CrashingPart)
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				t.Parallel()
				r := play(t, load, PolicyFull, seed)
				for _, cause := range append(causes, "(all)") {
					table.record(kind+", "+cause, r)
				}
				checkVerdicts(t, causes, r)
			})
		}
	}
}

// verdictKind names the kind of what crashes engines in a load.
func verdictKind(deadly *CrashingPart) string {
	switch {
	case deadly == nil:
		return "none deadly"
	case deadly.Repeated:
		return "deadly request"
	}
	return "deadly part"
}

// checkVerdicts checks that no verdict is wrong or missed.
func checkVerdicts(t *testing.T, causes []string, r Results) {
	t.Helper()
	if r.isWrong() {
		t.Errorf("%v: a sound part or request is refused for %.1f s, %d refusals", causes, r.LongestSoundSeconds, r.SoundRefusals)
	}
	if r.isMissed() {
		t.Errorf("%v: %d engines crash later than %v after the fifth, of %d", causes, r.LateCrashes, crashNotice, r.Crashes)
	}
}

// isWrong reports whether a sound part or request was refused for longer than a trial takes.
func (r *Results) isWrong() bool {
	return r.LongestSoundSeconds > oneTrial.Seconds()
}

// isMissed reports whether the deadly part or request crashed an engine after the time in which
// all must know of it.
func (r *Results) isMissed() bool {
	return r.LateCrashes > 0
}
