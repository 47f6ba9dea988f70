// Package programs builds the repository's programs and runs them as processes
// of a test.
package programs

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"
)

// A Process is a started program.
type Process struct {
	Command *exec.Cmd
	// Log holds what the program wrote to standard error. It may be read after
	// Done is closed.
	Log *bytes.Buffer
	// Done is closed when the program has exited.
	Done <-chan struct{}
}

// RunTests builds the programs mimosayard and standins into a temporary directory, which it stores
// in *directory, runs the tests, and returns the exit code.
func RunTests(m *testing.M, directory *string) int {
	temporary, err := os.MkdirTemp("", "mimosayard-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	*directory = temporary
	if err := build(temporary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds the programs into a directory.
func build(directory string) error {
	for _, name := range []string{"mimosayard", "standins"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, name), "mimosayard/cmd/"+name) //nolint:gosec,noctx // The names are fixed.
		if output, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w\n%s", name, err, output)
		}
	}
	return nil
}

// Start starts a command, which is killed at the end of the test. The end of its
// log is printed if the test failed.
func Start(t *testing.T, command *exec.Cmd) *Process {
	t.Helper()
	log, done := &bytes.Buffer{}, make(chan struct{})
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		return command.Wait()
	})
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-done
		if t.Failed() {
			t.Logf("%v:\n%s", command.Args, tail(log.String()))
		}
	})
	return &Process{Command: command, Log: log, Done: done}
}

// tail returns the last bytes of a long text.
func tail(text string) string {
	const maxBytes = 4000
	return text[max(0, len(text)-maxBytes):]
}
