package http1

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// tokenBytes are the bytes of which names of fields consist (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// checkInPieces checks a head that arrives in drawn pieces, and reports whether it is complete and
// well-formed.
func checkInPieces(t *rapid.T, head string) bool {
	checker := &headChecker{}
	for len(head) > 0 {
		size := rapid.IntRange(1, len(head)).Draw(t, "size")
		if _, err := checker.check([]byte(head[:size])); err != nil {
			return false
		}
		head = head[size:]
	}
	return checker.complete
}

func drawToken(t *rapid.T, label string) string {
	return rapid.StringOfN(rapid.RuneFrom([]rune(tokenBytes)), 1, 40, -1).Draw(t, label)
}

// TestDrawnStatuses guards against a status line that is refused though HTTP has its status, or
// accepted though it has not.
func TestDrawnStatuses(t *testing.T) {
	for code := range 1000 {
		status, err := parseStatus(fmt.Appendf(nil, "HTTP/1.1 %03d", code))
		isValid := code >= 100 && code <= 599 && code != 101
		if (err == nil) != isValid || isValid && status != code {
			t.Errorf("status %d, error %v for %03d", status, err, code)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		line := []byte("HTTP/1.1 200 OK")
		position := rapid.IntRange(0, len("HTTP/1.1 200")).Draw(t, "position")
		line[position] = rapid.Byte().Draw(t, "byte")
		status, err := parseStatus(line)
		minor := line[len("HTTP/1.")] - '0'
		if err == nil && (minor > 9 || !strings.HasPrefix(string(line), fmt.Sprintf("HTTP/1.%d %d ", minor, status))) {
			t.Errorf("%q is accepted", line)
		}
	})
}

// TestDrawnFields guards against a field that is accepted though a byte of its name, anywhere in
// it, is none of a token, and against proper fields that are refused.
func TestDrawnFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before, after strings.Builder
		for _, fields := range []*strings.Builder{&before, &after} {
			for range rapid.IntRange(0, 20).Draw(t, "fields") {
				fmt.Fprintf(fields, "%s: %s\r\n", drawToken(t, "name"), drawToken(t, "value"))
			}
		}
		const statusLine = "HTTP/1.1 200 OK\r\n"
		name := drawToken(t, "name")
		if !checkInPieces(t, statusLine+before.String()+name+": value\r\n"+after.String()+"\r\n") {
			t.Fatalf("%q is refused", name)
		}
		odd := rapid.ByteRange(0, 255).Filter(func(b byte) bool { return !strings.ContainsRune(tokenBytes, rune(b)) && b != ':' && b != '\n' }).Draw(t, "odd")
		position := rapid.IntRange(0, len(name)).Draw(t, "position")
		line := name[:position] + string([]byte{odd}) + name[position:] + ": value\r\n"
		if checkInPieces(t, statusLine+before.String()+line+after.String()+"\r\n") {
			t.Fatalf("%q is accepted", line)
		}
	})
}
