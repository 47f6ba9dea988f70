package events

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageContainsCatalogue guards against a page for operators that no longer
// matches the events after one of them was changed.
func TestPageContainsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Catalogue()) {
		t.Fatalf("docs/EVENTS.md lacks the table:\n%s", Catalogue())
	}
}

// TestNumbersAreUnique guards against two events with the same number, which
// operators could not tell apart.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[int]bool{}
	for _, event := range All() {
		is.New(t).True(!seen[event.Number])
		seen[event.Number] = true
	}
}

// TestCatalogueIsComplete guards against an event that is declared but missing
// from All, and so from the page. It compares the number of declarations in the
// source with the length of All.
func TestCatalogueIsComplete(t *testing.T) {
	source, err := os.ReadFile("events.go")
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(strings.Count(string(source), "= Event{"), len(All()))
}
