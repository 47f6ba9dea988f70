package commands

import (
	"context"
	"io"
	"os"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/instance/entry"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/telemetry/logs"
	"mimosayard/platform"
)

func newServeCmd() *command {
	return &command{
		name:    "serve",
		summary: "Run an entry instance until it is told to stop.",
		usage:   "-settings FILE",
		example: "mimosayard serve -settings examples/sauna/settings.json",
		run:     runServeCmd,
	}
}

// newLogger returns a logger that writes every entry at or above the level of
// the settings, without sampling.
func newLogger(s settings.Settings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(s.Level())
	config.Sampling = nil
	logger, err := config.Build()
	return logger, trace.Wrap(err)
}

func runServeCmd(i *invocation) error {
	file := i.flags.String("settings", os.Getenv(platform.SettingsVariable), "read the settings from `FILE`")
	if err := i.parse(); err != nil {
		return err
	}
	if *file == "" {
		return usageError("-settings is required")
	}
	s, err := settings.Load(*file)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ctx, stop := signalContext()
	defer stop()
	if s.Shared != nil {
		return trace.Wrap(runEntry(ctx, s, *file, i.stdout))
	}
	logger, err := newLogger(s)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(service.New(s, logger).Run(ctx))
}

// runEntry runs an instance on a shared platform. Its log is written to stdout
// asynchronously, so that a slow reader of the log delays no request.
func runEntry(ctx context.Context, s settings.Settings, file string, stdout io.Writer) error {
	logRing := logs.NewRing()
	logCtx, stopLog := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		logRing.Run(logCtx, stdout)
		return nil
	})
	err := entry.New(s, file, logRing, logs.NewLogger(logRing, s.Level())).Run(ctx)
	stopLog()
	_ = group.Wait()
	return trace.Wrap(err)
}
