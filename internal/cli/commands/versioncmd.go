package commands

import "runtime"

func newVersionCmd() *command {
	return &command{
		name:    "version",
		summary: "Print the version.",
		usage:   "[-json]",
		example: "mimosayard version",
		run:     runVersionCmd,
	}
}

// versionOutput is the JSON output of version.
type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func runVersionCmd(i *invocation) error {
	asJSON := i.flags.Bool("json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	if *asJSON {
		return i.printJSON(versionOutput{Version, runtime.Version()})
	}
	i.printf("mimosayard %s %s\n", Version, runtime.Version())
	return nil
}
