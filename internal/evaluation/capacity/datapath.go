package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/internal/standin/platform"
)

// bench runs an instance in front of an engine that answers without delay. The
// cost of a request through the instance can thus be compared with that of a
// request sent directly to the engine.
type bench struct {
	ctx    context.Context
	group  *errgroup.Group
	client *http.Client
	// answerTokens is the length of the engine's answers.
	answerTokens atomic.Int64
	// holdStreams makes the engine stop an answer after its first token until
	// the client leaves.
	holdStreams atomic.Bool
	// heldStreams is the number of answers that the engine has stopped.
	heldStreams atomic.Int64
	store       platform.Server
}

// Latency holds the latencies of requests sent directly to an engine and
// through an instance.
type Latency struct {
	// RatePerSecond is the number of requests sent per second.
	RatePerSecond float64 `json:"rate_per_s"`
	// DirectMicros and ThroughMicros are the 50th, 95th and 99th percentiles
	// without and with the instance, in microseconds.
	DirectMicros  [3]int64
	ThroughMicros [3]int64
}

const (
	benchEngineAddress   = "127.16.0.1:7100"
	benchPlatformAddress = "127.16.0.1:7000"
	benchCallersAddress  = "127.16.0.2:8080"
	// benchRequests is the number of requests in a series that measures the
	// processor time, sent by benchWorkers at once.
	benchRequests     = 400
	benchWorkers      = 4
	benchStartTimeout = 10 * time.Second
	// measuredStreams is the number of streams opened to measure their memory.
	measuredStreams = 1000
)

// latencyQuantiles are the percentiles in Latency.
var latencyQuantiles = [3]float64{50, 95, 99}

// runBench starts a bench, runs a function with it and stops it.
func runBench(run func(b *bench) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	b := &bench{
		ctx:    ctx,
		group:  group,
		client: &http.Client{Transport: &http1.Transport{MaxIdleConnsPerHost: measuredStreams}},
	}
	err := b.start()
	if err == nil {
		err = run(b)
	}
	cancel()
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return err
}

