package http1_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/backend/raters"
	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/cli/commands"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/platform/directory"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/platform"
)

// taken counts what all readers read.
var taken httpserver.ReadCounter

func TestMain(m *testing.M) {
	http1.DefaultTransport.Dial = taken.DialContext
	os.Exit(m.Run())
}

// A reader is one of the places where the program reads an answer of another process.
type reader struct {
	// fields and body are those of an answer that the reader accepts.
	fields, body string
	// stopsEarly is true if the body is not read to its end, since the head or a mark within
	// the body says all.
	stopsEarly bool
	// call makes the call to an address. It returns an error unless the answer is accepted.
	call func(ctx context.Context, address string) error
}

// events is a complete stream of an engine.
const events = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"

// readers returns all readers of answers over HTTP by name.
func readers() map[string]reader {
	all := map[string]reader{
		"a load report": {"X-Load-Running: 1\r\nX-Load-Waiting-Tokens: 2\r\n", "", true, func(ctx context.Context, address string) error {
			if _, ok := (&upstreams.Client{Dial: taken.DialContext}).FetchLoad(ctx, address); !ok {
				return errors.New("no load report")
			}
			return nil
		}},
		"the answer to an order": {"", "", true, func(ctx context.Context, address string) error {
			return (&upstreams.Client{Dial: taken.DialContext}).SendOrder(ctx, address, upstreams.Order{Subject: "s"})
		}},
		"ratings": {"", `{"ratings":[],"next":1}`, false, func(ctx context.Context, address string) error {
			_, err := (&raters.Client{BaseURL: "http://" + address}).Fetch(ctx, "i")
			return err
		}},
		"the answer to answers for rating": {"", "", false, func(ctx context.Context, address string) error {
			return (&raters.Client{BaseURL: "http://" + address}).Submit(ctx, []raters.Answer{{RequestID: "r"}})
		}},
		"the list of instances": {"", `{"instances":[]}`, false, func(ctx context.Context, address string) error {
			_, err := (&directory.Client{BaseURL: "http://" + address}).List(ctx)
			return err
		}},
		"the command status": {"", "{}", false, func(_ context.Context, address string) error {
			return runCommand("status", "-instance", "http://"+address)
		}},
		"the command quarantine": {"", "[]", false, func(_ context.Context, address string) error {
			return runCommand("quarantine", "-instance", "http://"+address)
		}},
	}
	addUpstreamReaders(all)
	addObjectReaders(all)
	addStoreReaders(all)
	return all
}

