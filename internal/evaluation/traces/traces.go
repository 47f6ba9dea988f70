// Package traces reads and writes traces for replay. A trace is a file of JSON
// lines that record the requests that arrived, the answer that each pool would
// have given, and the failures of upstreams. docs/TRACES.md describes the
// format.
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

// An Answer describes the answer that a pool would have given to a request.
type Answer struct {
	Pool tables.PoolID `json:"pool"`
	// Tokens is the length of the answer.
	Tokens tables.Tokens `json:"tokens"`
	// Confidence is the confidence in the answer that the engine reports, from
	// 0 to 1.
	Confidence float64 `json:"confidence"`
	// Score is the quality of the answer, from 0 to 1.
	Score float64 `json:"score"`
}

// An Event is one line of a trace. Its type determines which of the other
// fields are set.
type Event struct {
	Type Type `json:"type"`
	// At is the time since the start of the trace, in milliseconds. It never
	// decreases from one line to the next.
	At tables.Millis `json:"at_ms"`

	Header   *Header         `json:"header,omitempty"`
	Routes   []tables.Route  `json:"routes,omitempty"`
	Pools    []tables.Pool   `json:"pools,omitempty"`
	Arrival  *Arrival        `json:"arrival,omitempty"`
	Upstream *UpstreamChange `json:"upstream,omitempty"`
	Truth    *GroundTruth    `json:"truth,omitempty"`
}

// A Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Instances is the number of entry instances, distributed over DataCenters.
	Instances   int                   `json:"instances"`
	DataCenters []tables.DataCenterID `json:"data_centers"`
	Seed        uint64                `json:"seed"`
	// ReportLag is the age of a load report when it arrives. ReportInterval is
	// the time between two reports.
	ReportLag      tables.Millis `json:"report_lag_ms"`
	ReportInterval tables.Millis `json:"report_interval_ms"`
	// FleetLag is the time in which a change of a rollout reaches all instances,
	// and over which a new configuration reaches them one after another.
	FleetLag tables.Millis `json:"fleet_lag_ms"`
	// Engines holds the speed of each pool's upstreams.
	Engines map[tables.PoolID]EngineSpeed `json:"engines"`
}

// An EngineSpeed describes the speed of an upstream.
type EngineSpeed struct {
	// Slots is the number of calls that run concurrently.
	Slots int `json:"slots"`
	// FirstTokenMicros is the time to the first token and BetweenTokensMicros the
	// time between two tokens, both of an idle upstream and in microseconds.
	FirstTokenMicros    int64 `json:"first_token_us"`
	BetweenTokensMicros int64 `json:"between_tokens_us"`
	// SaturationSlowdown is the relative increase of both times when all slots
	// are in use.
	SaturationSlowdown float64 `json:"crowding"`
	// PrefillMicros is the processing time of a prompt token that is not cached,
	// in microseconds.
	PrefillMicros float64 `json:"prefill_us"`
}

// An Arrival is a caller's request.
type Arrival struct {
	// InstanceIndex is the index of the entry instance that receives the request.
	InstanceIndex int              `json:"instance"`
	Team          tables.TeamID    `json:"team"`
	Service       tables.ServiceID `json:"service"`
	Class         tables.ClassID   `json:"class"`
	Caller        string           `json:"caller"`
	// Session is the caller's session. It is empty for a request without one.
	Session string `json:"session,omitempty"`
	// PromptTokens is the length of the prompt.
	PromptTokens tables.Tokens `json:"prompt"`
	// PrefixHash is the hash of the prompt's first block. Zero stands for none.
	PrefixHash uint64   `json:"prefix,omitempty"`
	Answers    []Answer `json:"answers"`
	// RatingDelay is the time from the answer to its rating, in milliseconds.
	// Zero means that the answer is not rated.
	RatingDelay tables.Millis `json:"rating_delay_ms,omitempty"`
}

// A GroundTruth marks a pool's answers as bad or good from this line on.
// Routing does not use it; the replay measures the exposure to bad answers with
// it.
type GroundTruth struct {
	Pool tables.PoolID `json:"pool"`
	Bad  bool          `json:"bad"`
}

// A Type is the type of an event.
type Type string

// An UpstreamChange changes the state of an upstream.
type UpstreamChange struct {
	Name tables.UpstreamID `json:"name"`
	// Down makes all calls fail.
	Down bool `json:"down,omitempty"`
	// Slowdown multiplies all times of the upstream. Zero stands for 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// ReportsNoLoad makes the upstream report no load, whatever its load is.
	ReportsNoLoad bool `json:"lies,omitempty"`
}

// A Reader reads and validates a trace.
type Reader struct {
	scanner *bufio.Scanner
	file    string
	// line is the number of the current line, from 1.
	line int
	// lastAt is the time of the previous event.
	lastAt tables.Millis
}

// A Writer writes a trace.
type Writer struct {
	encoder *json.Encoder
}

// The types of events.
const (
	TypeHeader   Type = "header"
	TypeTables   Type = "tables"
	TypeArrival  Type = "arrival"
	TypeUpstream Type = "upstream"
	TypeTruth    Type = "truth"
)

// FormatVersion is the version of the trace format.
const FormatVersion = 1

const maxLineBytes = 4 << 20

// NewReader returns a reader of a trace. Errors name the file.
func NewReader(file string, r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	return &Reader{scanner: scanner, file: file}
}

// NewWriter returns a writer of a trace.
func NewWriter(w io.Writer) *Writer {
	return &Writer{encoder: json.NewEncoder(w)}
}

// Next returns the next event, or io.EOF at the end. Empty lines are skipped.
// Other errors name the file and the line.
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

// Write writes an event as one line.
func (w *Writer) Write(event Event) error {
	return w.encoder.Encode(event)
}

// TokenTimes returns the time to the first token and the time between two
// tokens when the given share of the slots, from 0 to 1, is in use.
func (e EngineSpeed) TokenTimes(usedShare float64) (first, between time.Duration) {
	factor := 1 + e.SaturationSlowdown*usedShare
	first = time.Duration(float64(e.FirstTokenMicros) * factor * float64(time.Microsecond))
	between = time.Duration(float64(e.BetweenTokensMicros) * factor * float64(time.Microsecond))
	return first, between
}

// validate returns what is wrong with an event, or an empty string.
func (r *Reader) validate(event Event) string {
	if event.At < r.lastAt {
		return fmt.Sprintf("at_ms is %d, before the line above with %d", event.At, r.lastAt)
	}
	if (r.line == 1) != (event.Type == TypeHeader) {
		return fmt.Sprintf(`type is %q; the first line, and no other, must have type "header"`, event.Type)
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

// errorf returns an error that starts with the file and the line.
func (r *Reader) errorf(format string, values ...any) error {
	return errors.New(fmt.Sprintf("%s: line %d: ", r.file, r.line) + fmt.Sprintf(format, values...))
}

func validateArrival(arrival *Arrival) string {
	switch {
	case arrival == nil:
		return "an arrival line needs arrival"
	case arrival.InstanceIndex < 0:
		return fmt.Sprintf("arrival.instance is %d; want at least 0", arrival.InstanceIndex)
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
	case header.Format != FormatVersion:
		return fmt.Sprintf("format is %d; this program reads %d", header.Format, FormatVersion)
	case header.Instances < 1 || len(header.DataCenters) < 1:
		return fmt.Sprintf("header has %d instances and %d data centres; want at least 1 of each", header.Instances, len(header.DataCenters))
	}
	return ""
}
