package tables

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// A ValidationError is one error in a table.
type ValidationError struct {
	File string `json:"file"`
	// Row is the index of the row, from 0. It is negative for an error that
	// concerns the whole file.
	Row   int    `json:"row"`
	Field string `json:"field"`
	// Problem describes what is wrong and what is expected.
	Problem string `json:"problem"`
}

// ValidationErrors is a list of errors in tables. It implements error.
type ValidationErrors []ValidationError

// PoolsTable is the pools table as operators write it.
type PoolsTable struct {
	Pools []Pool `json:"pools"`
}

// RoutesTable is the routes table as operators write it.
type RoutesTable struct {
	Routes []Route `json:"routes"`
}

// ParsePools parses a pools table and rejects unknown fields. The file name is
// used in errors only. The error is of type ValidationErrors.
func ParsePools(file string, data []byte) (PoolsTable, error) {
	rows, err := parseRows[Pool](file, "pools", data)
	return PoolsTable{Pools: rows}, err
}

// ParseRoutes parses a routes table and rejects unknown fields. The file name is
// used in errors only. The error is of type ValidationErrors.
func ParseRoutes(file string, data []byte) (RoutesTable, error) {
	rows, err := parseRows[Route](file, "routes", data)
	return RoutesTable{Routes: rows}, err
}

// DecodeStrict decodes one JSON value into target. It returns an error for
// unknown fields and for data after the value.
func DecodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return trace.Wrap(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("one JSON value expected, found more behind it")
	}
	return nil
}

// Error returns the errors, one a line.
func (v ValidationErrors) Error() string {
	lines := make([]string, 0, len(v))
	for _, e := range v {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the error on one line, with the row counted from 1.
func (v ValidationError) String() string {
	if v.Row < 0 {
		return fmt.Sprintf("%s: %s: %s", v.File, v.Field, v.Problem)
	}
	return fmt.Sprintf("%s: row %d: %s: %s", v.File, v.Row+1, v.Field, v.Problem)
}

// decodeProblem returns the field that a decoding error concerns and a
// description for operators. The description contains the name of the field's
// Go type, so a rename of such a type changes it.
func decodeProblem(err error) (field, problem string) {
	err = trace.Unwrap(err)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return typeError.Field, fmt.Sprintf("is a JSON %s, want %s", typeError.Value, typeError.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return strings.Trim(name, `"`), "unknown field; see docs/TABLES.md for the fields of a row"
	}
	return "json", err.Error()
}

// parseRows parses a file that holds one field with the given name, a list of
// rows. It reports the errors of all rows.
func parseRows[R any](file, name string, data []byte) ([]R, error) {
	var table map[string]json.RawMessage
	if err := DecodeStrict(data, &table); err != nil {
		_, problem := decodeProblem(err)
		return nil, ValidationErrors{{File: file, Row: -1, Field: "json", Problem: problem}}
	}
	for key := range table {
		if key != name {
			problem := fmt.Sprintf("unknown field; the file holds one field, %q", name)
			return nil, ValidationErrors{{File: file, Row: -1, Field: key, Problem: problem}}
		}
	}
	var rawRows []json.RawMessage
	if err := json.Unmarshal(table[name], &rawRows); err != nil {
		return nil, ValidationErrors{{File: file, Row: -1, Field: name, Problem: "want a list of rows"}}
	}
	rows := make([]R, len(rawRows))
	var errs ValidationErrors
	for i, raw := range rawRows {
		if err := DecodeStrict(raw, &rows[i]); err != nil {
			field, problem := decodeProblem(err)
			errs = append(errs, ValidationError{File: file, Row: i, Field: field, Problem: problem})
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return rows, nil
}
