// Package configcheck checks a configuration of a shared platform before it is
// sent, and compares it with the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// A Finding is an error, a warning or a difference at a place of the
// configuration.
type Finding struct {
	Severity Severity
	Place    Place
	// Field is empty if the finding is about the whole part.
	Field   Field
	Problem string
}

// A Severity says what a finding means for the operator.
type Severity string

// A Place is a route, a service, the limits or a team of the configuration.
type Place struct {
	Part Part
	// Index is the position among the parts of the kind, from 0.
	Index int
	Name  string
	// InForce is true if the index counts in the version in force, since the
	// checked one does not have the part.
	InForce bool
}

// A Part is a kind of parts of a configuration.
type Part int

// A Field is a field of a part.
type Field string

// Accepted holds what instances accept of callers, whatever the configuration
// allows.
type Accepted struct {
	HeaderBytes                int64
	HeaderTimeout, IdleTimeout time.Duration
}

// The severities. A configuration with errors must not be sent. A warning is
// about an entry without effect or a contradiction.
const (
	Error      Severity = "error"
	Warning    Severity = "warning"
	Difference Severity = "difference"
)

// The parts, in the order in which findings are reported.
const (
	Whole Part = iota
	Route
	Service
	Limits
	Team
)

// The fields. Service is the only service of a route without a split.
const (
	FieldVersion        Field = "version"
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPathPrefix     Field = "path prefix"
	FieldKind           Field = "kind"
	FieldTimeout        Field = "timeout"
	FieldLatencyTarget  Field = "latency target"
	FieldGapTarget      Field = "gap target"
	FieldPriority       Field = "priority"
	FieldModels         Field = "models"
	FieldService        Field = "service"
	FieldSplit          Field = "split"
	FieldMaxAttempts    Field = "max attempts"
	FieldPublic         Field = "public"
	FieldResumable      Field = "resumable"
	FieldMaxConnections Field = "max connections"
	FieldColdStart      Field = "cold start"
	FieldColdRate       Field = "cold rate"
	FieldEngine         Field = "engine"
	FieldSlots          Field = "engine slots"
	FieldKVCapacity     Field = "engine capacity"
	FieldTokensPerEvent Field = "tokens per event" //nolint:gosec // A count, not a secret.
	FieldEngineModels   Field = "engine models"
	FieldHeaderBytes    Field = "header bytes"
	FieldBodyBytes      Field = "body bytes"
	FieldHeaderTimeout  Field = "header timeout"
	FieldIdleTimeout    Field = "idle timeout"
	FieldCredentials    Field = "credentials"
)

// checker collects the findings at the current place.
type checker struct {
	catalog  *catalog.Catalog
	services map[tables.ServiceID]*catalog.Service
	place    Place
	findings []Finding
}

// Check returns the errors and warnings of a configuration, in the order of its
// parts.
func Check(c *catalog.Catalog, accepted Accepted) []Finding {
	x := &checker{catalog: c, services: map[tables.ServiceID]*catalog.Service{}}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	if c.Version == 0 {
		x.errorf(FieldVersion, "is 0 or missing; want a version above the one in force")
	}
	x.checkRoutes()
	x.checkServices()
	x.place = Place{Part: Limits}
	x.checkLimits(&c.Limits, accepted)
	x.checkTeams()
	return x.findings
}

// Sort puts the findings into the order of parts and, for each part, of errors,
// warnings and differences. Findings of the same place and severity keep their
// order.
func Sort(findings []Finding) {
	severities := []Severity{Error, Warning, Difference}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.group(), b.Place.group()),
			cmp.Compare(a.Place.Index, b.Place.Index),
			cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)),
		)
	})
}

// group returns the position of the place's kind in the order of findings. Parts that only the
// version in force has come after the others of their kind.
func (p Place) group() int {
	group := 2 * int(p.Part)
	if p.InForce {
		group++
	}
	return group
}

func (x *checker) add(severity Severity, field Field, format string, values ...any) {
	x.findings = append(x.findings, Finding{Severity: severity, Place: x.place, Field: field, Problem: fmt.Sprintf(format, values...)})
}

func (x *checker) errorf(field Field, format string, values ...any) {
	x.add(Error, field, format, values...)
}

func (x *checker) warnf(field Field, format string, values ...any) {
	x.add(Warning, field, format, values...)
}

// checkName reports a missing name and one that an earlier part of the same
// kind has.
func (x *checker) checkName(seen map[string]bool) {
	switch {
	case x.place.Name == "":
		x.errorf(FieldName, "is missing")
	case seen[x.place.Name]:
		x.errorf(FieldName, "%q occurs twice; want different names", x.place.Name)
	}
	seen[x.place.Name] = true
}

// checkTime reports a negative time. A time that is not set is valid.
func (x *checker) checkTime(field Field, value time.Duration) {
	if value < 0 {
		x.errorf(field, "%v is negative; want a positive time", value)
	}
}

