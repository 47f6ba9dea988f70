// Package commands implements the command line of mimosayard. Each command has
// its own file.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
)

// A command is a subcommand. The usage lists its flags, and the example is a
// whole command line.
type command struct {
	name    string
	summary string
	usage   string
	example string
	run     func(i *invocation) error
}

// An exitError ends the program with an exit code. If err is nil, nothing is
// printed.
type exitError struct {
	code int
	err  error
}

// An invocation is a call of a command with its arguments and output streams.
type invocation struct {
	command *command
	args    []string
	flags   *flag.FlagSet
	stdout  io.Writer
	stderr  io.Writer
}

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line, the settings, the tables or the
	// configuration are invalid. Nothing was done, unless apply wrote tables that
	// the fleet then rejected.
	ExitUsage = 2
	// ExitConflict means that someone else changed the tables, and that the
	// conflicting table was not written.
	ExitConflict = 3
)

// Version is the version of the program. It is set at link time.
var Version = "development"

// Main runs the command that the arguments name and returns the exit code. The
// arguments do not include the program name.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printHelp(stdout)
		return ExitOK
	}
	for _, c := range allCommands() {
		if c.name == args[0] {
			return c.execute(args[1:], stdout, stderr)
		}
	}
	_, _ = fmt.Fprintf(stderr, "mimosayard: %q is not a command; mimosayard help lists them\n", args[0])
	return ExitUsage
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string {
	return trace.UserMessage(e.err)
}

func allCommands() []*command {
	return []*command{
		newApplyCmd(),
		newCapacityCmd(),
		newCheckCmd(),
		newDemoCmd(),
		newReplayCmd(),
		newServeCmd(),
		newStatusCmd(),
		newQuarantineCmd(),
		newVersionCmd(),
	}
}

// execute runs the command and returns the exit code. It prints the error, if
// any, to stderr.
func (c *command) execute(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "%s\n\nUsage:\n  mimosayard %s %s\n\nExample:\n  %s\n\nFlags:\n", c.summary, c.name, c.usage, c.example)
		flags.PrintDefaults()
	}
	err := c.run(&invocation{command: c, args: args, flags: flags, stdout: stdout, stderr: stderr})
	if err == nil {
		return ExitOK
	}
	code := ExitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	if exit == nil || exit.err != nil {
		_, _ = fmt.Fprintf(stderr, "mimosayard %s: %s\n", c.name, trace.UserMessage(err))
	}
	return code
}

// parse parses the flags. It returns an error if other arguments follow them.
func (i *invocation) parse() error {
	if err := i.flags.Parse(i.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return &exitError{code: ExitOK}
		}
		return &exitError{code: ExitUsage}
	}
	if i.flags.NArg() > 0 {
		return usageError("unexpected argument %q", i.flags.Arg(0))
	}
	return nil
}

func (i *invocation) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(i.stdout, format, values...)
}

func (i *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(i.stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "mimosayard routes requests to models, versions and plain services.\n\nCommands:\n")
	for _, c := range allCommands() {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprint(w, "\nmimosayard COMMAND -h tells more. Exit codes: 0 done, 1 failed, 2 mistake in the\ncommand line, settings, tables or configuration, 3 someone else changed the tables.\n")
}

// signalContext returns a context that ends on SIGINT and SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// usageError returns an error that ends the program with ExitUsage.
func usageError(format string, values ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, values...)}
}
