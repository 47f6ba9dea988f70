package upstreams

import (
	"bufio"
	"errors"
	"io"
)

// lineReader reads the lines of a stream.
type lineReader struct {
	reader *bufio.Reader
	claim  func(n int64) error
	// long holds a line that does not fit into the reader's buffer. Its capacity is claimed.
	long []byte
	// sinceEvent is the size of the lines since the last event, with the line that is being
	// read, at most maxEventBytes. The caller of next sets it to zero after an event.
	sinceEvent int
}

// next returns the next line, which is valid until the following call. The error is a
// streamError, or that of claim. A stream that ends has lost its end marker.
func (r *lineReader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		if r.sinceEvent += len(part); r.sinceEvent > maxEventBytes {
			return nil, streamError{errEventTooLarge}
		}
		if err == nil && len(r.long) == 0 {
			return part, nil
		}
		if err := r.keep(part); err != nil {
			return nil, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case len(r.long) > 0:
			// The next call returns the error, if there is one.
			return r.long, nil
		case errors.Is(err, io.EOF):
			return nil, streamError{io.ErrUnexpectedEOF}
		default:
			return nil, streamError{err}
		}
	}
}

// keep appends a part of a line to the long one. If that is moved, both places count meanwhile.
func (r *lineReader) keep(part []byte) error {
	if needed := len(r.long) + len(part); needed > cap(r.long) {
		larger := max(needed, 2*cap(r.long))
		if err := r.claim(int64(larger)); err != nil {
			return err
		}
		former := cap(r.long)
		r.long = append(make([]byte, 0, larger), r.long...)
		_ = r.claim(-int64(former))
	}
	r.long = append(r.long, part...)
	return nil
}
