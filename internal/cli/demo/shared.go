package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/instance/entry"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/standin/httpserver"
	"mimosayard/internal/standin/sharedplatform"
	"mimosayard/internal/telemetry/logs"
)

// sharedRunner runs a demo of entry instances on the shared platform.
type sharedRunner struct {
	options Options
	group   *errgroup.Group
	ctx     context.Context
	client  *http.Client
	// requestCount is the number of requests sent. It makes attempt IDs unique.
	requestCount int
	// configVersion is the version of the last configuration written.
	configVersion int
}

const (
	storeAddress          = "127.12.0.1:7000"
	sharedHost            = "sauna.example"
	sharedKey             = "raft-keepers"
	revokedKey            = "tourist-desks"
	sharedRolloutDuration = 9 * time.Second
	// sharedTimeout bounds each wait for an expected state.
	sharedTimeout = 20 * time.Second
)

// RunSharedPlatform runs entry instances on a stand-in for the shared platform
// and shows a resumed stream, a revoked key and a rollout. It returns an error
// if anything cannot be started or one of these fails.
func RunSharedPlatform(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	r := &sharedRunner{
		options: options,
		group:   group,
		ctx:     ctx,
		client:  &http.Client{Transport: &http1.Transport{DisableKeepAlives: true}},
	}
	err := r.run()
	if err == nil && options.Keep {
		r.printf("\nleft running; stop with Ctrl-C. Try:\n  curl -N -H 'Host: %s' -H 'X-Credential: %s' -H 'X-Attempt-Id: 1' http://%s/stream/x\n",
			sharedHost, sharedKey, r.callersAddress(0))
		<-ctx.Done()
	}
	cancel()
	if waitErr := group.Wait(); err == nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return trace.Wrap(err)
}