// addUpstreamReaders adds the readers of answers that go on to callers.
func addUpstreamReaders(all map[string]reader) {
	all["an answer of the shared platform"] = reader{"X-Attempt-Id: r\r\n", "{}", false, func(ctx context.Context, address string) error {
		request := forward.Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body")}
		response, err := forward.New(taken.DialContext).Send(ctx, request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}}
	for name, atMostOnce := range map[string]bool{"an answer of a plain service": true, "an answer to a call that may be repeated": false} {
		all[name] = reader{"X-Request-Id: r\r\n", "{}", false, func(ctx context.Context, address string) error {
			_, err := (&upstreams.Client{Dial: taken.DialContext}).CallPlain(ctx, upstreams.PlainCall{
				Address: address, RequestID: "r", Method: http.MethodPost, Path: "/x", AtMostOnce: atMostOnce,
			})
			return err
		}}
	}
	all["an answer of an engine"] = reader{"X-Request-Id: r\r\n", events, true, func(ctx context.Context, address string) error {
		_, err := (&upstreams.Client{Dial: taken.DialContext}).StreamChat(ctx, upstreams.ChatCall{Address: address, RequestID: "r"}, upstreams.ChatCallbacks{
			OnEvent: func(upstreams.ChatEvent) error { return nil },
		})
		return err
	}}
}

// addObjectReaders adds the readers of the platform's object API.
func addObjectReaders(all map[string]reader) {
	const version, list = "ETag: \"3\"\r\n", `{"revision":3,"changes":[]}`
	for name, r := range map[string]struct {
		fields, body string
		call         func(ctx context.Context, c *objects.Client) error
	}{
		"an object": {version, "{}", func(ctx context.Context, c *objects.Client) error {
			_, err := c.Get(ctx, "k")
			return err
		}},
		"the answer to the write of an object": {version, "", func(ctx context.Context, c *objects.Client) error {
			_, err := c.Put(ctx, "k", 2, []byte("{}"))
			return err
		}},
		"the list of objects": {"", list, func(ctx context.Context, c *objects.Client) error {
			_, err := c.List(ctx, "k")
			return err
		}},
		"the watch of objects": {"", list, func(ctx context.Context, c *objects.Client) error {
			_, _, err := c.Watch(ctx, "k", 2, time.Second)
			return err
		}},
	} {
		all[name] = reader{r.fields, r.body, false, func(ctx context.Context, address string) error {
			return r.call(ctx, &objects.Client{BaseURL: "http://" + address})
		}}
	}
}

// addStoreReaders adds the readers of the shared platform's store.
func addStoreReaders(all map[string]reader) {
	for name, r := range map[string]struct {
		body string
		call func(ctx context.Context, s *platform.Store) error
	}{
		"the list of the store": {`{"items":[],"as_of":3}`, func(ctx context.Context, s *platform.Store) error {
			_, _, err := s.List(ctx, platform.KindServers)
			return err
		}},
		"the watch of the store": {`{"events":[],"as_of":3}`, func(ctx context.Context, s *platform.Store) error {
			_, _, err := s.Watch(ctx, platform.KindServers, platform.Position{Revision: 2}, time.Second)
			return err
		}},
		"the answer to a status": {"", func(ctx context.Context, s *platform.Store) error {
			return s.PutStatus(ctx, platform.KindServers, "o", platform.Position{Revision: 2}, struct{}{})
		}},
		"the answer to a new object": {"", func(ctx context.Context, s *platform.Store) error {
			return s.Create(ctx, platform.KindServers, "o")
		}},
		"the answer to a removal": {"", func(ctx context.Context, s *platform.Store) error {
			return s.Delete(ctx, platform.KindServers, "o")
		}},
	} {
		all["in the shared platform, "+name] = reader{"", r.body, false, func(ctx context.Context, address string) error {
			return r.call(ctx, &platform.Store{BaseURL: "http://" + address, HTTPClient: http1.DefaultClient})
		}}
	}
}

// runCommand runs a command of the command line.
func runCommand(args ...string) error {
	var stderr bytes.Buffer
	if commands.Main(args, io.Discard, &stderr) != commands.ExitOK {
		return errors.New(stderr.String())
	}
	return nil
}

// answer returns an answer with a length to a reader.
func (r reader) answer(statusLine, field string) string {
	return fmt.Sprintf("%s\r\n%sX-Other: other\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, r.fields, field, len(r.body), r.body)
}

// result returns the error of a call to a process that sends some bytes and closes its
// connection.
func (r reader) result(t *testing.T, sent string) error {
	t.Helper()
	server := httptest.NewServer(httpserver.CloseAfter(sent))
	defer server.Close()
	return r.call(t.Context(), server.Listener.Addr().String())
}

// assertRefused checks for each reader that it accepts a proper answer, but none with another
// status line or with a further line in its head.
func assertRefused(t *testing.T, statusLine, field string) {
	t.Helper()
	for name, r := range readers() {
		t.Run(name, func(t *testing.T) {
			if err := r.result(t, r.answer("HTTP/1.1 200 OK", "")); err != nil {
				t.Fatalf("a proper answer is refused: %v", err)
			}
			if r.result(t, r.answer(statusLine, field)) == nil {
				t.Error("a broken answer is accepted")
			}
		})
	}
}

// TestReadersRefuseInvalidStatuses guards against an answer that counts as a success, or a write
// that counts as done, by a status that HTTP does not have.
func TestReadersRefuseInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		t.Run(status, func(t *testing.T) { assertRefused(t, "HTTP/1.1 "+status+" OK", "") })
	}
}

// TestCommandsRefuseFailures guards against a failure of an instance that is printed as what the
// operator asked for.
func TestCommandsRefuseFailures(t *testing.T) {
	for _, name := range []string{"the command status", "the command quarantine"} {
		r := readers()[name]
		for status := 300; status < 600; status++ {
			if r.result(t, r.answer(fmt.Sprintf("HTTP/1.1 %d x", status), "")) == nil {
				t.Errorf("%s accepts status %d", name, status)
			}
		}
	}
}

// TestReadersRefuseInvalidFieldNames guards against an answer of which a line of the head was
// not understood, or passed on.
func TestReadersRefuseInvalidFieldNames(t *testing.T) {
	for _, field := range []string{"X Field: value", "X-Field : value", " X-Field: value", "X\x01Field: value"} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) { assertRefused(t, "HTTP/1.1 200 OK", field+"\r\n") })
	}
}

// TestReadersRefuseChunksInHTTP10 guards against bodies that hold the framing of their chunks.
func TestReadersRefuseChunksInHTTP10(t *testing.T) {
	assertRefused(t, "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n")
}

