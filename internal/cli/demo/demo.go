// Package demo runs stand-ins and two entry instances in one process and sends
// them a short mixed evening of requests.
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
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/standin/admin"
	"mimosayard/internal/standin/desk"
	"mimosayard/internal/standin/engine"
	"mimosayard/internal/standin/platform"
	"mimosayard/internal/standin/rater"
)

// Options are what a demo may be told.
type Options struct {
	Output io.Writer
	// Keep leaves everything running until the context ends.
	Keep bool
	// Evening is how long requests are sent.
	Evening time.Duration
}

// stage is a running demo.
type stage struct {
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
	newPool         = "valodas-mazais-v2"
	readyTimeout    = 15 * time.Second
	pollPause       = 20 * time.Millisecond
	// badAfter is the part of the evening after which the new version turns
	// bad.
	badAfter   = 0.3
	badQuality = `{"quality":0.2}`
)

// Run runs the demo. The error says what did not hold.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := &stage{
		options: options,
		group:   group,
		ctx:     ctx,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	err := s.play()
	if err == nil && options.Keep {
		s.printKeep()
		<-ctx.Done()
	}
	cancel()
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return trace.Wrap(err)
}

func (s *stage) play() error {
	if err := s.loadTables(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.startStandins(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.startInstances(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.apply(); err != nil {
		return trace.Wrap(err)
	}
	for n := range instanceCount {
		if err := s.await(n, func(status service.Status) bool {
			return status.Ready && len(status.Members) == instanceCount
		}); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.evening())
}

// apply writes the tables to the platform, from where the instances take them.
func (s *stage) apply() error {
	client := &objects.Client{Base: "http://" + platformAddress}
	for _, table := range []struct {
		key   objects.Key
		value any
	}{{service.KeyPools, s.pools}, {service.KeyRoutes, s.routes}} {
		text, err := json.Marshal(table.value)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := client.Put(s.ctx, table.key, 0, text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *stage) await(n int, holds func(service.Status) bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if status, err := s.status(n); err == nil && holds(status) {
			return nil
		}
		select {
		case <-s.ctx.Done():
			return trace.Wrap(s.ctx.Err())
		case <-time.After(pollPause):
		}
	}
	return fmt.Errorf("instance %d did not get ready within %s", n+1, readyTimeout)
}

func (s *stage) callersURL(n int) string {
	return fmt.Sprintf("http://127.11.0.%d:8080", 11+n)
}

// loadTables reads the example tables, with a rollout fast enough to watch.
func (s *stage) loadTables() error {
	routes, err := examples.Files.ReadFile("sauna/routes.json")
	if err != nil {
		return trace.Wrap(err)
	}
	pools, err := examples.Files.ReadFile("sauna/pools.json")
	if err != nil {
		return trace.Wrap(err)
	}
	if s.routes, err = tables.ParseRoutes("routes", routes); err != nil {
		return trace.Wrap(err)
	}
	if s.pools, err = tables.ParsePools("pools", pools); err != nil {
		return trace.Wrap(err)
	}
	for i := range s.pools.Pools {
		if rollout := s.pools.Pools[i].Rollout; rollout != nil {
			rollout.Steps = []float64{0.6, 1}
			rollout.StepMin = 500
		}
	}
	return nil
}

func (s *stage) serveHTTP(address string, handler http.Handler) error {
	return trace.Wrap(admin.Serve(s.ctx, s.group, address, handler))
}

func (s *stage) startInstances() error {
	for n := range instanceCount {
		text := fmt.Sprintf(`{"instance":"pirts-%d","data_center":%q,
			"callers_address":"127.11.0.%d:8080","operators_address":"127.11.0.%d:8081","peers_address":"127.11.0.%d:8082",
			"platform_url":"http://%s","raters_url":"http://%s","balancer_lag_ms":1,"settle_ms":500}`,
			n+1, []string{"daugavas-krasts", "kisezera-zona"}[n], 11+n, 11+n, 11+n, platformAddress, raterAddress)
		parsed, err := settings.Parse("demo", []byte(text))
		if err != nil {
			return trace.Wrap(err)
		}
		instance := service.New(parsed, zap.NewNop())
		s.group.Go(func() error { return trace.Wrap(instance.Run(s.ctx)) })
	}
	return nil
}

func (s *stage) startStandins() error {
	store := &platform.Server{}
	if err := s.serveHTTP(platformAddress, store.Handler()); err != nil {
		return err
	}
	if err := s.putInstances(); err != nil {
		return err
	}
	rating := &rater.Server{RatedShare: 0.8, Delay: 200 * time.Millisecond}
	if err := s.serveHTTP(raterAddress, rating.Handler()); err != nil {
		return err
	}
	for i, pool := range s.pools.Pools {
		for _, upstream := range pool.Upstreams {
			if err := s.serveHTTP(upstream.Address, newUpstream(pool, uint64(i))); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *stage) putInstances() error {
	list := `[{"name":"pirts-1","role":"entry","address":"127.11.0.11:8082"},{"name":"pirts-2","role":"entry","address":"127.11.0.12:8082"}]`
	return s.put("http://"+platformAddress+"/admin/instances", list)
}

func newUpstream(pool tables.Pool, seed uint64) http.Handler {
	if pool.Kind == tables.KindPlain {
		return (&desk.Server{}).Handler()
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
