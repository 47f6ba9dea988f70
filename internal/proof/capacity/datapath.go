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
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/admin"
	"mimosayard/internal/standin/platform"
)

// bench is an instance before an engine that answers at once, so that the cost
// of the path through the instance can be set against calls to the engine
// itself.
type bench struct {
	ctx    context.Context
	group  *errgroup.Group
	client *http.Client
	// tokens is the length of the engine's answers, hold stops them after the
	// first token.
	answerTokens atomic.Int64
	holdStreams  atomic.Bool
	heldStreams  atomic.Int64
	store        platform.Server
}

// Latency is what the path through an instance adds.
type Latency struct {
	// RatePerSecond is the rate of requests sent.
	RatePerSecond float64 `json:"rate_per_s"`
	DirectMicros  [3]int64
	ThroughMicros [3]int64
}

const (
	benchEngineAddress   = "127.16.0.1:7100"
	benchPlatformAddress = "127.16.0.1:7000"
	benchCallersAddress  = "127.16.0.2:8080"
	benchRequests        = 400
	benchWorkers         = 4
	benchStartTimeout    = 10 * time.Second
	measuredStreams      = 1000
)

var latencyQuantiles = [3]float64{50, 95, 99}

// runBench runs a function with a bench.
func runBench(run func(b *bench) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	b := &bench{
		ctx:    ctx,
		group:  group,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: measuredStreams}},
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

func (b *bench) start() error {
	if err := admin.Serve(b.ctx, b.group, benchPlatformAddress, b.store.Handler()); err != nil {
		return err
	}
	if err := admin.Serve(b.ctx, b.group, benchEngineAddress, http.HandlerFunc(b.serveEngine)); err != nil {
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
			return errors.New("the instance does not answer")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// serveEngine answers at once, a token an event.
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

func (b *bench) putTables() error {
	config := newConfig(configSize{teams: 20, classes: 4, versions: 1, servers: 1})
	config.Pools[0].Upstreams[0].Address = benchEngineAddress
	config.Pools[0].Concurrency = 1 << 20
	for i := range config.Routes {
		config.Routes[i].FirstToken = 0
		config.Routes[i].Allowance = tables.Allowance{}
	}
	client := &objects.Client{Base: "http://" + benchPlatformAddress}
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

// post sends a chat request and returns the open answer.
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
		return nil, fmt.Errorf("%s answered %s", address, response.Status)
	}
	return response, nil
}

func (b *bench) sendRequest(address string) error {
	response, err := b.post(b.ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// requestCPU returns the processor time for a request to an address.
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

// addedCPU returns the processor time that the instance adds to a request with
// an answer of so many tokens.
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

// addedMemory returns the memory that the instance adds to each open stream.
func (b *bench) addedMemory() (float64, error) {
	b.answerTokens.Store(64)
	direct, err := b.streamBytes(benchEngineAddress)
	if err != nil {
		return 0, err
	}
	through, err := b.streamBytes(benchCallersAddress)
	return through - direct, err
}

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

// addedLatency measures both paths at half of the rate that the instance
// serves flat out.
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
