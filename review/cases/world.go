package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A world holds the processes and stand-ins of one case.
type world struct {
	ctx context.Context
	// subnet is the first three bytes of all addresses.
	subnet string
	folder string
	start  time.Time
	client *http.Client

	mutex     sync.Mutex
	record    *os.File
	processes []*process
	listeners []net.Listener
	version   int
	requests  int
}

// A process is a started program.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

const (
	// contact, grace, configBound and outer are bounds of the site file.
	contact     = 3 * time.Second
	grace       = 8 * time.Second
	configBound = 2 * time.Second
	outer       = 5 * time.Second

	callerHost = "lakes.example"
	teamName   = "hule930"
	pollPause  = 50 * time.Millisecond
	waitLimit  = 20 * time.Second

	// fleetSize is the number of instances of a small deployment, one in each zone.
	fleetSize = 3
)

// newWorld returns a world on a subnet of loopback addresses that nothing uses, with a
// running store.
func newWorld(ctx context.Context, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	w := &world{
		ctx:    ctx,
		folder: folder,
		start:  time.Now(),
		record: file,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 20 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.free(w.storeAddress()) {
			break
		}
	}
	if err := w.startProgram("standins", nil, "store", "-address", w.storeAddress()); err != nil {
		return w, err
	}
	return w, w.await("the store answers", func() bool {
		_, err := w.get("http://" + w.storeAddress() + "/admin/counts")
		return err == nil
	})
}

// free reports whether nothing listens at an address.
func (w *world) free(address string) bool {
	listener, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (w *world) close() {
	w.mutex.Lock()
	processes, listeners := w.processes, w.listeners
	w.mutex.Unlock()
	for _, p := range processes {
		w.kill(p)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// note writes a line to the record, with the milliseconds since the start.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8d ms  %s\n", time.Since(w.start).Milliseconds(), fmt.Sprintf(format, values...))
}

// sleepUntil waits until a time.
func (w *world) sleepUntil(at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-w.ctx.Done():
	}
}

// await polls a condition.
func (w *world) await(event string, condition func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) || w.ctx.Err() != nil {
			return fmt.Errorf("did not happen: %s", event)
		}
		time.Sleep(pollPause)
	}
	return nil
}

// startProgram starts a program of the build folder that runs until the end of the case.
func (w *world) startProgram(name string, environment []string, arguments ...string) error {
	_, err := w.startProcess(name, environment, arguments...)
	return err
}

func (w *world) startProcess(name string, environment []string, arguments ...string) (*process, error) {
	command := exec.CommandContext(w.ctx, filepath.Join("target", name), arguments...) //nolint:gosec // The project's own programs.
	command.Env = append(os.Environ(), environment...)
	log, err := os.Create(filepath.Join(w.folder, fmt.Sprintf("%s-%d.log", name, rand.IntN(1<<30))))
	if err != nil {
		return nil, err
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	w.mutex.Lock()
	w.processes = append(w.processes, p)
	w.mutex.Unlock()
	return p, nil
}

// kill ends a process at once, as a loss of power does.
func (w *world) kill(p *process) {
	_ = p.command.Process.Kill()
	<-p.done
}

// stop stops a process as the platform does: with SIGTERM, and SIGKILL after the grace.
func (w *world) stop(p *process) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-p.done:
		case <-time.After(grace):
			_ = p.command.Process.Kill()
		}
	}()
}

func (w *world) storeAddress() string { return w.subnet + ".1:7000" }

// address returns the address of a port of an instance, which are numbered from 0.
func (w *world) address(instance, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.subnet, 100+instance, port)
}

// startInstance starts an instance with settings like those of deploy/settings.json.tmpl.
func (w *world) startInstance(number int, seeds []string, store string) (*process, error) {
	settings := map[string]any{
		"instance":          fmt.Sprintf("edge-%d", number+1),
		"data_center":       fmt.Sprintf("zone-%d", number%3+1),
		"callers_address":   w.address(number, 8227),
		"operators_address": w.address(number, 9464),
		"peers_address":     w.address(number, 8229),
		"seed_peers":        seeds,
		"log_level":         "info",
		"shared_platform": map[string]any{
			"store_address": store, "ready_address": w.address(number, 8220), "memory_mb": 284, "grace_s": 8,
			"upstream_drain_ms": 2000, "session_s": 5, "retry_ratio": 0.9, "retry_slack": 58, "retry_window_s": 10,
			"exposure_share": 0.15, "exposure_slack": 30,
		},
	}
	if store != w.storeAddress() {
		// Without a key of their own, instances derive it from the address of the store.
		settings["peer_key"] = []byte("the key of the fleet of this case")
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.folder, fmt.Sprintf("edge-%d.json", number+1))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	w.note("edge-%d starts", number+1)
	return w.startProcess("mimosayard", []string{"MIMOSAYARD_BOOT=" + file}, "serve")
}

// startFleet starts the instances and waits until all are ready.
func (w *world) startFleet() ([]*process, error) {
	var fleet []*process
	for n := range fleetSize {
		p, err := w.startInstance(n, w.seeds(), w.storeAddress())
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, p)
	}
	return fleet, w.awaitReady(fleetSize)
}

// seeds returns the addresses for peers of the first three instances.
func (w *world) seeds() []string {
	return []string{w.address(0, 8229), w.address(1, 8229), w.address(2, 8229)}
}

// awaitReady waits until instances say that they are ready.
func (w *world) awaitReady(count int) error {
	for n := range count {
		if err := w.await(fmt.Sprintf("edge-%d is ready", n+1), func() bool { return w.isReady(n) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) isReady(instance int) bool {
	status, err := w.get("http://" + w.address(instance, 8220) + "/readyz")
	return err == nil && status == http.StatusOK
}

// put writes the spec of an object to the store, as the operator and the servers do.
func (w *world) put(kind, name string, spec any) error {
	data, err := json.Marshal(map[string]any{"metadata": map[string]any{}, "spec": spec})
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/objects/%s/%s", w.storeAddress(), kind, name)
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %s", response.Status)
	}
	return nil
}

// putConfig writes a new version of the config.
func (w *world) putConfig(keys []string, services []any, routes ...map[string]any) error {
	w.version += 3
	for _, route := range routes {
		route["hostname"] = callerHost
	}
	err := w.put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": teamName, "api_keys": keys}},
	})
	w.note("the store acknowledged config version %d with the keys %s", w.version, strings.Join(keys, " "))
	return err
}

// get returns the status of a GET call.
func (w *world) get(url string) (int, error) {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// nextID returns the ID of a new request of a caller.
func (w *world) nextID() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests++
	return fmt.Sprintf("%016x", w.requests)
}
