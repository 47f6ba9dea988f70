package capacity

import (
	"fmt"
	"runtime"
	"time"
)

// Results holds all measurements of one run.
type Results struct {
	// MeasuredOn is the date of the run, in UTC.
	MeasuredOn string `json:"taken"`
	// Cores is the number of logical processors.
	Cores int `json:"cores"`
	// Go is the version of Go.
	Go string `json:"go"`
	// Axes are the measurements of single duties.
	Axes []Axis `json:"axes"`
	// Fleets holds a measurement for each number of nodes and teams.
	Fleets []fleetMeasurement `json:"fleet"`
	// AddedCPU is the processor time that an instance adds to a request, by the
	// number of tokens in the answer.
	AddedCPU Axis `json:"added_cpu"`
	// StreamBytes is the heap and stack memory that an instance adds to an open
	// stream.
	StreamBytes float64 `json:"stream_bytes"`
	Latency     Latency `json:"latency"`
	// ContributionKeys is the number of values that a busy instance contributes
	// to the fleet's totals, and ExactKeys the number of those of which every
	// change is sent.
	ExactKeys        int `json:"exact_keys"`
	ContributionKeys int `json:"keys"`
}

// Measure takes all measurements. It calls progress with the name of each
// before it starts. After an error, the results hold what was measured until
// then.
func Measure(progress func(text string)) (Results, error) {
	results := Results{
		MeasuredOn: time.Now().UTC().Format(time.DateOnly),
		Cores:      runtime.NumCPU(),
		Go:         runtime.Version(),
	}
	progress("decisions")
	results.Axes = measureDecisions()
	results.Axes = append(results.Axes, measureAxis("copies of bills in one message", "bills", "bytes", []int{1, 2, 4, 8, 16}, holdMessageBytes))
	contribution := newBusyRouter(designSize).Contribution(time.Now())
	results.ContributionKeys, results.ExactKeys = len(contribution), countExactKeys(contribution)
	for _, size := range []struct{ nodes, teams int }{
		{8, 20}, {16, 20}, {32, 20}, {64, 20}, {96, 20}, {128, 20}, {192, 20}, {256, 20}, {32, 5}, {32, 10}, {32, 40}, {32, 80},
	} {
		progress(fmt.Sprintf("fleet of %d nodes with %d teams", size.nodes, size.teams))
		measurement, err := measureFleet(size.nodes, size.teams)
		if err != nil {
			return results, err
		}
		results.Fleets = append(results.Fleets, measurement)
	}
	progress("data path")
	return results, runBench(results.measureDataPath)
}

// measureDataPath measures what an instance adds to requests and streams.
func (r *Results) measureDataPath(b *bench) error {
	var cpuErr error
	r.AddedCPU = measureAxis("added to a request", "tokens in the answer", "ns", []int{16, 64, 128, 256, 512}, func(tokens int) float64 {
		nanos, err := b.addedCPU(tokens)
		if err != nil {
			cpuErr = err
		}
		return nanos
	})
	if cpuErr != nil {
		return cpuErr
	}
	var err error
	if r.Latency, err = b.addedLatency(); err != nil {
		return err
	}
	r.StreamBytes, err = b.addedMemory()
	return err
}
