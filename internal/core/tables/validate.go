package tables

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

type poolsByName map[PoolID]*Pool

// validator collects the errors of one file. Errors are reported for the
// current row.
type validator struct {
	errs ValidationErrors
	file string
	row  int
}

var (
	// hashPattern matches a SHA-256 sum in lower-case hex digits.
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	// namePattern matches names of at most 63 characters. The first one must be a
	// letter or digit.
	namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$`)
)

// Validate checks both tables and the references between them. The file names
// are used in errors only. The error is of type ValidationErrors and lists all
// of them.
func Validate(routesFile string, routes RoutesTable, poolsFile string, pools PoolsTable) error {
	byName, errs := validatePools(poolsFile, pools)
	errs = append(errs, validateRoutes(routesFile, routes, byName)...)
	if len(errs) > 0 {
		return errs
	}
	return nil
}

func validatePools(file string, table PoolsTable) (poolsByName, ValidationErrors) {
	v := &validator{file: file}
	byName := poolsByName{}
	for i := range table.Pools {
		v.row = i
		pool := &table.Pools[i]
		v.checkPool(pool)
		if byName[pool.Name] != nil {
			v.add("name", "%q stands twice; pool names are unique", pool.Name)
		}
		byName[pool.Name] = pool
	}
	for i := range table.Pools {
		v.row = i
		v.checkRollout(&table.Pools[i], byName)
	}
	return byName, v.errs
}

func validateRoutes(file string, table RoutesTable, pools poolsByName) ValidationErrors {
	type routeKey struct {
		team    TeamID
		service ServiceID
		class   ClassID
	}
	v := &validator{file: file}
	seen := map[routeKey]bool{}
	owners := map[string]TeamID{}
	for i := range table.Routes {
		v.row = i
		route := &table.Routes[i]
		v.checkRoute(route, pools)
		key := routeKey{route.Team, route.Service, route.Class}
		if seen[key] {
			v.add("class", "team %q has a row for service %q and class %q already", route.Team, route.Service, route.Class)
		}
		seen[key] = true
		for _, hash := range route.Credentials {
			if owner, ok := owners[hash]; ok && owner != route.Team {
				v.add("credentials_sha256", "a credential of team %q stands here too; a credential names one team", owner)
			}
			owners[hash] = route.Team
		}
	}
	return v.errs
}

func (v *validator) add(field, format string, values ...any) {
	v.errs = append(v.errs, ValidationError{File: v.file, Row: v.row, Field: field, Problem: fmt.Sprintf(format, values...)})
}

func (v *validator) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		v.add(field, "%q is not a name; want 1 to 63 letters, digits, dots, dashes or underscores", name)
	}
}

func (v *validator) checkPool(pool *Pool) {
	v.checkName("name", string(pool.Name))
	v.checkName("service", string(pool.Service))
	switch pool.Kind {
	case KindModel:
		v.checkName("model", string(pool.Model))
		v.checkName("version", string(pool.Version))
	case KindPlain:
		if pool.Model != "" || pool.Version != "" || pool.Rollout != nil {
			v.add("kind", "a plain pool has no model, version or rollout")
		}
	default:
		v.add("kind", "%q is unknown; want %q or %q", pool.Kind, KindModel, KindPlain)
	}
	switch pool.Fencing {
	case "", FencingChecked, FencingIgnored:
	default:
		v.add("fencing", "%q is unknown; want %q, %q or none", pool.Fencing, FencingChecked, FencingIgnored)
	}
	if pool.Concurrency < 1 {
		v.add("concurrency_per_upstream", "is %d; want at least 1", pool.Concurrency)
	}
	if pool.PromptCost < 0 || pool.AnswerCost < 0 || pool.CallCost < 0 {
		v.add("call_cost_micros", "costs are not negative")
	}
	v.checkUpstreams(pool)
}

// checkRollout checks a pool's rollout against the pool that it replaces.
func (v *validator) checkRollout(pool *Pool, pools poolsByName) {
	rollout := pool.Rollout
	if rollout == nil {
		return
	}
	replaced := pools[rollout.Replaces]
	switch {
	case replaced == nil:
		v.add("rollout.replaces", "no pool is named %q", rollout.Replaces)
	case replaced == pool:
		v.add("rollout.replaces", "a pool does not replace itself")
	case replaced.Service != pool.Service || replaced.Model != pool.Model:
		v.add("rollout.replaces", "%q serves another service or model", rollout.Replaces)
	case replaced.Rollout != nil:
		v.add("rollout.replaces", "%q is being rolled out itself; one rollout for a model at a time", rollout.Replaces)
	}
	previous := 0.0
	for _, step := range rollout.Steps {
		if step <= previous || step > 1 {
			v.add("rollout.steps", "want rising shares over 0, the last one 1")
			return
		}
		previous = step
	}
	if previous != 1 {
		v.add("rollout.steps", "want rising shares over 0, the last one 1")
	}
	if rollout.StepMin <= 0 || rollout.StepMax < rollout.StepMin {
		v.add("rollout.step_min_ms", "want 0 < step_min_ms <= step_max_ms")
	}
}

func (v *validator) checkRoute(route *Route, pools poolsByName) {
	v.checkName("team", string(route.Team))
	v.checkName("service", string(route.Service))
	v.checkName("class", string(route.Class))
	if len(route.Credentials) == 0 {
		v.add("credentials_sha256", "is empty; want at least one SHA-256 sum")
	}
	for _, hash := range route.Credentials {
		if !hashPattern.MatchString(hash) {
			v.add("credentials_sha256", "want 64 lower-case hex digits, the SHA-256 sum of a credential")
		}
	}
	if route.QualityTarget < 0 || route.QualityTarget > 1 {
		v.add("quality_target", "is %g; want 0 to 1", route.QualityTarget)
	}
	if route.Deadline <= 0 {
		v.add("deadline_ms", "is %d; want at least 1", route.Deadline)
	}
	if route.FirstToken < 0 || route.FirstToken > route.Deadline {
		v.add("first_token_ms", "is %d; want 0 to deadline_ms", route.FirstToken)
	}
	for _, path := range route.Paths {
		if !strings.HasPrefix(path, "/") {
			v.add("paths", "%q does not begin with a slash", path)
		}
	}
	for _, method := range route.Methods {
		if method != strings.ToUpper(method) || method == "" {
			v.add("methods", "%q is not an upper-case HTTP method", method)
		}
	}
	limits := route.Allowance
	if limits.RequestsPerSecond < 0 || limits.TokensPerSecond < 0 || limits.Concurrency < 0 || limits.Weight < 0 {
		v.add("allowance", "limits and weight are not negative")
	}
	v.checkRoutePools(route, pools)
}

// checkRoutePools checks a route against the pools that it names.
func (v *validator) checkRoutePools(route *Route, pools poolsByName) {
	if len(route.Pools) == 0 {
		v.add("pools", "is empty; want at least one pool name")
	}
	seen := map[PoolID]bool{}
	kinds := map[Kind]bool{}
	for _, name := range route.Pools {
		pool := pools[name]
		if pool == nil {
			v.add("pools", "no pool is named %q", name)
			continue
		}
		if pool.Service != route.Service {
			v.add("pools", "pool %q serves %q, the route is for %q", name, pool.Service, route.Service)
		}
		if seen[name] {
			v.add("pools", "%q stands twice", name)
		}
		seen[name] = true
		kinds[pool.Kind] = true
	}
	if len(kinds) > 1 {
		v.add("pools", "model and plain pools do not go into one route")
	}
	if kinds[KindModel] && !route.Idempotent {
		v.add("idempotent", "is false; routes to model pools are idempotent")
	}
}

func (v *validator) checkUpstreams(pool *Pool) {
	seen := map[UpstreamID]bool{}
	for _, upstream := range pool.Upstreams {
		v.checkName("upstreams.name", string(upstream.Name))
		v.checkName("upstreams.data_center", string(upstream.DataCenter))
		if _, err := netip.ParseAddrPort(upstream.Address); err != nil {
			v.add("upstreams.address", "%q is not an IP number and port, such as 127.0.0.1:8080", upstream.Address)
		}
		if seen[upstream.Name] {
			v.add("upstreams.name", "%q stands twice in the pool", upstream.Name)
		}
		seen[upstream.Name] = true
	}
}
