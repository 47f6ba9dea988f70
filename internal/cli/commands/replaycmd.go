package commands

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/evaluation/loadsim"
	"mimosayard/internal/evaluation/replay"
)

func newReplayCmd() *command {
	return &command{
		name:    "replay",
		summary: "Replay a trace or a load through the decisions and check outcomes.",
		usage:   "-trace FILE [-expect FILE] | -load FILE [-seed N]  [-policy NAME] [-json]",
		example: "mimosayard replay -load testdata/loads/burst.json -policy no_order -seed 3",
		run:     runReplayCmd,
	}
}

// replayOutput is the JSON output of a replayed trace.
type replayOutput struct {
	Results  replay.Results   `json:"results"`
	Verdicts []replay.Verdict `json:"verdicts,omitempty"`
	Seconds  float64          `json:"seconds"`
}

func runReplayCmd(i *invocation) error {
	traceFile := i.flags.String("trace", "", "replay the trace in `FILE`")
	expectFile := i.flags.String("expect", "", "check the outcomes in `FILE`")
	loadFile := i.flags.String("load", "", "play the load in `FILE` against emulated engines")
	seed := i.flags.Uint64("seed", 1, "play the load with seed `N`")
	policy := i.flags.String("policy", replay.PolicyFull, "use the decisions of policy `NAME`: full, round_robin, always_best, fixed_threshold, least_reported or no_detection; for a load "+strings.Join(loadsim.PolicyNames(), ", "))
	asJSON := i.flags.Bool("json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	switch {
	case *loadFile != "" && (*traceFile != "" || *expectFile != ""):
		return usageError("-load goes without -trace and -expect")
	case *loadFile != "":
		return i.runLoad(*loadFile, *policy, *seed, *asJSON)
	case *traceFile == "":
		return usageError("-trace or -load is required")
	}
	data, err := os.ReadFile(*traceFile)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	var expectation replay.Expectation
	if *expectFile != "" {
		if expectation, err = loadExpectation(*expectFile); err != nil {
			return err
		}
	}
	start := time.Now()
	results, err := replay.Run(*traceFile, bytes.NewReader(data), *policy)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	output := replayOutput{Results: results, Seconds: time.Since(start).Seconds()}
	if output.Verdicts, err = replay.Check(*traceFile, data, expectation); err != nil {
		return trace.Wrap(err)
	}
	if *asJSON {
		err = i.printJSON(output)
	} else {
		i.printReplay(output)
	}
	if failure := firstFailure(output.Verdicts, func(v replay.Verdict) bool { return v.Passed }); failure != nil {
		return failure
	}
	return err
}

// firstFailure returns an error that names the first verdict that does not
// pass, or nil if all pass.
func firstFailure[V fmt.Stringer](verdicts []V, passes func(V) bool) error {
	for _, verdict := range verdicts {
		if !passes(verdict) {
			return &exitError{code: ExitFailed, err: trace.CompareFailed("an outcome does not hold: %s", verdict)}
		}
	}
	return nil
}

// loadOutput is the JSON output of a load.
type loadOutput struct {
	Results  loadsim.Results   `json:"results"`
	Verdicts []loadsim.Verdict `json:"verdicts,omitempty"`
	Seconds  float64           `json:"seconds"`
}

// runLoad runs a load against emulated engines and prints the results. Under
// the policy loadsim.PolicyFull, which uses all decisions, it also checks the
// expectations in the load's file. They apply to that policy only.
func (i *invocation) runLoad(file, policy string, seed uint64, asJSON bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	load, err := loadsim.Decode(data)
	if err != nil {
		return &exitError{code: ExitUsage, err: trace.Wrap(err, "%s", file)}
	}
	start := time.Now()
	output := loadOutput{}
	if output.Results, err = loadsim.Simulate(load, policy, seed); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	output.Seconds = time.Since(start).Seconds()
	if policy == loadsim.PolicyFull {
		if output.Verdicts, err = loadsim.Check(load, output.Results); err != nil {
			return &exitError{code: ExitUsage, err: trace.Wrap(err, "%s", file)}
		}
	}
	if asJSON {
		err = i.printJSON(output)
	} else {
		i.printLoad(output)
	}
	if failure := firstFailure(output.Verdicts, func(v loadsim.Verdict) bool { return v.Passed }); failure != nil {
		return failure
	}
	return err
}

func (i *invocation) printLoad(output loadOutput) {
	r := output.Results
	i.printf("load         %s under %s, seed %d, %d requests in %.2f s\n", r.Load, r.Policy, r.Seed, r.Requests, output.Seconds)
	i.printf("worth        %.4f (earned %.4f, models %.4f)\n", r.NetValue, r.EarnedValue, r.ModelCost)
	i.printf("refusals     %d, the latest after %.0f ms\n", r.Refusals, r.MaxRefusalMS)
	i.printf("first event  p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n", r.FirstEventMS.P50, r.FirstEventMS.P95, r.FirstEventMS.P99)
	i.printf("gaps         p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n", r.GapMS.P50, r.GapMS.P95, r.GapMS.P99)
	i.printf("%-20s %6s %8s %8s %8s\n", "of", "asked", "in time", "late", "lost")
	for _, group := range [][]loadsim.OutcomeShares{{r.OutcomeShares}, r.Classes, r.Sizes, r.Teams, r.DataCenters} {
		for _, s := range group {
			i.printf("%-20s %6d %8.4f %8.4f %8.4f\n", s.Name, s.Requests, s.InTime, s.Late, s.Lost)
		}
	}
	for _, verdict := range output.Verdicts {
		i.printf("%s\n", verdict)
	}
}

func loadExpectation(file string) (replay.Expectation, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return replay.Expectation{}, &exitError{code: ExitUsage, err: err}
	}
	expectation, err := replay.ParseExpectation(file, data)
	if err != nil {
		return expectation, &exitError{code: ExitUsage, err: err}
	}
	return expectation, nil
}

func (i *invocation) printReplay(output replayOutput) {
	r := output.Results
	i.printf("trace        %s under %s, %d requests in %.2f s\n", r.Trace, r.Policy, r.Requests, output.Seconds)
	i.printf("served       %d, refused %v\n", r.Served, r.Refusals)
	i.printf("cost         %d micros, %.1f%% of requests escalated\n", r.TotalCost, r.EscalatedShare*100)
	i.printf("quality      %.4f, least margin over a target %.4f\n", r.MeanQuality, r.QualityMargin)
	i.printf("first token  p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.FirstTokenLatency.P50, r.FirstTokenLatency.P95, r.FirstTokenLatency.P99)
	i.printf("total        p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.TotalLatency.P50, r.TotalLatency.P95, r.TotalLatency.P99)
	i.printf("versions     %d steps, %d withdrawn rightly, %d wrongly, %d missed, %.2f%% of callers exposed\n",
		r.RolloutSteps, r.TrueWithdrawals, r.FalseWithdrawals, r.MissedWithdrawals, r.ExposedShare*100)
	i.printf("fairness     worst share %.3f, Jain's index %.4f\n", r.MinServedRatio, r.FairnessIndex)
	i.printf("rules        %d sessions moved, %d forbidden answers\n", r.MovedSessions, r.ForbiddenAnswers)
	for _, verdict := range output.Verdicts {
		i.printf("%s\n", verdict)
	}
}
