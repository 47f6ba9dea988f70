package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/examples"
	"mimosayard/internal/core/tables"
)

// validSettings has the required fields only.
const validSettings = `{"instance":"i","data_center":"d","callers_address":"127.0.0.1:1","operators_address":"127.0.0.1:2",
 "peers_address":"127.0.0.1:3","platform_url":"http://127.0.0.1:4"}`

// TestParse guards against a mistake in a settings file that is accepted, or
// reported without the field that is wrong.
func TestParse(t *testing.T) {
	t.Run("valid settings get defaults", func(t *testing.T) {
		is := is.New(t)
		s, err := Parse("f", []byte(validSettings))
		is.NoErr(err)
		is.Equal(s.DrainTimeout, defaultDrain)
		is.Equal(s.LogLevel, "info")
	})
	for _, c := range []struct{ name, old, new, problem string }{
		{"unknown field", `"instance"`, `"instanze"`, "f: instanze: unknown field"},
		{"missing instance name", `"instance":"i"`, `"instance":""`, "f: instance: is missing"},
		{"host name in place of an IP address", "127.0.0.1:3", "peer:3", "f: peers_address: \"peer:3\" is not an IP number"},
		{"no scheme", "http://127.0.0.1:4", "127.0.0.1:4", "f: platform_url"},
		{"negative duration", `{"instance"`, `{"drain_ms":-1,"instance"`, "f: drain_ms: is -1"},
		{"duration with a unit", `{"instance"`, `{"drain_ms":"2s","instance"`, "drain_ms"},
		{"short peer key", `{"instance"`, `{"peer_key":"YQ==","instance"`, "f: peer_key: has 1 bytes"},
		{"data after the JSON value", `:4"}`, `:4"} {}`, "one JSON value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.problem) {
				t.Fatalf("error is %v, want %q", err, c.problem)
			}
		})
	}
}

// TestExamplesAreValid guards against example settings that no longer pass the
// validation after it was changed.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, example := range []string{"sauna", "dressing"} {
		data, err := examples.Files.ReadFile(example + "/settings.json")
		is.NoErr(err)
		s, err := Parse(example, data)
		is.NoErr(err)
		is.True(s.DataCenter != tables.DataCenterID(""))
	}
}
