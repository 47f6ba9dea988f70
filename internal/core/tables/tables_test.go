package tables

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/examples"
)

const (
	validPools = `{"pools":[
 {"name":"a-v1","service":"s","kind":"model","model":"a","version":"v1","concurrency_per_upstream":4,
  "upstreams":[{"name":"u","address":"127.0.0.1:1","data_center":"d"}]},
 {"name":"a-v2","service":"s","kind":"model","model":"a","version":"v2","concurrency_per_upstream":4,
  "rollout":{"replaces":"a-v1","steps":[0.1,1],"step_min_ms":1,"step_max_ms":2},"upstreams":[]},
 {"name":"b-v1","service":"s","kind":"model","model":"b","version":"v1","concurrency_per_upstream":4,"upstreams":[]}]}`
	validRoutes = `{"routes":[{"team":"t","service":"s","class":"c","credentials_sha256":["` + hash + `"],
  "pools":["a-v1","b-v1","a-v2"],"allowance":{"concurrency":0,"requests_per_s":0,"tokens_per_s":0,"weight":0},
  "priority":0,"deadline_ms":1000,"idempotent":true}]}`
	hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)

// assertValidationError checks that validation finds an error in the row and
// field whose problem contains a text.
func assertValidationError(t *testing.T, routes, pools string, row int, field, problem string) {
	t.Helper()
	err := validateTexts(routes, pools)
	var errs ValidationErrors
	if !errors.As(err, &errs) {
		t.Fatalf("want ValidationErrors, got error %v", err)
	}
	for _, e := range errs {
		if e.Row == row && e.Field == field && strings.Contains(e.Problem, problem) {
			return
		}
	}
	t.Fatalf("no error in row %d, field %s that contains %q:\n%v", row, field, problem, errs)
}

func validateTexts(routes, pools string) error {
	routesTable, err := ParseRoutes("routes.json", []byte(routes))
	if err != nil {
		return err
	}
	poolsTable, err := ParsePools("pools.json", []byte(pools))
	if err != nil {
		return err
	}
	return Validate("routes.json", routesTable, "pools.json", poolsTable)
}

// Each error that an operator can make must be reported with its row and
// field, since an accepted table goes to the whole fleet.
func TestValidate(t *testing.T) {
	t.Run("valid tables pass", func(t *testing.T) {
		is.New(t).NoErr(validateTexts(validRoutes, validPools))
	})
	for _, c := range []struct {
		name, old, new string
		inPools        bool
		row            int
		field, problem string
	}{
		{"unknown field", `"priority":0`, `"prio":0`, false, 0, "prio", "unknown field"},
		{"wrong type", `"deadline_ms":1000`, `"deadline_ms":"1s"`, false, 0, "deadline_ms", "is a JSON string"},
		{"unknown pool", `"b-v1"`, `"c-v1"`, false, 0, "pools", `no pool is named "c-v1"`},
		{"invalid credential", hash, "secret", false, 0, "credentials_sha256", "64 lower-case hex digits"},
		{"no deadline", `"deadline_ms":1000`, `"deadline_ms":0`, false, 0, "deadline_ms", "want at least 1"},
		{"model route that is not idempotent", `"idempotent":true`, `"idempotent":false`, false, 0, "idempotent", "idempotent"},
		{"negative limit", `"weight":0`, `"weight":-1`, false, 0, "allowance", "not negative"},
		{"invalid address", "127.0.0.1:1", "localhost:1", true, 0, "upstreams.address", "not an IP number and port"},
		{"duplicate name", `"name":"b-v1"`, `"name":"a-v1"`, true, 2, "name", "stands twice"},
		{"steps that decrease", "[0.1,1]", "[0.5,0.1]", true, 1, "rollout.steps", "rising"},
		{"last step is not 1", "[0.1,1]", "[0.1,0.5]", true, 1, "rollout.steps", "the last one 1"},
		{"rollout of an unknown pool", `"replaces":"a-v1"`, `"replaces":"x"`, true, 1, "rollout.replaces", "no pool"},
		{"rollout across models", `"replaces":"a-v1"`, `"replaces":"b-v1"`, true, 1, "rollout.replaces", "another service or model"},
		{"unknown kind", `"kind":"model","model":"b"`, `"kind":"llm","model":"b"`, true, 2, "kind", "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			routes, pools := validRoutes, validPools
			if c.inPools {
				pools = strings.Replace(pools, c.old, c.new, 1)
			} else {
				routes = strings.Replace(routes, c.old, c.new, 1)
			}
			assertValidationError(t, routes, pools, c.row, c.field, c.problem)
		})
	}
}

