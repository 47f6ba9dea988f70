package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/cascades"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/routing"
	"mimosayard/internal/core/sessions"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/telemetry/metrics"
)

// designSize is the size of the configuration to design for. The requirements
// state no number of teams and classes, so these are assumed.
var designSize = configSize{teams: 20, classes: 4, versions: 8, servers: 600}

// measureDecisions measures the processor time and memory of the router and of
// the other duties that need no network.
func measureDecisions() []Axis {
	return []Axis{
		measureAxis("choose an upstream", "servers in the pool", "ns", []int{40, 75, 150, 300, 600, 1200}, chooseNanos),
		measureAxis("admit, choose, finish a request", "teams", "ns", []int{5, 10, 20, 40, 80}, requestNanos),
		measureAxis("tick: totals into shares and tests", "teams", "ns", []int{5, 10, 20, 40, 80}, tickNanosByTeams),
		measureAxis("tick: totals into shares and tests", "versions", "ns", []int{2, 4, 8, 16, 32}, tickNanosByVersions),
		measureAxis("contribution to the sums", "teams", "ns", []int{5, 10, 20, 40, 80}, contributionNanos),
		measureAxis("decision state", "teams", "bytes", []int{5, 10, 20, 40, 80}, routerBytesByTeams),
		measureAxis("decision state", "servers", "bytes", []int{75, 150, 300, 600, 1200}, routerBytesByServers),
		measureAxis("prefix hints", "prefixes", "bytes", []int{512, 1024, 2048, 4096, 8192}, prefixHintBytes),
		measureAxis("answers awaiting ratings", "answers", "bytes", []int{2048, 4096, 8192, 16384, 32768}, unratedAnswerBytes),
		measureAxis("cascade evidence", "cells", "bytes", []int{64, 128, 256, 512, 1024}, evidenceBytes),
		measureAxis("session token: seal and open", "stages", "ns", []int{1, 2, 4, 8, 16}, sessionTokenNanos),
		measureAxis("apply a configuration", "routes", "ns", []int{20, 40, 80, 160, 320}, applyNanos),
		measureAxis("accepted configuration", "routes", "bytes", []int{20, 40, 80, 160, 320}, configBytesByRoutes),
		measureAxis("accepted configuration", "servers", "bytes", []int{75, 150, 300, 600, 1200}, configBytesByServers),
		measureAxis("open bills", "bills", "bytes", []int{4000, 8000, 16000, 32000, 64000}, openBillBytes),
		measureAxis("settle bills into an account", "bills", "ns", []int{100, 200, 400, 800, 1600}, settleNanos),
		measureAxis("metrics", "routes", "bytes", []int{5, 10, 20, 40, 80}, metricsBytes),
		measureAxis("metrics of a request", "tokens", "ns", []int{16, 64, 128, 256, 512}, recordMetricsNanos),
		measureAxis("sequential test of a version", "looks", "ns", []int{1, 2, 4, 8, 16}, sequentialTestNanos),
	}
}

// newRouter returns a router with a configuration of a size.
func newRouter(size configSize) *router.Router {
	r := router.New(homeDataCenter, router.Policy{}, rand.New(rand.NewPCG(1, 2)))
	r.Apply(time.Now(), newConfig(size))
	return r
}

// chooseNanos returns the time to choose among the servers of one pool.
func chooseNanos(servers int) float64 {
	config := newConfig(configSize{1, 1, 1, servers})
	set := routing.NewUpstreamSet(&config.Pools[0], homeDataCenter, nil)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	return nanosPerCall(func() {
		_, _ = set.Choose(now, routing.Call{PromptTokens: 500, AnswerTokens: 200, PrefixHash: random.Uint64()}, random)
	})
}

// serveRequest runs one request through a router, without an upstream.
func serveRequest(r *router.Router, random *rand.Rand, id string, teams, classes int) {
	now := time.Now()
	task, fault := r.Admit(now, router.Request{
		Route:        routeKey(random.IntN(teams), random.IntN(classes)),
		RequestID:    id,
		Caller:       id,
		PromptTokens: 500,
		PrefixHash:   random.Uint64(),
		ArrivedAt:    now,
	})
	if fault != nil {
		return
	}
	defer r.FinishTask(now, task)
	step, fault := r.StartStep(now, task, "")
	if fault != nil {
		return
	}
	r.RecordFirstToken(now, step)
	r.Accept(now, task, step, random.Float64())
	r.FinishStep(now, task, step, router.Outcome{PromptTokens: 500, AnswerTokens: 208})
}

