package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// headChecker checks the lines of the head of an answer, and of the interim answers before it,
// as they are received. Its zero value expects the status line.
type headChecker struct {
	// line is the part of the current line that was received.
	line []byte
	// size is the number of bytes received of all heads, at most MaxHeadBytes.
	size int
	// inFields is true between the status line and the end of a head, and interim in the
	// head of an interim answer.
	inFields, interim bool
	// http10 is true after the status line of an answer in HTTP/1.0.
	http10 bool
	// complete is true after the empty line that ends the head.
	complete bool
}

// check checks the next bytes. What follows the head is not checked. If a line is malformed,
// check returns the number of bytes before the end of that line.
func (h *headChecker) check(data []byte) (passed int, err error) {
	for passed < len(data) && !h.complete {
		part, _, whole := bytes.Cut(data[passed:], []byte("\n"))
		if h.size += len(part); whole {
			h.size++
		}
		if h.size > MaxHeadBytes {
			return passed, fmt.Errorf("%w: it exceeds %d bytes", ErrMalformed, MaxHeadBytes)
		}
		h.line = append(h.line, part...)
		passed += len(part)
		if !whole {
			break
		}
		if err := h.checkLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return passed, err
		}
		h.line = h.line[:0]
		passed++
	}
	return passed, nil
}

func (h *headChecker) checkLine(line []byte) error {
	switch {
	case !h.inFields:
		status, err := parseStatus(line)
		if err != nil {
			return err
		}
		h.inFields, h.interim, h.http10 = true, status < http.StatusOK, bytes.HasPrefix(line, []byte("HTTP/1.0"))
	case len(line) == 0:
		h.inFields, h.complete = false, !h.interim
	default:
		return h.checkField(line)
	}
	return nil
}

// checkField returns an error unless the line is a field (RFC 9112, section 5). That includes
// lines that begin with a blank, which net/http appends to the line before. HTTP/1.0 has no
// transfer codings, and net/http would take chunks for the body (section 6.1).
func (h *headChecker) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("%w: invalid field name", ErrMalformed)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return fmt.Errorf("%w: invalid value of the field %q", ErrMalformed, name)
	}
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	}
	return nil
}

// statusLine matches a status line in any version 1 of HTTP, with or without a reason.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})(?: |$)`)

// parseStatus returns the status code of a status line (RFC 9112, section 4). Codes outside of
// 100 to 599 are invalid, and 101 answers no request of this program.
func parseStatus(line []byte) (int, error) {
	parts := statusLine.FindSubmatch(line)
	if parts == nil {
		return 0, fmt.Errorf("%w: invalid status line", ErrMalformed)
	}
	status, _ := strconv.Atoi(string(parts[1]))
	if status < http.StatusContinue || status > 599 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("%w: invalid status %d", ErrMalformed, status)
	}
	return status, nil
}
