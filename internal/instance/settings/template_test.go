package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([\w.]+)(?:\|json)?\}\}`)
)

// fillTemplate fills in the settings as the platform does, with bounds that not all platforms
// have.
func fillTemplate(t *testing.T, optional map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../../deploy/settings.json.tmpl")
	is.New(t).NoErr(err)
	values := map[string]string{
		"node_name": `"i"`, "zone": `"d"`, "ip": "127.0.0.1", "seeds": `[]`, "platform.address": `"127.0.0.1:9"`,
		"listen.frontend": `"127.0.0.1:1"`, "listen.control_plane": `"127.0.0.1:2"`, "listen.ready": `"127.0.0.1:3"`,
		"limits.memory_mb": "184", "bounds.grace_s": "8", "bounds.drain_ms": "2000", "bounds.session_s": "5",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "20", "bounds.budget_window_s": "10",
		"bounds.exposure_share": "0.1", "bounds.exposure_slack": "0",
	}
	filled := templateSection.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		value, ok := optional[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{"+parts[1]+"|json}}", value)
	})
	return templateValue.ReplaceAllStringFunc(filled, func(placeholder string) string {
		return values[templateValue.FindStringSubmatch(placeholder)[1]]
	})
}

// TestTemplateIsValid guards against settings of the platform that cannot be read, with and without
// the bounds that only some platforms have, and against wrong values of these bounds.
func TestTemplateIsValid(t *testing.T) {
	is := is.New(t)
	bounds := map[string]string{"bounds.cold_overshoot": "1.5", "bounds.cold_allowance": "5", "bounds.evacuate_ms": "5000"}
	s, err := Parse("f", []byte(fillTemplate(t, bounds)))
	is.NoErr(err)
	is.Equal(s.Shared.ColdOvershoot, 1.5)
	is.Equal(s.Shared.ColdAllowance, 5.0)
	is.Equal(s.Shared.EvacuationTime(), 5*time.Second)
	s, err = Parse("f", []byte(fillTemplate(t, nil)))
	is.NoErr(err)
	is.Equal(s.Shared.ColdOvershoot, 0.0)
	is.Equal(s.Shared.EvacuationTime(), time.Duration(0))
	_, err = Parse("f", []byte(fillTemplate(t, map[string]string{"bounds.evacuate_ms": "5000"})))
	is.NoErr(err)
	for name, value := range map[string]string{"bounds.cold_overshoot": "-1", "bounds.cold_allowance": "5", "bounds.evacuate_ms": "-1"} {
		_, err = Parse("f", []byte(fillTemplate(t, map[string]string{name: value})))
		is.True(err != nil && strings.Contains(err.Error(), strings.TrimPrefix(name, "bounds.")))
	}
}
