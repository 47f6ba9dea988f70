package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/instance/entry"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/standin/admin"
	"mimosayard/internal/standin/shared"
	"mimosayard/internal/telemetry/logs"
)

// sharedStage is a running demo of the shared platform's front door.
type sharedStage struct {
	options  Options
	group    *errgroup.Group
	ctx      context.Context
	client   *http.Client
	requests int
	version  int
}

const (
	storeAddress  = "127.12.0.1:7000"
	sharedHost    = "sauna.example"
	sharedKey     = "raft-keepers"
	revokedKey    = "tourist-desks"
	sharedRollout = 9 * time.Second
	// sharedPatience bounds the wait for what the demo shows.
	sharedPatience = 20 * time.Second
)

// RunShared runs instances on a stand-in of the shared platform and shows a
// resumed stream, a revoked key and a rollout. The error says what did not
// hold.
func RunShared(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := &sharedStage{
		options: options,
		group:   group,
		ctx:     ctx,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	err := s.play()
	if err == nil && options.Keep {
		s.printf("\nleft running; stop with Ctrl-C. Try:\n  curl -N -H 'Host: %s' -H 'X-Credential: %s' -H 'X-Attempt-Id: 1' http://%s/stream/x\n",
			sharedHost, sharedKey, s.callers(0))
		<-ctx.Done()
	}
	cancel()
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return trace.Wrap(err)
}

func (s *sharedStage) play() error {
	for _, step := range []func() error{s.start, s.showStream, s.showRevocation, s.showRollout} {
		if err := step(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// start starts the store, two upstreams of each of two versions, and two
// instances.
func (s *sharedStage) start() error {
	if err := admin.Serve(s.ctx, s.group, storeAddress, (&shared.Store{}).Handler()); err != nil {
		return trace.Wrap(err)
	}
	if err := s.putConfig(sharedKey, revokedKey); err != nil {
		return trace.Wrap(err)
	}
	for n, version := range []string{"v1", "v1", "v1", "v2", "v2"} {
		id, address := fmt.Sprintf("i-%d", n+1), fmt.Sprintf("127.12.0.%d:7400", 20+n)
		upstream := &shared.Upstream{ID: id, EventsPerStream: 6, EventInterval: 20 * time.Millisecond}
		if err := admin.Serve(s.ctx, s.group, address, upstream.Handler()); err != nil {
			return trace.Wrap(err)
		}
		if err := s.putObject("servers", id, fmt.Sprintf(
			`{"service":"assistant","address":%q,"zone":"here","version":%q,"slots":8,"state":"ready","born":1}`, address, version)); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := range instanceCount {
		if err := s.startInstance(n); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := range instanceCount {
		if err := s.await(fmt.Sprintf("instance %d serves", n+1), func() bool { return s.status(n, sharedKey) == http.StatusOK }); err != nil {
			return trace.Wrap(err)
		}
	}
	s.printf("a store, five upstreams of two versions and %d instances are up\n", instanceCount)
	return nil
}

func (s *sharedStage) startInstance(n int) error {
	text := fmt.Sprintf(`{"instance":"entry-%d","data_center":"here","callers_address":%q,
		"operators_address":"127.12.0.%d:8081","peers_address":"127.12.0.%d:8082","seed_peers":["127.12.0.11:8082"],
		"balancer_lag_ms":1,"shared_platform":{"store_address":%q,"ready_address":"127.12.0.%d:8083","grace_s":2}}`,
		n+1, s.callers(n), 11+n, 11+n, storeAddress, 11+n)
	parsed, err := settings.Parse("demo", []byte(text))
	if err != nil {
		return trace.Wrap(err)
	}
	instance := entry.New(parsed, "", logs.NewRing(), zap.NewNop())
	s.group.Go(func() error { return trace.Wrap(instance.Run(s.ctx)) })
	return nil
}

// showStream breaks a stream within its third event at two of three upstreams.
func (s *sharedStage) showStream() error {
	for _, n := range []int{20, 21} {
		if err := s.put(fmt.Sprintf("http://127.12.0.%d:7400/admin/faults", n), `{"break_after":2}`); err != nil {
			return trace.Wrap(err)
		}
	}
	text, err := s.body(0, "/stream/season")
	if err != nil {
		return trace.Wrap(err)
	}
	if got := strings.Count(text, "id: "); got != 6 {
		return fmt.Errorf("a stream that breaks has %d events, want 6", got)
	}
	s.printf("two of three upstreams break a stream within its third event: the caller got all 6 events\n")
	for _, n := range []int{20, 21} {
		if err := s.put(fmt.Sprintf("http://127.12.0.%d:7400/admin/faults", n), `{}`); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *sharedStage) showRevocation() error {
	began := time.Now()
	if err := s.putConfig(sharedKey); err != nil {
		return trace.Wrap(err)
	}
	for n := range instanceCount {
		if err := s.await("a revoked key is refused", func() bool { return s.status(n, revokedKey) == http.StatusUnauthorized }); err != nil {
			return trace.Wrap(err)
		}
	}
	s.printf("a key was revoked: both instances refuse it after %s\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// showRollout asks for version v2 and sends requests until it is completed.
func (s *sharedStage) showRollout() error {
	order := fmt.Sprintf(`{"service":"assistant","target":"v2","duration_s":%v}`, sharedRollout.Seconds())
	if err := s.putObject("rollouts", "assistant", order); err != nil {
		return trace.Wrap(err)
	}
	began, sent, fresh := time.Now(), 0, 0
	err := s.await("the rollout is completed", func() bool {
		if text, err := s.body(sent%instanceCount, "/plain/version"); err == nil {
			sent++
			if strings.Contains(text, "stamp i-4") || strings.Contains(text, "stamp i-5") {
				fresh++
			}
		}
		text, err := s.fetch(fmt.Sprintf("http://%s/objects/rollouts", storeAddress))
		return err == nil && strings.Contains(text, "completed")
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.printf("version v2 was rolled out in %s of %s: %d of %d requests were on it before the end\n",
		time.Since(began).Round(100*time.Millisecond), sharedRollout, fresh, sent)
	return nil
}

func (s *sharedStage) await(what string, holds func() bool) error {
	deadline := time.Now().Add(sharedPatience)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("did not happen within %s: %s", sharedPatience, what)
		}
		select {
		case <-s.ctx.Done():
			return trace.Wrap(s.ctx.Err())
		case <-time.After(pollPause):
		}
	}
	return nil
}

func (s *sharedStage) callers(n int) string {
	return fmt.Sprintf("127.12.0.%d:8080", 11+n)
}

func (s *sharedStage) request(n int, path, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+s.callers(n)+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.requests++
	request.Host = sharedHost
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("demo-%d", s.requests))
	request.Header.Set("X-Credential", key)
	response, err := s.client.Do(request)
	return response, trace.Wrap(err)
}

// body returns the body of an answer, behind the stamp of its upstream.
func (s *sharedStage) body(n int, path string) (string, error) {
	response, err := s.request(n, path, sharedKey)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return "stamp " + response.Header.Get("X-Server-Stamp") + "\n" + string(text), trace.Wrap(err)
}

func (s *sharedStage) status(n int, key string) int {
	response, err := s.request(n, "/plain/x", key)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *sharedStage) fetch(url string) (string, error) {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), trace.Wrap(err)
}

func (s *sharedStage) putConfig(keys ...string) error {
	s.version += 3
	return s.putObject("config", "main", fmt.Sprintf(`{"version":%d,"services":[{"name":"assistant"}],
		"routes":[{"name":"streams","hostname":%q,"path_prefix":"/stream/","kind":"streaming","resumable":true,
		"timeout_ms":20000,"target_latency_ms":1000,"service":"assistant","max_attempts":3},
		{"name":"plain","hostname":%q,"path_prefix":"/plain/","kind":"safe","timeout_ms":5000,"service":"assistant","max_attempts":2}],
		"tenants":[{"name":"sauna","api_keys":["%s"]}]}`, s.version, sharedHost, sharedHost, strings.Join(keys, `","`)))
}

func (s *sharedStage) putObject(kind, name, spec string) error {
	return s.put(fmt.Sprintf("http://%s/objects/%s/%s", storeAddress, kind, name), `{"metadata":{},"spec":`+spec+`}`)
}

func (s *sharedStage) put(url, body string) error {
	return put(s.ctx, s.client, url, body)
}

func (s *sharedStage) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.options.Output, format, values...)
}