// A credential must find its team only as a whole, and the pools of one model
// must form one stage.
func TestIndexLooksUpTeamsAndRoutes(t *testing.T) {
	is := is.New(t)
	routes, err := ParseRoutes("r", []byte(validRoutes))
	is.NoErr(err)
	pools, err := ParsePools("p", []byte(validPools))
	is.NoErr(err)
	index := NewIndex(&Config{Routes: routes.Routes, Pools: pools.Pools})
	team, ok := index.TeamByCredential("test")
	is.True(ok)
	is.Equal(team, TeamID("t"))
	_, ok = index.TeamByCredential("tests")
	is.True(!ok)
	entry := index.Route(RouteKey{"t", "s", "c"})
	is.Equal(len(entry.Stages), 2)
	is.Equal(entry.Stages[0].Model, ModelID("a"))
	is.Equal(len(entry.Stages[0].Pools), 2)
}

// A path prefix must match whole segments only, and a route must not match a
// method that it does not list. Otherwise a request is served under the wrong
// row.
func TestRouteMatchesWholeSegments(t *testing.T) {
	route := Route{Methods: []string{"POST"}, Paths: []string{"/deposits"}}
	for path, want := range map[string]bool{"/deposits": true, "/deposits/7": true, "/depositsx": false, "/": false} {
		is.New(t).Equal(route.Matches("POST", path), want)
	}
	is.New(t).True(!route.Matches("GET", "/deposits"))
}

// Equal rows must give no change, and every other row exactly one. Otherwise an
// operator who applies a table changes rows that the diff did not show.
func TestDiffPools(t *testing.T) {
	is := is.New(t)
	old := PoolsTable{Pools: []Pool{{Name: "a"}, {Name: "b"}}}
	desired := PoolsTable{Pools: []Pool{{Name: "b", Withdrawn: true}, {Name: "c"}}}
	var actions []string
	for _, change := range DiffPools(desired, old) {
		actions = append(actions, string(change.Action)+" "+change.Row)
	}
	is.Equal(actions, []string{"remove a", "change b", "add c"})
	is.Equal(len(DiffPools(old, old)), 0)
}

// A change of the validation rules must not reject the example tables.
func TestExamplesPassValidation(t *testing.T) {
	for _, user := range []string{"sauna", "dressing"} {
		is := is.New(t)
		routes, err := examples.Files.ReadFile(user + "/routes.json")
		is.NoErr(err)
		pools, err := examples.Files.ReadFile(user + "/pools.json")
		is.NoErr(err)
		is.NoErr(validateTexts(string(routes), string(pools)))
	}
}

// Tables that pass validation must give every route at least one stage, which
// callers of the index rely on.
func FuzzTables(f *testing.F) {
	f.Add(validRoutes, validPools)
	f.Add("{}", "[]")
	f.Fuzz(func(t *testing.T, routes, pools string) {
		routesTable, err := ParseRoutes("r", []byte(routes))
		if err != nil {
			return
		}
		poolsTable, err := ParsePools("p", []byte(pools))
		if err != nil || Validate("r", routesTable, "p", poolsTable) != nil {
			return
		}
		index := NewIndex(&Config{Routes: routesTable.Routes, Pools: poolsTable.Pools})
		for _, route := range routesTable.Routes {
			if entry := index.Route(RouteKey{route.Team, route.Service, route.Class}); entry == nil || len(entry.Stages) == 0 {
				t.Fatalf("valid route %v has no stage", route)
			}
		}
	})
}
