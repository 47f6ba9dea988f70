package commands

import (
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"mimosayard/internal/evaluation/capacity"
)

func newCapacityCmd() *command {
	return &command{
		name:    "capacity",
		summary: "Measure the slopes of docs/CAPACITY.md, or print its tables.",
		usage:   "-out FILE | -from FILE",
		example: "mimosayard capacity -out docs/capacity.json",
		run:     runCapacityCmd,
	}
}

// resultFileMode is the mode of the file with the results.
const resultFileMode = 0o600

func runCapacityCmd(i *invocation) error {
	out := i.flags.String("out", "", "measure and write the results to `FILE`")
	from := i.flags.String("from", "", "print the tables for the results in `FILE`")
	if err := i.parse(); err != nil {
		return err
	}
	if (*out == "") == (*from == "") {
		return usageError("one of -out and -from is required")
	}
	if *from != "" {
		return i.printCapacity(*from)
	}
	results, err := capacity.Measure(func(text string) { i.printf("measuring: %s\n", text) })
	if err != nil {
		return trace.Wrap(err)
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(*out, append(text, '\n'), resultFileMode))
}

// printCapacity prints the tables for the results in a file.
func (i *invocation) printCapacity(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	var results capacity.Results
	if err := json.Unmarshal(text, &results); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	i.printf("%s", capacity.RenderTables(results))
	return nil
}