// requestNanos returns the time of the decisions for one request.
func requestNanos(teams int) float64 {
	size := designSize
	size.teams = teams
	r := newRouter(size)
	random := rand.New(rand.NewPCG(1, 2))
	return nanosPerCall(func() { serveRequest(r, random, "request", size.teams, size.classes) })
}

// tickNanosByTeams returns the time of a tick at the design size, but with a
// given number of teams.
func tickNanosByTeams(teams int) float64 {
	size := designSize
	size.teams = teams
	return tickNanos(size)
}

// tickNanosByVersions returns the time of a tick at the design size, but with a
// given number of versions.
func tickNanosByVersions(versions int) float64 {
	size := designSize
	size.versions = versions
	return tickNanos(size)
}

// tickNanos returns the time in which a busy router applies the fleet totals.
func tickNanos(size configSize) float64 {
	r := newBusyRouter(size)
	now := time.Now()
	contribution := r.Contribution(now)
	return nanosPerCall(func() {
		now = now.Add(time.Second)
		r.Tick(now, contribution, contribution)
	})
}

// newBusyRouter returns a router that has served 20 requests for each team and
// class on average.
func newBusyRouter(size configSize) *router.Router {
	r := newRouter(size)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 20 * size.teams * size.classes {
		serveRequest(r, random, strconv.Itoa(n), size.teams, size.classes)
	}
	return r
}

// contributionNanos returns the time to compute an instance's contribution to
// the fleet totals.
func contributionNanos(teams int) float64 {
	size := designSize
	size.teams = teams
	r := newBusyRouter(size)
	return nanosPerCall(func() { r.Contribution(time.Now()) })
}

// routerBytesByTeams returns the memory of a router at the design size, but
// with a given number of teams.
func routerBytesByTeams(teams int) float64 {
	size := designSize
	size.teams = teams
	return heapGrowth(func() any { return newRouter(size) })
}

// routerBytesByServers returns the memory of a router at the design size, but
// with a given number of servers.
func routerBytesByServers(servers int) float64 {
	size := designSize
	size.servers = servers
	return heapGrowth(func() any { return newRouter(size) })
}

// prefixHintBytes returns the memory of a pool with a number of prefix hints.
func prefixHintBytes(prefixes int) float64 {
	config := newConfig(configSize{1, 1, 1, 75})
	random := rand.New(rand.NewPCG(1, 2))
	return heapGrowth(func() any {
		set := routing.NewUpstreamSet(&config.Pools[0], homeDataCenter, nil)
		for range prefixes {
			set.RecordCachedTokens(random.Uint64(), set.Upstreams()[0], 1)
		}
		return set
	})
}

// unratedAnswerBytes returns the memory of a router with a number of answers
// that have no rating yet.
func unratedAnswerBytes(answers int) float64 {
	size := configSize{1, 1, 1, 8}
	random := rand.New(rand.NewPCG(1, 2))
	return heapGrowth(func() any {
		r := newRouter(size)
		for n := range answers {
			serveRequest(r, random, fmt.Sprintf("instance-1@1796350771075-%d", n), 1, 1)
		}
		return r
	})
}

// evidenceBytes returns the memory of a number of cells of cascade evidence.
func evidenceBytes(cells int) float64 {
	return heapGrowth(func() any {
		table := &cascades.EvidenceTable{}
		for n := range cells {
			pool := tables.PoolID(fmt.Sprintf("pool-%d", n/cascades.Buckets))
			table.AddRating(cascades.Cell{Pool: pool, Bucket: cascades.Bucket(n % cascades.Buckets)}, 1)
		}
		return table
	})
}

// sessionTokenNanos returns the time to sign and verify a session token with a
// number of pools.
func sessionTokenNanos(stages int) float64 {
	ring := sessions.KeyRing{Keys: newConfig(configSize{1, 1, 1, 1}).SessionKeys}
	session := sessions.Session{ID: "instance-1@1796350771075-zz", Team: "team", Service: serviceName, Class: "chat", Started: time.Now().Unix()}
	for n := range stages {
		session.Pools = append(session.Pools, tables.PoolID(fmt.Sprintf("pool-%d", n)))
	}
	return nanosPerCall(func() {
		token, err := ring.Sign(session)
		if err != nil {
			return
		}
		_, _ = ring.Verify(time.Now(), token)
	})
}