// checkNumber reports a negative number.
func (x *checker) checkNumber(field Field, value float64) {
	if value < 0 {
		x.errorf(field, "%v is negative; want a positive number", value)
	}
}

func (x *checker) checkRoutes() {
	names := map[string]bool{}
	type match struct{ host, pathPrefix string }
	matches := map[match]catalog.RouteID{}
	for i := range x.catalog.Routes {
		route := &x.catalog.Routes[i]
		x.place = Place{Part: Route, Index: i, Name: string(route.Name)}
		x.checkName(names)
		x.checkMatch(route)
		x.checkSplit(route)
		x.checkModels(route)
		x.checkRouteLimits(route)
		key := match{strings.ToLower(route.Host), route.PathPrefix}
		if first, ok := matches[key]; ok {
			x.warnf(FieldPathPrefix, "never matches; route %q above has the same host and path prefix", first)
			continue
		}
		matches[key] = route.Name
	}
}

func (x *checker) checkMatch(route *catalog.Route) {
	if route.Host == "" {
		x.errorf(FieldHost, "is missing")
	} else if host, _, err := net.SplitHostPort(route.Host); err == nil {
		x.warnf(FieldHost, "never matches, since hosts are compared without the port; want %q", host)
	}
	if prefix := route.PathPrefix; !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		want := strings.TrimSuffix("/"+strings.Trim(prefix, "/"), "/") + "/"
		x.errorf(FieldPathPrefix, "%q does not begin and end with a slash; want %q", prefix, want)
	}
}

// splitField returns the field that names the services of the route.
func splitField(route *catalog.Route) Field {
	if len(route.Split) == 1 && route.Split[0].Weight == 1 {
		return FieldService
	}
	return FieldSplit
}

func (x *checker) checkSplit(route *catalog.Route) {
	field := splitField(route)
	total := 0.0
	for _, share := range route.Split {
		switch {
		case share.Service == "":
			x.errorf(field, "has no service")
		case x.services[share.Service] == nil:
			x.errorf(field, "service %q does not exist", share.Service)
		}
		switch {
		case share.Weight < 0:
			x.errorf(field, "the weight %v of service %q is negative", share.Weight, share.Service)
		case share.Weight == 0:
			x.warnf(field, "service %q gets no requests; its weight is 0", share.Service)
		}
		total += max(0, share.Weight)
	}
	if total == 0 {
		x.errorf(field, "the weights add up to 0; want at least one positive weight")
	}
}

// checkModels reports models of the route that a service with a share of its
// requests does not have.
func (x *checker) checkModels(route *catalog.Route) {
	x.checkModelNames(FieldModels, route.Models)
	for _, share := range route.Split {
		service := x.services[share.Service]
		if service == nil || len(route.Models) == 0 || share.Weight == 0 {
			continue
		}
		if service.Engine == nil {
			// The store accepts such a split, so it is no error.
			x.warnf(FieldModels, "service %q has no engine, so it runs none of them", service.Name)
			continue
		}
		for _, model := range route.Models {
			if !slices.ContainsFunc(service.Engine.Models, func(m catalog.Model) bool { return m.Name == model }) {
				x.errorf(FieldModels, "the engine of service %q does not list model %q", service.Name, model)
			}
		}
	}
}

func (x *checker) checkModelNames(field Field, models []tables.ModelID) {
	for i, model := range models {
		if slices.Contains(models[:i], model) {
			x.errorf(field, "model %q occurs twice", model)
		}
	}
}

func (x *checker) checkRouteLimits(route *catalog.Route) {
	x.checkTime(FieldTimeout, route.Timeout)
	x.checkTime(FieldLatencyTarget, route.LatencyTarget)
	x.checkTime(FieldGapTarget, route.GapTarget)
	if route.Timeout > 0 && route.LatencyTarget > route.Timeout {
		x.warnf(FieldLatencyTarget, "%v is above the timeout of %v; want at most the timeout", route.LatencyTarget, route.Timeout)
	}
	if route.Timeout > 0 && route.GapTarget > route.Timeout {
		x.warnf(FieldGapTarget, "%v is above the timeout of %v; want at most the timeout", route.GapTarget, route.Timeout)
	}
	switch {
	case route.MaxAttempts < 1:
		x.warnf(FieldMaxAttempts, "%d counts as 1; want at least 1", route.MaxAttempts)
	case route.MaxAttempts > 1 && !route.Repeatable():
		x.warnf(FieldMaxAttempts, "%d has no effect, since requests of this route run once; want 1, or a safe or resumable route", route.MaxAttempts)
	}
}

