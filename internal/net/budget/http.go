package budget

import (
	"net/http"
	"time"
)

const (
	// BodyPatience and answerPatience are how long a caller may send a body or take an answer by
	// less than progressStep while others need its room. An answer has more, since its
	// request has run.
	BodyPatience   = 500 * time.Millisecond
	answerPatience = 2 * time.Second
	// writePiece is the part of an answer after which its progress is counted.
	writePiece = 32 << 10
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// ReadBody reads the body of a request of at most limit bytes. While it is read it may lose its
// place, unless it is within the claim's floor; then ReadBody returns ErrEvicted.
func (c *Claim) ReadBody(w http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	if length := request.ContentLength; length < 0 || length > c.floor {
		controller := http.NewResponseController(w)
		c.Watch(time.Now(), BodyPatience, func() { _ = controller.SetReadDeadline(past) })
	}
	body, err := c.Read(http.MaxBytesReader(w, request.Body, limit), request.ContentLength)
	if evicted := c.Keep(); evicted != nil {
		return nil, evicted
	}
	return body, err
}

// WriteAnswer writes a part of an answer that the claim counts. If the budget is short, a large
// answer that the caller does not take is cut off.
func (c *Claim) WriteAnswer(w http.ResponseWriter, data []byte) error {
	if len(data) <= writePiece {
		_, err := w.Write(data)
		return err
	}
	controller := http.NewResponseController(w)
	c.Watch(time.Now(), answerPatience, func() { _ = controller.SetWriteDeadline(past) })
	for len(data) > 0 {
		piece := data[:min(len(data), writePiece)]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		c.Progress(len(piece))
		data = data[len(piece):]
	}
	return c.Keep()
}