// start starts the platform, the engine and the instance, and waits until the
// instance serves requests.
func (b *bench) start() error {
	if err := httpserver.Serve(b.ctx, b.group, benchPlatformAddress, b.store.Handler()); err != nil {
		return err
	}
	if err := httpserver.Serve(b.ctx, b.group, benchEngineAddress, http.HandlerFunc(b.serveEngine)); err != nil {
		return err
	}
	if err := b.putTables(); err != nil {
		return err
	}
	benchSettings, err := settings.Parse("capacity", []byte(`{"instance":"bench","data_center":"dc-0",
		"callers_address":"`+benchCallersAddress+`","operators_address":"127.16.0.2:8081","peers_address":"127.16.0.2:8082",
		"platform_url":"http://`+benchPlatformAddress+`","balancer_lag_ms":1}`))
	if err != nil {
		return err
	}
	instance := service.New(benchSettings, zap.NewNop())
	b.group.Go(func() error { return instance.Run(b.ctx) })
	deadline := time.Now().Add(benchStartTimeout)
	for b.sendRequest(benchCallersAddress) != nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("instance at %s does not serve requests after %s", benchCallersAddress, benchStartTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// serveEngine answers a request without delay, with one event for each token,
// and a GET request with an empty response.
func (b *bench) serveEngine(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for range b.answerTokens.Load() {
		_, _ = io.WriteString(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"logprobs\":{\"content\":[{\"token\":\"word \",\"logprob\":-0.01}]}}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		if b.holdStreams.Load() {
			b.heldStreams.Add(1)
			<-request.Context().Done()
			return
		}
	}
	_, _ = io.WriteString(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":10}}\n\ndata: [DONE]\n\n")
}

// putTables writes the tables for one server at the address of the engine,
// without limits for the teams.
func (b *bench) putTables() error {
	config := newConfig(configSize{teams: 20, classes: 4, versions: 1, servers: 1})
	config.Pools[0].Upstreams[0].Address = benchEngineAddress
	config.Pools[0].Concurrency = 1 << 20
	for i := range config.Routes {
		config.Routes[i].FirstToken = 0
		config.Routes[i].Allowance = tables.Allowance{}
	}
	client := &objects.Client{BaseURL: "http://" + benchPlatformAddress}
	for _, table := range []struct {
		key   objects.Key
		value any
	}{
		{service.KeyPools, tables.PoolsTable{Pools: config.Pools}},
		{service.KeyRoutes, tables.RoutesTable{Routes: config.Routes}},
	} {
		text, err := json.Marshal(table.value)
		if err != nil {
			return err
		}
		if _, err := client.Put(b.ctx, table.key, 0, text); err != nil {
			return err
		}
	}
	return nil
}

// post sends a chat request and returns the response with an open body. It
// returns an error for any status but 200.
func (b *bench) post(ctx context.Context, address string) (*http.Response, error) {
	body := strings.NewReader(`{"model":"llm","stream":true,"messages":[{"role":"user","content":"how do I dress this wheel"}]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer credential-3")
	request.Header.Set("X-Request-Id", "direct")
	response, err := b.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s responded with status %s", address, response.Status)
	}
	return response, nil
}

// sendRequest sends a chat request to an address and reads the whole response.
func (b *bench) sendRequest(address string) error {
	response, err := b.post(b.ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// requestCPU returns the mean processor time of a request to an address. It
// includes the time of the client and the engine, which run in this process.
func (b *bench) requestCPU(address string) (time.Duration, error) {
	start := cpuTime()
	var group errgroup.Group
	for range benchWorkers {
		group.Go(func() error {
			for range benchRequests / benchWorkers {
				if err := b.sendRequest(address); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	return (cpuTime() - start) / benchRequests, err
}

// addedCPU returns the processor time, in nanoseconds, that the instance adds
// to a request with an answer of the given number of tokens. The first series
// of requests warms the instance up and is not counted.
func (b *bench) addedCPU(tokens int) (float64, error) {
	b.answerTokens.Store(int64(tokens))
	if _, err := b.requestCPU(benchCallersAddress); err != nil {
		return 0, err
	}
	through, err := b.requestCPU(benchCallersAddress)
	if err != nil {
		return 0, err
	}
	direct, err := b.requestCPU(benchEngineAddress)
	return float64((through - direct).Nanoseconds()), err
}

// addedMemory returns the memory, in bytes, that the instance adds to each open
// stream.
func (b *bench) addedMemory() (float64, error) {
	b.answerTokens.Store(64)
	direct, err := b.streamBytes(benchEngineAddress)
	if err != nil {
		return 0, err
	}
	through, err := b.streamBytes(benchCallersAddress)
	return through - direct, err
}

// streamBytes returns the heap and stack memory, in bytes, of one open stream
// to an address. It includes the client and the engine.
func (b *bench) streamBytes(address string) (float64, error) {
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	b.heldStreams.Store(0)
	b.holdStreams.Store(true)
	defer b.holdStreams.Store(false)
	heapBefore := readUsage().heap
	var group errgroup.Group
	for range measuredStreams {
		group.Go(func() error {
			response, err := b.post(ctx, address)
			if err != nil {
				return err
			}
			b.group.Go(func() error {
				defer func() { _ = response.Body.Close() }()
				_, _ = io.Copy(io.Discard, response.Body)
				return nil
			})
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	for b.heldStreams.Load() < measuredStreams {
		time.Sleep(pollInterval)
	}
	return float64(readUsage().heap-heapBefore) / measuredStreams, nil
}

// addedLatency measures the latency of both paths at half of the maximum rate
// that the instance serves.
func (b *bench) addedLatency() (Latency, error) {
	b.answerTokens.Store(16)
	start := time.Now()
	if _, err := b.requestCPU(benchCallersAddress); err != nil {
		return Latency{}, err
	}
	latency := Latency{RatePerSecond: benchRequests / time.Since(start).Seconds() / 2}
	var err error
	if latency.DirectMicros, err = b.requestLatency(benchEngineAddress, latency.RatePerSecond); err != nil {
		return latency, err
	}
	latency.ThroughMicros, err = b.requestLatency(benchCallersAddress, latency.RatePerSecond)
	return latency, err
}

// requestLatency returns the latency quantiles, in microseconds, of requests
// sent to an address at a rate per second. Requests are sent on schedule, also
// while earlier ones are in flight.
func (b *bench) requestLatency(address string, rate float64) ([3]int64, error) {
	const requests = 3000
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	durations := make(chan int64, requests)
	var group errgroup.Group
	interval := time.Duration(float64(time.Second) / rate)
	next := time.Now()
	for range requests {
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		group.Go(func() error {
			start := time.Now()
			err := b.sendRequest(address)
			durations <- time.Since(start).Microseconds()
			return err
		})
	}
	err := group.Wait()
	close(durations)
	for micros := range durations {
		_ = histogram.RecordValue(micros)
	}
	var quantiles [3]int64
	for i, quantile := range latencyQuantiles {
		quantiles[i] = histogram.ValueAtQuantile(quantile)
	}
	return quantiles, err
}
