// Package traces reads and writes recorded traces: JSON lines that say what
// arrived, what each version would have answered, and what failed. The format
// is described in docs/TRACES.md.
package traces

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/goccy/go-json"

	"mimosayard/internal/core/tables"
)

// An Answer is what a pool would have answered to a request.
type Answer struct {
	Pool   tables.PoolID `json:"pool"`
	Tokens tables.Tokens `json:"tokens"`
	// Confidence is what the engine shows of how sure it is, from 0 to 1.
	Confidence float64 `json:"confidence"`
	// Score is how good the answer would have been, from 0 to 1.
	Score float64 `json:"score"`
}

// An Event is one line of a trace. The fields that matter depend on the type.
type Event struct {
	Type Type `json:"type"`
	// At is the time since the start of the trace, in milliseconds. It does
	// not fall from line to line.
	At tables.Millis `json:"at_ms"`

	Header   *Header        `json:"header,omitempty"`
	Routes   []tables.Route `json:"routes,omitempty"`
	Pools    []tables.Pool  `json:"pools,omitempty"`
	Arrival  *Arrival       `json:"arrival,omitempty"`
	Upstream *Upstream      `json:"upstream,omitempty"`
	Truth    *Truth         `json:"truth,omitempty"`
}

// A Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Instances is the number of entry instances, spread over DataCenters.
	Instances   int                   `json:"instances"`
	DataCenters []tables.DataCenterID `json:"data_centers"`
	Seed        uint64                `json:"seed"`
	// ReportLag is the age of load reports when they arrive, ReportInterval
	// the time between two.
	ReportLag      tables.Millis `json:"report_lag_ms"`
	ReportInterval tables.Millis `json:"report_interval_ms"`
	// FleetLag is the age of the fleet's sums when an instance uses them.
	FleetLag tables.Millis `json:"fleet_lag_ms"`
	// Engines gives the speed of each pool's upstreams.
	Engines map[tables.PoolID]Engine `json:"engines"`
}

// An Engine is the speed of an upstream.
type Engine struct {
	// Slots is the number of calls that run at once.
	Slots int `json:"slots"`
	// FirstToken and BetweenTokens are the times of an idle upstream, in
	// microseconds.
	FirstToken    int64 `json:"first_token_us"`
	BetweenTokens int64 `json:"between_tokens_us"`
	// Crowding is the relative rise of both when all slots are in use.
	Crowding float64 `json:"crowding"`
	// Prefill is the time for a prompt token that is not cached, in
	// microseconds.
	Prefill float64 `json:"prefill_us"`
}

// An Arrival is a caller's request.
type Arrival struct {
	// Instance is the index of the entry instance that it comes to.
	Instance int              `json:"instance"`
	Team     tables.TeamID    `json:"team"`
	Service  tables.ServiceID `json:"service"`
	Class    tables.ClassID   `json:"class"`
	Caller   string           `json:"caller"`
	// Session is the caller's session, empty for none.
	Session string        `json:"session,omitempty"`
	Prompt  tables.Tokens `json:"prompt"`
	// Prefix is the hash of the prompt's first block, zero for none.
	Prefix  uint64   `json:"prefix,omitempty"`
	Answers []Answer `json:"answers"`
	// RatingDelay is the time from the answer to its rating, zero if it gets
	// none.
	RatingDelay tables.Millis `json:"rating_delay_ms,omitempty"`
}

// A Truth says that a pool's answers are bad from now on, or good again. The
// decisions do not see it; it serves to measure exposure.
type Truth struct {
	Pool tables.PoolID `json:"pool"`
	Bad  bool          `json:"bad"`
}

// A Type is the type of a line.
type Type string

// An Upstream is a change of an upstream.
type Upstream struct {
	Name tables.UpstreamID `json:"name"`
	// Down upstreams fail all calls.
	Down bool `json:"down,omitempty"`
	// Slowdown multiplies all times. Zero counts as one.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Lies says that load reports claim no load.
	Lies bool `json:"lies,omitempty"`
}

// A Reader reads a trace.
type Reader struct {
	scanner *bufio.Scanner
	file    string
	line    int
	lastAt  tables.Millis
}

// A Writer writes a trace.
type Writer struct {
	encoder *json.Encoder
}

