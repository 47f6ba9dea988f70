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

// designShape is the configuration at the size to design for. The letter
// gives no number of teams and classes; these are assumed.
var designShape = shape{teams: 20, classes: 4, versions: 8, servers: 600}

// coreAxes measures the decisions.
func coreAxes() []Axis {
	return []Axis{
		measure("choose an upstream", "servers in the pool", "ns", []int{40, 75, 150, 300, 600, 1200}, chooseCost),
		measure("admit, choose, finish a request", "teams", "ns", []int{5, 10, 20, 40, 80}, requestCost),
		measure("tick: totals into shares and tests", "teams", "ns", []int{5, 10, 20, 40, 80}, tickCost),
		measure("tick: totals into shares and tests", "versions", "ns", []int{2, 4, 8, 16, 32}, tickVersionsCost),
		measure("contribution to the sums", "teams", "ns", []int{5, 10, 20, 40, 80}, contributionCost),
		measure("decision state", "teams", "bytes", []int{5, 10, 20, 40, 80}, stateOfTeams),
		measure("decision state", "servers", "bytes", []int{75, 150, 300, 600, 1200}, stateOfServers),
		measure("prefix hints", "prefixes", "bytes", []int{512, 1024, 2048, 4096, 8192}, stateOfPrefixes),
		measure("answers awaiting ratings", "answers", "bytes", []int{2048, 4096, 8192, 16384, 32768}, stateOfRatings),
		measure("cascade evidence", "cells", "bytes", []int{64, 128, 256, 512, 1024}, stateOfCells),
		measure("session token: seal and open", "stages", "ns", []int{1, 2, 4, 8, 16}, sessionCost),
		measure("apply a configuration", "routes", "ns", []int{20, 40, 80, 160, 320}, applyCost),
		measure("accepted configuration", "routes", "bytes", []int{20, 40, 80, 160, 320}, configBytes),
		measure("accepted configuration", "servers", "bytes", []int{75, 150, 300, 600, 1200}, configBytesOfServers),
		measure("open bills", "bills", "bytes", []int{4000, 8000, 16000, 32000, 64000}, stateOfBills),
		measure("settle bills into an account", "bills", "ns", []int{100, 200, 400, 800, 1600}, settleCost),
		measure("metrics", "routes", "bytes", []int{5, 10, 20, 40, 80}, stateOfMetrics),
		measure("metrics of a request", "tokens", "ns", []int{16, 64, 128, 256, 512}, recordCost),
		measure("sequential test of a version", "looks", "ns", []int{1, 2, 4, 8, 16}, lookCost),
	}
}

func newRouter(s shape) *router.Router {
	r := router.New(homeCenter, router.Policy{}, rand.New(rand.NewPCG(1, 2)))
	r.Apply(time.Now(), newConfig(s))
	return r
}

func chooseCost(servers int) float64 {
	config := newConfig(shape{1, 1, 1, servers})
	set := routing.NewUpstreamSet(&config.Pools[0], homeCenter, nil)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	return nanosPerCall(func() {
		_, _ = set.Choose(now, routing.Call{PromptTokens: 500, AnswerTokens: 200, PrefixHash: random.Uint64()}, random)
	})
}

