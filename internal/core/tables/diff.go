package tables

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// A Change is one row that differs between the desired and the actual table.
type Change struct {
	// Table is "pools" or "routes".
	Table string `json:"table"`
	// Row is the name of a pool, or team/service/class of a route.
	Row    string `json:"row"`
	Action Action `json:"action"`
	// Before and After are the row as JSON, empty where it does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// An Action is what a Change does to a row.
type Action string

// The actions on a row.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// DiffPools returns the changes that turn the actual into the desired table,
// sorted by row.
func DiffPools(desired, actual PoolsTable) []Change {
	return diffRows("pools", encodeRows(desired.Pools, poolRowName), encodeRows(actual.Pools, poolRowName))
}

// DiffRoutes returns the changes that turn the actual into the desired table,
// sorted by row.
func DiffRoutes(desired, actual RoutesTable) []Change {
	return diffRows("routes", encodeRows(desired.Routes, routeRowName), encodeRows(actual.Routes, routeRowName))
}

// String returns the change as a line marked with +, ~ or - for the action,
// followed by the JSON of the row before and after.
func (c Change) String() string {
	mark := map[Action]string{ActionAdd: "+", ActionChange: "~", ActionRemove: "-"}[c.Action]
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", mark, c.Table, c.Row)
	if c.Before != "" {
		fmt.Fprintf(&text, "\n    - %s", c.Before)
	}
	if c.After != "" {
		fmt.Fprintf(&text, "\n    + %s", c.After)
	}
	return text.String()
}

func diffRows(table string, desired, actual map[string]string) []Change {
	var changes []Change
	for row, after := range desired {
		before, ok := actual[row]
		switch {
		case !ok:
			changes = append(changes, Change{Table: table, Row: row, Action: ActionAdd, After: after})
		case before != after:
			changes = append(changes, Change{Table: table, Row: row, Action: ActionChange, Before: before, After: after})
		}
	}
	for row, before := range actual {
		if _, ok := desired[row]; !ok {
			changes = append(changes, Change{Table: table, Row: row, Action: ActionRemove, Before: before})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Row, b.Row) })
	return changes
}

func poolRowName(p Pool) string {
	return string(p.Name)
}

func routeRowName(r Route) string {
	return fmt.Sprintf("%s/%s/%s", r.Team, r.Service, r.Class)
}

// encodeRows returns the JSON of each row by its name.
func encodeRows[R any](rows []R, name func(R) string) map[string]string {
	texts := make(map[string]string, len(rows))
	for _, row := range rows {
		text, err := json.Marshal(row)
		if err != nil {
			text = []byte(err.Error())
		}
		texts[name(row)] = string(text)
	}
	return texts
}
