// Package demo runs stand-ins and two entry instances in one process, sends them
// mixed traffic for a short time and reports the results.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/examples"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/engine"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/internal/standin/plainservice"
	"mimosayard/internal/standin/platform"
	"mimosayard/internal/standin/rater"
)

// Options configures a demo.
type Options struct {
	// Output receives the report.
	Output io.Writer
	// Keep leaves the stand-ins and instances running after the report until
	// the context ends.
	Keep bool
	// TrafficDuration is the time for which requests are sent.
	TrafficDuration time.Duration
}

// runner runs a demo of the project's own entry instances.
type runner struct {
	options Options
	group   *errgroup.Group
	ctx     context.Context
	routes  tables.RoutesTable
	pools   tables.PoolsTable
	client  *http.Client
}

const (
	platformAddress = "127.11.0.1:7000"
	raterAddress    = "127.11.0.1:7300"
	instanceCount   = 2
	rolloutPool     = "valodas-mazais-v2"
	readyTimeout    = 15 * time.Second
	pollInterval    = 20 * time.Millisecond
	// degradeAtShare is the share of the traffic's duration after which the
	// engines of the new version are degraded.
	degradeAtShare        = 0.3
	degradedQualityFaults = `{"quality":0.2}`
)

// Run runs a demo of two entry instances with the tables of the sauna example. It
// returns an error if anything cannot be started or the bills don't match the
// requests served.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	r := &runner{
		options: options,
		group:   group,
		ctx:     ctx,
		client:  &http.Client{Transport: &http1.Transport{MaxIdleConnsPerHost: 64}},
	}
	err := r.run()
	if err == nil && options.Keep {
		r.printKeepHint()
		<-ctx.Done()
	}
	cancel()
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return trace.Wrap(err)
}

// run starts everything, waits until the instances are ready and know each
// other, and sends the traffic.
func (r *runner) run() error {
	if err := r.loadTables(); err != nil {
		return trace.Wrap(err)
	}
	if err := r.startStandins(); err != nil {
		return trace.Wrap(err)
	}
	if err := r.startInstances(); err != nil {
		return trace.Wrap(err)
	}
	if err := r.putTables(); err != nil {
		return trace.Wrap(err)
	}
	for n := range instanceCount {
		if err := r.waitForStatus(n, func(status service.Status) bool {
			return status.Ready && len(status.Members) == instanceCount
		}); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(r.sendTraffic())
}

// putTables writes the tables to the platform, from which the instances load
// them.
func (r *runner) putTables() error {
	client := &objects.Client{BaseURL: "http://" + platformAddress}
	for _, table := range []struct {
		key   objects.Key
		value any
	}{{service.KeyPools, r.pools}, {service.KeyRoutes, r.routes}} {
		encoded, err := json.Marshal(table.value)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := client.Put(r.ctx, table.key, 0, encoded); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// waitForStatus polls the status of an instance until it meets a condition. It
// returns an error after readyTimeout.
func (r *runner) waitForStatus(n int, condition func(service.Status) bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if status, err := r.status(n); err == nil && condition(status) {
			return nil
		}
		select {
		case <-r.ctx.Done():
			return trace.Wrap(r.ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("instance %d did not get ready within %s", n+1, readyTimeout)
}

func (r *runner) callersURL(n int) string {
	return fmt.Sprintf("http://127.11.0.%d:8080", 11+n)
}

// loadTables reads the example tables and shortens the steps of their rollout, so
// that they take place during the demo.
func (r *runner) loadTables() error {
	routes, err := examples.Files.ReadFile("sauna/routes.json")
	if err != nil {
		return trace.Wrap(err)
	}
	pools, err := examples.Files.ReadFile("sauna/pools.json")
	if err != nil {
		return trace.Wrap(err)
	}
	if r.routes, err = tables.ParseRoutes("routes", routes); err != nil {
		return trace.Wrap(err)
	}
	if r.pools, err = tables.ParsePools("pools", pools); err != nil {
		return trace.Wrap(err)
	}
	for i := range r.pools.Pools {
		if rollout := r.pools.Pools[i].Rollout; rollout != nil {
			rollout.Steps = []float64{0.6, 1}
			rollout.StepMin = 500
		}
	}
	return nil
}

func (r *runner) serveHTTP(address string, handler http.Handler) error {
	return trace.Wrap(httpserver.Serve(r.ctx, r.group, address, handler))
}

func (r *runner) startInstances() error {
	for n := range instanceCount {
		settingsJSON := fmt.Sprintf(`{"instance":"pirts-%d","data_center":%q,
			"callers_address":"127.11.0.%d:8080","operators_address":"127.11.0.%d:8081","peers_address":"127.11.0.%d:8082",
			"platform_url":"http://%s","raters_url":"http://%s","balancer_lag_ms":1,"settle_ms":500}`,
			n+1, []string{"daugavas-krasts", "kisezera-zona"}[n], 11+n, 11+n, 11+n, platformAddress, raterAddress)
		parsed, err := settings.Parse("demo", []byte(settingsJSON))
		if err != nil {
			return trace.Wrap(err)
		}
		instance := service.New(parsed, zap.NewNop())
		r.group.Go(func() error { return trace.Wrap(instance.Run(r.ctx)) })
	}
	return nil
}

// startStandins serves the platform, the rater and every upstream of the pools,
// and lists the instances at the platform.
func (r *runner) startStandins() error {
	platformServer := &platform.Server{}
	if err := r.serveHTTP(platformAddress, platformServer.Handler()); err != nil {
		return err
	}
	if err := r.putInstances(); err != nil {
		return err
	}
	raterServer := &rater.Server{RatedShare: 0.8, Delay: 200 * time.Millisecond}
	if err := r.serveHTTP(raterAddress, raterServer.Handler()); err != nil {
		return err
	}
	for i, pool := range r.pools.Pools {
		for _, upstream := range pool.Upstreams {
			if err := r.serveHTTP(upstream.Address, newUpstreamHandler(pool, uint64(i))); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) putInstances() error {
	list := `[{"name":"pirts-1","role":"entry","address":"127.11.0.11:8082"},{"name":"pirts-2","role":"entry","address":"127.11.0.12:8082"}]`
	return r.put("http://"+platformAddress+"/admin/instances", list)
}

// newUpstreamHandler returns the stand-in for an upstream of a pool. Engines of
// expensive pools are slower and more accurate.
func newUpstreamHandler(pool tables.Pool, seed uint64) http.Handler {
	if pool.Kind == tables.KindPlain {
		return (&plainservice.Server{}).Handler()
	}
	server := &engine.Server{
		Model:           string(pool.Model),
		Version:         string(pool.Version),
		Quality:         0.98,
		Slots:           pool.Concurrency,
		FirstTokenDelay: 15 * time.Millisecond,
		TokenInterval:   time.Millisecond,
		Seed:            seed,
	}
	if pool.PromptCost > 1000 {
		server.Quality = 0.995
		server.FirstTokenDelay = 30 * time.Millisecond
		server.TokenInterval = 2 * time.Millisecond
	}
	return server.Handler()
}
