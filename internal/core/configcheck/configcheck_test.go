package configcheck_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/configcheck"
	"mimosayard/internal/core/tables"
)

var accepted = configcheck.Accepted{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Minute}

// newConfig returns a configuration without findings.
func newConfig() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 7,
		Routes: []catalog.Route{
			{
				Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 3,
				Timeout: 10 * time.Second, LatencyTarget: 2 * time.Second, GapTarget: time.Second,
				Models: []tables.ModelID{"m0", "m1"}, Split: []catalog.Share{{Service: "engines", Weight: 9}, {Service: "spare", Weight: 1}},
			},
			{
				Name: "pay", Host: "a.example", PathPrefix: "/pay/", Kind: catalog.Unsafe, MaxAttempts: 1, Timeout: time.Second,
				Split: []catalog.Share{{Service: "plain", Weight: 1}},
			},
		},
		Services: []catalog.Service{
			{Name: "engines", ColdStart: 3 * time.Second, ColdRate: 11, Engine: newEngine()},
			{Name: "spare", Engine: newEngine()},
			{Name: "plain", MaxConnections: 310},
		},
		Teams:  []catalog.Team{{Name: "t1", Credentials: []string{"key-1"}}, {Name: "t2", Credentials: []string{"key-2"}}},
		Limits: catalog.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func newEngine() *catalog.Engine {
	return &catalog.Engine{Slots: 48, KVCapacity: 660384, TokensPerEvent: 3, Models: []catalog.Model{{Name: "m0"}, {Name: "m1"}}}
}

// format returns the findings in a short form, one a line.
func format(findings []configcheck.Finding) string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, strings.Join([]string{string(f.Severity), f.Place.Name, string(f.Field), f.Problem}, "|"))
	}
	return strings.Join(lines, "\n")
}