// The types of lines.
const (
	TypeHeader   Type = "header"
	TypeTables   Type = "tables"
	TypeArrival  Type = "arrival"
	TypeUpstream Type = "upstream"
	TypeTruth    Type = "truth"
)

// Format is the version of the format.
const Format = 1

const maxLineBytes = 4 << 20

// NewReader returns a reader. The file is named in errors.
func NewReader(file string, r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	return &Reader{scanner: scanner, file: file}
}

// NewWriter returns a writer.
func NewWriter(w io.Writer) *Writer {
	return &Writer{encoder: json.NewEncoder(w)}
}

// Next returns the next line, or io.EOF at the end. Other errors name the file
// and the line.
func (r *Reader) Next() (Event, error) {
	for r.scanner.Scan() {
		r.line++
		if len(r.scanner.Bytes()) == 0 {
			continue
		}
		var event Event
		if err := json.Unmarshal(r.scanner.Bytes(), &event); err != nil {
			return event, r.errorf("%v", err)
		}
		if problem := r.validate(event); problem != "" {
			return event, r.errorf("%s", problem)
		}
		r.lastAt = event.At
		return event, nil
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, r.errorf("%v", err)
	}
	if r.line == 0 {
		return Event{}, r.errorf("the trace is empty")
	}
	return Event{}, io.EOF
}

// Write writes a line.
func (w *Writer) Write(event Event) error {
	return w.encoder.Encode(event)
}

// Times returns the engine's times for a first token and between two tokens,
// when a part of the slots is in use.
func (e Engine) Times(usedShare float64) (first, between time.Duration) {
	factor := 1 + e.Crowding*usedShare
	first = time.Duration(float64(e.FirstToken) * factor * float64(time.Microsecond))
	between = time.Duration(float64(e.BetweenTokens) * factor * float64(time.Microsecond))
	return first, between
}

func (r *Reader) validate(event Event) string {
	if event.At < r.lastAt {
		return fmt.Sprintf("at_ms is %d, before the line above with %d", event.At, r.lastAt)
	}
	if (r.line == 1) != (event.Type == TypeHeader) {
		return "the header is the first line and no other"
	}
	switch event.Type {
	case TypeHeader:
		return validateHeader(event.Header)
	case TypeTables:
		if event.Routes == nil || event.Pools == nil {
			return "a tables line needs routes and pools"
		}
		if err := tables.Validate("routes", tables.RoutesTable{Routes: event.Routes}, "pools", tables.PoolsTable{Pools: event.Pools}); err != nil {
			return err.Error()
		}
	case TypeArrival:
		return validateArrival(event.Arrival)
	case TypeUpstream:
		if event.Upstream == nil || event.Upstream.Name == "" {
			return "an upstream line needs upstream with a name"
		}
	case TypeTruth:
		if event.Truth == nil || event.Truth.Pool == "" {
			return "a truth line needs truth with a pool"
		}
	default:
		return fmt.Sprintf("type %q is unknown", event.Type)
	}
	return ""
}

func (r *Reader) errorf(format string, values ...any) error {
	return errors.New(fmt.Sprintf("%s: line %d: ", r.file, r.line) + fmt.Sprintf(format, values...))
}

func validateArrival(arrival *Arrival) string {
	switch {
	case arrival == nil:
		return "an arrival line needs arrival"
	case arrival.Instance < 0:
		return "arrival.instance is negative"
	case len(arrival.Answers) == 0:
		return "arrival.answers is empty"
	}
	for _, answer := range arrival.Answers {
		if answer.Score < 0 || answer.Score > 1 || answer.Confidence < 0 || answer.Confidence > 1 || answer.Tokens < 0 {
			return fmt.Sprintf("the answer of %q has a score or confidence outside 0 to 1, or negative tokens", answer.Pool)
		}
	}
	return ""
}

func validateHeader(header *Header) string {
	switch {
	case header == nil:
		return "a header line needs header"
	case header.Format != Format:
		return fmt.Sprintf("format is %d; this program reads %d", header.Format, Format)
	case header.Instances < 1 || len(header.DataCenters) < 1:
		return "header needs at least one instance and data centre"
	}
	return ""
}