func (r *sharedRunner) run() error {
	for _, step := range []func() error{r.start, r.showStream, r.showRevocation, r.showRollout} {
		if err := step(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// start starts the store, three upstreams of version v1, two of version v2, and
// the instances, and waits until each instance serves requests.
func (r *sharedRunner) start() error {
	if err := httpserver.Serve(r.ctx, r.group, storeAddress, (&sharedplatform.Store{}).Handler()); err != nil {
		return trace.Wrap(err)
	}
	if err := r.putConfig(sharedKey, revokedKey); err != nil {
		return trace.Wrap(err)
	}
	for n, version := range []string{"v1", "v1", "v1", "v2", "v2"} {
		id, address := fmt.Sprintf("i-%d", n+1), fmt.Sprintf("127.12.0.%d:7400", 20+n)
		upstream := &sharedplatform.Upstream{ID: id, EventsPerStream: 6, EventInterval: 20 * time.Millisecond}
		if err := httpserver.Serve(r.ctx, r.group, address, upstream.Handler()); err != nil {
			return trace.Wrap(err)
		}
		if err := r.putObject("servers", id, fmt.Sprintf(
			`{"service":"assistant","address":%q,"zone":"here","version":%q,"slots":8,"state":"ready","born":1}`, address, version)); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := range instanceCount {
		if err := r.startInstance(n); err != nil {
			return trace.Wrap(err)
		}
	}
	for n := range instanceCount {
		if err := r.waitUntil(fmt.Sprintf("instance %d serves", n+1), func() bool { return r.statusCode(n, sharedKey) == http.StatusOK }); err != nil {
			return trace.Wrap(err)
		}
	}
	r.printf("a store, five upstreams of two versions and %d instances are up\n", instanceCount)
	return nil
}

func (r *sharedRunner) startInstance(n int) error {
	text := fmt.Sprintf(`{"instance":"entry-%d","data_center":"here","callers_address":%q,
		"operators_address":"127.12.0.%d:8081","peers_address":"127.12.0.%d:8082","seed_peers":["127.12.0.11:8082"],
		"balancer_lag_ms":1,"shared_platform":{"store_address":%q,"ready_address":"127.12.0.%d:8083","grace_s":2}}`,
		n+1, r.callersAddress(n), 11+n, 11+n, storeAddress, 11+n)
	parsed, err := settings.Parse("demo", []byte(text))
	if err != nil {
		return trace.Wrap(err)
	}
	instance := entry.New(parsed, "", logs.NewRing(), zap.NewNop())
	r.group.Go(func() error { return trace.Wrap(instance.Run(r.ctx)) })
	return nil
}

// showStream requests a stream while two of the three upstreams break streams
// within the third event, and checks that the caller still gets all events.
func (r *sharedRunner) showStream() error {
	for _, n := range []int{20, 21} {
		if err := r.put(fmt.Sprintf("http://127.12.0.%d:7400/admin/faults", n), `{"break_after":2}`); err != nil {
			return trace.Wrap(err)
		}
	}
	text, err := r.getBody(0, "/stream/season")
	if err != nil {
		return trace.Wrap(err)
	}
	if got := strings.Count(text, "id: "); got != 6 {
		return fmt.Errorf("interrupted stream has %d events, want 6", got)
	}
	r.printf("two of three upstreams break a stream within its third event: the caller got all 6 events\n")
	for _, n := range []int{20, 21} {
		if err := r.put(fmt.Sprintf("http://127.12.0.%d:7400/admin/faults", n), `{}`); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// showRevocation removes an API key from the configuration and waits until all
// instances refuse it.
func (r *sharedRunner) showRevocation() error {
	start := time.Now()
	if err := r.putConfig(sharedKey); err != nil {
		return trace.Wrap(err)
	}
	for n := range instanceCount {
		if err := r.waitUntil("a revoked key is refused", func() bool { return r.statusCode(n, revokedKey) == http.StatusUnauthorized }); err != nil {
			return trace.Wrap(err)
		}
	}
	r.printf("a key was revoked: both instances refuse it after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// showRollout starts a rollout of version v2 and sends requests until it is
// completed. It counts the requests that reach the new version, by the server
// stamps of its upstreams.
func (r *sharedRunner) showRollout() error {
	spec := fmt.Sprintf(`{"service":"assistant","target":"v2","duration_s":%v}`, sharedRolloutDuration.Seconds())
	if err := r.putObject("rollouts", "assistant", spec); err != nil {
		return trace.Wrap(err)
	}
	start, sentCount, newVersionCount := time.Now(), 0, 0
	err := r.waitUntil("the rollout is completed", func() bool {
		if text, err := r.getBody(sentCount%instanceCount, "/plain/version"); err == nil {
			sentCount++
			if strings.Contains(text, "stamp i-4") || strings.Contains(text, "stamp i-5") {
				newVersionCount++
			}
		}
		text, err := r.getURL(fmt.Sprintf("http://%s/objects/rollouts", storeAddress))
		return err == nil && strings.Contains(text, "completed")
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.printf("version v2 was rolled out in %s of %s: %d of %d requests were on it before the end\n",
		time.Since(start).Round(100*time.Millisecond), sharedRolloutDuration, newVersionCount, sentCount)
	return nil
}

// waitUntil polls a condition. It returns an error that names the expectation
// after sharedTimeout.
func (r *sharedRunner) waitUntil(expectation string, condition func() bool) error {
	deadline := time.Now().Add(sharedTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %s waiting until %s", sharedTimeout, expectation)
		}
		select {
		case <-r.ctx.Done():
			return trace.Wrap(r.ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (r *sharedRunner) callersAddress(n int) string {
	return fmt.Sprintf("127.12.0.%d:8080", 11+n)
}

// get sends a GET request to an instance with an API key and a new attempt ID.
func (r *sharedRunner) get(n int, path, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+r.callersAddress(n)+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.requestCount++
	request.Host = sharedHost
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("demo-%d", r.requestCount))
	request.Header.Set("X-Credential", key)
	response, err := r.client.Do(request)
	return response, trace.Wrap(err)
}

// getBody returns the server stamp of a response, a line break and its body.
func (r *sharedRunner) getBody(n int, path string) (string, error) {
	response, err := r.get(n, path, sharedKey)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := http1.ReadBody(response, http1.MaxBodyBytes)
	return "stamp " + response.Header.Get("X-Server-Stamp") + "\n" + string(text), trace.Wrap(err)
}

// statusCode returns the status code of a request to an instance, or zero if
// there is no response.
func (r *sharedRunner) statusCode(n int, key string) int {
	response, err := r.get(n, "/plain/x", key)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (r *sharedRunner) getURL(url string) (string, error) {
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := http1.ReadBody(response, http1.MaxBodyBytes)
	return string(text), trace.Wrap(err)
}

// putConfig writes a configuration of a higher version with the given API keys.
func (r *sharedRunner) putConfig(keys ...string) error {
	r.configVersion += 3
	return r.putObject("config", "main", fmt.Sprintf(`{"version":%d,"services":[{"name":"assistant"}],
		"routes":[{"name":"streams","hostname":%q,"path_prefix":"/stream/","kind":"streaming","resumable":true,
		"timeout_ms":20000,"target_latency_ms":1000,"service":"assistant","max_attempts":3},
		{"name":"plain","hostname":%q,"path_prefix":"/plain/","kind":"safe","timeout_ms":5000,"service":"assistant","max_attempts":2}],
		"tenants":[{"name":"sauna","api_keys":["%s"]}]}`, r.configVersion, sharedHost, sharedHost, strings.Join(keys, `","`)))
}

func (r *sharedRunner) putObject(kind, name, spec string) error {
	return r.put(fmt.Sprintf("http://%s/objects/%s/%s", storeAddress, kind, name), `{"metadata":{},"spec":`+spec+`}`)
}

func (r *sharedRunner) put(url, body string) error {
	return put(r.ctx, r.client, url, body)
}

func (r *sharedRunner) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.options.Output, format, values...)
}