// serve takes one request through the decisions.
func serve(r *router.Router, random *rand.Rand, id string, teams, classes int) {
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

func requestCost(teams int) float64 {
	s := designShape
	s.teams = teams
	r := newRouter(s)
	random := rand.New(rand.NewPCG(1, 2))
	return nanosPerCall(func() { serve(r, random, "request", s.teams, s.classes) })
}

func tickCost(teams int) float64 {
	s := designShape
	s.teams = teams
	return tickOf(s)
}

func tickVersionsCost(versions int) float64 {
	s := designShape
	s.versions = versions
	return tickOf(s)
}

func tickOf(s shape) float64 {
	r := busyRouter(s)
	now := time.Now()
	own := r.Contribution(now)
	return nanosPerCall(func() {
		now = now.Add(time.Second)
		r.Tick(now, own, own)
	})
}

func busyRouter(s shape) *router.Router {
	r := newRouter(s)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 20 * s.teams * s.classes {
		serve(r, random, strconv.Itoa(n), s.teams, s.classes)
	}
	return r
}

func contributionCost(teams int) float64 {
	s := designShape
	s.teams = teams
	r := busyRouter(s)
	return nanosPerCall(func() { r.Contribution(time.Now()) })
}

func stateOfTeams(teams int) float64 {
	s := designShape
	s.teams = teams
	return heapOf(func() any { return newRouter(s) })
}

func stateOfServers(servers int) float64 {
	s := designShape
	s.servers = servers
	return heapOf(func() any { return newRouter(s) })
}

func stateOfPrefixes(prefixes int) float64 {
	config := newConfig(shape{1, 1, 1, 75})
	random := rand.New(rand.NewPCG(1, 2))
	return heapOf(func() any {
		set := routing.NewUpstreamSet(&config.Pools[0], homeCenter, nil)
		for range prefixes {
			set.RecordCachedTokens(random.Uint64(), set.Upstreams()[0], 1)
		}
		return set
	})
}

func stateOfRatings(answers int) float64 {
	s := shape{1, 1, 1, 8}
	random := rand.New(rand.NewPCG(1, 2))
	return heapOf(func() any {
		r := newRouter(s)
		for n := range answers {
			serve(r, random, fmt.Sprintf("instance-1@1796350771075-%d", n), 1, 1)
		}
		return r
	})
}

func stateOfCells(cells int) float64 {
	return heapOf(func() any {
		table := &cascades.EvidenceTable{}
		for n := range cells {
			pool := tables.PoolID(fmt.Sprintf("pool-%d", n/cascades.Buckets))
			table.AddRating(cascades.Cell{Pool: pool, Bucket: cascades.Bucket(n % cascades.Buckets)}, 1)
		}
		return table
	})
}

func sessionCost(stages int) float64 {
	ring := sessions.KeyRing{Keys: newConfig(shape{1, 1, 1, 1}).SessionKeys}
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

func applyCost(routes int) float64 {
	s := designShape
	s.teams = routes / s.classes
	r := newRouter(s)
	config := newConfig(s)
	return nanosPerCall(func() {
		next := *config
		config.Generation++
		next.Generation = config.Generation
		r.Apply(time.Now(), &next)
	})
}

func configBytes(routes int) float64 {
	s := designShape
	s.teams = routes / s.classes
	return encodedBytes(s)
}

func configBytesOfServers(servers int) float64 {
	s := designShape
	s.servers = servers
	return encodedBytes(s)
}

func encodedBytes(s shape) float64 {
	encoded, err := json.Marshal(newConfig(s))
	if err != nil {
		return 0
	}
	return float64(len(encoded))
}

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

func stateOfBills(count int) float64 {
	return heapOf(func() any {
		ledger := &billing.Ledger{Epoch: "instance-1@1796350771075"}
		for _, bill := range newBills(count) {
			ledger.Add(bill)
		}
		return ledger
	})
}

func settleCost(count int) float64 {
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

func lookCost(looks int) float64 {
	test := &rollouts.SequentialTest{}
	evidence := rollouts.Evidence{}
	now := time.Now()
	return nanosPerCall(func() {
		for range looks {
			evidence.Ratings += 10
			evidence.RatingShortfall++
			evidence.Calls += 100
			test.Evaluate(now, nil, rollouts.Progress{}, evidence, 0.1)
		}
	})
}

// exactKeys is the number of values that are told on every change.
func exactKeys(values aggregates.Values) int {
	count := 0
	for key := range values {
		if key&1 == 1 {
			count++
		}
	}
	return count
}

// stateOfMetrics returns the memory of the measurements of a number of routes.
func stateOfMetrics(routes int) float64 {
	return heapOf(func() any {
		recorder := metrics.New("node", homeCenter)
		for n := range routes {
			route := routeKey(n/designShape.classes, n%designShape.classes)
			recorder.Gap(route, time.Millisecond)
			recorder.Request(metrics.Sample{Route: route, Total: time.Second, FirstToken: time.Millisecond, Cost: 1})
		}
		return recorder
	})
}

// recordCost returns the time to record a request with so many tokens.
func recordCost(tokens int) float64 {
	recorder := metrics.New("node", homeCenter)
	route := routeKey(0, 0)
	return nanosPerCall(func() {
		for range tokens {
			recorder.Gap(route, time.Millisecond)
		}
		recorder.Request(metrics.Sample{Route: route, Total: time.Second, FirstToken: time.Millisecond, Cost: 1})
	})
}
