package http1

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// MaxBodyBytes bounds the body of an answer that is read into memory.
const MaxBodyBytes = 16 << 20

// ErrTooLarge is returned for an answer whose body is larger than its bound.
var ErrTooLarge = errors.New("the body of the answer is too large")

// ReadBody reads the body of an answer to its end, which must come within a number of bytes.
func ReadBody(response *http.Response, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(data)) > maxBytes {
		return nil, trace.Wrap(ErrTooLarge)
	}
	return data, nil
}

// DecodeJSON reads the body of an answer to its end, within MaxBodyBytes, and decodes its JSON
// into a value.
func DecodeJSON(response *http.Response, value any) error {
	data, err := ReadBody(response, MaxBodyBytes)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(data, value))
}

// RequireBody makes the body of a successful answer incomplete if it is empty, unless the
// answer is framed or has no body by its nature. The other process has then closed the connection
// right after the head, and an answer that is meant to be empty has a length.
func RequireBody(response *http.Response) {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed && response.Body != http.NoBody && response.StatusCode < http.StatusMultipleChoices {
		response.Body = &requiredBody{ReadCloser: response.Body}
	}
}

// requiredBody is a body that must not be empty.
type requiredBody struct {
	io.ReadCloser
	started bool
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the body is empty.
func (b *requiredBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.started = b.started || count > 0
	if errors.Is(err, io.EOF) && !b.started {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}
