// Package standins implements the standins command, which runs one stand-in or
// generates a trace.
package standins

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"mimosayard/internal/standin/engine"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/internal/standin/plainservice"
	"mimosayard/internal/standin/platform"
	"mimosayard/internal/standin/rater"
	"mimosayard/internal/standin/sharedplatform"
	"mimosayard/internal/standin/tracegen"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the stand-in that the first argument names until it gets SIGINT or
// SIGTERM. If the first argument is "trace", it writes a trace to stdout. It
// returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		_, _ = fmt.Fprintln(stderr, "usage: standins platform|engine|desk|rater|store|server -address IP:PORT [flags], or standins trace -scenario NAME [-seed N]")
		return exitUsage
	}
	if args[0] == "trace" {
		return recordTrace(args[1:], stdout, stderr)
	}
	flags := flag.NewFlagSet("standins "+args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("address", "", "`IP:PORT` to listen on")
	handler, err := newHandler(flags, args[0], args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, *address, handler); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return 0
}

// newHandler parses the flags of a stand-in and returns its HTTP interface.
func newHandler(flags *flag.FlagSet, name string, args []string) (http.Handler, error) {
	switch name {
	case "platform":
		return (&platform.Server{}).Handler(), flags.Parse(args)
	case "desk":
		return (&plainservice.Server{}).Handler(), flags.Parse(args)
	case "engine":
		server := &engine.Server{}
		flags.StringVar(&server.Model, "model", "model", "`NAME` of the model")
		flags.StringVar(&server.Version, "version", "v1", "`NAME` of the version")
		flags.Float64Var(&server.Quality, "quality", 0.9, "probability of a correct answer to an easy request")
		flags.IntVar(&server.Slots, "slots", 16, "maximum number of answers generated concurrently")
		flags.DurationVar(&server.FirstTokenDelay, "first-token", 20*time.Millisecond, "time to the first token")
		flags.DurationVar(&server.TokenInterval, "between-tokens", 2*time.Millisecond, "time between two tokens")
		flags.BoolVar(&server.IgnoreFencing, "ignore-fencing", false, "accept orders with an outdated fencing token")
		flags.Uint64Var(&server.Seed, "seed", 1, "seed of the answers")
		return server.Handler(), flags.Parse(args)
	case "rater":
		server := &rater.Server{}
		flags.Float64Var(&server.RatedShare, "share", 0.5, "share of the answers that get a rating, from 0 to 1")
		flags.DurationVar(&server.Delay, "delay", time.Second, "time from an answer to its rating")
		return server.Handler(), flags.Parse(args)
	case "store":
		return (&sharedplatform.Store{}).Handler(), flags.Parse(args)
	case "server":
		server := &sharedplatform.Upstream{}
		flags.StringVar(&server.ID, "id", "server", "`ID` of the server in the store")
		flags.IntVar(&server.EventsPerStream, "events", 5, "`NUMBER` of events in a stream")
		flags.DurationVar(&server.EventInterval, "pause", 10*time.Millisecond, "`TIME` between two events")
		err := flags.Parse(args)
		return server.Handler(), err
	}
	return nil, fmt.Errorf("no stand-in is named %q; want platform, engine, desk, rater, store or server", name)
}

// recordTrace writes the trace of a scenario to stdout and returns the exit code.
func recordTrace(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("standins trace", flag.ContinueOnError)
	flags.SetOutput(stderr)
	scenarioName := flags.String("scenario", "sauna", "`NAME` of the scenario")
	seed := flags.Uint64("seed", 1, "seed of the trace")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	scenario, err := tracegen.FindScenario(*scenarioName)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	writer := bufio.NewWriter(stdout)
	if err := errors.Join(tracegen.Generate(writer, scenario, *seed), writer.Flush()); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return 0
}

// serve serves a stand-in on an address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := httpserver.Serve(ctx, group, address, handler); err != nil {
		return err
	}
	return group.Wait()
}
