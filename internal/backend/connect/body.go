package connect

import (
	"errors"
	"io"
	"net/http"
)

// RequireBody makes the body of a successful answer incomplete if it is empty, unless the
// answer is framed or has no body by its nature. The upstream has then closed the connection
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