func (x *checker) checkServices() {
	named := map[tables.ServiceID]bool{}
	for i := range x.catalog.Routes {
		for _, share := range x.catalog.Routes[i].Split {
			named[share.Service] = true
		}
	}
	names := map[string]bool{}
	for i := range x.catalog.Services {
		service := &x.catalog.Services[i]
		x.place = Place{Part: Service, Index: i, Name: string(service.Name)}
		x.checkName(names)
		if !named[service.Name] {
			x.warnf("", "gets no requests; no route names it")
		}
		x.checkNumber(FieldMaxConnections, float64(service.MaxConnections))
		x.checkTime(FieldColdStart, service.ColdStart)
		x.checkNumber(FieldColdRate, service.ColdRate)
		switch {
		case service.ColdStart > 0 && service.ColdRate == 0:
			x.warnf(FieldColdStart, "%v has no effect without a rate of requests; want both or none", service.ColdStart)
		case service.ColdRate > 0 && service.ColdStart == 0:
			x.warnf(FieldColdRate, "%v has no time during which it applies; want both or none", service.ColdRate)
		}
		if service.Engine != nil {
			x.checkEngine(service.Engine)
		}
	}
}

func (x *checker) checkEngine(engine *catalog.Engine) {
	x.checkNumber(FieldSlots, float64(engine.Slots))
	x.checkNumber(FieldKVCapacity, float64(engine.KVCapacity))
	x.checkNumber(FieldTokensPerEvent, float64(engine.TokensPerEvent))
	models := make([]tables.ModelID, 0, len(engine.Models))
	for _, model := range engine.Models {
		models = append(models, model.Name)
		x.checkNumber(FieldEngineModels, model.CostPerThousandTokens)
	}
	x.checkModelNames(FieldEngineModels, models)
	if len(models) == 0 {
		return
	}
	if engine.Slots == 0 {
		x.warnf(FieldSlots, "is 0 although the engine has models; want at least 1")
	}
	switch {
	case engine.KVCapacity == 0:
		x.warnf(FieldKVCapacity, "is 0 although the engine has models; want the number of tokens that its memory holds")
	case engine.KVCapacity > 0 && int64(engine.KVCapacity) < int64(engine.Slots):
		x.warnf(FieldKVCapacity, "%d tokens are fewer than the %d slots; want at least the tokens of one prompt for each slot", engine.KVCapacity, engine.Slots)
	}
}

func (x *checker) checkLimits(limits *catalog.Limits, accepted Accepted) {
	x.checkNumber(FieldHeaderBytes, float64(limits.HeaderBytes))
	x.checkNumber(FieldBodyBytes, float64(limits.BodyBytes))
	x.checkTime(FieldHeaderTimeout, limits.HeaderTimeout)
	x.checkTime(FieldIdleTimeout, limits.IdleTimeout)
	if limits.HeaderBytes > accepted.HeaderBytes {
		x.warnf(FieldHeaderBytes, "%d is above what instances accept; want at most %d", limits.HeaderBytes, accepted.HeaderBytes)
	}
	if limits.HeaderTimeout > accepted.HeaderTimeout {
		x.warnf(FieldHeaderTimeout, "%v is above the %v after which instances give up; want at most that", limits.HeaderTimeout, accepted.HeaderTimeout)
	}
	if limits.IdleTimeout > accepted.IdleTimeout {
		x.warnf(FieldIdleTimeout, "%v is above the %v after which instances close idle connections; want at most that", limits.IdleTimeout, accepted.IdleTimeout)
	}
	if limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		x.warnf(FieldIdleTimeout, "%v is below the header timeout of %v; want at least that", limits.IdleTimeout, limits.HeaderTimeout)
	}
}

func (x *checker) checkTeams() {
	needed := slices.ContainsFunc(x.catalog.Routes, func(r catalog.Route) bool { return !r.Public })
	if len(x.catalog.Teams) == 0 && needed {
		x.place = Place{}
		x.warnf("", "has no teams; routes that are not public are open to all callers")
	}
	names := map[string]bool{}
	owners := map[string]tables.TeamID{}
	for i := range x.catalog.Teams {
		team := &x.catalog.Teams[i]
		x.place = Place{Part: Team, Index: i, Name: string(team.Name)}
		x.checkName(names)
		if len(team.Credentials) == 0 && needed {
			x.warnf(FieldCredentials, "is empty; the team has access to public routes only")
		}
		x.checkCredentials(team, owners)
	}
}

// checkCredentials reports credentials by their position, since findings are
// printed and credentials must not be.
func (x *checker) checkCredentials(team *catalog.Team, owners map[string]tables.TeamID) {
	for i, credential := range team.Credentials {
		owner, held := owners[credential]
		switch {
		case credential == "":
			x.errorf(FieldCredentials, "entry %d is empty; requests without a credential would count as this team's", i)
		case held && owner == team.Name:
			x.warnf(FieldCredentials, "entry %d occurs twice", i)
		case held:
			x.errorf(FieldCredentials, "entry %d is also a credential of team %q; want it at one team", i, owner)
		}
		owners[credential] = team.Name
	}
}