// TestCheck guards against mistakes that are not found, are found at the wrong
// place or are reported more than once, and against findings that print a
// credential.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change func(c *catalog.Catalog)
		want   string
	}{
		"no mistake":        {func(*catalog.Catalog) {}, ""},
		"no version":        {func(c *catalog.Catalog) { c.Version = 0 }, `error||version|is 0 or missing; want a version above the one in force`},
		"no host":           {func(c *catalog.Catalog) { c.Routes[1].Host = "" }, `error|pay|host|is missing`},
		"a host with port":  {func(c *catalog.Catalog) { c.Routes[1].Host = "a.example:80" }, `warning|pay|host|never matches, since hosts are compared without the port; want "a.example"`},
		"a prefix":          {func(c *catalog.Catalog) { c.Routes[1].PathPrefix = "pay" }, `error|pay|path prefix|"pay" does not begin and end with a slash; want "/pay/"`},
		"an empty prefix":   {func(c *catalog.Catalog) { c.Routes[1].PathPrefix = "" }, `error|pay|path prefix|"" does not begin and end with a slash; want "/"`},
		"a repeated match":  {func(c *catalog.Catalog) { c.Routes[1].Host, c.Routes[1].PathPrefix = "A.example", "/chat/" }, `warning|pay|path prefix|never matches; route "chat" above has the same host and path prefix`},
		"a repeated name":   {func(c *catalog.Catalog) { c.Teams[1].Name = "t1" }, `error|t1|name|"t1" occurs twice; want different names`},
		"a weight":          {func(c *catalog.Catalog) { c.Routes[0].Split[1].Weight = -1 }, `error|chat|split|the weight -1 of service "spare" is negative`},
		"a weight of 0":     {func(c *catalog.Catalog) { c.Routes[0].Split[1].Weight, c.Services[1].Engine = 0, nil }, `warning|chat|split|service "spare" gets no requests; its weight is 0`},
		"no service":        {func(c *catalog.Catalog) { c.Routes[1].Split[0].Service = "" }, "error|pay|service|has no service\nwarning|plain||gets no requests; no route names it"},
		"an unknown one":    {func(c *catalog.Catalog) { c.Services = c.Services[:2] }, `error|pay|service|service "plain" does not exist`},
		"a missing model":   {func(c *catalog.Catalog) { c.Services[1].Engine.Models = nil }, "error|chat|models|the engine of service \"spare\" does not list model \"m0\"\nerror|chat|models|the engine of service \"spare\" does not list model \"m1\""},
		"a missing engine":  {func(c *catalog.Catalog) { c.Services[1].Engine = nil }, `warning|chat|models|service "spare" has no engine, so it runs none of them`},
		"a negative time":   {func(c *catalog.Catalog) { c.Routes[1].Timeout = -time.Second }, `error|pay|timeout|-1s is negative; want a positive time`},
		"a target":          {func(c *catalog.Catalog) { c.Routes[0].LatencyTarget = time.Minute }, `warning|chat|latency target|1m0s is above the timeout of 10s; want at most the timeout`},
		"a gap target":      {func(c *catalog.Catalog) { c.Routes[0].GapTarget = time.Minute }, `warning|chat|gap target|1m0s is above the timeout of 10s; want at most the timeout`},
		"no attempts":       {func(c *catalog.Catalog) { c.Routes[0].MaxAttempts = 0 }, `warning|chat|max attempts|0 counts as 1; want at least 1`},
		"needless attempts": {func(c *catalog.Catalog) { c.Routes[1].MaxAttempts = 3 }, `warning|pay|max attempts|3 has no effect, since requests of this route run once; want 1, or a safe or resumable route`},
		"no weight":         {func(c *catalog.Catalog) { c.Routes[1].Split[0].Weight = 0 }, "warning|pay|split|service \"plain\" gets no requests; its weight is 0\nerror|pay|split|the weights add up to 0; want at least one positive weight"},
		"a repeated model":  {func(c *catalog.Catalog) { c.Routes[0].Models[1] = "m0" }, `error|chat|models|model "m0" occurs twice`},
		"a negative number": {func(c *catalog.Catalog) { c.Services[2].MaxConnections = -1 }, `error|plain|max connections|-1 is negative; want a positive number`},
		"no slots":          {func(c *catalog.Catalog) { c.Services[0].Engine.Slots = 0 }, `warning|engines|engine slots|is 0 although the engine has models; want at least 1`},
		"a long header":     {func(c *catalog.Catalog) { c.Limits.HeaderTimeout = 11 * time.Second }, `warning||header timeout|11s is above the 10s after which instances give up; want at most that`},
		"a long idle time":  {func(c *catalog.Catalog) { c.Limits.IdleTimeout = time.Hour }, `warning||idle timeout|1h0m0s is above the 10m0s after which instances close idle connections; want at most that`},
		"a repeated key":    {func(c *catalog.Catalog) { c.Teams[0].Credentials = []string{"key-1", "key-1"} }, `warning|t1|credentials|entry 1 occurs twice`},
		"a cold time":       {func(c *catalog.Catalog) { c.Services[0].ColdRate = 0 }, `warning|engines|cold start|3s has no effect without a rate of requests; want both or none`},
		"a cold rate":       {func(c *catalog.Catalog) { c.Services[0].ColdStart = 0 }, `warning|engines|cold rate|11 has no time during which it applies; want both or none`},
		"no memory":         {func(c *catalog.Catalog) { c.Services[0].Engine.KVCapacity = 0 }, `warning|engines|engine capacity|is 0 although the engine has models; want the number of tokens that its memory holds`},
		"little memory":     {func(c *catalog.Catalog) { c.Services[0].Engine.KVCapacity = 47 }, `warning|engines|engine capacity|47 tokens are fewer than the 48 slots; want at least the tokens of one prompt for each slot`},
		"large headers":     {func(c *catalog.Catalog) { c.Limits.HeaderBytes = 65537 }, `warning||header bytes|65537 is above what instances accept; want at most 65536`},
		"an idle timeout":   {func(c *catalog.Catalog) { c.Limits.IdleTimeout = time.Second }, `warning||idle timeout|1s is below the header timeout of 3s; want at least that`},
		"no credentials":    {func(c *catalog.Catalog) { c.Teams[0].Credentials = nil }, `warning|t1|credentials|is empty; the team has access to public routes only`},
		"no teams":          {func(c *catalog.Catalog) { c.Teams = nil }, `warning|||has no teams; routes that are not public are open to all callers`},
		"an empty one":      {func(c *catalog.Catalog) { c.Teams[0].Credentials[0] = "" }, `error|t1|credentials|entry 0 is empty; requests without a credential would count as this team's`},
		"a shared one":      {func(c *catalog.Catalog) { c.Teams[1].Credentials[0] = "key-1" }, `error|t2|credentials|entry 0 is also a credential of team "t1"; want it at one team`},
	} {
		t.Run(name, func(t *testing.T) {
			c := newConfig()
			test.change(c)
			is.New(t).Equal(format(configcheck.Check(c, accepted)), test.want)
		})
	}
}

// TestNeverMatches guards against a warning about another route than the one
// that instances leave out.
func TestNeverMatches(t *testing.T) {
	c := newConfig()
	c.Routes[1].Host, c.Routes[1].PathPrefix = "A.example", "/chat/"
	is.New(t).Equal(catalog.NewIndex(c).Route("a.example", "/chat/x").Name, catalog.RouteID("chat"))
}

// TestCompare guards against changes that are not shown, and against
// credentials in the output.
func TestCompare(t *testing.T) {
	is := is.New(t)
	is.Equal(format(configcheck.Compare(newConfig(), newConfig())), `error||version|7 is not above 7, which is in force; instances would ignore it`)
	c := newConfig()
	c.Version = 8
	c.Routes[0].Split[1].Weight = 2
	c.Routes[1].Name = "pay2"
	c.Services[0].Name = "engines2"
	c.Services[2].Engine = newEngine()
	c.Services[2].Engine.Models = nil
	c.Limits.BodyBytes = 1
	c.Teams[0].Credentials = []string{"key-3", "key-4"}
	findings := configcheck.Compare(newConfig(), c)
	configcheck.Sort(findings)
	is.Equal(format(findings), strings.TrimSpace(`
difference|chat|split|[engines:9 spare:2] instead of [engines:9 spare:1]
difference|pay2||is added
difference|pay||is removed
difference|engines2||is added
difference|plain|engine|present instead of none
difference|plain|engine slots|48 instead of 0
difference|plain|engine capacity|660384 instead of 0
difference|plain|tokens per event|3 instead of 0
difference|engines||is removed
difference||body bytes|1 instead of 4194304
difference|t1|credentials|2 added, 1 removed`))
}
