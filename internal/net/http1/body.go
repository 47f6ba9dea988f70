package http1

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// MaxBodyBytes bounds the body of an answer that is read into memory. It is more than the
// largest list of the largest fleet.
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