// TestReadersRefuseCutsAfterTheHead guards against an answer that counts as empty, since the other
// process closed the connection before the body.
func TestReadersRefuseCutsAfterTheHead(t *testing.T) {
	for name, r := range readers() {
		if r.body == "" {
			// The status says all.
			continue
		}
		t.Run(name, func(t *testing.T) {
			if r.result(t, "HTTP/1.1 200 OK\r\n"+r.fields+"\r\n") == nil {
				t.Error("a cut answer is accepted")
			}
		})
	}
}

// overheadBytes is more than the head of an answer, what is read ahead, and the framing of chunks
// take beside what is kept.
const overheadBytes = 1 << 20

// TestReadersBoundAnswersWithoutEnd guards against a process that keeps all of what another one
// sends without end in its memory.
func TestReadersBoundAnswersWithoutEnd(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]func(r reader) (head, piece string){
		"a status line":     func(reader) (string, string) { return "HTTP/1.1 200 ", "x" },
		"a field":           func(r reader) (string, string) { return statusLine + r.fields + "X-Field: ", "x" },
		"fields":            func(r reader) (string, string) { return statusLine + r.fields, "X-Field: value\r\n" },
		"interim answers":   func(reader) (string, string) { return "", "HTTP/1.1 100 Continue\r\n\r\n" },
		"blanks":            func(r reader) (string, string) { return statusLine + r.fields + "\r\n", " " },
		"a text":            func(r reader) (string, string) { return statusLine + r.fields + "\r\n{\"x\":\"", "x" },
		"a list":            func(r reader) (string, string) { return statusLine + r.fields + "\r\n[", "[]," },
		"a nested list":     func(r reader) (string, string) { return statusLine + r.fields + "\r\n", "[" },
		"blanks after JSON": func(r reader) (string, string) { return statusLine + r.fields + "\r\n" + r.body, " " },
		"a list in chunks": func(r reader) (string, string) {
			return statusLine + r.fields + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 0x400) + "\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			for readerName, r := range readers() {
				if readerName == "an answer of the shared platform" {
					// Its body is left to the front door.
					continue
				}
				t.Run(readerName, func(t *testing.T) {
					head, piece := answer(r)
					endless := &httpserver.Endless{Head: head, Piece: piece}
					server := httptest.NewServer(endless)
					defer server.Close()
					start, before := time.Now(), taken.Read()
					err := r.call(t.Context(), server.Listener.Addr().String())
					if read := taken.Read() - before; read > http1.MaxBodyBytes+overheadBytes {
						t.Errorf("%d bytes were taken in %s", read, time.Since(start))
					}
					if err == nil && !r.stopsEarly {
						t.Error("the answer is accepted")
					}
				})
			}
		})
	}
}

// TestReadersRefuseCutBodies guards against an answer that counts though its end is missing.
func TestReadersRefuseCutBodies(t *testing.T) {
	for name, r := range readers() {
		if r.stopsEarly {
			continue
		}
		for framing, sent := range map[string]string{
			"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body)+1, r.body),
			"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s ", len(r.body)+2, r.body),
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				if r.result(t, "HTTP/1.1 200 OK\r\n"+r.fields+sent) == nil {
					t.Error("a cut answer is accepted")
				}
			})
		}
	}
}

// TestUploadsAreNotAnsweredByResets guards against a write that counts as done since the other
// process answered its beginning, and reset the connection while the rest was sent.
func TestUploadsAreNotAnsweredByResets(t *testing.T) {
	text := strings.Repeat("x", 16<<10+rand.IntN(objects.MaxValueBytes/2))
	client := &http.Client{Transport: &http1.Transport{Dial: httpserver.DialWriteFirst}}
	for name, write := range map[string]func(ctx context.Context, url string) error{
		"answers for rating": func(ctx context.Context, url string) error {
			return (&raters.Client{BaseURL: url, HTTPClient: client}).Submit(ctx, []raters.Answer{{Text: text}})
		},
		"an object": func(ctx context.Context, url string) error {
			_, err := (&objects.Client{BaseURL: url, HTTPClient: client}).Put(ctx, "k", 2, []byte(text))
			return err
		},
		"a status": func(ctx context.Context, url string) error {
			return (&platform.Store{BaseURL: url, HTTPClient: client}).PutStatus(ctx, platform.KindServers, "o", platform.Position{Revision: 2}, text)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(httpserver.ResetAfter("HTTP/1.1 200 OK\r\nETag: \"3\"\r\n\r\n{}"))
			defer server.Close()
			if write(t.Context(), server.URL) == nil {
				t.Errorf("the write of %d bytes counts as done", len(text))
			}
		})
	}
}
