package service

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBrokenAnswersAreFailures guards against callers of the product's own interface that get a
// broken answer of an upstream as an answer, or no answer at all.
func TestBrokenAnswersAreFailures(t *testing.T) {
	t.Parallel()
	const fields, body = "X-Request-Id: ID\r\n", "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
	f := newTestFleet(t, 1)
	post := func(sent, text string) (plain, chat int) {
		for _, u := range append(f.engines, f.deskServer) {
			u.broken.Store(&sent)
		}
		return f.post(0, "/services/orders/deposits", `"`+text+`"`), f.post(0, chatPath, strings.Replace(chatBody, "wheel", text, 1))
	}
	const sound = "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body
	plain, chat := post(sound, "sound")
	is.New(t).Equal(plain, http.StatusOK)
	is.New(t).Equal(chat, http.StatusOK)
	for name, sent := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + fields + "\r\n" + body,
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + body,
		"status 999":               "HTTP/1.1 999 OK\r\n" + fields + "\r\n" + body,
		"a name with a blank":      "HTTP/1.1 200 OK\r\n" + fields + "X Field: value\r\n\r\n" + body,
		"a length with a blank":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 2\r\n\r\n" + body,
		"a folded line":            "HTTP/1.1 200 OK\r\nX-Field: value\r\n folded\r\n" + fields + "\r\n" + body,
		"a name with a control":    "HTTP/1.1 200 OK\r\n" + fields + "X\x01Field: value\r\n\r\n" + body,
		"bytes that are no answer": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain, chat := post(sent, name)
			is.Equal(plain, http.StatusBadGateway)
			is.Equal(chat, http.StatusBadGateway)
		})
	}
	t.Run("a request is not refused for them", func(*testing.T) {
		for range 12 {
			post("HTTP/1.1 000 OK\r\n"+fields+"\r\n"+body, "repeated")
		}
		f.await("the request is served", func() bool {
			plain, chat := post(sound, "repeated")
			return plain == http.StatusOK && chat == http.StatusOK
		})
	})
}
