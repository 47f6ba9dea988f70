package budget

import (
	"errors"
	"io"
)

// firstBuffer is the size of the first buffer of a body whose length is not known.
const firstBuffer = 512

// errTooLong is returned for a body that goes on beyond its announced length.
var errTooLong = errors.New("the body is longer than announced")

// Read reads a body to its end into a buffer whose capacity the claim counts. The buffer
// grows with the bytes that have arrived, up to the announced length, which is -1 if it
// is not known. Beyond the claim's floor, nothing is allocated by announcement.
func (c *Claim) Read(body io.Reader, length int64) ([]byte, error) {
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(length, max(c.floor, firstBuffer))
	}
	if err := c.Grow(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) && int64(len(buffer)) == length {
			return buffer, awaitEnd(body)
		}
		if len(buffer) == cap(buffer) {
			larger, err := c.enlarge(buffer, length)
			if err != nil {
				return nil, err
			}
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		c.Progress(n)
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// awaitEnd returns nil at the end of a body of which all announced bytes were read, so that
// its buffer need not grow.
func awaitEnd(body io.Reader) error {
	var end [1]byte
	for {
		switch n, err := body.Read(end[:]); {
		case n > 0:
			return errTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// enlarge returns a larger buffer with the same content. Both buffers count while they
// exist.
func (c *Claim) enlarge(buffer []byte, length int64) ([]byte, error) {
	size := max(firstBuffer, 2*int64(cap(buffer)))
	if length > int64(cap(buffer)) {
		size = min(size, length)
	}
	if err := c.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	return larger, c.Grow(-int64(cap(buffer)))
}
