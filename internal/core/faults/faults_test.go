package faults

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// An error that loses its kind when it is wrapped, or an unknown error that is
// reported as not run, would mislead callers about retries.
func TestFromErrorFindsWrappedError(t *testing.T) {
	t.Run("wrapped error keeps its kind", func(t *testing.T) {
		is.New(t).Equal(FromError(trace.Wrap(NotRun(Overloaded, ""))).Kind, Overloaded)
	})
	t.Run("other error is internal and may have run", func(t *testing.T) {
		is := is.New(t)
		fault := FromError(errors.New("x"))
		is.Equal(fault.Kind, Internal)
		is.Equal(fault.Run, RunUnknown)
	})
}

// The page that callers read must have the same statuses, run states, waits and
// messages as the code.
func TestPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for kind, response := range Responses() {
		rows = append(rows, fmt.Sprintf("| `%s` | %d | %s | %d | %s |", kind, response.Status, response.Run, response.RetryAfter.Milliseconds(), response.Message))
	}
	slices.Sort(rows)
	if !strings.Contains(string(page), strings.Join(rows, "\n")) {
		t.Fatalf("docs/ERRORS.md lacks the table:\n%s", strings.Join(rows, "\n"))
	}
}
