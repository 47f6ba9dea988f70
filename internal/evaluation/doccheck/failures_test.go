package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestFailuresPageNamesExistingTests guards against docs/FAILURES.md naming a
// test that does not exist, as happens when a test is renamed or removed.
func TestFailuresPageNamesExistingTests(t *testing.T) {
	content, err := os.ReadFile("../../../docs/FAILURES.md")
	if err != nil {
		t.Fatal(err)
	}
	matches := regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(content), -1)
	if len(matches) == 0 {
		t.Fatal("docs/FAILURES.md names no test")
	}
	declared := declaredTests(t)
	for _, match := range matches {
		if !declared[match[1]] {
			t.Errorf("docs/FAILURES.md names %s, which does not exist", match[1])
		}
	}
}

// declaredTests returns the names of all test functions in the module.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	pattern := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
			declared[match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}