// applyNanos returns the time to apply a configuration with a number of routes.
func applyNanos(routes int) float64 {
	size := designSize
	size.teams = routes / size.classes
	r := newRouter(size)
	config := newConfig(size)
	return nanosPerCall(func() {
		updated := *config
		config.Generation++
		updated.Generation = config.Generation
		r.Apply(time.Now(), &updated)
	})
}

// configBytesByRoutes returns the size of an encoded configuration with a
// number of routes.
func configBytesByRoutes(routes int) float64 {
	size := designSize
	size.teams = routes / size.classes
	return encodedConfigBytes(size)
}

// configBytesByServers returns the size of an encoded configuration with a
// number of servers.
func configBytesByServers(servers int) float64 {
	size := designSize
	size.servers = servers
	return encodedConfigBytes(size)
}

// encodedConfigBytes returns the length of a configuration of a size as JSON,
// in bytes.
func encodedConfigBytes(size configSize) float64 {
	encoded, err := json.Marshal(newConfig(size))
	if err != nil {
		return 0
	}
	return float64(len(encoded))
}

// newBills returns bills of one team.
func newBills(count int) []billing.Bill {
	bills := make([]billing.Bill, count)
	for n := range bills {
		bills[n] = billing.Bill{
			RequestID: fmt.Sprintf("instance-1@1796350771075-%d", n),
			Team:      "team-1", Prompt: 500, Answer: 208, Cost: 100,
		}
	}
	return bills
}

// openBillBytes returns the memory of a ledger with a number of open bills.
func openBillBytes(count int) float64 {
	return heapGrowth(func() any {
		ledger := &billing.Ledger{Epoch: "instance-1@1796350771075"}
		for _, bill := range newBills(count) {
			ledger.Add(bill)
		}
		return ledger
	})
}

// settleNanos returns the time to settle a number of bills into an account.
func settleNanos(count int) float64 {
	ledger := billing.Ledger{}
	bills := newBills(count)
	for n := range bills {
		bills[n] = ledger.Add(bills[n])
	}
	return nanosPerCall(func() {
		account := billing.Account{}
		account.Settle(bills)
	})
}

// sequentialTestNanos returns the time of a number of evaluations of the
// sequential test of a version.
func sequentialTestNanos(evaluations int) float64 {
	test := &rollouts.SequentialTest{}
	evidence := rollouts.Evidence{}
	now := time.Now()
	return nanosPerCall(func() {
		for range evaluations {
			evidence.Ratings += 10
			evidence.RatingShortfall++
			evidence.Calls += 100
			test.Evaluate(now, nil, rollouts.Progress{}, evidence, 0.1)
		}
	})
}

// countExactKeys returns the number of values of which every change is sent.
func countExactKeys(values aggregates.Values) int {
	count := 0
	for key := range values {
		if key&1 == 1 {
			count++
		}
	}
	return count
}

// metricsBytes returns the memory of the metrics of a number of routes.
func metricsBytes(routes int) float64 {
	return heapGrowth(func() any {
		recorder := metrics.New("node", homeDataCenter)
		for n := range routes {
			route := routeKey(n/designSize.classes, n%designSize.classes)
			recorder.RecordTokenGap(route, time.Millisecond)
			recorder.RecordRequest(metrics.Sample{Route: route, Total: time.Second, FirstToken: time.Millisecond, Cost: 1})
		}
		return recorder
	})
}

// recordMetricsNanos returns the time to record the metrics of a request with
// an answer of the given number of tokens.
func recordMetricsNanos(tokens int) float64 {
	recorder := metrics.New("node", homeDataCenter)
	route := routeKey(0, 0)
	return nanosPerCall(func() {
		for range tokens {
			recorder.RecordTokenGap(route, time.Millisecond)
		}
		recorder.RecordRequest(metrics.Sample{Route: route, Total: time.Second, FirstToken: time.Millisecond, Cost: 1})
	})
}
