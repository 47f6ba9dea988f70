package http1

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"mimosayard/internal/net/budget"
)

// MaxBodyBytes bounds the body of an answer that is read into memory.
const MaxBodyBytes = 16 << 20

// bodies returns the budget of all bodies that are being read.
var bodies = sync.OnceValue(func() *budget.Budget { return budget.New(budget.PlatformBytes()) })

// ReadBody reads the body of an answer to its end. The error is an http.MaxBytesError if it does
// not come within a number of bytes, and budget.ErrShort if the bodies that are being read leave
// no room for it.
func ReadBody(response *http.Response, maxBytes int64) ([]byte, error) {
	var claim budget.Claim
	claim.Init(bodies(), budget.PlatformFloor)
	defer claim.Release()
	data, err := claim.Read(http.MaxBytesReader(nil, response.Body, maxBytes), response.ContentLength)
	return data, trace.Wrap(err)
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
