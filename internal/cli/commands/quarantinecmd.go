package commands

import (
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/net/http1"
)

func newQuarantineCmd() *command {
	return &command{
		name:    "quarantine",
		summary: "Show what an instance refuses since upstreams crashed on it, or release it.",
		usage:   "-instance URL [-release PART] [-json]",
		example: "mimosayard quarantine -instance http://127.0.0.1:8081 -release 5c1e07a2",
		run:     runQuarantineCmd,
	}
}

func runQuarantineCmd(i *invocation) error {
	instance := i.flags.String("instance", "", "operators' base `URL` of the instance")
	part := i.flags.String("release", "", "release the `PART` at all instances")
	asJSON := i.flags.Bool("json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	if *instance == "" {
		return usageError("-instance is required")
	}
	method, target := http.MethodGet, *instance+"/quarantine"
	if *part != "" {
		method, target = http.MethodDelete, target+"/"+url.PathEscape(*part)
	}
	ctx, stop := signalContext()
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return usageError("-instance %q is not a URL", *instance)
	}
	response, err := instanceClient.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the instance does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case *part != "" && response.StatusCode == http.StatusNoContent:
		i.printf("released %s\n", *part)
		return nil
	case *part != "" && response.StatusCode == http.StatusNotFound:
		return trace.NotFound("no instance refuses %q", *part)
	case response.StatusCode != http.StatusOK:
		return trace.BadParameter("%s has no quarantine", *instance)
	}
	var entries []quarantine.Entry
	if err := http1.DecodeJSON(response, &entries); err != nil {
		return trace.BadParameter("the answer of %s is not a quarantine", *instance)
	}
	if *asJSON {
		return i.printJSON(entries)
	}
	for _, e := range entries {
		i.printf("%s since %s until %s, next trial %s\n", e.Part, e.Since.Format(time.RFC3339), e.Until.Format(time.RFC3339), e.NextTrial.Format(time.RFC3339))
	}
	return nil
}
