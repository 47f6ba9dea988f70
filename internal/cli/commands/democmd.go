package commands

import (
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/cli/demo"
)

// demoDuration is the time for which the demo sends requests.
const demoDuration = 12 * time.Second

func newDemoCmd() *command {
	return &command{
		name:    "demo",
		summary: "Run stand-ins and two instances on loopback and send them requests.",
		usage:   "[-door both|own|shared] [-keep]",
		example: "mimosayard demo",
		run:     runDemoCmd,
	}
}

// The values of -door: the APIs for callers that the demo shows.
const (
	doorBoth   = "both"
	doorOwn    = "own"
	doorShared = "shared"
)

func runDemoCmd(i *invocation) error {
	keep := i.flags.Bool("keep", false, "leave everything running and print a curl line; with one door")
	door := i.flags.String("door", doorBoth, "show the front `DOOR`: the product's own API, that of the shared platform, or both in turn")
	if err := i.parse(); err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	options := demo.Options{Output: i.stdout, Keep: *keep, TrafficDuration: demoDuration}
	switch {
	case *door == doorOwn:
		return trace.Wrap(demo.Run(ctx, options))
	case *door == doorShared:
		return trace.Wrap(demo.RunSharedPlatform(ctx, options))
	case *door != doorBoth:
		return usageError("-door is %s; want both, own or shared", *door)
	case *keep:
		return usageError("-keep needs one door: -door own or -door shared")
	}
	if err := demo.Run(ctx, options); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(demo.RunSharedPlatform(ctx, options))
}
